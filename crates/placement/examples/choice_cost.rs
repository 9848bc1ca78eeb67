//! Prints the time of one choice for several numbers of servers, and the time of its steps.

use placement::chain::{PrefixChain, SEGMENT_BYTES};
use placement::choice::{Candidate, ChoiceRequest, ClusterState, RegionPath, Store, choose};
use placement::index::CacheIndex;
use placement::load::{LoadTable, ReportedLoad, SentAttempt};
use placement::rendezvous;
use protocol::ids::{HostName, IdError, Incarnation};
use protocol::message::place::CachedBlock;
use settings::process::PlacementPolicy;
use std::hint::black_box;
use std::time::Instant;

const SERVERS: [usize; 4] = [10, 100, 400, 800];
const SEGMENTS: usize = 10;
const STORES: usize = 40;
const ROUNDS: u32 = 2_000;
const STORE_BYTES_PER_S: u64 = 1_000_000_000;
const SENT_SINCE_REPORT: usize = 5;
const NOW_MS: u64 = 100_000;

fn main() -> Result<(), IdError> {
    let text = "a member's notes on shades ".repeat(SEGMENTS * SEGMENT_BYTES / 27 + 1);
    let (organisation, model, version) = ("member".parse()?, "shades".parse()?, "v1".parse()?);
    let split = || PrefixChain::new(&organisation, &model, &version, &text);
    println!("split a prompt of {SEGMENTS} segments: {:.1} us", time_us(|| split().segments.len()));
    let chain = split();
    let hosts = names("entry", 350)?;
    let home = || rendezvous::home(chain.home_key.as_bytes(), &hosts).is_some();
    println!("find the home among 350 entry hosts: {:.1} us", time_us(home));
    println!("servers  camphorward  round_robin  least_load  prefix_hash  (us per choice)");
    for count in SERVERS {
        measure(count, &chain)?;
    }
    Ok(())
}

fn measure(count: usize, chain: &PrefixChain) -> Result<(), IdError> {
    let servers = names("server", count)?;
    let stores = names("store", STORES)?;
    let keys = chain.keys();
    let index = CacheIndex::default();
    index.add_cached(&servers[0], &keys[..SEGMENTS / 2]);
    for (key, store) in keys.iter().zip(&stores) {
        let (name, checksum) = (placement::chain::block_name(key), key.to_string());
        let block =
            CachedBlock { key: *key, store: store.clone(), name, length_bytes: 1 << 20, checksum };
        index.add_block(&block, u64::MAX);
    }
    let loads = loads(&servers)?;
    let candidates: Vec<Candidate> = servers.iter().map(candidate).collect::<Result<_, _>>()?;
    let stores: Vec<Store> = stores.into_iter().map(store).collect::<Result<_, _>>()?;
    let region = "kolkata".parse()?;
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
    let choice_us = |policy| {
        time_us(|| {
            let view = index.view(&keys, STORE_BYTES_PER_S, NOW_MS);
            let cluster = ClusterState {
                candidates: &candidates,
                stores: &stores,
                paths: &paths,
                view: &view,
                loads: &loads,
                now_ms: NOW_MS,
            };
            choose(policy, &request, &cluster).is_ok()
        })
    };
    println!(
        "{count:>7} {:>12.1} {:>12.1} {:>11.1} {:>12.1}",
        choice_us(PlacementPolicy::Camphorward),
        choice_us(PlacementPolicy::RoundRobin),
        choice_us(PlacementPolicy::LeastLoad),
        choice_us(PlacementPolicy::PrefixHash)
    );
    Ok(())
}

/// Returns a load report per server and a few attempts dispatched after it.
fn loads(servers: &[HostName]) -> Result<LoadTable, IdError> {
    let loads = LoadTable::new();
    for (number, server) in servers.iter().enumerate() {
        let report = ReportedLoad {
            incarnation: Incarnation::new(1),
            running: 8,
            queued: 0,
            queued_prompt_tokens: (number as u64 % 7) * 1_000,
            prefill_tokens_per_s: 10_000,
            as_of_ms: NOW_MS - 500,
        };
        loads.report(server, report);
        for attempt in 0..SENT_SINCE_REPORT {
            let attempt_id = format!("{server}-{attempt}").parse()?;
            let sent_at_ms = NOW_MS - 100;
            let (recomputed_tokens, expected_first_token_ms) = (2_000, 200);
            let sent =
                SentAttempt { attempt_id, recomputed_tokens, expected_first_token_ms, sent_at_ms };
            loads.sent(server, sent);
        }
    }
    Ok(loads)
}

fn candidate(server: &HostName) -> Result<Candidate, IdError> {
    let (region, failure_domain) = ("kolkata".parse()?, "k1".parse()?);
    Ok(Candidate { host: server.clone(), region, failure_domain })
}

fn store(host: HostName) -> Result<Store, IdError> {
    let region = "kolkata".parse()?;
    Ok(Store { host, region, bytes_per_s: STORE_BYTES_PER_S, pending_bytes: 0 })
}

fn names(kind: &str, count: usize) -> Result<Vec<HostName>, IdError> {
    (0..count).map(|number| format!("{kind}-{number}").parse()).collect()
}

/// Returns the mean time of one call.
fn time_us<R>(mut call: impl FnMut() -> R) -> f64 {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        black_box(call());
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
