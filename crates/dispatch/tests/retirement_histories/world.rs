//! One history: the events of all gateways, the store and the servers in the order of time.

use crate::gateway::{ALLOWED_MS, Gateway, model};
use crate::leader::Stage;
use crate::store::{Answer, COPIES, Call, LEASE_MS, Store};
use dispatch::era::StoreEra;
use dispatch::retirement::{MAX_FETCH_MS, SentRetirement};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const HISTORY_MS: u64 = 75_000;
/// The time at which a history begins, as on a gateway's clock.
const START_MS: u64 = 60_000;
const GATEWAYS: usize = 6;
const FIRST_GATEWAYS: usize = 3;
const SERVERS: usize = 4;
const FAULTS: usize = 14;
/// The number of faults where they also strike at the worst moments.
const OTHER_FAULTS: usize = 4;
const LEAD_INTERVAL_MS: u64 = 240;
const CALL_TIMEOUT_MS: u64 = 900;
const ASK_TIMEOUT_MS: u64 = 500;
/// The longest way of an order to free blocks.
const MAX_FREE_TRANSIT_MS: u64 = 5_000;
/// How long a read of the store's state waits for a change.
const READ_WAIT_MS: u64 = 1_000;

/// A rule that is left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// A gateway registers and lists before it fetches.
    Registration,
    /// It lists after it has registered, not before.
    ListAfterRegistration,
    /// Its permission ends with the age of the state and of the listing.
    PermitEnds,
    /// It ends with the age of the state.
    StateAge,
    /// It ends when the era rises.
    CurrentEra,
    /// In a new era it waits for the leases of the earlier one to expire.
    EarlierLeases,
    /// After a time without a state it retires all that is superseded.
    RetireAfterGap,
    /// An answer that waited while it was suspended counts from before.
    BufferedAnswers,
    /// It stops using superseded blocks by itself.
    SupersededEnd,
    /// The leader writes the retirement.
    Written,
    /// It does so at the end of a listing.
    EndOfListing,
    /// It lists anew.
    FreshListing,
    /// It waits for the gateways that do not confirm.
    Unconfirmed,
    /// It waits for the fetches in flight.
    InFlight,
    /// It waits for the gateways that registered in an earlier era only.
    EarlierRegistrations,
    /// It begins anew in each era.
    EachEra,
    /// Orders to free are valid while the lease is.
    FreeUntil,
}

