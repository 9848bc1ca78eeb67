//! Which servers are cold, and until when.
//!
//! Load pattern: a server that has just started, or lost its caches, is slow for some seconds, and
//! all gateways together send it as much as before, because none of them knows of the others.

use crate::registry::ServerId;
use protocol::ids::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The longest time for which a server can say that it stays cold, in milliseconds.
pub const MAX_COLD_MS: u64 = 60_000;
/// The maximum number of servers in the table.
const MAX_SERVERS: usize = 4_096;
/// The maximum number of reports in a message, which keeps it below the limit of messages.
const MAX_REPORTS: usize = 1_000;
/// How long after a change a server is reported to other gateways, in milliseconds. Longer than a
/// report of the change before may take.
const REPORTED_MS: u64 = 60_000;
/// How much the end must move to count as a change, in milliseconds. Entries are read some time
/// after they were written, so the ends that they give differ.
const CHANGE_STEP_MS: u64 = 250;
/// How long a report of another gateway may have been under way, in milliseconds.
const TRANSIT_MS: u64 = 500;

/// What shows whether a server is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdSource {
    /// Its entry in the registry.
    Entry,
    /// The answer to a health check.
    HealthCheck,
    /// Another gateway's report.
    Peer,
    /// It is a new incarnation, or its entry has come back.
    Joined,
    /// Its failure domain was evacuated.
    Evacuation,
    /// This gateway did not run for a while.
    Resumed,
}

impl ColdSource {
    /// Returns the source's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            ColdSource::Entry => "entry",
            ColdSource::HealthCheck => "health_check",
            ColdSource::Peer => "peer",
            ColdSource::Joined => "joined",
            ColdSource::Evacuation => "evacuation",
            ColdSource::Resumed => "resumed",
        }
    }
}

/// What an incarnation of a server says about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdStatement {
    /// For how long after it was written the server stays cold, in milliseconds; 0 if it is not.
    pub remaining_ms: u64,
    /// The earliest time at which it was written.
    pub from_ms: u64,
    /// The latest time at which it was written.
    pub to_ms: u64,
    /// The heartbeat that wrote it, if it is from an entry.
    pub heartbeat: Option<u64>,
    /// Whether the server joined with it, which other gateways must learn in any case.
    pub is_join: bool,
}

/// What is known of one server, as gateways exchange it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How much longer it is cold, in milliseconds; 0 if it is not.
    pub remaining_ms: u64,
    /// The age of the statement that shows that, in milliseconds.
    pub age_ms: u64,
    /// The heartbeat of that statement, if it is from an entry.
    pub heartbeat: Option<u64>,
    /// Whether no statement shows it.
    pub is_assumed: bool,
}

/// A change of what is known of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ColdChange {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How much longer it is cold, in milliseconds; 0 if it is not.
    pub remaining_ms: u64,
    /// Whether it counted as cold before.
    pub was_cold: bool,
    /// What shows that.
    pub source: ColdSource,
    /// The age of the statement or assumption, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    incarnation: Incarnation,
    until_ms: u64,
    /// When the server said so: the latest possible time if it is cold, else the earliest one, so
    /// that in doubt it counts as cold. For an assumption, from when on statements end it.
    said_ms: u64,
    /// The newest heartbeat whose entry was read.
    heartbeat: Option<u64>,
    /// Whether the newest statement is from an entry.
    is_entry: bool,
    is_assumed: bool,
    /// Whether it concerns this gateway only.
    is_private: bool,
    changed_ms: Option<u64>,
}

impl Held {
    const fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether a statement about the same incarnation is newer.
    fn is_before(&self, statement: &ColdStatement, said_ms: u64) -> bool {
        match (self.heartbeat, statement.heartbeat) {
            (Some(held), Some(heartbeat)) if heartbeat <= held => false,
            (Some(_), Some(_)) if self.is_entry => true,
            _ => said_ms >= self.said_ms,
        }
    }
}

/// The newest statement of each server.
#[derive(Debug, Default)]
pub struct ColdTable {
    servers: HashMap<ServerId, Held>,
    /// When the entry of a server that may come back was found missing.
    left_ms: HashMap<ServerId, u64>,
}

