//! The homes of a request that may crash servers, and messages to them.

use crate::constants::{HOME_TIMEOUT, PEER_TIMEOUT};
use crate::node::Node;
use crate::quarantine::messages::{SUSPECT_PATH, SuspectMessage, SuspectReply};
use futures_util::future::{BoxFuture, join_all};
use membership::EntryHost;
use placement::rendezvous;
use protocol::ids::{Region, ServiceName};
use protocol::message::suspect::SuspectDigest;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The number of homes of a request in each region.
const HOMES_PER_REGION: usize = 2;
/// Maximum number of times that a message is sent. If the end of an attempt is lost, the receiver
/// still counts the attempt as running.
const MAX_SENDS: usize = 3;

/// Returns a request's homes in a region, in the order in which they are queried.
fn homes_in(node: &Node, region: &Region, digest: &SuspectDigest) -> Vec<EntryHost> {
    let view = node.hosts.view(node.now_ms());
    let hosts = view.homes(region);
    let ranked =
        rendezvous::ranking(digest.as_bytes(), hosts, |entry| entry.host.as_str().as_bytes());
    ranked.into_iter().take(HOMES_PER_REGION).cloned().collect()
}

/// Returns the homes to query before the local status counts, in order of preference.
pub(super) fn homes_before_local(node: &Node, digest: &SuspectDigest) -> Vec<EntryHost> {
    let homes = homes_in(node, &node.settings.region, digest).into_iter();
    homes.take_while(|home| home.host != node.settings.host).collect()
}

/// Returns the host other than this one that tracks the attempts of a request.
pub(super) fn follower(node: &Node, digest: &SuspectDigest) -> Option<EntryHost> {
    let homes = homes_in(node, &node.settings.region, digest);
    homes.into_iter().find(|home| home.host != node.settings.host)
}

/// Returns the homes of a request in all regions, other than this host.
fn other_homes(node: &Node, digest: &SuspectDigest) -> Vec<EntryHost> {
    let view = node.hosts.view(node.now_ms());
    let regions: BTreeSet<&Region> = view.entry_hosts.iter().map(|entry| &entry.region).collect();
    let homes = regions.into_iter().flat_map(|region| homes_in(node, region, digest));
    homes.filter(|home| home.host != node.settings.host).collect()
}

/// Returns the host that grants servers to a service's suspects; `None` if it is this one.
pub(super) fn service_home(node: &Node, service: &ServiceName) -> Option<EntryHost> {
    let entries = node.hosts.entry_hosts(node.now_ms());
    let staying = entries.into_iter().filter(|entry| !entry.leaving);
    let key = service.as_str().as_bytes();
    let home = rendezvous::winner(key, staying, |entry| entry.host.as_str().as_bytes());
    home.filter(|home| home.host != node.settings.host)
}

/// Queries a host; returns `None` if it does not answer in time.
pub(super) async fn query(
    node: &Node,
    host: &EntryHost,
    message: &SuspectMessage,
) -> Option<SuspectReply> {
    let peers = host.addresses.peers;
    let answer = node.clients.peer.call(peers, SUSPECT_PATH, message, HOME_TIMEOUT).await;
    answer.inspect_err(|error| log::info!("home={} did not answer: {error}", host.host)).ok()
}

/// Sends a message to a host, and retries if it does not answer.
pub(super) async fn send(node: &Node, host: &EntryHost, message: &SuspectMessage) {
    for _ in 0..MAX_SENDS {
        let peers = host.addresses.peers;
        let answer: Result<SuspectReply, _> =
            node.clients.peer.call(peers, SUSPECT_PATH, message, PEER_TIMEOUT).await;
        match answer {
            Ok(_) => return,
            Err(error) => {
                log::info!("home={} did not answer a message on a suspect: {error}", host.host)
            }
        }
    }
}

/// Sends a message to the homes of a request in all regions. The future is boxed because a message
/// may lead to further messages.
pub(super) fn send_to_homes(
    node: Arc<Node>,
    digest: SuspectDigest,
    message: SuspectMessage,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let homes = other_homes(&node, &digest);
        join_all(homes.iter().map(|home| send(&node, home, &message))).await;
    })
}
