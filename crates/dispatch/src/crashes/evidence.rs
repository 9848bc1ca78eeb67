//! The crashes of servers, with the requests that were in flight there.
//!
//! Evidence of several gateways merges in any order and any number of times to the same result, so
//! that it can travel by several paths and be sent again.

use crate::crashes::feature::{Feature, Features};
use crate::crashes::trials::{TrialReport, TrialTable, Trials};
use crate::registry::ServerId;
use protocol::ids::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long a crash counts, in milliseconds.
pub const EVIDENCE_TTL_MS: u64 = 600_000;
/// The maximum number of crashes that are held.
pub const MAX_CRASHES: usize = 128;
/// The maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 64;
/// The maximum number of signatures whose trials are held.
const MAX_TRIALS: usize = 64;
/// The maximum number of cleared features of one crash.
const MAX_CLEARED: usize = 64;

/// Identifies a crash: each incarnation of a server ends once, whichever gateway notices.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct CrashId {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A crash of a server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Crash {
    /// When it was noticed, on the gateway's clock: the latest time that any report gives. A time of
    /// day that has jumped makes a report seem old, and must not end what others report.
    pub at_ms: u64,
    /// When this gateway received it, on its clock.
    pub learnt_ms: u64,
    /// The features of the requests that were in flight.
    pub suspects: BTreeSet<Features>,
    /// The features that later answers have cleared of it.
    pub cleared: BTreeSet<Feature>,
}

impl Crash {
    /// Returns whether a feature is suspected of the crash.
    pub fn is_suspected(&self, feature: &Feature) -> bool {
        !self.cleared.contains(feature)
            && self.suspects.iter().any(|features| features.contains(feature))
    }

    /// Merges what another gateway knows of the crash; returns whether it was new.
    fn merge(&mut self, other: &Crash) -> bool {
        self.at_ms = self.at_ms.max(other.at_ms);
        let is_known =
            self.suspects.is_superset(&other.suspects) && self.cleared.is_superset(&other.cleared);
        self.suspects.extend(other.suspects.iter().cloned());
        self.cleared.extend(&other.cleared);
        // The same ones are dropped at every gateway.
        while self.suspects.len() > MAX_SUSPECTS {
            self.suspects.pop_last();
        }
        while self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_last();
        }
        !is_known
    }
}

/// What is known of crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// The crashes.
    pub crashes: BTreeMap<CrashId, Crash>,
    /// The trials of what is refused.
    pub trials: TrialTable,
}

impl Evidence {
    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.trials.is_empty()
    }

    /// Merges other evidence; returns whether it held anything new.
    pub fn merge(&mut self, other: &Evidence) -> bool {
        let mut is_new = false;
        for (id, crash) in &other.crashes {
            match self.crashes.get_mut(id) {
                Some(held) => is_new |= held.merge(crash),
                None => {
                    self.crashes.insert(id.clone(), crash.clone());
                    is_new = true;
                }
            }
        }
        for (features, trials) in &other.trials {
            is_new |= self.merge_trials(features, trials);
        }
        is_new
    }

    fn merge_trials(&mut self, features: &Features, trials: &Trials) -> bool {
        let held = self.trials.get(features).copied();
        let is_new = held.is_none_or(|held| held.count < trials.count);
        if is_new {
            self.trials.insert(features.clone(), *trials);
        }
        while self.trials.len() > MAX_TRIALS {
            let oldest = self.trials.iter().min_by_key(|(_, trials)| trials.last_ms);
            let Some(features) = oldest.map(|(features, _)| features.clone()) else { break };
            self.trials.remove(&features);
        }
        is_new
    }

    /// Removes crashes and trials that no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        self.crashes.retain(|_, crash| crash.at_ms + EVIDENCE_TTL_MS > now_ms);
        self.trials.retain(|_, trials| trials.last_ms + EVIDENCE_TTL_MS > now_ms);
    }

    /// Removes crashes beyond the maximum number, those that are not needed first, then the oldest.
    pub fn limit(&mut self, is_needed: impl Fn(&Crash) -> bool) {
        /// How many are removed at once, so that not every further crash removes one.
        const REMOVED: usize = 16;
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let keys = self.crashes.iter().map(|(id, crash)| (is_needed(crash), crash.at_ms, id));
        let mut keys: Vec<_> = keys.collect();
        keys.sort_unstable();
        let excess = keys.len() - MAX_CRASHES + REMOVED;
        let removed: Vec<_> = keys.into_iter().take(excess).map(|(.., id)| id.clone()).collect();
        self.crashes.retain(|id, _| !removed.contains(id));
    }

    /// Encodes the evidence with ages in place of times of this gateway's clock.
    pub fn to_report(&self, now_ms: u64) -> EvidenceReport {
        let crashes = self.crashes.iter().map(|(id, crash)| CrashReport {
            id: id.clone(),
            age_ms: now_ms.saturating_sub(crash.at_ms),
            suspects: crash.suspects.iter().cloned().collect(),
            cleared: crash.cleared.iter().copied().collect(),
        });
        let trials = self.trials.iter().map(|(features, trials)| TrialReport {
            features: features.clone(),
            count: trials.count,
            age_ms: now_ms.saturating_sub(trials.last_ms),
            for_ms: trials.for_ms,
        });
        EvidenceReport { crashes: crashes.collect(), trials: trials.collect() }
    }

    /// Decodes a report that is received now and was made `transit_ms` ago.
    pub fn from_report(report: EvidenceReport, transit_ms: u64, now_ms: u64) -> Self {
        let crashes = report.crashes.into_iter().map(|crash| {
            let at_ms = now_ms.saturating_sub(crash.age_ms.saturating_add(transit_ms));
            let suspects = crash.suspects.into_iter().collect();
            let cleared = crash.cleared.into_iter().collect();
            (crash.id, Crash { at_ms, learnt_ms: now_ms, suspects, cleared })
        });
        let trials = report.trials.into_iter().map(|trial| {
            let last_ms = now_ms.saturating_sub(trial.age_ms.saturating_add(transit_ms));
            let for_ms = trial.for_ms.min(EVIDENCE_TTL_MS);
            (trial.features, Trials { count: trial.count, last_ms, for_ms })
        });
        Self { crashes: crashes.collect(), trials: trials.collect() }
    }
}

/// Evidence as gateways exchange it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The crashes.
    pub crashes: Vec<CrashReport>,
    /// The trials.
    pub trials: Vec<TrialReport>,
}

/// A crash as gateways exchange it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crash.
    pub id: CrashId,
    /// How long ago it was noticed, in milliseconds.
    pub age_ms: u64,
    /// The features of the requests that were in flight.
    pub suspects: Vec<Features>,
    /// The features that were cleared.
    pub cleared: Vec<Feature>,
}
