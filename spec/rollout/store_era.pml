/*
 * The rollout lease over a store that may return once from a copy that lacks the newest records, in
 * a later era: offsets are given out again, and an append in flight is stored if its condition holds
 * by chance. A node learns of the era from any answer or from the other node. rollout.pml checks the
 * lease within one era, releases and commands.
 *
 * Time advances in ticks on clocks that keep running while a host is suspended. An append is stored
 * after any delay while its condition holds, or never; its answer may be lost. A node may pause
 * between any two steps.
 *
 * A lease lasts one tick, so that the clock clears what no longer matters.
 *
 * Invariants: at most one node holds the lease at any time, fences in use never decrease, and no node
 * uses a lease of an era that it knows to be over.
 *
 * The code: crates/dispatch/src/{era,lease}.rs, crates/gateway/src/{store,rollout_leader}.
 *
 * Mutants: FENCE_FROM_OFFSET, LEASE_KEPT, READER_GOES_ON, NO_ERA_WAIT, ERA_OF_ANSWER_UNCHECKED.
 */

#define LEASE_TICKS 1		/* the clock relies on it */
#define MARGIN_TICKS 0
#define LAST_TICK 2
#define MAX_RECORDS 3
#define NODES 2
#define LAST_ERA 1
#define NONE 255

byte now = 0;

/* The store's era, and its log: the number of records, and of each record its writer and
 * the era in which its condition was read. */
bit era = 0;
byte end = 0;
byte writer[MAX_RECORDS];
bit record_era[MAX_RECORDS];

/* The era that a node knows, and since when. */
bit known_era[NODES];
byte known_at[NODES];

/* An append in flight: the log's end that it requires and the era in which that was read, and its
 * start. */
byte expected_end[NODES];
bit append_era[NODES];
byte append_started_at[NODES];
/* The answer to an append that was stored: the record's offset and the store's era. */
byte append_answer[NODES];
bit answer_era[NODES];

/* The newest record that a node has read, and when it first read it. */
byte seen_end[NODES];
byte seen_writer[NODES];
byte seen_at[NODES];
bit seen_era[NODES];
bit seen_record_era[NODES];

/* A node's own lease: its fence, its era, the log's end that a renewal expects, and its start. */
byte fence[NODES];
bit lease_era[NODES];
byte renewal_end[NODES];
byte lease_start[NODES];

/* The greatest fence in use so far. */
byte greatest_fence = 0;

#define TAKEOVER_AFTER_TICKS (LEASE_TICKS + MARGIN_TICKS)

#ifdef NO_ERA_WAIT
#define ERA_WAIT_TICKS 0
#else
#define ERA_WAIT_TICKS (LEASE_TICKS + MARGIN_TICKS)
#endif

#ifdef LEASE_KEPT
#define IS_OF_KNOWN_ERA(id) true
#else
#define IS_OF_KNOWN_ERA(id) (lease_era[id] == known_era[id])
#endif

#ifdef FENCE_FROM_OFFSET
#define FENCE(era, offset) (offset)
#else
#define FENCE(era, offset) ((era) * MAX_RECORDS + (offset))
#endif

/* A reader that goes on at its old offset takes what it has read there for the newest record. */
#ifdef READER_GOES_ON
#define HAS_READ(id) (seen_end[id] == end)
#define RECORD_IS_CURRENT(id) true
#else
#define HAS_READ(id) (seen_end[id] == end && seen_era[id] == era)
#define RECORD_IS_CURRENT(id) (seen_record_era[id] == known_era[id])
#endif

#define HOLDS(id) (fence[id] != NONE && now < lease_start[id] + LEASE_TICKS && IS_OF_KNOWN_ERA(id))
#define ERA_WAITED(id) (known_era[id] == 0 || now >= known_at[id] + ERA_WAIT_TICKS)
#define MAY_ACQUIRE(id) ( \
	(seen_end[id] == 0 && ERA_WAITED(id)) || \
	(seen_end[id] != 0 && !RECORD_IS_CURRENT(id) && ERA_WAITED(id) && \
		now >= seen_at[id] + ERA_WAIT_TICKS) || \
	(seen_end[id] != 0 && RECORD_IS_CURRENT(id) && (seen_writer[id] == id || \
		now >= seen_at[id] + TAKEOVER_AFTER_TICKS)))
#ifdef READER_GOES_ON
#define MAY_APPEND(id) MAY_ACQUIRE(id)
#else
#define MAY_APPEND(id) (seen_era[id] == known_era[id] && MAY_ACQUIRE(id))
#endif

inline learn_era(id, named) {
	if
	:: named > known_era[id] ->
		known_era[id] = named;
		known_at[id] = now
	:: else
	fi
}

