//! Quarantine of requests that crash servers, resent through any entry host, beside innocent ones.

mod common;

use admission::crash_limit::{CrashLimits, REFUSED_MS, Restriction, Restrictions};
use admission::isolation::{GRANT_MS, IsolationTable, TAKEOVER_PERIOD_MS};
use admission::quarantine::{
    QUARANTINE_MS, Quarantine, QuarantineStatus, ReportOutcome, SUSPECT_EXPIRY_MS, StartedAttempt,
};
use common::crash_simulation::{Scenario, simulate};
use common::{attempt, checker, host, organisation, service};
use protocol::error::ErrorKind;
use protocol::ids::{HostName, Incarnation};
use protocol::message::suspect::{
    ConfirmedCrash, IsolateAnswer, IsolateRelease, IsolateRequest, SuspectCleared, SuspectDigest,
    SuspectReport,
};
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 23;
const SCENARIOS: u64 = 2_000;

#[test]
fn a_crashing_request_crashes_at_most_two_servers_and_other_requests_complete() {
    checker(SEED, SCENARIOS).quickcheck(is_contained as fn(Scenario) -> bool);

    fn is_contained(scenario: Scenario) -> bool {
        let outcome = simulate(&scenario);
        outcome.crashes <= 2 && outcome.unanswered == 0 && outcome.wrongly_refused == 0
    }
}

#[test]
fn altered_prompts_crash_a_bounded_number_of_servers_and_other_requests_complete() {
    checker(SEED, 200).quickcheck(is_limited as fn(Scenario) -> bool);

    fn is_limited(scenario: Scenario) -> bool {
        let end_ms = 60_000;
        let scenario = Scenario { altered: true, copies: 1, host_crash: None, end_ms, ..scenario };
        let outcome = simulate(&scenario);
        let further_crashes = (end_ms / REFUSED_MS) as usize;
        outcome.crashes <= 4 + further_crashes && outcome.unanswered == 0
    }
}

fn digest(text: &str) -> SuspectDigest {
    SuspectDigest::new(&organisation("member"), &service(), text.as_bytes())
}

fn attempt_on(text: &str, number: u64, server: &str, on_probation: bool) -> StartedAttempt {
    StartedAttempt {
        digest: digest(text),
        organisation: organisation("member"),
        service: service(),
        attempt_id: attempt(number),
        entry: host("entry"),
        server: host(server),
        incarnation: Incarnation::new(1),
        on_probation,
    }
}

fn status(quarantine: &Quarantine, text: &str, now_ms: u64) -> QuarantineStatus {
    quarantine.status(&digest(text), |_| false, 0.0, now_ms)
}

/// Runs a request on a server that crashes, and reports the crash.
fn crash(quarantine: &Quarantine, number: u64, server: &str, now_ms: u64) -> ReportOutcome {
    quarantine.started(attempt_on("text", number, server, false));
    let reports = quarantine.server_crashed(&host(server), Incarnation::new(1));
    quarantine.report(&reports[0], now_ms)
}

#[test]
fn the_second_crash_refuses_the_request_with_a_retry_time() {
    let quarantine = Quarantine::new();
    assert_eq!(crash(&quarantine, 1, "server-a", 0), ReportOutcome::Suspect);
    assert_eq!(status(&quarantine, "text", 0), QuarantineStatus::Suspect);
    let outcome = crash(&quarantine, 2, "server-b", 0);
    assert!(matches!(outcome, ReportOutcome::Confirmed(_)));
    let QuarantineStatus::Refused(refusal) = status(&quarantine, "text", QUARANTINE_MS - 20_000)
    else {
        panic!("not refused");
    };
    assert_eq!((refusal.kind, refusal.retry_after_s), (ErrorKind::Quarantined, Some(20)));
    assert_eq!(status(&quarantine, "text", QUARANTINE_MS), QuarantineStatus::Suspect);
    assert_eq!(status(&quarantine, "other", 0), QuarantineStatus::Clear);
}

#[test]
fn a_further_crash_doubles_the_refusal_time() {
    let quarantine = Quarantine::new();
    crash(&quarantine, 1, "server-a", 0);
    crash(&quarantine, 2, "server-b", 0);
    crash(&quarantine, 3, "server-c", QUARANTINE_MS);
    let later_ms = QUARANTINE_MS + 2 * QUARANTINE_MS - 1;
    assert!(matches!(status(&quarantine, "text", later_ms), QuarantineStatus::Refused(_)));
}

#[test]
fn a_crash_reported_twice_counts_once() {
    let quarantine = Quarantine::new();
    quarantine.started(attempt_on("text", 1, "server-a", false));
    let reports = quarantine.server_crashed(&host("server-a"), Incarnation::new(1));
    assert_eq!(quarantine.report(&reports[0], 0), ReportOutcome::Suspect);
    assert_eq!(quarantine.report(&reports[0], 10), ReportOutcome::Duplicate);
}

