//! What gateways tell each other of their sends.
//!
//! Load pattern: a clump of arrivals reaches several gateways at once. Each knows its own sends
//! only, so all choose the same free server, whose memory then does not hold the prompts.

use crate::blocks::LinkShares;
use crate::load::SessionTag;
use crate::registry::ServerId;
use protocol::ids::{FailureDomain, HostName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How long a report counts, in milliseconds: several reports may be lost before a gateway's sends
/// are left out.
const REPORT_TTL_MS: u64 = 1_000;

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
pub struct InFlightLoad {
    /// The sends in flight.
    pub in_flight: u32,
    /// Their tokens in the server's memory.
    pub memory_tokens: u64,
    /// The service time of those that have not started yet, in milliseconds.
    pub unstarted_ms: u32,
}

impl InFlightLoad {
    /// Adds other sends; what other processes tell may be anything.
    pub(super) fn add(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.unstarted_ms = self.unstarted_ms.saturating_add(other.unstarted_ms);
    }
}

/// Whose sends a report holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Sender {
    /// Those of one gateway.
    Gateway(HostName),
    /// Those of all gateways of a failure domain, gathered by one of them.
    FailureDomain(FailureDomain),
    /// Those of all other failure domains, gathered for the gateways of one.
    #[serde(rename = "Elsewhere")]
    RemoteDomains,
}

/// Sends at one moment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Whose sends they are.
    pub sender: Sender,
    /// The gateway that wrote the report.
    pub host: HostName,
    /// The start of its process, as Unix milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Counts the reports of that life; datagrams overtake each other.
    pub number: u64,
    /// The gateways whose sends these are.
    pub gateways: u32,
    /// The servers with sends in flight.
    pub servers: Vec<(ServerTag, InFlightLoad)>,
    /// The use of the links of stores of kept blocks.
    pub links: LinkShares,
    /// The sessions whose requests are in flight, with their servers; only of one gateway's sends.
    pub sessions: Vec<(SessionTag, ServerTag)>,
}

impl LoadReport {
    /// Says whether a report is later than this one. Those of two hosts cannot be compared; the one
    /// that comes later counts.
    fn is_before(&self, other: &Self) -> bool {
        self.host != other.host
            || (self.incarnation, self.number) < (other.incarnation, other.number)
    }
}

/// Sums of sends by server.
#[derive(Debug, Default)]
pub(super) struct LoadSums {
    by_server: HashMap<ServerTag, InFlightLoad>,
    links: LinkShares,
    gateways: u32,
}

impl LoadSums {
    /// Adds the sends of some gateways.
    pub(super) fn add<'a>(
        &mut self,
        gateways: u32,
        servers: impl IntoIterator<Item = &'a (ServerTag, InFlightLoad)>,
        links: &LinkShares,
    ) {
        self.gateways = self.gateways.saturating_add(gateways);
        for (store, share) in links {
            let sum = self.links.entry(*store).or_default();
            *sum = sum.saturating_add(*share);
        }
        for (server, load) in servers {
            self.by_server.entry(*server).or_default().add(load);
        }
    }

    /// Makes a report of the sums.
    pub(super) fn into_report(
        self,
        sender: Sender,
        host: &HostName,
        incarnation: u64,
        number: u64,
    ) -> LoadReport {
        let mut servers: Vec<_> = self.by_server.into_iter().collect();
        servers.sort_by_key(|(server, _)| *server);
        let (host, gateways, links) = (host.clone(), self.gateways, self.links);
        LoadReport {
            sender,
            host,
            incarnation,
            number,
            gateways,
            servers,
            links,
            sessions: Vec::new(),
        }
    }
}

/// The latest reports of other gateways.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    reports: HashMap<Sender, (LoadReport, u64)>,
    all: LoadSums,
}

impl PeerLoads {
    /// Takes a report, unless a later one of its sender came before.
    pub(super) fn apply(&mut self, report: LoadReport, now_ms: u64) {
        let held = self.reports.get(&report.sender);
        if held.is_none_or(|(held, _)| held.is_before(&report)) {
            self.reports.insert(report.sender.clone(), (report, now_ms));
            self.sum_all();
        }
    }

    /// Leaves out senders that have told nothing for a while.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let before = self.reports.len();
        self.reports.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_TTL_MS);
        if self.reports.len() != before {
            self.sum_all();
        }
    }

    /// Returns the sends of all others to a server.
    pub(super) fn load_on(&self, server: ServerTag) -> InFlightLoad {
        self.all.by_server.get(&server).copied().unwrap_or_default()
    }

    /// Returns the use of the stores' links by all others.
    pub(super) const fn links(&self) -> &LinkShares {
        &self.all.links
    }

    /// Returns the number of gateways whose sends are known.
    pub(super) const fn gateways(&self) -> u32 {
        self.all.gateways
    }

    /// Returns the hosts whose own reports are held.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostName> {
        self.reports.keys().filter_map(|sender| match sender {
            Sender::Gateway(host) => Some(host),
            Sender::FailureDomain(_) | Sender::RemoteDomains => None,
        })
    }

    /// Returns the sums over some senders.
    pub(super) fn sums(&self, is_wanted: impl Fn(&Sender) -> bool) -> LoadSums {
        let mut sums = LoadSums::default();
        for (report, _) in self.reports.values().filter(|(report, _)| is_wanted(&report.sender)) {
            sums.add(report.gateways, &report.servers, &report.links);
        }
        sums
    }

    /// What a relay gathered from elsewhere replaces what it heard there.
    fn sum_all(&mut self) {
        let has_domains = self.reports.keys().any(|key| matches!(key, Sender::FailureDomain(_)));
        self.all = self.sums(|sender| match sender {
            Sender::Gateway(_) | Sender::FailureDomain(_) => true,
            Sender::RemoteDomains => !has_domains,
        });
    }
}
