//! Load reports that gateways exchange.
//!
//! Load pattern: a burst of arrivals reaches several gateways at once. With only their own load in
//! view, all of them choose the same free server, whose memory cannot hold the prompts.

use crate::blocks::LinkShares;
use crate::load::SessionTag;
use crate::load::digest::{GatewayTag, LoadDigest};
use crate::registry::ServerId;
use crate::relays::DIGEST_TTL_MS;
use protocol::ids::{FailureDomain, HostName};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

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

    /// Returns the tag's encoded form.
    pub(super) const fn to_bytes(self) -> [u8; 4] {
        self.0.to_le_bytes()
    }

    /// Returns the tag of an encoded form.
    pub(super) const fn from_bytes(bytes: [u8; 4]) -> Self {
        Self(u32::from_le_bytes(bytes))
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
    /// Returns whether another report of the sender replaces this one. Reports of two relays cannot
    /// be ordered: the one that covers more gateways counts while it is recent.
    fn gives_way_to(&self, other: &Self, received_ms: u64, now_ms: u64) -> bool {
        if self.host == other.host {
            return (self.incarnation, self.number) < (other.incarnation, other.number);
        }
        other.gateways >= self.gateways || now_ms >= received_ms + DIGEST_TTL_MS
    }
}

/// The sum of the load of some gateways on one server. Reports of other processes may hold any value,
/// so that sums need more room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct LoadSum {
    in_flight: u64,
    memory_tokens: u128,
    unstarted_ms: u64,
}

impl LoadSum {
    const fn add(&mut self, load: &InFlightLoad) {
        self.in_flight += load.in_flight as u64;
        self.memory_tokens += load.memory_tokens as u128;
        self.unstarted_ms += load.unstarted_ms as u64;
    }

    /// Removes a load. One that a digest rounded may be smaller than its parts.
    const fn remove(&mut self, load: &InFlightLoad) {
        self.in_flight = self.in_flight.saturating_sub(load.in_flight as u64);
        self.memory_tokens = self.memory_tokens.saturating_sub(load.memory_tokens as u128);
        self.unstarted_ms = self.unstarted_ms.saturating_sub(load.unstarted_ms as u64);
    }

    fn to_load(self) -> InFlightLoad {
        InFlightLoad {
            in_flight: self.in_flight.try_into().unwrap_or(u32::MAX),
            memory_tokens: self.memory_tokens.try_into().unwrap_or(u64::MAX),
            unstarted_ms: self.unstarted_ms.try_into().unwrap_or(u32::MAX),
        }
    }
}

/// Sums of load by server.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadSums {
    by_server: HashMap<ServerTag, LoadSum>,
    links: LinkShares,
    gateways: u64,
}

impl LoadSums {
    /// Adds the load of some gateways.
    pub(super) fn add<'a>(
        &mut self,
        gateways: u32,
        servers: impl IntoIterator<Item = &'a (ServerTag, InFlightLoad)>,
        links: &LinkShares,
    ) {
        self.gateways += u64::from(gateways);
        for (store, share) in links {
            let sum = self.links.entry(*store).or_default();
            *sum = sum.saturating_add(*share);
        }
        for (server, load) in servers {
            self.by_server.entry(*server).or_default().add(load);
        }
    }

    /// Removes load that was added before.
    pub(super) fn remove<'a>(
        &mut self,
        gateways: u32,
        servers: impl IntoIterator<Item = &'a (ServerTag, InFlightLoad)>,
        links: &LinkShares,
    ) {
        self.gateways = self.gateways.saturating_sub(u64::from(gateways));
        for (store, share) in links {
            if let Some(sum) = self.links.get_mut(store) {
                *sum = sum.saturating_sub(*share);
            }
        }
        for (server, load) in servers {
            if let Some(sum) = self.by_server.get_mut(server) {
                sum.remove(load);
                if *sum == LoadSum::default() {
                    self.by_server.remove(server);
                }
            }
        }
    }

    fn load_on(&self, server: ServerTag) -> InFlightLoad {
        self.by_server.get(&server).copied().unwrap_or_default().to_load()
    }

    /// Returns the number of gateways.
    pub(super) fn gateways(&self) -> u32 {
        self.gateways.try_into().unwrap_or(u32::MAX)
    }

    /// Returns the use of the stores' links.
    pub(super) const fn links(&self) -> &LinkShares {
        &self.links
    }

    /// Returns the load of each server, in the order of their tags.
    pub(super) fn servers(&self) -> Vec<(ServerTag, InFlightLoad)> {
        let sums = self.by_server.iter();
        let mut servers: Vec<_> = sums.map(|(server, sum)| (*server, sum.to_load())).collect();
        servers.sort_by_key(|(server, _)| *server);
        servers
    }

    /// Converts the sums to a report.
    pub(super) fn into_report(
        self,
        sender: Sender,
        host: &HostName,
        incarnation: u64,
        number: u64,
    ) -> LoadReport {
        LoadReport {
            sender,
            host: host.clone(),
            incarnation,
            number,
            gateways: self.gateways(),
            servers: self.servers(),
            links: self.links,
            sessions: Vec::new(),
        }
    }
}

