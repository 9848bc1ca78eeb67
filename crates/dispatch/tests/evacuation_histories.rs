//! Generated histories of operators that evacuate failure domains and take it back, at a store that
//! returns from copies, before gateways that list, read on, and exchange reports that may be late.

mod common;

use common::id;
use dispatch::era::StoreEra;
use dispatch::evacuations::{EvacuationRecord, EvacuationReport, Evacuations, LOST_RECORD_MS};
use dispatch::registry::EntryPosition;
use protocol::ids::FailureDomain;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const DOMAINS: [&str; 3] = ["east-1", "east-2", "west-1"];
const GATEWAYS: usize = 3;
const SEED: u64 = 0x5eed_ac0a;
const TESTS: u64 = 3_000;
const STEPS: usize = 60;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator evacuates a domain or takes that back.
    Write { domain: usize, is_evacuated: bool },
    /// A gateway lists the newest records; removals may be left out.
    List { gateway: usize, has_removals: bool },
    /// A gateway reads on, if the store's era has not changed.
    Read { gateway: usize },
    /// A gateway sends its report, which stays under way.
    Report { gateway: usize },
    /// A gateway receives a report that was sent some time before.
    Receive { gateway: usize, report: usize },
    /// A gateway restarts.
    Restart { gateway: usize },
    /// The store returns from a copy that lacks some records.
    StepBack { lost: usize },
}

#[derive(Clone, Debug)]
struct Step {
    after_ms: u64,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let gateway = usize::arbitrary(g) % GATEWAYS;
        let event = match u8::arbitrary(g) % 100 {
            0..25 => Event::Write {
                domain: usize::arbitrary(g) % DOMAINS.len(),
                is_evacuated: bool::arbitrary(g),
            },
            25..40 => Event::List { gateway, has_removals: bool::arbitrary(g) },
            40..65 => Event::Read { gateway },
            65..75 => Event::Report { gateway },
            75..90 => Event::Receive { gateway, report: usize::arbitrary(g) },
            90..95 => Event::Restart { gateway },
            _ => Event::StepBack { lost: usize::arbitrary(g) % 4 + 1 },
        };
        Self { after_ms: u64::arbitrary(g) % 2_000, event }
    }
}

