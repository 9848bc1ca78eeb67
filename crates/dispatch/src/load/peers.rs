//! Load reports that gateways exchange.
//!
//! Load pattern: a burst of arrivals reaches several gateways at once. With only their own load in
//! view, all of them choose the same free server, whose memory cannot hold the prompts.

use crate::blocks::LinkShares;
use crate::load::SessionTag;
use crate::registry::ServerId;
use protocol::ids::{FailureDomain, HostName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How long a report counts, in milliseconds. Several reports may be lost before a gateway's load
/// is left out.
const REPORT_TTL_MS: u64 = 1_000;

/// Identifies a server in few bytes; reports are sent many times a second.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerTag(u32);

impl ServerTag {
    /// Derives the tag of a server. If two servers have the same tag, each is charged with the load
    /// of both.
    pub fn new(server: &ServerId) -> Self {
        let hash = blake3::hash(server.as_str().as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([first, second, third, fourth]))
    }
}

/// The load of one or several gateways on one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InFlightLoad {
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// The tokens that they take in the server's memory.
    pub memory_tokens: u64,
    /// The service time of the attempts that have no answer yet, in milliseconds.
    pub unstarted_ms: u32,
}

impl InFlightLoad {
    /// Adds another load, saturating, because reports of other processes may hold any value.
    pub(super) fn add(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.unstarted_ms = self.unstarted_ms.saturating_add(other.unstarted_ms);
    }
}

/// The gateways that a report covers.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Sender {
    /// One gateway.
    Gateway(HostName),
    /// All gateways of a failure domain, aggregated by one of them.
    FailureDomain(FailureDomain),
    /// All other failure domains, aggregated for the gateways of one domain.
    #[serde(rename = "Elsewhere")]
    RemoteDomains,
}

/// The load of one or several gateways at one time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateways that the report covers.
    pub sender: Sender,
    /// The host of the gateway that wrote the report.
    pub host: HostName,
    /// The incarnation of that gateway: the start of its process, as Unix milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The sequence number within the incarnation, because datagrams may be reordered.
    pub number: u64,
    /// The number of gateways that the report covers.
    pub gateways: u32,
    /// The servers with attempts in flight.
    pub servers: Vec<(ServerTag, InFlightLoad)>,
    /// The use of the block stores' links.
    pub links: LinkShares,
    /// The sessions with requests in flight, and their servers; only in reports of a single
    /// gateway.
    pub sessions: Vec<(SessionTag, ServerTag)>,
}

impl LoadReport {
    /// Returns whether another report is later than this one. Reports of two hosts cannot be
    /// ordered; the one received last counts.
    fn is_before(&self, other: &Self) -> bool {
        self.host != other.host
            || (self.incarnation, self.number) < (other.incarnation, other.number)
    }
}

/// Sums of load by server.
#[derive(Debug, Default)]
pub(super) struct LoadSums {
    by_server: HashMap<ServerTag, InFlightLoad>,
    links: LinkShares,
    gateways: u32,
}

impl LoadSums {
    /// Adds the load of some gateways.
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

    /// Converts the sums to a report.
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
    /// Applies a report, unless a later one of its sender was applied before.
    pub(super) fn apply(&mut self, report: LoadReport, now_ms: u64) {
        let held = self.reports.get(&report.sender);
        if held.is_none_or(|(held, _)| held.is_before(&report)) {
            self.reports.insert(report.sender.clone(), (report, now_ms));
            self.sum_all();
        }
    }

    /// Removes the reports of senders that sent none for a while.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let before = self.reports.len();
        self.reports.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_TTL_MS);
        if self.reports.len() != before {
            self.sum_all();
        }
    }

    /// Returns the load of all other gateways on a server.
    pub(super) fn load_on(&self, server: ServerTag) -> InFlightLoad {
        self.all.by_server.get(&server).copied().unwrap_or_default()
    }

    /// Returns all other gateways' use of the stores' links.
    pub(super) const fn links(&self) -> &LinkShares {
        &self.all.links
    }

    /// Returns the number of gateways whose load is reported.
    pub(super) const fn gateways(&self) -> u32 {
        self.all.gateways
    }

    /// Returns the hosts of the gateways whose own reports are held.
    pub(super) fn hosts(&self) -> impl Iterator<Item = &HostName> {
        self.reports.keys().filter_map(|sender| match sender {
            Sender::Gateway(host) => Some(host),
            Sender::FailureDomain(_) | Sender::RemoteDomains => None,
        })
    }

    /// Returns the sums over the reports of some senders.
    pub(super) fn sums(&self, is_wanted: impl Fn(&Sender) -> bool) -> LoadSums {
        let mut sums = LoadSums::default();
        for (report, _) in self.reports.values().filter(|(report, _)| is_wanted(&report.sender)) {
            sums.add(report.gateways, &report.servers, &report.links);
        }
        sums
    }

    /// Recomputes the sums. On a relay, the reports of the other failure domains replace the
    /// aggregate of all remote domains.
    fn sum_all(&mut self) {
        let has_domains = self.reports.keys().any(|key| matches!(key, Sender::FailureDomain(_)));
        self.all = self.sums(|sender| match sender {
            Sender::Gateway(_) | Sender::FailureDomain(_) => true,
            Sender::RemoteDomains => !has_domains,
        });
    }
}
