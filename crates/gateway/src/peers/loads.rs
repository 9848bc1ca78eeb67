//! Exchanges load reports with other gateways by datagrams, and receives those on streams.
//!
//! Each report holds the sender's complete load, so the next one makes up for a lost datagram. In a
//! large installation the gateways of a failure domain report to each other. One of them, the
//! relay, sends the domain's aggregated load to the other domains and forwards theirs to its
//! domain.

use crate::event;
use crate::node::Node;
use crate::peers::message::{self, StreamMessage};
use crate::peers::streams;
use dispatch::load::{LoadReport, Reporter, Sender};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

/// The minimum interval between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 40;
/// The addition to that interval for each recipient, in milliseconds: reports cost every gateway
/// some processor time, and their bytes between failure domains are paid for.
const REPORT_INTERVAL_MS_PER_GATEWAY: u64 = 5;
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
    let mut publisher = LoadPublisher { socket, sent_ms: 0, reporting: 0 };
    let mut next_publish = Instant::now();
    loop {
        tokio::select! {
            received = publisher.socket.recv_from(&mut datagram) => match received {
                Ok((length, from)) => receive(&node, &datagram[..length], from),
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

fn receive(node: &Node, datagram: &[u8], from: SocketAddr) {
    let Some(report) = message::decode::<LoadReport>(datagram) else {
        if let Some(message) = message::decode::<StreamMessage>(datagram) {
            return streams::receive(node, message, from);
        }
        node.metrics.count("peer_failures", "load_report");
        return;
    };
    // A relay's report on the local domain would count the domain's load twice.
    let is_local = match &report.sender {
        Sender::Gateway(host) => *host == node.settings.host,
        Sender::FailureDomain(domain) => *domain == node.settings.failure_domain,
        Sender::RemoteDomains => false,
    };
    if !is_local {
        let mut state = node.state();
        if let Sender::Gateway(host) = &report.sender {
            state.gateways.record_address(host, report.incarnation, from);
        }
        state.loads.apply_report(report, node.now_ms());
        drop(state);
        node.capacity_freed.notify_waiters();
    }
}

/// Sends this gateway's load reports.
struct LoadPublisher {
    socket: Arc<UdpSocket>,
    sent_ms: u64,
    /// The number of gateways that were reporting at the last check.
    reporting: usize,
}

impl LoadPublisher {
    /// Sends the reports that are due and returns the time until the next call.
    async fn publish(&mut self, node: &Node) -> Duration {
        let now_ms = node.now_ms();
        let settings = &node.settings;
        let (recipients, relays) = {
            let mut state = node.state();
            state.loads.expire_reports(now_ms);
            let recipients = state.gateways.report_recipients(&settings.failure_domain);
            let recipients: Vec<SocketAddr> =
                recipients.map(|record| record.peer_address).collect();
            let mut reporting = state.loads.reporting_hosts();
            let is_relay =
                !state.gateways.is_small() && reporting.all(|host| settings.host < *host);
            let relays = is_relay.then(|| state.gateways.relays(&settings.failure_domain));
            (recipients, relays)
        };
        self.log_reporting(node);
        streams::repeat(node);
        let reporter = Reporter {
            host: &settings.host,
            domain: &settings.failure_domain,
            incarnation: node.incarnation,
        };
        let is_due = now_ms >= self.sent_ms + REPORT_REPEAT_MS;
        let (local, relayed) = {
            let mut state = node.state();
            let links = state.blocks.local_link_shares(state.gateway_ratio(), now_ms);
            let loads = &mut state.loads;
            let local = loads.report(&reporter, &links, is_due, now_ms);
            let relayed = relays.map(|relays| {
                let domain = loads.domain_report(&reporter, &links);
                (relays, domain, loads.remote_report(&reporter))
            });
            (local, relayed)
        };
        if let Some(local) = local {
            self.sent_ms = now_ms;
            self.send(node, &local, &recipients).await;
        }
        if let Some((relays, domain, remote)) = relayed {
            self.send(node, &domain, &relays).await;
            self.send(node, &remote, &recipients).await;
        }
        Duration::from_millis(
            REPORT_INTERVAL_MS + REPORT_INTERVAL_MS_PER_GATEWAY * recipients.len() as u64,
        )
    }

    /// Logs the number of reporting gateways whenever it changes.
    fn log_reporting(&mut self, node: &Node) {
        let count = node.state().loads.reporting_gateways();
        let before = std::mem::replace(&mut self.reporting, count);
        if count != before {
            event!(info, node.now_ms(), "gateways_reporting", { "count": count, "before": before });
        }
    }

    async fn send(&self, node: &Node, report: &LoadReport, recipients: &[SocketAddr]) {
        let datagram = message::encode(report);
        for recipient in recipients {
            if self.socket.send_to(&datagram, recipient).await.is_err() {
                node.metrics.count("peer_failures", "load_report");
            }
        }
    }
}
