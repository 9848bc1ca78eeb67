//! Prints the time to admit one request by the number of organisations.

use admission::deadline::Timing;
use admission::gate::{AdmissionRequest, Gate};
use protocol::ids::{IdError, OrganisationId};
use std::hint::black_box;
use std::time::Instant;

const ORGANISATIONS: [usize; 3] = [10, 280, 2_800];
const ROUNDS: u64 = 200;
/// The time between two requests at one of 350 nodes that share 4,100 requests a second, in
/// milliseconds.
const REQUEST_GAP_MS: u64 = 85;
const LEVEL_PERIOD_MS: u64 = 200;

fn main() -> Result<(), IdError> {
    println!("organisations  us a request  us a request with a new level");
    for count in ORGANISATIONS {
        let names: Vec<OrganisationId> =
            (0..count).map(|number| format!("org-{number}").parse()).collect::<Result<_, _>>()?;
        measure(&names);
    }
    println!("each of 350 nodes admits one request in {REQUEST_GAP_MS} ms");
    Ok(())
}

/// Sends one request of each organisation per round; the first request of a round updates the
/// level.
fn measure(names: &[OrganisationId]) {
    let gate = Gate::new();
    let (mut cached_s, mut update_s) = (0.0, 0.0);
    for round in 0..ROUNDS {
        let now_ms = round * LEVEL_PERIOD_MS;
        let started = Instant::now();
        admit(&gate, &names[0], now_ms);
        update_s += started.elapsed().as_secs_f64();
        let started = Instant::now();
        names[1..].iter().for_each(|name| admit(&gate, name, now_ms));
        cached_s += started.elapsed().as_secs_f64();
    }
    let cached_requests = ROUNDS as f64 * (names.len() - 1) as f64;
    println!(
        "{:>13} {:>13.2} {:>30.1}",
        names.len(),
        cached_s * 1e6 / cached_requests,
        update_s * 1e6 / ROUNDS as f64
    );
}

fn admit(gate: &Gate, organisation: &OrganisationId, now_ms: u64) {
    let timing = Timing { queue_ms: 900.0, processing_ms: 100.0, deadline_ms: 1_900.0 };
    let request = AdmissionRequest {
        organisation,
        weight: 1,
        recomputed_tokens: 2_000,
        max_answer_tokens: 200,
        timing,
    };
    black_box(gate.admit(&request, 0.5, now_ms)).ok();
}
