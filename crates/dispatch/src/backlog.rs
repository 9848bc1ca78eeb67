//! The time for which a request would queue at the servers of a service, and the time that it would
//! run there.
//!
//! Load pattern: a service gets one and a half to two times what it can serve for many seconds.
//! Requests queue at the servers until most of their time has passed, and fail then.
//!
//! Servers say neither how long requests queue there nor how long they run. Both follow from the
//! attempts that gateways have in flight there, and from how long answers took.

use crate::choice::Candidate;
use crate::configuration::EngineTraits;
use crate::load::Health;
use crate::request::RequestSpec;

/// The share of the slots of all servers below which nothing queues for long.
const IDLE_SHARE: f64 = 0.5;
/// The number of answers before which no time is estimated.
const MIN_SAMPLES: u32 = 8;
/// The least weight of an answer in the mean times.
const MIN_WEIGHT: f64 = 0.03;
/// The share of an estimated time that counts. An estimate that is too long costs an answer that
/// would have been served; one that is too short costs a request that is late.
const COUNTED_SHARE: f64 = 0.85;

/// The ratio of all gateways to those whose load is reported up to which the others count as much as
/// these. Above it their load is unknown: the little that a gateway sees of an uneven load would be
/// multiplied, and requests refused that the servers have room for. The time that answers take still
/// shows that the servers are full.
const MAX_CERTAIN_RATIO: f64 = 2.0;

/// Returns by what the known load is multiplied.
fn certain_ratio(gateway_ratio: f64) -> f64 {
    if gateway_ratio <= MAX_CERTAIN_RATIO { gateway_ratio } else { 1.0 }
}

/// The load of one server as a multiple of what it runs at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fullness(f64);

impl Fullness {
    /// Returns the load of a server that gets one more request.
    pub fn with(
        candidate: &Candidate<'_>,
        engines: Option<&EngineTraits>,
        request: &RequestSpec,
        gateway_ratio: f64,
    ) -> Self {
        let own_tokens = request.prompt.as_ref().map_or(0, |prompt| prompt.run_tokens());
        Self::new(candidate, engines, 1.0, own_tokens as f64, gateway_ratio)
    }

    fn new(
        candidate: &Candidate<'_>,
        engines: Option<&EngineTraits>,
        more: f64,
        more_tokens: f64,
        gateway_ratio: f64,
    ) -> Self {
        let load = &candidate.load;
        let slots = f64::from(candidate.entry.slots.max(1));
        let gateway_ratio = certain_ratio(gateway_ratio);
        let in_flight = gateway_ratio * load.in_flight as f64;
        let by_slots = (in_flight + more) / slots;
        let by_memory = engines.map_or(0.0, |engines| {
            let held = gateway_ratio * load.memory_tokens as f64;
            (held + more_tokens) / engines.memory_tokens.max(1) as f64
        });
        let by_header = load
            .header
            .map_or(0.0, |header| f64::from(header.running.saturating_add(header.waiting)) / slots);
        Self(by_slots.max(by_memory).max(by_header))
    }

    /// Creates the load of a server from its multiple in thousandths.
    pub const fn from_permille(permille: u64) -> Self {
        Self(permille as f64 / 1_000.0)
    }

    /// Returns the multiple.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Returns the multiple for what waits.
    fn excess(self) -> f64 {
        (self.0 - 1.0).max(0.0)
    }
}

/// The load of all healthy servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    slots: f64,
    taken: f64,
    waiting: f64,
}

impl Backlog {
    /// Adds up the load of the healthy servers among the candidates.
    pub fn new(
        candidates: &[Candidate<'_>],
        engines: Option<&EngineTraits>,
        gateway_ratio: f64,
    ) -> Self {
        let mut backlog = Self::default();
        let healthy = candidates.iter().filter(|candidate| candidate.load.health == Health::Good);
        for candidate in healthy {
            let slots = f64::from(candidate.entry.slots.max(1));
            let in_flight = certain_ratio(gateway_ratio) * candidate.load.in_flight as f64;
            let fullness = Fullness::new(candidate, engines, 0.0, 0.0, gateway_ratio);
            backlog.slots += slots;
            backlog.taken += in_flight.min(slots);
            backlog.waiting += fullness.excess() * slots;
        }
        backlog
    }

    /// Returns the slots of all servers.
    pub const fn slots(&self) -> f64 {
        self.slots
    }

    /// Returns the slots that are taken.
    pub const fn taken(&self) -> f64 {
        self.taken
    }

    /// Returns the number of requests that wait at servers.
    pub const fn waiting(&self) -> f64 {
        self.waiting
    }

    /// Returns whether nothing waits at the servers and most of their slots are free.
    pub fn is_idle(&self) -> bool {
        self.waiting <= 0.0 && self.taken < IDLE_SHARE * self.slots
    }
}

/// Returns the part of an estimated time that counts, in milliseconds.
pub fn counted_ms(estimated_ms: f64) -> f64 {
    COUNTED_SHARE * estimated_ms
}

/// How long the answers of a service's servers take.
///
/// The times of attempts are divided by the fullness of their servers, so that they are the times
/// that attempts take without a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    samples: u32,
    hold_ms: f64,
    ms_per_token: f64,
}