/// A digest as it is held.
#[derive(Debug)]
struct HeldDigest {
    host: HostName,
    /// The incarnation of its relay, and its number there.
    order: (u64, u64),
    members: HashSet<GatewayTag>,
    covers_local: bool,
    /// Its sums without this gateway's own load.
    sums: LoadSums,
    received_ms: u64,
}

impl HeldDigest {
    /// Returns whether a digest of another relay is to be preferred.
    fn is_outranked(&self, members: usize, covers_local: bool, now_ms: u64) -> bool {
        now_ms >= self.received_ms + DIGEST_TTL_MS
            || (covers_local, members) > (self.covers_local, self.members.len())
    }
}

/// The latest reports of other gateways.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    reports: HashMap<Sender, (LoadReport, u64)>,
    /// The sums over the reports that count.
    reported: LoadSums,
    /// The latest digest of this failure domain's relay, which counts in place of the reports.
    digest: Option<HeldDigest>,
}

impl PeerLoads {
    /// Applies a report, unless a later one of its sender was applied before.
    pub(super) fn apply(&mut self, report: LoadReport, now_ms: u64) {
        let held = self.reports.get(&report.sender);
        if held.is_some_and(|(held, at_ms)| !held.gives_way_to(&report, *at_ms, now_ms)) {
            return;
        }
        let sender = report.sender.clone();
        let added = report.clone();
        let old = self.reports.insert(sender.clone(), (report, now_ms));
        if matches!(sender, Sender::Gateway(_)) {
            if let Some((old, _)) = old {
                self.reported.remove(old.gateways, &old.servers, &old.links);
            }
            self.reported.add(added.gateways, &added.servers, &added.links);
        } else {
            self.sum_reported();
        }
    }

    /// Applies a digest of a relay of this failure domain; `covered` is this gateway's own report in
    /// it. A digest of another relay than before counts if it covers this gateway or more gateways.
    pub(super) fn apply_digest(
        &mut self,
        digest: &LoadDigest,
        covered: Option<&LoadReport>,
        now_ms: u64,
    ) {
        let (order, members) = ((digest.incarnation, digest.number), digest.members.len());
        let is_newer = match &self.digest {
            None => true,
            Some(held) if held.host == digest.host => held.order < order,
            Some(held) => held.is_outranked(members, covered.is_some(), now_ms),
        };
        if !is_newer {
            return;
        }
        let mut sums = digest.sums();
        if let Some(own) = covered {
            sums.remove(own.gateways, &own.servers, &own.links);
        }
        self.digest = Some(HeldDigest {
            host: digest.host.clone(),
            order,
            members: digest.members.iter().map(|(member, _)| *member).collect(),
            covers_local: covered.is_some(),
            sums,
            received_ms: now_ms,
        });
    }

    /// Forgets the digest, because this gateway is a relay itself.
    pub(super) fn forget_digest(&mut self) {
        self.digest = None;
    }

    /// Removes the reports of senders that sent none for a while.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let before = self.reports.len();
        self.reports.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_TTL_MS);
        if self.reports.len() != before {
            self.sum_reported();
        }
        self.digest = self.digest.take().filter(|held| now_ms < held.received_ms + REPORT_TTL_MS);
    }

    fn all(&self) -> &LoadSums {
        self.digest.as_ref().map_or(&self.reported, |held| &held.sums)
    }

    /// Returns the load of all other gateways on a server.
    pub(super) fn load_on(&self, server: ServerTag) -> InFlightLoad {
        self.all().load_on(server)
    }

    /// Returns all other gateways' use of the stores' links.
    pub(super) fn links(&self) -> &LinkShares {
        self.all().links()
    }

    /// Returns the number of gateways whose load is reported.
    pub(super) fn gateways(&self) -> u32 {
        self.all().gateways()
    }

    /// Returns whether a gateway of this failure domain, or in a small installation any, reports its
    /// load.
    pub(super) fn is_reporting(&self, host: &HostName) -> bool {
        match &self.digest {
            Some(held) => held.members.contains(&GatewayTag::new(host)),
            None => self.reports.contains_key(&Sender::Gateway(host.clone())),
        }
    }

    /// Returns the gateways whose own reports are held, each with the number of its report.
    pub(super) fn members(&self) -> impl Iterator<Item = (&HostName, u64)> {
        self.reports.iter().filter_map(|(sender, (report, _))| match sender {
            Sender::Gateway(host) => Some((host, report.number)),
            Sender::FailureDomain(_) | Sender::RemoteDomains => None,
        })
    }

    /// Returns the relay of another failure domain, as the sender of the domain's load.
    pub(super) fn relay_of(&self, domain: &FailureDomain) -> Option<&HostName> {
        let held = self.reports.get(&Sender::FailureDomain(domain.clone()));
        held.map(|(report, _)| &report.host)
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
    fn sum_reported(&mut self) {
        let has_domains = self.reports.keys().any(|key| matches!(key, Sender::FailureDomain(_)));
        self.reported = self.sums(|sender| match sender {
            Sender::Gateway(_) | Sender::FailureDomain(_) => true,
            Sender::RemoteDomains => !has_domains,
        });
    }
}
