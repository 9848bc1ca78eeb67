//! Memory and processor time of admission against the number of organisations.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use crate::usage::{measure_cpu_time, measure_memory};
use admission::deadline::Timing;
use admission::gate::{AdmissionRequest, Gate};
use admission::retry_budget::{BudgetKey, RetryBudgets};
use eyre::Result;
use protocol::ids::OrganisationId;
use std::hint::black_box;

const ORGANISATIONS: [u64; 4] = [2_800, 28_000, 56_000, 112_000];
/// The interval between two requests on one node at the target size.
const REQUEST_GAP_MS: u64 = 85;
const REQUESTS: u64 = 200;
const NOW_MS: u64 = 1_000_000;
const TIMING: Timing = Timing { queue_ms: 10.0, processing_ms: 100.0, deadline_ms: 1_900.0 };

const MEMORY: SeriesDescription = SeriesDescription {
    id: "admission_memory",
    measure: "shares and retry budgets, bytes",
    size: "organisations",
    command: COMMAND,
    leaves_out: "suspects; other services of the organisation",
};
const DECISION: SeriesDescription = SeriesDescription {
    id: "admission_judge",
    measure: "a request judged, us",
    size: "organisations",
    command: COMMAND,
    leaves_out: "refusals",
};

/// Measures the memory and the time of a decision against the number of organisations.
///
/// # Errors
///
/// Returns an error if a line cannot be fitted.
pub fn measure() -> Result<Vec<Series>> {
    let [mut memory, mut decision] = [const { Vec::new() }; 2];
    let mut retained = Vec::new();
    for count in ORGANISATIONS {
        let organisations = (0..count).map(organisation_id).collect::<Result<Vec<_>>>()?;
        let (state, bytes) = measure_memory(|| fill(&organisations));
        let state = state?;
        memory.push(Point::new(count as f64, bytes));
        let ((), us) = measure_cpu_time(|| admit_all(&state.0, &organisations));
        decision.push(Point::new(count as f64, us / REQUESTS as f64));
        retained.push((state, organisations));
    }
    Ok(vec![MEMORY.fit(memory)?, DECISION.fit(decision)?])
}

fn organisation_id(number: u64) -> Result<OrganisationId> {
    Ok(format!("organisation-{number}").parse()?)
}

fn fill(organisations: &[OrganisationId]) -> Result<(Gate, RetryBudgets)> {
    let state = (Gate::new(), RetryBudgets::new());
    let service: protocol::ids::ServiceName = "model".parse()?;
    for organisation in organisations {
        // No request is refused here, so the class of a refusal does not matter.
        let _ = state.0.admit(&admission_request(organisation), 0.5, NOW_MS);
        let key = BudgetKey { organisation: organisation.clone(), service: service.clone() };
        state.1.first_attempt(&key, NOW_MS);
    }
    Ok(state)
}

/// Admits requests at one node's rate, so that the fair-share level is recomputed as often as on
/// a node.
fn admit_all(gate: &Gate, organisations: &[OrganisationId]) {
    for (number, organisation) in (0..REQUESTS).zip(organisations.iter().cycle()) {
        let now_ms = NOW_MS + number * REQUEST_GAP_MS;
        let _ = black_box(gate.admit(&admission_request(organisation), 0.5, now_ms));
    }
}

fn admission_request(organisation: &OrganisationId) -> AdmissionRequest<'_> {
    AdmissionRequest {
        organisation,
        weight: 1,
        recomputed_tokens: 2_000,
        max_answer_tokens: 400,
        timing: TIMING,
    }
}
