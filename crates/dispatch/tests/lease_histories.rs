//! Generated histories of gateways that acquire and renew the lease, freeze, restart and lose
//! answers. At most one of them holds a valid lease at any time, and fences increase.

use dispatch::era::{EraTracker, StoreEra};
use dispatch::lease::{Fence, HeldLease, LeaseRecord, SeenLease, may_acquire_at_ms};
use protocol::ids::{HostName, LogOffset};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const GATEWAYS: usize = 4;
/// The longest time between two events, in milliseconds.
const MAX_STEP_MS: u64 = 400;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// Reads the newest record.
    Read(usize),
    /// Acquires the lease if its last read allows it; the answer may be lost.
    Acquire { gateway: usize, is_lost: bool },
    /// Renews a valid lease; the answer may be lost.
    Renew { gateway: usize, is_lost: bool },
    /// Releases the lease.
    Release(usize),
    /// Restarts without state.
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
        let is_lost = u8::arbitrary(g) % 5 == 0;
        let event = match u8::arbitrary(g) % 12 {
            0..4 => Event::Read(gateway),
            4..7 => Event::Acquire { gateway, is_lost },
            7..10 => Event::Renew { gateway, is_lost },
            10 => Event::Release(gateway),
            _ => Event::Restart(gateway),
        };
        Self { after_ms: u64::arbitrary(g) % MAX_STEP_MS, event }
    }
}

#[derive(Default)]
struct Gateway {
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
    seen_end: u64,
}

#[derive(Default)]
struct Simulation {
    now_ms: u64,
    log: Vec<LeaseRecord>,
    gateways: Vec<Gateway>,
}

impl Simulation {
    fn new() -> Self {
        let gateways = (0..GATEWAYS).map(|_| Gateway::default()).collect();
        Self { gateways, ..Self::default() }
    }

    /// Appends if the log ends at `end`; returns the record's offset.
    fn append(&mut self, gateway: usize, end: u64, is_released: bool) -> Option<u64> {
        if self.log.len() as u64 != end {
            return None;
        }
        let holder = host(gateway);
        self.log.push(LeaseRecord {
            holder,
            incarnation: 0,
            is_released,
            target_versions: Vec::new(),
            era: StoreEra::default(),
        });
        Some(end)
    }

    fn read(&mut self, gateway: usize) {
        let end = self.log.len() as u64;
        let newest = self.log.last().cloned();
        let now_ms = self.now_ms;
        let state = &mut self.gateways[gateway];
        state.seen_end = end;
        let Some(record) = newest else { return };
        let offset = LogOffset::new(end - 1);
        if state.seen.as_ref().is_none_or(|seen| seen.offset != offset) {
            state.seen = Some(SeenLease { record, offset, seen_ms: now_ms });
        }
    }

    fn acquire(&mut self, gateway: usize, is_lost: bool) {
        let now_ms = self.now_ms;
        let state = &self.gateways[gateway];
        let local = host(gateway);
        if state.held.is_some()
            || now_ms < may_acquire_at_ms(state.seen.as_ref(), &local, &EraTracker::default())
        {
            return;
        }
        let Some(offset) = self.append(gateway, state.seen_end, false) else { return };
        let held = HeldLease {
            fence: Fence::new(StoreEra::default(), LogOffset::new(offset)),
            era: StoreEra::default(),
            end: LogOffset::new(offset + 1),
            since_ms: now_ms,
            acquired_ms: now_ms,
            is_reacquired: false,
        };
        self.gateways[gateway].held = Some(held).filter(|_| !is_lost);
    }

    fn renew(&mut self, gateway: usize, is_lost: bool) {
        let now_ms = self.now_ms;
        let Some(held) = self.gateways[gateway].held else { return };
        let appended = self.append(gateway, held.end.value(), false);
        self.gateways[gateway].held = match appended {
            Some(offset) if !is_lost => {
                Some(HeldLease { end: LogOffset::new(offset + 1), since_ms: now_ms, ..held })
            }
            // Without an answer the old lease stays in force; a conflict ends it.
            Some(_) => Some(held),
            None => None,
        };
    }

    fn release(&mut self, gateway: usize) {
        if let Some(held) = self.gateways[gateway].held.take() {
            self.append(gateway, held.end.value(), true);
        }
    }

    fn valid(&self) -> Vec<HeldLease> {
        let held = self.gateways.iter().filter_map(|state| state.held);
        held.filter(|held| held.is_valid(self.now_ms)).collect()
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
        match step.event {
            Event::Read(gateway) => simulation.read(gateway),
            Event::Acquire { gateway, is_lost } => simulation.acquire(gateway, is_lost),
            Event::Renew { gateway, is_lost } => simulation.renew(gateway, is_lost),
            Event::Release(gateway) => simulation.release(gateway),
            Event::Restart(gateway) => simulation.gateways[gateway] = Gateway::default(),
        }
        let valid = simulation.valid();
        if valid.len() > 1 {
            return false;
        }
        if let Some(held) = valid.first() {
            if highest_fence.is_some_and(|highest| held.fence < highest) {
                return false;
            }
            highest_fence = Some(held.fence);
        }
    }
    true
}

#[test]
fn at_most_one_gateway_holds_a_valid_lease() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 11))
        .tests(4_000)
        .quickcheck(one_holder as fn(Vec<Step>) -> bool);
}

#[test]
fn a_crashed_holders_lease_is_acquired_after_it_expires() {
    let mut simulation = Simulation::new();
    simulation.acquire(0, false);
    simulation.gateways[0] = Gateway::default();
    simulation.read(1);
    simulation.now_ms += 2_399;
    simulation.acquire(1, false);
    assert!(simulation.valid().is_empty());
    simulation.now_ms += 1;
    simulation.acquire(1, false);
    assert_eq!(simulation.valid().len(), 1);
}

#[test]
fn a_restarted_holder_acquires_the_lease_at_once() {
    let mut simulation = Simulation::new();
    simulation.acquire(0, false);
    simulation.gateways[0] = Gateway::default();
    simulation.read(0);
    simulation.acquire(0, false);
    assert_eq!(simulation.valid().len(), 1);
}
