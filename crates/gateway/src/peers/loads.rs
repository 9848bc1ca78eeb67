//! Telling other gateways of sends by datagrams, and hearing of theirs.
//!
//! A datagram that is lost is made good by the next one, as each holds all sends. In a large
//! installation the gateways of a failure domain tell each other, and one of them, the relay, takes
//! the domain's sums to the others and brings theirs back.

use crate::event;
use crate::node::Node;
use crate::peers::message;
use dispatch::load::{LoadReport, Reporter, Sender};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

/// The shortest time between two reports, in milliseconds.
const TELL_EVERY_MS: u64 = 40;
/// What each listening gateway adds to that time, in milliseconds: reports cost every gateway some
/// processor time, and their bytes between failure domains are paid for.
const TELL_EVERY_MS_PER_GATEWAY: u64 = 5;
/// The time after which an unchanged report is told again, in milliseconds; well within the time
/// for which a report counts.
const TELL_AGAIN_MS: u64 = 400;
/// The pause after a datagram that could not be received.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The largest datagram accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Tells and hears for as long as the process lives.
pub async fn run(node: Arc<Node>, socket: UdpSocket) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let mut teller = Teller { socket, told_ms: 0, known: 0 };
    let mut next_tell = Instant::now();
    loop {
        tokio::select! {
            received = teller.socket.recv_from(&mut datagram) => match received {
                Ok((length, _)) => hear(&node, &datagram[..length]),
                Err(_) => {
                    // A peer's port that nobody listens on may show up here, again and again.
                    node.metrics.count("peer_failures", "load_report");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            },
            () = sleep_until(next_tell) => {
                next_tell = Instant::now() + teller.tell(&node).await;
            }
        }
    }
}

fn hear(node: &Node, datagram: &[u8]) {
    let Some(report) = message::decode::<LoadReport>(datagram) else {
        node.metrics.count("peer_failures", "load_report");
        return;
    };
    // A relay's word on this gateway's own domain would count sends twice.
    let is_own = match &report.sender {
        Sender::Gateway(host) => *host == node.settings.host,
        Sender::FailureDomain(domain) => *domain == node.settings.failure_domain,
        Sender::RemoteDomains => false,
    };
    if !is_own {
        node.state().loads.apply_report(report, node.now_ms());
        node.capacity_freed.notify_waiters();
    }
}

/// What a gateway tells, and when it last did.
struct Teller {
    socket: UdpSocket,
    told_ms: u64,
    /// The gateways whose sends were known at the last look.
    known: usize,
}

impl Teller {
    /// Tells what is due and returns the time until the next look.
    async fn tell(&mut self, node: &Node) -> Duration {
        let now_ms = node.now_ms();
        let settings = &node.settings;
        let (near, relays) = {
            let mut state = node.state();
            state.loads.expire_reports(now_ms);
            let near = state.gateways.near(&settings.failure_domain);
            let near: Vec<SocketAddr> = near.map(|record| record.peers).collect();
            let mut reporting = state.loads.reporting_hosts();
            let is_relay =
                !state.gateways.is_small() && reporting.all(|host| settings.host < *host);
            let relays = is_relay.then(|| state.gateways.relays(&settings.failure_domain));
            (near, relays)
        };
        self.note_known(node);
        let reporter = Reporter {
            host: &settings.host,
            domain: &settings.failure_domain,
            incarnation: node.life,
        };
        let is_wanted = now_ms >= self.told_ms + TELL_AGAIN_MS;
        let (own, relayed) = {
            let mut state = node.state();
            let links = state.blocks.local_link_shares(state.gateway_ratio(), now_ms);
            let loads = &mut state.loads;
            let own = loads.report(&reporter, &links, is_wanted, now_ms);
            let relayed = relays.map(|relays| {
                let domain = loads.domain_report(&reporter, &links);
                (relays, domain, loads.remote_report(&reporter))
            });
            (own, relayed)
        };
        if let Some(own) = own {
            self.told_ms = now_ms;
            self.send(node, &own, &near).await;
        }
        if let Some((relays, domain, elsewhere)) = relayed {
            self.send(node, &domain, &relays).await;
            self.send(node, &elsewhere, &near).await;
        }
        Duration::from_millis(TELL_EVERY_MS + TELL_EVERY_MS_PER_GATEWAY * near.len() as u64)
    }

    /// Logs how many gateways' sends are known, whenever that changes.
    fn note_known(&mut self, node: &Node) {
        let count = node.state().loads.reporting_gateways();
        let before = std::mem::replace(&mut self.known, count);
        if count != before {
            event!(info, node.now_ms(), "gateways_reporting", { "count": count, "before": before });
        }
    }

    async fn send(&self, node: &Node, report: &LoadReport, listeners: &[SocketAddr]) {
        let datagram = message::encode(report);
        for listener in listeners {
            if self.socket.send_to(&datagram, listener).await.is_err() {
                node.metrics.count("peer_failures", "load_report");
            }
        }
    }
}
