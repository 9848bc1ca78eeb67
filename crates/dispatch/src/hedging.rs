//! Whether and when a second attempt is made at a request whose first one is late.
//!
//! Load pattern: most requests of a kind take about as long, and a few many times that, because
//! their server paused or shares its machine. These few decide the latency that callers see. The
//! same requests are late together when all servers are busy; more attempts would add to that.

mod usual;

pub use crate::hedging::usual::UsualTimes;

use crate::load::{Health, LoadView};
use protocol::ids::ServiceName;
use std::collections::HashMap;

/// The largest share of extra attempts among first attempts.
pub const MAX_EXTRA_SHARE: f64 = 0.2;
/// The largest share of requests that are never late. A higher one would need more samples than one
/// gateway of many gets within minutes.
const MAX_USUAL_SHARE: f64 = 0.98;
/// The least weight of the samples from which on a kind of request is known, whatever share of them is
/// late.
const MIN_WEIGHT: f64 = 10.0;
/// The extra attempts that may be saved up, so that late requests that come together are hedged.
const MAX_SAVED: f64 = 5.0;
/// The share of the remaining time of a late attempt that another one may be expected to take.
const EARLIER_SHARE: f64 = 0.7;
/// The share of a server's slots in use from which on it counts as busy.
const BUSY_SHARE: f64 = 0.8;
/// The maximum number of kinds of requests that are remembered; each takes half a kilobyte.
const MAX_KINDS: usize = 256;
/// The prompt tokens of the smallest kind of prompt.
const SMALL_PROMPT_TOKENS: u64 = 256;

/// Requests that usually take about as long: those of one route, and for engines with about as many
/// prompt tokens to prefill.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Kind {
    route: String,
    /// The doublings of the prompt tokens to prefill; `None` without a prompt.
    prefill: Option<u8>,
}

impl Kind {
    /// Returns the kind of a route's request.
    pub fn new(route: &str, prefill_tokens: Option<u64>) -> Self {
        let doublings = |tokens: u64| (tokens / SMALL_PROMPT_TOKENS).checked_ilog2();
        let prefill =
            prefill_tokens.map(|tokens| doublings(tokens).map_or(0, |bits| bits as u8 + 1));
        Self { route: route.to_owned(), prefill }
    }
}

/// Why a late request is not hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withheld {
    /// Most servers of the service are busy, so that the request waits in a queue.
    Queue,
    /// The share of extra attempts is used up.
    OverShare,
    /// No other server is expected to be clearly earlier.
    NoBetterServer,
}

impl Withheld {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Withheld::Queue => "queue",
            Withheld::OverShare => "over_share",
            Withheld::NoBetterServer => "no_better_server",
        }
    }
}

/// How many servers of a service are busy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceLoad {
    /// The servers that take requests.
    pub servers: usize,
    /// Those among them that are busy.
    pub busy: usize,
}

impl ServiceLoad {
    /// Adds a server. `gateway_ratio` is the number of gateways divided by the number whose load is
    /// reported.
    pub fn add(&mut self, load: &LoadView, slots: u32, gateway_ratio: f64) {
        let in_flight = load.in_flight as f64 * gateway_ratio;
        let is_queueing = load.header.is_some_and(|header| header.waiting > 0);
        let is_busy = load.health != Health::Good
            || is_queueing
            || in_flight >= BUSY_SHARE * f64::from(slots.max(1));
        self.servers += 1;
        self.busy += usize::from(is_busy);
    }

    const fn is_mostly_busy(&self) -> bool {
        2 * self.busy > self.servers
    }
}

/// What a second attempt at a late request must keep, and the inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Late {
    /// What a request of the kind usually takes, in milliseconds.
    pub usual_ms: f64,
    /// How long the first attempt is expected to take yet, in milliseconds.
    pub remaining_ms: f64,
    /// The longest time that another server may be expected to take, in milliseconds.
    pub max_first_byte_ms: f64,
}

/// Knows how long requests usually take, and how many extra attempts are allowed.
#[derive(Debug)]
pub struct Hedging {
    extra_share: f64,
    kinds: HashMap<Kind, UsualTimes>,
    /// The extra attempts that are allowed now, by service.
    saved: HashMap<ServiceName, f64>,
}

