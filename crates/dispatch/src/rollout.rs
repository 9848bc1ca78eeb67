//! Rollout of new weights: which server loads which version next.
//!
//! Load pattern: a newer version is requested while traffic runs, sometimes twice within seconds. A
//! server that loads weights takes no new requests, and a load takes longer while many servers load
//! at once.

use crate::registry::ServerId;
use protocol::ids::FailureDomain;
use std::collections::BTreeMap;

/// The share of a service's servers that are commanded to load at once. A server first completes
/// its running requests, which takes longer than the load itself, so about half of these servers
/// load at the same time.
const LOADING_SHARE: f64 = 0.34;
/// The minimum number of servers that are commanded at once.
const MIN_LOADING: usize = 2;
/// The time after which a command without effect is sent again, in milliseconds.
const COMMAND_RETRY_MS: u64 = 1_200;

/// The rollout leader's view of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerState {
    /// The server.
    pub id: ServerId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The version that it serves.
    pub version: u64,
    /// Whether it is executing a command.
    pub is_busy: bool,
    /// The number of commands that its incarnation has accepted; `None` if it has not reported it.
    pub commands_accepted: Option<u64>,
    /// When its incarnation was last sent a command.
    pub commanded_ms: Option<u64>,
    /// The attempts in flight there, local ones and those that peers reported.
    pub in_flight: usize,
}

/// Returns when a rollout leader may first send a command to a server. If the server's incarnation
/// never accepted one, that is at once; otherwise it is after the handover time, so that the
/// commands of the previous leader lie far enough in the past.
pub const fn may_command_at_ms(commands_accepted: u64, acquired_ms: u64, handover_ms: u64) -> u64 {
    if commands_accepted == 0 { acquired_ms } else { acquired_ms + handover_ms }
}

/// The next step of a rollout for one model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Servers to command to load the newest version.
    pub command: Vec<ServerId>,
    /// Servers to query for their state.
    pub query: Vec<ServerId>,
}

/// Decides the next step of a rollout to `newest`; `None` if every server serves it.
pub fn next_step(servers: &[ServerState], newest: u64, now_ms: u64) -> Option<Step> {
    let outstanding: Vec<&ServerState> =
        servers.iter().filter(|server| server.version < newest).collect();
    if outstanding.is_empty() {
        return None;
    }
    let is_loading = |server: &ServerState| {
        server.is_busy || server.commanded_ms.is_some_and(|at_ms| now_ms < at_ms + COMMAND_RETRY_MS)
    };
    let (loading, mut waiting): (Vec<&ServerState>, Vec<&ServerState>) =
        outstanding.into_iter().partition(|server| is_loading(server));
    let mut free_slots = max_loading(servers.len()).saturating_sub(loading.len());
    let mut loading_by_domain: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    for server in &loading {
        *loading_by_domain.entry(&server.domain).or_default() += 1;
    }
    let mut step = Step::default();
    step.query.extend(loading.iter().map(|server| server.id.clone()));
    // Servers that have not reported how many commands they accepted are queried before they are
    // commanded.
    let unqueried = waiting.iter().filter(|server| server.commands_accepted.is_none());
    step.query.extend(unqueried.map(|server| server.id.clone()));
    waiting.retain(|server| server.commands_accepted.is_some());
    while free_slots > 0 {
        let key = |server: &&&ServerState| {
            let loading_in_domain = loading_by_domain.get(&server.domain).copied().unwrap_or(0);
            (loading_in_domain, server.in_flight, server.id.clone())
        };
        let Some(next) = waiting.iter().min_by_key(key).copied() else { break };
        *loading_by_domain.entry(&next.domain).or_default() += 1;
        waiting.retain(|server| server.id != next.id);
        step.command.push(next.id.clone());
        free_slots -= 1;
    }
    Some(step)
}

fn max_loading(servers: usize) -> usize {
    ((servers as f64 * LOADING_SHARE) as usize).max(MIN_LOADING)
}