#[test]
fn a_completed_attempt_clears_a_suspect_and_a_cancelled_one_does_not() {
    let quarantine = Quarantine::new();
    crash(&quarantine, 1, "server-a", 0);
    quarantine.started(attempt_on("text", 2, "server-b", false));
    quarantine.finished(&digest("text"), &attempt(2), false);
    assert_eq!(status(&quarantine, "text", 0), QuarantineStatus::Suspect);
    quarantine.started(attempt_on("text", 3, "server-b", false));
    quarantine.finished(&digest("text"), &attempt(3), true);
    assert_eq!(status(&quarantine, "text", 0), QuarantineStatus::Clear);
}

#[test]
fn a_suspect_expires() {
    let quarantine = Quarantine::new();
    crash(&quarantine, 1, "server-a", 0);
    assert_eq!(status(&quarantine, "text", SUSPECT_EXPIRY_MS), QuarantineStatus::Clear);
    quarantine.sweep(SUSPECT_EXPIRY_MS);
    assert_eq!(crash(&quarantine, 2, "server-b", SUSPECT_EXPIRY_MS), ReportOutcome::Suspect);
}

#[test]
fn one_crash_suffices_on_probation() {
    let quarantine = Quarantine::new();
    quarantine.started(attempt_on("text", 1, "server-a", true));
    let reports = quarantine.server_crashed(&host("server-a"), Incarnation::new(1));
    assert!(matches!(quarantine.report(&reports[0], 0), ReportOutcome::Confirmed(_)));
}

#[test]
fn a_request_whose_entry_host_crashed_is_a_suspect_only_if_its_server_crashed_too() {
    let quarantine = Quarantine::new();
    quarantine.started(attempt_on("text", 1, "server-a", false));
    quarantine.entry_host_crashed(&host("entry"), 0);
    assert_eq!(status(&quarantine, "text", 0), QuarantineStatus::Clear);
    let has_failed = |server: &HostName| server.as_str() == "server-a";
    assert_eq!(quarantine.status(&digest("text"), has_failed, 0.0, 0), QuarantineStatus::Suspect);
    assert_eq!(quarantine.server_crashed(&host("server-a"), Incarnation::new(1)).len(), 1);
}

#[test]
fn a_live_server_clears_its_aborted_attempts() {
    let quarantine = Quarantine::new();
    quarantine.aborted(attempt_on("text", 1, "server-a", false), 0);
    quarantine.server_alive(&host("server-a"), Incarnation::new(1));
    assert_eq!(status(&quarantine, "text", 0), QuarantineStatus::Clear);
}

#[test]
fn a_copy_of_a_suspect_waits_while_another_copy_runs() {
    let quarantine = Quarantine::new();
    crash(&quarantine, 1, "server-a", 0);
    quarantine.started(attempt_on("text", 2, "server-b", false));
    assert!(matches!(status(&quarantine, "text", 0), QuarantineStatus::Undecided { .. }));
}

#[test]
fn no_copy_starts_while_a_second_crash_is_likely() {
    let quarantine = Quarantine::new();
    crash(&quarantine, 1, "server-a", 0);
    quarantine.aborted(attempt_on("text", 2, "server-b", false), 0);
    assert!(matches!(status(&quarantine, "text", 0), QuarantineStatus::Undecided { .. }));
}

#[test]
fn an_aborted_attempt_makes_a_suspect_before_the_crash_is_confirmed() {
    let quarantine = Quarantine::new();
    quarantine.started(attempt_on("text", 1, "server-a", false));
    let pinned = QuarantineStatus::Pinned { server: host("server-a") };
    assert_eq!(status(&quarantine, "text", 0), pinned);
    let has_failed = |server: &HostName| server.as_str() == "server-a";
    assert_eq!(quarantine.status(&digest("text"), has_failed, 0.0, 0), QuarantineStatus::Suspect);
    quarantine.aborted(attempt_on("text", 1, "server-a", false), 0);
    assert_eq!(status(&quarantine, "text", 500), QuarantineStatus::Suspect);
    assert_eq!(status(&quarantine, "text", 60_000), QuarantineStatus::Clear);
    assert_eq!(quarantine.server_crashed(&host("server-a"), Incarnation::new(1)).len(), 1);
}

#[test]
fn attempts_on_a_later_incarnation_are_not_reported() {
    let quarantine = Quarantine::new();
    quarantine.started(attempt_on("text", 1, "server-a", false));
    assert_eq!(quarantine.server_crashed(&host("server-a"), Incarnation::new(0)), []);
    assert_eq!(quarantine.server_crashed(&host("server-b"), Incarnation::new(1)), []);
}

fn isolate(text: &str, number: u64) -> IsolateRequest {
    IsolateRequest {
        service: service(),
        digest: digest(text),
        attempt_id: attempt(number),
        holds: None,
        preferred: vec![host("server-a"), host("server-b")],
    }
}

