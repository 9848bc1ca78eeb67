//! Finds a server for a prompt: asks the prompt's home, or decides here.

use crate::constants::{HOME_TIMEOUT, PEER_TIMEOUT};
use crate::counters::Counter;
use crate::hosts::Server;
use crate::node::Node;
use crate::reply::Failure;
use crate::run::{Job, decide, take_notice};
use membership::EntryHost;
use placement::chain::{HomeKey, PrefixChain};
use placement::rendezvous;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, ChainKey, HostName};
use protocol::message::operator::DecidedBy;
use protocol::message::place::{FinishedNotice, PlaceAnswer, PlaceReply, PlaceRequest};
use settings::process::PlacementPolicy;
use std::sync::Arc;

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
}

/// Returns the home of a prompt; `None` if the prompt has no whole piece or a baseline decides.
pub(crate) fn find_home(node: &Node, chain: &PrefixChain) -> Option<EntryHost> {
    if node.settings.policy != PlacementPolicy::Camphorward {
        return None;
    }
    let first = chain.pieces.first()?;
    home_of(node, &first.key)
}

/// Returns whether this host is the home of a piece.
pub(crate) fn is_home(node: &Node, key: &ChainKey) -> bool {
    home_of(node, key).is_none_or(|home| home.host == node.settings.host)
}

fn home_of(node: &Node, key: &ChainKey) -> Option<EntryHost> {
    let view = node.hosts.view(node.now_ms());
    let key = HomeKey::of_piece(key);
    let homes = view.homes(&node.settings.region);
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
    let home = find_home(node, chain).filter(|home| home.host != node.settings.host);
    if let Some(home) = &home
        && let Some(placed) = ask_home(node, home, &request).await
    {
        return Ok(placed);
    }
    let decided_by = match (node.settings.policy, home) {
        (PlacementPolicy::Camphorward, Some(_)) => DecidedBy::Entry,
        (PlacementPolicy::Camphorward, None) => DecidedBy::Home,
        _ => DecidedBy::Baseline,
    };
    let reply = decide(node, &request).await;
    to_placed(node, reply, decided_by).ok_or_else(no_server)
}

fn no_server() -> Failure {
    Failure::new(ErrorKind::NoServer, "no server of the service can take the request")
}

async fn ask_home(node: &Arc<Node>, home: &EntryHost, request: &PlaceRequest) -> Option<Placed> {
    node.counters.count(Counter::HomeAsked);
    let peer = &node.clients.peer;
    match peer.call(home.addresses.peers, PLACE_PATH, request, HOME_TIMEOUT).await {
        Ok(reply) => to_placed(node, reply, DecidedBy::Home),
        Err(error) => {
            node.counters.count(Counter::HomeMissed);
            let (attempt, home) = (&request.attempt_id, &home.host);
            log::info!("attempt={attempt} home={home} did not answer: {error}");
            None
        }
    }
}

/// A choice of a server that is unknown here is no choice.
fn to_placed(node: &Node, reply: PlaceReply, decided_by: DecidedBy) -> Option<Placed> {
    match reply {
        PlaceReply::Placed(answer) => {
            let server = node.hosts.server(&answer.server)?;
            Some(Placed { server, answer, decided_by })
        }
        PlaceReply::NoServer | PlaceReply::UnknownService => None,
    }
}

/// Tells a prompt's home that an attempt finished.
pub(crate) async fn notify(node: Arc<Node>, home: Option<EntryHost>, notice: FinishedNotice) {
    let Some(home) = home else {
        return;
    };
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
