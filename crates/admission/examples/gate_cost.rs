//! Prints the time to judge one request against the number of organisations.

use admission::deadline::Timing;
use admission::gate::{AdmissionRequest, Gate};
use protocol::ids::{IdError, OrganisationId};
use std::hint::black_box;
use std::time::Instant;

const ORGANISATIONS: [usize; 3] = [10, 280, 2_800];
const ROUNDS: u64 = 200;
/// A node's part of 4,100 requests a second, at 350 nodes, in milliseconds between two.
const GAP_MS: u64 = 85;
const NEXT_LEVEL_MS: u64 = 200;

fn main() -> Result<(), IdError> {
    println!("organisations  us a request  us a request with a new level");
    for count in ORGANISATIONS {
        let names: Vec<OrganisationId> =
            (0..count).map(|number| format!("org-{number}").parse()).collect::<Result<_, _>>()?;
        measure(&names);
    }
    println!("a node of 350 judges one request in {GAP_MS} ms");
    Ok(())
}

/// Lets each organisation ask once in each round; the first request of a round renews the level.
fn measure(names: &[OrganisationId]) {
    let gate = Gate::new();
    let (mut usual_s, mut renewing_s) = (0.0, 0.0);
    for round in 0..ROUNDS {
        let now_ms = round * NEXT_LEVEL_MS;
        let started = Instant::now();
        judge(&gate, &names[0], now_ms);
        renewing_s += started.elapsed().as_secs_f64();
        let started = Instant::now();
        names[1..].iter().for_each(|name| judge(&gate, name, now_ms));
        usual_s += started.elapsed().as_secs_f64();
    }
    let usual = ROUNDS as f64 * (names.len() - 1) as f64;
    println!(
        "{:>13} {:>13.2} {:>30.1}",
        names.len(),
        usual_s * 1e6 / usual,
        renewing_s * 1e6 / ROUNDS as f64
    );
}

fn judge(gate: &Gate, organisation: &OrganisationId, now_ms: u64) {
    let timing = Timing { queue_ms: 900.0, processing_ms: 100.0, deadline_ms: 1_900.0 };
    let applicant = AdmissionRequest {
        organisation,
        weight: 1,
        recomputed_tokens: 2_000,
        max_answer_tokens: 200,
        timing,
    };
    black_box(gate.admit(&applicant, 0.5, now_ms)).ok();
}
