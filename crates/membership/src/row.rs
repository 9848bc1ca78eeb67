//! One host's record together with this node's own evidence about it.

use crate::limits::{
    FAILURES_BEFORE_REST, FAILURES_BEFORE_SUSPICION, REFUTED_FOR_MS, RETAIN_MS, SUSPECT_FOR_MS,
    UNREACHABLE_AFTER_MS,
};
use crate::view::Reachability;
use protocol::ids::{ConfigVersion, Incarnation};
use protocol::message::hosts::HostRecord;

/// Says what merging a record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// Nothing.
    None,
    /// Something that others are to be told at their next probe.
    Slow,
    /// Something that others are to be told at once.
    Urgent,
}

/// Holds one host's record and this node's own evidence.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// What all sources say.
    pub record: HostRecord,
    /// A digest of the host's name.
    pub name_digest: u64,
    /// When this node last had a sign of life from the incarnation.
    last_contact_ms: Option<u64>,
    /// When this node first failed to reach the host since the last contact.
    first_failure_ms: Option<u64>,
    /// How often this node failed to reach the host since the last contact.
    failures: u32,
    /// When this node heard of the suspicion in the record.
    heard_ms: u64,
    /// When this node heard that a suspicion was refuted.
    refuted_ms: Option<u64>,
    /// Whether the host is to be probed out of turn.
    pub doubtful: bool,
    /// The configuration version in the host's last heartbeat.
    pub config_version: Option<ConfigVersion>,
}

impl Row {
    /// Creates a row for a record heard of first now.
    pub fn new(record: HostRecord, name_digest: u64, now_ms: u64) -> Self {
        let doubtful = record.suspected_at_ms.is_some();
        Self {
            record,
            name_digest,
            last_contact_ms: None,
            first_failure_ms: None,
            failures: 0,
            heard_ms: now_ms,
            refuted_ms: None,
            doubtful,
            config_version: None,
        }
    }

    /// Merges another source's record of the same host.
    pub fn merge(&mut self, other: &HostRecord, now_ms: u64) -> Change {
        if other.incarnation > self.record.incarnation {
            *self = Self::new(other.clone(), self.name_digest, now_ms);
            return Change::Urgent;
        }
        if other.incarnation < self.record.incarnation {
            return Change::None;
        }
        let left = self.merge_leaving(other.leaving);
        let suspicion = self.merge_suspicion(other, now_ms);
        if left { Change::Urgent } else { suspicion }
    }

    fn merge_leaving(&mut self, leaving: bool) -> bool {
        let changed = leaving && !self.record.leaving;
        self.record.leaving |= leaving;
        changed
    }

    fn merge_suspicion(&mut self, other: &HostRecord, now_ms: u64) -> Change {
        if !overrides(other, &self.record) {
            return Change::None;
        }
        let was_suspected = self.record.suspected_at_ms.is_some();
        let is_suspected = other.suspected_at_ms.is_some();
        self.record.refutations = other.refutations;
        self.record.suspected_at_ms = other.suspected_at_ms;
        if is_suspected && !was_suspected {
            self.heard_ms = now_ms;
        }
        if !is_suspected {
            self.refuted_ms = Some(now_ms);
        }
        self.doubtful = is_suspected || self.failures > 0;
        Change::Slow
    }

    /// Notes a sign of life of an incarnation; a refuted suspicion is a change.
    pub fn contact(&mut self, incarnation: Incarnation, leaving: bool, now_ms: u64) -> Change {
        if incarnation < self.record.incarnation {
            return Change::None;
        }
        let reborn = incarnation > self.record.incarnation;
        if reborn {
            self.record.incarnation = incarnation;
            self.record.refutations = 0;
            self.record.leaving = false;
            self.record.suspected_at_ms = None;
            self.config_version = None;
        }
        self.last_contact_ms = Some(now_ms);
        self.first_failure_ms = None;
        self.failures = 0;
        self.doubtful = false;
        let left = self.merge_leaving(leaving);
        let refuted = self.refute();
        match (reborn || left, refuted) {
            (true, _) => Change::Urgent,
            (false, true) => Change::Slow,
            (false, false) => Change::None,
        }
    }

    /// Refutes the suspicion in the record, if there is one.
    pub fn refute(&mut self) -> bool {
        if self.record.suspected_at_ms.take().is_none() {
            return false;
        }
        self.record.refutations += 1;
        true
    }

    /// Notes that this node could not reach an incarnation.
    pub fn failure(&mut self, incarnation: Incarnation, now_ms: u64) -> Change {
        if incarnation != self.record.incarnation {
            return Change::None;
        }
        self.failures = self.failures.saturating_add(1);
        self.first_failure_ms.get_or_insert(now_ms);
        self.doubtful = self.failures < FAILURES_BEFORE_REST;
        let confirmed = self.failures == FAILURES_BEFORE_SUSPICION;
        // Another node reached the host lately, so only the path from here is broken.
        let path_only =
            self.refuted_ms.is_some_and(|at_ms| now_ms < at_ms.saturating_add(REFUTED_FOR_MS));
        if !confirmed || path_only || self.record.suspected_at_ms.is_some() {
            return Change::None;
        }
        self.record.suspected_at_ms = Some(now_ms);
        self.heard_ms = now_ms;
        Change::Slow
    }

    /// Says whether the host can be reached from here.
    pub fn reachability(&self, now_ms: u64) -> Reachability {
        if self.failures >= FAILURES_BEFORE_SUSPICION
            && self.failed_for(UNREACHABLE_AFTER_MS, now_ms)
        {
            return Reachability::Unreachable;
        }
        if !self.is_suspected_here() {
            let doubted = self.failures > 0;
            return if doubted { Reachability::Suspect } else { Reachability::Live };
        }
        if now_ms >= self.heard_ms + SUSPECT_FOR_MS {
            return Reachability::Unreachable;
        }
        Reachability::Suspect
    }

    /// Returns when the reachability changes next if nothing more is heard.
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        let own = self.first_failure_ms.map(|first_ms| first_ms + UNREACHABLE_AFTER_MS);
        let heard = self.is_suspected_here().then_some(self.heard_ms + SUSPECT_FOR_MS);
        let expiry = self.record.suspected_at_ms.map(|at_ms| at_ms.saturating_add(RETAIN_MS));
        [own, heard, expiry].into_iter().flatten().filter(|at_ms| *at_ms > now_ms).min()
    }

    /// Returns whether the record is too old to be kept or passed on.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.record.suspected_at_ms.is_some_and(|at_ms| now_ms >= at_ms.saturating_add(RETAIN_MS))
    }

    fn is_suspected_here(&self) -> bool {
        let seen_since = self.last_contact_ms.is_some_and(|at_ms| at_ms > self.heard_ms);
        self.record.suspected_at_ms.is_some() && !seen_since
    }

    fn failed_for(&self, duration_ms: u64, now_ms: u64) -> bool {
        self.first_failure_ms.is_some_and(|first_ms| now_ms >= first_ms + duration_ms)
    }
}

/// Returns whether a record's word on suspicion goes before another's of the same incarnation.
fn overrides(other: &HostRecord, known: &HostRecord) -> bool {
    if other.refutations != known.refutations {
        return other.refutations > known.refutations;
    }
    match (other.suspected_at_ms, known.suspected_at_ms) {
        (Some(other_ms), Some(known_ms)) => other_ms < known_ms,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
