//! Chooses a server for a prompt, by default the one with the lowest expected time to first token.

mod context;
mod cost;
mod explanation;
mod first_token;
mod least_load;
mod prefix_hash;
mod round_robin;

use crate::chain::{HomeKey, block_name};
use crate::choice::context::ChoiceContext;
use crate::index::{BlockCopy, ChainView};
use crate::load::LoadTable;
use protocol::ids::{ChainKey, FailureDomain, HostName, Region};
use protocol::message::place::CachedBlock;
use settings::process::PlacementPolicy;
use smallvec::SmallVec;
use thiserror::Error;

pub use crate::choice::cost::{Cost, PrefillPlan, link_price_ms};
pub use crate::choice::explanation::{Explanation, Reason, ServerCost};

/// Describes a request to place.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    /// The keys of the prompt's full segments in prompt order.
    pub chain: &'a [ChainKey],
    /// The length of the full prompt in tokens.
    pub prompt_tokens: u64,
    /// The length of the request's text in bytes.
    pub text_bytes: u64,
    /// The key of the prompt's home.
    pub home_key: HomeKey,
    /// The servers on which an earlier attempt of this request failed.
    pub excluded: &'a [HostName],
    /// Whether the request may have crashed a server and should share its server with as few other
    /// attempts as possible.
    pub suspect: bool,
    /// A running number of requests, used by the round-robin policy.
    pub round_robin_index: u64,
}

/// Describes a live server of the service that runs the requested weight version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The server.
    pub host: HostName,
    /// The server's region.
    pub region: Region,
    /// The server's failure domain.
    pub failure_domain: FailureDomain,
}

/// Describes a live host of the model's block store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Store {
    /// The store host.
    pub host: HostName,
    /// The store host's region.
    pub region: Region,
    /// The rate at which the store host delivers, in bytes per second.
    pub bytes_per_s: u64,
    /// The bytes that were requested from it and are not delivered yet.
    pub pending_bytes: u64,
}

/// Describes the network path from this host to the servers of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionPath {
    /// The region.
    pub region: Region,
    /// The one-way delay, in milliseconds.
    pub delay_ms: f64,
    /// The capacity of the link; `None` within the local region.
    pub bits_per_s: Option<u64>,
    /// How long a request waits for the link's byte budget, in milliseconds.
    pub wait_ms: f64,
}

/// Holds the state of the cluster that a choice is based on.
#[derive(Clone, Copy, Debug)]
pub struct ClusterState<'a> {
    /// The live servers.
    pub candidates: &'a [Candidate],
    /// The live store hosts.
    pub stores: &'a [Store],
    /// The paths to the regions; a region without a path is unreachable.
    pub paths: &'a [RegionPath],
    /// The cached blocks of the prompt's segments.
    pub view: &'a ChainView,
    /// The servers' load.
    pub loads: &'a LoadTable,
    /// The current time, in milliseconds.
    pub now_ms: u64,
}

/// Names a block on a store host for the chosen server to import.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockImport {
    /// The key of the block's segment.
    pub key: ChainKey,
    /// The copy of the block to read.
    pub copy: BlockCopy,
}

impl BlockImport {
    /// Returns the block in the form that messages use.
    pub fn to_cached_block(&self) -> CachedBlock {
        CachedBlock {
            key: self.key,
            store: self.copy.store.clone(),
            name: block_name(&self.key),
            length_bytes: self.copy.length_bytes,
            checksum: self.copy.checksum_hex(),
        }
    }
}

/// Holds the outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The chosen server.
    pub server: HostName,
    /// The number of leading blocks that the server holds in memory.
    pub cached_blocks: usize,
    /// The blocks to import, which follow the cached ones.
    pub imports: Vec<BlockImport>,
    /// The prompt tokens that the server has to prefill.
    pub recomputed_tokens: u64,
    /// The expected time to first token.
    pub expected_first_token_ms: u64,
    /// The part of that time spent in the server's queue.
    pub expected_queue_ms: u64,
    /// The part of that time spent on imports, before the prompt reaches the server's queue.
    pub expected_import_ms: u64,
    /// Why the server was chosen.
    pub explanation: Explanation,
}

/// The reason why no server can take a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoServer {
    /// The service has no live and reachable server.
    #[error("no live server of the service can be reached")]
    NoneLive,
    /// An attempt of the request failed on each live server.
    #[error("each live server has failed the request")]
    AllExcluded,
}

/// Chooses a server according to a policy.
///
/// # Errors
///
/// Returns [`NoServer`] if no candidate is reachable, or if all reachable ones are excluded.
pub fn choose(
    policy: PlacementPolicy,
    request: &ChoiceRequest<'_>,
    cluster: &ClusterState<'_>,
) -> Result<Choice, NoServer> {
    let reachable = reachable(cluster);
    if reachable.is_empty() {
        return Err(NoServer::NoneLive);
    }
    let allowed: Routes<'_> = reachable
        .into_iter()
        .filter(|route| !request.excluded.contains(&route.candidate.host))
        .collect();
    if allowed.is_empty() {
        return Err(NoServer::AllExcluded);
    }
    let context = ChoiceContext::new(request, cluster);
    Ok(match policy {
        PlacementPolicy::Camphorward => first_token::choose(&context, &allowed),
        PlacementPolicy::RoundRobin => round_robin::choose(&context, &allowed),
        PlacementPolicy::LeastLoad => least_load::choose(&context, &allowed),
        PlacementPolicy::PrefixHash => prefix_hash::choose(&context, &allowed),
    })
}

/// Pairs a candidate with the network path to it.
#[derive(Clone, Copy, Debug)]
struct Route<'a> {
    candidate: &'a Candidate,
    path: &'a RegionPath,
}

type Routes<'a> = SmallVec<[Route<'a>; 16]>;

fn reachable<'a>(cluster: &ClusterState<'a>) -> Routes<'a> {
    let path = |region: &Region| cluster.paths.iter().find(|path| path.region == *region);
    let candidates = cluster.candidates.iter();
    let routes =
        candidates.map(|candidate| Some(Route { candidate, path: path(&candidate.region)? }));
    routes.flatten().collect()
}

/// Returns the choice of a baseline policy, which imports nothing.
fn baseline<'a>(policy: PlacementPolicy, context: &ChoiceContext<'a>, route: Route<'a>) -> Choice {
    let cost = Cost::without_imports(context, route);
    let explanation = Explanation::of_baseline(policy, &cost);
    cost.into_choice(context, explanation)
}
