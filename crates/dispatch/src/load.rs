//! One gateway's view of each server: its load, from local attempts and the reports of peers, and
//! its health, from local attempts only.
//!
//! Load patterns: servers stop answering and stay in the registry for seconds; a server fails part
//! of its requests while its health check passes; several gateways fill the same free server at
//! once.

mod digest;
mod peers;
mod sessions;
mod slowdown;
mod view;

pub use crate::load::digest::{GatewayTag, LoadDigest, ServerLoads};
pub use crate::load::peers::{InFlightLoad, LoadReport, Sender, ServerTag};
pub use crate::load::sessions::SessionTag;
pub use crate::load::slowdown::{
    MAX_ROWS, SampleOrigin, Slowdown, SlowdownError, SlowdownRow, SlowdownRows, SlowdownView,
};
pub use crate::load::view::{Health, LoadHeader, LoadView};

use crate::blocks::LinkShares;
use crate::load::peers::{LoadSums, PeerLoads};
use crate::load::sessions::Sessions;
use crate::load::slowdown::Slowdowns;
use crate::registry::ServerId;
use protocol::ids::{FailureDomain, HostName};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// How long outcomes count towards a server's share of failures, in milliseconds.
const OUTCOME_WINDOW_MS: u64 = 4_000;
/// The share of failed outcomes from which on a server is avoided. The order services in the
/// platform documentation normally fail 14 of 100 requests, so the limit is well above that.
const FAILING_SHARE: f64 = 0.34;
/// The minimum number of failures within the window for the share to count.
const FAILING_COUNT: usize = 2;
/// How long a failing server is avoided after its last failure, in milliseconds.
const FAILING_PAUSE_MS: u64 = 1_500;
/// How long a server is avoided after it shed a request, in milliseconds.
const SHED_PAUSE_MS: u64 = 250;
/// How long a server is avoided after a failed connection attempt or a connection reset, in
/// milliseconds; a passed health check ends it earlier.
const CONNECTION_FAILED_PAUSE_MS: u64 = 1_000;
/// How long a load header counts, in milliseconds.
const HEADER_TTL_MS: u64 = 400;
/// The number of reports of the local load that are kept until a digest covers them.
const MAX_SENT_REPORTS: usize = 16;

/// Identifies an attempt in flight among those of one gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct InFlightId(u64);

/// The expected cost of an attempt on its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptCost {
    /// The expected time to its first byte without queueing, in milliseconds.
    pub service_ms: f64,
    /// The tokens that it takes in the server's memory.
    pub memory_tokens: u64,
    /// How long the server may stay silent after the dispatch before it is suspected, in
    /// milliseconds.
    pub response_timeout_ms: u64,
    /// The session whose blocks it leaves in the server's memory.
    pub session: Option<SessionTag>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: InFlightId,
    cost: AttemptCost,
    sent_ms: u64,
    has_started: bool,
    /// The slowdown of the server when it was sent, as a factor.
    slowdown: f64,
}

impl Attempt {
    /// Returns whether the server should have answered by now; `active_ms` is when it last sent
    /// anything, `slowdown` how slow its machine is now.
    fn is_unanswered(&self, active_ms: u64, slowdown: f64, now_ms: u64) -> bool {
        let timeout_ms = self.cost.response_timeout_ms;
        let slowdown = slowdown.max(self.slowdown);
        let is_slow = slowdown > 1.0;
        let timeout_ms = if is_slow { (timeout_ms as f64 * slowdown) as u64 } else { timeout_ms };
        let bound_ms = self.sent_ms.saturating_add(timeout_ms);
        !self.has_started && now_ms > bound_ms && active_ms <= self.sent_ms
    }
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An answer that does not count against the server.
    Answered,
    /// A failure that the server may have caused.
    Failed,
    /// The server refused the request without running it.
    Shed,
    /// The connection could not be opened, or was lost.
    ConnectionFailed,
    /// The caller or the gateway cancelled the attempt, which counts neither for nor against the
    /// server.
    Cancelled,
}

