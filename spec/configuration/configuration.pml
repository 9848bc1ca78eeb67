/*
 * Configuration through an append-only log with retention.
 *
 * Publishers append records whose base is the version in force or the one before it: a racing
 * publisher, a late append, or an append sent again because its answer was lost. Reader 0 applies
 * records in order and writes snapshots that may land late or never. Reader 1 starts from nothing,
 * at any time and twice. Each hears of what the other has in force. Retention drops the oldest
 * records at any time, so either reader may find the next record gone.
 *
 * The truth is judged at the append, with the whole log in sight. Versions are numbered, and a
 * version's content is the offset of the record that it was accepted from.
 *
 * Mutants: NO_AS_OF, OLDER_WINS, NO_BASE_CHECK, GAP_IGNORED.
 */

#define RECORDS 3
#define SNAPSHOTS 2
#define READERS 2
#define NONE 255

/* The log: bases by offset, how many there are, and the first that is retained. */
byte base[RECORDS];
byte end = 0;
byte first = 0;

/* The truth after each prefix of the log. */
byte true_version = 0;
byte true_content = NONE;
byte content_of[RECORDS + 1];

/* Snapshots in the order in which they landed. */
byte snap_version[SNAPSHOTS];
byte snap_content[SNAPSHOTS];
byte snap_as_of[SNAPSHOTS];
byte snaps = 0;

/* The snapshot on its way. */
byte late_version = 0;
byte late_content = NONE;
byte late_as_of = 0;

/* What each reader has in force. */
byte version[READERS];
byte content[READERS];

inline append(a_base) {
	d_step {
		base[end] = a_base;
		if
		:: a_base == true_version ->
			true_version++;
			true_content = end;
			content_of[true_version] = end
		:: else
		fi;
		end++
	}
}

/* Takes a version into force unless a later one is. */
inline take(who, t_version, t_content) {
	d_step {
		if
#ifdef OLDER_WINS
		:: t_version > 0 ->
#else
		:: t_version > version[who] ->
#endif
			assert(t_version >= version[who]);
			/* Every node has the same content under one version, and it is the truth. */
			assert(t_content == content_of[t_version]);
			version[who] = t_version;
			content[who] = t_content
		:: else
		fi
	}
}

proctype platform() {
	do
	:: atomic { end < RECORDS -> append(true_version) }
	:: atomic { end < RECORDS && true_version > 0 -> append(true_version - 1) }
	:: first < end -> first++
	:: true -> break
	od
}

proctype reader(byte who) {
	byte next = 0;
	byte led_version = 0;
	byte led_content = NONE;
	bit started = 0;
	bit restarted = 0;
	byte best, scan;

	do
	/* Starts in the log: the snapshot that covers most, or the beginning. */
	:: atomic { !started ->
		best = NONE;
		scan = 0;
		do
		:: scan < snaps ->
			if
			:: best == NONE -> best = scan
			:: best != NONE && snap_as_of[scan] > snap_as_of[best] -> best = scan
			:: else
			fi;
			scan++
		:: else -> break
		od;
		if
		:: best == NONE && first == 0 ->
			next = 0; led_version = 0; led_content = NONE; started = 1
#ifdef NO_AS_OF
		:: best != NONE ->
			next = first;
#else
		:: best != NONE && snap_as_of[best] >= first ->
			next = snap_as_of[best];
#endif
			led_version = snap_version[best];
			led_content = snap_content[best];
			started = 1;
			take(who, led_version, led_content)
		:: else -> break	/* not ready by the log; peers may still tell */
		fi;
		best = 0; scan = 0 }

	/* Applies the next record, or finds that it is gone. */
	:: atomic { started && next < end ->
		if
#ifdef GAP_IGNORED
		:: next < first -> next = first
#else
		:: next < first -> started = 0; led_version = 0; led_content = NONE; next = 0
#endif
		:: else ->
			if
#ifdef NO_BASE_CHECK
			:: led_version < RECORDS ->
#else
			:: base[next] == led_version ->
#endif
				led_version++;
				led_content = next;
				take(who, led_version, led_content)
			:: else
			fi;
			next++
		fi }

	/* Makes a snapshot, which lands now or later. */
	:: atomic { who == 0 && started && led_version > 0 && late_version == 0 && snaps < SNAPSHOTS ->
		late_version = led_version; late_content = led_content; late_as_of = next }
	:: atomic { who == 0 && late_version > 0 ->
		if
		:: snaps < SNAPSHOTS ->
			snap_version[snaps] = late_version;
			snap_content[snaps] = late_content;
			snap_as_of[snaps] = late_as_of;
			snaps++
		:: true		/* lost */
		fi;
		late_version = 0; late_content = NONE; late_as_of = 0 }

	/* Hears of what the other reader has in force. */
	:: atomic { version[1 - who] > version[who] -> take(who, version[1 - who], content[1 - who]) }

	/* Restarts with nothing; a new life may know less. */
	:: atomic { who == 1 && !restarted ->
		restarted = 1; started = 0; next = 0; led_version = 0; led_content = NONE;
		version[who] = 0; content[who] = NONE }

	:: started && next == end -> break
	od;
	/* A reader that reached the end of the log has what is in force. */
	assert(!(started && next == end) || version[who] >= led_version)
}

init {
	atomic {
		content_of[0] = NONE;
		version[0] = 0; version[1] = 0;
		content[0] = NONE; content[1] = NONE;
		run platform();
		run reader(0); run reader(1)
	}
}
