//! Finds a server for a prompt: asks the prompt's home, or decides here.

use crate::constants::{FAR_HOME_MISSING_PIECES, FAR_HOME_TIMEOUT, HOME_TIMEOUT, PEER_TIMEOUT};
use crate::counters::Counter;
use crate::hosts::Server;
use crate::node::Node;
use crate::reply::Failure;
use crate::run::decide::decide_and_count;
use crate::run::{Job, take_notice};
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

/// Holds the server of one attempt, with how it was chosen.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) server: Server,
    pub(crate) answer: PlaceAnswer,
    pub(crate) decided_by: DecidedBy,
    /// The other entry host that decided and counts the attempt, if one did.
    pub(crate) home: Option<EntryHost>,
}

impl Placed {
    fn offer(&self, own: &Region) -> Offer {
        Offer {
            first_token_ms: self.answer.expected_first_token_ms,
            reusable_blocks: self.answer.cached_pieces + self.answer.imports.len(),
            crosses_link: self.server.region != *own,
        }
    }
}

/// Returns the home of a prompt; `None` if the prompt has no whole piece or a baseline decides.
pub(crate) fn find_home(node: &Node, chain: &PrefixChain) -> Option<EntryHost> {
    if node.settings.policy != PlacementPolicy::Camphorward {
        return None;
    }
    let first = chain.segments.first()?;
    home_of(node, &first.key)
}

/// Returns whether this host is the home of a piece.
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
    let near = place_in_region(node, chain, &request).await;
    let mut placements: Vec<Placed> = near.into_iter().collect();
    if !placements.iter().any(|placed| knows_enough(&placed.answer, chain)) {
        placements.extend(ask_other_regions(node, chain, &request).await);
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

/// Stops counting an attempt on a server, here or at the home that placed it there.
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

/// Asks the home in the own region, or decides here.
async fn place_in_region(
    node: &Arc<Node>,
    chain: &PrefixChain,
    request: &PlaceRequest,
) -> Option<Placed> {
    let home = find_home(node, chain).filter(|home| home.host != node.settings.host);
    if let Some(home) = &home
        && let Some(placed) = ask_home(node, home, request, HOME_TIMEOUT).await
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

/// Returns whether so little is to be computed that no other region is worth the way.
fn knows_enough(answer: &PlaceAnswer, chain: &PrefixChain) -> bool {
    let present_pieces = answer.cached_pieces + answer.imports.len();
    present_pieces + FAR_HOME_MISSING_PIECES > chain.segments.len()
}

/// Asks the prompt's homes in the other regions, where its kept work may be.
async fn ask_other_regions(
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
    let others = regions.filter(|region| **region != node.settings.region);
    let homes = others.filter_map(|region| home_in(node, region, &first.key));
    let asked = homes.map(|home| async move {
        node.counters.count(Counter::FarHomeAsked);
        ask_home(node, &home, request, FAR_HOME_TIMEOUT).await
    });
    join_all(asked).await.into_iter().flatten().collect()
}

fn no_server() -> Failure {
    Failure::new(ErrorKind::NoServer, "no server of the service can take the request")
}

async fn ask_home(
    node: &Arc<Node>,
    home: &EntryHost,
    request: &PlaceRequest,
    timeout: Duration,
) -> Option<Placed> {
    node.counters.count(Counter::HomeAsked);
    let peer = &node.clients.peer;
    match peer.call(home.addresses.peers, PLACE_PATH, request, timeout).await {
        Ok(reply) => to_placed(node, reply, DecidedBy::Home, Some(home.clone())),
        Err(error) => {
            node.counters.count(Counter::HomeMissed);
            let (attempt, home) = (&request.attempt_id, &home.host);
            log::info!("attempt={attempt} home={home} did not answer: {error}");
            None
        }
    }
}

/// A choice of a server that is unknown here is no choice.
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

/// Tells a prompt's home that an attempt finished.
pub(crate) async fn notify(node: Arc<Node>, home: EntryHost, notice: FinishedNotice) {
    if home.host == node.settings.host {
        return take_notice(&node, notice).await;
    }
    let sent: Result<(), _> =
        node.clients.peer.call(home.addresses.peers, FINISHED_PATH, &notice, PEER_TIMEOUT).await;
    if let Err(error) = sent {
        // The home learns of the pieces from the server's own cache events all the same.
        log::debug!("attempt={} home={} not told: {error}", notice.attempt_id, home.host);
    }
}
