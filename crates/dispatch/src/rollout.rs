//! Rollout of new weights: which server loads which version next.
//!
//! Load pattern: newer weights are named while traffic runs, sometimes twice within seconds; each
//! server that loads takes no new requests, and a load takes longer while many load at once.

use crate::registry::ServerId;
use protocol::ids::{FailureDomain, Incarnation, ModelName};
use std::collections::BTreeMap;

/// The share of a service's servers that load at once: the sheets give two of nine, two of twelve
/// and eighteen of ninety.
const LOADING_SHARE: f64 = 0.2;
/// The least number of servers that load at once, by the same sheets.
const LEAST_LOADING: usize = 2;
/// After how long an order without an answer is given again, in milliseconds.
const ORDER_AGAIN_MS: u64 = 1_200;

/// What the steward knows of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerState {
    /// The server.
    pub id: ServerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The version that it has.
    pub version: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// The orders that it has accepted in this life, if it has told.
    pub orders_accepted: Option<u64>,
    /// When it was last ordered, in this life.
    pub ordered_ms: Option<u64>,
    /// The requests in flight there, as far as known.
    pub in_flight: usize,
    /// Whether it answers.
    pub is_reachable: bool,
}

/// What the steward does next for one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Every reachable server has the newest version.
    Done,
    /// Orders to give now, and servers whose state must be asked first.
    Act {
        /// Servers to order the newest version from.
        order: Vec<ServerId>,
        /// Servers to ask for their state.
        ask: Vec<ServerId>,
    },
}

/// Decides the next step of a rollout to `newest`.
pub fn next_step(servers: &[ServerState], newest: u64, now_ms: u64) -> Step {
    let outstanding: Vec<&ServerState> =
        servers.iter().filter(|server| server.version < newest && server.is_reachable).collect();
    if outstanding.is_empty() {
        return Step::Done;
    }
    let is_loading = |server: &&ServerState| {
        server.is_busy || server.ordered_ms.is_some_and(|at_ms| now_ms < at_ms + ORDER_AGAIN_MS)
    };
    let loading: Vec<&ServerState> = outstanding.iter().copied().filter(is_loading).collect();
    let room = most_loading(servers.len()).saturating_sub(loading.len());
    let mut by_domain: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    for server in &loading {
        *by_domain.entry(&server.domain).or_default() += 1;
    }
    let mut waiting: Vec<&ServerState> =
        outstanding.iter().copied().filter(|server| !is_loading(server)).collect();
    let mut next = Vec::new();
    while next.len() < room && !waiting.is_empty() {
        let least = |server: &&ServerState| {
            let loading_there = by_domain.get(&server.domain).copied().unwrap_or(0);
            (loading_there, server.in_flight, server.id.clone())
        };
        let Some(index) = (0..waiting.len()).min_by_key(|index| least(&waiting[*index])) else {
            break;
        };
        let server = waiting.swap_remove(index);
        *by_domain.entry(&server.domain).or_default() += 1;
        next.push(server);
    }
    let (known, unknown): (Vec<&ServerState>, Vec<&ServerState>) =
        next.into_iter().partition(|server| server.orders_accepted.is_some());
    let ids = |servers: &[&ServerState]| servers.iter().map(|server| server.id.clone()).collect();
    let mut ask: Vec<ServerId> = ids(&loading);
    ask.extend(unknown.iter().map(|server| server.id.clone()));
    Step::Act { order: ids(&known), ask }
}

fn most_loading(servers: usize) -> usize {
    ((servers as f64 * LOADING_SHARE) as usize).max(LEAST_LOADING)
}

/// Returns the newest version named for each model from the store's records, never an older one.
pub fn note_named(
    named: &mut BTreeMap<ModelName, u64>,
    model: ModelName,
    version: u64,
) -> bool {
    let newest = named.entry(model).or_insert(0);
    let is_newer = version > *newest;
    *newest = version.max(*newest);
    is_newer
}