#[derive(Clone, Debug)]
struct History(Vec<Step>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self((0..STEPS).map(|_| Step::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let steps = self.0.clone();
        Box::new((0..steps.len()).map(move |index| {
            let mut fewer = steps.clone();
            fewer.remove(index);
            Self(fewer)
        }))
    }
}

#[derive(Debug, Default)]
struct Gateway {
    evacuations: Evacuations,
    next: Option<EntryPosition>,
}

#[derive(Debug)]
struct World {
    now_ms: u64,
    era: StoreEra,
    /// The domain and kind of each record.
    log: Vec<(usize, bool)>,
    /// How many of them are from before the last step back.
    survivors: usize,
    /// Until when domains may be evacuated although the store does not say so: for a while after all
    /// gateways have listed in its era.
    lost_until_ms: u64,
    gateways: [Gateway; GATEWAYS],
    reports: Vec<EvacuationReport>,
}

impl World {
    fn new() -> Self {
        Self {
            now_ms: 1_000,
            era: StoreEra::new(1),
            log: Vec::new(),
            survivors: 0,
            lost_until_ms: 0,
            gateways: Default::default(),
            reports: Vec::new(),
        }
    }

    fn end(&self) -> EntryPosition {
        EntryPosition { era: self.era, offset: self.log.len() as u64 }
    }

    fn record(&self, offset: usize) -> EvacuationRecord {
        let (domain, is_evacuated) = self.log[offset];
        let position = EntryPosition { era: self.era, offset: offset as u64 };
        EvacuationRecord { domain: id(DOMAINS[domain]), position, is_evacuated }
    }

    fn newest(&self, domain: usize) -> Option<usize> {
        self.log.iter().rposition(|(other, _)| *other == domain)
    }

    fn is_evacuated(&self, domain: usize) -> bool {
        self.newest(domain).is_some_and(|offset| self.log[offset].1)
    }

    fn in_force(&self, gateway: usize) -> [bool; DOMAINS.len()] {
        let evacuations = &self.gateways[gateway].evacuations;
        DOMAINS.map(|domain| evacuations.is_evacuated(&id::<FailureDomain>(domain)))
    }

    fn run(&mut self, step: &Step) {
        self.now_ms += step.after_ms;
        let now_ms = self.now_ms;
        // Gateways do so before each read.
        for gateway in &mut self.gateways {
            gateway.evacuations.expire(now_ms);
        }
        match step.event {
            Event::Write { domain, is_evacuated } => self.log.push((domain, is_evacuated)),
            Event::List { gateway, has_removals } => self.list(gateway, has_removals),
            Event::Read { gateway } => self.read(gateway),
            Event::Report { gateway } => {
                self.reports.push(self.gateways[gateway].evacuations.report(now_ms));
            }
            Event::Receive { gateway, report } => {
                if !self.reports.is_empty() {
                    let report = &self.reports[report % self.reports.len()];
                    self.gateways[gateway].evacuations.merge(report, now_ms);
                }
            }
            Event::Restart { gateway } => {
                self.gateways[gateway] = Gateway::default();
                if self.era > StoreEra::new(1) {
                    self.lost_until_ms = u64::MAX;
                }
            }
            Event::StepBack { lost } => {
                self.log.truncate(self.log.len().saturating_sub(lost));
                self.era = StoreEra::new(self.era.value() + 1);
                self.lost_until_ms = u64::MAX;
                self.survivors = self.log.len();
            }
        }
        for gateway in &mut self.gateways {
            gateway.evacuations.expire(now_ms);
        }
    }

    /// A listing shows every evacuation at once, ends what is missing in the same era, and keeps what
    /// was lost for its time.
    fn list(&mut self, gateway: usize, has_removals: bool) {
        let before = self.in_force(gateway);
        let (end, now_ms) = (self.end(), self.now_ms);
        let newest = (0..DOMAINS.len()).filter_map(|domain| self.newest(domain));
        let listed = newest.map(|offset| self.record(offset));
        let listed: Vec<_> = listed.filter(|record| record.is_evacuated || has_removals).collect();
        let held = &mut self.gateways[gateway];
        let next = held.next;
        let known = held.evacuations.report(now_ms);
        held.evacuations.list(&listed, end, now_ms);
        held.next = Some(end);
        let is_listed = |held: &Gateway| held.next.is_some_and(|next| next.era == end.era);
        if self.lost_until_ms == u64::MAX && self.gateways.iter().all(is_listed) {
            self.lost_until_ms = now_ms + LOST_RECORD_MS;
        }
        let after = self.in_force(gateway);
        for domain in 0..DOMAINS.len() {
            // A removal at a lower offset from before the step back is older than the evacuation.
            let position = known.domains.iter().find(|row| row.domain.as_str() == DOMAINS[domain]);
            let is_older = |offset: usize| {
                let held = position.filter(|row| row.position.era.value() + 1 == end.era.value());
                offset < self.survivors
                    && held.is_some_and(|row| (offset as u64) < row.position.offset)
            };
            let is_lost = match self.newest(domain) {
                None => next.is_some_and(|next| next.era < end.era),
                Some(offset) => is_older(offset),
            };
            let is_lost = is_lost && before[domain];
            assert!(!is_lost || after[domain], "a lost evacuation ended at once");
        }
        self.check_current(gateway);
    }

    fn read(&mut self, gateway: usize) {
        let (end, now_ms) = (self.end(), self.now_ms);
        let Some(next) = self.gateways[gateway].next.filter(|next| next.era == end.era) else {
            return;
        };
        let records: Vec<_> =
            (next.offset as usize..self.log.len()).map(|offset| self.record(offset)).collect();
        for record in &records {
            self.gateways[gateway].evacuations.record(record, now_ms);
        }
        for record in records.iter().filter(|record| !record.is_evacuated) {
            let is_newest = !records
                .iter()
                .any(|other| other.domain == record.domain && other.position > record.position);
            let evacuations = &self.gateways[gateway].evacuations;
            let is_in_force = evacuations.is_evacuated(&record.domain);
            assert!(!is_newest || !is_in_force, "a removal counts at once: {record:?}");
        }
        self.gateways[gateway].next = Some(end);
        self.gateways[gateway].evacuations.read_to(end, now_ms);
        self.check_current(gateway);
    }

    /// What a gateway has in force after it read to the end of the store.
    fn check_current(&self, gateway: usize) {
        let in_force = self.in_force(gateway);
        for domain in 0..DOMAINS.len() {
            let is_evacuated = self.is_evacuated(domain);
            assert!(in_force[domain] || !is_evacuated, "{} is not evacuated", DOMAINS[domain]);
            let may_be_lost = self.lost_until_ms > self.now_ms;
            assert!(!in_force[domain] || is_evacuated || may_be_lost, "{}", DOMAINS[domain]);
        }
    }

    /// Once all gateways have read, and the time for what was lost has passed, all agree with the
    /// store; late reports change nothing any more.
    fn check_end(&mut self) {
        for gateway in 0..GATEWAYS {
            self.list(gateway, true);
        }
        self.now_ms += LOST_RECORD_MS;
        self.lost_until_ms = 0;
        for gateway in 0..GATEWAYS {
            self.gateways[gateway].evacuations.expire(self.now_ms);
            self.check_current(gateway);
            for report in self.reports.clone() {
                self.gateways[gateway].evacuations.merge(&report, self.now_ms);
                self.check_current(gateway);
            }
        }
    }
}

fn check(history: History) {
    let mut world = World::new();
    for step in &history.0 {
        world.run(step);
    }
    world.check_end();
}

#[test]
fn evacuations_follow_the_store_whatever_arrives_late() {
    let mut quickcheck = QuickCheck::new().rng(Gen::from_size_and_seed(STEPS, SEED)).tests(TESTS);
    quickcheck.quickcheck(check as fn(History));
}
