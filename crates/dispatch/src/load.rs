//! What one gateway knows of each server: its load by own sends and those that others tell, its
//! health by own sends only.
//!
//! Load patterns: servers fall silent and stay in the registry for seconds; a server fails part of
//! its requests while its health check passes; several gateways fill the same free server at once.

mod peers;
mod sessions;
mod view;

pub use crate::load::peers::{InFlightLoad, LoadReport, Sender, ServerTag};
pub use crate::load::sessions::SessionTag;
pub use crate::load::view::{Health, LoadHeader, LoadView};

use crate::blocks::LinkShares;
use crate::load::peers::{LoadSums, PeerLoads};
use crate::load::sessions::Sessions;
use crate::registry::ServerId;
use protocol::ids::{FailureDomain, HostName};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// How long outcomes count towards a server's failure share, in milliseconds.
const OUTCOME_WINDOW_MS: u64 = 4_000;
/// The share of failed outcomes from which on a server is avoided. The order services of the
/// platform's pages fail 14 in 100 requests by themselves, so the bound lies well above.
const FAILING_SHARE: f64 = 0.34;
/// The failures within the window that are needed before the share counts.
const FAILING_COUNT: usize = 2;
/// How long a failing server is avoided after its last failure, in milliseconds.
const FAILING_PAUSE_MS: u64 = 1_500;
/// How long a server that shed a request is avoided, in milliseconds.
const SHED_PAUSE_MS: u64 = 250;
/// How long a server is avoided that could not be connected to or reset a connection, in
/// milliseconds; a health check may end it sooner.
const CONNECTION_FAILED_PAUSE_MS: u64 = 1_000;
/// How long a load header is believed, in milliseconds.
const HEADER_TTL_MS: u64 = 400;

/// Identifies a send among those of one gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AttemptId(u64);

/// What a send weighs on its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weight {
    /// The expected time until its first byte, in milliseconds, without waiting.
    pub service_ms: f64,
    /// The tokens that it holds in the server's memory.
    pub memory_tokens: u64,
    /// How long the server may stay silent after the send before it is suspected, in milliseconds.
    pub response_timeout_ms: u64,
    /// The session whose parts it leaves in the server's memory.
    pub session: Option<SessionTag>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: AttemptId,
    weight: Weight,
    sent_ms: u64,
    has_started: bool,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With an answer that does not speak against the server.
    Answered,
    /// With a failure that the server may cause.
    Failed,
    /// The server refused it without running it.
    Shed,
    /// The connection could not be opened or broke.
    ConnectionFailed,
    /// The caller left; nothing is learnt.
    Cancelled,
}

#[derive(Debug)]
struct ServerLoad {
    tag: ServerTag,
    attempts: SmallVec<[Attempt; 8]>,
    last_activity_ms: u64,
    header: Option<(LoadHeader, u64)>,
    outcomes: VecDeque<(u64, bool)>,
    avoided_until_ms: u64,
    /// Set while sends stay unanswered in silence; a health check or an answer clears it.
    suspected_since_ms: Option<u64>,
    /// Set when a health check failed too; sends that may go elsewhere do.
    is_dead: bool,
    occupied_until_ms: u64,
}

impl ServerLoad {
    fn new(server: &ServerId) -> Self {
        Self {
            tag: ServerTag::new(server),
            attempts: SmallVec::new(),
            last_activity_ms: 0,
            header: None,
            outcomes: VecDeque::new(),
            avoided_until_ms: 0,
            suspected_since_ms: None,
            is_dead: false,
            occupied_until_ms: 0,
        }
    }

    fn local_load(&self) -> InFlightLoad {
        let unstarted = self.attempts.iter().filter(|attempt| !attempt.has_started);
        let unstarted_ms: f64 = unstarted.map(|attempt| attempt.weight.service_ms).sum();
        InFlightLoad {
            in_flight: self.attempts.len() as u32,
            memory_tokens: self.attempts.iter().map(|attempt| attempt.weight.memory_tokens).sum(),
            unstarted_ms: unstarted_ms as u32,
        }
    }
}

/// A gateway that reports its sends.
#[derive(Clone, Copy, Debug)]
pub struct Reporter<'a> {
    /// Its host.
    pub host: &'a HostName,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// The start of its process, as Unix milliseconds.
    pub incarnation: u64,
}

/// Holds the load of all servers.
#[derive(Debug, Default)]
pub struct Loads {
    servers: HashMap<ServerId, ServerLoad>,
    next_attempt: u64,
    peers: PeerLoads,
    sessions: Sessions,
    /// The number of the latest report.
    reports: u64,
    /// Whether own sends changed since that report.
    is_changed: bool,
}

impl Loads {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn server_mut(&mut self, server: &ServerId) -> &mut ServerLoad {
        self.servers.entry(server.clone()).or_insert_with(|| ServerLoad::new(server))
    }

