//! What this gateway knows of cold servers, from entries, health checks and other gateways.

use crate::clock::unix_ms;
use crate::event;
use crate::node::Node;
use crate::peers::Spread;
use crate::routing_state::RoutingState;
use crate::server_answers::ServerIdentity;
use crate::settings::Bounds;
use dispatch::cold::{ColdChange, ColdReport, ColdSource, ColdStatement, ColdTable};
use dispatch::configuration::Configuration;
use dispatch::limits::{Asks, ColdLimit, Listings};
use dispatch::registry::{RegistryChange, ServerEntry, ServerRecord};
use http::HeaderMap;
use platform::headers::parse_cold_ms;
use platform::servers::ListedServer;
use protocol::ids::{FailureDomain, ServiceName};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The age up to which a listed entry may have been written, in milliseconds: entries lapse after
/// three heartbeats of silence.
const MAX_ENTRY_AGE_MS: u64 = 4_000;
/// How long before its arrival the answer to a health check may have been written, in milliseconds.
const MAX_CHECK_MS: u64 = 350;
/// The age of the store's state from which on the listing of the gateways may be outdated, in
/// milliseconds. Gateways that have ended stay listed for minutes.
const MAX_LISTING_AGE_MS: u64 = 60_000;

/// How long a change of the listing takes to reach all gateways in a small installation, where a
/// gateway that is not listed yet is noticed by its load reports, in milliseconds.
const SETTLE_MS: u64 = 5_000;
/// The same in a large one, where it is noticed by the next listing only: 20 s later at most.
const SETTLE_LARGE_MS: u64 = 25_000;
/// How long after the last load report of a gateway that is not listed the listing is in doubt, in
/// milliseconds. Reports repeat every 400 ms.
const UNLISTED_MS: u64 = 2_000;
/// The interval between observations of the listing.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);

/// What this gateway knows of cold servers.
#[derive(Debug, Default)]
pub struct ColdServers {
    /// Which servers are cold, and until when.
    pub table: ColdTable,
    /// The refusals of holders for cold servers, and holders that do not answer.
    pub asks: Asks,
    /// The listings of the gateways.
    pub listings: Listings,
    limits: HashMap<ServiceName, ColdLimit>,
    /// When a gateway that is not listed last reported its load.
    unlisted_ms: Option<u64>,
}

impl ColdServers {
    /// Notes that a gateway that is not listed reported its load.
    pub const fn record_unlisted(&mut self, now_ms: u64) {
        self.unlisted_ms = Some(now_ms);
    }

    /// Returns the limit of the servers of a service while they are cold.
    pub fn limit(&self, service: &ServiceName) -> Option<&ColdLimit> {
        self.limits.get(service)
    }

    /// Returns the limit of a server that is cold; `None` if it is not.
    pub fn limit_of(&self, entry: &ServerEntry, now_ms: u64) -> Option<&ColdLimit> {
        let limit = self.limit(&entry.service)?;
        self.table.until_ms(&entry.id, entry.incarnation, now_ms)?;
        Some(limit)
    }
}

/// Applies what a configuration says about the servers of each service. Servers that have said
/// nothing and started a short while before are cold.
pub fn configure(node: &Node, configuration: &Configuration) {
    let Bounds { cold_factor: Some(factor), cold_slack: Some(slack), .. } = node.settings.bounds
    else {
        return;
    };
    let services = configuration.services.iter();
    let limits = services.filter_map(|(name, service)| {
        Some((name.clone(), ColdLimit::new(service.cold?, factor, slack)))
    });
    let (now_ms, now_unix_ms) = (node.now_ms(), unix_ms());
    let mut guard = node.state();
    let RoutingState { registry, cold, .. } = &mut *guard;
    cold.limits = limits.collect();
    let changes = registry.all_usable().filter_map(|entry| {
        let duration_ms = cold.limits.get(&entry.service)?.duration_ms;
        let age_ms = now_unix_ms.saturating_sub(entry.incarnation.value());
        let for_ms = duration_ms.checked_sub(age_ms).filter(|for_ms| *for_ms > 0)?;
        let source = ColdSource::Joined;
        cold.table.assume(&entry.id, entry.incarnation, 0, for_ms, source, now_ms)
    });
    let changes: Vec<ColdChange> = changes.collect();
    drop(guard);
    publish(node, changes, Spread::None);
}

/// Returns whether cold servers are bounded at all.
fn is_enabled(node: &Node) -> bool {
    let bounds = &node.settings.bounds;
    bounds.cold_factor.is_some() && bounds.cold_slack.is_some()
}

