//! State and processor time of admission by organisation.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{About, Series};
use crate::usage::{timed, weighed};
use admission::deadline::Timing;
use admission::gate::{AdmissionRequest, Gate};
use admission::retry_budget::{BudgetKey, RetryBudgets};
use eyre::Result;
use protocol::ids::OrganisationId;
use std::hint::black_box;

const ORGANISATIONS: [u64; 4] = [2_800, 28_000, 56_000, 112_000];
/// The gap between two requests of one node at the target.
const REQUEST_GAP_MS: u64 = 85;
const REQUESTS: u64 = 200;
const NOW_MS: u64 = 1_000_000;
const TIMING: Timing = Timing { queue_ms: 10.0, processing_ms: 100.0, deadline_ms: 1_900.0 };

const MEMORY: About = About {
    id: "admission_memory",
    measure: "shares and retry budgets, bytes",
    size: "organisations",
    command: COMMAND,
    leaves_out: "suspects; other services of the organisation",
};
const JUDGE: About = About {
    id: "admission_judge",
    measure: "a request judged, us",
    size: "organisations",
    command: COMMAND,
    leaves_out: "refusals",
};

/// Measures both against the number of organisations.
///
/// # Errors
///
/// Returns an error if a line cannot be told.
pub fn measure() -> Result<Vec<Series>> {
    let [mut memory, mut judge] = [const { Vec::new() }; 2];
    let mut kept = Vec::new();
    for count in ORGANISATIONS {
        let names = (0..count).map(name).collect::<Result<Vec<_>>>()?;
        let (state, bytes) = weighed(|| fill(&names));
        let state = state?;
        memory.push(Point::new(count as f64, bytes));
        let ((), us) = timed(|| judge_all(&state.0, &names));
        judge.push(Point::new(count as f64, us / REQUESTS as f64));
        kept.push((state, names));
    }
    Ok(vec![MEMORY.fit(memory)?, JUDGE.fit(judge)?])
}

fn name(number: u64) -> Result<OrganisationId> {
    Ok(format!("organisation-{number}").parse()?)
}

fn fill(names: &[OrganisationId]) -> Result<(Gate, RetryBudgets)> {
    let state = (Gate::new(), RetryBudgets::new());
    let service: protocol::ids::ServiceName = "model".parse()?;
    for organisation in names {
        // Nobody is refused here, so the class does not matter.
        let _ = state.0.admit(&applicant(organisation), 0.5, NOW_MS);
        let key = BudgetKey { organisation: organisation.clone(), service: service.clone() };
        state.1.first_attempt(&key, NOW_MS);
    }
    Ok(state)
}

/// Sends requests at the rate of one node, so that the level is worked out as often as there.
fn judge_all(gate: &Gate, names: &[OrganisationId]) {
    for (number, organisation) in (0..REQUESTS).zip(names.iter().cycle()) {
        let now_ms = NOW_MS + number * REQUEST_GAP_MS;
        let _ = black_box(gate.admit(&applicant(organisation), 0.5, now_ms));
    }
}

fn applicant(organisation: &OrganisationId) -> AdmissionRequest<'_> {
    AdmissionRequest {
        organisation,
        weight: 1,
        recomputed_tokens: 2_000,
        max_answer_tokens: 400,
        timing: TIMING,
    }
}