#[derive(Debug)]
struct ServerLoad {
    tag: ServerTag,
    attempts: SmallVec<[Attempt; 8]>,
    /// The oldest attempt that was cancelled before anything was received from the server since.
    superseded: Option<Attempt>,
    last_activity_ms: u64,
    header: Option<(LoadHeader, u64)>,
    outcomes: VecDeque<(u64, bool)>,
    avoided_until_ms: u64,
    /// Set when an attempt gets no answer within its response timeout. Cleared by a passed health
    /// check or any received bytes.
    suspected_since_ms: Option<u64>,
    /// Set when a health check fails too. Attempts that can move to another server then do.
    is_offline: bool,
    occupied_until_ms: u64,
}

impl ServerLoad {
    fn new(server: &ServerId) -> Self {
        Self {
            tag: ServerTag::new(server),
            attempts: SmallVec::new(),
            superseded: None,
            last_activity_ms: 0,
            header: None,
            outcomes: VecDeque::new(),
            avoided_until_ms: 0,
            suspected_since_ms: None,
            is_offline: false,
            occupied_until_ms: 0,
        }
    }

    fn local_load(&self) -> InFlightLoad {
        let unstarted = self.attempts.iter().filter(|attempt| !attempt.has_started);
        let unstarted_ms: f64 = unstarted.map(|attempt| attempt.cost.service_ms).sum();
        InFlightLoad {
            in_flight: self.attempts.len() as u32,
            memory_tokens: self.attempts.iter().map(|attempt| attempt.cost.memory_tokens).sum(),
            unstarted_ms: unstarted_ms as u32,
        }
    }
}

/// The gateway that sends the reports.
#[derive(Clone, Copy, Debug)]
pub struct Reporter<'a> {
    /// Its host.
    pub host: &'a HostName,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// The start of its process, as Unix milliseconds.
    pub incarnation: u64,
}

/// The load of all servers.
#[derive(Debug, Default)]
pub struct Loads {
    servers: HashMap<ServerId, ServerLoad>,
    next_attempt: u64,
    peers: PeerLoads,
    sessions: Sessions,
    slowdowns: Slowdowns,
    /// The number of the latest report.
    reports: u64,
    /// Whether the local load changed since that report.
    is_changed: bool,
    /// The latest reports of the local load, which digests cover with some delay.
    sent_reports: VecDeque<LoadReport>,
}

impl Loads {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn server_mut(&mut self, server: &ServerId) -> &mut ServerLoad {
        self.servers.entry(server.clone()).or_insert_with(|| ServerLoad::new(server))
    }

    /// Returns a report of the local load if it changed since the last report or if a report is due
    /// anyway.
    pub fn report(
        &mut self,
        reporter: &Reporter<'_>,
        links: &LinkShares,
        is_due: bool,
        now_ms: u64,
    ) -> Option<LoadReport> {
        let sessions = self.local_sessions();
        for (session, server) in &sessions {
            self.sessions.record(*session, *server, now_ms);
        }
        if !std::mem::replace(&mut self.is_changed, false) && !is_due {
            return None;
        }
        let mut sums = LoadSums::default();
        sums.add(1, &self.local_loads(), links);
        let sender = Sender::Gateway(reporter.host.clone());
        let report = LoadReport { sessions, ..self.number(sender, reporter, sums) };
        if self.sent_reports.len() >= MAX_SENT_REPORTS {
            self.sent_reports.pop_front();
        }
        self.sent_reports.push_back(report.clone());
        Some(report)
    }

