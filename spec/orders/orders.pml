/* At-most-once execution of one order through an append-only log.
 *
 * One key, created at time 0, and ATTEMPTS attempts at it, each with its own owner host. Owners
 * stop anywhere: interleaving stands for pauses, and the crash option for death. Appends land at
 * any later time or never; that of the last attempt's intent may land twice. The log drops a record once it is older than RETENTION.
 *
 * Mutants, by -D: NO_READ_BACK, RELEASE_BY_OTHER, AGE_BEFORE_APPEND, NO_GAP_CHECK, NOT_FORGOTTEN,
 * RELEASE_NOT_REMEMBERED, VOID_NOT_REMEMBERED, NO_RELEASE.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LAST_TIME
#define LAST_TIME 4     /* the last moment of the log's clock; 0 leaves time and retention out */
#endif
#define WINDOW 1        /* an intent that lands later never counts */
#define RETENTION 2     /* a record older than this may be gone */
#define LOG_SIZE 9

#define INTENT 1
#define OUTCOME 2
#define RELEASE 3

#define BIT(a) (1 << (a))

#ifdef AGE_BEFORE_APPEND
#define IN_TIME(t) true
#else
#define IN_TIME(t) ((t) <= WINDOW)
#endif
#ifdef VOID_NOT_REMEMBERED
#define VOID_BIT(a) 0
#else
#define VOID_BIT(a) BIT(a)
#endif
#ifdef RELEASE_NOT_REMEMBERED
#define EARLY_RELEASE_BIT(a) 0
#else
#define EARLY_RELEASE_BIT(a) BIT(a)
#endif
#ifdef NO_GAP_CHECK
#define COVERED true
#else
#define COVERED covered
#endif
#ifdef NO_RELEASE
#define RELEASE_SENT 0
#else
#define RELEASE_SENT 1
#endif

/* The log. */
byte kind[LOG_SIZE];
byte attempt[LOG_SIZE];
byte time[LOG_SIZE];
byte first = 0;         /* the oldest retained record */
byte end = 0;           /* where the next record goes */
byte clock = 0;

/* Appends that were sent and may still land, by attempt; attempt 0 is unused. */
byte intents[ATTEMPTS + 1];
byte outcomes[ATTEMPTS + 1];
byte releases[ATTEMPTS + 1];

/* What is true, for the assertions only. */
byte executed = 0;      /* the attempt that ran */
byte not_run = 0;       /* the attempts of which a caller was told 'not run' */
byte crashed = 0;       /* the attempts whose owner died */
byte finished = 0;      /* owners that are done */

inline append(k, a) {
    assert(end < LOG_SIZE);
    kind[end] = k;
    attempt[end] = a;
    time[end] = clock;
    end++
}

inline dispatch(a) {
    assert(executed == 0);
    assert(!(not_run & BIT(a)));
    executed = a;
    outcomes[a] = 1
}

/* Ledger::expire, then Ledger::apply, for the record at `next`. */
inline apply_next() {
    if
    :: time[next] > WINDOW -> holder = 0; dead = 0
    :: else
    fi;
    if
    :: kind[next] == INTENT && (dead & BIT(attempt[next])) -> skip
    :: kind[next] == INTENT && !IN_TIME(time[next]) -> skip
    :: kind[next] == INTENT && IN_TIME(time[next]) && !(dead & BIT(attempt[next])) ->
        seen = attempt[next];
        if
        :: holder == 0 -> holder = attempt[next]
        :: holder == attempt[next] -> skip
        :: else -> dead = dead | VOID_BIT(attempt[next])
        fi
    :: kind[next] == RELEASE && holder == attempt[next] ->
        holder = 0;
        dead = dead | BIT(attempt[next])
    :: kind[next] == RELEASE && holder != attempt[next] ->
        dead = dead | EARLY_RELEASE_BIT(attempt[next])
    :: kind[next] == OUTCOME -> skip
    fi;
    next++
}

