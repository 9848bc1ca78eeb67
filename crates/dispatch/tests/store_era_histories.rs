//! Generated histories of gateways that lead rollouts while the store returns from older copies:
//! records are lost, offsets are given out again, appends are executed late, and answers are lost or
//! late. At most one gateway holds a valid lease at any time, and fences increase.

use dispatch::era::{AnswerEra, EraTracker, IgnoredEra, NamedEra, StoreEra};
use dispatch::lease::{Fence, HeldLease, LeaseRecord, SeenLease, may_acquire_at_ms};
use protocol::ids::{HostName, LogOffset};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const GATEWAYS: usize = 3;
/// The longest time between two events, in milliseconds.
const MAX_STEP_MS: u64 = 500;
/// The most records that one step back loses.
const MAX_LOST_RECORDS: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The store returns from a copy that lacks this many records.
    StepBack(usize),
    /// Another task of the gateway receives an answer.
    Observe(usize),
    /// A peer passes on its era.
    Pass { from: usize, to: usize },
    /// The store executes the gateway's read.
    Read(usize),
    /// The answer to the read arrives; the gateway sends an append if it may acquire the lease.
    ReadAnswer(usize),
    /// Sends a renewal or a release.
    Renew { gateway: usize, is_released: bool },
    /// The store executes the append that was sent first, and answers it.
    Execute(usize),
    /// The gateway gives up the answer to its append, which may be executed later.
    GiveUp(usize),
    /// Restarts without state; appends in flight remain.
    Restart(usize),
}

#[derive(Clone, Debug)]
struct Step {
    after_ms: u64,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let gateway = usize::arbitrary(g) % GATEWAYS;
        let other = usize::arbitrary(g) % GATEWAYS;
        let event = match u16::arbitrary(g) % 400 {
            0..24 => Event::Observe(gateway),
            24..34 => Event::Pass { from: gateway, to: other },
            34..124 => Event::Read(gateway),
            124..224 => Event::ReadAnswer(gateway),
            224..274 => Event::Renew { gateway, is_released: bool::arbitrary(g) & (other == 0) },
            274..370 => Event::Execute(gateway),
            370..392 => Event::GiveUp(gateway),
            392..396 => Event::StepBack(usize::arbitrary(g) % MAX_LOST_RECORDS),
            _ => Event::Restart(gateway),
        };
        let is_burst = u8::arbitrary(g) % 2 == 0;
        Self { after_ms: u64::arbitrary(g) % if is_burst { 20 } else { MAX_STEP_MS }, event }
    }
}

#[derive(Clone, Debug)]
struct Append {
    gateway: usize,
    asked: StoreEra,
    /// The position at which the log must end.
    at: (StoreEra, u64),
    since_ms: u64,
    is_released: bool,
    is_awaited: bool,
}

#[derive(Clone, Debug)]
struct ReadAnswer {
    asked: StoreEra,
    era: StoreEra,
    end: u64,
    newest: Option<LeaseRecord>,
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
    era: StoreEra,
    eras: EraTracker,
    read: Option<ReadAnswer>,
}

impl Gateway {
    /// Judges an answer; returns whether it counts.
    fn observe(&mut self, asked: StoreEra, era: StoreEra, now_ms: u64) -> bool {
        match self.eras.observe_answer(asked, NamedEra::Era(era), now_ms) {
            AnswerEra::Current | AnswerEra::Raised { .. } => true,
            AnswerEra::Outdated => false,
            AnswerEra::Ignored(reason) => panic!("a linearizable store gave a {reason:?} era"),
        }
    }

    fn follow_era(&mut self) {
        if std::mem::replace(&mut self.era, self.eras.current()) != self.era {
            self.held = None;
            self.seen = None;
        }
    }

    fn valid(&self, now_ms: u64) -> Option<HeldLease> {
        self.held.filter(|held| held.is_valid(now_ms) && held.era == self.eras.current())
    }
}

