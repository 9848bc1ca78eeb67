//! What a gateway knows as one that asks holders for sends.

use crate::limits::Urgency;
use crate::registry::ServerId;
use protocol::ids::{FailureDomain, HostName, Incarnation};
use protocol::rendezvous;
use smallvec::SmallVec;
use std::collections::HashMap;

/// How long a gateway that did not answer is not asked, in milliseconds; doubled with each further
/// failure.
const FIRST_FAILURE_PAUSE_MS: u64 = 500;
/// The maximum of that time, in milliseconds.
const MAX_FAILURE_PAUSE_MS: u64 = 8_000;
/// How long a gateway must have failed before another one takes its place as a holder, in
/// milliseconds. The listing names gateways that have ended for minutes.
const REPLACED_AFTER_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct RefusedUntil {
    incarnation: Incarnation,
    until_ms: [u64; Urgency::LEVELS],
}

#[derive(Clone, Copy, Debug)]
struct Failing {
    since_ms: u64,
    last_ms: u64,
    pause_ms: u64,
}

impl Failing {
    const fn is_replaced(&self) -> bool {
        self.last_ms >= self.since_ms + REPLACED_AFTER_MS
    }
}

/// Refusals of holders, and holders that do not answer.
#[derive(Debug, Default)]
pub struct Asks {
    refused: HashMap<ServerId, RefusedUntil>,
    failing: HashMap<HostName, Failing>,
}

impl Asks {
    /// Creates a table without refusals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that requests of an urgency may not be sent to a server before a time; less urgent
    /// ones may not either.
    pub fn refuse(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        urgency: Urgency,
        until_ms: u64,
    ) {
        let none = RefusedUntil { incarnation, until_ms: [0; Urgency::LEVELS] };
        let refused = self.refused.entry(server.clone()).or_insert(none);
        if refused.incarnation != incarnation {
            *refused = none;
        }
        refused.until_ms[urgency.level()..].fill(until_ms);
    }

    /// Returns when the holder may be asked for a send to a server again; `None` if it may now.
    pub fn refused_until_ms(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        urgency: Urgency,
        now_ms: u64,
    ) -> Option<u64> {
        let refused = self.refused.get(server).filter(|held| held.incarnation == incarnation)?;
        Some(refused.until_ms[urgency.level()]).filter(|until_ms| now_ms < *until_ms)
    }

    /// Removes the refusals of a server that takes any number of requests again.
    pub fn forget(&mut self, server: &ServerId) {
        self.refused.remove(server);
    }

    /// Records that a gateway answered.
    pub fn record_answer(&mut self, host: &HostName) {
        self.failing.remove(host);
    }

    /// Records that a gateway did not answer.
    pub fn record_failure(&mut self, host: &HostName, now_ms: u64) {
        let new =
            Failing { since_ms: now_ms, last_ms: now_ms, pause_ms: FIRST_FAILURE_PAUSE_MS / 2 };
        let failing = self.failing.entry(host.clone()).or_insert(new);
        failing.last_ms = now_ms;
        failing.pause_ms = (2 * failing.pause_ms).min(MAX_FAILURE_PAUSE_MS);
    }

    /// Returns whether a gateway may be asked now.
    pub fn may_ask(&self, host: &HostName, now_ms: u64) -> bool {
        let failing = self.failing.get(host);
        failing.is_none_or(|failing| now_ms >= failing.last_ms + failing.pause_ms)
    }

    /// Returns whether another gateway has taken the place of this one as a holder.
    pub fn is_replaced(&self, host: &HostName) -> bool {
        self.failing.get(host).is_some_and(Failing::is_replaced)
    }
}

/// Returns the gateways that grant sends to a server, the first of which answers: of all gateways the
/// first by rendezvous hashing, and the first of another failure domain, if there is one.
pub fn holders<'a>(
    server: &ServerId,
    gateways: &[(&'a HostName, &'a FailureDomain)],
) -> SmallVec<[&'a HostName; 2]> {
    let key = rendezvous::digest(server.as_str().as_bytes());
    let weight =
        |host: &HostName| rendezvous::weight(key, rendezvous::digest(host.as_str().as_bytes()));
    let first = |is_wanted: &dyn Fn(&HostName, &FailureDomain) -> bool| {
        let wanted = gateways.iter().filter(|(host, domain)| is_wanted(host, domain));
        wanted.copied().max_by_key(|(host, _)| (weight(host), *host))
    };
    let mut found = SmallVec::new();
    let Some((best, best_domain)) = first(&|_, _| true) else { return found };
    found.push(best);
    let remote = first(&|_, domain| domain != best_domain);
    let second = remote.or_else(|| first(&|host, _| host != best));
    found.extend(second.map(|(host, _)| host));
    found
}
