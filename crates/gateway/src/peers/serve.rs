//! Answers the calls of other gateways.

use crate::answer_memory::HeldBody;
use crate::cold;
use crate::connection_limits::Side;
use crate::crashes::{self, EVIDENCE_PATH, EvidenceMessage};
use crate::limits::{self, COLD_GRANT_PATH, ColdGrantRequest, GRANT_PATH, GrantRequest};
use crate::listener::{self, Reply};
use crate::memory::Purpose;
use crate::node::Node;
use crate::peers::follow;
use crate::peers::message::{
    self, FOLLOW_PATH, FollowRequest, PeerUpdate, SNAPSHOT_PATH, Snapshot, TARGETS_PATH,
    UPDATE_PATH,
};
use crate::peers::terms::{self, TERMS_PATH, TermsMessage};
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use crate::target_weights;
use crate::tunnel::{self, TUNNEL_PATH};
use bytes::Bytes;
use dispatch::cold::ColdReport;
use http::{Request, StatusCode};
use http_body::Body;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The largest message accepted, in bytes.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// How long a message may take to arrive. The largest takes a quarter of a second on the slowest
/// links.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves other gateways.
pub async fn accept(node: Arc<Node>, listener: TcpListener) {
    let answering = Arc::clone(&node);
    let answer = move |request, from| reply(Arc::clone(&answering), request, from);
    listener::accept(node, Side::Peers, listener, answer).await;
}

async fn reply(node: Arc<Node>, request: Request<Incoming>, from: SocketAddr) -> Reply {
    let path = request.uri().path().to_owned();
    let unavailable = (StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    match path.as_str() {
        SNAPSHOT_PATH => snapshot(&node).map_or(unavailable, |snapshot| {
            let (era, until) = (snapshot.store_era, snapshot.servers_until);
            let places = (&snapshot.evacuations, cold::reports(&node));
            let targets = &snapshot.targets;
            let bytes = message::encode_with_four(&snapshot, &era, &until, targets, &places);
            (StatusCode::OK, bytes)
        }),
        TARGETS_PATH => {
            let report = target_weights::report(&node, node.now_ms());
            (StatusCode::OK, message::encode(&report))
        }
        FOLLOW_PATH => match decode_body::<FollowRequest>(&node, request).await {
            Some(position) => follow::answer(&node, position).await.map_or(unavailable, |answer| {
                let (era, until) = (answer.store_era, answer.servers_until);
                let places = (&answer.evacuations, cold::reports(&node));
                let targets = &answer.targets;
                let bytes = message::encode_with_four(&answer, &era, &until, targets, &places);
                (StatusCode::OK, bytes)
            }),
            None => (StatusCode::BAD_REQUEST, Vec::new()),
        },
        UPDATE_PATH => match decode_update(&node, request).await {
            Some(update) => {
                apply_update(&node, update);
                (StatusCode::OK, Vec::new())
            }
            None => (StatusCode::BAD_REQUEST, Vec::new()),
        },
        EVIDENCE_PATH => match decode_body::<EvidenceMessage>(&node, request).await {
            Some(message) => {
                crashes::receive(&node, message);
                (StatusCode::OK, Vec::new())
            }
            None => (StatusCode::BAD_REQUEST, Vec::new()),
        },
        TERMS_PATH => match decode_terms(&node, request).await {
            Some((message, cold)) => {
                terms::receive(&node, message, &cold);
                (StatusCode::OK, Vec::new())
            }
            None => (StatusCode::BAD_REQUEST, Vec::new()),
        },
        GRANT_PATH => match decode_body::<GrantRequest>(&node, request).await {
            Some(question) => (StatusCode::OK, message::encode(&limits::answer(&node, question))),
            None => (StatusCode::BAD_REQUEST, Vec::new()),
        },
        COLD_GRANT_PATH => match decode_body::<ColdGrantRequest>(&node, request).await {
            Some(question) => {
                (StatusCode::OK, message::encode(&limits::answer_cold(&node, question)))
            }
            None => (StatusCode::BAD_REQUEST, Vec::new()),
        },
        TUNNEL_PATH => (tunnel::accept(&node, request, from).await, Vec::new()),
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    }
}

async fn decode_body<T: DeserializeOwned>(node: &Node, request: Request<Incoming>) -> Option<T> {
    message::decode(&read_body(node, request).await?)
}

async fn decode_terms(
    node: &Node,
    request: Request<Incoming>,
) -> Option<(TermsMessage, Vec<ColdReport>)> {
    message::decode_with(&read_body(node, request).await?)
}

async fn decode_update(node: &Node, request: Request<Incoming>) -> Option<PeerUpdate> {
    let (update, store_era) = message::decode_with(&read_body(node, request).await?)?;
    Some(PeerUpdate { store_era, ..update })
}

/// Reads a message; gateways send the length of each.
async fn read_body(node: &Node, request: Request<Incoming>) -> Option<Bytes> {
    let body = request.into_body();
    body.size_hint().upper().filter(|bytes| *bytes <= MAX_MESSAGE_BYTES)?;
    let reading = HeldBody::read(body, Arc::clone(&node.memory), Purpose::Calls);
    let body = tokio::time::timeout(MESSAGE_TIMEOUT, reading).await.ok()?;
    body.ok().map(HeldBody::into_bytes)
}

fn snapshot(node: &Node) -> Option<Snapshot> {
    let age_ms = node.store_age_ms()?;
    let configuration = node.in_force().map(|held| held.record.clone());
    let store_era = node.eras().known();
    let targets = Some(target_weights::report(node, node.now_ms()));
    let state = node.state();
    Some(Snapshot {
        age_ms,
        configuration,
        weights: state.target_versions(),
        servers: state.registry.snapshot(),
        gateways: state.gateways.records(),
        store_era,
        servers_until: state.registry.read_until(),
        targets,
        evacuations: Some(state.evacuations.report(node.now_ms())),
        cold: Vec::new(),
    })
}

fn apply_update(node: &Node, update: PeerUpdate) {
    node.observe_peer_era(update.store_era);
    let now_ms = node.now_ms();
    let mut state = node.state();
    if !update.occupied.is_empty() || !update.loaded.is_empty() {
        state.last_rollout_sign_ms = Some(now_ms);
    }
    for (server, for_ms) in update.occupied {
        state.loads.occupy(&server, now_ms + for_ms);
    }
    for (model, oldest_used) in update.oldest_used {
        state.blocks.retirements.retire(&model, oldest_used);
    }
    for (server, model, version) in update.loaded {
        state.registry.record_version(&server, &model, version);
        state.loads.release(&server);
    }
    drop(state);
    for (id, incarnation) in update.leaving {
        server_answers::record_leaving(
            node,
            &ServerIdentity { id, incarnation },
            AnswerSource::Peer,
        );
    }
}
