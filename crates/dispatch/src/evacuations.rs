//! The evacuations in force: the failure domains to whose servers nothing more is sent.
//!
//! Load pattern: operators move all load away from a failure domain at once, and back again. Gateways
//! learn of it in any order, from the store and from peers, some of which lag behind or read a store
//! that has lost its newest records. Facts are ordered by the position of their record in the log.

mod report;

pub use crate::evacuations::report::{EvacuationReport, ReportedEvacuation, ReportedState};

use crate::registry::EntryPosition;
use protocol::ids::FailureDomain;
use std::collections::{BTreeMap, BTreeSet};

/// How long an evacuation that a listing of a later era lacks stays in force, in milliseconds.
/// Operators write again what a step back of the store has lost.
pub const LOST_RECORD_MS: u64 = 10_000;
/// The maximum number of domains kept that the installation does not name.
const MAX_UNKNOWN_DOMAINS: usize = 64;

/// What is known of the evacuation of a domain. States at one position follow each other in this
/// order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum State {
    InForce,
    /// In force although a listing of a later era lacks it, until it is found to have expired.
    Lost {
        until_ms: u64,
    },
    Ended,
}

impl State {
    const fn rank(self) -> u8 {
        match self {
            State::InForce => 0,
            State::Lost { .. } => 1,
            State::Ended => 2,
        }
    }

    const fn is_in_force(self) -> bool {
        matches!(self, State::InForce | State::Lost { .. })
    }
}

#[derive(Clone, Copy, Debug)]
struct Held {
    position: EntryPosition,
    state: State,
    /// When the evacuation began or ended, as far as this gateway knows.
    changed_ms: u64,
}

/// A change of a domain's evacuation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The position of the record.
    pub position: EntryPosition,
    /// What changed.
    pub kind: EvacuationChangeKind,
    /// Whether the installation names the domain.
    pub is_known: bool,
}

/// What changed in the evacuation of a domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationChangeKind {
    /// It began.
    Begun,
    /// A listing of a later era lacks it; it stays in force for a while.
    Lost,
    /// It ended.
    Ended,
}

impl EvacuationChangeKind {
    /// Returns the name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            EvacuationChangeKind::Begun => "begun",
            EvacuationChangeKind::Lost => "lost_by_store",
            EvacuationChangeKind::Ended => "ended",
        }
    }
}

/// A record on the evacuation of a domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRecord {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The position in the log.
    pub position: EntryPosition,
    /// Whether the record asks for an evacuation; one without a value removes it.
    pub is_evacuated: bool,
}

impl EvacuationRecord {
    const fn to_held(&self, now_ms: u64) -> Held {
        let state = if self.is_evacuated { State::InForce } else { State::Ended };
        Held { position: self.position, state, changed_ms: now_ms }
    }
}

/// The evacuations that a gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeMap<FailureDomain, Held>,
    /// The failure domains that the installation names.
    known: BTreeSet<FailureDomain>,
    /// Every record before this position is known.
    read_until: Option<EntryPosition>,
    /// When a listing of the era of `read_until` was first known.
    era_listed_ms: u64,
    /// Whether the store could not be read since the start.
    has_store_failed: bool,
    /// Whether requests may be sent without a complete listing, because there is none.
    is_assumed: bool,
}

impl Evacuations {
    /// Creates the table of a gateway that has read nothing, for the domains that the installation
    /// names.
    pub fn new(known: impl IntoIterator<Item = FailureDomain>) -> Self {
        Self { known: known.into_iter().collect(), ..Self::default() }
    }

    /// Returns whether the evacuations are known, so that requests may be sent.
    pub const fn is_known(&self) -> bool {
        self.read_until.is_some() || self.is_assumed
    }

    /// Records that the store could not be read.
    pub const fn record_store_failure(&mut self) {
        self.has_store_failed = true;
    }

    /// Records the state of a peer whose build knows no evacuations. It counts as listing none while
    /// the store cannot be read, and ends none that are known.
    pub const fn record_earlier_build(&mut self) {
        self.is_assumed |= self.has_store_failed;
    }

    /// Records what a listing holds from which unreadable records are left out. It ends no evacuation,
    /// and what it lacks remains unknown.
    pub fn list_incomplete(
        &mut self,
        records: &[EvacuationRecord],
        now_ms: u64,
    ) -> Vec<EvacuationChange> {
        self.is_assumed = true;
        records.iter().filter_map(|record| self.record_listed(record, now_ms)).collect()
    }

    /// Returns whether a domain is evacuated.
    pub fn is_evacuated(&self, domain: &FailureDomain) -> bool {
        self.domains.get(domain).is_some_and(|held| held.state.is_in_force())
    }

    /// Returns the domains that are evacuated.
    pub fn in_force(&self) -> impl Iterator<Item = &FailureDomain> {
        let held = self.domains.iter().filter(|(_, held)| held.state.is_in_force());
        held.map(|(domain, _)| domain)
    }

    /// Returns when the last evacuation of a domain ended; `None` if it has not, or if this gateway
    /// knows of none. An end that a peer reported is dated by its age there.
    pub fn ended_ms(&self, domain: &FailureDomain) -> Option<u64> {
        let held = self.domains.get(domain)?;
        (!held.state.is_in_force()).then_some(held.changed_ms)
    }

    /// Records a record that was appended while this gateway read the log.
    pub fn record(&mut self, record: &EvacuationRecord, now_ms: u64) -> Option<EvacuationChange> {
        self.apply(&record.domain, record.to_held(now_ms), now_ms)
    }

