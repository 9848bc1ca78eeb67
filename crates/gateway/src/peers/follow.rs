//! Follows another gateway of the failure domain in place of the stores.

use crate::block_log::BlockEvent;
use crate::cold;
use crate::evacuations;
use crate::follow::{apply_operator_record, handle_registry_changes};
use crate::link::{Call, Link, is_ok};
use crate::node::Node;
use crate::peers::Spread;
use crate::peers::failures;
use crate::peers::message::{self, FOLLOW_PATH, FollowAnswer, FollowRequest};
use crate::routing_state::Found;
use crate::target_weights;
use platform::frames::KeyedRecord;
use platform::store::CONFIGURATION_KEY;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long an answer waits for a change.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// How long an answer may take in addition to that wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long changes are gathered before an answer is sent.
const BATCH_DELAY: Duration = Duration::from_millis(60);
/// The age of the other gateway's state up to which it is followed, in milliseconds.
const MAX_AGE_MS: u64 = 2_600;

/// The connection to the gateway that is followed.
#[derive(Debug)]
pub struct Follower {
    link: Link,
    position: FollowRequest,
    reports_evacuations: bool,
}

impl Follower {
    /// Follows the gateway at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            link: Link::new(address),
            position: FollowRequest::default(),
            reports_evacuations: true,
        }
    }

    /// Returns the address of the gateway that is followed.
    pub const fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Returns whether the other gateway's last answer carried the evacuations.
    pub const fn reports_evacuations(&self) -> bool {
        self.reports_evacuations
    }

    /// Polls for changes and applies them; returns whether the other gateway keeps up with the
    /// stores.
    pub async fn poll(&mut self, node: &Node) -> bool {
        node.metrics.count("peer_calls", "follow");
        let body = message::encode(&self.position);
        let asked_ms = node.now_ms();
        let response =
            self.link.call(Call::post(FOLLOW_PATH, body, POLL_WAIT + ANSWER_TIMEOUT)).await;
        let response = response
            .inspect_err(|error| failures::record(node, self.address(), error))
            .ok()
            .filter(is_ok);
        let answer = response.and_then(|response| message::decode_with_four(response.body()));
        let answer =
            answer.map(|(answer, store_era, servers_until, targets, (evacuations, cold))| {
                FollowAnswer { store_era, servers_until, targets, evacuations, cold, ..answer }
            });
        let Some(answer) = answer else {
            node.metrics.count("peer_failures", "follow");
            self.position = FollowRequest::default();
            return false;
        };
        self.position = answer.next;
        let age_ms = answer.age_ms;
        self.reports_evacuations = answer.evacuations.is_some();
        apply(node, answer, asked_ms);
        node.record_store_age(age_ms);
        age_ms <= MAX_AGE_MS
    }
}

fn apply(node: &Node, answer: FollowAnswer, asked_ms: u64) {
    node.observe_peer_era(answer.store_era);
    evacuations::merge(node, answer.evacuations.as_ref(), "followed");
    if let Some(record) = answer.configuration {
        let record = KeyedRecord { key: CONFIGURATION_KEY.to_owned(), value: Some(record) };
        apply_operator_record(node, &record, Found::Listed, "followed");
    }
    if let Some(clock_ms) = answer.servers_clock_ms {
        node.record_server_clock(clock_ms as f64);
    }
    match answer.targets {
        Some(report) => target_weights::merge_report(node, report, asked_ms, "followed"),
        None => {
            let (versions, age_ms) = (answer.weights, answer.age_ms);
            target_weights::record_newest(node, versions, age_ms, asked_ms, "followed");
        }
    }
    cold::apply_reports(node, &answer.cold, Spread::None);
    let now_ms = node.now_ms();
    let mut guard = node.state();
    let state = &mut *guard;
    for (model, oldest_used) in answer.oldest_used {
        state.blocks.retirements.retire(&model, oldest_used);
    }
    if answer.is_complete {
        for (store, _) in state.blocks.dump() {
            state.apply_blocks(BlockEvent::Forgotten(store), now_ms);
        }
    }
    for event in answer.blocks {
        state.apply_blocks(event, now_ms);
    }
    let until = answer.servers_until;
    let is_first = state.registry.is_blank();
    let changes = answer.servers.map(|servers| state.registry.merge(servers, until, now_ms));
    let changes = changes.unwrap_or_default();
    let cold_changes = cold::record_registry_changes(node, state, &changes, is_first);
    drop(guard);
    cold::publish(node, cold_changes, Spread::None);
    handle_registry_changes(node, changes, "followed");
}

/// Answers a follower once there is a change, or after `POLL_WAIT`.
pub async fn answer(node: &Node, position: FollowRequest) -> Option<FollowAnswer> {
    let until = Instant::now() + POLL_WAIT;
    let asked_ms = node.now_ms();
    let target_changes = node.target_changes.subscribe();
    loop {
        let changed = node.state_changed.notified();
        let current = current(node);
        let is_new = position.incarnation != current.incarnation
            || position.configuration < current.configuration
            || position.servers != current.servers
            || position.blocks != current.blocks
            || target_changes.has_changed().unwrap_or(false);
        if is_new || Instant::now() >= until {
            break;
        }
        // Either there is a change or the wait is over; the next iteration checks both.
        drop(tokio::time::timeout_at(until, changed).await);
    }
    tokio::time::sleep(BATCH_DELAY).await;
    build(node, position, asked_ms)
}

fn current(node: &Node) -> FollowRequest {
    let configuration = node.in_force().map_or(0, |held| held.configuration.version.value());
    let state = node.state();
    FollowRequest {
        incarnation: node.incarnation,
        configuration,
        servers: state.registry.generation(),
        blocks: state.block_log.end(),
    }
}

fn build(node: &Node, position: FollowRequest, asked_ms: u64) -> Option<FollowAnswer> {
    let age_ms = node.store_age_ms()?;
    let next = current(node);
    let in_force = node.in_force();
    let is_same_incarnation = position.incarnation == node.incarnation;
    let store_era = node.eras().known();
    let targets = Some(target_weights::report(node, asked_ms));
    let state = node.state();
    let recent = is_same_incarnation.then(|| state.block_log.since(position.blocks)).flatten();
    let all_blocks = || {
        let reports = state.blocks.dump().into_iter();
        reports.map(|(store, report)| BlockEvent::Reported(store, report)).collect()
    };
    let has_servers = !is_same_incarnation || position.servers != next.servers;
    Some(FollowAnswer {
        next,
        age_ms,
        configuration: in_force
            .filter(|held| held.configuration.version.value() > position.configuration)
            .map(|held| held.record.clone()),
        weights: state.target_versions(),
        servers: has_servers.then(|| state.registry.snapshot()),
        is_complete: recent.is_none(),
        blocks: recent.unwrap_or_else(all_blocks),
        oldest_used: state.blocks.retirements.oldest_used(),
        servers_clock_ms: node.to_servers_clock_ms(node.now_ms()),
        store_era,
        servers_until: state.registry.read_until(),
        targets,
        evacuations: Some(state.evacuations.report(node.now_ms())),
        cold: Vec::new(),
    })
}
