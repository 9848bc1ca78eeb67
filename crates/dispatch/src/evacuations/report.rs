//! What gateways report to each other on evacuations.

use crate::evacuations::{EvacuationChange, Evacuations, Held, LOST_RECORD_MS, State};
use crate::registry::EntryPosition;
use protocol::ids::FailureDomain;
use serde::{Deserialize, Serialize};

/// The evacuations that a gateway knows, for others.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationReport {
    /// Every record before this position is known; `None` before the first listing.
    pub read_until: Option<EntryPosition>,
    /// The domains that are evacuated or were.
    pub domains: Vec<ReportedEvacuation>,
}

/// What a gateway knows of the evacuation of a domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedEvacuation {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The position of the newest record.
    pub position: EntryPosition,
    /// Whether it is in force.
    pub state: ReportedState,
}

/// The state of a reported evacuation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportedState {
    /// It is in force.
    InForce {
        /// How long ago it began, in milliseconds.
        ago_ms: u64,
    },
    /// It is in force although a listing of a later era lacks it.
    Lost {
        /// How long it stays in force, in milliseconds.
        remaining_ms: u64,
    },
    /// It ended.
    Ended {
        /// How long ago, in milliseconds.
        ago_ms: u64,
    },
}

impl Evacuations {
    /// Returns what others may learn.
    pub fn report(&self, now_ms: u64) -> EvacuationReport {
        let domains = self.domains.iter().map(|(domain, held)| {
            let ago_ms = now_ms.saturating_sub(held.changed_ms);
            let state = match held.state {
                State::InForce => ReportedState::InForce { ago_ms },
                State::Lost { until_ms } => {
                    ReportedState::Lost { remaining_ms: until_ms.saturating_sub(now_ms) }
                }
                State::Ended => ReportedState::Ended { ago_ms },
            };
            ReportedEvacuation { domain: domain.clone(), position: held.position, state }
        });
        EvacuationReport { read_until: self.read_until, domains: domains.collect() }
    }

    /// Merges what another gateway knows. Records that this gateway would have read by now, had they
    /// still been there, change nothing.
    pub fn merge(&mut self, report: &EvacuationReport, now_ms: u64) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for row in &report.domains {
            if !self.is_outdated(row) {
                changes.extend(self.apply_dated(
                    &row.domain,
                    row.state.to_held(row.position, now_ms),
                    now_ms,
                ));
            }
        }
        let Some(until) = report.read_until else { return changes };
        if self.read_until < Some(until) {
            let is_listed =
                |domain: &FailureDomain| report.domains.iter().any(|row| row.domain == *domain);
            changes.extend(self.end_missing(is_listed, until, now_ms));
            self.read_to(until, now_ms);
        }
        changes
    }

    /// Returns whether a row is about a record that was replaced before what this gateway has read.
    fn is_outdated(&self, row: &ReportedEvacuation) -> bool {
        let is_held =
            self.domains.get(&row.domain).is_some_and(|held| held.position == row.position);
        let is_read = self
            .read_until
            .is_some_and(|until| row.position.era == until.era && row.position < until);
        is_read && !is_held && !matches!(row.state, ReportedState::Ended { .. })
    }
}

impl ReportedState {
    fn to_held(self, position: EntryPosition, now_ms: u64) -> Held {
        match self {
            ReportedState::InForce { ago_ms } => {
                Held { position, state: State::InForce, changed_ms: now_ms.saturating_sub(ago_ms) }
            }
            ReportedState::Lost { remaining_ms } => {
                let until_ms = now_ms.saturating_add(remaining_ms.min(LOST_RECORD_MS));
                Held { position, state: State::Lost { until_ms }, changed_ms: now_ms }
            }
            ReportedState::Ended { ago_ms } => {
                Held { position, state: State::Ended, changed_ms: now_ms.saturating_sub(ago_ms) }
            }
        }
    }
}