impl Hedging {
    /// Creates a state without samples. A share of zero or one that is no number allows no extra
    /// attempts; a share above [`MAX_EXTRA_SHARE`] counts as that.
    pub fn new(extra_share: f64) -> Self {
        let extra_share = if extra_share > 0.0 { extra_share.min(MAX_EXTRA_SHARE) } else { 0.0 };
        Self { extra_share, kinds: HashMap::new(), saved: HashMap::new() }
    }

    /// Returns whether extra attempts are allowed.
    pub fn is_on(&self) -> bool {
        self.extra_share > 0.0
    }

    /// Counts a first attempt at a request that may be hedged. Returns after how many milliseconds
    /// it is late; `None` if too little is known of its kind.
    pub fn start(&mut self, service: &ServiceName, kind: &Kind) -> Option<u64> {
        if !self.is_on() {
            return None;
        }
        let saved = self.saved.entry(service.clone()).or_default();
        *saved = (*saved + self.extra_share).min(MAX_SAVED);
        // Of the requests so far, about the allowed share was not answered by then.
        let usual = self.known(kind)?;
        usual.quantile_ms(self.usual_share()).map(|late_ms| late_ms.ceil() as u64)
    }

    /// Returns the share of requests that are not late.
    fn usual_share(&self) -> f64 {
        (1.0 - self.extra_share).min(MAX_USUAL_SHARE)
    }

    /// Returns the times of a kind of which there are so many that one of them is late. A gateway of
    /// many sees less than one request a second of most kinds.
    fn known(&self, kind: &Kind) -> Option<&UsualTimes> {
        let min_weight = (1.0 / (1.0 - self.usual_share())).max(MIN_WEIGHT);
        // The share is not exact in binary.
        self.kinds.get(kind).filter(|usual| usual.weight() + 1e-6 >= min_weight)
    }

    /// Records how long a first attempt took.
    pub fn record(&mut self, kind: &Kind, took_ms: u64, now_ms: u64) {
        if let Some(usual) = self.usual_mut(kind, now_ms) {
            usual.record(took_ms, now_ms);
        }
    }

    /// Records how long a first attempt had run when it was cancelled because another one was
    /// faster.
    pub fn record_cancelled(&mut self, kind: &Kind, waited_ms: u64, now_ms: u64) {
        if let Some(usual) = self.usual_mut(kind, now_ms) {
            usual.record_at_least(waited_ms, now_ms);
        }
    }

    /// Decides whether another server is to be tried beside the first, whose attempt has run for a
    /// time; the caller has `caller_ms` left. [`Hedging::take`] then counts the extra attempt.
    ///
    /// # Errors
    ///
    /// Returns the reason why not.
    pub fn check(
        &self,
        service: &ServiceName,
        kind: &Kind,
        load: ServiceLoad,
        waited_ms: u64,
        caller_ms: u64,
    ) -> Result<Late, Withheld> {
        if load.is_mostly_busy() {
            return Err(Withheld::Queue);
        }
        if !self.has_saved(service) {
            return Err(Withheld::OverShare);
        }
        let usual = self.known(kind).ok_or(Withheld::NoBetterServer)?;
        let usual_ms = usual.quantile_ms(0.5).ok_or(Withheld::NoBetterServer)?;
        // Nothing took that long yet: it takes as long again.
        let end_ms = usual.median_beyond_ms(waited_ms).unwrap_or(2.0 * waited_ms as f64);
        let remaining_ms = (end_ms - waited_ms as f64).max(0.0);
        let max_first_byte_ms = (EARLIER_SHARE * remaining_ms).min(caller_ms as f64);
        if usual_ms > max_first_byte_ms {
            return Err(Withheld::NoBetterServer);
        }
        Ok(Late { usual_ms, remaining_ms, max_first_byte_ms })
    }

    /// Counts an extra attempt.
    pub fn take(&mut self, service: &ServiceName) {
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved - 1.0).max(0.0);
        }
    }

    /// Returns whether the share allows an extra attempt.
    pub fn has_saved(&self, service: &ServiceName) -> bool {
        self.saved.get(service).is_some_and(|saved| *saved >= 1.0)
    }

    fn usual_mut(&mut self, kind: &Kind, now_ms: u64) -> Option<&mut UsualTimes> {
        if !self.is_on() {
            return None;
        }
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            let oldest = self.kinds.iter().min_by_key(|(_, usual)| usual.last_ms());
            let oldest = oldest.map(|(kind, _)| kind.clone())?;
            self.kinds.remove(&oldest);
        }
        Some(self.kinds.entry(kind.clone()).or_insert_with(|| UsualTimes::new(now_ms)))
    }
}
