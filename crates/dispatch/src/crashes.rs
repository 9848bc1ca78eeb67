//! Requests that crash the servers that run them.
//!
//! Load pattern: one request is sent again and again, to any gateway, and crashes a server each
//! time it starts to run. Requests that were in flight on a crashed server are its suspects until
//! a later answer clears them.

mod evidence;
mod feature;

pub use crate::crashes::evidence::{
    Crash, CrashId, CrashReport, EVIDENCE_TTL_MS, Evidence, EvidenceReport, MAX_CRASHES,
};
pub use crate::crashes::feature::{ContentKey, Feature, Features};

use std::collections::HashMap;

/// The number of crashes from which on a request is refused. The platform allows three.
pub const MIN_CRASHES: usize = 3;
/// The maximum number of crashes that wait for confirmation.
const MAX_UNCONFIRMED: usize = 64;

/// What follows from an aborted attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Aborted {
    /// It must be found out whether the server has crashed.
    Confirm,
    /// That is being found out.
    Unconfirmed,
    /// The server has crashed; the evidence is new.
    Crashed(Evidence),
}

/// The crashes that this gateway knows of.
#[derive(Debug, Default)]
pub struct Crashes {
    known: Evidence,
    /// What this gateway noticed itself, which it keeps in the platform's store.
    local: Evidence,
    /// The suspects of crashes that are not confirmed yet.
    unconfirmed: HashMap<CrashId, Crash>,
    /// In how many crashes each feature is suspected.
    counts: HashMap<Feature, usize>,
}

impl Crashes {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an attempt that was aborted, perhaps because its server crashed.
    pub fn record_aborted(&mut self, id: &CrashId, features: Features, now_ms: u64) -> Aborted {
        let suspects = [features].into();
        let crash = Crash { at_ms: now_ms, learnt_ms: now_ms, suspects, ..Crash::default() };
        if self.known.crashes.contains_key(id) {
            return Aborted::Crashed(self.record_local(id, crash, now_ms));
        }
        if let Some(unconfirmed) = self.unconfirmed.get_mut(id) {
            unconfirmed.suspects.extend(crash.suspects);
            return Aborted::Unconfirmed;
        }
        if self.unconfirmed.len() < MAX_UNCONFIRMED {
            self.unconfirmed.insert(id.clone(), crash);
        }
        Aborted::Confirm
    }

    /// Records that a server has crashed under the attempts that were aborted; returns what is new.
    pub fn confirm(&mut self, id: &CrashId, now_ms: u64) -> Evidence {
        match self.unconfirmed.remove(id) {
            Some(crash) => self.record_local(id, crash, now_ms),
            None => Evidence::default(),
        }
    }

    /// Records that a server lives; its connections were aborted for another reason.
    pub fn refute(&mut self, id: &CrashId) {
        self.unconfirmed.remove(id);
    }

    /// Clears features by an answer that began at a time, of all crashes that were known by then;
    /// returns what is new.
    pub fn clear(&mut self, features: &[Feature], began_ms: u64, now_ms: u64) -> Evidence {
        let mut news = Evidence::default();
        for (id, crash) in &self.known.crashes {
            let is_cleared = |feature: &&Feature| crash.suspects(feature);
            if crash.learnt_ms < began_ms && features.iter().any(|feature| is_cleared(&feature)) {
                let cleared = features.iter().filter(is_cleared).copied().collect();
                let (at_ms, learnt_ms) = (crash.at_ms, crash.learnt_ms);
                let update = Crash { at_ms, learnt_ms, cleared, ..Crash::default() };
                news.crashes.insert(id.clone(), update);
            }
        }
        if !news.is_empty() {
            self.local.merge(&news);
            self.learn(&news, now_ms);
        }
        news
    }

    /// Records evidence of other gateways; returns whether it held anything new.
    pub fn learn(&mut self, evidence: &Evidence, now_ms: u64) -> bool {
        let is_new = self.known.merge(evidence);
        if is_new {
            self.expire(now_ms);
        }
        is_new
    }

    /// Records what this gateway kept in the store before it restarted.
    pub fn learn_local(&mut self, evidence: &Evidence, now_ms: u64) {
        self.local.merge(evidence);
        self.learn(evidence, now_ms);
    }

    /// Returns what this gateway noticed itself.
    pub const fn local(&self) -> &Evidence {
        &self.local
    }

    /// Returns all that is known.
    pub const fn known(&self) -> &Evidence {
        &self.known
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        self.known.expire(now_ms);
        self.local.expire(now_ms);
        self.count();
        let counts = &self.counts;
        let is_needed = |crash: &Crash| {
            let mut suspected = crash.suspects.iter().flatten();
            suspected.any(|feature| counts.get(feature).is_some_and(|count| *count >= MIN_CRASHES))
        };
        self.known.limit(is_needed);
        self.local.limit(is_needed);
        self.count();
    }

    /// Returns in how many crashes a feature is suspected.
    pub fn crashes_under(&self, feature: &Feature) -> usize {
        self.counts.get(feature).copied().unwrap_or(0)
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, features: &[Feature]) -> bool {
        features.iter().any(|feature| self.crashes_under(feature) >= MIN_CRASHES)
    }

    fn record_local(&mut self, id: &CrashId, crash: Crash, now_ms: u64) -> Evidence {
        let news = Evidence { crashes: [(id.clone(), crash)].into() };
        self.local.merge(&news);
        self.learn(&news, now_ms);
        news
    }

    fn count(&mut self) {
        self.counts.clear();
        for crash in self.known.crashes.values() {
            let suspected: std::collections::BTreeSet<_> =
                crash.suspects.iter().flatten().collect();
            for feature in suspected.into_iter().filter(|feature| crash.suspects(feature)) {
                *self.counts.entry(*feature).or_default() += 1;
            }
        }
    }
}
