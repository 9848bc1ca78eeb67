/* At-most-once execution of one order through an append-only log.
 *
 * One key, created at time 0, and ATTEMPTS attempts to execute its order, each with its own owner
 * host. An owner may stop at any step: interleaving models pauses, and the crash option models
 * crashes. An append is stored after any delay or never; the last attempt's intent may be stored
 * twice. The log drops a record once it is older than RETENTION.
 *
 * Mutants, by -D: NO_READ_BACK, RELEASE_BY_OTHER, AGE_BEFORE_APPEND, NO_GAP_CHECK,
 * ATTEMPT_NOT_REMOVED, RELEASE_NOT_RECORDED, VOID_NOT_RECORDED, NO_RELEASE.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef LAST_TIME
#define LAST_TIME 4     /* the last time of the log's clock; 0 excludes time and retention */
#endif
#define WINDOW 1        /* an intent that is stored later never takes effect */
#define RETENTION 2     /* a record older than this may be deleted */
#define LOG_SIZE 9

#define INTENT 1
#define OUTCOME 2
#define RELEASE 3

#define BIT(a) (1 << (a))

#ifdef AGE_BEFORE_APPEND
#define WITHIN_WINDOW(t) true
#else
#define WITHIN_WINDOW(t) ((t) <= WINDOW)
#endif
#ifdef VOID_NOT_RECORDED
#define VOID_BIT(a) 0
#else
#define VOID_BIT(a) BIT(a)
#endif
#ifdef RELEASE_NOT_RECORDED
#define EARLY_RELEASE_BIT(a) 0
#else
#define EARLY_RELEASE_BIT(a) BIT(a)
#endif
#ifdef NO_GAP_CHECK
#define IS_COVERED true
#else
#define IS_COVERED covered
#endif
#ifdef NO_RELEASE
#define RELEASE_SENT 0
#else
#define RELEASE_SENT 1
#endif

/* The log. */
byte kind[LOG_SIZE];
byte attempt[LOG_SIZE];
byte appended_at[LOG_SIZE];
byte first_retained = 0;    /* the oldest retained record */
byte end = 0;               /* the offset of the next record */
byte clock = 0;

/* Appends that were sent and may still be stored, by attempt; attempt 0 is unused. */
byte intents[ATTEMPTS + 1];
byte outcomes[ATTEMPTS + 1];
byte releases[ATTEMPTS + 1];

/* Global facts, used by the assertions only. */
byte dispatched = 0;        /* the attempt that was dispatched */
byte reported_not_run = 0;  /* the attempts reported to a caller as not run */
byte crashed = 0;           /* the attempts whose owner crashed */
byte finished_owners = 0;   /* the number of owners that finished */

inline append(k, a) {
    assert(end < LOG_SIZE);
    kind[end] = k;
    attempt[end] = a;
    appended_at[end] = clock;
    end++
}

inline dispatch(a) {
    assert(dispatched == 0);
    assert(!(reported_not_run & BIT(a)));
    dispatched = a;
    outcomes[a] = 1
}

/* Ledger::expire, then Ledger::apply, for the record at `next`. */
inline apply_next() {
    if
    :: appended_at[next] > WINDOW -> holder = 0; invalidated = 0
    :: else
    fi;
    if
    :: kind[next] == INTENT && (invalidated & BIT(attempt[next])) -> skip
    :: kind[next] == INTENT && !WITHIN_WINDOW(appended_at[next]) -> skip
    :: kind[next] == INTENT && WITHIN_WINDOW(appended_at[next]) &&
        !(invalidated & BIT(attempt[next])) ->
        read_intent = attempt[next];
        if
        :: holder == 0 -> holder = attempt[next]
        :: holder == attempt[next] -> skip
        :: else -> invalidated = invalidated | VOID_BIT(attempt[next])
        fi
    :: kind[next] == RELEASE && holder == attempt[next] ->
        holder = 0;
        invalidated = invalidated | BIT(attempt[next])
    :: kind[next] == RELEASE && holder != attempt[next] ->
        invalidated = invalidated | EARLY_RELEASE_BIT(attempt[next])
    :: kind[next] == OUTCOME -> skip
    fi;
    next++
}

/* One owner: Executor::submit, Follower::accept, Executor::applied, Executor::abandon. */
proctype Owner(byte id) {
    byte next = 0;
    byte holder = 0;
    byte invalidated = 0;
    byte read_intent = 0;
    bool covered = true;
    bool pending = false;   /* the owner's intent has not been read back yet */

    /* Executor::age_refusal, then Executor::claim_key. */
    if
    :: atomic { clock <= WINDOW -> intents[id] = 1 + (id == ATTEMPTS); pending = true }
    :: goto done
    fi;
#ifdef NO_READ_BACK
    atomic { dispatch(id); pending = false };
#endif
    do
    :: atomic { /* Follower::update_start: a gap */
        pending && next < first_retained -> next = first_retained; covered = false }
    :: atomic { /* Follower::accept_record and Ledger::apply */
        pending && next >= first_retained && next < end ->
        read_intent = 0;
        apply_next();
        if
        :: read_intent == id && holder == id ->
            pending = false;
            if
            :: IS_COVERED -> dispatch(id)
            :: else -> reported_not_run = reported_not_run | BIT(id); releases[id] = RELEASE_SENT
            fi
        :: read_intent == id && holder != id -> pending = false /* Executor::wait_for_holder */
        :: else
        fi;
        read_intent = 0 }
    :: atomic { /* Executor::abandon_if_due */
        pending && !(reported_not_run & BIT(id)) ->
        releases[id] = RELEASE_SENT;
        if
        :: holder == 0 -> reported_not_run = reported_not_run | BIT(id)
        :: else
        fi;
#ifndef ATTEMPT_NOT_REMOVED
        pending = false
#endif
        }
    :: atomic { pending -> crashed = crashed | BIT(id); break }
#ifdef RELEASE_BY_OTHER
    :: atomic { pending && holder != 0 && holder != id && releases[holder] == 0 ->
        releases[holder] = 1 }
#endif
    :: atomic { !pending -> break }
    od;
done:
    atomic { finished_owners++; next = 0; holder = 0; invalidated = 0; covered = true;
        pending = false }
}

/* Stores or loses the appends in flight. */
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

/* Advances the log's clock and deletes old records. */
proctype Platform() {
end_platform:
    do
    :: atomic { clock < LAST_TIME -> clock++ }
    :: atomic { first_retained < end && appended_at[first_retained] + RETENTION < clock ->
        first_retained++ }
    od
}

/* Reads the complete log once no more record can be appended: no key may be held by an attempt
 * that was not dispatched and will not be, unless its owner crashed. */
proctype Auditor() {
    byte next = 0;
    byte holder = 0;
    byte invalidated = 0;
    byte read_intent = 0;
    byte in_flight = 0;
    byte a;

end_auditor:
    atomic {
        finished_owners == ATTEMPTS && first_retained == 0 ->
        for (a : 1 .. ATTEMPTS) {
            in_flight = in_flight + intents[a] + (releases[a] == 1) + (outcomes[a] == 1)
        };
        if
        :: in_flight == 0 ->
            do
            :: next < end -> apply_next()
            :: else -> break
            od;
            assert(holder == 0 || holder == dispatched || (crashed & BIT(holder)))
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
