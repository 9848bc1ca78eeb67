//! Records of streams, exchanged with other gateways by datagrams.
//!
//! A record leaves before the first event of its stream is passed on and is repeated once, so that
//! it survives both the end of its gateway and a lost datagram.

use crate::event;
use crate::node::Node;
use crate::peers::message::{self, StreamMessage};
use crate::routing_state::RoutingState;
use dispatch::streams::{self, Holder, StreamKey, StreamOrigin, StreamRecord};
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The maximum number of records in one datagram, which keeps it below a usual packet size.
const MAX_RECORDS_PER_DATAGRAM: usize = 16;
/// The waits after each sending of a query. The longest round trip takes some 30 ms.
const QUERY_WAITS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(80), Duration::from_millis(120)];

/// The state of the exchange.
#[derive(Debug, Default)]
pub struct StreamExchange {
    /// The peers' datagram socket; unset without a peers' listener.
    socket: OnceLock<Arc<UdpSocket>>,
    /// The records sent since the last repetition.
    unrepeated: Mutex<Vec<StreamRecord>>,
    /// The peers that answered each pending query without a record.
    queries: Mutex<HashMap<StreamKey, HashSet<SocketAddr>>>,
    /// Woken when a record or an answer without one arrives.
    replied: Notify,
}

impl StreamExchange {
    /// Sets the socket on which records are sent.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // A gateway has one socket, so this is called once.
        drop(self.socket.set(socket));
    }

    fn lock_queries(&self) -> MutexGuard<'_, HashMap<StreamKey, HashSet<SocketAddr>>> {
        self.queries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_unrepeated(&self) -> MutexGuard<'_, Vec<StreamRecord>> {
        self.unrepeated.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, node: &Node, message: &StreamMessage, recipient: SocketAddr) {
        let Some(socket) = self.socket.get() else { return };
        if socket.try_send_to(&message::encode(message), recipient).is_err() {
            node.metrics.count("peer_failures", "stream_record");
        }
    }
}

/// Records a stream that begins at this gateway, and sends the record to its holders.
pub fn announce(node: &Node, key: StreamKey, origin: StreamOrigin) {
    let record = StreamRecord { key, origin, age_ms: 0 };
    let now_ms = node.now_ms();
    let recipients = {
        let mut state = node.state();
        state.streams.add(record.clone(), now_ms);
        holders(node, &state, &key)
    };
    node.metrics.count("streams", "recorded");
    let exchange = &node.stream_exchange;
    let message = StreamMessage::Records(vec![record.clone()]);
    for recipient in recipients {
        exchange.send(node, &message, recipient);
    }
    exchange.lock_unrepeated().push(record);
}

/// Sends the records since the last call once more.
pub fn repeat(node: &Node) {
    let records = std::mem::take(&mut *node.stream_exchange.lock_unrepeated());
    send_to_holders(node, &records);
}

/// Sends all records to their holders, because this process ends.
pub fn hand_over(node: &Node) {
    let records = node.state().streams.records(node.now_ms());
    event!(info, node.now_ms(), "streams_handed_over", { "records": records.len() });
    send_to_holders(node, &records);
}

fn send_to_holders(node: &Node, records: &[StreamRecord]) {
    let mut by_recipient: HashMap<SocketAddr, Vec<StreamRecord>> = HashMap::new();
    for record in records {
        for recipient in holders(node, &node.state(), &record.key) {
            by_recipient.entry(recipient).or_default().push(record.clone());
        }
    }
    for (recipient, records) in by_recipient {
        for batch in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            let message = StreamMessage::Records(batch.to_vec());
            node.stream_exchange.send(node, &message, recipient);
        }
    }
}

