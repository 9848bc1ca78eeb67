//! The choice of a server and how it is explained.

mod common;

use common::{candidate, copy, host, key, local_path, remote_path, store, view};
use placement::chain::HomeKey;
use placement::choice::{
    Candidate, Choice, ChoiceRequest, ClusterState, NoServer, RegionPath, Store, choose,
};
use placement::index::ChainView;
use placement::load::{LoadTable, ReportedLoad, SentAttempt};
use protocol::ids::{ChainKey, HostName, Incarnation};
use settings::process::PlacementPolicy;
use std::collections::{BTreeMap, BTreeSet};

const NOW_MS: u64 = 100_000;
const LINK_BITS_PER_S: u64 = 30_000_000;
/// A block that takes 100 ms from a store of a gigabyte a second.
const BLOCK_BYTES: u64 = 100_000_000;

/// Holds everything a choice depends on, with ways to change it.
struct Site {
    candidates: Vec<Candidate>,
    stores: Vec<Store>,
    paths: Vec<RegionPath>,
    loads: LoadTable,
    chain: Vec<ChainKey>,
    view: ChainView,
    excluded: Vec<HostName>,
    suspect: bool,
}

impl Site {
    /// Two servers here in two failure domains, one in the other region, all idle.
    fn new() -> Self {
        let loads = LoadTable::new();
        for server in ["near-a", "near-b", "far-c"] {
            loads.report(&host(server), report(0, 0));
        }
        Self {
            candidates: vec![
                candidate("near-a", "kolkata", "k1"),
                candidate("near-b", "kolkata", "k2"),
                candidate("far-c", "siliguri", "s1"),
            ],
            stores: vec![
                store("store-k", "kolkata", 1_000_000_000),
                store("store-s", "siliguri", 1_000_000_000),
            ],
            paths: vec![local_path("kolkata"), remote_path("siliguri", LINK_BITS_PER_S)],
            loads,
            chain: (0..5).map(key).collect(),
            view: view(&[], &[]),
            excluded: Vec::new(),
            suspect: false,
        }
    }

    fn choose(&self, policy: PlacementPolicy) -> Result<Choice, NoServer> {
        let request = ChoiceRequest {
            chain: &self.chain,
            prompt_tokens: 10_500,
            text_bytes: 42_000,
            home_key: HomeKey::of_segment(&self.chain[0]),
            excluded: &self.excluded,
            suspect: self.suspect,
            round_robin_index: 1,
        };
        choose(
            policy,
            &request,
            &ClusterState {
                candidates: &self.candidates,
                stores: &self.stores,
                paths: &self.paths,
                view: &self.view,
                loads: &self.loads,
                now_ms: NOW_MS,
            },
        )
    }

    fn chosen(&self) -> Choice {
        self.choose(PlacementPolicy::Camphorward).unwrap()
    }

    /// Sends a prompt where it is chosen to run, and returns the server.
    fn send(&self, number: usize) -> HostName {
        self.send_tokens(number, self.chosen().recomputed_tokens)
    }

    /// Sends a prompt that takes next to no time to compute.
    fn send_short(&self, number: usize) -> HostName {
        self.send_tokens(number, 5)
    }

    fn send_tokens(&self, number: usize, recomputed_tokens: u64) -> HostName {
        let choice = self.chosen();
        let attempt = SentAttempt {
            attempt_id: format!("attempt-{number}").parse().unwrap(),
            recomputed_tokens,
            expected_first_token_ms: choice.expected_first_token_ms,
            sent_at_ms: NOW_MS,
        };
        self.loads.sent(&choice.server, attempt);
        choice.server
    }
}

fn report(running: u32, queued_prompt_tokens: u64) -> ReportedLoad {
    ReportedLoad {
        incarnation: Incarnation::new(1),
        running,
        queued: 0,
        queued_prompt_tokens,
        prefill_tokens_per_s: 10_000,
        as_of_ms: NOW_MS - 1,
    }
}

#[test]
fn cached_pieces_win_over_an_idle_server() {
    let mut site = Site::new();
    site.view = view(&[("near-b", 4)], &[]);
    insta::assert_snapshot!(site.chosen().explanation);
}

