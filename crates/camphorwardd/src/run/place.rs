//! Finds a server for a prompt: queries the prompt's home, or decides on this host.

use crate::constants::{
    HOME_TIMEOUT, PEER_TIMEOUT, REMOTE_HOME_MIN_MISSING_SEGMENTS, REMOTE_HOME_TIMEOUT,
};
use crate::counters::Counter;
use crate::hosts::Server;
use crate::node::Node;
use crate::reply::Failure;
use crate::run::decide::decide_and_count;
use crate::run::{Job, apply_notice};
use futures_util::future::join_all;
use membership::EntryHost;
use placement::chain::{HomeKey, PrefixChain};
use placement::offers::{self, Offer};
use placement::rendezvous;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, ChainKey, HostName, Region, ServiceName};
use protocol::message::operator::DecidedBy;
use protocol::message::place::{FinishedNotice, PlaceAnswer, PlaceReply, PlaceRequest};
use settings::process::PlacementPolicy;
use std::sync::Arc;
use std::time::Duration;

/// The peers' path for placements.
pub(crate) const PLACE_PATH: &str = "/inner/place";
/// The peers' path for finished attempts.
pub(crate) const FINISHED_PATH: &str = "/inner/finished";

/// The server of one attempt, and how it was chosen.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) server: Server,
    pub(crate) answer: PlaceAnswer,
    pub(crate) decided_by: DecidedBy,
    /// The peer that decided and counts the attempt, if any.
    pub(crate) home: Option<EntryHost>,
}

impl Placed {
    fn offer(&self, local: &Region) -> Offer {
        Offer {
            first_token_ms: self.answer.expected_first_token_ms,
            reusable_blocks: self.answer.cached_pieces + self.answer.imports.len(),
            crosses_link: self.server.region != *local,
        }
    }
}

/// Returns the home of a prompt, or `None` if the prompt has no full segment or a baseline policy
/// is in use.
pub(crate) fn find_home(node: &Node, chain: &PrefixChain) -> Option<EntryHost> {
    if node.settings.policy != PlacementPolicy::Camphorward {
        return None;
    }
    let first = chain.segments.first()?;
    home_of(node, &first.key)
}

/// Returns whether this host is the home of a segment; true if the region has no home.
pub(crate) fn is_home(node: &Node, key: &ChainKey) -> bool {
    home_of(node, key).is_none_or(|home| home.host == node.settings.host)
}

fn home_of(node: &Node, key: &ChainKey) -> Option<EntryHost> {
    home_in(node, &node.settings.region, key)
}

fn home_in(node: &Node, region: &Region, key: &ChainKey) -> Option<EntryHost> {
    let view = node.hosts.view(node.now_ms());
    let key = HomeKey::of_segment(key);
    let homes = view.homes(region);
    rendezvous::winner(key.as_bytes(), homes, |entry| entry.host.as_str().as_bytes()).cloned()
}

/// Finds a server for an attempt.
///
/// # Errors
///
/// Returns a failure if no server is left.
pub(crate) async fn place(
    node: &Arc<Node>,
    job: &Job,
    chain: &PrefixChain,
    attempt_id: &AttemptId,
    excluded: &[HostName],
) -> Result<Placed, Failure> {
    let request = PlaceRequest {
        service: job.service.clone(),
        attempt_id: attempt_id.clone(),
        chain: chain.keys(),
        prompt_tokens: chain.prompt_tokens.value(),
        text_bytes: job.prompt.len() as u64,
        region: node.settings.region.clone(),
        excluded: excluded.to_vec(),
    };
    let local = place_in_region(node, chain, &request).await;
    let mut placements: Vec<Placed> = local.into_iter().collect();
    if !placements.iter().any(|placed| has_enough_cached(&placed.answer, chain)) {
        placements.extend(query_remote_regions(node, chain, &request).await);
    }
    let offers: Vec<Offer> =
        placements.iter().map(|placed| placed.offer(&request.region)).collect();
    let index = offers::best(&offers, request.text_bytes).ok_or_else(no_server)?;
    let chosen = placements.swap_remove(index);
    for unused in placements {
        withdraw(node, &job.service, attempt_id, &unused);
    }
    Ok(chosen)
}

