//! Hosts that run the production decision code on a model log and a model order service.

pub mod log;
pub mod oracle;

use self::log::{Fate, ModelLog};
use oracle::Oracle;
use orders::committer::{AppendResult, CommitLimits, Committer};
use orders::coordinator::Coordinator;
use orders::executor::{Action, DispatchResult, Order, StatusResult, Target, WaiterId};
use orders::key::{IdempotencyKey, OrderDigest, OrderKey};
use orders::limits::OrderLimits;
use orders::record::{OrderAnswer, Owner, encode};
use protocol::error::ErrorKind;
use protocol::ids::{HostName, Incarnation};
use std::collections::BTreeMap;

pub const HOSTS: usize = 3;
pub const RETENTION_MS: u64 = 14_000;
const START_MS: u64 = 1_000_000;
const DEADLINE_MS: u64 = 5_000;
/// The number of rounds of 250 ms, enough for the most delayed append to be stored.
const SETTLE_ROUNDS: usize = 70;

pub const LIMITS: OrderLimits = OrderLimits {
    window_ms: 10_000,
    clock_bound_ms: 500,
    intent_wait_ms: 2_000,
    outcome_wait_ms: 500,
    status_after_ms: 1_000,
};

/// A generated step: an operation and two arguments.
pub type Step = (u8, u8, u8);

pub struct World {
    pub now_ms: u64,
    pub log: ModelLog,
    pub oracle: Oracle,
    pub hosts: Vec<Host>,
    keys: BTreeMap<u8, OrderKey>,
    submitted: u64,
}

pub struct Host {
    owner: Owner,
    coordinator: Coordinator,
    committer: Committer,
    paused: bool,
    dispatches: Vec<Target>,
    queries: Vec<Target>,
}

impl Host {
    fn new(index: usize, incarnation: u64, now_ms: u64) -> Self {
        let host = format!("host-{index}").parse().unwrap();
        let owner = Owner { host, incarnation: Incarnation::new(incarnation) };
        let limits = CommitLimits { mark_after_ms: 4_000, ..CommitLimits::default() };
        Self {
            coordinator: Coordinator::with_shards(LIMITS, owner.clone(), 2),
            committer: Committer::new(limits, now_ms),
            owner,
            paused: false,
            dispatches: Vec::new(),
            queries: Vec::new(),
        }
    }
}

impl World {
    pub fn new() -> Self {
        let hosts = (0..HOSTS).map(|index| Host::new(index, 1, START_MS)).collect();
        let mut world = Self {
            now_ms: START_MS,
            log: ModelLog::default(),
            oracle: Oracle::default(),
            hosts,
            keys: BTreeMap::new(),
            submitted: 0,
        };
        world.update_live_hosts();
        world
    }

    /// Runs one generated step; the match arms set the share of each operation.
    pub fn step(&mut self, (op, a, b): Step) {
        let host = a as usize % HOSTS;
        match op % 24 {
            0..4 => self.submit(host, b % 6, b & 0x40 != 0),
            4..8 => self.poll(host),
            8..12 => self.flush(host, Fate::from_byte(b)),
            12..14 => self.dispatch(host, b % 4),
            14 => self.query(host, b % 4 != 0),
            15 | 16 => self.tick(host),
            17 | 18 => self.sleep(100 + u64::from(b) * 10),
            19 => self.sleep(u64::from(b) * 40),
            20 => self.crash(host, b),
            21 => self.hosts[host].paused = b % 2 == 0,
            22 => self.log.down = b % 3 == 0,
            _ => self.round(),
        }
    }

    /// Ends all faults and runs until nothing is in progress.
    pub fn settle(&mut self) {
        self.log.down = false;
        self.hosts.iter_mut().for_each(|host| host.paused = false);
        for _ in 0..SETTLE_ROUNDS {
            self.round();
            self.sleep(250);
            if self.is_idle() {
                return;
            }
        }
    }

    fn is_idle(&self) -> bool {
        let is_idle = |host: &Host| {
            host.dispatches.is_empty()
                && host.queries.is_empty()
                && host.committer.pending() == 0
                && host.coordinator.next() == self.log.end()
        };
        !self.log.has_delayed() && self.oracle.is_answered() && self.hosts.iter().all(is_idle)
    }

    /// Submits every key again whose window leaves time for an outcome, and returns these keys.
    pub fn resend_all(&mut self) -> Vec<OrderKey> {
        let last_ms = self.now_ms + DEADLINE_MS;
        let mut keys: Vec<(u8, OrderKey)> = self.keys.clone().into_iter().collect();
        keys.retain(|(_, key)| LIMITS.expires_at_ms(key.key) > last_ms);
        keys.iter().for_each(|(slot, _)| self.submit(*slot as usize % HOSTS, *slot, false));
        keys.into_iter().map(|(_, key)| key).collect()
    }

    fn round(&mut self) {
        for host in 0..HOSTS {
            self.poll(host);
            self.dispatch(host, 0);
            self.query(host, true);
            self.tick(host);
            self.flush(host, Fate::Stored);
        }
    }

    fn sleep(&mut self, duration_ms: u64) {
        self.now_ms += duration_ms;
        self.log.advance(self.now_ms, RETENTION_MS);
    }

