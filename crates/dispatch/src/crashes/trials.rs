//! The way back for refused requests: one trial at a time, with growing intervals.

use crate::crashes::feature::Features;
use crate::crashes::signature::{Signature, is_subset};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The time from a refusal to the first trial, and the time after each further one, in
/// milliseconds. They grow because the platform allows three more requests in all.
const INTERVALS_MS: [u64; 5] = [2_000, 8_000, 45_000, 180_000, 600_000];

/// The trials of the requests that have some features.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trials {
    /// The number of trials.
    pub count: u32,
    /// When the last one was claimed, on the gateway's clock.
    pub last_ms: u64,
    /// How long the last one may take, in milliseconds.
    pub for_ms: u64,
}

/// The trials by the features that they are of.
pub type TrialTable = BTreeMap<Features, Trials>;

/// A claimed trial as gateways exchange it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// The features that it is of.
    pub features: Features,
    /// The number of trials, with this one.
    pub count: u32,
    /// How long ago it was claimed, in milliseconds.
    pub age_ms: u64,
    /// How long it may take, in milliseconds.
    pub for_ms: u64,
}

/// Returns the trials that count for the features of a signature: those of the same features, and
/// those of more or fewer whose signature it has replaced as answers cleared features, or as crashes
/// showed that fewer are enough.
pub fn related(
    table: &TrialTable,
    signatures: &[Signature],
    features: &Features,
) -> Option<Trials> {
    let is_replaced = |other: &Features| {
        (is_subset(other, features) || is_subset(features, other))
            && !signatures.iter().any(|signature| signature.features == *other)
    };
    let related = table.iter().filter(|(other, _)| *other == features || is_replaced(other));
    let mut merged: Option<Trials> = None;
    for (_, trials) in related {
        let held = merged.get_or_insert(*trials);
        held.count = held.count.max(trials.count);
        if trials.last_ms > held.last_ms {
            (held.last_ms, held.for_ms) = (trials.last_ms, trials.for_ms);
        }
    }
    merged
}

/// Returns when the next trial of a signature is due.
pub fn due_ms(table: &TrialTable, signatures: &[Signature], signature: &Signature) -> u64 {
    let first_ms = signature.since_ms + INTERVALS_MS[0];
    related(table, signatures, &signature.features).map_or(first_ms, |trials| {
        let index = (trials.count as usize).min(INTERVALS_MS.len() - 1);
        first_ms.max(trials.last_ms + INTERVALS_MS[index].max(trials.for_ms))
    })
}
