//! A gateway of a history. What it decides is the production code.

use crate::leader::Leading;
use crate::world::Rule;
use dispatch::blocks::{CacheSalt, SharingScope};
use dispatch::eligibility::AllowedRegions;
use dispatch::era::{EraTracker, StoreEra};
use dispatch::retirement::{FetchPermit, Retirements};
use protocol::ids::ModelName;
use std::collections::BTreeSet;

/// The time that the installation allows for new weights, in milliseconds.
pub const ALLOWED_MS: u64 = 10_000;

pub fn model() -> ModelName {
    "m".parse().unwrap()
}

#[derive(Debug)]
pub struct Gateway {
    /// The number of its process; zero while it does not run.
    pub life: u64,
    pub frozen_since_ms: Option<u64>,
    pub thaws_ms: u64,
    /// When it was last suspended.
    pub suspended_ms: u64,
    pub cut_from_store_ms: u64,
    pub cut_from_peers_ms: u64,
    pub follows: Option<usize>,
    pub permit: FetchPermit,
    pub retirements: Retirements,
    pub eras: EraTracker,
    pub target: u64,
    /// The gateways that it has listed.
    pub known: BTreeSet<usize>,
    pub listings: u32,
    pub listed_ms: u64,
    /// The number of its current round of discovery.
    pub discovery: u64,
    pub leading: Leading,
}

impl Gateway {
    pub fn new(follows: Option<usize>) -> Self {
        Self {
            life: 0,
            frozen_since_ms: None,
            thaws_ms: 0,
            suspended_ms: 0,
            cut_from_store_ms: 0,
            cut_from_peers_ms: 0,
            follows,
            permit: FetchPermit::default(),
            retirements: Retirements::default(),
            eras: EraTracker::default(),
            target: 0,
            known: BTreeSet::new(),
            listings: 0,
            listed_ms: 0,
            discovery: 0,
            leading: Leading::default(),
        }
    }

    /// Starts a process, which knows nothing.
    pub fn start(&mut self, life: u64, omitted: Option<Rule>) {
        let retirements = match omitted {
            Some(Rule::SupersededEnd) => Retirements::default(),
            _ => Retirements::default().with_allowed_ms(ALLOWED_MS),
        };
        let discovery = self.discovery + 1;
        *self = Self {
            life,
            retirements,
            discovery,
            cut_from_store_ms: self.cut_from_store_ms,
            cut_from_peers_ms: self.cut_from_peers_ms,
            ..Self::new(self.follows)
        };
    }

    pub const fn is_running(&self) -> bool {
        self.life > 0 && self.frozen_since_ms.is_none()
    }

    /// Records the era of an answer; returns whether the answer counts, and whether the era rose.
    pub fn observe(&mut self, era: StoreEra, now_ms: u64) -> (bool, bool) {
        if self.eras.known().is_some_and(|known| era < known) {
            return (false, false);
        }
        let is_new = self.eras.known() != Some(era);
        self.eras.observe_era(era, now_ms);
        (true, is_new)
    }

    /// Applies a state of the store that was read `age_ms` before `written_ms`.
    pub fn apply_state(
        &mut self,
        target: u64,
        written_ms: u64,
        now_ms: u64,
        omitted: Option<Rule>,
    ) {
        if target > self.target {
            self.target = target;
            self.retirements.record_target(&model(), target, now_ms);
        }
        if self.permit.must_retire(now_ms) && omitted != Some(Rule::RetireAfterGap) {
            self.retirements.retire_superseded();
        }
        self.permit.record_state(written_ms.max(1));
    }

    /// Returns whether a request may name a block of some weights.
    pub fn may_fetch(&self, version: u64, now_ms: u64, omitted: Option<Rule>) -> bool {
        let permit = match omitted {
            Some(Rule::Registration) => self.permit.check_alone(now_ms),
            Some(Rule::EarlierLeases) => {
                let mut eras = EraTracker::default();
                eras.observe_era(self.eras.current(), 0);
                self.permit.check(&eras, now_ms)
            }
            Some(Rule::PermitEnds) => {
                let mut permit = self.permit;
                permit.record_registration(self.eras.current(), now_ms);
                permit.record_listing(self.eras.current(), now_ms);
                permit.record_state(now_ms);
                permit.check(&self.eras, now_ms)
            }
            Some(Rule::StateAge) => {
                let mut permit = self.permit;
                permit.record_state(now_ms);
                permit.check(&self.eras, now_ms)
            }
            Some(Rule::CurrentEra) => {
                let mut permit = self.permit;
                permit.record_registration(self.eras.current(), now_ms);
                permit.record_listing(self.eras.current(), now_ms);
                permit.check(&self.eras, now_ms)
            }
            _ => self.permit.check(&self.eras, now_ms),
        };
        let salt = CacheSalt::new(
            &model(),
            version,
            &SharingScope::Shared(None),
            &AllowedRegions::default(),
        );
        permit.is_ok() && !self.retirements.is_retired(&model(), &salt, now_ms)
    }
}
