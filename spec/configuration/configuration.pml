/*
 * Configuration through an append-only log with retention.
 *
 * Publishers append records whose base is the version in force or the one before it: a concurrent
 * publisher, a delayed append, or an append retried because its answer was lost. Reader 0 applies
 * records in order and writes snapshots, each of which is stored after any delay or never. Reader 1
 * starts with no state, at any time, and restarts once. Each reader receives the version that the
 * other has in force. Retention drops the oldest records at any time, so the next record of either
 * reader may have been deleted.
 *
 * The reference state is updated at each append, from the complete log. Versions are numbered, and
 * a version's content is the offset of the record that it was accepted from.
 *
 * Mutants: NO_AS_OF, OLDER_WINS, NO_BASE_CHECK, GAP_IGNORED.
 */

#define MAX_RECORDS 3
#define MAX_SNAPSHOTS 2
#define READERS 2
#define NONE 255

/* The log: each record's base by offset, the number of records, and the first retained offset. */
byte record_base[MAX_RECORDS];
byte end = 0;
byte first_retained = 0;

/* The reference state after all records, and the content of each version. */
byte reference_version = 0;
byte reference_content = NONE;
byte reference_content_of[MAX_RECORDS + 1];

/* Snapshots in the order in which they were stored. */
byte snapshot_version[MAX_SNAPSHOTS];
byte snapshot_content[MAX_SNAPSHOTS];
byte snapshot_as_of[MAX_SNAPSHOTS];
byte snapshot_count = 0;

/* The snapshot in flight. */
byte in_flight_version = 0;
byte in_flight_content = NONE;
byte in_flight_as_of = 0;

/* The version that each reader has in force, and its content. */
byte version[READERS];
byte content[READERS];

inline append(new_base) {
	d_step {
		record_base[end] = new_base;
		if
		:: new_base == reference_version ->
			reference_version++;
			reference_content = end;
			reference_content_of[reference_version] = end
		:: else
		fi;
		end++
	}
}

/* Puts a version into force unless a later version is in force. */
inline put_in_force(id, new_version, new_content) {
	d_step {
		if
#ifdef OLDER_WINS
		:: new_version > 0 ->
#else
		:: new_version > version[id] ->
#endif
			assert(new_version >= version[id]);
			/* All readers have the same content for a version, that of the reference state. */
			assert(new_content == reference_content_of[new_version]);
			version[id] = new_version;
			content[id] = new_content
		:: else
		fi
	}
}

proctype platform() {
	do
	:: atomic { end < MAX_RECORDS -> append(reference_version) }
	:: atomic { end < MAX_RECORDS && reference_version > 0 -> append(reference_version - 1) }
	:: first_retained < end -> first_retained++
	:: true -> break
	od
}

proctype reader(byte id) {
	byte next = 0;
	byte log_version = 0;
	byte log_content = NONE;
	bit started = 0;
	bit restarted = 0;
	byte best, scanned;

	do
	/* Starts in the log: after the newest usable snapshot, or at the beginning. */
	:: atomic { !started ->
		best = NONE;
		scanned = 0;
		do
		:: scanned < snapshot_count ->
			if
			:: best == NONE -> best = scanned
			:: best != NONE && snapshot_as_of[scanned] > snapshot_as_of[best] -> best = scanned
			:: else
			fi;
			scanned++
		:: else -> break
		od;
		if
		:: best == NONE && first_retained == 0 ->
			next = 0; log_version = 0; log_content = NONE; started = 1
#ifdef NO_AS_OF
		:: best != NONE ->
			next = first_retained;
#else
		:: best != NONE && snapshot_as_of[best] >= first_retained ->
			next = snapshot_as_of[best];
#endif
			log_version = snapshot_version[best];
			log_content = snapshot_content[best];
			started = 1;
			put_in_force(id, log_version, log_content)
		:: else -> break	/* not ready from the log; a peer may still send the version */
		fi;
		best = 0; scanned = 0 }

	/* Applies the next record, or finds that retention has deleted it. */
	:: atomic { started && next < end ->
		if
#ifdef GAP_IGNORED
		:: next < first_retained -> next = first_retained
#else
		:: next < first_retained -> started = 0; log_version = 0; log_content = NONE; next = 0
#endif
		:: else ->
			if
#ifdef NO_BASE_CHECK
			:: log_version < MAX_RECORDS ->
#else
			:: record_base[next] == log_version ->
#endif
				log_version++;
				log_content = next;
				put_in_force(id, log_version, log_content)
			:: else
			fi;
			next++
		fi }

	/* Writes a snapshot, which is stored after any delay or never. */
	:: atomic { id == 0 && started && log_version > 0 && in_flight_version == 0 &&
		snapshot_count < MAX_SNAPSHOTS ->
		in_flight_version = log_version; in_flight_content = log_content; in_flight_as_of = next }
	:: atomic { id == 0 && in_flight_version > 0 ->
		if
		:: snapshot_count < MAX_SNAPSHOTS ->
			snapshot_version[snapshot_count] = in_flight_version;
			snapshot_content[snapshot_count] = in_flight_content;
			snapshot_as_of[snapshot_count] = in_flight_as_of;
			snapshot_count++
		:: true		/* lost */
		fi;
		in_flight_version = 0; in_flight_content = NONE; in_flight_as_of = 0 }

	/* Receives the version that the other reader has in force. */
	:: atomic { version[1 - id] > version[id] -> put_in_force(id, version[1 - id], content[1 - id]) }

	/* Restarts with no state; the new incarnation may have an older version in force. */
	:: atomic { id == 1 && !restarted ->
		restarted = 1; started = 0; next = 0; log_version = 0; log_content = NONE;
		version[id] = 0; content[id] = NONE }

	:: started && next == end -> break
	od;
	/* A reader at the end of the log has at least the version of the log in force. */
	assert(!(started && next == end) || version[id] >= log_version)
}

init {
	atomic {
		reference_content_of[0] = NONE;
		version[0] = 0; version[1] = 0;
		content[0] = NONE; content[1] = NONE;
		run platform();
		run reader(0); run reader(1)
	}
}
