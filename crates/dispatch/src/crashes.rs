//! Requests that crash the servers that run them.
//!
//! Load patterns: one request is sent again and again, to any gateway, and crashes a server each
//! time it starts to run; or all requests with one segment in their prompts do, no two of them
//! alike. Requests that were in flight on a crashed server are its suspects. What suspects of
//! several crashes have in common is refused, until later answers clear it.

mod evidence;
mod feature;
mod signature;
mod trials;

pub use crate::crashes::evidence::{
    Crash, CrashId, CrashReport, EVIDENCE_TTL_MS, Evidence, EvidenceReport, MAX_CRASHES,
};
pub use crate::crashes::feature::{ContentKey, Feature, Features, MAX_SEGMENTS};
pub use crate::crashes::trials::{TrialReport, TrialTable, Trials};

use crate::crashes::signature::{Signature, is_subset};
use std::collections::HashMap;

/// The number of crashes from which on a request is refused. The platform allows three under one
/// content and five under one segment.
pub const MIN_CRASHES: usize = 3;
/// The time between the first and the last of these crashes at least if segments are all that the
/// requests have in common, in milliseconds.
pub const MIN_SPREAD_MS: u64 = 250;
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

/// How a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// As any other.
    Allowed,
    /// It has the features under which servers crashed.
    Refused {
        /// These features.
        features: Features,
        /// When the next trial is due, on the gateway's clock.
        trial_ms: u64,
    },
    /// It may run as a trial of these features, once no other gateway claims it.
    TrialDue(Features),
}

/// The crashes that this gateway knows of.
#[derive(Debug, Default)]
pub struct Crashes {
    known: Evidence,
    /// What this gateway noticed itself, which it keeps in the platform's store.
    local: Evidence,
    /// The suspects of crashes that are not confirmed yet.
    unconfirmed: HashMap<CrashId, Crash>,
    signatures: Vec<Signature>,
    /// Whether the signatures are those of earlier evidence.
    is_outdated: bool,
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
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            return Aborted::Unconfirmed;
        }
        self.unconfirmed.insert(id.clone(), crash);
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
        let mut evidence = Evidence::default();
        for (id, crash) in &self.known.crashes {
            let is_suspected = |feature: &&Feature| crash.is_suspected(feature);
            if crash.learnt_ms < began_ms && features.iter().any(|feature| is_suspected(&feature)) {
                let cleared = features.iter().filter(is_suspected).copied().collect();
                let (at_ms, learnt_ms) = (crash.at_ms, crash.learnt_ms);
                let update = Crash { at_ms, learnt_ms, cleared, ..Crash::default() };
                evidence.crashes.insert(id.clone(), update);
            }
        }
        if !evidence.is_empty() {
            self.record(&evidence, now_ms);
        }
        evidence
    }

    /// Returns the next trial of some features, as evidence to record once it is claimed.
    pub fn next_trial(&self, features: &Features, for_ms: u64, now_ms: u64) -> Evidence {
        let before = trials::related(&self.known.trials, &self.signatures, features);
        let count = before.map_or(0, |trials| trials.count).saturating_add(1);
        let trials = Trials { count, last_ms: now_ms, for_ms };
        Evidence { trials: [(features.clone(), trials)].into(), ..Evidence::default() }
    }

    /// Records evidence that this gateway noticed.
    pub fn record(&mut self, evidence: &Evidence, now_ms: u64) {
        self.local.merge(evidence);
        self.learn(evidence, now_ms);
    }

    /// Records evidence of other gateways; returns whether it held anything new.
    pub fn learn(&mut self, evidence: &Evidence, now_ms: u64) -> bool {
        let is_new = self.known.merge(evidence);
        if is_new {
            self.expire(now_ms);
        }
        is_new
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
        self.is_outdated = true;
        if self.known.crashes.len() > MAX_CRASHES {
            self.update_signatures();
            let signatures = &self.signatures;
            let is_needed = |crash: &Crash| {
                let mut suspects = crash.suspects.iter();
                suspects.any(|features| signatures.iter().any(|found| found.matches(features)))
            };
            self.known.limit(is_needed);
            self.local.limit(is_needed);
            self.is_outdated = true;
        }
    }

    /// Finds the signatures if the evidence has changed. Crashes come in numbers, so this waits for
    /// the next request.
    fn update_signatures(&mut self) {
        if std::mem::replace(&mut self.is_outdated, false) {
            self.signatures = signature::find(self.known.crashes.values());
        }
    }

    /// Returns in how many crashes a feature is suspected.
    pub fn crashes_under(&self, feature: &Feature) -> usize {
        self.known.crashes.values().filter(|crash| crash.is_suspected(feature)).count()
    }

    /// Returns whether any requests are refused.
    pub fn refuses_any(&mut self) -> bool {
        self.update_signatures();
        !self.signatures.is_empty()
    }

    /// Returns how a request may run.
    ///
    /// A request that matches several signatures is no evidence on the lesser one, so it is a trial
    /// of the one that includes all others, or none.
    pub fn check(&mut self, features: &[Feature], now_ms: u64) -> Verdict {
        self.update_signatures();
        let matching = || self.signatures.iter().filter(|signature| signature.matches(features));
        let is_largest = |signature: &&Signature| {
            !matching().any(|other| {
                other.features.len() > signature.features.len()
                    && is_subset(&signature.features, &other.features)
            })
        };
        let mut largest = matching().filter(is_largest);
        let Some(first) = largest.next() else { return Verdict::Allowed };
        let due_ms =
            |signature: &Signature| trials::due_ms(&self.known.trials, &self.signatures, signature);
        let features = first.features.clone();
        let mut trial_ms = due_ms(first);
        let mut is_single = true;
        for other in largest {
            trial_ms = trial_ms.max(due_ms(other));
            is_single = false;
        }
        if is_single && trial_ms <= now_ms {
            return Verdict::TrialDue(features);
        }
        Verdict::Refused { features, trial_ms }
    }

    fn record_local(&mut self, id: &CrashId, crash: Crash, now_ms: u64) -> Evidence {
        let crashes = [(id.clone(), crash)].into();
        let evidence = Evidence { crashes, ..Evidence::default() };
        self.record(&evidence, now_ms);
        evidence
    }
}
