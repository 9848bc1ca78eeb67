//! The default policy: the least expected time to the first token.

use super::cost::Cost;
use super::scene::Scene;
use super::{Choice, ChoiceRequest, Explanation, Reason, Routes};
use crate::rendezvous;

/// How far above the least cost a server still counts as equal, as a share of the cost.
const TIE_SHARE: f64 = 0.05;
/// How far above the least cost a server still counts as equal, in milliseconds.
const TIE_MS: f64 = 5.0;
/// How far above the mean the attempts of a server may lie before others go first.
const LOAD_BOUND: f64 = 1.25;

pub(super) fn choose<'a>(scene: &Scene<'a>, routes: &Routes<'a>) -> Choice {
    let mut costs: Vec<Cost<'a>> = routes.iter().map(|route| Cost::new(scene, *route)).collect();
    let (chosen, reason) = pick(scene.request, &costs);
    let explanation = Explanation::new(&costs, chosen, reason);
    costs.swap_remove(chosen).into_choice(scene, explanation)
}

fn pick(request: &ChoiceRequest<'_>, costs: &[Cost<'_>]) -> (usize, Reason) {
    if request.suspect {
        return (least(costs, |cost| (cost.load.attempts, cost.total_ms())), Reason::FewestOthers);
    }
    let best = least(costs, |cost| cost.total_ms());
    let tied = tied(costs, costs[best].total_ms());
    if tied.len() == 1 {
        return (best, Reason::LeastFirstToken);
    }
    let bound = load_bound(costs);
    let spread = tied.iter().filter(|index| f64::from(costs[**index].load.attempts) < bound);
    let winner = rendezvous::winner(request.home_key.as_bytes(), spread, |index| {
        costs[**index].candidate.host.as_str().as_bytes()
    });
    match winner {
        Some(index) => (*index, Reason::PreferredAmongEqual),
        None => (best, Reason::LeastFirstToken),
    }
}

fn least<T: PartialOrd>(costs: &[Cost<'_>], measure: impl Fn(&Cost<'_>) -> T) -> usize {
    let mut best = 0;
    for index in 1..costs.len() {
        if measure(&costs[index]) < measure(&costs[best]) {
            best = index;
        }
    }
    best
}

fn tied(costs: &[Cost<'_>], best_ms: f64) -> Vec<usize> {
    let limit_ms = best_ms + TIE_MS.max(best_ms * TIE_SHARE);
    (0..costs.len()).filter(|index| costs[*index].total_ms() <= limit_ms).collect()
}

/// Returns the number of attempts from which on a server no longer wins a tie.
fn load_bound(costs: &[Cost<'_>]) -> f64 {
    let attempts: f64 = costs.iter().map(|cost| f64::from(cost.load.attempts)).sum();
    (LOAD_BOUND * (attempts + 1.0) / costs.len() as f64).ceil()
}