impl ColdTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what a server said. Returns the change, if it is one that others must learn.
    pub fn record(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        statement: &ColdStatement,
        source: ColdSource,
        now_ms: u64,
    ) -> Option<ColdChange> {
        let is_cold = statement.remaining_ms > 0;
        let said_ms = if is_cold { statement.to_ms } else { statement.from_ms };
        let held = self.servers.get(server).copied();
        if held.is_some_and(|held| held.incarnation > incarnation)
            || (held.is_none() && self.servers.len() >= MAX_SERVERS)
        {
            return None;
        }
        let same = held.filter(|held| held.incarnation == incarnation);
        if same.is_some_and(|held| !held.is_before(statement, said_ms)) {
            return None;
        }
        let until_ms = if is_cold { statement.to_ms + statement.remaining_ms } else { 0 };
        let next = Held {
            incarnation,
            until_ms,
            said_ms,
            heartbeat: statement.heartbeat.max(same.and_then(|held| held.heartbeat)),
            is_entry: statement.heartbeat.is_some(),
            is_assumed: false,
            is_private: false,
            changed_ms: same.and_then(|held| held.changed_ms),
        };
        self.replace(server, same, next, statement.is_join, source, now_ms)
    }

    /// Counts an incarnation as cold until it says otherwise after a time, for a while at most.
    pub fn assume(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        since_ms: u64,
        for_ms: u64,
        source: ColdSource,
        now_ms: u64,
    ) -> Option<ColdChange> {
        let held = self.servers.get(server).copied();
        if held.is_some_and(|held| held.incarnation > incarnation)
            || (held.is_none() && self.servers.len() >= MAX_SERVERS)
        {
            return None;
        }
        let same = held.filter(|held| held.incarnation == incarnation);
        if same.is_some_and(|held| held.said_ms >= since_ms) {
            return None;
        }
        let next = Held {
            incarnation,
            // A statement from before may reach further.
            until_ms: (now_ms + for_ms).max(same.map_or(0, |held| held.until_ms)),
            said_ms: since_ms,
            heartbeat: same.and_then(|held| held.heartbeat),
            is_entry: false,
            is_assumed: true,
            is_private: source == ColdSource::Resumed,
            changed_ms: same.and_then(|held| held.changed_ms),
        };
        self.replace(server, same, next, false, source, now_ms)
    }

    /// Counts a server that has joined as cold, unless it has said something since its entry was
    /// found missing.
    pub fn assume_joined(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        for_ms: u64,
        now_ms: u64,
    ) -> Option<ColdChange> {
        let is_new = self.servers.get(server).is_none_or(|held| held.incarnation < incarnation);
        let left_ms = self.left_ms.remove(server).filter(|_| !is_new);
        let since_ms = left_ms.unwrap_or(0);
        self.assume(server, incarnation, since_ms, for_ms, ColdSource::Joined, now_ms)
    }

    /// Notes that the entry of a server is missing.
    pub fn record_left(&mut self, server: &ServerId, now_ms: u64) {
        if self.servers.contains_key(server) {
            self.left_ms.insert(server.clone(), now_ms);
        }
    }

    fn replace(
        &mut self,
        server: &ServerId,
        same: Option<Held>,
        mut next: Held,
        is_join: bool,
        source: ColdSource,
        now_ms: u64,
    ) -> Option<ColdChange> {
        let was_cold = same.is_some_and(|held| held.is_cold(now_ms));
        let is_cold = next.is_cold(now_ms);
        let moved_ms = same.map_or(0, |held| held.until_ms.abs_diff(next.until_ms));
        let has_moved = was_cold && is_cold && moved_ms > CHANGE_STEP_MS;
        let is_change = was_cold != is_cold || has_moved || is_join;
        if is_change {
            next.changed_ms = Some(now_ms);
        }
        self.servers.insert(server.clone(), next);
        is_change.then(|| ColdChange {
            server: server.clone(),
            incarnation: next.incarnation,
            remaining_ms: next.until_ms.saturating_sub(now_ms),
            was_cold,
            source,
            age_ms: now_ms.saturating_sub(next.said_ms),
        })
    }

    /// Applies the report of another gateway that was received at a time, apart from its way.
    pub fn apply(
        &mut self,
        report: &ColdReport,
        received_ms: u64,
        now_ms: u64,
    ) -> Option<ColdChange> {
        let ColdReport { server, incarnation, .. } = report;
        let remaining_ms = report.remaining_ms.min(MAX_COLD_MS);
        let to_ms = received_ms.saturating_sub(report.age_ms);
        if report.is_assumed {
            if remaining_ms == 0 {
                return None;
            }
            let since_ms = to_ms.saturating_sub(TRANSIT_MS);
            return self.assume(
                server,
                *incarnation,
                since_ms,
                remaining_ms,
                ColdSource::Peer,
                now_ms,
            );
        }
        let since_written_ms = if remaining_ms > 0 { received_ms - to_ms } else { 0 };
        let statement = ColdStatement {
            remaining_ms: remaining_ms + since_written_ms,
            from_ms: to_ms.saturating_sub(TRANSIT_MS),
            to_ms,
            heartbeat: report.heartbeat,
            is_join: false,
        };
        self.record(server, *incarnation, &statement, ColdSource::Peer, now_ms)
    }

    /// Returns until when an incarnation of a server is cold; `None` if it is not.
    pub fn until_ms(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<u64> {
        let held = self.servers.get(server).filter(|held| held.incarnation == incarnation)?;
        Some(held.until_ms).filter(|until_ms| now_ms < *until_ms)
    }

    /// Returns what other gateways must learn: the servers that are cold or changed lately.
    pub fn reports(&self, now_ms: u64) -> Vec<ColdReport> {
        let shared = self.servers.iter().filter(|(_, held)| !held.is_private);
        let recent = shared.filter(|(_, held)| {
            held.is_cold(now_ms)
                || held.changed_ms.is_some_and(|at_ms| now_ms < at_ms + REPORTED_MS)
        });
        recent.take(MAX_REPORTS).map(|(server, held)| held.to_report(server, now_ms)).collect()
    }

    /// Returns what is known of an incarnation of a server.
    pub fn report(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<ColdReport> {
        let held = self.servers.get(server).filter(|held| held.incarnation == incarnation)?;
        Some(held.to_report(server, now_ms))
    }

    /// Removes servers that are gone.
    pub fn expire(&mut self, is_registered: impl Fn(&ServerId) -> bool, now_ms: u64) {
        self.servers.retain(|server, held| {
            let changed_ms = held.changed_ms.unwrap_or(held.said_ms);
            is_registered(server) || held.is_cold(now_ms) || now_ms < changed_ms + REPORTED_MS
        });
        let servers = &self.servers;
        self.left_ms.retain(|server, _| servers.contains_key(server));
    }
}

impl Held {
    fn to_report(self, server: &ServerId, now_ms: u64) -> ColdReport {
        ColdReport {
            server: server.clone(),
            incarnation: self.incarnation,
            remaining_ms: self.until_ms.saturating_sub(now_ms),
            age_ms: now_ms.saturating_sub(self.said_ms),
            heartbeat: self.heartbeat.filter(|_| self.is_entry),
            is_assumed: self.is_assumed,
        }
    }
}