    /// Returns a report of all own sends if they changed since the last one, or if a report is
    /// wanted anyway.
    pub fn report(
        &mut self,
        reporter: &Reporter<'_>,
        links: &LinkShares,
        is_wanted: bool,
        now_ms: u64,
    ) -> Option<LoadReport> {
        let sessions = self.local_sessions();
        for (session, server) in &sessions {
            self.sessions.record(*session, *server, now_ms);
        }
        if !std::mem::replace(&mut self.is_changed, false) && !is_wanted {
            return None;
        }
        let mut sums = LoadSums::default();
        sums.add(1, &self.local_loads(), links);
        let sender = Sender::Gateway(reporter.host.clone());
        Some(LoadReport { sessions, ..self.number(sender, reporter, sums) })
    }

    /// Returns a report of the sends of a failure domain's gateways, this one included.
    pub fn domain_report(&mut self, reporter: &Reporter<'_>, links: &LinkShares) -> LoadReport {
        let mut sums = self.peers.sums(|sender| matches!(sender, Sender::Gateway(_)));
        sums.add(1, &self.local_loads(), links);
        self.number(Sender::FailureDomain(reporter.domain.clone()), reporter, sums)
    }

    /// Returns a report of the sends of all other failure domains.
    pub fn remote_report(&mut self, reporter: &Reporter<'_>) -> LoadReport {
        let sums = self.peers.sums(|sender| matches!(sender, Sender::FailureDomain(_)));
        self.number(Sender::RemoteDomains, reporter, sums)
    }

    fn number(&mut self, sender: Sender, reporter: &Reporter<'_>, sums: LoadSums) -> LoadReport {
        self.reports += 1;
        sums.into_report(sender, reporter.host, reporter.incarnation, self.reports)
    }

    fn local_loads(&self) -> Vec<(ServerTag, InFlightLoad)> {
        let in_use = self.servers.values().filter(|load| !load.attempts.is_empty());
        in_use.map(|load| (load.tag, load.local_load())).collect()
    }

    fn local_sessions(&self) -> Vec<(SessionTag, ServerTag)> {
        let attempts = self.servers.values().flat_map(|load| {
            load.attempts.iter().filter_map(|attempt| Some((attempt.weight.session?, load.tag)))
        });
        attempts.collect()
    }

    /// Returns the server where a session's parts probably are.
    pub fn session_server(&self, session: SessionTag, now_ms: u64) -> Option<ServerTag> {
        self.sessions.server(session, now_ms)
    }

    /// Takes another gateway's report of its sends.
    pub fn apply_report(&mut self, report: LoadReport, now_ms: u64) {
        for (session, server) in &report.sessions {
            self.sessions.record(*session, *server, now_ms);
        }
        self.peers.apply(report, now_ms);
    }

    /// Leaves out gateways that have reported nothing for a while.
    pub fn expire_reports(&mut self, now_ms: u64) {
        self.peers.expire(now_ms);
    }

    /// Returns the number of other gateways whose sends are known.
    pub const fn reporting_gateways(&self) -> usize {
        self.peers.gateways() as usize
    }

    /// Returns the use of the stores' links by other gateways.
    pub const fn peer_link_use(&self) -> &LinkShares {
        self.peers.links()
    }

    /// Returns the hosts of the gateways that report to this one themselves.
    pub fn reporting_hosts(&self) -> impl Iterator<Item = &HostName> {
        self.peers.hosts()
    }

    /// Notes a send.
    pub fn sent(&mut self, server: &ServerId, weight: Weight, now_ms: u64) -> AttemptId {
        self.next_attempt += 1;
        let id = AttemptId(self.next_attempt);
        let load = self.server_mut(server);
        let tag = load.tag;
        load.attempts.push(Attempt { id, weight, sent_ms: now_ms, has_started: false });
        if let Some(session) = weight.session {
            self.sessions.record(session, tag, now_ms);
        }
        self.is_changed = true;
        id
    }

    /// Notes bytes from a server.
    pub fn record_activity(&mut self, server: &ServerId, now_ms: u64) {
        let load = self.server_mut(server);
        load.last_activity_ms = now_ms;
        load.suspected_since_ms = None;
        load.is_dead = false;
    }

    /// Notes the head of an answer.
    pub fn started(
        &mut self,
        server: &ServerId,
        attempt: AttemptId,
        header: Option<LoadHeader>,
        now_ms: u64,
    ) {
        self.record_activity(server, now_ms);
        let load = self.server_mut(server);
        if let Some(header) = header {
            load.header = Some((header, now_ms));
        }
        if let Some(attempt) = load.attempts.iter_mut().find(|other| other.id == attempt) {
            attempt.has_started = true;
        }
        self.is_changed = true;
    }

