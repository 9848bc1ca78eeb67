/*
 * A lease in an append-only log, and a server that checks the holder's fencing tokens.
 *
 * Time advances in ticks; clocks differ only by constants, which cancel. Two nodes compete for the
 * lease. An append is stored after any delay or never, and a node confirms it by reading the record
 * back. A node may pause between any two steps, a command that it sent may arrive after any delay,
 * and node 0 may restart.
 *
 * Invariants: at most one node holds the lease at any time, and a server that checks tokens accepts
 * no command with a token older than one that it has accepted.
 *
 * Mutants: COUNTED_FROM_ANSWER, NO_EARLY_STOP, NO_FENCING, TAKEOVER_EARLY.
 */

#define LEASE_TICKS 3
#define HOLD_TICKS 2	/* two thirds of the lease, after which the holder stops */
#define LAST_TICK 5
#define MAX_RECORDS 3
#define NODES 2
#define NONE 255

byte now = 0;

/* The log: the number of records, and the newest granted lease. */
byte end = 0;
byte granted_offset = NONE;
byte granted_at = 0;
byte granted_holder = NONE;
byte granted_start = 0;

/* When each node sent its append in flight. */
byte append_sent_at[NODES];

/* Each node's own lease as it has read it back, and the tick from which it counts the lease. */
byte token[NODES];
byte lease_start[NODES];

/* The token of each node's command in flight, and the greatest token that the server accepted. */
byte command[NODES];
byte accepted_token = NONE;

#ifdef NO_EARLY_STOP
#define HOLDER_LIMIT_TICKS (LEASE_TICKS + 1)
#else
#define HOLDER_LIMIT_TICKS HOLD_TICKS
#endif

#ifdef TAKEOVER_EARLY
#define TAKEOVER_AFTER_TICKS 1
#else
#define TAKEOVER_AFTER_TICKS LEASE_TICKS
#endif

#define HOLDS(id) (token[id] != NONE && now < lease_start[id] + HOLDER_LIMIT_TICKS)

/* Grants a renewal by the newest lease's holder, or an acquisition after that lease expired. */
inline store_append(id) {
	d_step {
		if
		:: granted_offset == NONE || granted_holder == id ||
			now >= granted_at + TAKEOVER_AFTER_TICKS ->
			granted_offset = end;
			granted_at = now;
			granted_holder = id;
			granted_start = append_sent_at[id]
		:: else
		fi;
		end++;
		append_sent_at[id] = NONE
	}
}

inline read_back(id) {
	d_step {
		if
		:: granted_holder == id ->
			token[id] = granted_offset;
#ifdef COUNTED_FROM_ANSWER
			lease_start[id] = now
#else
			lease_start[id] = granted_start
#endif
		:: else ->
			token[id] = NONE;
			lease_start[id] = 0
		fi
	}
}

inline deliver(id) {
	d_step {
		if
#ifdef NO_FENCING
		:: true ->
#else
		:: accepted_token == NONE || command[id] >= accepted_token ->
#endif
			assert(accepted_token == NONE || command[id] >= accepted_token);
			accepted_token = command[id]
		:: else
		fi;
		command[id] = NONE
	}
}

proctype node(byte id) {
	bit restarted = 0;

	do
	/* Sends an acquisition or renewal; the lease counts from this tick. */
	:: atomic { now < LAST_TICK && append_sent_at[id] == NONE && end < MAX_RECORDS ->
		append_sent_at[id] = now }
	/* The append is stored after any delay, or is lost. */
	:: atomic { append_sent_at[id] != NONE && end < MAX_RECORDS -> store_append(id) }
	:: atomic { append_sent_at[id] != NONE -> append_sent_at[id] = NONE }
	/* Reads the newest granted lease. */
	:: atomic { granted_offset != NONE && (token[id] != granted_offset) &&
		(granted_holder == id || token[id] != NONE) -> read_back(id) }
	/* Checks that it holds the lease and sends a command in one step. */
	:: atomic { HOLDS(id) && command[id] == NONE ->
		assert(!HOLDS(1 - id));
		command[id] = token[id] }
	/* The command arrives after any delay. */
	:: atomic { command[id] != NONE -> deliver(id) }
	/* Restarts as a new incarnation: no node holds the lease of the old incarnation. */
	:: atomic { id == 0 && !restarted && append_sent_at[id] == NONE ->
		restarted = 1; token[id] = NONE; lease_start[id] = 0;
		if
		:: granted_holder == id -> granted_holder = NODES
		:: else
		fi }
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
		append_sent_at[0] = NONE; append_sent_at[1] = NONE;
		token[0] = NONE; token[1] = NONE;
		command[0] = NONE; command[1] = NONE;
		run node(0); run node(1); run clock()
	}
}
