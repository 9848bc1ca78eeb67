//! Entry hosts and servers around requests that crash the servers that run them.
//!
//! Each host decides by the real tables; this file only carries messages between them, with lags,
//! and lets servers and one entry host die.

mod deaths;

use super::{attempt, host, organisation, service};
use admission::crash_limit::{CrashLimits, Restriction, Restrictions};
use admission::isolation::IsolationTable;
use admission::quarantine::{Quarantine, QuarantineStatus, StartedAttempt};
use protocol::ids::{AttemptId, HostName, Incarnation};
use protocol::message::suspect::{IsolateAnswer, IsolateRequest, SuspectDigest};
use quickcheck::{Arbitrary, Gen};

const TICK_MS: u64 = 10;
const INNOCENT_RUN_MS: u64 = 600;
const SERVER_DOWN_MS: u64 = 3_000;
const HOMES: usize = 2;

/// Describes one course of events.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub hosts: usize,
    pub servers: usize,
    pub crash_after_ms: u64,
    pub death_lag_ms: u64,
    pub copies: usize,
    pub innocents: usize,
    /// When an entry host dies, and which.
    pub host_death: Option<(u64, usize)>,
    /// Whether the caller alters its prompt a little before each resend.
    pub altered: bool,
    pub end_ms: u64,
}

impl Arbitrary for Scenario {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let mut below = |bound: u64| u64::arbitrary(gen_) % bound;
        Self {
            seed: below(u64::MAX),
            hosts: 3 + below(5) as usize,
            servers: 3 + below(7) as usize,
            crash_after_ms: below(900),
            death_lag_ms: below(1_500),
            copies: 1 + below(3) as usize,
            innocents: 5 + below(30) as usize,
            host_death: (below(2) == 0).then_some((below(4_000), below(8) as usize)),
            altered: false,
            end_ms: 30_000,
        }
    }
}

/// Says what came of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Servers that the guilty request took down.
    pub deaths: usize,
    /// Innocent requests that got no whole answer.
    pub unanswered: usize,
    /// Innocent requests that were refused as quarantined.
    pub wrongly_refused: usize,
    /// The longest time that an innocent request took, in milliseconds.
    pub slowest_ms: u64,
}

struct EntryHost {
    dead: bool,
    quarantine: Quarantine,
    isolation: IsolationTable,
    limits: CrashLimits,
    restrictions: Restrictions,
}

