//! Exchanges the slowdowns of servers with other gateways, by datagrams beside the load reports.

use crate::node::Node;
use crate::peers::message::{self, SlowdownMessage};
use crate::routing_state::RoutingState;
use dispatch::load::{SampleOrigin, SlowdownRows};
use dispatch::relays::Role;
use protocol::ids::{FailureDomain, HostName};
use std::net::SocketAddr;

/// The minimum interval between two messages, in milliseconds. Machines stay slow for seconds, and
/// each message costs a small host some processor time.
const INTERVAL_MS: u64 = 100;

/// The messages that are due, each with its recipients.
pub(super) type DueMessages = Vec<(Vec<u8>, Vec<SocketAddr>)>;

/// Sends what this gateway hears of slowdowns.
#[derive(Debug, Default)]
pub(super) struct SlowdownPublisher {
    sent_ms: u64,
    /// The number of messages to other failure domains.
    turn: usize,
}

impl SlowdownPublisher {
    /// Returns the messages that are due; `role` is this gateway's part in a large installation, and
    /// `None` in a small one.
    pub(super) fn due(
        &mut self,
        node: &Node,
        state: &mut RoutingState,
        role: Option<&Role>,
        now_ms: u64,
    ) -> DueMessages {
        if now_ms < self.sent_ms + INTERVAL_MS {
            return DueMessages::new();
        }
        self.sent_ms = now_ms;
        let domain = &node.settings.failure_domain;
        let mut messages = DueMessages::new();
        let mut recipients = match role {
            None => state.gateways.slowdown_recipients(domain),
            Some(Role::Relay) => {
                let rows = state.loads.take_slowdown_estimates(now_ms);
                if !rows.0.is_empty() {
                    node.metrics.count("slowdowns", "told");
                    let message = message::encode(&SlowdownMessage::Estimates(rows));
                    messages.push((message, state.gateways.slowdown_recipients(domain)));
                }
                self.turn = self.turn.wrapping_add(1);
                let loads = &state.loads;
                let relay_of = |remote: &FailureDomain| loads.relay_of(remote);
                state.gateways.entry_points(domain, relay_of, self.turn)
            }
            Some(Role::Reporter(relays)) => {
                relays.iter().filter_map(|relay| state.gateways.address_of(relay)).collect()
            }
        };
        recipients.retain(|address| state.gateways.reads_slowdowns(*address));
        if recipients.is_empty() {
            return messages;
        }
        let rows = state.loads.take_slowdown_samples(now_ms);
        if !rows.0.is_empty() {
            node.metrics.count("slowdowns", "sent");
            let (host, domain) = (node.settings.host.clone(), domain.clone());
            let message = SlowdownMessage::Samples { host, domain, rows };
            messages.push((message::encode(&message), recipients));
        }
        messages
    }
}

/// Applies a message; returns the relay to which it must be forwarded, if any.
pub(super) fn receive(
    node: &Node,
    message: &SlowdownMessage,
    from: SocketAddr,
) -> Option<SocketAddr> {
    match message {
        SlowdownMessage::Samples { host, domain, rows } => {
            receive_samples(node, host, domain, rows, from)
        }
        SlowdownMessage::Estimates(rows) => {
            let mut state = node.state();
            // A relay hears more of its failure domain than another one that is about to give way.
            let is_relay = state.relays.is_relay();
            let now_ms = node.now_ms();
            let ignored =
                if is_relay { 0 } else { state.loads.apply_slowdown_estimates(rows, now_ms) };
            drop(state);
            count(node, "learnt", ignored);
            None
        }
    }
}

fn receive_samples(
    node: &Node,
    host: &HostName,
    domain: &FailureDomain,
    rows: &SlowdownRows,
    from: SocketAddr,
) -> Option<SocketAddr> {
    if *host == node.settings.host {
        return None;
    }
    let is_remote = *domain != node.settings.failure_domain;
    let mut state = node.state();
    // Only a relay passes samples on, and only to other failure domains, so that none returns.
    let is_member = state.relays.is_relay() && !state.gateways.is_small() && !is_remote;
    let origin = if is_member { SampleOrigin::Member } else { SampleOrigin::Peer };
    let ignored = state.loads.apply_slowdown_samples(rows, origin, node.now_ms());
    let is_first_hand = state.gateways.address_of(host) == Some(from);
    let relay = state.relays.relay().filter(|_| is_remote && is_first_hand);
    let forward_to = relay.and_then(|relay| state.gateways.address_of(relay));
    let forward_to = forward_to.filter(|address| state.gateways.reads_slowdowns(*address));
    drop(state);
    count(node, "received", ignored);
    forward_to
}

fn count(node: &Node, kind: &str, ignored: usize) {
    node.metrics.count("slowdowns", kind);
    if ignored > 0 {
        node.metrics.count("slowdowns_ignored", "peer_rows");
    }
}
