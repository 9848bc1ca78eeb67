//! How much slower than usual each server's machine is.
//!
//! Load pattern: servers share machines, and on some of them work takes 2.5 times as long for
//! seconds. Each answer names the present figure, which changes many times a second. With 117
//! gateways and 140 servers, a gateway hears from a given server about every 15 s.

mod exchange;
mod loads;
mod rows;

pub use crate::load::slowdown::exchange::SampleOrigin;
pub use crate::load::slowdown::rows::{MAX_ROWS, SlowdownRow, SlowdownRows};

use crate::load::peers::ServerTag;
use std::collections::HashMap;

/// The time in which an estimate loses half of its distance to the usual figure without news, in
/// milliseconds. Machines stay slow for seconds.
const HALF_LIFE_MS: f64 = 2_000.0;
/// The age from which on an estimate says nothing, in milliseconds.
const ESTIMATE_TTL_MS: u64 = 16_000;
/// The weight of a sample against the estimate before, if another one preceded it shortly. Figures change
/// within a fraction of a second, so a few samples outweigh the estimate and one does not.
const SAMPLE_WEIGHT: f64 = 0.3;
/// The weight of a sample that none preceded for a while.
const MAX_SAMPLE_WEIGHT: f64 = 0.45;
/// The time in which the weight of the estimate before a sample halves, in milliseconds.
const WEIGHT_HALF_LIFE_MS: f64 = 1_000.0;
/// The factor by which a sample may differ from the estimate; what exceeds it is cut off, so that one
/// odd figure does not keep a server without work for seconds.
const MAX_STEP: f64 = 4.0;
/// The maximum number of servers in the table.
const MAX_SERVERS: usize = 4_096;
/// The usual figure, in percent.
const USUAL_PERCENT: f64 = 100.0;

/// The time that work takes on a server's machine, in percent of the usual time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Slowdown(u16);

/// Why a figure is ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlowdownError {
    /// It is no number.
    Malformed,
    /// It is below `Slowdown::MIN_PERCENT`.
    TooLow,
    /// It is above `Slowdown::MAX_PERCENT`.
    TooHigh,
}

impl SlowdownError {
    /// Returns the reason's name in counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            SlowdownError::Malformed => "malformed",
            SlowdownError::TooLow => "too_low",
            SlowdownError::TooHigh => "too_high",
        }
    }
}

impl Slowdown {
    /// The lowest figure that counts.
    pub const MIN_PERCENT: u16 = 10;
    /// The highest figure that counts.
    pub const MAX_PERCENT: u16 = 10_000;

    /// Creates a slowdown from a figure in percent, rounded.
    ///
    /// # Errors
    ///
    /// Returns the reason why the figure is ignored.
    pub fn new(percent: f64) -> Result<Self, SlowdownError> {
        match percent {
            _ if percent.is_nan() => Err(SlowdownError::Malformed),
            _ if percent < f64::from(Self::MIN_PERCENT) => Err(SlowdownError::TooLow),
            _ if percent > f64::from(Self::MAX_PERCENT) => Err(SlowdownError::TooHigh),
            _ => Ok(Self(percent.round() as u16)),
        }
    }

    /// Returns the figure, in percent.
    pub const fn percent(self) -> u16 {
        self.0
    }
}

/// What is assumed about a server's machine now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowdownView {
    /// The assumed figure, in percent.
    pub percent: f64,
    /// The age of the newest sample, in milliseconds.
    pub age_ms: u64,
}

impl SlowdownView {
    /// Returns the factor by which work takes longer than usual.
    pub fn factor(&self) -> f64 {
        self.percent / USUAL_PERCENT
    }
}

/// Some samples of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Samples {
    /// Their mean, in percent.
    pub(super) percent: f64,
    /// Their number.
    pub(super) count: u32,
    /// The time of the newest one.
    pub(super) at_ms: u64,
}

impl Samples {
    /// Returns these samples and others.
    fn and(&self, other: &Self) -> Self {
        let count = self.count.saturating_add(other.count);
        let sum = self.percent * f64::from(self.count) + other.percent * f64::from(other.count);
        let percent = sum / f64::from(count.max(1));
        Self { percent, count, at_ms: self.at_ms.max(other.at_ms) }
    }
}

/// A smoothed figure.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    percent: f64,
    /// The time of the newest sample.
    at_ms: u64,
}