impl EntryHost {
    fn new(dead: bool) -> Self {
        Self {
            dead,
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

struct Run {
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
    asks_at_ms: u64,
    first_asked_ms: u64,
    run: Option<Run>,
    done: bool,
}

struct Site {
    scenario: Scenario,
    random: Gen,
    hosts: Vec<EntryHost>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    /// Deaths that hosts learn of at a moment: when, server and incarnation.
    news: Vec<(u64, usize, u64)>,
    outcome: Outcome,
    attempts: u64,
    now_ms: u64,
}

/// Plays a scenario to its end.
pub fn play(scenario: &Scenario) -> Outcome {
    let mut site = Site::new(scenario.clone());
    while site.now_ms < site.scenario.end_ms {
        site.tick();
        site.now_ms += TICK_MS;
    }
    let innocents = site.callers.iter().filter(|caller| !caller.guilty);
    site.outcome.unanswered = innocents.filter(|caller| !caller.done).count();
    site.outcome
}

impl Site {
    fn new(scenario: Scenario) -> Self {
        let mut random = Gen::from_size_and_seed(10, scenario.seed);
        let caller = |number: usize, entry: usize, asks_at_ms: u64| {
            let guilty = number < scenario.copies;
            let text = if guilty { "crash".to_owned() } else { format!("innocent {number}") };
            let first_asked_ms = asks_at_ms;
            let (resends, run, done) = (0, None, false);
            Caller { guilty, text, resends, entry, asks_at_ms, first_asked_ms, run, done }
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
            news: Vec::new(),
            outcome: Outcome::default(),
            attempts: 0,
            now_ms: 0,
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        usize::arbitrary(&mut self.random) % bound
    }

    fn tick(&mut self) {
        self.kill_host();
        self.spread_news();
        for caller in 0..self.callers.len() {
            self.step(caller);
        }
    }

    fn service_home(&self) -> usize {
        self.homes(service().as_str().as_bytes())[0]
    }

    fn step(&mut self, caller: usize) {
        if self.callers[caller].done || self.callers[caller].asks_at_ms > self.now_ms {
            return;
        }
        match &self.callers[caller].run {
            None => self.place(caller),
            Some(run) if run.ends_at_ms <= self.now_ms => self.end(caller),
            Some(_) => {}
        }
    }

    fn place(&mut self, caller: usize) {
        let digest = self.digest(caller);
        let home = self.homes(digest.as_bytes())[0];
        let mut preferred = self.live_servers();
        let turn = self.below(preferred.len().max(1));
        preferred.rotate_left(turn);
        let Some(first) = preferred.first().copied() else {
            self.wait(caller, 100);
            return;
        };
        let now_ms = self.now_ms;
        let gone = |name: &HostName| !preferred.iter().any(|server| server_name(*server) == *name);
        let standing = self.hosts[home].quarantine.status(&digest, gone, 0.0, now_ms);
        match self.restricted(caller, standing) {
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

    fn restricted(&self, caller: usize, standing: QuarantineStatus) -> QuarantineStatus {
        match self.restriction(caller) {
            Restriction::Refused(refusal) => QuarantineStatus::Refused(refusal),
            Restriction::Isolated => isolated(standing),
            Restriction::None => standing,
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
        let run_ms = if guilty { self.scenario.crash_after_ms } else { INNOCENT_RUN_MS };
        let ends_at_ms = self.now_ms + run_ms;
        let on_probation = self.restriction(caller) == Restriction::Isolated;
        let run = Run { server, ends_at_ms, isolated, on_probation, attempt_id };
        let started = self.started(caller, &run, self.servers[server].incarnation);
        for number in self.followers(caller) {
            self.hosts[number].quarantine.started(started.clone());
        }
        self.callers[caller].run = Some(run);
    }

    fn started(&self, caller: usize, run: &Run, incarnation: u64) -> StartedAttempt {
        StartedAttempt {
            digest: self.digest(caller),
            organisation: organisation(organisation_of(self.callers[caller].guilty)),
            service: service(),
            attempt_id: run.attempt_id.clone(),
            entry: host_name(self.callers[caller].entry),
            server: server_name(run.server),
            incarnation: Incarnation::new(incarnation),
            on_probation: run.on_probation,
        }
    }

    fn end(&mut self, caller: usize) {
        if self.callers[caller].guilty {
            if let Some(run) = &self.callers[caller].run {
                self.crash(run.server);
            }
            return;
        }
        let Some(run) = self.callers[caller].run.take() else {
            return;
        };
        let digest = self.digest(caller);
        for number in self.followers(caller) {
            if self.hosts[number].quarantine.finished(&digest, &run.attempt_id, true) {
                self.clear(digest);
            }
        }
        self.release(caller, run);
        let took_ms = self.now_ms - self.callers[caller].first_asked_ms;
        self.outcome.slowest_ms = self.outcome.slowest_ms.max(took_ms);
        self.callers[caller].done = true;
    }

    fn resend(&mut self, caller: usize) {
        let live = self.live_hosts();
        let entry = live[self.below(live.len())];
        let caller = &mut self.callers[caller];
        caller.entry = entry;
        caller.resends += 1;
        if caller.guilty && self.scenario.altered {
            caller.text = format!("crash, altered {} times", caller.resends);
        }
    }

    fn wait(&mut self, caller: usize, wait_ms: u64) {
        self.callers[caller].asks_at_ms = self.now_ms + wait_ms;
    }

    /// Returns the hosts that follow a caller's run: its entry host and the first home that is
    /// another host.
    fn followers(&self, caller: usize) -> Vec<usize> {
        self.followers_of(&self.digest(caller), self.callers[caller].entry)
    }

    fn followers_of(&self, digest: &SuspectDigest, entry: usize) -> Vec<usize> {
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
        (0..self.hosts.len()).filter(|number| !self.hosts[*number].dead).collect()
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

fn isolated(standing: QuarantineStatus) -> QuarantineStatus {
    match standing {
        QuarantineStatus::Clear | QuarantineStatus::Pinned { .. } => QuarantineStatus::Suspect,
        QuarantineStatus::Suspect
        | QuarantineStatus::Undecided { .. }
        | QuarantineStatus::Refused(_) => standing,
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