    /// Records a record of a listing.
    fn record_listed(
        &mut self,
        record: &EvacuationRecord,
        now_ms: u64,
    ) -> Option<EvacuationChange> {
        self.apply_dated(&record.domain, record.to_held(now_ms), now_ms)
    }

    /// Records that every record before a position has been read.
    pub fn read_to(&mut self, until: EntryPosition, now_ms: u64) {
        if self.read_until.is_none_or(|held| held.era < until.era) {
            self.era_listed_ms = now_ms;
        }
        self.read_until = self.read_until.max(Some(until));
    }

    /// Records a complete listing that covers all records before a position: an evacuation that it
    /// lacks has ended, or is lost.
    pub fn list(
        &mut self,
        records: &[EvacuationRecord],
        until: EntryPosition,
        now_ms: u64,
    ) -> Vec<EvacuationChange> {
        let mut changes: Vec<_> =
            records.iter().filter_map(|record| self.record_listed(record, now_ms)).collect();
        let is_listed =
            |domain: &FailureDomain| records.iter().any(|record| record.domain == *domain);
        changes.extend(self.end_missing(is_listed, until, now_ms));
        self.read_to(until, now_ms);
        changes
    }

    /// Ends the lost evacuations whose time has passed. They are in force until this is called, so
    /// that what follows from their end happens with it.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for (domain, held) in &mut self.domains {
            if let State::Lost { until_ms } = held.state
                && until_ms <= now_ms
            {
                held.state = State::Ended;
                held.changed_ms = until_ms;
                changes.push((domain.clone(), held.position));
            }
        }
        let kind = EvacuationChangeKind::Ended;
        changes.into_iter().map(|(domain, at)| self.change(&domain, at, kind)).collect()
    }

    fn end_missing(
        &mut self,
        is_listed: impl Fn(&FailureDomain) -> bool,
        until: EntryPosition,
        now_ms: u64,
    ) -> Vec<EvacuationChange> {
        let missing = self.domains.iter().filter(|(domain, held)| {
            held.state == State::InForce && held.position < until && !is_listed(domain)
        });
        let missing: Vec<_> =
            missing.map(|(domain, held)| (domain.clone(), held.position)).collect();
        let ended = missing.into_iter().filter_map(|(domain, position)| {
            let state = if position.era < until.era {
                State::Lost { until_ms: now_ms + LOST_RECORD_MS }
            } else {
                State::Ended
            };
            self.apply(&domain, Held { position, state, changed_ms: now_ms }, now_ms)
        });
        ended.collect()
    }

    /// Applies what a listing or a peer says of a domain. A removal there may be older than an
    /// evacuation that a step back of the store has lost, unless its offset is higher.
    fn apply_dated(
        &mut self,
        domain: &FailureDomain,
        mut next: Held,
        now_ms: u64,
    ) -> Option<EvacuationChange> {
        if let Some(held) = self.domains.get(domain)
            && next.state == State::Ended
            && held.state.is_in_force()
            && held.position.era < next.position.era
            && next.position.offset < held.position.offset
        {
            next.position = held.position;
            next.state = State::Lost { until_ms: now_ms + LOST_RECORD_MS };
        }
        self.apply(domain, next, now_ms)
    }

    /// Applies what is newer than what is held of a domain.
    fn apply(
        &mut self,
        domain: &FailureDomain,
        mut next: Held,
        now_ms: u64,
    ) -> Option<EvacuationChange> {
        let held = self.domains.get(domain).copied();
        let order = |held: &Held| (held.position, held.state.rank());
        if held.is_some_and(|held| order(&held) >= order(&next)) {
            return None;
        }
        // What is from before a step back of the store and was not listed since is lost.
        let listed_era = self.read_until.map(|until| until.era);
        if Some(next.position.era) < listed_era {
            let latest_ms = self.era_listed_ms + LOST_RECORD_MS;
            next.state = match next.state {
                State::InForce => State::Lost { until_ms: latest_ms },
                State::Lost { until_ms } => State::Lost { until_ms: until_ms.min(latest_ms) },
                State::Ended => State::Ended,
            };
        }
        if let State::Lost { until_ms } = next.state
            && until_ms <= now_ms
        {
            (next.state, next.changed_ms) = (State::Ended, until_ms);
        }
        let was_in_force = held.is_some_and(|held| held.state.is_in_force());
        let is_in_force = next.state.is_in_force();
        if let (Some(held), true) = (held, was_in_force && is_in_force) {
            next.changed_ms = held.changed_ms;
        }
        if held.is_none() && !self.has_room_for(domain) {
            return None;
        }
        self.domains.insert(domain.clone(), next);
        let kind = match (was_in_force, is_in_force) {
            (false, true) => EvacuationChangeKind::Begun,
            (true, false) => EvacuationChangeKind::Ended,
            (true, true) if matches!(next.state, State::Lost { .. }) => EvacuationChangeKind::Lost,
            _ => return None,
        };
        Some(self.change(domain, next.position, kind))
    }

    /// Returns whether another domain may be kept. Those that the installation names always are.
    fn has_room_for(&self, domain: &FailureDomain) -> bool {
        let unknown = self.domains.keys().filter(|held| !self.known.contains(held)).count();
        self.known.contains(domain) || unknown < MAX_UNKNOWN_DOMAINS
    }

    fn change(
        &self,
        domain: &FailureDomain,
        position: EntryPosition,
        kind: EvacuationChangeKind,
    ) -> EvacuationChange {
        let is_known = self.known.contains(domain);
        EvacuationChange { domain: domain.clone(), position, kind, is_known }
    }
}