/// Stops counting an attempt as load of a server, on this host or on the home that placed it.
pub(crate) fn withdraw(
    node: &Arc<Node>,
    service: &ServiceName,
    attempt_id: &AttemptId,
    placed: &Placed,
) {
    let Some(home) = placed.home.clone() else {
        node.placement.loads.finished(&placed.server.host, attempt_id);
        return;
    };
    let notice = FinishedNotice {
        service: service.clone(),
        attempt_id: attempt_id.clone(),
        server: placed.server.host.clone(),
        chain: Vec::new(),
        completed: false,
        missing: Vec::new(),
    };
    tokio::spawn(notify(Arc::clone(node), home, notice));
}

/// Queries the home in the local region, or decides on this host.
async fn place_in_region(
    node: &Arc<Node>,
    chain: &PrefixChain,
    request: &PlaceRequest,
) -> Option<Placed> {
    let home = find_home(node, chain).filter(|home| home.host != node.settings.host);
    if let Some(home) = &home
        && let Some(placed) = query_home(node, home, request, HOME_TIMEOUT).await
    {
        return Some(placed);
    }
    let decided_by = match (node.settings.policy, home) {
        (PlacementPolicy::Camphorward, Some(_)) => DecidedBy::Entry,
        (PlacementPolicy::Camphorward, None) => DecidedBy::Home,
        _ => DecidedBy::Baseline,
    };
    to_placed(node, decide_and_count(node, request).await, decided_by, None)
}

/// Returns whether so few segments are uncached that a remote region is not worth the link delay.
fn has_enough_cached(answer: &PlaceAnswer, chain: &PrefixChain) -> bool {
    let reusable_blocks = answer.cached_pieces + answer.imports.len();
    reusable_blocks + REMOTE_HOME_MIN_MISSING_SEGMENTS > chain.segments.len()
}

/// Queries the prompt's homes in the remote regions, where its blocks may be cached.
async fn query_remote_regions(
    node: &Arc<Node>,
    chain: &PrefixChain,
    request: &PlaceRequest,
) -> Vec<Placed> {
    let Some(first) = chain.segments.first() else {
        return Vec::new();
    };
    if node.settings.policy != PlacementPolicy::Camphorward {
        return Vec::new();
    }
    let directory = node.directory();
    let regions = directory.text().regions.iter().map(|region| &region.name);
    let remote = regions.filter(|region| **region != node.settings.region);
    let homes = remote.filter_map(|region| home_in(node, region, &first.key));
    let queries = homes.map(|home| async move {
        node.counters.count(Counter::RemoteHomeRequests);
        query_home(node, &home, request, REMOTE_HOME_TIMEOUT).await
    });
    join_all(queries).await.into_iter().flatten().collect()
}

fn no_server() -> Failure {
    Failure::new(ErrorKind::NoServer, "no server of the service can take the request")
}

async fn query_home(
    node: &Arc<Node>,
    home: &EntryHost,
    request: &PlaceRequest,
    timeout: Duration,
) -> Option<Placed> {
    node.counters.count(Counter::HomeRequests);
    let peer = &node.clients.peer;
    match peer.call(home.addresses.peers, PLACE_PATH, request, timeout).await {
        Ok(reply) => to_placed(node, reply, DecidedBy::Home, Some(home.clone())),
        Err(error) => {
            node.counters.count(Counter::HomeUnanswered);
            let (attempt, home) = (&request.attempt_id, &home.host);
            log::info!("attempt={attempt} home={home} did not answer: {error}");
            None
        }
    }
}

/// Converts a reply; a chosen server that is not in this host's table counts as none.
fn to_placed(
    node: &Node,
    reply: PlaceReply,
    decided_by: DecidedBy,
    home: Option<EntryHost>,
) -> Option<Placed> {
    match reply {
        PlaceReply::Placed(answer) => {
            let server = node.hosts.server(&answer.server)?;
            Some(Placed { server, answer, decided_by, home })
        }
        PlaceReply::NoServer | PlaceReply::UnknownService => None,
    }
}

/// Notifies a prompt's home of a finished attempt.
pub(crate) async fn notify(node: Arc<Node>, home: EntryHost, notice: FinishedNotice) {
    if home.host == node.settings.host {
        return apply_notice(&node, notice).await;
    }
    let sent: Result<(), _> =
        node.clients.peer.call(home.addresses.peers, FINISHED_PATH, &notice, PEER_TIMEOUT).await;
    if let Err(error) = sent {
        // The home still reads the blocks in the server's cache from its cache events.
        log::debug!("attempt={} home={} not notified: {error}", notice.attempt_id, home.host);
    }
}
