//! Choice of the server from which a prompt's first token is expected soonest.

mod cost;
mod explanation;
mod first_token;
mod least_load;
mod prefix_hash;
mod round_robin;
mod scene;

use crate::chain::{HomeKey, block_name};
use crate::choice::scene::Scene;
use crate::index::{ChainView, KeptCopy};
use crate::load::LoadTable;
use protocol::ids::{ChainKey, FailureDomain, HostName, Region};
use protocol::message::place::CachedBlock;
use settings::process::PlacementPolicy;
use smallvec::SmallVec;
use thiserror::Error;

pub use crate::choice::cost::{Cost, Start, link_price_ms};
pub use crate::choice::explanation::{Considered, Explanation, Reason};

/// Describes a request that is to be placed.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    /// The keys of the prompt's whole pieces, first piece first.
    pub chain: &'a [ChainKey],
    /// The length of the whole prompt in tokens.
    pub prompt_tokens: u64,
    /// The length of the request's text in bytes.
    pub text_bytes: u64,
    /// The key of the prompt's home.
    pub home_key: HomeKey,
    /// Servers that already failed this request.
    pub excluded: &'a [HostName],
    /// Whether the request may have crashed a server and should meet as few others as possible.
    pub suspect: bool,
    /// Counts requests, for the policy that takes servers in turn.
    pub turn: u64,
}

/// Describes a live server of the service that holds the weight version asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The server.
    pub host: HostName,
    /// The server's region.
    pub region: Region,
    /// The server's failure domain.
    pub failure_domain: FailureDomain,
}

/// Describes a live store host of the model's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Store {
    /// The store host.
    pub host: HostName,
    /// The store host's region.
    pub region: Region,
    /// What the store host delivers.
    pub bytes_per_s: u64,
    /// Bytes that it was asked for and has not delivered.
    pub pending_bytes: u64,
}

/// Describes the way from this host to the servers of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionPath {
    /// The region.
    pub region: Region,
    /// The one-way delay, in milliseconds.
    pub delay_ms: f64,
    /// What the link carries; `None` within the own region.
    pub bits_per_s: Option<u64>,
    /// How long the budget of the link makes a request wait, in milliseconds.
    pub wait_ms: f64,
}

/// Holds what a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// The live servers.
    pub candidates: &'a [Candidate],
    /// The live store hosts.
    pub stores: &'a [Store],
    /// The ways to the regions; a region without one cannot be reached.
    pub paths: &'a [RegionPath],
    /// What is known of the prompt's pieces.
    pub view: &'a ChainView,
    /// The servers' load.
    pub loads: &'a LoadTable,
    /// The present moment.
    pub now_ms: u64,
}

/// Names a kept block that the chosen server is to import.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ImportPiece {
    /// The piece.
    pub key: ChainKey,
    /// The block.
    pub copy: KeptCopy,
}

impl ImportPiece {
    /// Returns the block as it is named in messages.
    pub fn to_kept_block(&self) -> CachedBlock {
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
    /// The leading pieces that the server holds in memory.
    pub cached_pieces: usize,
    /// The pieces that follow and are to be imported.
    pub imports: Vec<ImportPiece>,
    /// The tokens that are computed.
    pub recomputed_tokens: u64,
    /// The expected time to the first token.
    pub expected_first_token_ms: u64,
    /// The part of it that is spent in the server's queue.
    pub expected_queue_ms: u64,
    /// The part of it that is spent on imports, before the prompt reaches the server's queue.
    pub expected_import_ms: u64,
    /// How the choice came about.
    pub explanation: Explanation,
}

/// Reports that no server can take a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoServer {
    /// The service has no live server that can be reached.
    #[error("no live server of the service can be reached")]
    NoneLive,
    /// Each live server has failed the request.
    #[error("each live server has failed the request")]
    AllExcluded,
}

/// Chooses a server by a policy.
///
/// # Errors
///
/// Returns [`NoServer`] if no candidate is left.
pub fn choose(
    policy: PlacementPolicy,
    request: &ChoiceRequest<'_>,
    surroundings: &Surroundings<'_>,
) -> Result<Choice, NoServer> {
    let reachable = reachable(surroundings);
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
    let scene = Scene::new(request, surroundings);
    Ok(match policy {
        PlacementPolicy::Camphorward => first_token::choose(&scene, &allowed),
        PlacementPolicy::RoundRobin => round_robin::choose(&scene, &allowed),
        PlacementPolicy::LeastLoad => least_load::choose(&scene, &allowed),
        PlacementPolicy::PrefixHash => prefix_hash::choose(&scene, &allowed),
    })
}

/// Pairs a candidate with the way to it.
#[derive(Clone, Copy, Debug)]
struct Route<'a> {
    candidate: &'a Candidate,
    path: &'a RegionPath,
}

type Routes<'a> = SmallVec<[Route<'a>; 16]>;

fn reachable<'a>(surroundings: &Surroundings<'a>) -> Routes<'a> {
    let path = |region: &Region| surroundings.paths.iter().find(|path| path.region == *region);
    let candidates = surroundings.candidates.iter();
    let routes =
        candidates.map(|candidate| Some(Route { candidate, path: path(&candidate.region)? }));
    routes.flatten().collect()
}

/// Puts together the choice of a baseline, which imports nothing.
fn baseline<'a>(policy: PlacementPolicy, scene: &Scene<'a>, route: Route<'a>) -> Choice {
    let cost = Cost::without_imports(scene, route);
    let explanation = Explanation::of_baseline(policy, &cost);
    cost.into_choice(scene, explanation)
}
