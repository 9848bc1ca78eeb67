//! The fair level, up to which every organisation is served in full.

use crate::fair_share::WorkSums;

/// The ratio of offered to admitted work above which the service counts as contended.
const CONTENTION_FACTOR: f64 = 1.02;

/// The least share of the admitted work that counts as served.
const MIN_SERVED_SHARE: f64 = 0.25;

/// Holds the recent work of one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentWork {
    /// Its weight.
    pub weight: f64,
    /// The work that it requested.
    pub offered: f64,
    /// The part of that work that was admitted.
    pub admitted: f64,
}

impl RecentWork {
    /// Creates the recent work of an organisation from its sums.
    pub(super) fn new(weight: u32, work: WorkSums) -> Self {
        let WorkSums { offered, admitted } = work;
        Self { weight: f64::from(weight.max(1)), offered, admitted }
    }
}

/// Returns the max-min fair level, in work per unit of weight: the admitted work is divided so that
/// no organisation exceeds the level while another one is below it with unserved work. The level is
/// infinite if the service is not contended.
///
/// The unused share of an organisation is lent to the others in proportion to their weights.
pub fn fair_level(organisations: &mut [RecentWork]) -> f64 {
    fair_level_beside(organisations, 0.0, 0.0)
}

/// Returns the fair level like [`fair_level`], without admitted work that is `unserved`, and beside
/// `further` work that was admitted in full. The latter counts only for whether the service is
/// contended.
pub fn fair_level_beside(organisations: &mut [RecentWork], unserved: f64, further: f64) -> f64 {
    let admitted: f64 = organisations.iter().map(|organisation| organisation.admitted).sum();
    let admitted = (admitted - unserved).max(MIN_SERVED_SHARE * admitted);
    let offered: f64 = organisations.iter().map(|organisation| organisation.offered).sum();
    if offered + further <= CONTENTION_FACTOR * (admitted + further) {
        return f64::INFINITY;
    }
    let offered_level = |organisation: &RecentWork| organisation.offered / organisation.weight;
    organisations.sort_by(|a, b| offered_level(a).total_cmp(&offered_level(b)));
    let mut remaining = admitted;
    let mut weights: f64 = organisations.iter().map(|organisation| organisation.weight).sum();
    for organisation in organisations.iter() {
        let level = remaining / weights;
        if offered_level(organisation) >= level {
            return level;
        }
        remaining -= organisation.offered;
        weights -= organisation.weight;
    }
    f64::INFINITY
}