/* One owner: Executor::submit, Follower::accept, Executor::applied, give_up. */
proctype Owner(byte me) {
    byte next = 0;
    byte holder = 0;
    byte dead = 0;
    byte seen = 0;
    bool covered = true;
    bool pending = false;   /* the own intent waits to be read back */

    /* Executor::age_refusal, then Executor::claim. */
    if
    :: atomic { clock <= WINDOW -> intents[me] = 1 + (me == ATTEMPTS); pending = true }
    :: goto done
    fi;
#ifdef NO_READ_BACK
    atomic { dispatch(me); pending = false };
#endif
    do
    :: atomic { /* Follower::note_start: a gap */
        pending && next < first -> next = first; covered = false }
    :: atomic { /* Follower::accept_record and Ledger::apply */
        pending && next >= first && next < end ->
        seen = 0;
        apply_next();
        if
        :: seen == me && holder == me ->
            pending = false;
            if
            :: COVERED -> dispatch(me)
            :: else -> not_run = not_run | BIT(me); releases[me] = RELEASE_SENT
            fi
        :: seen == me && holder != me -> pending = false /* Executor::follow_holder */
        :: else
        fi;
        seen = 0 }
    :: atomic { /* Executor::give_up_if_due */
        pending && !(not_run & BIT(me)) ->
        releases[me] = RELEASE_SENT;
        if
        :: holder == 0 -> not_run = not_run | BIT(me)
        :: else
        fi;
#ifndef NOT_FORGOTTEN
        pending = false
#endif
        }
    :: atomic { pending -> crashed = crashed | BIT(me); break }
#ifdef RELEASE_BY_OTHER
    :: atomic { pending && holder != 0 && holder != me && releases[holder] == 0 ->
        releases[holder] = 1 }
#endif
    :: atomic { !pending -> break }
    od;
done:
    atomic { finished++; next = 0; holder = 0; dead = 0; covered = true; pending = false }
}

/* Lands or loses what was sent. */
proctype Network() {
    byte a;
end_network:
    do
    :: atomic { intents[1] > 0 -> a = 1; intents[a]--; if :: append(INTENT, a) :: skip fi; a = 0 }
    :: atomic { intents[2] > 0 -> a = 2; intents[a]--; if :: append(INTENT, a) :: skip fi; a = 0 }
#if ATTEMPTS > 2
    :: atomic { intents[3] > 0 -> a = 3; intents[a]--; if :: append(INTENT, a) :: skip fi; a = 0 }
    :: atomic { releases[3] == 1 -> append(RELEASE, 3); releases[3] = 2 }
    :: atomic { outcomes[3] == 1 -> append(OUTCOME, 3); outcomes[3] = 2 }
#endif
    :: atomic { releases[1] == 1 -> append(RELEASE, 1); releases[1] = 2 }
    :: atomic { releases[2] == 1 -> append(RELEASE, 2); releases[2] = 2 }
    :: atomic { outcomes[1] == 1 -> append(OUTCOME, 1); outcomes[1] = 2 }
    :: atomic { outcomes[2] == 1 -> append(OUTCOME, 2); outcomes[2] = 2 }
    od
}

/* Moves the log's clock and drops old records. */
proctype Platform() {
end_platform:
    do
    :: atomic { clock < LAST_TIME -> clock++ }
    :: atomic { first < end && time[first] + RETENTION < clock -> first++ }
    od
}

/* Reads the whole log once nothing can change any more: no key may be held by an attempt that
 * did not run, will not run, and whose owner lives. */
proctype Auditor() {
    byte next = 0;
    byte holder = 0;
    byte dead = 0;
    byte seen = 0;
    byte open = 0;
    byte a;

end_auditor:
    atomic {
        finished == ATTEMPTS && first == 0 ->
        for (a : 1 .. ATTEMPTS) {
            open = open + intents[a] + (releases[a] == 1) + (outcomes[a] == 1)
        };
        if
        :: open == 0 ->
            do
            :: next < end -> apply_next()
            :: else -> break
            od;
            assert(holder == 0 || holder == executed || (crashed & BIT(holder)))
        :: else
        fi
    }
}

init {
    byte a;
    atomic {
        for (a : 1 .. ATTEMPTS) {
            run Owner(a)
        };
        run Network();
        run Auditor();
#if LAST_TIME > 0
        run Platform()
#endif
    }
}