#[test]
fn no_two_suspects_share_a_server_and_no_content_runs_twice() {
    let mut table = IsolationTable::new(0);
    let start_ms = TAKEOVER_PERIOD_MS;
    let granted = |server| IsolateAnswer::Granted { server: host(server) };
    assert_eq!(table.request(&isolate("first", 1), start_ms), granted("server-a"));
    assert_eq!(table.request(&isolate("first", 1), start_ms), granted("server-a"));
    assert!(matches!(table.request(&isolate("first", 2), start_ms), IsolateAnswer::Busy { .. }));
    assert_eq!(table.request(&isolate("second", 3), start_ms), granted("server-b"));
    assert!(matches!(table.request(&isolate("third", 4), start_ms), IsolateAnswer::Busy { .. }));
    assert_eq!(table.granted(start_ms).count(), 2);
    let (digest, attempt_id) = (digest("first"), attempt(1));
    table.release(&IsolateRelease { service: service(), digest, attempt_id });
    assert_eq!(table.request(&isolate("third", 4), start_ms), granted("server-a"));
    assert_eq!(table.request(&isolate("first", 5), start_ms + GRANT_MS), granted("server-a"));
}

#[test]
fn a_new_home_takes_over_grants_before_it_issues_any() {
    let mut table = IsolationTable::new(0);
    assert!(matches!(table.request(&isolate("second", 2), 0), IsolateAnswer::Busy { .. }));
    let held = IsolateRequest { holds: Some(host("server-a")), ..isolate("first", 1) };
    assert!(matches!(table.request(&held, 10), IsolateAnswer::Granted { .. }));
    let granted = IsolateAnswer::Granted { server: host("server-b") };
    assert_eq!(table.request(&isolate("second", 2), TAKEOVER_PERIOD_MS), granted);
}

fn confirmed(text: &str) -> ConfirmedCrash {
    let (organisation, service) = (organisation("member"), service());
    ConfirmedCrash { digest: digest(text), organisation, service }
}

#[test]
fn an_organisation_is_isolated_first_then_refused_for_a_short_time() {
    let (mut limits, mut restrictions) = (CrashLimits::new(service()), Restrictions::new());
    let restriction = |restrictions: &Restrictions, name: &str, now_ms| {
        restrictions.restriction(&organisation(name), &service(), 0.0, now_ms)
    };
    restrictions.apply(&limits.confirm(&confirmed("first"), 0), 0);
    assert_eq!(restriction(&restrictions, "member", 0), Restriction::Isolated);
    restrictions.apply(&limits.confirm(&confirmed("first"), 0), 0);
    assert_eq!(restriction(&restrictions, "member", 0), Restriction::Isolated);
    restrictions.apply(&limits.confirm(&confirmed("second"), 0), 0);
    assert!(matches!(
        restriction(&restrictions, "member", 0),
        Restriction::Refused(refusal) if refusal.kind == ErrorKind::CrashLimit && refusal.not_run
    ));
    assert_eq!(restriction(&restrictions, "member", REFUSED_MS), Restriction::Isolated);
    assert_eq!(restriction(&restrictions, "member", 10 * REFUSED_MS), Restriction::None);
    assert_eq!(restriction(&restrictions, "other", 0), Restriction::None);
    limits.sweep(u64::MAX);
    assert_eq!(limits.confirm(&confirmed("third"), u64::MAX).refused_for_ms, 0);
}

#[test]
fn cleared_suspects_leave_crashes_attributed_to_the_organisation_that_never_completes() {
    let mut limits = CrashLimits::new(service());
    let mut restricted = Vec::new();
    for number in 0..4 {
        let report = |name: &str| SuspectReport {
            digest: digest(&format!("{name} {number}")),
            organisation: organisation(name),
            service: service(),
            server: host(&format!("server-{number}")),
            incarnation: Incarnation::new(1),
            on_probation: false,
        };
        let cleared = SuspectCleared { digest: report("innocent").digest, service: service() };
        let updates = [
            limits.report(&report("innocent"), 0),
            limits.report(&report("guilty"), 0),
            limits.cleared(&cleared, 0),
        ];
        let restrictions = updates.into_iter().flat_map(|update| update.restrictions);
        restricted.extend(restrictions.map(|restriction| (number, restriction.organisation)));
    }
    assert_eq!(restricted, [(2, organisation("guilty"))]);
}

#[test]
fn digests_differ_by_organisation_service_and_content() {
    checker(SEED, 300).quickcheck(is_distinct as fn(Vec<u8>, u8) -> bool);

    fn is_distinct(content: Vec<u8>, extra: u8) -> bool {
        let digest_of = |name: &str, service: &str, content: &[u8]| {
            SuspectDigest::new(&organisation(name), &service.parse().unwrap(), content)
        };
        let mut longer = content.clone();
        longer.push(extra);
        let digest = digest_of("ab", "c", &content);
        let others = [
            digest_of("a", "bc", &content),
            digest_of("ab", "d", &content),
            digest_of("ab", "c", &longer),
        ];
        digest == digest_of("ab", "c", &content) && others.iter().all(|other| *other != digest)
    }
}

#[test]
fn a_scenario_has_the_same_outcome_for_the_same_seed() {
    let scenario = Scenario::arbitrary(&mut Gen::from_size_and_seed(10, SEED));
    assert_eq!(format!("{:?}", simulate(&scenario)), format!("{:?}", simulate(&scenario)));
}
