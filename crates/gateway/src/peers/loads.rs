//! Telling other gateways of own sends by datagrams, and hearing of theirs.
//!
//! A datagram that is lost is made good by the next one, as each holds all sends.

use crate::event;
use crate::node::Node;
use crate::peers::message;
use dispatch::load::LoadReport;
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
/// The largest datagram accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Tells and hears for as long as the process lives.
pub async fn run(node: Arc<Node>, socket: UdpSocket) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    let mut told_ms = 0;
    let mut known = 0;
    let mut next_tell = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut datagram) => match received {
                Ok((length, _)) => hear(&node, &datagram[..length]),
                // A peer's port that nobody listens on shows up here; the peer is just not there.
                Err(_) => node.metrics.count("peer_failures", "load_report"),
            },
            () = sleep_until(next_tell) => {
                let now_ms = node.now_ms();
                node.knowledge().loads.expire_reports(now_ms);
                note_known(&node, &mut known);
                let listeners = listeners(&node);
                if let Some(report) = report(&node, now_ms >= told_ms + TELL_AGAIN_MS) {
                    tell(&node, &socket, &report, &listeners).await;
                    told_ms = now_ms;
                }
                let every_ms = TELL_EVERY_MS + TELL_EVERY_MS_PER_GATEWAY * listeners.len() as u64;
                next_tell = Instant::now() + Duration::from_millis(every_ms);
            }
        }
    }
}

fn hear(node: &Node, datagram: &[u8]) {
    let Some(report) = message::decode::<LoadReport>(datagram) else {
        node.metrics.count("peer_failures", "load_report");
        return;
    };
    if report.host != node.settings.host {
        node.knowledge().loads.note_report(report, node.now_ms());
        node.has_room.notify_one();
    }
}

/// Logs how many gateways' sends are known, whenever that changes.
fn note_known(node: &Node, known: &mut usize) {
    let count = node.knowledge().loads.reporting_gateways();
    let before = std::mem::replace(known, count);
    if count != before {
        event!(info, node.now_ms(), "gateways_reporting", { "count": count, "before": before });
    }
}

/// Returns the gateways that send to the same servers.
fn listeners(node: &Node) -> Vec<SocketAddr> {
    let knowledge = node.knowledge();
    let near = knowledge.gateways.near(&node.settings.failure_domain);
    near.map(|record| record.peers).collect()
}

/// Returns a report of own sends if they changed or one is wanted.
fn report(node: &Node, is_wanted: bool) -> Option<LoadReport> {
    node.knowledge().loads.report(&node.settings.host, node.life, is_wanted)
}

async fn tell(node: &Node, socket: &UdpSocket, report: &LoadReport, listeners: &[SocketAddr]) {
    let datagram = message::encode(report);
    for listener in listeners {
        if socket.send_to(&datagram, listener).await.is_err() {
            node.metrics.count("peer_failures", "load_report");
        }
    }
}