    /// Returns a digest of the load of all gateways for those of this failure domain, whose relay
    /// this gateway is.
    pub fn digest(
        &mut self,
        reporter: &Reporter<'_>,
        links: &LinkShares,
        now_ms: u64,
    ) -> LoadDigest {
        self.peers.forget_digest();
        for (session, server) in self.local_sessions() {
            self.sessions.record(session, server, now_ms);
        }
        let mut sums = self.peers.sums(|sender| *sender != Sender::RemoteDomains);
        sums.add(1, &self.local_loads(), links);
        self.reports += 1;
        let members = self.peers.members().chain([(reporter.host, self.reports)]);
        let members = members.map(|(host, number)| (GatewayTag::new(host), number));
        LoadDigest {
            host: reporter.host.clone(),
            incarnation: reporter.incarnation,
            number: self.reports,
            members: members.collect(),
            gateways: sums.gateways(),
            servers: ServerLoads(sums.servers()),
            links: sums.links().clone(),
            sessions: self.sessions.take_due(now_ms),
        }
    }

    /// Applies a digest of a relay of this failure domain, received by the gateway `local`; returns
    /// whether it covers this gateway's reports.
    pub fn apply_digest(&mut self, digest: &LoadDigest, local: GatewayTag, now_ms: u64) -> bool {
        for (session, server) in &digest.sessions {
            self.sessions.record(*session, *server, now_ms);
        }
        let covered = digest.covered_report(local);
        let own = covered.and_then(|number| {
            let same = self.sent_reports.iter().find(|report| report.number == number);
            same.or(self.sent_reports.back())
        });
        self.peers.apply_digest(digest, own, now_ms);
        covered.is_some()
    }

    /// Returns the number of gateways of this failure domain whose reports are held, this one
    /// included.
    pub fn members(&self) -> usize {
        self.peers.members().count() + 1
    }

    /// Returns a report of the load from all gateways of this failure domain, this gateway
    /// included.
    pub fn domain_report(&mut self, reporter: &Reporter<'_>, links: &LinkShares) -> LoadReport {
        let mut sums = self.peers.sums(|sender| matches!(sender, Sender::Gateway(_)));
        sums.add(1, &self.local_loads(), links);
        self.number(Sender::FailureDomain(reporter.domain.clone()), reporter, sums)
    }

