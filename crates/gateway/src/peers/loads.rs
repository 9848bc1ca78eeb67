//! Exchanges load reports with other gateways by datagrams, and receives those on streams.
//!
//! Each report holds the sender's complete load, so the next one makes up for a lost datagram. In a
//! large installation the gateways of a failure domain report to one of them, the relay. It sends
//! the domain's load to the relays of the other domains, and a digest of the load of all gateways to
//! those of its own.

use crate::event;
use crate::node::Node;
use crate::peers::admitted_work::{self, WorkPublisher};
use crate::peers::message::{self, DigestMessage, SlowdownMessage, StreamMessage, WorkMessage};
use crate::peers::slowdowns::{self, DueMessages, SlowdownPublisher};
use crate::peers::streams;
use crate::routing_state::RoutingState;
use dispatch::load::{GatewayTag, LoadDigest, LoadReport, Reporter, Sender};
use dispatch::relays::Role;
use protocol::ids::FailureDomain;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

/// The minimum interval between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 40;
/// The addition to that interval for each recipient in a small installation, in milliseconds: reports
/// cost every gateway some processor time, and their bytes between failure domains are paid for.
const REPORT_INTERVAL_MS_PER_GATEWAY: u64 = 5;
/// The addition to that interval for each gateway of the failure domain in a large installation, in
/// milliseconds: the relay sends a digest to each of them.
const DIGEST_INTERVAL_MS_PER_GATEWAY: u64 = 2;
/// The interval after which an unchanged report is sent again, in milliseconds; well below the TTL
/// of a report.
const REPORT_REPEAT_MS: u64 = 400;
/// The delay after an error on receiving a datagram.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The largest datagram accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sends and receives load reports until the process exits.
pub async fn run(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let mut publisher = LoadPublisher {
        socket,
        sent_ms: 0,
        turn: 0,
        reporting: 0,
        slowdowns: SlowdownPublisher::default(),
        work: WorkPublisher::default(),
    };
    let mut next_publish = Instant::now();
    loop {
        tokio::select! {
            received = publisher.socket.recv_from(&mut datagram) => match received {
                Ok((length, from)) => {
                    if let Some(relay) = receive(&node, &datagram[..length], from) {
                        publisher.send(&node, &datagram[..length], &[relay]).await;
                    }
                }
                Err(_) => {
                    // Datagrams to a peer's closed port may cause such errors repeatedly.
                    node.metrics.count("peer_failures", "load_report");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
            () = sleep_until(next_publish) => {
                next_publish = Instant::now() + publisher.publish(&node).await;
            }
        }
    }
}

/// Applies a datagram; returns the relay to which it must be forwarded, if any.
fn receive(node: &Node, datagram: &[u8], from: SocketAddr) -> Option<SocketAddr> {
    if let Some(report) = message::decode::<LoadReport>(datagram) {
        return receive_report(node, report, from);
    }
    if let Some(DigestMessage::Digest(digest)) = message::decode(datagram) {
        receive_digest(node, &digest, from);
    } else if let Some(message) = message::decode::<SlowdownMessage>(datagram) {
        return slowdowns::receive(node, &message, from);
    } else if let Some(message) = message::decode::<StreamMessage>(datagram) {
        streams::receive(node, message, from);
    } else if let Some(WorkMessage::Sums(report)) = message::decode(datagram) {
        admitted_work::receive(node, report);
    } else {
        node.metrics.count("peer_failures", "load_report");
    }
    None
}

fn receive_report(node: &Node, report: LoadReport, from: SocketAddr) -> Option<SocketAddr> {
    // A relay's report on the local domain would count the domain's load twice.
    let (is_own, is_remote) = match &report.sender {
        Sender::Gateway(host) => (*host == node.settings.host, false),
        Sender::FailureDomain(domain) => (*domain == node.settings.failure_domain, true),
        Sender::RemoteDomains => (false, false),
    };
    if is_own {
        return None;
    }
    let mut state = node.state();
    if let Sender::Gateway(host) = &report.sender {
        state.gateways.record_address(host, report.incarnation, from);
        if state.gateways.address_of(host).is_none() {
            state.cold.record_unlisted(node.now_ms());
        }
    }
    // What another gateway has forwarded does not come from its writer's address.
    let is_first_hand = state.gateways.address_of(&report.host) == Some(from);
    let relay = state.relays.relay().filter(|_| is_remote && is_first_hand);
    let forward_to = relay.and_then(|relay| state.gateways.address_of(relay));
    state.loads.apply_report(report, node.now_ms());
    drop(state);
    node.capacity_freed.notify_waiters();
    forward_to
}

fn receive_digest(node: &Node, digest: &LoadDigest, from: SocketAddr) {
    if digest.host == node.settings.host {
        return;
    }
    let now_ms = node.now_ms();
    let mut state = node.state();
    state.gateways.record_address(&digest.host, digest.incarnation, from);
    let local = GatewayTag::new(&node.settings.host);
    let covers_local = match state.relays.is_relay() {
        true => digest.covered_report(local).is_some(),
        false => state.loads.apply_digest(digest, local, now_ms),
    };
    state.relays.record_digest(&digest.host, digest.members.len(), covers_local, now_ms);
    drop(state);
    node.capacity_freed.notify_waiters();
}

/// Sends this gateway's load reports.
struct LoadPublisher {
    socket: Arc<UdpSocket>,
    sent_ms: u64,
    /// The number of messages to other failure domains.
    turn: usize,
    /// The number of gateways that were reporting at the last check.
    reporting: usize,
    slowdowns: SlowdownPublisher,
    /// The messages on admitted work.
    work: WorkPublisher,
}

impl LoadPublisher {
    /// Sends the messages that are due and returns the time until the next call.
    async fn publish(&mut self, node: &Node) -> Duration {
        self.log_reporting(node);
        streams::repeat(node);
        let (messages, interval_ms) = self.due(node);
        for (datagram, recipients) in messages {
            self.send(node, &datagram, &recipients).await;
        }
        Duration::from_millis(interval_ms)
    }

    /// Returns the messages that are due, and the time until the next call in milliseconds.
    fn due(&mut self, node: &Node) -> (DueMessages, u64) {
        let now_ms = node.now_ms();
        let domain = &node.settings.failure_domain;
        let mut state = node.state();
        state.loads.expire_reports(now_ms);
        let mut recipients = state.gateways.report_recipients(domain);
        let mut messages = DueMessages::new();
        if state.gateways.is_small() {
            let interval_ms =
                REPORT_INTERVAL_MS + REPORT_INTERVAL_MS_PER_GATEWAY * recipients.len() as u64;
            messages.extend(self.local_report(node, &mut state, recipients, now_ms));
            messages.extend(self.slowdowns.due(node, &mut state, None, now_ms));
            messages.extend(self.work.due(node, &mut state, None, now_ms));
            return (messages, interval_ms);
        }
        let (rank, members) = (state.gateways.rank_in(domain), state.loads.members());
        let role = state.relays.update(rank, members, now_ms);
        messages.extend(self.work.due(node, &mut state, Some(&role), now_ms));
        match &role {
            Role::Relay => {
                messages.extend(self.relay_messages(node, &mut state, &recipients, now_ms));
            }
            Role::Reporter(relays) => {
                let addresses = relays.iter().filter_map(|relay| state.gateways.address_of(relay));
                recipients.extend(addresses);
            }
        }
        messages.extend(self.local_report(node, &mut state, recipients, now_ms));
        messages.extend(self.slowdowns.due(node, &mut state, Some(&role), now_ms));
        let gateways = state.gateways.count_in(domain) as u64;
        (messages, REPORT_INTERVAL_MS + DIGEST_INTERVAL_MS_PER_GATEWAY * gateways)
    }

    /// Returns the report of the local load if it is due.
    fn local_report(
        &mut self,
        node: &Node,
        state: &mut RoutingState,
        recipients: Vec<SocketAddr>,
        now_ms: u64,
    ) -> Option<(Vec<u8>, Vec<SocketAddr>)> {
        let is_due = now_ms >= self.sent_ms + REPORT_REPEAT_MS;
        let links = state.blocks.local_link_shares(state.gateway_ratio(), now_ms);
        let report = state.loads.report(&reporter(node), &links, is_due, now_ms)?;
        self.sent_ms = now_ms;
        Some((message::encode(&report), recipients))
    }

    /// Returns what a relay sends to its failure domain and to the others. `others` are the gateways
    /// of its domain that read no digests.
    fn relay_messages(
        &mut self,
        node: &Node,
        state: &mut RoutingState,
        others: &[SocketAddr],
        now_ms: u64,
    ) -> DueMessages {
        let (domain, reporter) = (&node.settings.failure_domain, reporter(node));
        let links = state.blocks.local_link_shares(state.gateway_ratio(), now_ms);
        let loads = &state.loads;
        let relay_of = |remote: &FailureDomain| loads.relay_of(remote);
        let entry_points = state.gateways.entry_points(domain, relay_of, self.turn);
        self.turn = self.turn.wrapping_add(1);
        let loads = &mut state.loads;
        let digest = DigestMessage::Digest(loads.digest(&reporter, &links, now_ms));
        let mut messages = vec![
            (message::encode(&digest), state.gateways.digest_recipients(domain)),
            (message::encode(&loads.domain_report(&reporter, &links)), entry_points),
        ];
        if !others.is_empty() {
            messages.push((message::encode(&loads.remote_report(&reporter)), others.to_vec()));
        }
        messages
    }

    /// Logs the number of reporting gateways whenever it changes.
    fn log_reporting(&mut self, node: &Node) {
        let count = node.state().loads.reporting_gateways();
        let before = std::mem::replace(&mut self.reporting, count);
        if count != before {
            event!(info, node.now_ms(), "gateways_reporting", { "count": count, "before": before });
        }
    }

    async fn send(&self, node: &Node, datagram: &[u8], recipients: &[SocketAddr]) {
        for recipient in recipients {
            if self.socket.send_to(datagram, recipient).await.is_err() {
                node.metrics.count("peer_failures", "load_report");
            }
        }
    }
}

fn reporter(node: &Node) -> Reporter<'_> {
    let settings = &node.settings;
    Reporter {
        host: &settings.host,
        domain: &settings.failure_domain,
        incarnation: node.incarnation,
    }
}
