//! Chooses a server for a prompt from what this host knows.

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
    let stores = StoreSite::find(node, &directory, model);
    let view = view_chain(node, &stores, &request.chain).await;
    let candidates = candidates(node, request, &model.weight_version);
    let paths = paths(&directory, &request.region);
    let surroundings = ClusterState {
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
        round_robin_index: node.placement.next_turn(),
    };
    match choose(node.settings.policy, &choice_request, &surroundings) {
        Ok(choice) => PlaceReply::Placed(to_answer(choice)),
        Err(_) => PlaceReply::NoServer,
    }
}

/// A prompt without a whole piece has nothing to be found by; any constant spreads it by load.
fn home_key(request: &PlaceRequest) -> HomeKey {
    let short_prompt = ChainKey::new([0; 32]);
    HomeKey::of_segment(request.chain.first().unwrap_or(&short_prompt))
}

/// Chooses a server and counts the attempt there at once, so that the next choice sees it.
pub(crate) async fn decide_and_count(node: &Node, request: &PlaceRequest) -> PlaceReply {
    let reply = decide(node, request).await;
    if let PlaceReply::Placed(answer) = &reply {
        note_sent(node, &request.attempt_id, answer);
    }
    reply
}

/// Counts an attempt on its server.
pub(crate) fn note_sent(node: &Node, attempt_id: &AttemptId, answer: &PlaceAnswer) {
    let sent = SentAttempt {
        attempt_id: attempt_id.clone(),
        recomputed_tokens: answer.recomputed_tokens,
        expected_first_token_ms: answer.expected_first_token_ms,
        sent_at_ms: node.now_ms(),
    };
    node.placement.loads.sent(&answer.server, sent);
}

/// Returns the servers that may run a request, those of the right weight version if there are any.
///
/// A server whose version is not known yet may run it too; it refuses or is caught by its head.
/// Servers of other regions are left out as long as one is left here: their own homes know better
/// what they hold and how busy they are.
fn candidates(node: &Node, request: &PlaceRequest, version: &WeightVersion) -> Vec<Candidate> {
    let takes_work =
        |server: &Server| server.takes_work() && !node.placement.is_unreachable(&server.host);
    let mut servers = node.hosts.servers(&request.service, node.now_ms());
    servers.retain(takes_work);
    let may_hold = |server: &Server| {
        node.placement.version(&server.host).is_none_or(|reported| reported == *version)
    };
    if servers.iter().any(may_hold) {
        servers.retain(may_hold);
    }
    let is_near = |server: &Server| {
        server.region == node.settings.region && !request.excluded.contains(&server.host)
    };
    let is_ours = node.settings.policy == PlacementPolicy::Camphorward;
    if is_ours && servers.iter().any(is_near) {
        servers.retain(is_near);
    }
    let candidate = |server: Server| Candidate {
        host: server.host,
        region: server.region,
        failure_domain: server.failure_domain,
    };
    servers.into_iter().map(candidate).collect()
}

fn paths(directory: &Directory, own: &Region) -> Vec<RegionPath> {
    let regions = &directory.text().regions;
    let path = |region: &settings::services::RegionEntry| RegionPath {
        region: region.name.clone(),
        delay_ms: if region.name == *own { 0.0 } else { region.link_delay_ms },
        bits_per_s: (region.name != *own).then_some(region.link_bits_per_s),
        wait_ms: 0.0,
    };
    regions.iter().map(path).collect()
}

/// Holds the store hosts that keep a model's work.
pub(crate) struct StoreSite {
    pub(crate) settings: Option<StoreService>,
    pub(crate) stores: Vec<Store>,
}

impl StoreSite {
    /// Finds the live store hosts of a model.
    pub(crate) fn find(node: &Node, directory: &Directory, model: &ModelService) -> Self {
        let named = model.block_store.as_ref();
        let service = named.and_then(|name| Some((name, directory.store_service(name)?)));
        let Some((name, settings)) = service else {
            return Self { settings: None, stores: Vec::new() };
        };
        let servers = node.hosts.servers(name, node.now_ms()).into_iter();
        let live = servers.filter(Server::takes_work);
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

    /// Returns how long a block is kept after its last use, in milliseconds.
    pub(crate) fn expiry_ms(&self) -> u64 {
        self.settings.as_ref().map_or(0, |settings| settings.expiry_s * MS_PER_S)
    }

    /// Returns what one store host delivers, in bytes a second.
    pub(crate) fn bytes_per_s(&self) -> u64 {
        self.settings.as_ref().map_or(1, |settings| settings.bytes_per_s)
    }
}

/// Shows what is known of a prompt's pieces; asks the store hosts if nothing is.
async fn view_chain(node: &Node, stores: &StoreSite, chain: &[ChainKey]) -> ChainView {
    let view = node.placement.index.view(chain, stores.bytes_per_s(), node.now_ms());
    let is_known =
        !view.cached_prefixes.is_empty() || view.importable.iter().any(|copies| !copies.is_empty());
    let imports = node.settings.policy == PlacementPolicy::Camphorward;
    if is_known || !imports || chain.is_empty() || stores.stores.is_empty() {
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
    // What is left of a block's life counts from before the question, as the answer may be late.
    let asked_at_ms = node.now_ms();
    let names = blocks.iter().map(|block| block.name.clone()).collect();
    let asked = node.clients.store.look_up(server.address, names);
    let Ok(Ok(found)) = tokio::time::timeout(STORE_LOOKUP_TIMEOUT, asked).await else {
        return;
    };
    for status in found {
        let Some(block) = blocks.iter().find(|block| block.name == status.name) else {
            continue;
        };
        let expires_at_ms = asked_at_ms + status.expires_in_ms;
        let kept = to_kept(block.key, store.clone(), status);
        node.placement.index.add_block(&kept, expires_at_ms);
    }
}

/// Describes a committed block as a store host tells of it.
pub(crate) fn to_kept(key: ChainKey, store: HostName, status: BlockStatus) -> CachedBlock {
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

fn to_block(piece: BlockImport) -> CachedBlock {
    CachedBlock {
        key: piece.key,
        name: block_name(&piece.key),
        store: piece.copy.store,
        length_bytes: piece.copy.length_bytes,
        checksum: ChainKey::new(piece.copy.checksum).to_string(),
    }
}

fn to_candidate(considered: ServerCost) -> CandidateExplanation {
    CandidateExplanation {
        server: considered.server,
        cached_pieces: considered.cached_blocks as u64,
        imported_pieces: considered.imported_blocks as u64,
        queue_ms: considered.queue_ms as u64,
        import_ms: considered.import_ms as u64,
        recompute_ms: considered.recompute_ms as u64,
        expected_first_token_ms: considered.total_ms as u64,
        excluded: None,
    }
}
