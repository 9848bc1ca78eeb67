//! Prints the time to judge one request against the number of organisations.

use admission::deadline::Timing;
use admission::gate::{Applicant, Gate};
use protocol::ids::{IdError, OrganisationId};
use std::hint::black_box;
use std::time::Instant;

const ORGANISATIONS: [usize; 3] = [10, 280, 2_800];
const REQUESTS: u64 = 400_000;
/// A node's part of 4,100 requests a second, at 350 nodes, in milliseconds between two.
const GAP_MS: u64 = 85;
const NEXT_LEVEL_MS: u64 = 200;

fn main() -> Result<(), IdError> {
    println!("organisations  us a request  us a request with a new level");
    for count in ORGANISATIONS {
        let names: Vec<OrganisationId> =
            (0..count).map(|number| format!("org-{number}").parse()).collect::<Result<_, _>>()?;
        println!(
            "{count:>13} {:>13.2} {:>30.1}",
            judge_us(&names, REQUESTS, 0),
            judge_us(&names, REQUESTS / 100, NEXT_LEVEL_MS)
        );
    }
    println!("a node of 350 judges one request in {GAP_MS} ms");
    Ok(())
}

/// Returns the mean time of a judgement, with some time between two by the gate's clock.
fn judge_us(names: &[OrganisationId], requests: u64, gap_ms: u64) -> f64 {
    let gate = Gate::new();
    let timing = Timing { queue_ms: 900.0, own_ms: 100.0, deadline_ms: 1_900.0 };
    let judge = |number: u64, now_ms: u64| {
        let applicant = Applicant {
            organisation: &names[number as usize % names.len()],
            weight: 1 + number as u32 % 3,
            recomputed_tokens: 2_000,
            max_answer_tokens: 200,
            timing,
        };
        black_box(gate.judge(&applicant, 0.5, now_ms)).is_ok()
    };
    for number in 0..names.len() as u64 {
        judge(number, 0);
    }
    let started = Instant::now();
    for number in 0..requests {
        judge(number, number * gap_ms);
    }
    started.elapsed().as_secs_f64() * 1e6 / requests as f64
}
