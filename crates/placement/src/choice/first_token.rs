//! The default policy: the lowest expected time to first token.

use super::context::ChoiceContext;
use super::cost::Cost;
use super::{Choice, ChoiceRequest, Explanation, Reason, Routes};
use crate::rendezvous;

/// The tolerance above the lowest cost within which servers count as equal, as a share of it.
const TIE_SHARE: f64 = 0.05;
/// The tolerance above the lowest cost within which servers count as equal, in milliseconds; the
/// larger of both tolerances applies.
const TIE_MS: f64 = 5.0;
/// The multiple of the mean number of attempts at which a server no longer wins a tie.
const MAX_LOAD_FACTOR: f64 = 1.25;

pub(super) fn choose<'a>(context: &ChoiceContext<'a>, routes: &Routes<'a>) -> Choice {
    let mut costs: Vec<Cost<'a>> = routes.iter().map(|route| Cost::new(context, *route)).collect();
    let (chosen, reason) = pick(context.request, &costs);
    let explanation = Explanation::new(&costs, chosen, reason);
    costs.swap_remove(chosen).into_choice(context, explanation)
}

fn pick(request: &ChoiceRequest<'_>, costs: &[Cost<'_>]) -> (usize, Reason) {
    if request.suspect {
        return (
            index_of_min(costs, |cost| (cost.load.attempts, cost.total_ms())),
            Reason::FewestOtherAttempts,
        );
    }
    let best = index_of_min(costs, |cost| cost.total_ms());
    let tied = tied(costs, costs[best].total_ms());
    if tied.len() == 1 {
        return (best, Reason::LowestFirstTokenTime);
    }
    let bound = load_bound(costs);
    let eligible = tied.iter().filter(|index| f64::from(costs[**index].load.attempts) < bound);
    let winner = rendezvous::winner(request.home_key.as_bytes(), eligible, |index| {
        costs[**index].candidate.host.as_str().as_bytes()
    });
    match winner {
        Some(index) => (*index, Reason::PreferredAmongEqual),
        None => (best, Reason::LowestFirstTokenTime),
    }
}

fn index_of_min<T: PartialOrd>(costs: &[Cost<'_>], measure: impl Fn(&Cost<'_>) -> T) -> usize {
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

/// Returns the number of attempts at which a server no longer wins a tie.
fn load_bound(costs: &[Cost<'_>]) -> f64 {
    let attempts: f64 = costs.iter().map(|cost| f64::from(cost.load.attempts)).sum();
    (MAX_LOAD_FACTOR * (attempts + 1.0) / costs.len() as f64).ceil()
}