/// When the entries of a read were written.
#[derive(Clone, Copy, Debug)]
pub struct EntryTimes {
    /// The earliest time; `None` for a listing.
    pub from_ms: Option<u64>,
    /// The time of the read.
    pub read_ms: u64,
}

/// Records what the entry of a server says, and that the server joined with it. Must be called with
/// each change at once, before the server can be chosen.
pub fn record_entry(
    node: &Node,
    state: &mut RoutingState,
    listed: &ListedServer,
    times: EntryTimes,
    has_joined: bool,
) -> Option<ColdChange> {
    let ServerRecord::Present(entry) = &listed.record else { return None };
    if !is_enabled(node) {
        return None;
    }
    let remaining_ms = match listed.cold_ms {
        Some(Ok(remaining_ms)) => remaining_ms,
        Some(Err(reason)) => {
            node.metrics.count("cold_ignored", reason.as_str());
            return None;
        }
        None => return None,
    };
    let EntryTimes { from_ms, read_ms } = times;
    let from_ms = from_ms.unwrap_or_else(|| read_ms.saturating_sub(MAX_ENTRY_AGE_MS));
    let statement = ColdStatement {
        remaining_ms,
        // The entry with which a server has come back was written after the server had left.
        from_ms: if has_joined { read_ms } else { from_ms },
        to_ms: read_ms,
        heartbeat: Some(entry.heartbeat),
        is_join: has_joined,
    };
    let table = &mut state.cold.table;
    table.record(&entry.id, entry.incarnation, &statement, ColdSource::Entry, read_ms)
}

/// Counts servers that have joined as cold until they say otherwise. At the first listing after the
/// start, the entries themselves say whether servers are cold.
pub fn record_registry_changes(
    node: &Node,
    state: &mut RoutingState,
    changes: &[RegistryChange],
    is_first: bool,
) -> Vec<ColdChange> {
    if !is_enabled(node) {
        return Vec::new();
    }
    let now_ms = node.now_ms();
    let cold = &mut state.cold;
    let changes = changes.iter().filter_map(|change| match change {
        RegistryChange::Joined(entry) => {
            let for_ms = cold.limit(&entry.service).filter(|_| !is_first)?.duration_ms;
            cold.table.assume_joined(&entry.id, entry.incarnation, for_ms, now_ms)
        }
        RegistryChange::Left(id) => {
            cold.table.record_left(id, now_ms);
            None
        }
        RegistryChange::Reloaded(_) => None,
    });
    changes.collect()
}

/// Applies the passage of time to the registry: servers that stayed missing have left, and removed
/// ones that stayed listed have joined.
pub fn expire_missing(node: &Node) -> Vec<RegistryChange> {
    let now_ms = node.now_ms();
    let mut guard = node.state();
    let state = &mut *guard;
    let changes = state.registry.expire_missing(now_ms);
    let cold_changes = record_registry_changes(node, state, &changes, false);
    drop(guard);
    publish(node, cold_changes, Spread::None);
    changes
}

/// Records what the answer to a health check says.
pub fn record_answer(node: &Node, server: &ServerIdentity, headers: &HeaderMap) {
    if !is_enabled(node) {
        return;
    }
    let remaining_ms = match parse_cold_ms(headers) {
        Ok(Some(remaining_ms)) => remaining_ms,
        Ok(None) => return,
        Err(reason) => return node.metrics.count("cold_ignored", reason.as_str()),
    };
    let now_ms = node.now_ms();
    let statement = ColdStatement {
        remaining_ms,
        from_ms: node.suspensions.written_since_ms(now_ms).saturating_sub(MAX_CHECK_MS),
        to_ms: now_ms,
        heartbeat: None,
        is_join: false,
    };
    let ServerIdentity { id, incarnation } = server;
    let source = ColdSource::HealthCheck;
    let change = node.state().cold.table.record(id, *incarnation, &statement, source, now_ms);
    publish(node, change, Spread::All);
}

/// Applies what another gateway reports, as far as it is newer.
pub fn apply_reports(node: &Node, reports: &[ColdReport], spread: Spread) {
    if !is_enabled(node) || reports.is_empty() {
        return;
    }
    let now_ms = node.now_ms();
    let received_ms = node.suspensions.written_since_ms(now_ms);
    let changes: Vec<ColdChange> = {
        let mut state = node.state();
        let table = &mut state.cold.table;
        reports.iter().filter_map(|report| table.apply(report, received_ms, now_ms)).collect()
    };
    publish(node, changes, spread);
}