/// Applies a peer's message and answers a query.
pub fn receive(node: &Node, message: StreamMessage, from: SocketAddr) {
    let now_ms = node.now_ms();
    let exchange = &node.stream_exchange;
    match message {
        StreamMessage::Records(records) => {
            let mut state = node.state();
            records.into_iter().for_each(|record| state.streams.add(record, now_ms));
            drop(state);
            exchange.replied.notify_waiters();
        }
        StreamMessage::Query(key) => {
            let record = node.state().streams.record(&key, now_ms);
            let answer = record
                .map_or(StreamMessage::Unknown(key), |record| StreamMessage::Records(vec![record]));
            exchange.send(node, &answer, from);
        }
        StreamMessage::Unknown(key) => {
            if let Some(answered) = exchange.lock_queries().get_mut(&key) {
                answered.insert(from);
            }
            exchange.replied.notify_waiters();
        }
    }
}

/// Finds the record of what began a stream: among those held here, then by a query of peers.
pub async fn find(node: &Node, key: StreamKey) -> Option<StreamOrigin> {
    let queried = {
        let state = node.state();
        if let Some(origin) = state.streams.origin(&key, node.now_ms()) {
            return Some(origin.clone());
        }
        queried(node, &state, &key)
    };
    if queried.is_empty() {
        return None;
    }
    node.stream_exchange.lock_queries().insert(key, HashSet::new());
    let result = query(node, key, &queried).await;
    node.stream_exchange.lock_queries().remove(&key);
    node.metrics.count("streams", if result.is_some() { "found" } else { "not_found" });
    if result.is_some() {
        // Holders may have ended since the stream began.
        let record = node.state().streams.record(&key, node.now_ms());
        send_to_holders(node, record.as_slice());
    }
    result
}

async fn query(node: &Node, key: StreamKey, queried: &[SocketAddr]) -> Option<StreamOrigin> {
    let exchange = &node.stream_exchange;
    for wait in QUERY_WAITS {
        let answered = exchange.lock_queries().get(&key).cloned().unwrap_or_default();
        for peer in queried.iter().filter(|peer| !answered.contains(*peer)) {
            exchange.send(node, &StreamMessage::Query(key), *peer);
        }
        let resend_at = Instant::now() + wait;
        loop {
            let replied = exchange.replied.notified();
            if let Some(origin) = node.state().streams.origin(&key, node.now_ms()) {
                return Some(origin.clone());
            }
            let is_unknown_to_all = exchange
                .lock_queries()
                .get(&key)
                .is_some_and(|answered| queried.iter().all(|peer| answered.contains(peer)));
            if is_unknown_to_all {
                return None;
            }
            if tokio::time::timeout_at(resend_at, replied).await.is_err() {
                break;
            }
        }
    }
    None
}

fn holders(node: &Node, state: &RoutingState, key: &StreamKey) -> SmallVec<[SocketAddr; 12]> {
    with_peers(node, state, |peers| {
        streams::holders(key, &node.settings.failure_domain, peers).into_iter().collect()
    })
}

fn queried(node: &Node, state: &RoutingState, key: &StreamKey) -> SmallVec<[SocketAddr; 12]> {
    let is_small = state.gateways.is_small();
    with_peers(node, state, |peers| streams::queried(key, is_small, peers))
}

/// Returns the addresses of the peers that a function chooses by index.
fn with_peers(
    node: &Node,
    state: &RoutingState,
    choose: impl FnOnce(&[Holder<'_>]) -> SmallVec<[usize; 12]>,
) -> SmallVec<[SocketAddr; 12]> {
    let local_domain = &node.settings.failure_domain;
    let reports = |domain| state.gateways.is_small() || domain == local_domain;
    let records: Vec<_> = state.gateways.peers().collect();
    let peers: Vec<Holder<'_>> = records
        .iter()
        .map(|record| Holder {
            host: &record.host,
            domain: &record.failure_domain,
            is_live: !reports(&record.failure_domain) || state.loads.is_reporting(&record.host),
        })
        .collect();
    choose(&peers).into_iter().map(|index| records[index].peer_address).collect()
}
