//! One host's record and the evidence that this node has collected about the host.

use crate::limits::{
    FAILURES_BEFORE_BACKOFF, FAILURES_BEFORE_SUSPICION, REFUTATION_HOLD_MS, SUSPECT_RETENTION_MS,
    SUSPICION_TIMEOUT_MS, UNREACHABLE_AFTER_MS,
};
use crate::view::Reachability;
use protocol::ids::{ConfigVersion, Incarnation};
use protocol::message::hosts::HostRecord;

/// The kind of change that an update made to a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    /// No change.
    None,
    /// A change that peers receive with the next regular probe.
    Routine,
    /// A change that is sent to peers at once.
    Urgent,
}

/// One host's record and the evidence that this node has collected about the host.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// The record merged from all sources.
    pub record: HostRecord,
    /// A digest of the host's name.
    pub name_digest: u64,
    /// When this node last had contact with the incarnation.
    last_contact_ms: Option<u64>,
    /// When this node first failed to reach the host since the last contact.
    first_failure_ms: Option<u64>,
    /// The number of failures to reach the host since the last contact.
    failures: u32,
    /// When this node received or raised the suspicion in the record.
    suspicion_received_ms: u64,
    /// When this node last received the refutation of a suspicion.
    refutation_received_ms: Option<u64>,
    /// Whether the host's state is unconfirmed, so that it is probed besides the regular probes.
    pub unconfirmed: bool,
    /// The highest configuration version in the heartbeats of the incarnation.
    pub config_version: Option<ConfigVersion>,
}

impl Row {
    /// Creates a row for a record that is new to this node.
    pub fn new(record: HostRecord, name_digest: u64, now_ms: u64) -> Self {
        let unconfirmed = record.suspected_at_ms.is_some();
        Self {
            record,
            name_digest,
            last_contact_ms: None,
            first_failure_ms: None,
            failures: 0,
            suspicion_received_ms: now_ms,
            refutation_received_ms: None,
            unconfirmed,
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
        let starts_leaving = self.merge_leaving(other.leaving);
        let suspicion = self.merge_suspicion(other, now_ms);
        if starts_leaving { Change::Urgent } else { suspicion }
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
            self.suspicion_received_ms = now_ms;
        }
        if !is_suspected {
            self.refutation_received_ms = Some(now_ms);
        }
        self.unconfirmed = is_suspected || self.failures > 0;
        Change::Routine
    }

    /// Records contact with an incarnation; refuting a suspicion counts as a change.
    pub fn record_contact(
        &mut self,
        incarnation: Incarnation,
        leaving: bool,
        now_ms: u64,
    ) -> Change {
        if incarnation < self.record.incarnation {
            return Change::None;
        }
        let restarted = incarnation > self.record.incarnation;
        if restarted {
            self.record.incarnation = incarnation;
            self.record.refutations = 0;
            self.record.leaving = false;
            self.record.suspected_at_ms = None;
            self.config_version = None;
        }
        self.last_contact_ms = Some(now_ms);
        self.first_failure_ms = None;
        self.failures = 0;
        self.unconfirmed = false;
        let starts_leaving = self.merge_leaving(leaving);
        let refuted = self.refute();
        match (restarted || starts_leaving, refuted) {
            (true, _) => Change::Urgent,
            (false, true) => Change::Routine,
            (false, false) => Change::None,
        }
    }

    /// Refutes the suspicion in the record; returns whether there was one.
    pub fn refute(&mut self) -> bool {
        if self.record.suspected_at_ms.take().is_none() {
            return false;
        }
        self.record.refutations += 1;
        true
    }

    /// Records that this node failed to reach an incarnation.
    pub fn record_failure(&mut self, incarnation: Incarnation, now_ms: u64) -> Change {
        if incarnation != self.record.incarnation {
            return Change::None;
        }
        self.failures = self.failures.saturating_add(1);
        self.first_failure_ms.get_or_insert(now_ms);
        self.unconfirmed = self.failures < FAILURES_BEFORE_BACKOFF;
        let threshold_reached = self.failures == FAILURES_BEFORE_SUSPICION;
        // Another node has reached the host recently, so only the path from this node is broken.
        let path_only = self
            .refutation_received_ms
            .is_some_and(|at_ms| now_ms < at_ms.saturating_add(REFUTATION_HOLD_MS));
        if !threshold_reached || path_only || self.record.suspected_at_ms.is_some() {
            return Change::None;
        }
        self.record.suspected_at_ms = Some(now_ms);
        self.suspicion_received_ms = now_ms;
        Change::Routine
    }

    /// Returns whether the host can be reached from this node.
    pub fn reachability(&self, now_ms: u64) -> Reachability {
        if self.failures >= FAILURES_BEFORE_SUSPICION
            && self.failed_for(UNREACHABLE_AFTER_MS, now_ms)
        {
            return Reachability::Unreachable;
        }
        if !self.has_unrefuted_suspicion() {
            let has_failures = self.failures > 0;
            return if has_failures { Reachability::Suspect } else { Reachability::Live };
        }
        if now_ms >= self.suspicion_received_ms + SUSPICION_TIMEOUT_MS {
            return Reachability::Unreachable;
        }
        Reachability::Suspect
    }

    /// Returns when the row next changes or expires without further updates.
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        let local = self.first_failure_ms.map(|first_ms| first_ms + UNREACHABLE_AFTER_MS);
        let suspicion = self
            .has_unrefuted_suspicion()
            .then_some(self.suspicion_received_ms + SUSPICION_TIMEOUT_MS);
        let expiry =
            self.record.suspected_at_ms.map(|at_ms| at_ms.saturating_add(SUSPECT_RETENTION_MS));
        [local, suspicion, expiry].into_iter().flatten().filter(|at_ms| *at_ms > now_ms).min()
    }

    /// Returns whether the host has been suspected for the retention time, after which its record is
    /// neither retained nor sent to peers.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.record
            .suspected_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms.saturating_add(SUSPECT_RETENTION_MS))
    }

    fn has_unrefuted_suspicion(&self) -> bool {
        let seen_since =
            self.last_contact_ms.is_some_and(|at_ms| at_ms > self.suspicion_received_ms);
        self.record.suspected_at_ms.is_some() && !seen_since
    }

    fn failed_for(&self, duration_ms: u64, now_ms: u64) -> bool {
        self.first_failure_ms.is_some_and(|first_ms| now_ms >= first_ms + duration_ms)
    }
}

/// Returns whether a record's suspicion state overrides that of another record of the same
/// incarnation: more refutations win, then an earlier suspicion wins over a later one or none.
fn overrides(other: &HostRecord, current: &HostRecord) -> bool {
    if other.refutations != current.refutations {
        return other.refutations > current.refutations;
    }
    match (other.suspected_at_ms, current.suspected_at_ms) {
        (Some(other_ms), Some(current_ms)) => other_ms < current_ms,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
