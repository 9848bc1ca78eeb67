/*
 * The rollout leader of model weights: a lease through conditional appends to a log, and commands
 * to a server that checks no fencing tokens, only the number of commands that it has accepted.
 *
 * Time advances in ticks on clocks that keep running while a host is suspended. An append is stored
 * after any delay while its condition holds, or never; its answer may be lost. A node may pause
 * between any two steps, and a command may arrive long after the lease under which it was sent.
 *
 * Invariants: at most one node holds the lease at any time, and the server never accepts a command
 * of an older lease after one of a newer lease.
 *
 * The code: crates/dispatch/src/lease.rs, crates/gateway/src/rollout_leader.
 *
 * Mutants: NO_CONDITION, COUNTED_FROM_ANSWER, TAKEOVER_EARLY, NO_EXPECTED_COUNT.
 */

#define LEASE_TICKS 1
#define MARGIN_TICKS 1
#define LAST_TICK 3
#define MAX_RECORDS 3
#define MAX_COMMANDS 2		/* the maximum number of commands that the server accepts */
#define NODES 2
#define NONE 255

byte now = 0;

/* The log: the number of records, the newest record's writer, and whether it released the lease. */
byte end = 0;
byte newest_writer = NONE;
bit newest_released = 0;

/* An append in flight: the log's end that it requires, its start, and whether it is a release. */
byte expected_end[NODES];
byte append_started_at[NODES];
bit append_releases[NODES];
/* The answer to an append that was stored: the record's offset. */
byte append_answer[NODES];

/* The newest record that a node has read, and when it first read it. */
byte seen_end[NODES];
byte seen_writer[NODES];
bit seen_released[NODES];
byte seen_at[NODES];

/* A node's own lease: its fence, the log's end that a renewal expects, and its start. */
byte fence[NODES];
byte renewal_end[NODES];
byte lease_start[NODES];

/* The fence of a command in flight, and the number of accepted commands that it expects. */
byte command[NODES];
byte expected_count[NODES];
/* The number of commands that the server has accepted, and their greatest fence. */
byte accepted_count = 0;
byte accepted_fence = NONE;

#ifdef TAKEOVER_EARLY
#define TAKEOVER_AFTER_TICKS 0
#else
#define TAKEOVER_AFTER_TICKS (LEASE_TICKS + MARGIN_TICKS)
#endif

#define HOLDS(id) (fence[id] != NONE && now < lease_start[id] + LEASE_TICKS)
#define MAY_ACQUIRE(id) (seen_end[id] == 0 || seen_released[id] || seen_writer[id] == id || \
	now >= seen_at[id] + TAKEOVER_AFTER_TICKS)

/* Clears variables that are no longer used, to reduce the number of distinct states. */
inline clear_append(id) {
	expected_end[id] = NONE;
	append_answer[id] = NONE;
	append_started_at[id] = 0;
	append_releases[id] = 0
}

inline clear_lease(id) {
	fence[id] = NONE;
	renewal_end[id] = 0;
	lease_start[id] = 0
}

inline store_append(id) {
	d_step {
		if
#ifdef NO_CONDITION
		:: true ->
#else
		:: expected_end[id] == end ->
#endif
			append_answer[id] = end;
			newest_writer = id;
			newest_released = append_releases[id];
			end++;
			expected_end[id] = NONE
		:: else -> clear_append(id)
		fi
	}
}

inline receive_answer(id) {
	d_step {
		if
		:: append_releases[id] -> clear_lease(id)
		:: else ->
			if
			:: fence[id] == NONE -> fence[id] = append_answer[id]
			:: else
			fi;
			renewal_end[id] = append_answer[id] + 1;
#ifdef COUNTED_FROM_ANSWER
			lease_start[id] = now
#else
			lease_start[id] = append_started_at[id]
#endif
		fi;
		clear_append(id)
	}
}

inline start_append(id, end_offset, is_release) {
	d_step {
		expected_end[id] = end_offset;
		append_started_at[id] = now;
		append_releases[id] = is_release
	}
}

proctype node(byte id) {
	do
	/* Reads the newest record. */
	:: atomic { seen_end[id] != end ->
		seen_end[id] = end;
		seen_writer[id] = newest_writer;
		seen_released[id] = newest_released;
		seen_at[id] = now }
	/* Acquires the lease with an append at the log's end that it has read. */
	:: atomic { now < LAST_TICK && end < MAX_RECORDS && !HOLDS(id) && expected_end[id] == NONE &&
		append_answer[id] == NONE && MAY_ACQUIRE(id) ->
		clear_lease(id);
		start_append(id, seen_end[id], 0) }
	/* Renews or releases the lease. */
	:: atomic { now < LAST_TICK && end < MAX_RECORDS && HOLDS(id) && expected_end[id] == NONE &&
		append_answer[id] == NONE -> start_append(id, renewal_end[id], 0) }
	:: atomic { end < MAX_RECORDS && HOLDS(id) && command[id] == NONE && expected_end[id] == NONE &&
		append_answer[id] == NONE ->
		start_append(id, renewal_end[id], 1);
		clear_lease(id) }
	/* The append is stored after any delay or never; its answer arrives or is lost. */
	:: atomic { expected_end[id] != NONE && end < MAX_RECORDS -> store_append(id) }
	:: atomic { expected_end[id] != NONE -> clear_append(id) }
	:: atomic { append_answer[id] != NONE -> receive_answer(id) }
	:: atomic { append_answer[id] != NONE -> clear_append(id) }
	/* Queries the server's count of accepted commands; sends a command while it holds the lease. */
	:: atomic { HOLDS(id) && command[id] == NONE && expected_count[id] == NONE &&
		accepted_count < MAX_COMMANDS -> expected_count[id] = accepted_count }
	:: atomic { HOLDS(id) && command[id] == NONE && expected_count[id] != NONE ->
		assert(!HOLDS(1 - id));
		command[id] = fence[id] }
	/* The command arrives after any delay or never. */
	:: atomic { command[id] != NONE ->
		if
#ifdef NO_EXPECTED_COUNT
		:: true ->
#else
		:: expected_count[id] == accepted_count ->
#endif
			assert(accepted_fence == NONE || command[id] >= accepted_fence);
			accepted_fence = command[id];
			accepted_count++
		:: else
		fi;
		command[id] = NONE;
		expected_count[id] = NONE }
	:: now == LAST_TICK -> break
	od
}

proctype clock() {
	do
	:: now < LAST_TICK -> now++
	:: now == LAST_TICK -> break
	od
}

init {
	atomic {
		byte id = 0;
		do
		:: id < NODES ->
			expected_end[id] = NONE; append_answer[id] = NONE; seen_writer[id] = NONE;
			fence[id] = NONE; command[id] = NONE; expected_count[id] = NONE;
			id++
		:: else -> break
		od;
		run node(0); run node(1); run clock()
	}
}