struct Simulation {
    now_ms: u64,
    era: StoreEra,
    log: Vec<LeaseRecord>,
    gateways: Vec<Gateway>,
    appends: Vec<Append>,
    acquired: usize,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now_ms: 1,
            era: StoreEra::new(1),
            log: Vec::new(),
            gateways: vec![Gateway::default(); GATEWAYS],
            appends: Vec::new(),
            acquired: 0,
        }
    }

    fn play(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::StepBack(lost) => {
                self.log.truncate(self.log.len().saturating_sub(lost));
                self.era = StoreEra::new(self.era.value() + 1);
            }
            Event::Observe(gateway) => {
                let asked = self.gateways[gateway].eras.current();
                assert!(self.gateways[gateway].observe(asked, self.era, now_ms));
            }
            Event::Pass { from, to } => {
                if let Some(era) = self.gateways[from].eras.known() {
                    self.gateways[to].eras.observe_era(era, now_ms);
                }
            }
            Event::Read(gateway) => {
                let asked = self.gateways[gateway].eras.current();
                let (era, end) = (self.era, self.log.len() as u64);
                let newest = self.log.last().cloned();
                self.gateways[gateway].read = Some(ReadAnswer { asked, era, end, newest });
            }
            Event::ReadAnswer(gateway) => self.receive_read(gateway),
            Event::Renew { gateway, is_released } => self.renew(gateway, is_released),
            Event::Execute(gateway) => {
                let first = self.appends.iter().position(|append| append.gateway == gateway);
                if let Some(first) = first {
                    let append = self.appends.remove(first);
                    self.execute(&append);
                }
            }
            Event::GiveUp(gateway) => self.give_up(gateway),
            Event::Restart(gateway) => {
                self.give_up(gateway);
                self.gateways[gateway] = Gateway::default();
            }
        }
    }

    fn give_up(&mut self, gateway: usize) {
        let appends = self.appends.iter_mut().filter(|append| append.gateway == gateway);
        appends.for_each(|append| append.is_awaited = false);
    }

    fn is_waiting(&self, gateway: usize) -> bool {
        self.appends.iter().any(|append| append.gateway == gateway && append.is_awaited)
    }

    fn receive_read(&mut self, gateway: usize) {
        let now_ms = self.now_ms;
        let is_waiting = self.is_waiting(gateway);
        let state = &mut self.gateways[gateway];
        let Some(read) = state.read.take() else { return };
        let is_current = state.observe(read.asked, read.era, now_ms);
        state.follow_era();
        if !is_current || read.era != state.era || is_waiting {
            return;
        }
        if let Some(record) = read.newest {
            let offset = LogOffset::new(read.end - 1);
            if state.seen.as_ref().is_none_or(|seen| seen.offset != offset) {
                state.seen = Some(SeenLease { record, offset, seen_ms: now_ms });
            }
        }
        let from_ms = may_acquire_at_ms(state.seen.as_ref(), &host(gateway), &state.eras);
        if state.held.is_none() && now_ms >= from_ms {
            self.send(gateway, (read.era, read.end), false);
        }
    }

    fn renew(&mut self, gateway: usize, is_released: bool) {
        if self.is_waiting(gateway) {
            return;
        }
        self.gateways[gateway].follow_era();
        let Some(held) = self.gateways[gateway].held else { return };
        if is_released {
            self.gateways[gateway].held = None;
        }
        self.send(gateway, (held.era, held.end.value()), is_released);
    }

    fn send(&mut self, gateway: usize, at: (StoreEra, u64), is_released: bool) {
        let asked = self.gateways[gateway].eras.current();
        let since_ms = self.now_ms;
        let is_awaited = true;
        self.appends.push(Append { gateway, asked, at, since_ms, is_released, is_awaited });
    }

    fn execute(&mut self, append: &Append) {
        let now_ms = self.now_ms;
        let offset = self.log.len() as u64;
        let is_stored = offset == append.at.1;
        if is_stored {
            self.log.push(LeaseRecord {
                holder: host(append.gateway),
                incarnation: 0,
                is_released: append.is_released,
                target_versions: Vec::new(),
                era: append.at.0,
            });
        }
        if !append.is_awaited {
            return;
        }
        let state = &mut self.gateways[append.gateway];
        let counts = state.observe(append.asked, self.era, now_ms) && self.era == append.at.0;
        if !counts || !is_stored || append.is_released {
            state.held = None;
            return;
        }
        let (end, since_ms) = (LogOffset::new(offset + 1), append.since_ms);
        self.acquired += usize::from(state.held.is_none());
        state.held = Some(match state.held {
            Some(held) => HeldLease { end, since_ms, ..held },
            None => HeldLease {
                fence: Fence::new(self.era, LogOffset::new(offset)),
                era: self.era,
                end,
                since_ms,
                acquired_ms: now_ms,
                is_reacquired: false,
            },
        });
    }
}

fn host(gateway: usize) -> HostName {
    format!("gateway-{gateway}").parse().unwrap()
}

