//! What the requests under which servers crashed have in common.

use crate::crashes::evidence::Crash;
use crate::crashes::feature::{Feature, Features};
use crate::crashes::{MIN_CRASHES, MIN_SPREAD_MS};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The maximum number of a feature's crashes that are compared, the latest ones.
const MAX_COMPARED_CRASHES: usize = 8;
/// The maximum number of suspects of one crash that are compared.
const MAX_COMPARED_SUSPECTS: usize = 6;
/// The maximum number of signatures.
const MAX_SIGNATURES: usize = 64;

/// Features that suspects of [`MIN_CRASHES`] crashes have in common. Requests that have all of them
/// are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Signature {
    /// The features.
    pub features: Features,
    /// When the last of these crashes was noticed, on the gateway's clock.
    pub since_ms: u64,
}

impl Signature {
    /// Returns whether a request has all features.
    pub fn matches(&self, features: &[Feature]) -> bool {
        is_subset(&self.features, features)
    }
}

/// Returns whether a set of features is part of another one.
pub fn is_subset(part: &[Feature], all: &[Feature]) -> bool {
    part.iter().all(|feature| all.contains(feature))
}

/// One crash as far as it is not explained: its time, and the features of its suspects that no
/// answer has cleared.
struct OpenCrash {
    at_ms: u64,
    suspects: BTreeSet<Features>,
}

/// Finds the signatures of crashes.
pub fn find<'a>(crashes: impl Iterator<Item = &'a Crash>) -> Vec<Signature> {
    let mut open: Vec<OpenCrash> = crashes.map(open_crash).collect();
    open.retain(|crash| !crash.suspects.is_empty());
    open.sort_by_key(|crash| crash.at_ms);
    let mut found: BTreeMap<Features, u64> = BTreeMap::new();
    for feature in frequent_features(&open) {
        let is_suspect = |crash: &&OpenCrash| crash.suspects.iter().any(|s| s.contains(&feature));
        let crashes: Vec<&OpenCrash> = open.iter().filter(is_suspect).collect();
        let latest = &crashes[crashes.len().saturating_sub(MAX_COMPARED_CRASHES)..];
        add_common(feature, latest, &mut found);
    }
    let signatures = found.into_iter().take(MAX_SIGNATURES);
    signatures.map(|(features, since_ms)| Signature { features, since_ms }).collect()
}

/// Returns the features that are suspected in enough crashes. Most features are in one only.
fn frequent_features(crashes: &[OpenCrash]) -> BTreeSet<Feature> {
    /// The last crash that was counted for a feature, and the count.
    type Count = (usize, usize);
    let mut counts: HashMap<Feature, Count> = HashMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for feature in crash.suspects.iter().flatten() {
            let (last, count) = counts.entry(*feature).or_insert((index, 1));
            if *last != index {
                (*last, *count) = (index, *count + 1);
            }
        }
    }
    let frequent = counts.into_iter().filter(|(_, (_, count))| *count >= MIN_CRASHES);
    frequent.map(|(feature, _)| feature).collect()
}

fn open_crash(crash: &Crash) -> OpenCrash {
    let suspects = crash.suspects.iter().map(|features| {
        let open = features.iter().filter(|feature| !crash.cleared.contains(feature));
        open.copied().collect::<Features>()
    });
    let suspects = suspects.filter(|features| !features.is_empty()).collect();
    OpenCrash { at_ms: crash.at_ms, suspects }
}

/// Adds what suspects with a feature have in common over each three crashes. Where that is no more
/// than segments, which many requests share, servers that end at the same time have another cause,
/// as when a failure domain loses its power.
fn add_common(feature: Feature, crashes: &[&OpenCrash], found: &mut BTreeMap<Features, u64>) {
    let with_feature = |crash: &OpenCrash| -> SmallVec<[Features; 2]> {
        let suspects = crash.suspects.iter().filter(|features| features.contains(&feature));
        suspects.take(MAX_COMPARED_SUSPECTS).cloned().collect()
    };
    let suspects: Vec<_> = crashes.iter().map(|crash| with_feature(crash)).collect();
    for third in MIN_CRASHES - 1..crashes.len() {
        for second in 1..third {
            for first in 0..second {
                let is_spread = crashes[third].at_ms - crashes[first].at_ms >= MIN_SPREAD_MS;
                let mut common: BTreeSet<Features> = suspects[first].iter().cloned().collect();
                for other in [second, third] {
                    let pairs = common.iter().flat_map(|left| {
                        suspects[other].iter().map(|right| intersection(left, right))
                    });
                    common = pairs.collect();
                }
                let has_content = |features: &Features| !features.iter().all(|f| f.is_segment());
                for features in common.into_iter().filter(|f| is_spread || has_content(f)) {
                    let since_ms = found.entry(features).or_insert(crashes[third].at_ms);
                    *since_ms = (*since_ms).min(crashes[third].at_ms);
                }
            }
        }
    }
}

fn intersection(left: &Features, right: &Features) -> Features {
    left.iter().filter(|feature| right.contains(feature)).copied().collect()
}