#[test]
fn a_long_queue_outweighs_cached_pieces_and_kept_blocks_are_imported() {
    let mut site = Site::new();
    site.view = view(&[("near-b", 4)], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    site.loads.report(&host("near-b"), report(9, 60_000));
    let choice = site.chosen();
    assert_eq!((choice.server.as_str(), choice.imports.len()), ("near-a", 5));
    insta::assert_snapshot!(choice.explanation);
}

#[test]
fn a_slow_store_is_left_for_a_recompute() {
    let mut site = Site::new();
    site.view = view(&[], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    site.stores[0].bytes_per_s = 100_000_000;
    assert_eq!(site.chosen().imports, vec![]);
}

#[test]
fn only_the_blocks_before_a_missing_one_are_imported() {
    let mut site = Site::new();
    let importable = Some(copy("store-k", BLOCK_BYTES));
    site.view =
        view(&[], &[importable.clone(), importable.clone(), None, importable.clone(), importable]);
    let choice = site.chosen();
    let imported: Vec<ChainKey> = choice.imports.iter().map(|import| import.key).collect();
    assert_eq!(imported, [key(0), key(1)]);
    assert_eq!(choice.recomputed_tokens, 6_500);
}

#[test]
fn a_dead_stores_blocks_are_not_imported() {
    let mut site = Site::new();
    site.view = view(&[], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    site.stores.remove(0);
    assert_eq!(site.chosen().imports, vec![]);
}

#[test]
fn the_prompt_moves_to_the_kept_work_of_the_other_region() {
    let mut site = Site::new();
    site.view = view(&[], &vec![Some(copy("store-s", BLOCK_BYTES / 10)); 5]);
    let choice = site.chosen();
    assert_eq!(choice.server, host("far-c"));
    insta::assert_snapshot!(choice.explanation);
}

#[test]
fn the_prompt_stays_when_the_links_budget_is_spent() {
    let mut site = Site::new();
    site.view = view(&[], &vec![Some(copy("store-s", BLOCK_BYTES / 10)); 5]);
    site.paths[1].wait_ms = 2_000.0;
    assert_ne!(site.chosen().server, host("far-c"));
}

#[test]
fn a_region_that_is_cut_off_is_not_chosen() {
    let mut site = Site::new();
    site.view = view(&[("far-c", 5)], &[]);
    site.paths.remove(1);
    assert_ne!(site.chosen().server, host("far-c"));
    site.paths.clear();
    assert_eq!(site.choose(PlacementPolicy::Camphorward), Err(NoServer::NoneLive));
}

#[test]
fn a_retry_goes_to_another_failure_domain() {
    let mut site = Site::new();
    site.candidates.push(candidate("near-d", "kolkata", "k1"));
    site.loads.report(&host("near-d"), report(0, 0));
    site.view = view(&[("near-a", 5), ("near-d", 2)], &[]);
    site.excluded = vec![host("near-a")];
    insta::assert_snapshot!(site.chosen().explanation);
}

#[test]
fn a_request_that_failed_everywhere_is_not_placed() {
    let mut site = Site::new();
    site.excluded = site.candidates.iter().map(|candidate| candidate.host.clone()).collect();
    assert_eq!(site.choose(PlacementPolicy::Camphorward), Err(NoServer::AllExcluded));
}

#[test]
fn a_suspect_goes_where_the_fewest_others_are() {
    let mut site = Site::new();
    site.view = view(&[("near-a", 5)], &[]);
    site.loads.report(&host("near-a"), report(1, 0));
    site.loads.report(&host("far-c"), report(1, 0));
    site.suspect = true;
    assert_eq!(site.chosen().server, host("near-b"));
}

#[test]
fn a_hot_prefix_spreads_before_the_next_report() {
    let mut site = Site::new();
    site.view = view(&[("near-a", 5)], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    let mut counts: BTreeMap<HostName, u32> = BTreeMap::new();
    for number in 0..40 {
        *counts.entry(site.send(number)).or_default() += 1;
    }
    insta::assert_debug_snapshot!(counts);
}

#[test]
fn equal_servers_share_prompts_by_hash_and_the_same_prompt_stays() {
    let mut site = Site::new();
    let servers = |site: &mut Site| -> Vec<HostName> {
        let place = |number| {
            site.chain = vec![key(number)];
            site.chosen().server
        };
        (0..40).map(place).collect()
    };
    let first = servers(&mut site);
    assert_eq!(first, servers(&mut site));
    let near_a = first.iter().filter(|server| server.as_str() == "near-a").count();
    assert!((10..=30).contains(&near_a), "{near_a}");
}

#[test]
fn baselines_decide_without_kept_work() {
    let mut site = Site::new();
    site.view = view(&[], &vec![Some(copy("store-k", 1)); 5]);
    site.loads.report(&host("near-a"), report(1, 0));
    let policies =
        [PlacementPolicy::RoundRobin, PlacementPolicy::LeastLoad, PlacementPolicy::PrefixHash];
    let choices = policies.map(|policy| site.choose(policy).unwrap());
    assert!(choices.iter().all(|choice| choice.imports.is_empty()));
    insta::assert_debug_snapshot!(choices.map(|choice| choice.server));
}

#[test]
fn short_prompts_that_come_together_go_to_different_servers() {
    let site = Site::new();
    let local: BTreeSet<HostName> = (0..2).map(|number| site.send_short(number)).collect();
    assert_eq!(local.len(), 2);
}

#[test]
fn the_first_pieces_are_imported_again_when_the_imports_could_evict_them() {
    let mut site = Site::new();
    site.candidates.truncate(1);
    site.stores = vec![store("store-k", "kolkata", 10_000_000_000)];
    let importable = vec![Some(copy("store-k", BLOCK_BYTES)); 5];
    site.view = view(&[("near-a", 2)], &importable);
    let choice = site.chosen();
    assert_eq!((choice.cached_blocks, choice.imports.len()), (0, 5));

    site.view = view(&[("near-a", 3)], &importable);
    let choice = site.chosen();
    assert_eq!((choice.cached_blocks, choice.imports.len()), (3, 2));
}
