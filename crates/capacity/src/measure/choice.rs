//! Processor time to choose a server against the number of servers.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use crate::usage::measure_cpu_time;
use eyre::Result;
use placement::chain::{PrefixChain, SEGMENT_BYTES};
use placement::choice::{Candidate, ChoiceRequest, ClusterState, RegionPath, choose};
use placement::index::CacheIndex;
use placement::load::{LoadTable, ReportedLoad};
use protocol::ids::{HostName, Incarnation};
use settings::process::PlacementPolicy;
use std::hint::black_box;

const SERVERS: [usize; 4] = [10, 100, 400, 800];
const SEGMENTS: usize = 10;
const ROUNDS: usize = 1_000;
const STORE_BYTES_PER_S: u64 = 1_000_000_000;
const NOW_MS: u64 = 100_000;
const DOMAINS: usize = 4;

const CHOICE_TIME: SeriesDescription = SeriesDescription {
    id: "choice",
    measure: "a prompt of ten segments looked up and placed, us",
    size: "servers of the model",
    command: COMMAND,
    leaves_out: "cached blocks; the message to the home",
};

/// Measures the time against the number of servers.
///
/// # Errors
///
/// Returns an error if the line cannot be fitted.
pub fn measure() -> Result<Vec<Series>> {
    let (organisation, model, version) = ("organisation".parse()?, "model".parse()?, "v1".parse()?);
    let text = "x".repeat(SEGMENTS * SEGMENT_BYTES);
    let chain = PrefixChain::new(&organisation, &model, &version, &text);
    let points = SERVERS.iter().map(|servers| point(*servers, &chain)).collect::<Result<_>>()?;
    Ok(vec![CHOICE_TIME.fit(points)?])
}

fn point(servers: usize, chain: &PrefixChain) -> Result<Point> {
    let candidates = (0..servers).map(candidate).collect::<Result<Vec<_>>>()?;
    let loads = LoadTable::new();
    candidates.iter().for_each(|candidate| report_load(&loads, &candidate.host));
    let keys = chain.keys();
    let index = CacheIndex::default();
    index.add_cached(&candidates[0].host, &keys[..SEGMENTS / 2]);
    let region = "region".parse()?;
    let paths = [RegionPath { region, delay_ms: 0.5, bits_per_s: None, wait_ms: 0.0 }];
    let request = ChoiceRequest {
        chain: &keys,
        prompt_tokens: chain.prompt_tokens.value(),
        text_bytes: 0,
        home_key: chain.home_key,
        excluded: &[],
        suspect: false,
        round_robin_index: 0,
    };
    let place = || {
        let view = index.view(&keys, STORE_BYTES_PER_S, NOW_MS);
        let cluster = ClusterState {
            candidates: &candidates,
            stores: &[],
            paths: &paths,
            view: &view,
            loads: &loads,
            now_ms: NOW_MS,
        };
        black_box(choose(PlacementPolicy::Camphorward, &request, &cluster)).is_ok()
    };
    let (placed, us) = measure_cpu_time(|| (0..ROUNDS).filter(|_| place()).count());
    eyre::ensure!(placed == ROUNDS, "a prompt was not placed");
    Ok(Point::new(servers as f64, us / ROUNDS as f64))
}

fn candidate(number: usize) -> Result<Candidate> {
    Ok(Candidate {
        host: format!("server-{number}").parse()?,
        region: "region".parse()?,
        failure_domain: format!("domain-{}", number % DOMAINS).parse()?,
    })
}

fn report_load(loads: &LoadTable, server: &HostName) {
    let reported = ReportedLoad {
        incarnation: Incarnation::new(1),
        running: 8,
        queued: 0,
        queued_prompt_tokens: 1_000,
        prefill_tokens_per_s: 10_000,
        as_of_ms: NOW_MS - 500,
    };
    loads.report(server, reported);
}