/// Returns what other gateways must learn of cold servers.
pub fn reports(node: &Node) -> Vec<ColdReport> {
    if !is_enabled(node) {
        return Vec::new();
    }
    node.state().cold.table.reports(node.now_ms())
}

/// Counts the servers of a failure domain as cold after an evacuation of it has ended: until their
/// entries have been written since, or health checks since say otherwise. Must be called before the
/// servers can be chosen; the changes are to be published.
pub fn assume_after_evacuation(
    node: &Node,
    state: &mut RoutingState,
    domain: &FailureDomain,
    ended_ms: u64,
) -> Vec<ColdChange> {
    let is_affected = |entry: &ServerEntry| entry.domain == *domain;
    assume_all(node, state, is_affected, ended_ms, ColdSource::Evacuation)
}

fn assume_all(
    node: &Node,
    state: &mut RoutingState,
    is_affected: impl Fn(&ServerEntry) -> bool,
    since_ms: u64,
    source: ColdSource,
) -> Vec<ColdChange> {
    if !is_enabled(node) {
        return Vec::new();
    }
    let now_ms = node.now_ms();
    let RoutingState { registry, cold, .. } = state;
    let affected = registry.all_usable().filter(|entry| is_affected(entry));
    let changes = affected.filter_map(|entry| {
        let duration_ms = cold.limits.get(&entry.service)?.duration_ms;
        let for_ms = (since_ms + duration_ms).checked_sub(now_ms)?;
        cold.table.assume(&entry.id, entry.incarnation, since_ms, for_ms, source, now_ms)
    });
    changes.collect()
}

/// Observes the listing of the gateways and forgets servers that are gone, until the process exits;
/// returns at once if cold servers are not bounded.
pub async fn run(node: Arc<Node>) {
    while is_enabled(&node) {
        observe_listing(&node);
        {
            let mut guard = node.state();
            let RoutingState { registry, cold, .. } = &mut *guard;
            cold.table.expire(|server| registry.get(server).is_some(), node.now_ms());
        }
        tokio::time::sleep(OBSERVE_INTERVAL).await;
    }
}

/// Notes which gateways are listed. A gateway that did not run for a while may have missed that
/// servers became cold.
fn observe_listing(node: &Node) {
    let is_outdated = node.store_age_ms().is_none_or(|age_ms| age_ms > MAX_LISTING_AGE_MS);
    let now_ms = node.now_ms();
    let has_gap = {
        let mut guard = node.state();
        let RoutingState { gateways, cold, loads, .. } = &mut *guard;
        let is_cut_off = gateways.peers().next().is_some() && loads.reporting_gateways() == 0;
        let has_unlisted = cold.unlisted_ms.is_some_and(|at_ms| now_ms < at_ms + UNLISTED_MS);
        let settle_ms = if gateways.is_small() { SETTLE_MS } else { SETTLE_LARGE_MS };
        let local = std::iter::once((&node.settings.host, &node.settings.failure_domain));
        let peers = gateways.peers().map(|record| (&record.host, &record.failure_domain));
        if is_outdated || is_cut_off || has_unlisted {
            cold.listings.doubt(now_ms)
        } else {
            cold.listings.observe(local.chain(peers), settle_ms, now_ms)
        }
    };
    if has_gap {
        let changes = assume_all(node, &mut node.state(), |_| true, now_ms, ColdSource::Resumed);
        publish(node, changes, Spread::None);
    }
}

/// Logs and counts changes, and passes them on.
pub fn publish(node: &Node, changes: impl IntoIterator<Item = ColdChange>, spread: Spread) {
    for change in changes {
        node.terms_exchange.note_change(spread);
        let ColdChange { server, incarnation, remaining_ms, was_cold, source, age_ms } = change;
        if remaining_ms == 0 && !was_cold {
            continue;
        }
        let kind = if remaining_ms > 0 { "servers_cold" } else { "servers_warm" };
        node.metrics.count(kind, source.as_str());
        event!(info, node.now_ms(), "server_cold", {
            "server": server.as_str(),
            "incarnation": incarnation.value(),
            "for_ms": remaining_ms,
            "was_cold": was_cold,
            "source": source.as_str(),
            "age_ms": age_ms,
        });
        if remaining_ms == 0 {
            node.capacity_freed.notify_waiters();
        }
    }
}