fn one_holder(steps: Vec<Step>) -> bool {
    let mut simulation = Simulation::new();
    let mut highest_fence = None;
    for step in steps {
        simulation.now_ms += step.after_ms;
        simulation.play(step.event);
        let now_ms = simulation.now_ms;
        let valid: Vec<HeldLease> =
            simulation.gateways.iter().filter_map(|gateway| gateway.valid(now_ms)).collect();
        if valid.len() > 1 {
            return false;
        }
        let Some(held) = valid.first() else { continue };
        if highest_fence.is_some_and(|highest| held.fence < highest) {
            return false;
        }
        highest_fence = Some(held.fence);
    }
    true
}

#[test]
fn at_most_one_gateway_holds_a_valid_lease_while_the_store_steps_back() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 29))
        .tests(4_000)
        .quickcheck(one_holder as fn(Vec<Step>) -> bool);
}

#[test]
fn histories_with_steps_back_acquire_leases_in_several_eras() {
    let mut g = Gen::from_size_and_seed(400, 30);
    let (mut acquired, mut eras) = (0, 0);
    for _ in 0..200 {
        let mut simulation = Simulation::new();
        for step in Vec::<Step>::arbitrary(&mut g) {
            simulation.now_ms += step.after_ms;
            simulation.play(step.event);
        }
        acquired += simulation.acquired;
        eras += simulation.era.value();
    }
    assert!(acquired > 300 && eras > 400, "{acquired} leases in {eras} eras");
}

#[test]
fn a_lease_record_of_another_era_is_waited_for_although_its_own_host_wrote_it() {
    let mut eras = EraTracker::default();
    eras.observe_era(StoreEra::new(2), 1_000);
    for is_released in [false, true] {
        let record = LeaseRecord {
            holder: host(0),
            incarnation: 0,
            is_released,
            target_versions: Vec::new(),
            era: StoreEra::new(1),
        };
        let seen = SeenLease { record, offset: LogOffset::new(4), seen_ms: 5_000 };
        assert_eq!(may_acquire_at_ms(Some(&seen), &host(0), &eras), 7_400);
    }
    assert_eq!(may_acquire_at_ms(None, &host(0), &eras), 3_400);
    assert_eq!(may_acquire_at_ms(None, &host(0), &EraTracker::default()), 0);
}

#[test]
fn a_fence_of_a_later_era_is_greater_and_fits_a_signed_integer() {
    let fence = |era, offset| Fence::new(StoreEra::new(era), LogOffset::new(offset)).value();
    assert!(fence(2, 0) > fence(1, u64::MAX));
    assert!(fence(2, 1) > fence(2, 0));
    assert_eq!(fence(0, 41), 41);
    assert!(i64::try_from(fence(u32::MAX, u64::MAX)).is_ok());
}

#[test]
fn an_era_that_is_no_whole_number_in_range_does_not_parse() {
    for text in ["", "-1", "1.5", "x", "2147483648", "99999999999999999999"] {
        assert!(text.parse::<StoreEra>().is_err(), "{text}");
    }
    assert_eq!("2147483647".parse(), Ok(StoreEra::MAX));
}

#[test]
fn an_era_that_falls_or_is_missing_changes_nothing_and_a_late_answer_is_dropped() {
    let era = StoreEra::new;
    let mut eras = EraTracker::default();
    assert_eq!(eras.observe_answer(era(0), NamedEra::Missing, 5), AnswerEra::Current);
    assert_eq!(eras.observe_answer(era(0), NamedEra::Era(era(7)), 10), AnswerEra::Current);
    let first = eras;
    let ignored = |reason| AnswerEra::Ignored(reason);
    for (named, reason) in [
        (NamedEra::Era(era(6)), IgnoredEra::Lower),
        (NamedEra::Missing, IgnoredEra::Missing),
        (NamedEra::Malformed, IgnoredEra::Malformed),
    ] {
        assert_eq!(eras.observe_answer(era(7), named, 20), ignored(reason));
        assert_eq!(eras, first);
    }
    let raised = AnswerEra::Raised { before: era(7) };
    assert_eq!(eras.observe_answer(era(7), NamedEra::Era(era(8)), 30), raised);
    for late in [NamedEra::Era(era(7)), NamedEra::Missing, NamedEra::Malformed] {
        assert_eq!(eras.observe_answer(era(7), late, 40), AnswerEra::Outdated);
    }
    assert_eq!(eras.current(), era(8));
}