    fn submit(&mut self, host: usize, slot: u8, other_body: bool) {
        let key = self.key(slot);
        let now_ms = self.now_ms;
        let target = &mut self.hosts[host];
        if target.paused {
            return;
        }
        self.submitted += 1;
        let attempt = format!("a{}", self.submitted).parse().unwrap();
        let order = Order {
            waiter: WaiterId::new(self.submitted),
            key,
            service: "desk".parse().unwrap(),
            digest: OrderDigest::new("POST", "/orders", &[u8::from(other_body)]),
            attempt,
            deadline_ms: now_ms + DEADLINE_MS,
        };
        self.oracle.record_submit(&order, &target.owner);
        let actions = target.coordinator.submit(order, target.committer.is_up(), now_ms);
        self.act(host, actions);
    }

    /// Returns the key of a slot; two organisations use the same UUID.
    fn key(&mut self, slot: u8) -> OrderKey {
        let now_ms = self.now_ms;
        let organisation = if slot.is_multiple_of(2) { "org-a" } else { "org-b" };
        let shared = self.keys.get(&(slot ^ 1)).map(|key| key.key);
        let new_key = || test_key(now_ms, u64::from(slot / 2));
        let key = shared.unwrap_or_else(new_key);
        let scoped_key = OrderKey::new(organisation.parse().unwrap(), key);
        self.keys.entry(slot).or_insert(scoped_key).clone()
    }

    fn poll(&mut self, host: usize) {
        let target = &mut self.hosts[host];
        if target.paused {
            return;
        }
        let Some(page) = self.log.read(target.coordinator.next()) else {
            target.committer.record_read_result(false);
            return;
        };
        let applied = target.coordinator.apply(&page, self.now_ms);
        target.committer.record_read_result(true);
        target.committer.confirm(&applied.records, self.now_ms);
        if !target.coordinator.is_covered() {
            target.committer.push_mark();
        }
        self.act(host, applied.actions);
    }

    fn flush(&mut self, host: usize, fate: Fate) {
        let now_ms = self.now_ms;
        let target = &mut self.hosts[host];
        if target.paused {
            return;
        }
        let Some(batch) = target.committer.next_batch(now_ms) else { return };
        let result = self.log.append(encode(&batch).unwrap(), fate, now_ms);
        target.committer.appended(result, now_ms);
    }

    fn dispatch(&mut self, host: usize, fate: u8) {
        let target = &mut self.hosts[host];
        if target.paused || target.dispatches.is_empty() {
            return;
        }
        let sent = target.dispatches.remove(0);
        let result = match fate {
            1 => DispatchResult::NotRun(ErrorKind::ServerUnreachable),
            2 | 3 => {
                self.oracle.record_unanswered(&sent);
                (fate == 2).then(|| self.oracle.execute(&sent));
                DispatchResult::Unanswered
            }
            _ => DispatchResult::Answered(self.oracle.execute(&sent)),
        };
        let actions = target.coordinator.dispatched(&sent, result, self.now_ms);
        self.act(host, actions);
    }

    fn query(&mut self, host: usize, reachable: bool) {
        let target = &mut self.hosts[host];
        if target.paused || target.queries.is_empty() {
            return;
        }
        let queried = target.queries.remove(0);
        let outcome = self.oracle.outcome(&queried.key);
        let result = match outcome {
            _ if !reachable => StatusResult::Unanswered,
            Some(answer) => StatusResult::Answered(answer),
            None => StatusResult::NoSuchOrder,
        };
        let actions = target.coordinator.status_received(&queried, result, self.now_ms);
        self.act(host, actions);
    }

    fn tick(&mut self, host: usize) {
        let target = &mut self.hosts[host];
        if target.paused {
            return;
        }
        let actions = target.coordinator.tick(self.now_ms);
        self.act(host, actions);
    }

    fn crash(&mut self, host: usize, rounds: u8) {
        if !rounds.is_multiple_of(3) {
            return;
        }
        let owner = self.hosts[host].owner.clone();
        self.oracle.record_crash(&owner);
        self.hosts[host] = Host::new(host, owner.incarnation.value() + 1, self.now_ms);
        self.update_live_hosts();
    }

    fn update_live_hosts(&mut self) {
        let live: BTreeMap<HostName, Incarnation> = self
            .hosts
            .iter()
            .map(|host| (host.owner.host.clone(), host.owner.incarnation))
            .collect();
        self.hosts.iter().for_each(|host| host.coordinator.set_live_hosts(&live));
    }

    fn act(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            let target = &mut self.hosts[host];
            match action {
                Action::Append(record) => target.committer.push(record),
                Action::Dispatch(sent) => target.dispatches.push(sent),
                Action::QueryOutcome(queried) => target.queries.push(queried),
                Action::Reply(waiter, reply) => self.oracle.check_reply(waiter, reply),
            }
        }
    }
}

pub fn test_key(created_at_ms: u64, tail: u64) -> IdempotencyKey {
    let bits = (u128::from(created_at_ms) << 80) | (7 << 76) | (2 << 62) | u128::from(tail);
    let text = format!("{bits:032x}");
    text.parse().unwrap()
}

pub fn answer(text: &str) -> OrderAnswer {
    OrderAnswer { status: 201, content_type: None, body: text.to_owned() }
}

/// Returns the result that the committer gets for an append.
pub const fn append_result(fate: Fate) -> AppendResult {
    match fate {
        Fate::Stored | Fate::Duplicated => AppendResult::Stored,
        Fate::Refused => AppendResult::NotSent,
        Fate::StoredUnanswered | Fate::Delayed(_) | Fate::Dropped => AppendResult::Unconfirmed,
    }
}
