//! Generated histories of gateways that learn of target weight versions: by reading, listing, from each
//! other, from gateways of an earlier build and from the lease's record, while they start, stand still
//! and cannot reach the store, and the store steps back. No gateway in touch counts a version so late
//! that a request begins on older weights after the time allowed, and none counts it sooner than a peer
//! does that has reported to it.

use dispatch::target_versions::{TargetHistory, TargetTable, TargetVersion};
use protocol::ids::ModelName;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const GATEWAYS: usize = 4;
/// The gateway of an earlier build.
const EARLIER: usize = 3;
/// The time allowed for new weights, in milliseconds.
const ALLOWED_MS: u64 = 10_000;
/// How long a gateway that starts or goes on, or the store, counts as disturbed, in milliseconds.
const STABLE_MS: u64 = 4_000;
/// The longest time between two events, in milliseconds.
const MAX_STEP_MS: u64 = 400;
/// The age of what a gateway that runs knows after which it asks, in milliseconds.
const MAX_SILENCE_MS: u64 = 3_000;
/// How long a gateway that runs waits for an answer, in milliseconds.
const MAX_ANSWER_MS: u64 = 1_200;
/// The largest error of a gateway's view of the servers' clock, in milliseconds.
const CLOCK_ERROR_MS: u64 = 250;
/// When a history begins, in milliseconds.
const START_MS: u64 = 100_000;
/// The most versions that are named.
const MAX_VERSION: u64 = 5;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The operator names the next version.
    Name,
    /// The store answers a gateway's read; the gateway receives that later.
    Ask(usize),
    /// A gateway answers another one, whose question had waited for a time.
    AskPeer { gateway: usize, peer: usize, held_ms: u64 },
    /// A gateway receives the answer that is on its way to it.
    Receive(usize),
    /// A gateway starts anew.
    Start(usize),
    /// A gateway stands still.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// A rollout leader writes the record of the lease.
    WriteLease { gateway: usize, error_ms: u64 },
    /// A gateway reads it.
    ReadLease { gateway: usize, error_ms: u64 },
    /// The store returns from a copy without the newest records, which are written again later.
    StepBack { lost: usize, rewritten_after_ms: u64 },
}

#[derive(Clone, Debug)]
struct Step {
    after_ms: u64,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let gateway = usize::arbitrary(g) % GATEWAYS;
        let peer = (gateway + 1 + usize::arbitrary(g) % (GATEWAYS - 1)) % GATEWAYS;
        let error_ms = u64::arbitrary(g) % CLOCK_ERROR_MS;
        let event = match u16::arbitrary(g) % 400 {
            0..16 => Event::Name,
            16..90 => Event::Ask(gateway),
            90..150 => Event::AskPeer { gateway, peer, held_ms: u64::arbitrary(g) % 800 },
            150..320 => Event::Receive(gateway),
            320..340 => Event::Start(gateway),
            340..350 => Event::Freeze(gateway),
            350..365 => Event::Thaw(gateway),
            365..380 => Event::WriteLease { gateway, error_ms },
            380..396 => Event::ReadLease { gateway, error_ms },
            _ => Event::StepBack {
                lost: usize::arbitrary(g) % 3,
                rewritten_after_ms: u64::arbitrary(g) % 1_900,
            },
        };
        Self { after_ms: u64::arbitrary(g) % MAX_STEP_MS, event }
    }
}

/// What is on its way to a gateway.
#[derive(Clone, Debug)]
enum Answer {
    /// All versions since the gateway's position.
    Read(Vec<u64>),
    /// The newest version.
    Listed(Option<u64>),
    /// A peer's report, built at a time of the peer's clock.
    Report { built_ms: u64, held_ms: u64, history: TargetHistory },
    /// The newest version of a peer of an earlier build, and the age of its state.
    Newest(Option<u64>, u64),
}

#[derive(Clone, Debug)]
struct Pending {
    asked_ms: u64,
    answer: Answer,
    position: Option<(u32, usize)>,
}

#[derive(Clone, Debug)]
struct Gateway {
    /// The time at which its clock is zero.
    origin_ms: u64,
    table: TargetTable,
    /// The era and the offset up to which it has read.
    position: Option<(u32, usize)>,
    pending: Option<Pending>,
    is_frozen: bool,
    disturbed_ms: u64,
    /// Whether it has always known at least what peers reported.
    knows_as_much: bool,
}

struct Simulation {
    now_ms: u64,
    era: u32,
    log: Vec<u64>,
    /// The versions that a step back lost, and when they are written again.
    lost: Option<(Vec<u64>, u64)>,
    /// When the store last stepped back.
    stepped_ms: Option<u64>,
    /// When each version was first confirmed.
    confirmed: Vec<(u64, u64)>,
    gateways: Vec<Gateway>,
    lease: Option<TargetHistory>,
}

fn model() -> ModelName {
    "m".parse().unwrap()
}

