//! Tests of the choice of a server and of its explanation.

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
/// A block whose transfer takes 100 ms from a store that delivers a gigabyte per second.
const BLOCK_BYTES: u64 = 100_000_000;

/// Holds the inputs of a choice, for tests to change.
struct TestCluster {
    candidates: Vec<Candidate>,
    stores: Vec<Store>,
    paths: Vec<RegionPath>,
    loads: LoadTable,
    chain: Vec<ChainKey>,
    view: ChainView,
    excluded: Vec<HostName>,
    suspect: bool,
}

impl TestCluster {
    /// Creates idle servers: two local ones in different failure domains and one in a remote
    /// region.
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

    fn choose_by_default_policy(&self) -> Choice {
        self.choose(PlacementPolicy::Camphorward).unwrap()
    }

    /// Dispatches a prompt to the chosen server and returns that server.
    fn dispatch(&self, number: usize) -> HostName {
        self.dispatch_tokens(number, self.choose_by_default_policy().recomputed_tokens)
    }

    /// Dispatches a prompt with almost no prefill time.
    fn dispatch_short(&self, number: usize) -> HostName {
        self.dispatch_tokens(number, 5)
    }

    fn dispatch_tokens(&self, number: usize, recomputed_tokens: u64) -> HostName {
        let choice = self.choose_by_default_policy();
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
fn cached_blocks_win_over_an_idle_server() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[("near-b", 4)], &[]);
    insta::assert_snapshot!(cluster.choose_by_default_policy().explanation);
}

#[test]
fn a_long_queue_outweighs_cached_blocks_that_another_server_can_import() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[("near-b", 4)], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    cluster.loads.report(&host("near-b"), report(9, 60_000));
    let choice = cluster.choose_by_default_policy();
    assert_eq!((choice.server.as_str(), choice.imports.len()), ("near-a", 5));
    insta::assert_snapshot!(choice.explanation);
}

#[test]
fn prefill_is_preferred_to_imports_from_a_slow_store() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    cluster.stores[0].bytes_per_s = 100_000_000;
    assert_eq!(cluster.choose_by_default_policy().imports, vec![]);
}

#[test]
fn only_the_blocks_before_a_missing_one_are_imported() {
    let mut cluster = TestCluster::new();
    let importable = Some(copy("store-k", BLOCK_BYTES));
    cluster.view =
        view(&[], &[importable.clone(), importable.clone(), None, importable.clone(), importable]);
    let choice = cluster.choose_by_default_policy();
    let imported: Vec<ChainKey> = choice.imports.iter().map(|import| import.key).collect();
    assert_eq!(imported, [key(0), key(1)]);
    assert_eq!(choice.recomputed_tokens, 6_500);
}

#[test]
fn blocks_of_an_offline_store_are_not_imported() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    cluster.stores.remove(0);
    assert_eq!(cluster.choose_by_default_policy().imports, vec![]);
}

#[test]
fn a_prompt_moves_to_the_region_that_stores_its_blocks() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[], &vec![Some(copy("store-s", BLOCK_BYTES / 10)); 5]);
    let choice = cluster.choose_by_default_policy();
    assert_eq!(choice.server, host("far-c"));
    insta::assert_snapshot!(choice.explanation);
}

#[test]
fn a_prompt_stays_local_when_the_link_budget_is_exhausted() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[], &vec![Some(copy("store-s", BLOCK_BYTES / 10)); 5]);
    cluster.paths[1].wait_ms = 2_000.0;
    assert_ne!(cluster.choose_by_default_policy().server, host("far-c"));
}

#[test]
fn an_unreachable_region_is_not_chosen() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[("far-c", 5)], &[]);
    cluster.paths.remove(1);
    assert_ne!(cluster.choose_by_default_policy().server, host("far-c"));
    cluster.paths.clear();
    assert_eq!(cluster.choose(PlacementPolicy::Camphorward), Err(NoServer::NoneLive));
}