    /// Notes the end of a send.
    pub fn finished(
        &mut self,
        server: &ServerId,
        attempt: AttemptId,
        outcome: Outcome,
        now_ms: u64,
    ) {
        self.is_changed = true;
        let load = self.server_mut(server);
        load.attempts.retain(|other| other.id != attempt);
        let pause_ms = match outcome {
            Outcome::Cancelled => return,
            Outcome::Shed => SHED_PAUSE_MS,
            Outcome::ConnectionFailed => CONNECTION_FAILED_PAUSE_MS,
            Outcome::Answered | Outcome::Failed => {
                record_outcome(&mut load.outcomes, outcome == Outcome::Failed, now_ms);
                if is_failing(&load.outcomes) { FAILING_PAUSE_MS } else { 0 }
            }
        };
        load.avoided_until_ms = load.avoided_until_ms.max(now_ms + pause_ms);
    }

    /// Notes that a server takes no requests for a while, as it loads weights.
    pub fn occupy(&mut self, server: &ServerId, until_ms: u64) {
        self.server_mut(server).occupied_until_ms = until_ms;
    }

    /// Notes that a server has finished loading weights.
    pub fn release(&mut self, server: &ServerId) {
        self.server_mut(server).occupied_until_ms = 0;
    }

    /// Notes a passed health check.
    pub fn healthy(&mut self, server: &ServerId, now_ms: u64) {
        self.record_activity(server, now_ms);
        // Sends from before the check stay unanswered; they must not raise the suspicion again.
        let load = self.server_mut(server);
        for attempt in &mut load.attempts {
            attempt.weight.response_timeout_ms = u64::MAX;
        }
        load.avoided_until_ms = load.avoided_until_ms.min(now_ms);
    }

    /// Notes a failed health check of a suspected server.
    pub fn unhealthy(&mut self, server: &ServerId, now_ms: u64) {
        let load = self.server_mut(server);
        load.suspected_since_ms.get_or_insert(now_ms);
        load.is_dead = true;
    }

    /// Says whether a server answers neither requests nor health checks.
    pub fn is_dead(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|load| load.is_dead)
    }

    /// Returns the servers that became suspected since the last call.
    pub fn find_unresponsive(&mut self, now_ms: u64) -> Vec<ServerId> {
        let mut found = Vec::new();
        for (id, load) in &mut self.servers {
            if load.suspected_since_ms.is_none() && is_unresponsive(load, now_ms) {
                load.suspected_since_ms = Some(now_ms);
                found.push(id.clone());
            }
        }
        found
    }

    /// Returns the servers that are suspected.
    pub fn suspected(&self) -> Vec<ServerId> {
        let suspected = self.servers.iter().filter(|(_, load)| load.suspected_since_ms.is_some());
        suspected.map(|(id, _)| id.clone()).collect()
    }

    /// Says whether a server is suspected.
    pub fn is_suspected(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|load| load.suspected_since_ms.is_some())
    }

    /// Returns a server's load.
    pub fn view(&self, server: &ServerId, now_ms: u64) -> LoadView {
        let Some(load) = self.servers.get(server) else {
            let peers = self.peers.load_on(ServerTag::new(server));
            return LoadView::new(Health::Good, InFlightLoad::default(), peers, None);
        };
        let header = load.header.filter(|(_, at_ms)| at_ms + HEADER_TTL_MS > now_ms);
        let peers = self.peers.load_on(load.tag);
        LoadView::new(
            health(load, now_ms),
            load.local_load(),
            peers,
            header.map(|(header, _)| header),
        )
    }

    /// Forgets a server that left, once nothing is in flight there.
    pub fn forget(&mut self, server: &ServerId) {
        if self.servers.get(server).is_some_and(|load| load.attempts.is_empty()) {
            self.servers.remove(server);
        }
    }
}

fn health(load: &ServerLoad, now_ms: u64) -> Health {
    if load.suspected_since_ms.is_some() || is_unresponsive(load, now_ms) {
        return Health::Suspected;
    }
    if now_ms < load.avoided_until_ms || now_ms < load.occupied_until_ms {
        return Health::Avoided;
    }
    Health::Good
}

/// A server is silent when a send waits longer than it may and nothing was heard since the send.
fn is_unresponsive(load: &ServerLoad, now_ms: u64) -> bool {
    load.attempts.iter().any(|attempt| {
        let bound_ms = attempt.sent_ms.saturating_add(attempt.weight.response_timeout_ms);
        !attempt.has_started && now_ms > bound_ms && load.last_activity_ms <= attempt.sent_ms
    })
}

fn record_outcome(outcomes: &mut VecDeque<(u64, bool)>, failed: bool, now_ms: u64) {
    while outcomes.front().is_some_and(|(at_ms, _)| at_ms + OUTCOME_WINDOW_MS <= now_ms) {
        outcomes.pop_front();
    }
    outcomes.push_back((now_ms, failed));
}

fn is_failing(outcomes: &VecDeque<(u64, bool)>) -> bool {
    let failed = outcomes.iter().filter(|(_, failed)| *failed).count();
    failed >= FAILING_COUNT && failed as f64 > FAILING_SHARE * outcomes.len() as f64
}