/* Clears variables that are no longer used, to reduce the number of distinct states. */
inline clear_append(id) {
	expected_end[id] = NONE;
	append_answer[id] = NONE;
	append_era[id] = 0;
	answer_era[id] = 0;
	append_started_at[id] = 0
}

inline clear_lease(id) {
	fence[id] = NONE;
	lease_era[id] = 0;
	renewal_end[id] = 0;
	lease_start[id] = 0
}

inline store_append(id) {
	d_step {
		if
		:: expected_end[id] == end ->
			append_answer[id] = end;
			answer_era[id] = era;
			writer[end] = id;
			record_era[end] = append_era[id];
			end++;
			expected_end[id] = NONE
		:: else -> clear_append(id)
		fi
	}
}

inline receive_answer(id) {
	d_step {
		learn_era(id, answer_era[id]);
		if
#ifndef ERA_OF_ANSWER_UNCHECKED
		:: answer_era[id] != append_era[id] -> clear_lease(id)
#endif
		:: else ->
			if
			:: fence[id] == NONE ->
				fence[id] = FENCE(answer_era[id], append_answer[id]);
				lease_era[id] = answer_era[id]
			:: else
			fi;
			renewal_end[id] = append_answer[id] + 1;
			lease_start[id] = append_started_at[id]
		fi;
		clear_append(id)
	}
}

inline start_append(id, end_offset, end_era) {
	d_step {
		expected_end[id] = end_offset;
		append_era[id] = end_era;
		append_started_at[id] = now
	}
}

proctype node(byte id) {
	do
	/* Reads the newest record. */
	:: atomic { !HAS_READ(id) ->
		learn_era(id, era);
		seen_end[id] = end;
		seen_era[id] = era;
		seen_at[id] = now;
		if
		:: end > 0 ->
			seen_writer[id] = writer[end - 1];
			seen_record_era[id] = record_era[end - 1]
		:: else ->
			seen_writer[id] = NONE;
			seen_record_era[id] = 0
		fi }
	/* Learns of the era from the answer to another task or from the other node. */
	:: atomic { known_era[id] != era -> learn_era(id, era) }
	/* Acquires the lease with an append at the log's end that it has read. */
	:: atomic { now < LAST_TICK && end < MAX_RECORDS && !HOLDS(id) && expected_end[id] == NONE &&
		append_answer[id] == NONE && MAY_APPEND(id) ->
		clear_lease(id);
		start_append(id, seen_end[id], seen_era[id]) }
	/* Renews the lease. */
	:: atomic { now < LAST_TICK && end < MAX_RECORDS && HOLDS(id) && expected_end[id] == NONE &&
		append_answer[id] == NONE -> start_append(id, renewal_end[id], lease_era[id]) }
	/* The append is stored after any delay or never; its answer arrives or is lost. */
	:: atomic { expected_end[id] != NONE && end < MAX_RECORDS -> store_append(id) }
	:: atomic { expected_end[id] != NONE -> clear_append(id) }
	:: atomic { append_answer[id] != NONE -> receive_answer(id) }
	:: atomic { append_answer[id] != NONE -> clear_append(id) }
	/* Uses the lease. */
	:: atomic { HOLDS(id) && (fence[id] != greatest_fence || HOLDS(1 - id) ||
		lease_era[id] != known_era[id]) ->
		assert(!HOLDS(1 - id));
		assert(lease_era[id] == known_era[id]);
		assert(fence[id] >= greatest_fence);
		greatest_fence = fence[id] }
	:: now == LAST_TICK -> break
	od
}

/* Returns from a copy that lacks the newest records. */
proctype store() {
	do
	:: atomic { era < LAST_ERA ->
		era++;
		do
		:: end > 0 ->
			end--;
			writer[end] = NONE;
			record_era[end] = 0
		:: break
		od }
	:: now == LAST_TICK -> break
	od
}

proctype clock() {
	byte id = 0;
	do
	:: d_step { now < LAST_TICK ->
		now++;
		id = 0;
		do
		:: id < NODES ->
			clear_lease(id);
			append_started_at[id] = 0;
			if
			:: append_answer[id] != NONE -> clear_append(id)
			:: else
			fi;
			id++
		:: else -> break
		od;
		id = 0 }
	:: now == LAST_TICK -> break
	od
}

init {
	atomic {
		byte id = 0;
		do
		:: id < NODES ->
			expected_end[id] = NONE; append_answer[id] = NONE; seen_writer[id] = NONE;
			fence[id] = NONE;
			id++
		:: else -> break
		od;
		id = 0;
		do
		:: id < MAX_RECORDS -> writer[id] = NONE; id++
		:: else -> break
		od;
		run node(0); run node(1); run store(); run clock()
	}
}
