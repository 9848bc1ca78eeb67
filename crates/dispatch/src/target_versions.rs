//! Target weight versions, and since when servers with older weights may no longer be used.
//!
//! The time allowed for a version counts from its confirmation by the store. A gateway knows that
//! moment as a span on its own clock, and every rule counts from the start of the span. Whatever a
//! gateway learns, by reading or from others, is one of two facts: a version was confirmed by some
//! time, or none newer than a version was confirmed before some time. Facts stay true, so a span only
//! narrows, in whichever order they arrive.

use protocol::ids::ModelName;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// The share of the time allowed for new weights after which no request is sent to older ones. The
/// rest covers requests that wait at a server.
const OLD_WEIGHTS_SHARE: f64 = 0.68;
/// The share of the time allowed after which a request still waiting at a server with older weights
/// is aborted. The rest covers the transit time, and a server that is silent for a second before it
/// notices.
const ABORT_SHARE: f64 = 0.86;
/// The share of the time allowed that has passed for a version when a gateway first hears of it, if
/// nothing bounds its confirmation. What remains is shorter than the time after its start in which a
/// gateway counts as out of touch, in which it learns more from others.
const ASSUMED_AGE_SHARE: f64 = 0.5;
/// The maximum number of versions that are kept for a model.
const MAX_VERSIONS: usize = 8;

/// A requested version with the span in which the store confirmed it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetVersion {
    /// The version.
    pub version: u64,
    /// No version newer than the previous known one was confirmed before this; `None` if unknown.
    pub earliest_ms: Option<u64>,
    /// The version was confirmed by then.
    pub latest_ms: u64,
}

impl TargetVersion {
    /// Returns the time from which the version counts. `allowed_ms` is the time that the
    /// installation allows for new weights.
    pub fn since_ms(&self, allowed_ms: u64) -> u64 {
        let assumed_ms = self.latest_ms.saturating_sub(share(ASSUMED_AGE_SHARE, allowed_ms));
        self.earliest_ms.unwrap_or(assumed_ms)
    }

    /// Applies that the version was confirmed by a time. If that contradicts the start of the span,
    /// as after a step back of the store, the earlier confirmation counts.
    fn confirmed_by(&mut self, latest_ms: u64) {
        self.latest_ms = self.latest_ms.min(latest_ms);
        self.earliest_ms = self.earliest_ms.filter(|earliest_ms| *earliest_ms <= self.latest_ms);
    }

    /// Applies that the version was not confirmed before a time.
    fn not_before(&mut self, earliest_ms: u64) {
        if earliest_ms <= self.latest_ms {
            self.earliest_ms = self.earliest_ms.max(Some(earliest_ms));
        }
    }
}

fn share(share: f64, allowed_ms: u64) -> u64 {
    (share * allowed_ms as f64) as u64
}

/// The weight versions requested for a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetVersions {
    /// Increasing versions.
    versions: SmallVec<[TargetVersion; 2]>,
}

impl TargetVersions {
    /// Returns the versions, the oldest one first.
    pub fn versions(&self) -> &[TargetVersion] {
        &self.versions
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<u64> {
        self.versions.last().map(|target| target.version)
    }

    /// Returns the time from which the newest version counts.
    pub fn newest_since_ms(&self, allowed_ms: u64) -> Option<u64> {
        self.versions.last().map(|target| target.since_ms(allowed_ms))
    }

    /// Returns when a request that waits at a server with the given version is aborted; `None` if no
    /// newer version is requested.
    pub fn abort_at_ms(&self, version: u64, allowed_ms: u64) -> Option<u64> {
        let newer = self.versions.iter().filter(|target| target.version > version);
        let since_ms = newer.map(|target| target.since_ms(allowed_ms)).min();
        since_ms.map(|since_ms| since_ms.saturating_add(share(ABORT_SHARE, allowed_ms)))
    }

    /// Returns the oldest version that requests may still be sent to.
    pub fn oldest_usable(&self, allowed_ms: u64, now_ms: u64) -> u64 {
        let bound_ms = share(OLD_WEIGHTS_SHARE, allowed_ms);
        let is_due = |target: &&TargetVersion| {
            now_ms >= target.since_ms(allowed_ms).saturating_add(bound_ms)
        };
        self.versions.iter().filter(is_due).map(|target| target.version).max().unwrap_or(0)
    }

    /// Records that a version was confirmed by a time.
    fn confirmed_by(&mut self, version: u64, latest_ms: u64) {
        let index = self.versions.partition_point(|target| target.version < version);
        if self.versions.get(index).is_none_or(|target| target.version != version) {
            // What bounds the next version bounds all after the previous one.
            let earliest_ms = self.versions.get(index).and_then(|next| next.earliest_ms);
            self.versions.insert(index, TargetVersion { version, earliest_ms, latest_ms });
        }
        // Versions are confirmed in increasing order.
        for target in &mut self.versions[..=index] {
            target.confirmed_by(latest_ms);
        }
        if let Some(next) = self.versions.get(index + 1).copied() {
            self.versions[index].confirmed_by(next.latest_ms);
        }
        if self.versions.len() > MAX_VERSIONS {
            let oldest = self.versions.remove(0);
            self.versions[0].earliest_ms = oldest.earliest_ms;
        }
    }

    /// Records that no version newer than a known one was confirmed before a time.
    fn none_newer_before(&mut self, version: u64, earliest_ms: u64) {
        // One that has been forgotten leaves no entry whose previous version it is.
        if version > 0 && self.versions.iter().all(|target| target.version != version) {
            return;
        }
        for target in self.versions.iter_mut().filter(|target| target.version > version) {
            target.not_before(earliest_ms);
        }
    }

    /// Forgets the versions that a newer one has made irrelevant.
    fn forget_outdated(&mut self, allowed_ms: u64, now_ms: u64) {
        let is_over =
            |target: &TargetVersion| now_ms >= target.latest_ms.saturating_add(allowed_ms);
        let Some(newest_over) = self.versions.iter().rposition(is_over) else { return };
        if newest_over > 0 {
            self.versions.drain(..newest_over);
            // The start of its span was about versions after one that is not known any more.
            self.versions[0].earliest_ms = None;
        }
    }

    /// Returns whether the time of a version matters, and either nothing bounds it or its span is so
    /// wide that older versions are out of use as soon as it is known.
    fn is_uncertain(&self, allowed_ms: u64, now_ms: u64) -> bool {
        let bound_ms = share(OLD_WEIGHTS_SHARE, allowed_ms);
        self.versions.iter().any(|target| {
            let is_narrow = target
                .earliest_ms
                .is_some_and(|earliest_ms| target.latest_ms < earliest_ms.saturating_add(bound_ms));
            !is_narrow && now_ms < target.latest_ms.saturating_add(allowed_ms)
        })
    }
}

/// The target versions of all models that a gateway knows, for others. The times are on a clock that
/// both know.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetHistory {
    /// Every version that was confirmed before this is known; `None` if unknown.
    pub complete_until_ms: Option<u64>,
    /// The versions of each model, the oldest one first.
    pub models: Vec<(ModelName, Vec<TargetVersion>)>,
}

