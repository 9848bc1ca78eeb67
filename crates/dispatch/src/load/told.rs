//! What gateways tell each other of their sends.
//!
//! Load pattern: a clump of arrivals reaches several gateways at once. Each knows its own sends
//! only, so all choose the same free server, whose memory then does not hold the prompts.

use crate::registry::ServerId;
use protocol::ids::HostName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How long a report counts, in milliseconds: several reports may be lost before a gateway's sends
/// are left out.
const REPORT_MEMORY_MS: u64 = 1_000;

/// Names a server in few bytes; reports go out many times a second.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerTag(u32);

impl ServerTag {
    /// Derives the tag of a server. Two servers with one tag only share their load.
    pub fn new(server: &ServerId) -> Self {
        let hash = blake3::hash(server.as_str().as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}

/// The sends of one gateway, or of several, to one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SendsToServer {
    /// The sends in flight.
    pub in_flight: u32,
    /// Their tokens in the server's memory.
    pub memory_tokens: u64,
    /// The service time of those that have not started yet, in milliseconds.
    pub unstarted_ms: u32,
}

impl SendsToServer {
    fn add(&mut self, other: &Self) {
        self.in_flight += other.in_flight;
        self.memory_tokens += other.memory_tokens;
        self.unstarted_ms += other.unstarted_ms;
    }
}

/// All sends of a gateway at one moment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateway.
    pub host: HostName,
    /// The start of its process, as Unix milliseconds.
    pub life: u64,
    /// Counts the reports of that life; datagrams overtake each other.
    pub number: u64,
    /// The servers with sends in flight.
    pub servers: Vec<(ServerTag, SendsToServer)>,
}

/// The latest reports of other gateways.
#[derive(Debug, Default)]
pub(super) struct ToldLoads {
    reports: HashMap<HostName, (LoadReport, u64)>,
    sums: HashMap<ServerTag, SendsToServer>,
}

impl ToldLoads {
    /// Takes a report, unless a later one of its gateway came before.
    pub(super) fn note(&mut self, report: LoadReport, now_ms: u64) {
        let order = |report: &LoadReport| (report.life, report.number);
        let held = self.reports.get(&report.host);
        if held.is_none_or(|(held, _)| order(held) < order(&report)) {
            self.reports.insert(report.host.clone(), (report, now_ms));
            self.sum();
        }
    }

    /// Leaves out gateways that have told nothing for a while.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let before = self.reports.len();
        self.reports.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_MEMORY_MS);
        if self.reports.len() != before {
            self.sum();
        }
    }

    /// Returns the sends of all others to a server.
    pub(super) fn to(&self, server: ServerTag) -> SendsToServer {
        self.sums.get(&server).copied().unwrap_or_default()
    }

    /// Returns the number of gateways whose sends are known.
    pub(super) fn gateways(&self) -> usize {
        self.reports.len()
    }

    fn sum(&mut self) {
        self.sums.clear();
        for (report, _) in self.reports.values() {
            for (server, sends) in &report.servers {
                self.sums.entry(*server).or_default().add(sends);
            }
        }
    }
}
