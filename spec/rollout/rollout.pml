/*
 * The steward of weights: a lease by records appended with a condition, and orders to a server that
 * checks no fencing tokens but the number of orders it has accepted.
 *
 * Time passes in ticks on clocks that run while a host is suspended. An append lands late, while its
 * condition still holds, or never; its answer may be lost. A node may pause between any two steps,
 * and an order may arrive long after the lease under which it was given.
 *
 * At most one node holds the lease at any time, and the server never obeys an order of an older
 * lease after one of a newer lease.
 *
 * The code: crates/dispatch/src/lease.rs, crates/gateway/src/steward.
 *
 * Mutants: NO_CONDITION, COUNTED_FROM_ANSWER, TAKEOVER_EARLY, NO_EXPECTED_COUNT.
 */

#define LEASE 1
#define MARGIN 1
#define LAST 3		/* the last tick */
#define RECORDS 3
#define ORDERS 2		/* the orders that the server accepts at most */
#define NODES 2
#define NONE 255

byte now = 0;

/* The log: how many records, and of the newest its writer and whether it gave the lease back. */
byte end = 0;
byte writer = NONE;
bit released = 0;

/* An append on its way: where the log must end, when it was started, and whether it gives back. */
byte wanted_end[NODES];
byte started[NODES];
bit releases[NODES];
/* The answer of an append that landed: the record's offset. */
byte answer[NODES];

/* The newest record that a node has read, and when it first saw it. */
byte seen_end[NODES];
byte seen_writer[NODES];
bit seen_released[NODES];
byte seen_at[NODES];

/* A node's own lease: its fence, the end that a renewal needs, and from when it counts. */
byte fence[NODES];
byte own_end[NODES];
byte since[NODES];

/* An order on its way, by its fence, and the number of accepted orders that it expects. */
byte order[NODES];
byte expected[NODES];
/* What the server has accepted: how many orders, and the greatest fence. */
byte accepted = 0;
byte obeyed = NONE;

#ifdef TAKEOVER_EARLY
#define FREE_AFTER 0
#else
#define FREE_AFTER (LEASE + MARGIN)
#endif

#define HOLDS(who) (fence[who] != NONE && now < since[who] + LEASE)
#define MAY_CLAIM(who) (seen_end[who] == 0 || seen_released[who] || seen_writer[who] == who || \
	now >= seen_at[who] + FREE_AFTER)

/* What does not matter any more is cleared, so that fewer states differ. */
inline forget_append(who) {
	wanted_end[who] = NONE;
	answer[who] = NONE;
	started[who] = 0;
	releases[who] = 0
}

inline forget_lease(who) {
	fence[who] = NONE;
	own_end[who] = 0;
	since[who] = 0
}

inline land(who) {
	d_step {
		if
#ifdef NO_CONDITION
		:: true ->
#else
		:: wanted_end[who] == end ->
#endif
			answer[who] = end;
			writer = who;
			released = releases[who];
			end++;
			wanted_end[who] = NONE
		:: else -> forget_append(who)
		fi
	}
}

inline take_answer(who) {
	d_step {
		if
		:: releases[who] -> forget_lease(who)
		:: else ->
			if
			:: fence[who] == NONE -> fence[who] = answer[who]
			:: else
			fi;
			own_end[who] = answer[who] + 1;
#ifdef COUNTED_FROM_ANSWER
			since[who] = now
#else
			since[who] = started[who]
#endif
		fi;
		forget_append(who)
	}
}

inline start_append(who, at, gives_back) {
	d_step {
		wanted_end[who] = at;
		started[who] = now;
		releases[who] = gives_back
	}
}

proctype node(byte who) {
	do
	/* Reads the newest record. */
	:: atomic { seen_end[who] != end ->
		seen_end[who] = end;
		seen_writer[who] = writer;
		seen_released[who] = released;
		seen_at[who] = now }
	/* Claims the lease at the end that it has read. */
	:: atomic { now < LAST && end < RECORDS && !HOLDS(who) && wanted_end[who] == NONE &&
		answer[who] == NONE && MAY_CLAIM(who) ->
		forget_lease(who);
		start_append(who, seen_end[who], 0) }
	/* Renews it, or gives it back. */
	:: atomic { now < LAST && end < RECORDS && HOLDS(who) && wanted_end[who] == NONE &&
		answer[who] == NONE -> start_append(who, own_end[who], 0) }
	:: atomic { end < RECORDS && HOLDS(who) && order[who] == NONE && wanted_end[who] == NONE &&
		answer[who] == NONE ->
		start_append(who, own_end[who], 1);
		forget_lease(who) }
	/* The append lands now, later or never; its answer comes, or is lost. */
	:: atomic { wanted_end[who] != NONE && end < RECORDS -> land(who) }
	:: atomic { wanted_end[who] != NONE -> forget_append(who) }
	:: atomic { answer[who] != NONE -> take_answer(who) }
	:: atomic { answer[who] != NONE -> forget_append(who) }
	/* Asks the server how many orders it has accepted, and orders it while the lease runs. */
	:: atomic { HOLDS(who) && order[who] == NONE && expected[who] == NONE &&
		accepted < ORDERS -> expected[who] = accepted }
	:: atomic { HOLDS(who) && order[who] == NONE && expected[who] != NONE ->
		assert(!HOLDS(1 - who));
		order[who] = fence[who] }
	/* The order arrives, at any later time, or never. */
	:: atomic { order[who] != NONE ->
		if
#ifdef NO_EXPECTED_COUNT
		:: true ->
#else
		:: expected[who] == accepted ->
#endif
			assert(obeyed == NONE || order[who] >= obeyed);
			obeyed = order[who];
			accepted++
		:: else
		fi;
		order[who] = NONE;
		expected[who] = NONE }
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
		byte who = 0;
		do
		:: who < NODES ->
			wanted_end[who] = NONE; answer[who] = NONE; seen_writer[who] = NONE;
			fence[who] = NONE; order[who] = NONE; expected[who] = NONE;
			who++
		:: else -> break
		od;
		run node(0); run node(1); run clock()
	}
}