impl Gateway {
    fn new(now_ms: u64) -> Self {
        Self {
            // Clocks begin well above zero, as in the program.
            origin_ms: now_ms - 60_000,
            table: TargetTable::default(),
            position: None,
            pending: None,
            is_frozen: false,
            disturbed_ms: now_ms,
            knows_as_much: true,
        }
    }

    /// Returns the time up to which it knows all versions.
    fn known_until_ms(&self) -> u64 {
        self.table.history().complete_until_ms.map_or(0, |until_ms| until_ms + self.origin_ms)
    }

    fn newest(&self) -> Option<u64> {
        self.table.get(&model())?.newest()
    }

    /// Returns whether it bounds the confirmation of each version as well as a report does.
    fn bounds_all_of(&self, history: &TargetHistory) -> bool {
        let known = self.table.history();
        let known: Vec<&TargetVersion> = known.models.iter().flat_map(|(_, known)| known).collect();
        history.models.iter().flat_map(|(_, reported)| reported).all(|reported| {
            let known = known.iter().find(|known| known.version == reported.version);
            known.is_some_and(|known| {
                known.earliest_ms >= reported.earliest_ms && known.latest_ms <= reported.latest_ms
            })
        })
    }

    fn receive(&mut self, now_ms: u64) {
        let Some(Pending { asked_ms, answer, position }) = self.pending.take() else { return };
        let (asked_ms, received_ms) = (asked_ms - self.origin_ms, now_ms - self.origin_ms);
        self.position = position.or(self.position);
        match answer {
            Answer::Read(versions) => {
                for version in versions {
                    self.table.record_read(&model(), version, None, received_ms);
                }
                self.table.record_complete(asked_ms);
            }
            Answer::Listed(version) => {
                if let Some(version) = version {
                    self.table.record_read(&model(), version, None, received_ms);
                }
                self.table.record_complete(asked_ms);
            }
            Answer::Report { built_ms, held_ms, history } => {
                let lead = |at_ms: u64| at_ms.cast_signed() - built_ms.cast_signed();
                let history = history.shifted(lead(asked_ms + held_ms), lead(received_ms));
                self.table.merge(&history);
                self.knows_as_much &= self.bounds_all_of(&history);
            }
            Answer::Newest(version, age_ms) => {
                if let Some(version) = version {
                    self.table.record_newest(&model(), version, received_ms);
                }
                self.table.record_complete(asked_ms - age_ms);
            }
        }
        self.table.forget_outdated(ALLOWED_MS, received_ms);
    }
}

impl Simulation {
    fn new() -> Self {
        Self {
            now_ms: START_MS,
            era: 1,
            log: Vec::new(),
            lost: None,
            stepped_ms: None,
            confirmed: Vec::new(),
            gateways: (0..GATEWAYS).map(|_| Gateway::new(START_MS)).collect(),
            lease: None,
        }
    }

    fn append(&mut self, version: u64) {
        self.log.push(version);
        if self.confirmed.iter().all(|(confirmed, _)| *confirmed != version) {
            self.confirmed.push((version, self.now_ms));
        }
    }

    /// Lets time pass. A gateway that has learnt nothing for a while asks, as the program does.
    fn pass(&mut self, for_ms: u64) {
        self.now_ms += for_ms;
        let now_ms = self.now_ms;
        if let Some((versions, _)) = self.lost.take_if(|(_, at_ms)| now_ms >= *at_ms) {
            versions.into_iter().for_each(|version| self.append(version));
        }
        for gateway in 0..GATEWAYS {
            let held = &self.gateways[gateway];
            let asked_ms = held.pending.as_ref().map(|pending| pending.asked_ms);
            if asked_ms.is_some_and(|asked_ms| now_ms >= asked_ms + MAX_ANSWER_MS) {
                self.play(Event::Receive(gateway));
            }
            let held = &self.gateways[gateway];
            if !held.is_frozen && now_ms >= held.known_until_ms() + MAX_SILENCE_MS {
                self.play(Event::Ask(gateway));
                self.play(Event::Receive(gateway));
            }
        }
    }

