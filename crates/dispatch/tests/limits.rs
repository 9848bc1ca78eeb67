//! Grants of sends to limited servers, and the order of the terms that servers name.

mod common;

use common::id;
use dispatch::limits::{Asks, Grant, GrantTable, MAX_RETRY_MS, OrganisationTag, Urgency, holders};
use dispatch::registry::ServerId;
use dispatch::terms::{Terms, TermsTable};
use protocol::ids::{FailureDomain, HostName, Incarnation};
use protocol::rate::{RateError, RequestRate};

const FIRST: Incarnation = Incarnation::new(1);
const SECOND: Incarnation = Incarnation::new(2);
const START_MS: u64 = 1_000;

fn server() -> ServerId {
    ServerId::new("a")
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).unwrap()
}

fn limit(per_s: f64) -> Terms {
    Terms { limit: Some(rate(per_s)), ..Terms::default() }
}

fn organisation(name: &str) -> OrganisationTag {
    OrganisationTag::new(Some(&id(name)))
}

/// A holder, asked for sends to one server.
#[derive(Default)]
struct Holder {
    grants: GrantTable,
}

impl Holder {
    fn take(&mut self, per_s: f64, priority: u8, name: &str, now_ms: u64) -> bool {
        let (urgency, organisation) = (Urgency::new(priority), organisation(name));
        let limit = rate(per_s);
        self.grants.take(&server(), FIRST, limit, urgency, organisation, now_ms) == Grant::Granted
    }

    /// Returns the sends granted in ten seconds of questions each 10 ms, by the name that asked.
    fn granted(&mut self, per_s: f64, askers: &[(u8, &str)]) -> Vec<usize> {
        let mut granted = vec![0; askers.len()];
        for now_ms in (START_MS..START_MS + 10_000).step_by(10) {
            for (index, (priority, name)) in askers.iter().enumerate() {
                granted[index] += usize::from(self.take(per_s, *priority, name, now_ms));
            }
        }
        granted
    }
}

#[test]
fn a_new_holder_grants_nothing_that_another_may_have_granted() {
    let mut holder = Holder::default();
    assert!(!holder.take(10.0, 0, "o", START_MS));
    assert!(!holder.take(10.0, 0, "o", START_MS + 100));
    assert!(holder.take(10.0, 0, "o", START_MS + 200));
}

#[test]
fn a_limit_that_rises_counts_from_then_on() {
    let mut holder = Holder::default();
    assert!(!holder.take(0.1, 0, "o", START_MS));
    assert!(!holder.take(20.0, 0, "o", START_MS + 2_000));
    assert!(holder.take(20.0, 0, "o", START_MS + 2_100));
}

#[test]
fn a_limit_of_zero_grants_nothing() {
    let mut holder = Holder::default();
    assert_eq!(holder.granted(0.0, &[(0, "o")]), [0]);
    let question = (Urgency::new(0), organisation("o"));
    let grant =
        holder.grants.take(&server(), FIRST, rate(0.0), question.0, question.1, START_MS + 20_000);
    assert_eq!(grant, Grant::Refused { retry_after_ms: MAX_RETRY_MS });
}

#[test]
fn urgent_requests_go_first() {
    let granted = Holder::default().granted(4.0, &[(2, "o"), (1, "o"), (0, "o")]);
    assert!(granted[2] >= 26 && granted[0] + granted[1] <= 1, "{granted:?}");
}

#[test]
fn organisations_get_about_the_same() {
    let granted = Holder::default().granted(4.0, &[(1, "a"), (1, "b"), (1, "c")]);
    assert!(granted.iter().all(|count| (6..=13).contains(count)), "{granted:?}");
}

#[test]
fn gateways_that_were_refused_come_back_one_by_one() {
    let mut grants = GrantTable::new();
    let mut ask = || {
        let (urgency, organisation) = (Urgency::new(0), organisation("o"));
        grants.take(&server(), FIRST, rate(10.0), urgency, organisation, START_MS)
    };
    let delays: Vec<Grant> = (0..3).map(|_| ask()).collect();
    let refused = |retry_after_ms| Grant::Refused { retry_after_ms };
    assert_eq!(delays, [refused(143), refused(286), refused(429)]);
}

#[test]
fn an_earlier_incarnation_is_granted_nothing() {
    let mut grants = GrantTable::new();
    let mut take = |incarnation, now_ms| {
        let (urgency, organisation) = (Urgency::new(0), organisation("o"));
        grants.take(&server(), incarnation, rate(10.0), urgency, organisation, now_ms)
    };
    take(SECOND, START_MS);
    let refused = Grant::Refused { retry_after_ms: MAX_RETRY_MS };
    assert_eq!(take(FIRST, START_MS + 900), refused);
    assert_eq!(take(SECOND, START_MS + 900), Grant::Granted);
}