impl TargetHistory {
    /// Moves the times to another clock, whose lead over this one is between two values.
    #[must_use]
    pub fn shifted(mut self, min_lead_ms: i64, max_lead_ms: i64) -> Self {
        let early = |at_ms: u64| at_ms.saturating_add_signed(min_lead_ms);
        self.complete_until_ms = self.complete_until_ms.map(early);
        for target in self.models.iter_mut().flat_map(|(_, versions)| versions) {
            target.earliest_ms = target.earliest_ms.map(early);
            target.latest_ms = target.latest_ms.saturating_add_signed(max_lead_ms);
        }
        self
    }
}

/// The target versions of all models.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetTable {
    models: BTreeMap<ModelName, TargetVersions>,
    /// Every version that was confirmed before this is known.
    complete_until_ms: Option<u64>,
}

impl TargetTable {
    /// Returns the versions of a model.
    pub fn get(&self, model: &ModelName) -> Option<&TargetVersions> {
        self.models.get(model)
    }

    /// Returns the models with their versions.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &TargetVersions)> {
        self.models.iter()
    }

    /// Records a version that was read at a time. No version that was not known was confirmed before
    /// `not_before_ms`, if that is known beside what was read before.
    pub fn record_read(
        &mut self,
        model: &ModelName,
        version: u64,
        not_before_ms: Option<u64>,
        read_ms: u64,
    ) {
        let versions = self.models.entry(model.clone()).or_default();
        let known = versions.newest().unwrap_or(0);
        versions.confirmed_by(version, read_ms);
        // A report may be from a clock that was misjudged.
        let bounds = [self.complete_until_ms, not_before_ms].into_iter().flatten();
        if let Some(earliest_ms) = bounds.filter(|earliest_ms| *earliest_ms <= read_ms).max() {
            versions.none_newer_before(known, earliest_ms);
        }
    }

    /// Records that every version that was confirmed before a time is known.
    pub fn record_complete(&mut self, until_ms: u64) {
        self.complete_until_ms = self.complete_until_ms.max(Some(until_ms));
    }

    /// Records a version from a source that knows only the newest one, and that was confirmed by a
    /// time.
    pub fn record_newest(&mut self, model: &ModelName, version: u64, latest_ms: u64) {
        self.record_read(model, version, None, latest_ms);
    }

    /// Merges what another gateway knows, on this gateway's clock.
    pub fn merge(&mut self, history: &TargetHistory) {
        for (model, targets) in &history.models {
            for target in targets {
                self.record_newest(model, target.version, target.latest_ms);
            }
            let Some(versions) = self.models.get_mut(model) else { continue };
            let mut known = 0;
            for target in targets {
                if let Some(earliest_ms) = target.earliest_ms {
                    versions.none_newer_before(known, earliest_ms);
                }
                known = target.version;
            }
        }
        let Some(until_ms) = history.complete_until_ms else { return };
        for (model, versions) in &mut self.models {
            let listed = history.models.iter().find(|(listed, _)| listed == model);
            let newest = listed.and_then(|(_, targets)| targets.last());
            versions.none_newer_before(newest.map_or(0, |target| target.version), until_ms);
        }
        self.record_complete(until_ms);
    }

    /// Returns what others may learn.
    pub fn history(&self) -> TargetHistory {
        let models = self.models.iter();
        TargetHistory {
            complete_until_ms: self.complete_until_ms,
            models: models.map(|(model, known)| (model.clone(), known.versions.to_vec())).collect(),
        }
    }

    /// Forgets the versions that newer ones have made irrelevant.
    pub fn forget_outdated(&mut self, allowed_ms: u64, now_ms: u64) {
        for versions in self.models.values_mut() {
            versions.forget_outdated(allowed_ms, now_ms);
        }
    }

    /// Returns whether the confirmation of a version that matters is not known well enough.
    pub fn is_uncertain(&self, allowed_ms: u64, now_ms: u64) -> bool {
        self.models.values().any(|versions| versions.is_uncertain(allowed_ms, now_ms))
    }
}
