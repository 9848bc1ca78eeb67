//! What a gateway knows to be retired.

use crate::blocks::CacheSalt;
use crate::retirement::superseded_use_ms;
use protocol::ids::ModelName;
use smallvec::SmallVec;
use std::collections::HashMap;

/// The blocks that may not be fetched and saved any more.
#[derive(Clone, Debug, Default)]
pub struct Retirements {
    /// The oldest weight version of each model whose blocks may be used.
    oldest_used: HashMap<ModelName, u64>,
    /// The target weight versions of each model, with when this gateway learned of them.
    targets: HashMap<ModelName, SmallVec<[(u64, u64); 2]>>,
    /// How long blocks of superseded weights are used; `None` for no limit.
    superseded_use_ms: Option<u64>,
}

impl Retirements {
    /// Sets the time that the installation allows for new weights.
    pub fn with_allowed_ms(mut self, allowed_ms: u64) -> Self {
        self.superseded_use_ms = Some(superseded_use_ms(allowed_ms));
        self
    }

    /// Retires the blocks of a model that were computed with weights older than `oldest_used`.
    pub fn retire(&mut self, model: &ModelName, oldest_used: u64) {
        let held = self.oldest_used.entry(model.clone()).or_insert(oldest_used);
        *held = (*held).max(oldest_used);
    }

    /// Retires the blocks of all weights that are older than the targets.
    pub fn retire_superseded(&mut self) {
        let newest = self.targets.iter().filter_map(|(model, targets)| {
            Some((model.clone(), targets.iter().map(|(version, _)| *version).max()?))
        });
        for (model, newest) in newest.collect::<Vec<_>>() {
            self.retire(&model, newest);
        }
    }

    /// Records that newer weights are the target.
    pub fn record_target(&mut self, model: &ModelName, version: u64, now_ms: u64) {
        let targets = self.targets.entry(model.clone()).or_default();
        if !targets.iter().any(|(held, _)| *held == version) {
            targets.push((version, now_ms));
        }
    }

    /// Returns when this gateway learned that older weights are superseded by a version.
    pub fn superseded_ms(&self, model: &ModelName, version: u64) -> Option<u64> {
        let targets = self.targets.get(model)?;
        targets.iter().filter(|(target, _)| *target >= version).map(|(_, at_ms)| *at_ms).min()
    }

    /// Returns the oldest weight version of each model whose blocks may be used.
    pub fn oldest_used(&self) -> Vec<(ModelName, u64)> {
        self.oldest_used.iter().map(|(model, version)| (model.clone(), *version)).collect()
    }

    /// Returns whether the blocks under a salt may not be used.
    pub fn is_retired(&self, model: &ModelName, salt: &CacheSalt, now_ms: u64) -> bool {
        if self.oldest_used.get(model).is_some_and(|oldest| salt.is_older(model, *oldest)) {
            return true;
        }
        let (Some(use_ms), Some(targets)) = (self.superseded_use_ms, self.targets.get(model))
        else {
            return false;
        };
        targets.iter().any(|(target, at_ms)| {
            now_ms >= at_ms.saturating_add(use_ms) && salt.is_older(model, *target)
        })
    }
}
