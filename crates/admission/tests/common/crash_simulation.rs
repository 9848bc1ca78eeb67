//! Simulation of entry hosts and servers with requests that crash the servers that run them.
//!
//! Each host decides with the real tables. The simulation only delivers messages between hosts with
//! a lag, and crashes servers and one entry host.

mod crashes;

use super::{attempt, host, organisation, service};
use admission::crash_limit::{CrashLimits, Restriction, Restrictions};
use admission::isolation::IsolationTable;
use admission::quarantine::{Quarantine, QuarantineStatus, StartedAttempt};
use protocol::ids::{AttemptId, HostName, Incarnation};
use protocol::message::suspect::{IsolateAnswer, IsolateRequest, SuspectDigest};
use quickcheck::{Arbitrary, Gen};

const TICK_MS: u64 = 10;
const INNOCENT_ATTEMPT_MS: u64 = 600;
const SERVER_DOWN_MS: u64 = 3_000;
const HOMES: usize = 2;

/// Describes one simulated course of events.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub hosts: usize,
    pub servers: usize,
    pub crash_after_ms: u64,
    pub detection_lag_ms: u64,
    pub copies: usize,
    pub innocents: usize,
    /// The time at which an entry host crashes, and its number.
    pub host_crash: Option<(u64, usize)>,
    /// Whether the guilty caller alters its prompt slightly before each resend.
    pub altered: bool,
    pub end_ms: u64,
}

impl Arbitrary for Scenario {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let mut random_below = |bound: u64| u64::arbitrary(gen_) % bound;
        Self {
            seed: random_below(u64::MAX),
            hosts: 3 + random_below(5) as usize,
            servers: 3 + random_below(7) as usize,
            crash_after_ms: random_below(900),
            detection_lag_ms: random_below(1_500),
            copies: 1 + random_below(3) as usize,
            innocents: 5 + random_below(30) as usize,
            host_crash: (random_below(2) == 0)
                .then_some((random_below(4_000), random_below(8) as usize)),
            altered: false,
            end_ms: 30_000,
        }
    }
}

/// The outcome of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Servers that the guilty request crashed.
    pub crashes: usize,
    /// Innocent requests without a complete answer.
    pub unanswered: usize,
    /// Innocent requests that were refused as quarantined.
    pub wrongly_refused: usize,
    /// The longest duration of an innocent request, in milliseconds.
    pub slowest_ms: u64,
}

struct EntryHost {
    crashed: bool,
    quarantine: Quarantine,
    isolation: IsolationTable,
    limits: CrashLimits,
    restrictions: Restrictions,
}

impl EntryHost {
    fn new(crashed: bool) -> Self {
        Self {
            crashed,
            quarantine: Quarantine::new(),
            isolation: IsolationTable::new(0),
            limits: CrashLimits::new(service()),
            restrictions: Restrictions::new(),
        }
    }
}

#[derive(Clone, Copy)]
struct Server {
    incarnation: u64,
    down_until_ms: u64,
}

struct Attempt {
    server: usize,
    ends_at_ms: u64,
    isolated: bool,
    on_probation: bool,
    attempt_id: AttemptId,
}

struct Caller {
    guilty: bool,
    text: String,
    resends: u32,
    entry: usize,
    sends_at_ms: u64,
    first_sent_ms: u64,
    attempt: Option<Attempt>,
    done: bool,
}

struct Simulation {
    scenario: Scenario,
    random: Gen,
    hosts: Vec<EntryHost>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    /// Crashes that hosts will detect: time, server and incarnation.
    detections: Vec<(u64, usize, u64)>,
    outcome: Outcome,
    attempts: u64,
    now_ms: u64,
}

