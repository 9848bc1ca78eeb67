//! Following another gateway of the failure domain in place of the stores.

use crate::block_log::BlockEvent;
use crate::follow::{apply_operator_record, handle_registry_changes};
use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers::message::{self, FOLLOW_PATH, FollowAnswer, FollowRequest};
use platform::frames::KeyedRecord;
use platform::store::CONFIGURATION_KEY;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long an answer waits for something new.
const WAIT: Duration = Duration::from_millis(700);
/// How long an answer may take besides.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long changes gather before they are told.
const GATHER: Duration = Duration::from_millis(60);
/// The age of the other gateway's knowledge up to which it is followed, in milliseconds.
const MOST_AGE_MS: u64 = 2_600;

/// The connection to the gateway that is followed.
#[derive(Debug)]
pub struct Follower {
    link: Link,
    known: FollowRequest,
}

impl Follower {
    /// Follows the gateway at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { link: Link::new(address), known: FollowRequest::default() }
    }

    /// Returns the address of the gateway that is followed.
    pub const fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Learns what is new; says whether the other gateway keeps up with the stores.
    pub async fn learn(&mut self, node: &Node) -> bool {
        node.metrics.count("peer_calls", "follow");
        let body = message::encode(&self.known);
        let answer = self.link.call(Call::post(FOLLOW_PATH, body, WAIT + ANSWER_TIMEOUT)).await;
        let answer = answer.ok().filter(is_ok);
        let learnt = answer.and_then(|answer| message::decode::<FollowAnswer>(answer.body()));
        let Some(learnt) = learnt else {
            node.metrics.count("peer_failures", "follow");
            self.known = FollowRequest::default();
            return false;
        };
        self.known = learnt.next;
        let age_ms = learnt.age_ms;
        apply(node, learnt);
        node.note_store_age(age_ms);
        age_ms <= MOST_AGE_MS
    }
}

fn apply(node: &Node, learnt: FollowAnswer) {
    if let Some(record) = learnt.configuration {
        let record = KeyedRecord { key: CONFIGURATION_KEY.to_owned(), value: Some(record) };
        apply_operator_record(node, &record, "followed");
    }
    if let Some(clock_ms) = learnt.servers_clock_ms {
        node.note_servers_clock(clock_ms as f64);
    }
    let now_ms = node.now_ms();
    let mut state = node.state();
    let mut has_new_weights = false;
    for (model, version) in learnt.weights {
        has_new_weights |= state.note_weights(model, version, now_ms);
    }
    for (model, oldest_used) in learnt.oldest_used {
        state.blocks.retire(&model, oldest_used);
    }
    if learnt.is_whole {
        for (store, _) in state.blocks.dump() {
            state.apply_blocks(BlockEvent::Forgotten(store), now_ms);
        }
    }
    for event in learnt.blocks {
        state.apply_blocks(event, now_ms);
    }
    let changes = learnt.servers.map(|servers| state.registry.merge(servers, now_ms));
    drop(state);
    handle_registry_changes(node, changes.unwrap_or_default(), "followed");
    if has_new_weights {
        node.weights_changed.notify_one();
    }
}

/// Answers a follower once there is something new, or after a while.
pub async fn answer(node: &Node, known: FollowRequest) -> Option<FollowAnswer> {
    let until = Instant::now() + WAIT;
    loop {
        let learnt = node.has_learnt.notified();
        let current = current(node);
        let is_new = known.life != current.life
            || known.configuration < current.configuration
            || known.servers != current.servers
            || known.blocks != current.blocks;
        if is_new || Instant::now() >= until {
            break;
        }
        // Either something is new or the wait is over; both are looked at above.
        drop(tokio::time::timeout_at(until, learnt).await);
    }
    tokio::time::sleep(GATHER).await;
    build(node, known)
}

fn current(node: &Node) -> FollowRequest {
    let configuration = node.in_force().map_or(0, |held| held.configuration.version.value());
    let state = node.state();
    FollowRequest {
        life: node.life,
        configuration,
        servers: state.registry.generation(),
        blocks: state.block_log.end(),
    }
}

fn build(node: &Node, known: FollowRequest) -> Option<FollowAnswer> {
    let age_ms = node.store_age_ms()?;
    let next = current(node);
    let in_force = node.in_force();
    let is_same_life = known.life == node.life;
    let state = node.state();
    let kept = is_same_life.then(|| state.block_log.since(known.blocks)).flatten();
    let whole = || {
        let reports = state.blocks.dump().into_iter();
        reports.map(|(store, report)| BlockEvent::Reported(store, report)).collect()
    };
    let has_servers = !is_same_life || known.servers != next.servers;
    Some(FollowAnswer {
        next,
        age_ms,
        configuration: in_force
            .filter(|held| held.configuration.version.value() > known.configuration)
            .map(|held| held.record.clone()),
        weights: state.named_versions(),
        servers: has_servers.then(|| state.registry.snapshot()),
        is_whole: kept.is_none(),
        blocks: kept.unwrap_or_else(whole),
        oldest_used: state.blocks.oldest_used(),
        servers_clock_ms: node.to_servers_clock_ms(node.now_ms()),
    })
}
