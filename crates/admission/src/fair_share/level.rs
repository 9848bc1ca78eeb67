//! The level up to which all organisations get what they ask for.

/// How much more must be asked for than was admitted before anybody counts as lacking.
const LACK_FACTOR: f64 = 1.02;

/// Holds the recent work of one organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Its weight.
    pub weight: f64,
    /// The work that it asked for.
    pub offered: f64,
    /// The work that was admitted.
    pub admitted: f64,
}

/// Returns the work for each unit of weight at which all admitted work is shared out so that
/// nobody has more while another lacks; infinite if nobody lacks anything.
///
/// What an organisation does not ask for is lent to the others in proportion to their weights.
pub fn fair_level(demands: &mut [Demand]) -> f64 {
    let admitted: f64 = demands.iter().map(|demand| demand.admitted).sum();
    let offered: f64 = demands.iter().map(|demand| demand.offered).sum();
    if offered <= LACK_FACTOR * admitted {
        return f64::INFINITY;
    }
    let wanted_level = |demand: &Demand| demand.offered / demand.weight;
    demands.sort_by(|a, b| wanted_level(a).total_cmp(&wanted_level(b)));
    let mut left = admitted;
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    for demand in demands.iter() {
        let level = left / weights;
        if wanted_level(demand) >= level {
            return level;
        }
        left -= demand.offered;
        weights -= demand.weight;
    }
    f64::INFINITY
}