    /// Returns a report of the load from all other failure domains.
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
            load.attempts.iter().filter_map(|attempt| Some((attempt.cost.session?, load.tag)))
        });
        attempts.collect()
    }

    /// Returns the server whose memory probably holds a session's blocks.
    pub fn session_server(&self, session: SessionTag, now_ms: u64) -> Option<ServerTag> {
        self.sessions.server(session, now_ms)
    }

    /// Applies a peer's load report.
    pub fn apply_report(&mut self, report: LoadReport, now_ms: u64) {
        for (session, server) in &report.sessions {
            self.sessions.record(*session, *server, now_ms);
        }
        self.peers.apply(report, now_ms);
    }

    /// Removes the reports of gateways that sent none for a while.
    pub fn expire_reports(&mut self, now_ms: u64) {
        self.peers.expire(now_ms);
        self.slowdowns.expire(now_ms);
    }

    /// Returns the number of other gateways whose load is reported.
    pub fn reporting_gateways(&self) -> usize {
        self.peers.gateways() as usize
    }

    /// Returns other gateways' use of the stores' links.
    pub fn peer_link_use(&self) -> &LinkShares {
        self.peers.links()
    }

    /// Returns whether a gateway reports its load to this one or to the relay of the failure domain.
    pub fn is_reporting(&self, host: &HostName) -> bool {
        self.peers.is_reporting(host)
    }

    /// Returns the hosts of the gateways that report directly to this one.
    pub fn reporting_hosts(&self) -> impl Iterator<Item = &HostName> {
        self.peers.members().map(|(host, _)| host)
    }

    /// Returns the relay of another failure domain.
    pub fn relay_of(&self, domain: &FailureDomain) -> Option<&HostName> {
        self.peers.relay_of(domain)
    }

    /// Records the dispatch of an attempt.
    pub fn sent(&mut self, server: &ServerId, cost: AttemptCost, now_ms: u64) -> InFlightId {
        self.next_attempt += 1;
        let id = InFlightId(self.next_attempt);
        let slowdown = self.slowdowns.factor(ServerTag::new(server), now_ms);
        let load = self.server_mut(server);
        let tag = load.tag;
        let attempt = Attempt { id, cost, sent_ms: now_ms, has_started: false, slowdown };
        load.attempts.push(attempt);
        if let Some(session) = cost.session {
            self.sessions.record(session, tag, now_ms);
        }
        self.is_changed = true;
        id
    }

    /// Returns the number of local attempts in flight on a server that were sent since a time.
    pub fn in_flight_since(&self, server: &ServerId, since_ms: u64) -> usize {
        let attempts = self.servers.get(server).map(|load| &load.attempts);
        let sent_since = |attempt: &&Attempt| attempt.sent_ms >= since_ms;
        attempts.map_or(0, |attempts| attempts.iter().filter(sent_since).count())
    }

    /// Records that bytes were received from a server.
    pub fn record_activity(&mut self, server: &ServerId, now_ms: u64) {
        let load = self.server_mut(server);
        load.last_activity_ms = now_ms;
        load.suspected_since_ms = None;
        load.is_offline = false;
    }

    /// Records that the head of an attempt's answer was received.
    pub fn started(
        &mut self,
        server: &ServerId,
        attempt: InFlightId,
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

    /// Records that an attempt is about to be cancelled because another server was faster. A server
    /// that sends nothing is still suspected once the attempt's response timeout passes.
    pub fn superseded(&mut self, server: &ServerId, attempt: InFlightId) {
        let load = self.server_mut(server);
        let found = load.attempts.iter().find(|other| other.id == attempt).copied();
        let is_open = |held: &Attempt| load.last_activity_ms <= held.sent_ms;
        load.superseded = load.superseded.filter(is_open).or(found);
    }

    /// Records the end of an attempt.
    pub fn finished(
        &mut self,
        server: &ServerId,
        attempt: InFlightId,
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

    /// Records that a server takes no requests until a time, because it loads weights.
    pub fn occupy(&mut self, server: &ServerId, until_ms: u64) {
        self.server_mut(server).occupied_until_ms = until_ms;
    }

    /// Records that a server has finished loading weights.
    pub fn release(&mut self, server: &ServerId) {
        self.server_mut(server).occupied_until_ms = 0;
    }

    /// Records a passed health check.
    pub fn healthy(&mut self, server: &ServerId, now_ms: u64) {
        self.record_activity(server, now_ms);
        // Attempts from before the check may stay unanswered; they must not raise the suspicion
        // again.
        let load = self.server_mut(server);
        for attempt in &mut load.attempts {
            attempt.cost.response_timeout_ms = u64::MAX;
        }
        load.superseded = None;
        load.avoided_until_ms = load.avoided_until_ms.min(now_ms);
    }

    /// Records a failed health check of a suspected server; returns whether the server is offline.
    /// Bytes that were received since the check was sent outweigh it.
    pub fn unhealthy(&mut self, server: &ServerId, check_sent_ms: u64, now_ms: u64) -> bool {
        let load = self.server_mut(server);
        if load.last_activity_ms >= check_sent_ms {
            return load.is_offline;
        }
        load.suspected_since_ms.get_or_insert(now_ms);
        load.is_offline = true;
        true
    }

    /// Records that a server is reached by new connections only, as another gateway carries them:
    /// attempts in flight may never end, while the server takes new ones.
    pub fn reached_by_detour(&mut self, server: &ServerId) {
        let Some(load) = self.servers.get_mut(server) else { return };
        for attempt in &mut load.attempts {
            attempt.cost.response_timeout_ms = u64::MAX;
        }
        load.superseded = None;
        load.is_offline = !load.attempts.is_empty();
        load.suspected_since_ms = None;
        load.avoided_until_ms = 0;
    }

    /// Returns the servers with attempts in flight of which nothing was received since a time.
    pub fn silent_since(&self, since_ms: u64) -> Vec<ServerId> {
        let in_use = self.servers.iter().filter(|(_, load)| !load.attempts.is_empty());
        let silent = in_use.filter(|(_, load)| load.last_activity_ms < since_ms);
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a server answers neither requests nor health checks.
    pub fn is_offline(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|load| load.is_offline)
    }

    /// Returns whether attempts are in flight on a server.
    pub fn has_attempts(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|load| !load.attempts.is_empty())
    }

    /// Marks unresponsive servers as suspected, and returns those that became suspected since the
    /// last call.
    pub fn find_unresponsive(&mut self, now_ms: u64) -> Vec<ServerId> {
        let mut found = Vec::new();
        for (id, load) in &mut self.servers {
            let slowdown = self.slowdowns.factor(load.tag, now_ms);
            if load.suspected_since_ms.is_none() && is_unresponsive(load, slowdown, now_ms) {
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

    /// Returns whether a server is suspected.
    pub fn is_suspected(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|load| load.suspected_since_ms.is_some())
    }

    /// Returns the view of a server's load.
    pub fn view(&self, server: &ServerId, now_ms: u64) -> LoadView {
        let Some(load) = self.servers.get(server) else {
            let tag = ServerTag::new(server);
            let peers = self.peers.load_on(tag);
            let view = LoadView::new(Health::Good, InFlightLoad::default(), peers, None);
            return LoadView { slowdown: self.slowdowns.view(tag, now_ms), ..view };
        };
        let slowdown = self.slowdowns.view(load.tag, now_ms);
        let factor = slowdown.map_or(1.0, |slowdown| slowdown.factor());
        let header = load.header.filter(|(_, at_ms)| at_ms + HEADER_TTL_MS > now_ms);
        let peers = self.peers.load_on(load.tag);
        let view = LoadView::new(
            health(load, factor, now_ms),
            load.local_load(),
            peers,
            header.map(|(header, _)| header),
        );
        LoadView { slowdown, ..view }
    }

    /// Records that a server started again: nothing that was observed before counts for or against
    /// it.
    pub fn restarted(&mut self, server: &ServerId, now_ms: u64) {
        self.slowdowns.restarted(ServerTag::new(server), now_ms);
        let Some(load) = self.servers.get_mut(server) else { return };
        let mut attempts = std::mem::take(&mut load.attempts);
        for attempt in &mut attempts {
            attempt.cost.response_timeout_ms = u64::MAX;
        }
        *load = ServerLoad { attempts, ..ServerLoad::new(server) };
        self.forget(server);
    }

    /// Removes a server that has departed, once no attempts are in flight there.
    pub fn forget(&mut self, server: &ServerId) {
        if self.servers.get(server).is_some_and(|load| load.attempts.is_empty()) {
            self.servers.remove(server);
        }
    }
}

fn health(load: &ServerLoad, slowdown: f64, now_ms: u64) -> Health {
    if load.suspected_since_ms.is_some() || is_unresponsive(load, slowdown, now_ms) {
        return Health::Suspected;
    }
    if now_ms < load.avoided_until_ms || now_ms < load.occupied_until_ms {
        return Health::Avoided;
    }
    Health::Good
}

/// Returns whether an attempt exceeded its response timeout with no bytes received since its
/// dispatch. On a machine that is slow, or was at the dispatch, the timeout is longer by as much.
fn is_unresponsive(load: &ServerLoad, slowdown: f64, now_ms: u64) -> bool {
    let mut waiting = load.attempts.iter().chain(&load.superseded);
    waiting.any(|attempt| attempt.is_unanswered(load.last_activity_ms, slowdown, now_ms))
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