#[test]
fn a_retry_goes_to_another_failure_domain() {
    let mut cluster = TestCluster::new();
    cluster.candidates.push(candidate("near-d", "kolkata", "k1"));
    cluster.loads.report(&host("near-d"), report(0, 0));
    cluster.view = view(&[("near-a", 5), ("near-d", 2)], &[]);
    cluster.excluded = vec![host("near-a")];
    insta::assert_snapshot!(cluster.choose_by_default_policy().explanation);
}

#[test]
fn a_request_that_failed_on_all_servers_is_not_placed() {
    let mut cluster = TestCluster::new();
    cluster.excluded = cluster.candidates.iter().map(|candidate| candidate.host.clone()).collect();
    assert_eq!(cluster.choose(PlacementPolicy::Camphorward), Err(NoServer::AllExcluded));
}

#[test]
fn a_suspect_goes_to_the_server_with_the_fewest_attempts() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[("near-a", 5)], &[]);
    cluster.loads.report(&host("near-a"), report(1, 0));
    cluster.loads.report(&host("far-c"), report(1, 0));
    cluster.suspect = true;
    assert_eq!(cluster.choose_by_default_policy().server, host("near-b"));
}

#[test]
fn a_hot_prefix_spreads_before_the_next_report() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[("near-a", 5)], &vec![Some(copy("store-k", BLOCK_BYTES)); 5]);
    let mut counts: BTreeMap<HostName, u32> = BTreeMap::new();
    for number in 0..40 {
        *counts.entry(cluster.dispatch(number)).or_default() += 1;
    }
    insta::assert_debug_snapshot!(counts);
}

#[test]
fn prompts_are_distributed_stably_over_equal_servers() {
    let mut cluster = TestCluster::new();
    let servers = |cluster: &mut TestCluster| -> Vec<HostName> {
        let place = |number| {
            cluster.chain = vec![key(number)];
            cluster.choose_by_default_policy().server
        };
        (0..40).map(place).collect()
    };
    let first = servers(&mut cluster);
    assert_eq!(first, servers(&mut cluster));
    let near_a = first.iter().filter(|server| server.as_str() == "near-a").count();
    assert!((10..=30).contains(&near_a), "{near_a}");
}

#[test]
fn baseline_policies_ignore_cached_blocks() {
    let mut cluster = TestCluster::new();
    cluster.view = view(&[], &vec![Some(copy("store-k", 1)); 5]);
    cluster.loads.report(&host("near-a"), report(1, 0));
    let policies =
        [PlacementPolicy::RoundRobin, PlacementPolicy::LeastLoad, PlacementPolicy::PrefixHash];
    let choices = policies.map(|policy| cluster.choose(policy).unwrap());
    assert!(choices.iter().all(|choice| choice.imports.is_empty()));
    insta::assert_debug_snapshot!(choices.map(|choice| choice.server));
}

#[test]
fn concurrent_short_prompts_go_to_different_servers() {
    let cluster = TestCluster::new();
    let local: BTreeSet<HostName> = (0..2).map(|number| cluster.dispatch_short(number)).collect();
    assert_eq!(local.len(), 2);
}

#[test]
fn the_first_blocks_are_imported_again_when_the_imports_could_evict_them() {
    let mut cluster = TestCluster::new();
    cluster.candidates.truncate(1);
    cluster.stores = vec![store("store-k", "kolkata", 10_000_000_000)];
    let importable = vec![Some(copy("store-k", BLOCK_BYTES)); 5];
    cluster.view = view(&[("near-a", 2)], &importable);
    let choice = cluster.choose_by_default_policy();
    assert_eq!((choice.cached_blocks, choice.imports.len()), (0, 5));

    cluster.view = view(&[("near-a", 3)], &importable);
    let choice = cluster.choose_by_default_policy();
    assert_eq!((choice.cached_blocks, choice.imports.len()), (3, 2));
}