impl Estimate {
    /// Returns the figure at a time, which approaches the usual one.
    fn percent_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        USUAL_PERCENT + (self.percent - USUAL_PERCENT) * (-age_ms / HALF_LIFE_MS).exp2()
    }

    /// Returns the estimate with further samples. Samples that are older than the newest one are
    /// taken as if they were as new: they differ by the delay of messages only.
    fn with(&self, samples: &Samples) -> Self {
        let at_ms = self.at_ms.max(samples.at_ms);
        let before = self.percent_at(at_ms);
        let bounded = samples.percent.clamp(before / MAX_STEP, before * MAX_STEP);
        let age_ms = at_ms.saturating_sub(self.at_ms) as f64;
        let kept = (1.0 - SAMPLE_WEIGHT) * (-age_ms / WEIGHT_HALF_LIFE_MS).exp2();
        let kept = kept.max(1.0 - MAX_SAMPLE_WEIGHT);
        let further = f64::from(samples.count.saturating_sub(1));
        let kept = kept * (1.0 - SAMPLE_WEIGHT).powf(further);
        Self { percent: bounded + kept * (before - bounded), at_ms }
    }
}

/// What is known of one server's machine.
#[derive(Clone, Copy, Debug)]
struct Known {
    estimate: Option<Estimate>,
    /// The newest sample from an answer to this gateway.
    heard: Option<Samples>,
    /// The samples that other gateways have not been told.
    unsent: Option<Samples>,
    /// The estimate that the gateways of the failure domain were told, if this gateway is their relay.
    told: Option<Estimate>,
    /// When the server was last found to have started again; what was said before counts no more.
    restarted_ms: Option<u64>,
}

/// The slowdowns of all servers that named any.
#[derive(Debug, Default)]
pub(super) struct Slowdowns {
    servers: HashMap<ServerTag, Known>,
}

impl Slowdowns {
    /// Adds samples, unless they are from before a restart of the server.
    pub(super) fn add(
        &mut self,
        server: ServerTag,
        samples: &Samples,
        origin: SampleOrigin,
        now_ms: u64,
    ) {
        if !self.has_room_for(server, now_ms) {
            return;
        }
        let known = self.servers.entry(server).or_insert(Known::new());
        if !known.counts(samples.at_ms, now_ms) {
            return;
        }
        let usual = Estimate { percent: USUAL_PERCENT, at_ms: 0 };
        known.estimate = Some(known.estimate.unwrap_or(usual).with(samples));
        if origin == SampleOrigin::Answer {
            known.heard = Some(*samples);
        }
        if origin != SampleOrigin::Peer {
            known.unsent = Some(known.unsent.map_or(*samples, |unsent| unsent.and(samples)));
        }
    }

    fn has_room_for(&mut self, server: ServerTag, now_ms: u64) -> bool {
        if !self.servers.contains_key(&server) && self.servers.len() >= MAX_SERVERS {
            self.expire(now_ms);
        }
        self.servers.contains_key(&server) || self.servers.len() < MAX_SERVERS
    }

    /// Forgets what a server said before it started again.
    pub(super) fn restarted(&mut self, server: ServerTag, now_ms: u64) {
        if self.has_room_for(server, now_ms) {
            let known = Known { restarted_ms: Some(now_ms), ..Known::new() };
            self.servers.insert(server, known);
        }
    }

    /// Returns what is assumed about a server; `None` if it named nothing lately.
    pub(super) fn view(&self, server: ServerTag, now_ms: u64) -> Option<SlowdownView> {
        let estimate = self.servers.get(&server)?.estimate?;
        let age_ms = now_ms.saturating_sub(estimate.at_ms);
        let view = SlowdownView { percent: estimate.percent_at(now_ms), age_ms };
        (age_ms < ESTIMATE_TTL_MS).then_some(view)
    }

    /// Returns the factor by which work takes longer than usual on a server; 1 if it is not known.
    pub(super) fn factor(&self, server: ServerTag, now_ms: u64) -> f64 {
        self.view(server, now_ms).map_or(1.0, |view| view.factor())
    }

    /// Removes servers that said nothing lately.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.servers.retain(|_, known| {
            let is_recent =
                |at_ms: Option<u64>| at_ms.is_some_and(|at_ms| now_ms < at_ms + ESTIMATE_TTL_MS);
            is_recent(known.estimate.map(|estimate| estimate.at_ms))
                || is_recent(known.restarted_ms)
        });
    }
}

impl Known {
    const fn new() -> Self {
        Self { estimate: None, heard: None, unsent: None, told: None, restarted_ms: None }
    }

    /// Returns whether a statement of a time is about the present incarnation, and recent.
    fn counts(&self, at_ms: u64, now_ms: u64) -> bool {
        self.restarted_ms.is_none_or(|restarted_ms| restarted_ms <= at_ms)
            && now_ms < at_ms.saturating_add(ESTIMATE_TTL_MS)
    }
}