/// The number of answers up to which the pace of one gateway counts more than that of others.
pub const MAX_COUNTED_SAMPLES: u32 = 100;

impl Pace {
    /// Creates the pace of a service without answers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the pace that others have observed.
    pub const fn observed(samples: u32, hold_ms: f64, ms_per_token: f64) -> Self {
        Self { samples, hold_ms, ms_per_token }
    }

    /// Returns the number of answers.
    pub const fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the mean times that a request holds a slot, and that it takes for each token of its
    /// work, in milliseconds, however uncertain they are.
    pub const fn means_ms(&self) -> (f64, f64) {
        (self.hold_ms, self.ms_per_token)
    }

    /// Returns the mean of this gateway's pace and that of others, by their numbers of answers.
    pub fn merged(&self, other: &Self) -> Self {
        let own = f64::from(self.samples.min(MAX_COUNTED_SAMPLES));
        let others = f64::from(other.samples);
        let share = others / (own + others).max(1.0);
        let mean = |own: f64, other: f64| own + share * (other - own);
        Self {
            samples: self.samples.saturating_add(other.samples),
            hold_ms: mean(self.hold_ms, other.hold_ms),
            ms_per_token: mean(self.ms_per_token, other.ms_per_token),
        }
    }

    /// Returns the work of the mean request, in prompt tokens.
    pub fn mean_work_tokens(&self) -> f64 {
        if self.ms_per_token > 0.0 { self.hold_ms / self.ms_per_token } else { 0.0 }
    }

    /// Records an answer that was complete some time after its request was sent, to a server of this
    /// fullness, with the request's work.
    pub fn record_answer(&mut self, took_ms: f64, fullness: Fullness, work_tokens: f64) {
        let hold_ms = took_ms / fullness.value().max(1.0);
        let ms_per_token = hold_ms / work_tokens.max(1.0);
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        self.hold_ms += weight * (hold_ms - self.hold_ms);
        self.ms_per_token += weight * (ms_per_token - self.ms_per_token);
    }

    /// Records an attempt that was cancelled at its deadline. It would have taken at least that time,
    /// which counts only if it is longer than expected.
    pub fn record_overdue(&mut self, took_ms: f64, fullness: Fullness, work_tokens: f64) {
        if took_ms > self.expected_ms(fullness, work_tokens) {
            self.record_answer(took_ms, fullness, work_tokens);
        }
    }

    fn expected_ms(&self, fullness: Fullness, work_tokens: f64) -> f64 {
        fullness.excess() * self.hold_ms + self.ms_per_token * work_tokens
    }

    /// Returns the mean time that a request holds a slot, in milliseconds; `None` while that is
    /// uncertain.
    pub fn hold_ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.hold_ms)
    }

    /// Returns the time for which a request surely queues at a server of this fullness, in
    /// milliseconds; zero while that is uncertain.
    pub fn queue_ms(&self, fullness: Fullness) -> f64 {
        counted_ms(self.hold_ms().unwrap_or(0.0) * fullness.excess())
    }

    /// Returns the time for which requests surely queue if answers take as long as another pace says,
    /// whose times include the queue; zero while either is uncertain.
    pub fn queue_ms_behind(&self, with_queue: &Self) -> f64 {
        let queue_ms = with_queue.hold_ms().zip(self.hold_ms());
        counted_ms(queue_ms.map_or(0.0, |(late_ms, hold_ms)| (late_ms - hold_ms).max(0.0)))
    }

    /// Returns the time that a request surely takes on its server, in milliseconds; zero while that
    /// is uncertain.
    pub fn processing_ms(&self, work_tokens: f64) -> f64 {
        let ms_per_token = if self.hold_ms().is_some() { self.ms_per_token } else { 0.0 };
        counted_ms(ms_per_token * work_tokens)
    }
}
