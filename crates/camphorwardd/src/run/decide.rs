//! Chooses a server for a prompt from the state of this host.

use crate::constants::STORE_LOOKUP_TIMEOUT;
use crate::counters::Counter;
use crate::directory::Directory;
use crate::hosts::Server;
use crate::node::Node;
use clients::wire::store::BlockStatus;
use futures_util::future::join_all;
use placement::chain::HomeKey;
use placement::chain::block_name;
use placement::choice::{
    BlockImport, Candidate, Choice, ChoiceRequest, ClusterState, RegionPath, ServerCost, Store,
    choose,
};
use placement::index::ChainView;
use placement::load::SentAttempt;
use placement::rebuild::{self, BlockLookup};
use protocol::ids::{AttemptId, ChainKey, HostName, Region, WeightVersion};
use protocol::message::operator::CandidateExplanation;
use protocol::message::place::{CachedBlock, PlaceAnswer, PlaceReply, PlaceRequest};
use settings::process::PlacementPolicy;
use settings::services::{ModelService, StoreService};

const MS_PER_S: u64 = 1_000;

/// Chooses a server for a prompt.
async fn decide(node: &Node, request: &PlaceRequest) -> PlaceReply {
    let directory = node.directory();
    let Some(model) = directory.model_service(&request.service) else {
        return PlaceReply::UnknownService;
    };
    let stores = BlockStores::find(node, &directory, model);
    let view = view_chain(node, &stores, &request.chain).await;
    let candidates = candidates(node, request, &model.weight_version);
    let paths = paths(&directory, &request.region);
    let cluster = ClusterState {
        candidates: &candidates,
        stores: &stores.stores,
        paths: &paths,
        view: &view,
        loads: &node.placement.loads,
        now_ms: node.now_ms(),
    };
    let choice_request = ChoiceRequest {
        chain: &request.chain,
        prompt_tokens: request.prompt_tokens,
        text_bytes: request.text_bytes,
        home_key: home_key(request),
        excluded: &request.excluded,
        suspect: false,
        round_robin_index: node.placement.next_round_robin_index(),
    };
    match choose(node.settings.policy, &choice_request, &cluster) {
        Ok(choice) => PlaceReply::Placed(to_answer(choice)),
        Err(_) => PlaceReply::NoServer,
    }
}

/// Returns the key of a prompt's home. A prompt without a full segment has no key of its own, and
/// any constant will do: the default policy uses the key only to break ties, and the load of the
/// servers spreads such prompts.
fn home_key(request: &PlaceRequest) -> HomeKey {
    let short_prompt = ChainKey::new([0; 32]);
    HomeKey::of_segment(request.chain.first().unwrap_or(&short_prompt))
}

/// Chooses a server and counts the attempt as its load immediately, so that the next choice
/// includes it.
pub(crate) async fn decide_and_count(node: &Node, request: &PlaceRequest) -> PlaceReply {
    let reply = decide(node, request).await;
    if let PlaceReply::Placed(answer) = &reply {
        record_attempt(node, &request.attempt_id, answer);
    }
    reply
}

/// Counts an attempt as load of its server.
pub(crate) fn record_attempt(node: &Node, attempt_id: &AttemptId, answer: &PlaceAnswer) {
    let sent = SentAttempt {
        attempt_id: attempt_id.clone(),
        recomputed_tokens: answer.recomputed_tokens,
        expected_first_token_ms: answer.expected_first_token_ms,
        sent_at_ms: node.now_ms(),
    };
    node.placement.loads.sent(&answer.server, sent);
}

/// Returns the candidate servers for a request: those with the required weight version if there are
/// any.
///
/// A server that has not reported its version yet is a candidate too: if it has another version, it
/// refuses the request or the head of its answer shows it. Servers in remote regions are left out
/// as long as a local one is available: the homes in their own region have more accurate data on
/// their caches and load.
fn candidates(node: &Node, request: &PlaceRequest, version: &WeightVersion) -> Vec<Candidate> {
    let accepts_requests =
        |server: &Server| server.accepts_requests() && !node.placement.is_unreachable(&server.host);
    let mut servers = node.hosts.servers(&request.service, node.now_ms());
    servers.retain(accepts_requests);
    let may_have_version = |server: &Server| {
        node.placement.version(&server.host).is_none_or(|reported| reported == *version)
    };
    if servers.iter().any(may_have_version) {
        servers.retain(may_have_version);
    }
    let is_local = |server: &Server| {
        server.region == node.settings.region && !request.excluded.contains(&server.host)
    };
    let uses_camphorward = node.settings.policy == PlacementPolicy::Camphorward;
    if uses_camphorward && servers.iter().any(is_local) {
        servers.retain(is_local);
    }
    let candidate = |server: Server| Candidate {
        host: server.host,
        region: server.region,
        failure_domain: server.failure_domain,
    };
    servers.into_iter().map(candidate).collect()
}

fn paths(directory: &Directory, local: &Region) -> Vec<RegionPath> {
    let regions = &directory.text().regions;
    let path = |region: &settings::services::RegionEntry| RegionPath {
        region: region.name.clone(),
        delay_ms: if region.name == *local { 0.0 } else { region.link_delay_ms },
        bits_per_s: (region.name != *local).then_some(region.link_bits_per_s),
        wait_ms: 0.0,
    };
    regions.iter().map(path).collect()
}