impl Rule {
    pub const ALL: [Self; 17] = [
        Self::Registration,
        Self::ListAfterRegistration,
        Self::PermitEnds,
        Self::StateAge,
        Self::CurrentEra,
        Self::EarlierLeases,
        Self::RetireAfterGap,
        Self::BufferedAnswers,
        Self::SupersededEnd,
        Self::Written,
        Self::EndOfListing,
        Self::FreshListing,
        Self::Unconfirmed,
        Self::InFlight,
        Self::EarlierRegistrations,
        Self::EachEra,
        Self::FreeUntil,
    ];
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    gateway: usize,
    life: u64,
    call: Call,
    began_ms: u64,
    /// The round of discovery or of the leader's stage.
    round: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Fault,
    /// A gateway starts that reaches its peers, but not the store.
    LateRegistration,
    Start(usize),
    Thaw(usize),
    Load {
        server: usize,
        version: u64,
    },
    Name,
    KeepCopy,
    Request {
        gateway: usize,
        life: u64,
    },
    Discover {
        gateway: usize,
        life: u64,
        round: u64,
    },
    Read {
        gateway: usize,
        life: u64,
    },
    Lead {
        gateway: usize,
        life: u64,
    },
    Execute(Sent),
    Answered {
        sent: Sent,
        answer: Answer,
        era: StoreEra,
        arrived_ms: u64,
    },
    Update {
        to: usize,
        from: usize,
        version: u64,
        round: u64,
    },
    Confirmed {
        to: usize,
        from: usize,
        round: u64,
    },
    AskedAll {
        gateway: usize,
        life: u64,
        round: u64,
    },
    Free {
        older_than: u64,
        until_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Fetch {
    version: u64,
    start_ms: u64,
    end_ms: u64,
}

pub struct World {
    pub broken: Option<String>,
    pub fetches: u64,
    pub fetches_of_older: u64,
    pub frees: u64,
    omitted: Option<Rule>,
    /// Whether faults also strike at the worst moments.
    is_adverse: bool,
    random: SmallRng,
    now_ms: u64,
    lives: u64,
    numbers: u64,
    queue: BTreeMap<(u64, u64), Event>,
    store: Store,
    gateways: Vec<Gateway>,
    servers: [u64; SERVERS],
    under_way: Vec<Fetch>,
}

impl World {
    /// Plays the history of a seed.
    pub fn play(seed: u64, omitted: Option<Rule>) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let (is_following, is_adverse) = (random.random_bool(0.7), random.random_bool(0.5));
        let follows = |index| (is_following && index % 2 == 1).then_some(0);
        let mut world = Self {
            broken: None,
            fetches: 0,
            fetches_of_older: 0,
            frees: 0,
            omitted,
            is_adverse,
            random,
            now_ms: START_MS,
            lives: 0,
            numbers: 0,
            queue: BTreeMap::new(),
            store: Store::new(),
            gateways: (0..GATEWAYS).map(|index| Gateway::new(follows(index))).collect(),
            servers: [1; SERVERS],
            under_way: Vec::new(),
        };
        for gateway in 0..FIRST_GATEWAYS {
            world.after(0..300, Event::Start(gateway));
        }
        let first_ms = world.random.random_range(6_000..40_000);
        let apart_ms = world.random.random_range(2_000..20_000);
        for name_ms in [first_ms, first_ms + apart_ms] {
            world.after(name_ms..name_ms + 1, Event::Name);
            let late_ms = name_ms.saturating_sub(2_500);
            world.after(late_ms..late_ms + 1, Event::LateRegistration);
        }
        for _ in 0..if is_adverse { OTHER_FAULTS } else { FAULTS } {
            world.after(3_000..HISTORY_MS, Event::Fault);
        }
        world.after(1_000..1_001, Event::KeepCopy);
        while let Some(((at_ms, _), event)) = world.queue.pop_first() {
            if at_ms > START_MS + HISTORY_MS || world.broken.is_some() {
                break;
            }
            world.now_ms = at_ms;
            world.handle(event);
        }
        world
    }

    fn after(&mut self, delay_ms: std::ops::Range<u64>, event: Event) {
        let at_ms = self.now_ms + self.random.random_range(delay_ms);
        self.at(at_ms, event);
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.numbers += 1;
        self.queue.insert((at_ms, self.numbers), event);
    }

    /// Defers an event of a suspended gateway; returns whether it is due now.
    fn is_due(&mut self, gateway: usize, life: u64, event: &Event) -> bool {
        let held = &self.gateways[gateway];
        if held.life != life || life == 0 {
            return false;
        }
        if held.frozen_since_ms.is_some() {
            let thaws_ms = held.thaws_ms;
            self.at(thaws_ms, event.clone());
            return false;
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault => self.fault(),
            Event::LateRegistration if self.is_adverse => {
                let gateway = GATEWAYS - 1;
                self.gateways[gateway].cut_from_store_ms = self.now_ms + 14_000;
                self.restart(gateway, 500);
            }
            Event::Start(gateway) => self.start(gateway),
            Event::Thaw(gateway) if self.gateways[gateway].thaws_ms <= self.now_ms => {
                self.gateways[gateway].frozen_since_ms = None;
            }
            Event::Load { server, version } => {
                self.servers[server] = self.servers[server].max(version);
            }
            Event::Name => self.name(),
            Event::KeepCopy => {
                self.store.keep_copy();
                self.after(1_000..1_001, Event::KeepCopy);
            }
            Event::Request { gateway, life } if self.is_due(gateway, life, &event) => {
                self.request(gateway);
                self.after(20..300, event);
            }
            Event::Discover { gateway, life, round }
                if self.is_due(gateway, life, &event)
                    && self.gateways[gateway].discovery == round =>
            {
                self.discover(gateway);
            }
            Event::Read { gateway, life } if self.is_due(gateway, life, &event) => {
                self.read(gateway);
            }
            Event::Lead { gateway, life } if self.is_due(gateway, life, &event) => {
                self.lead(gateway);
                self.after(LEAD_INTERVAL_MS..LEAD_INTERVAL_MS + 1, event);
            }
            Event::Execute(sent) => self.execute(sent),
            Event::Answered { sent, ref answer, era, arrived_ms }
                if self.is_due(sent.gateway, sent.life, &event) =>
            {
                self.answered(sent, answer.clone(), era, arrived_ms);
            }
            Event::Update { to, from, version, round } => {
                let life = self.gateways[to].life;
                if self.is_due(to, life, &event) {
                    self.gateways[to].retirements.retire(&model(), version);
                    if self.random.random_bool(0.95) {
                        self.after(1..200, Event::Confirmed { to: from, from: to, round });
                    }
                }
            }
            Event::Confirmed { to, from, round } => {
                let life = self.gateways[to].life;
                if self.is_due(to, life, &event)
                    && self.gateways[to].leading.round == round
                    && let Stage::Asking { confirmed, .. } = &mut self.gateways[to].leading.stage
                {
                    confirmed.insert(from);
                }
            }
            Event::AskedAll { gateway, life, round }
                if self.is_due(gateway, life, &event)
                    && self.gateways[gateway].leading.round == round =>
            {
                self.asked_all(gateway);
            }
            Event::Free { older_than, until_ms } => self.free(older_than, until_ms),
            _ => {}
        }
    }

    fn fault(&mut self) {
        let gateway = self.any_gateway();
        let duration_ms = match self.random.random_range(0..3) {
            0 => self.random.random_range(300..3_000),
            1 => self.random.random_range(3_000..9_000),
            _ => self.random.random_range(9_000..30_000),
        };
        let until_ms = self.now_ms + duration_ms;
        match self.random.random_range(0..14) {
            0..3 => {
                // Added, or restarted.
                self.restart(gateway, 4_000);
            }
            3..5 => {
                self.freeze(gateway, until_ms);
            }
            5 => self.gateways[gateway].cut_from_store_ms = until_ms,
            6 => self.gateways[gateway].cut_from_peers_ms = until_ms,
            7 => {
                self.gateways[gateway].cut_from_store_ms = until_ms;
                self.gateways[gateway].cut_from_peers_ms = until_ms;
            }
            8 => self.store.down_until_ms = until_ms.min(self.now_ms + 12_000),
            9 => self.store.slow_until_ms = until_ms,
            10 => self.restore(),
            11 => {
                // Started while it is cut off from the store, but not from its peers.
                self.gateways[gateway].cut_from_store_ms = until_ms;
                self.restart(gateway, 4_000);
            }
            12 => {
                self.gateways[gateway].cut_from_store_ms = until_ms;
                self.restore();
                // The copy is from before it registered.
                self.store.content.gateways.remove(&gateway);
                self.after(3_000..20_000, Event::Name);
                for other in (0..GATEWAYS - 1).filter(|other| *other != gateway) {
                    self.restart(other, 3_000);
                }
            }
            _ => {
                if let Some((leader, life, _)) = self.store.content.lease
                    && self.gateways[leader].life == life
                {
                    self.restart(leader, 4_000);
                }
            }
        }
    }

    /// Returns one of the gateways but the one that registers late.
    fn any_gateway(&mut self) -> usize {
        let last = if self.is_adverse { GATEWAYS - 1 } else { GATEWAYS };
        self.random.random_range(0..last)
    }

    fn freeze(&mut self, gateway: usize, until_ms: u64) {
        let now_ms = self.now_ms;
        let held = &mut self.gateways[gateway];
        if held.is_running() {
            held.frozen_since_ms = Some(now_ms);
            held.suspended_ms = now_ms;
            held.thaws_ms = until_ms;
            self.at(until_ms, Event::Thaw(gateway));
        }
    }

    fn restore(&mut self) {
        let index = self.random.random_range(0..COPIES);
        self.store.restore(index);
    }

    fn restart(&mut self, gateway: usize, max_ms: u64) {
        self.gateways[gateway].life = 0;
        self.after(20..max_ms, Event::Start(gateway));
    }

    /// Strikes while the leader lists and writes.
    fn strike_at_listing(&mut self) {
        let (now_ms, gateway) = (self.now_ms, self.any_gateway());
        match self.random.random_range(0..8) {
            _ if !self.is_adverse => {}
            0 => self.restart(gateway, 500),
            1..5 => {
                // Those that are cut off from the store reach it again in place of their peers, and it is
                // slow.
                self.store.slow_until_ms = now_ms + 2_000;
                for gateway in 0..GATEWAYS {
                    let held = &mut self.gateways[gateway];
                    if held.cut_from_store_ms > now_ms {
                        held.cut_from_store_ms = now_ms;
                        held.cut_from_peers_ms = now_ms + 5_000;
                        held.discovery += 1;
                        let (life, round) = (held.life, held.discovery);
                        self.after(1..600, Event::Discover { gateway, life, round });
                    }
                }
            }
            _ => {}
        }
    }

    /// Strikes once it is decided when the blocks are freed.
    fn strike_before_frees(&mut self, free_at_ms: u64) {
        if !self.is_adverse {
            return;
        }
        if self.random.random_bool(0.1) {
            self.restore();
            let gateway = self.any_gateway();
            self.restart(gateway, 300);
        }
        for gateway in 0..GATEWAYS {
            if self.gateways[gateway].frozen_since_ms.is_some() && self.random.random_bool(0.5) {
                let thaws_ms = free_at_ms - 500 + self.random.random_range(0..1_500);
                self.gateways[gateway].thaws_ms = thaws_ms;
                self.at(thaws_ms, Event::Thaw(gateway));
            }
        }
    }

    /// Strikes while an order to free blocks is on its way.
    fn strike_at_frees(&mut self) {
        if self.is_adverse && self.random.random_bool(0.1) {
            self.restore();
            for _ in 0..2 {
                let gateway = self.any_gateway();
                self.restart(gateway, 300);
            }
        }
    }

    fn start(&mut self, gateway: usize) {
        if self.gateways[gateway].life > 0 {
            return;
        }
        self.lives += 1;
        let life = self.lives;
        self.gateways[gateway].start(life, self.omitted);
        let round = self.gateways[gateway].discovery;
        self.after(1..50, Event::Discover { gateway, life, round });
        self.after(1..50, Event::Read { gateway, life });
        self.after(50..900, Event::Request { gateway, life });
        self.after(50..900, Event::Lead { gateway, life });
    }

    /// Names newer weights; most servers load them within seconds, one much later or never.
    fn name(&mut self) {
        let version = self.store.content.target.max(*self.servers.iter().max().unwrap()) + 1;
        self.store.content.target = version;
        for server in 1..SERVERS {
            self.after(800..6_000, Event::Load { server, version });
        }
        if self.random.random_bool(0.5) {
            self.after(5_000..30_000, Event::Load { server: 0, version });
        }
        // One that has just listed is suspended and wakes as blocks are freed.
        let has_listed =
            |held: &Gateway| held.listed_ms > 0 && self.now_ms < held.listed_ms + 4_000;
        let listed = self.gateways.iter().position(has_listed).filter(|_| self.is_adverse);
        if let Some(gateway) = listed {
            let until_ms = self.now_ms + self.random.random_range(13_000..19_000);
            self.freeze(gateway, until_ms);
        }
    }

    fn request(&mut self, gateway: usize) {
        let now_ms = self.now_ms;
        let has_last = self.random.random_bool(0.5);
        let server = if has_last { 0 } else { self.random.random_range(0..SERVERS) };
        let version = self.servers[server];
        if !self.gateways[gateway].may_fetch(version, now_ms, self.omitted) {
            return;
        }
        let start_ms = now_ms + self.random.random_range(1..300);
        let end_ms = start_ms + self.random.random_range(20..1_200);
        if end_ms <= now_ms + MAX_FETCH_MS {
            self.fetches += 1;
            let is_older = self.servers.iter().any(|held| *held > version);
            self.fetches_of_older += u64::from(is_older);
            self.under_way.push(Fetch { version, start_ms, end_ms });
        }
        self.under_way.retain(|fetch| fetch.end_ms > now_ms);
    }

    fn call(&mut self, gateway: usize, call: Call, round: u64) {
        let life = self.gateways[gateway].life;
        let sent = Sent { gateway, life, call, began_ms: self.now_ms, round };
        let max_ms = match call {
            Call::ReadState => READ_WAIT_MS,
            _ if self.now_ms < self.store.slow_until_ms => 450,
            _ => 20,
        };
        self.after(1..max_ms, Event::Execute(sent));
    }

    fn execute(&mut self, sent: Sent) {
        let cut_ms = self.gateways[sent.gateway].cut_from_store_ms;
        let era = self.store.era();
        let failed = Event::Answered {
            sent,
            answer: Answer::Failed,
            era,
            arrived_ms: self.now_ms + CALL_TIMEOUT_MS,
        };
        if self.now_ms < cut_ms {
            return self.at(self.now_ms + CALL_TIMEOUT_MS, failed);
        }
        let answer = self.store.execute(sent.gateway, sent.life, sent.call, self.now_ms);
        let is_slow = self.now_ms < self.store.slow_until_ms;
        let is_lost = self.random.random_bool(if is_slow { 0.1 } else { 0.01 });
        if is_lost {
            return self.at(self.now_ms + CALL_TIMEOUT_MS, failed);
        }
        let max_ms = if is_slow { 450 } else { 20 };
        let arrived_ms = self.now_ms + self.random.random_range(1..max_ms);
        self.at(arrived_ms, Event::Answered { sent, answer, era, arrived_ms });
    }

    fn discover(&mut self, gateway: usize) {
        let held = &self.gateways[gateway];
        let (round, must_write) = (held.discovery, held.listings.is_multiple_of(3));
        let call = if must_write { Call::Register } else { Call::List };
        self.call(gateway, call, round);
    }

    fn read(&mut self, gateway: usize) {
        let life = self.gateways[gateway].life;
        let followed = self.gateways[gateway].follows.filter(|other| {
            let (held, other) = (&self.gateways[gateway], &self.gateways[*other]);
            let is_reached =
                self.now_ms >= held.cut_from_peers_ms && self.now_ms >= other.cut_from_peers_ms;
            let is_recent = other.permit.state_read_ms().is_some_and(|at| self.now_ms < at + 2_600);
            other.is_running() && is_reached && is_recent
        });
        let Some(followed) = followed else {
            return self.call(gateway, Call::ReadState, 0);
        };
        let other = &self.gateways[followed];
        let age_ms = self.now_ms - other.permit.state_read_ms().unwrap_or(0);
        let retired = other.retirements.oldest_used().first().map_or(0, |(_, oldest)| *oldest);
        let answer = Answer::State { target: other.target, age_ms, retired };
        let (era, began_ms) = (other.eras.current(), self.now_ms);
        let sent = Sent { gateway, life, call: Call::ReadState, began_ms, round: 0 };
        let arrived_ms = self.now_ms + self.random.random_range(60..900);
        self.at(arrived_ms, Event::Answered { sent, answer, era, arrived_ms });
    }

    fn answered(&mut self, sent: Sent, answer: Answer, era: StoreEra, arrived_ms: u64) {
        let Sent { gateway, life, began_ms, round, .. } = sent;
        let (now_ms, omitted) = (self.now_ms, self.omitted);
        let is_failed = matches!(answer, Answer::Failed);
        let (counts, has_risen) =
            if is_failed { (false, false) } else { self.gateways[gateway].observe(era, now_ms) };
        if has_risen && self.gateways[gateway].listings > 0 {
            let held = &mut self.gateways[gateway];
            held.listings = 0;
            held.discovery += 1;
            let round = held.discovery;
            self.after(1..1_000, Event::Discover { gateway, life, round });
        }
        let is_late = arrived_ms < now_ms && omitted != Some(Rule::BufferedAnswers);
        let held = &mut self.gateways[gateway];
        match (sent.call, answer) {
            (Call::ReadState, Answer::State { target, age_ms, retired }) if counts => {
                let written_ms = if is_late { held.suspended_ms } else { now_ms };
                held.retirements.retire(&model(), retired);
                held.apply_state(target, written_ms.saturating_sub(age_ms), now_ms, omitted);
                self.after(20..200, Event::Read { gateway, life });
            }
            (Call::ReadState, _) => self.after(250..500, Event::Read { gateway, life }),
            (Call::Register | Call::List, _) if held.discovery != round => {}
            (Call::Register, Answer::Done) if counts => {
                held.permit.record_registration(era, began_ms);
                if omitted == Some(Rule::ListAfterRegistration) && held.listings == 0 {
                    held.permit.record_listing(era, began_ms);
                    held.listings += 1;
                    self.after(2_000..2_001, Event::Discover { gateway, life, round });
                    return;
                }
                self.call(gateway, Call::List, round);
            }
            (Call::List, Answer::Listed { gateways, retired, .. }) if counts => {
                held.known.extend(gateways);
                held.retirements.retire(&model(), retired);
                held.permit.record_listing(era, began_ms);
                held.listed_ms = now_ms;
                let delay_ms = if held.listings == 0 { 2_000 } else { 20_000 };
                held.listings += 1;
                self.after(delay_ms..delay_ms + 1, Event::Discover { gateway, life, round });
            }
            (Call::Register | Call::List, _) => {
                self.after(700..3_000, Event::Discover { gateway, life, round });
            }
            (Call::Lease { .. }, answer) => {
                held.leading.is_leasing = false;
                if counts && matches!(answer, Answer::Done) {
                    held.leading.lease = Some((began_ms, era));
                }
            }
            (Call::LeaderList | Call::Retire { .. }, _) if held.leading.round != round => {}
            (Call::LeaderList, Answer::Listed { gateways, retired, end }) if counts => {
                if omitted != Some(Rule::FreshListing) {
                    held.known.extend(gateways);
                }
                let version = held.leading.stage_of.0;
                held.retirements.retire(&model(), version);
                if retired >= version || omitted == Some(Rule::Written) {
                    held.leading.enter(Stage::Written { written_ms: now_ms });
                    return;
                }
                let end = (omitted != Some(Rule::EndOfListing)).then_some(end);
                self.call(gateway, Call::Retire { version, end }, round);
            }
            (Call::Retire { .. }, Answer::Done) if counts => {
                held.leading.enter(Stage::Written { written_ms: now_ms });
            }
            (Call::LeaderList | Call::Retire { .. }, _) => held.leading.enter(Stage::Unwritten),
        }
    }

    fn lead(&mut self, gateway: usize) {
        let (now_ms, omitted) = (self.now_ms, self.omitted);
        let held = &mut self.gateways[gateway];
        let (era, version) = (held.eras.current(), held.target);
        let newest = self.servers.iter().filter(|held| **held >= version).count();
        if version < 2 || held.eras.known().is_none() {
            return;
        }
        let is_due = held.leading.lease.is_none_or(|(since_ms, _)| now_ms >= since_ms + 700);
        let is_tried = held.leading.is_valid(era, now_ms) || self.random.random_bool(0.2);
        if is_due && is_tried && !held.leading.is_leasing {
            held.leading.is_leasing = true;
            let expired_ms = held.eras.leases_expired_at_ms();
            self.call(gateway, Call::Lease { expired_ms }, 0);
        }
        let held = &mut self.gateways[gateway];
        if !held.leading.is_valid(era, now_ms) || 2 * newest < SERVERS {
            return;
        }
        let stage_of = (version, era);
        let is_same = held.leading.stage_of == stage_of
            || (omitted == Some(Rule::EachEra) && held.leading.stage_of.0 == version);
        if !is_same {
            held.leading.stage_of = stage_of;
            held.leading.enter(Stage::Unwritten);
        }
        match held.leading.stage.clone() {
            Stage::Unwritten => {
                held.leading.enter(Stage::Calling);
                let round = held.leading.round;
                self.call(gateway, Call::LeaderList, round);
                self.strike_at_listing();
            }
            Stage::Calling | Stage::Asking { .. } => {}
            Stage::Written { written_ms } => self.ask(gateway, version, written_ms),
            Stage::Sent { free_at_ms, frees } if now_ms >= free_at_ms && frees < 3 => {
                held.leading.stage = Stage::Sent { free_at_ms: now_ms + 300, frees: frees + 1 };
                let since_ms = held.leading.lease.map_or(0, |(since_ms, _)| since_ms);
                let until_ms = match omitted {
                    Some(Rule::FreeUntil) => u64::MAX,
                    _ => since_ms + LEASE_MS,
                };
                let order = Event::Free { older_than: version, until_ms };
                let is_slow = self.random.random_bool(0.2);
                self.after(1..if is_slow { MAX_FREE_TRANSIT_MS } else { 300 }, order);
                self.strike_at_frees();
            }
            Stage::Sent { .. } => {}
        }
    }

    fn ask(&mut self, gateway: usize, version: u64, written_ms: u64) {
        let held = &mut self.gateways[gateway];
        let mut asked = held.known.clone();
        asked.remove(&gateway);
        let stage = Stage::Asking { written_ms, asked: asked.clone(), confirmed: [].into() };
        held.leading.enter(stage);
        let (round, life) = (held.leading.round, held.life);
        for to in asked {
            let is_cut = self.now_ms < self.gateways[to].cut_from_peers_ms
                || self.now_ms < self.gateways[gateway].cut_from_peers_ms;
            if !is_cut && self.gateways[to].life > 0 {
                self.after(1..300, Event::Update { to, from: gateway, version, round });
            }
        }
        self.at(self.now_ms + ASK_TIMEOUT_MS, Event::AskedAll { gateway, life, round });
    }

    fn asked_all(&mut self, gateway: usize) {
        let (now_ms, omitted) = (self.now_ms, self.omitted);
        let held = &mut self.gateways[gateway];
        let Stage::Asking { written_ms, asked, confirmed } = held.leading.stage.clone() else {
            return;
        };
        let superseded_ms = held.retirements.superseded_ms(&model(), held.leading.stage_of.0);
        let is_era_left_out = omitted == Some(Rule::EarlierRegistrations);
        let sent = SentRetirement {
            written_ms,
            answered_ms: now_ms,
            is_confirmed: asked == confirmed || omitted == Some(Rule::Unconfirmed),
            superseded_ms: superseded_ms.unwrap_or(now_ms),
            era_since_ms: if is_era_left_out { 0 } else { held.eras.since_ms() },
        };
        let free_at_ms = match omitted {
            Some(Rule::InFlight) => now_ms,
            _ => sent.free_at_ms(ALLOWED_MS),
        };
        held.leading.enter(Stage::Sent { free_at_ms, frees: 0 });
        self.strike_before_frees(free_at_ms);
    }

    fn free(&mut self, older_than: u64, until_ms: u64) {
        let now_ms = self.now_ms;
        if now_ms > until_ms {
            return;
        }
        self.frees += 1;
        let is_met = |fetch: &&Fetch| {
            fetch.version < older_than && fetch.start_ms < now_ms && now_ms < fetch.end_ms
        };
        if let Some(fetch) = self.under_way.iter().find(is_met) {
            self.broken =
                Some(format!("blocks older than {older_than} freed at {now_ms}: {fetch:?}"));
        }
    }
}