/// Simulates a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario.clone());
    while simulation.now_ms < simulation.scenario.end_ms {
        simulation.tick();
        simulation.now_ms += TICK_MS;
    }
    let innocents = simulation.callers.iter().filter(|caller| !caller.guilty);
    simulation.outcome.unanswered = innocents.filter(|caller| !caller.done).count();
    simulation.outcome
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut random = Gen::from_size_and_seed(10, scenario.seed);
        let caller = |number: usize, entry: usize, sends_at_ms: u64| {
            let guilty = number < scenario.copies;
            let text = if guilty { "crash".to_owned() } else { format!("innocent {number}") };
            let first_sent_ms = sends_at_ms;
            let (resends, attempt, done) = (0, None, false);
            Caller { guilty, text, resends, entry, sends_at_ms, first_sent_ms, attempt, done }
        };
        let callers = (0..scenario.copies + scenario.innocents)
            .map(|number| {
                let entry = usize::arbitrary(&mut random) % scenario.hosts;
                caller(number, entry, u64::arbitrary(&mut random) % 2_000)
            })
            .collect();
        Self {
            hosts: (0..scenario.hosts).map(|_| EntryHost::new(false)).collect(),
            servers: vec![Server { incarnation: 1, down_until_ms: 0 }; scenario.servers],
            scenario,
            random,
            callers,
            detections: Vec::new(),
            outcome: Outcome::default(),
            attempts: 0,
            now_ms: 0,
        }
    }

    fn random_below(&mut self, bound: usize) -> usize {
        usize::arbitrary(&mut self.random) % bound
    }

    fn tick(&mut self) {
        self.crash_host();
        self.deliver_detections();
        for caller in 0..self.callers.len() {
            self.advance(caller);
        }
    }

    fn service_home(&self) -> usize {
        self.homes(service().as_str().as_bytes())[0]
    }

    fn advance(&mut self, caller: usize) {
        if self.callers[caller].done || self.callers[caller].sends_at_ms > self.now_ms {
            return;
        }
        match &self.callers[caller].attempt {
            None => self.place(caller),
            Some(attempt) if attempt.ends_at_ms <= self.now_ms => self.end(caller),
            Some(_) => {}
        }
    }

    fn place(&mut self, caller: usize) {
        let digest = self.digest(caller);
        let home = self.homes(digest.as_bytes())[0];
        let mut preferred = self.live_servers();
        let offset = self.random_below(preferred.len().max(1));
        preferred.rotate_left(offset);
        let Some(first) = preferred.first().copied() else {
            self.wait(caller, 100);
            return;
        };
        let now_ms = self.now_ms;
        let has_failed =
            |name: &HostName| !preferred.iter().any(|server| server_name(*server) == *name);
        let status = self.hosts[home].quarantine.status(&digest, has_failed, 0.0, now_ms);
        match self.restricted(caller, status) {
            QuarantineStatus::Clear => self.start(caller, first, false),
            QuarantineStatus::Pinned { server } => {
                self.start(caller, server_number(&server), false)
            }
            QuarantineStatus::Suspect => self.isolate(caller, &preferred),
            QuarantineStatus::Undecided { wait_ms } => self.wait(caller, wait_ms),
            QuarantineStatus::Refused(refusal) => {
                let wait_ms = u64::from(refusal.retry_after_s.unwrap_or(1)) * 1_000;
                if !self.callers[caller].guilty {
                    self.outcome.wrongly_refused += 1;
                }
                self.resend(caller);
                self.wait(caller, wait_ms);
            }
        }
    }

    fn restricted(&self, caller: usize, status: QuarantineStatus) -> QuarantineStatus {
        match self.restriction(caller) {
            Restriction::Refused(refusal) => QuarantineStatus::Refused(refusal),
            Restriction::Isolated => isolated(status),
            Restriction::None => status,
        }
    }

    fn restriction(&self, caller: usize) -> Restriction {
        let restrictions = &self.hosts[self.callers[caller].entry].restrictions;
        let organisation = organisation(organisation_of(self.callers[caller].guilty));
        restrictions.restriction(&organisation, &service(), 0.0, self.now_ms)
    }

    fn isolate(&mut self, caller: usize, preferred: &[usize]) {
        let request = IsolateRequest {
            service: service(),
            digest: self.digest(caller),
            attempt_id: attempt(self.attempts + 1),
            holds: None,
            preferred: preferred.iter().map(|server| server_name(*server)).collect(),
        };
        let home = self.service_home();
        match self.hosts[home].isolation.request(&request, self.now_ms) {
            IsolateAnswer::Granted { server } => self.start(caller, server_number(&server), true),
            IsolateAnswer::Busy { wait_ms } => self.wait(caller, wait_ms),
        }
    }

    fn start(&mut self, caller: usize, server: usize, isolated: bool) {
        self.attempts += 1;
        let attempt_id = attempt(self.attempts);
        let guilty = self.callers[caller].guilty;
        let attempt_ms = if guilty { self.scenario.crash_after_ms } else { INNOCENT_ATTEMPT_MS };
        let ends_at_ms = self.now_ms + attempt_ms;
        let on_probation = self.restriction(caller) == Restriction::Isolated;
        let attempt = Attempt { server, ends_at_ms, isolated, on_probation, attempt_id };
        let started = self.started(caller, &attempt, self.servers[server].incarnation);
        for number in self.trackers(caller) {
            self.hosts[number].quarantine.started(started.clone());
        }
        self.callers[caller].attempt = Some(attempt);
    }

    fn started(&self, caller: usize, attempt: &Attempt, incarnation: u64) -> StartedAttempt {
        StartedAttempt {
            digest: self.digest(caller),
            organisation: organisation(organisation_of(self.callers[caller].guilty)),
            service: service(),
            attempt_id: attempt.attempt_id.clone(),
            entry: host_name(self.callers[caller].entry),
            server: server_name(attempt.server),
            incarnation: Incarnation::new(incarnation),
            on_probation: attempt.on_probation,
        }
    }

    fn end(&mut self, caller: usize) {
        if self.callers[caller].guilty {
            if let Some(attempt) = &self.callers[caller].attempt {
                self.crash(attempt.server);
            }
            return;
        }
        let Some(attempt) = self.callers[caller].attempt.take() else {
            return;
        };
        let digest = self.digest(caller);
        for number in self.trackers(caller) {
            if self.hosts[number].quarantine.finished(&digest, &attempt.attempt_id, true) {
                self.clear(digest);
            }
        }
        self.release(caller, attempt);
        let duration_ms = self.now_ms - self.callers[caller].first_sent_ms;
        self.outcome.slowest_ms = self.outcome.slowest_ms.max(duration_ms);
        self.callers[caller].done = true;
    }

    fn resend(&mut self, caller: usize) {
        let live = self.live_hosts();
        let entry = live[self.random_below(live.len())];
        let caller = &mut self.callers[caller];
        caller.entry = entry;
        caller.resends += 1;
        if caller.guilty && self.scenario.altered {
            caller.text = format!("crash, altered {} times", caller.resends);
        }
    }

    fn wait(&mut self, caller: usize, wait_ms: u64) {
        self.callers[caller].sends_at_ms = self.now_ms + wait_ms;
    }

    /// Returns the hosts that track a caller's attempt: its entry host and the first home that is
    /// another host.
    fn trackers(&self, caller: usize) -> Vec<usize> {
        self.trackers_of(&self.digest(caller), self.callers[caller].entry)
    }

    fn trackers_of(&self, digest: &SuspectDigest, entry: usize) -> Vec<usize> {
        let homes = self.homes(digest.as_bytes());
        let home = homes.into_iter().find(|home| *home != entry);
        std::iter::once(entry).chain(home).collect()
    }

    fn homes(&self, key: &[u8]) -> Vec<usize> {
        let mut live = self.live_hosts();
        let first = usize::from(blake3::hash(key).as_bytes()[0]) % self.hosts.len();
        live.sort_by_key(|number| (number + self.hosts.len() - first) % self.hosts.len());
        live.truncate(HOMES);
        live
    }

    fn live_hosts(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|number| !self.hosts[*number].crashed).collect()
    }

    fn live_servers(&self) -> Vec<usize> {
        let is_up = |number: &usize| self.servers[*number].down_until_ms <= self.now_ms;
        (0..self.servers.len()).filter(is_up).collect()
    }

    fn digest(&self, caller: usize) -> SuspectDigest {
        let caller = &self.callers[caller];
        let organisation = organisation(organisation_of(caller.guilty));
        SuspectDigest::new(&organisation, &service(), caller.text.as_bytes())
    }
}

fn isolated(status: QuarantineStatus) -> QuarantineStatus {
    match status {
        QuarantineStatus::Clear | QuarantineStatus::Pinned { .. } => QuarantineStatus::Suspect,
        QuarantineStatus::Suspect
        | QuarantineStatus::Undecided { .. }
        | QuarantineStatus::Refused(_) => status,
    }
}

fn organisation_of(guilty: bool) -> &'static str {
    if guilty { "guilty" } else { "innocent" }
}

fn server_name(number: usize) -> HostName {
    host(&format!("server-{number}"))
}

fn host_name(number: usize) -> HostName {
    host(&format!("entry-{number}"))
}

fn server_number(name: &HostName) -> usize {
    name.as_str().trim_start_matches("server-").parse().unwrap()
}