/// The block store of a model: its settings and live store hosts.
pub(crate) struct BlockStores {
    pub(crate) settings: Option<StoreService>,
    pub(crate) stores: Vec<Store>,
}

impl BlockStores {
    /// Finds the live store hosts of a model.
    pub(crate) fn find(node: &Node, directory: &Directory, model: &ModelService) -> Self {
        let store_name = model.block_store.as_ref();
        let service = store_name.and_then(|name| Some((name, directory.store_service(name)?)));
        let Some((name, settings)) = service else {
            return Self { settings: None, stores: Vec::new() };
        };
        let servers = node.hosts.servers(name, node.now_ms()).into_iter();
        let live = servers.filter(Server::accepts_requests);
        let store = |server: Server| Store {
            host: server.host,
            region: server.region,
            bytes_per_s: settings.bytes_per_s,
            pending_bytes: 0,
        };
        Self { stores: live.map(store).collect(), settings: Some(settings.clone()) }
    }

    /// Returns the names of the store hosts in a region.
    pub(crate) fn hosts_in(&self, region: &Region) -> Vec<HostName> {
        let in_region = self.stores.iter().filter(|store| store.region == *region);
        in_region.map(|store| store.host.clone()).collect()
    }

    /// Returns the TTL of a block after its last use, in milliseconds.
    pub(crate) fn expiry_ms(&self) -> u64 {
        self.settings.as_ref().map_or(0, |settings| settings.expiry_s * MS_PER_S)
    }

    /// Returns the throughput of one store host, in bytes per second.
    pub(crate) fn bytes_per_s(&self) -> u64 {
        self.settings.as_ref().map_or(1, |settings| settings.bytes_per_s)
    }
}

/// Returns the cached state of a prompt's segments; queries the store hosts if none is cached.
async fn view_chain(node: &Node, stores: &BlockStores, chain: &[ChainKey]) -> ChainView {
    let view = node.placement.index.view(chain, stores.bytes_per_s(), node.now_ms());
    let has_cached =
        !view.cached_prefixes.is_empty() || view.importable.iter().any(|copies| !copies.is_empty());
    let imports = node.settings.policy == PlacementPolicy::Camphorward;
    if has_cached || !imports || chain.is_empty() || stores.stores.is_empty() {
        return view;
    }
    let lookups = rebuild::lookups(chain, &view, &stores.hosts_in(&node.settings.region));
    join_all(lookups.into_iter().map(|(store, blocks)| look_up(node, store, blocks))).await;
    node.placement.index.view(chain, stores.bytes_per_s(), node.now_ms())
}

async fn look_up(node: &Node, store: HostName, blocks: Vec<BlockLookup>) {
    let Some(server) = node.hosts.server(&store) else {
        return;
    };
    node.counters.count(Counter::StoreLookups);
    // A block's remaining TTL counts from before the query, since the answer may be delayed.
    let queried_at_ms = node.now_ms();
    let names = blocks.iter().map(|block| block.name.clone()).collect();
    let answer = node.clients.store.look_up(server.address, names);
    let Ok(Ok(found)) = tokio::time::timeout(STORE_LOOKUP_TIMEOUT, answer).await else {
        return;
    };
    for status in found {
        let Some(block) = blocks.iter().find(|block| block.name == status.name) else {
            continue;
        };
        let expires_at_ms = queried_at_ms + status.expires_in_ms;
        let cached = to_cached_block(block.key, store.clone(), status);
        node.placement.index.add_block(&cached, expires_at_ms);
    }
}

/// Converts a store host's status of a committed block.
pub(crate) fn to_cached_block(key: ChainKey, store: HostName, status: BlockStatus) -> CachedBlock {
    CachedBlock {
        key,
        store,
        name: status.name,
        length_bytes: status.length_bytes,
        checksum: status.checksum,
    }
}

fn to_answer(choice: Choice) -> PlaceAnswer {
    PlaceAnswer {
        server: choice.server,
        cached_pieces: choice.cached_blocks,
        imports: choice.imports.into_iter().map(to_block).collect(),
        recomputed_tokens: choice.recomputed_tokens,
        expected_first_token_ms: choice.expected_first_token_ms,
        candidates: choice.explanation.considered.into_iter().map(to_candidate).collect(),
    }
}

fn to_block(block: BlockImport) -> CachedBlock {
    CachedBlock {
        key: block.key,
        name: block_name(&block.key),
        store: block.copy.store,
        length_bytes: block.copy.length_bytes,
        checksum: ChainKey::new(block.copy.checksum).to_string(),
    }
}

fn to_candidate(cost: ServerCost) -> CandidateExplanation {
    CandidateExplanation {
        server: cost.server,
        cached_pieces: cost.cached_blocks as u64,
        imported_pieces: cost.imported_blocks as u64,
        queue_ms: cost.queue_ms as u64,
        import_ms: cost.import_ms as u64,
        recompute_ms: cost.recompute_ms as u64,
        expected_first_token_ms: cost.total_ms as u64,
        excluded: None,
    }
}