#[test]
fn a_refusal_holds_for_less_urgent_requests_only() {
    let mut asks = Asks::new();
    asks.refuse(&server(), FIRST, Urgency::new(1), START_MS + 500);
    let until = |priority, incarnation| {
        asks.refused_until_ms(&server(), incarnation, Urgency::new(priority), START_MS)
    };
    assert_eq!(until(0, FIRST), None);
    assert_eq!(until(1, FIRST), Some(START_MS + 500));
    assert_eq!(until(9, FIRST), Some(START_MS + 500));
    assert_eq!(until(1, SECOND), None);
}

#[test]
fn holders_are_in_two_failure_domains_and_the_same_for_all() {
    let domains = ["east-1", "east-2", "west-1"];
    let named: Vec<(HostName, FailureDomain)> =
        (0..30).map(|index| (id(&format!("g{index}")), id(domains[index % 3]))).collect();
    let mut listed: Vec<_> = named.iter().map(|(host, domain)| (host, domain)).collect();
    for index in 0..50 {
        let server = ServerId::new(format!("server-{index}"));
        let found = holders(&server, &listed);
        let domain = |host| listed.iter().find(|(other, _)| *other == host).unwrap().1;
        assert_ne!(domain(found[0]), domain(found[1]));
        let found: Vec<HostName> = found.into_iter().cloned().collect();
        listed.reverse();
        assert_eq!(holders(&server, &listed).into_iter().cloned().collect::<Vec<_>>(), found);
    }
}

#[test]
fn a_holder_that_does_not_answer_is_replaced_after_some_seconds() {
    let (mut asks, host) = (Asks::new(), id::<HostName>("g"));
    asks.record_failure(&host, START_MS);
    assert!(!asks.may_ask(&host, START_MS + 100));
    assert!(asks.may_ask(&host, START_MS + 600));
    asks.record_failure(&host, START_MS + 4_000);
    assert!(!asks.is_replaced(&host));
    asks.record_failure(&host, START_MS + 5_000);
    assert!(asks.is_replaced(&host));
    asks.record_answer(&host);
    assert!(!asks.is_replaced(&host) && asks.may_ask(&host, START_MS + 5_001));
}

#[test]
fn the_terms_that_were_written_last_hold() {
    let mut terms = TermsTable::new();
    assert_eq!(terms.record(&server(), FIRST, Terms::default(), 10), None);
    assert_eq!(terms.record(&server(), FIRST, limit(2.0), 20), Some(Terms::default()));
    assert_eq!(terms.record(&server(), FIRST, limit(1.0), 40), Some(limit(2.0)));
    assert_eq!(terms.record(&server(), FIRST, limit(3.0), 30), None);
    assert_eq!(terms.terms(&server(), FIRST), limit(1.0));
    assert_eq!(terms.record(&server(), FIRST, Terms::default(), 50), Some(limit(1.0)));
    assert_eq!(terms.record(&server(), FIRST, limit(1.0), 45), None, "the end is remembered");
}

#[test]
fn terms_belong_to_an_incarnation() {
    let mut terms = TermsTable::new();
    terms.record(&server(), FIRST, limit(2.0), 20);
    assert_eq!(terms.terms(&server(), SECOND), Terms::default());
    assert_eq!(terms.record(&server(), SECOND, Terms::default(), 10), None);
    assert_eq!(terms.record(&server(), FIRST, limit(2.0), 30), None);
    assert_eq!(terms.terms(&server(), FIRST), Terms::default());
}

#[test]
fn terms_of_servers_that_are_gone_are_forgotten() {
    let mut terms = TermsTable::new();
    terms.record(&server(), FIRST, limit(2.0), 20);
    terms.expire(|_| true, 1_000_000);
    assert_eq!(terms.terms(&server(), FIRST), limit(2.0));
    terms.expire(|_| false, 1_000_000);
    assert!(terms.reports(1_000_000).is_empty());
}

#[test]
fn rates_are_decimal_numbers_that_servers_can_mean() {
    let parse = |text: &str| text.parse::<RequestRate>().map(RequestRate::per_s);
    assert_eq!(parse("1.25"), Ok(1.25));
    assert_eq!(parse("0"), Ok(0.0));
    for text in ["", "soon", "nan", "inf", "1e3", "1,5", "1.2.3"] {
        assert_eq!(parse(text), Err(RateError::Malformed), "{text}");
    }
    assert_eq!(parse("-1"), Err(RateError::Negative));
    assert_eq!(parse("99999999"), Err(RateError::TooHigh));
}
