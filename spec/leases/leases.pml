/*
 * A steward's lease in an append-only log, and a server that checks fencing tokens.
 *
 * Time passes in ticks; clocks differ only by constants, which cancel. Two nodes claim the lease.
 * An append lands late or never, and its answer is the record read back. A node may pause between
 * any two steps, an order that it sent may arrive late, and node 0 may restart.
 *
 * At most one node holds the lease at any time, and a server that checks tokens obeys no order
 * older than one it has obeyed.
 *
 * Mutants: COUNTED_FROM_ANSWER, NO_EARLY_STOP, NO_FENCING, TAKEOVER_EARLY.
 */

#define LEASE 3
#define HOLD 2		/* two thirds of the lease */
#define LAST 5		/* the last tick */
#define RECORDS 3
#define NODES 2
#define NONE 255

byte now = 0;

/* The log: how many records, and the newest granted lease. */
byte end = 0;
byte granted = NONE;
byte granted_at = 0;
byte granted_to = NONE;
byte granted_begun = 0;

/* When each node sent the claim that is on its way. */
byte sent_at[NODES];

/* Each node's own lease as it has read it, and from when it counts. */
byte token[NODES];
byte begun[NODES];

/* An order on its way, by its token, and the greatest token that the server has obeyed. */
byte order[NODES];
byte obeyed = NONE;

#ifdef NO_EARLY_STOP
#define BOUND (LEASE + 1)
#else
#define BOUND HOLD
#endif

#ifdef TAKEOVER_EARLY
#define FREE_AFTER 1
#else
#define FREE_AFTER LEASE
#endif

#define HOLDS(who) (token[who] != NONE && now < begun[who] + BOUND)

/* A renewal is granted while the lease runs; a claim when no lease runs. */
inline land(who) {
	d_step {
		if
		:: granted == NONE || granted_to == who || now >= granted_at + FREE_AFTER ->
			granted = end;
			granted_at = now;
			granted_to = who;
			granted_begun = sent_at[who]
		:: else
		fi;
		end++;
		sent_at[who] = NONE
	}
}

inline read_back(who) {
	d_step {
		if
		:: granted_to == who ->
			token[who] = granted;
#ifdef COUNTED_FROM_ANSWER
			begun[who] = now
#else
			begun[who] = granted_begun
#endif
		:: else ->
			token[who] = NONE;
			begun[who] = 0
		fi
	}
}

inline arrive(who) {
	d_step {
		if
#ifdef NO_FENCING
		:: true ->
#else
		:: obeyed == NONE || order[who] >= obeyed ->
#endif
			assert(obeyed == NONE || order[who] >= obeyed);
			obeyed = order[who]
		:: else
		fi;
		order[who] = NONE
	}
}

proctype node(byte who) {
	bit restarted = 0;

	do
	/* Sends a claim or renewal and counts from here. */
	:: atomic { now < LAST && sent_at[who] == NONE && end < RECORDS -> sent_at[who] = now }
	/* The claim lands, now or later, or is lost. */
	:: atomic { sent_at[who] != NONE && end < RECORDS -> land(who) }
	:: atomic { sent_at[who] != NONE -> sent_at[who] = NONE }
	/* Reads the newest granted lease. */
	:: atomic { granted != NONE && (token[who] != granted) &&
		(granted_to == who || token[who] != NONE) -> read_back(who) }
	/* Checks its token and sends an order in one step. */
	:: atomic { HOLDS(who) && order[who] == NONE ->
		assert(!HOLDS(1 - who));
		order[who] = token[who] }
	/* The order arrives, at any later time. */
	:: atomic { order[who] != NONE -> arrive(who) }
	/* Restarts as another holder: the old life's lease is nobody's. */
	:: atomic { who == 0 && !restarted && sent_at[who] == NONE ->
		restarted = 1; token[who] = NONE; begun[who] = 0;
		if
		:: granted_to == who -> granted_to = NODES
		:: else
		fi }
	:: now == LAST -> break
	od
}

proctype clock() {
	do
	:: now < LAST -> now++
	:: now == LAST -> break
	od
}

init {
	atomic {
		sent_at[0] = NONE; sent_at[1] = NONE;
		token[0] = NONE; token[1] = NONE;
		order[0] = NONE; order[1] = NONE;
		run node(0); run node(1); run clock()
	}
}