    fn play(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Name => {
                let newest = self.confirmed.last().map_or(1, |(version, _)| *version);
                if newest < MAX_VERSION && self.lost.is_none() {
                    self.append(newest + 1);
                }
            }
            Event::Ask(index) => {
                let end = Some((self.era, self.log.len()));
                let gateway = &mut self.gateways[index];
                if gateway.is_frozen {
                    return;
                }
                let answer = match gateway.position.filter(|(era, _)| *era == self.era) {
                    Some((_, offset)) => Answer::Read(self.log[offset..].to_vec()),
                    None => Answer::Listed(self.log.last().copied()),
                };
                gateway.pending = Some(Pending { asked_ms: now_ms, answer, position: end });
                // An earlier build takes the receipt of an answer for the time of its state.
                if index == EARLIER {
                    gateway.receive(now_ms);
                }
            }
            Event::AskPeer { gateway, peer, held_ms } => {
                let from = &self.gateways[peer];
                if self.gateways[gateway].is_frozen || from.is_frozen || gateway == EARLIER {
                    return;
                }
                let built_ms = now_ms - from.origin_ms;
                let answer = if peer == EARLIER {
                    if from.position.is_none() {
                        return;
                    }
                    Answer::Newest(from.newest(), now_ms - from.known_until_ms())
                } else {
                    Answer::Report { built_ms, held_ms, history: from.table.history() }
                };
                let asked_ms = now_ms - held_ms;
                let gateway = &mut self.gateways[gateway];
                if asked_ms > gateway.disturbed_ms {
                    gateway.pending = Some(Pending { asked_ms, answer, position: None });
                }
            }
            Event::Receive(gateway) => {
                let gateway = &mut self.gateways[gateway];
                if !gateway.is_frozen {
                    gateway.receive(now_ms);
                }
            }
            Event::Start(gateway) => {
                self.gateways[gateway] = Gateway::new(now_ms);
                self.play(Event::Ask(gateway));
                self.play(Event::Receive(gateway));
            }
            Event::Freeze(gateway) => self.gateways[gateway].is_frozen = true,
            Event::Thaw(gateway) => {
                let gateway = &mut self.gateways[gateway];
                if std::mem::take(&mut gateway.is_frozen) {
                    gateway.disturbed_ms = now_ms;
                }
            }
            Event::WriteLease { gateway, error_ms } => {
                let Gateway { origin_ms, is_frozen, table, .. } = &self.gateways[gateway];
                if !is_frozen && gateway != EARLIER {
                    let lead_ms = (origin_ms - error_ms).cast_signed();
                    self.lease = Some(table.history().shifted(lead_ms, lead_ms));
                }
            }
            Event::ReadLease { gateway, error_ms } => {
                let Gateway { origin_ms, is_frozen, table, .. } = &mut self.gateways[gateway];
                let Some(history) = self.lease.clone().filter(|_| !*is_frozen) else { return };
                let lead_ms = -(*origin_ms - error_ms).cast_signed();
                let error_ms = CLOCK_ERROR_MS.cast_signed();
                table.merge(&history.shifted(lead_ms - error_ms, lead_ms + error_ms));
            }
            Event::StepBack { lost, rewritten_after_ms } => {
                let kept = self.log.len().saturating_sub(lost);
                let lost = self.log.split_off(kept);
                let (mut all_lost, _) = self.lost.take().unwrap_or_default();
                all_lost.splice(0..0, lost);
                self.lost = Some((all_lost, now_ms + rewritten_after_ms));
                self.stepped_ms = Some(now_ms);
                self.era += 1;
            }
        }
    }

    /// Returns whether every gateway in touch gives up requests at older weights in time, and whether
    /// it knows what peers have reported.
    fn check(&self) -> bool {
        let now_ms = self.now_ms;
        let stable_ms = self.stepped_ms.map_or(0, |at_ms| at_ms + 1_900 + STABLE_MS);
        let in_touch = self
            .gateways
            .iter()
            .take(EARLIER)
            .filter(|gateway| !gateway.is_frozen && now_ms >= gateway.disturbed_ms + STABLE_MS);
        in_touch.into_iter().all(|gateway| {
            let local_ms = now_ms - gateway.origin_ms;
            let versions = gateway.table.get(&model()).cloned().unwrap_or_default();
            let is_in_time = (1..MAX_VERSION).all(|version| {
                let newer = self.confirmed.iter().filter(|(newer, _)| *newer > version);
                let is_over =
                    newer.clone().any(|(_, at_ms)| now_ms >= (*at_ms).max(stable_ms) + ALLOWED_MS);
                let is_given_up = versions
                    .abort_at_ms(version, ALLOWED_MS)
                    .is_some_and(|abort_at_ms| abort_at_ms <= local_ms);
                let is_used = version >= versions.oldest_usable(ALLOWED_MS, local_ms);
                !is_over || (is_given_up && !is_used)
            });
            is_in_time && (gateway.knows_as_much || self.stepped_ms.is_some())
        })
    }
}

fn versions_count_in_time(steps: Vec<Step>) -> bool {
    let mut simulation = Simulation::new();
    for gateway in 0..GATEWAYS {
        simulation.play(Event::Start(gateway));
    }
    for Step { after_ms, event } in steps {
        simulation.pass(after_ms);
        if !simulation.check() {
            return false;
        }
        simulation.play(event);
        if !simulation.check() {
            return false;
        }
    }
    true
}

#[test]
fn every_version_counts_from_its_confirmation_at_all_gateways_in_touch() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 61))
        .tests(4_000)
        .quickcheck(versions_count_in_time as fn(Vec<Step>) -> bool);
}
