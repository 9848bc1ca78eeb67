//! The grants that a holder gives.

use crate::limits::{OrganisationTag, Urgency};
use crate::registry::ServerId;
use crate::terms::is_full;
use protocol::ids::Incarnation;
use protocol::rate::RequestRate;
use std::collections::{HashMap, VecDeque};

/// The share of a limit that one holder grants. The platform allows half more than the limit, so two
/// holders at a time, after a change of the members, stay within what it allows.
const USED_SHARE: f64 = 0.7;
/// The sends that may accumulate.
const BURST_SENDS: f64 = 2.0;
/// The time of the granted rate that may accumulate besides, in milliseconds.
const BURST_MS: f64 = 100.0;
/// What must be left for more urgent requests, in sends for each level.
const LEVEL_RESERVE: f64 = 0.25;
/// What must be left for organisations that have got less, in sends.
const SHARE_RESERVE: f64 = 0.4;
/// How much more than the mean an organisation may have got.
const SHARE_FACTOR: f64 = 1.1;
/// The time in which what an organisation has got counts half, in milliseconds.
const SHARE_HALF_LIFE_MS: f64 = 4_000.0;
/// How long after its last question an organisation counts, in milliseconds.
const SHARE_TTL_MS: u64 = 4_000;
/// The shortest delay after which a gateway asks again, in milliseconds.
const MIN_RETRY_MS: u64 = 30;
/// The longest delay after which a gateway asks again, in milliseconds.
pub const MAX_RETRY_MS: u64 = 3_000;
/// The longest delay after which a gateway asks again for a send to a cold server, in milliseconds.
const MAX_COLD_RETRY_MS: u64 = 1_000;
/// The time after a grant in which the load reports of the gateway that got it have arrived, in
/// milliseconds.
const REPORTED_AFTER_MS: u64 = 120;
/// The delay after which a brittle server may have room, in milliseconds.
const FULL_RETRY_MS: u64 = 100;
/// How long a server's grants are kept without a question, in milliseconds.
const IDLE_TTL_MS: u64 = 60_000;

/// The answer to a gateway that asks for a send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// One request may be sent now.
    Granted,
    /// Nothing may be sent now.
    Refused {
        /// The delay after which there is probably room, in milliseconds.
        retry_after_ms: u64,
    },
}

/// How a bucket fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketShape {
    /// The rate at which it fills, in sends per millisecond.
    pub rate_per_ms: f64,
    /// The sends that may accumulate.
    pub burst_sends: f64,
    /// How much of the reserves for urgent requests and for organisations applies.
    pub reserve_factor: f64,
}

impl BucketShape {
    /// Returns the bucket of a holder for a limit that a server named.
    fn of_limit(limit: RequestRate) -> Self {
        let rate_per_ms = USED_SHARE * limit.per_s() / 1_000.0;
        let burst_sends = BURST_SENDS + BURST_MS * rate_per_ms;
        Self { rate_per_ms, burst_sends, reserve_factor: 1.0 }
    }
}

/// What an organisation has got of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    sends: f64,
    asked_ms: u64,
}

/// What a holder may still grant on one server.
#[derive(Debug)]
struct Bucket {
    incarnation: Incarnation,
    rate_per_ms: f64,
    reserve_factor: f64,
    sends: f64,
    updated_ms: u64,
    /// The latest time for which a gateway of each urgency was sent away.
    booked_ms: [f64; Urgency::LEVELS],
    shares: HashMap<OrganisationTag, Share>,
}

impl Bucket {
    /// Creates a bucket without grants: another holder may have given all that accumulates.
    fn new(incarnation: Incarnation, now_ms: u64) -> Self {
        Self {
            incarnation,
            rate_per_ms: 0.0,
            reserve_factor: 1.0,
            sends: 0.0,
            updated_ms: now_ms,
            booked_ms: [0.0; Urgency::LEVELS],
            shares: HashMap::new(),
        }
    }

    fn update(&mut self, shape: BucketShape, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        // A limit that rises does not count for the time before.
        let refilled = self.sends + self.rate_per_ms.min(shape.rate_per_ms) * elapsed_ms;
        self.rate_per_ms = shape.rate_per_ms;
        self.reserve_factor = shape.reserve_factor;
        self.sends = refilled.min(shape.burst_sends);
        self.updated_ms = now_ms;
        let kept = 0.5_f64.powf(elapsed_ms / SHARE_HALF_LIFE_MS);
        self.shares.retain(|_, share| {
            share.sends *= kept;
            now_ms < share.asked_ms + SHARE_TTL_MS
        });
    }

    /// Returns whether an organisation has got clearly more than those that ask get on average.
    fn has_more_than_its_share(&self, organisation: OrganisationTag) -> bool {
        let got = self.shares.get(&organisation).map_or(0.0, |share| share.sends);
        let all: f64 = self.shares.values().map(|share| share.sends).sum();
        got * self.shares.len() as f64 > SHARE_FACTOR * all
    }

    fn take(&mut self, urgency: Urgency, organisation: OrganisationTag, now_ms: u64) -> Grant {
        self.shares.entry(organisation).or_default().asked_ms = now_ms;
        let level = urgency.level();
        let needed = 1.0 + self.reserve_factor * LEVEL_RESERVE * level as f64;
        let has_more = self.has_more_than_its_share(organisation);
        let reserve = if has_more { self.reserve_factor * SHARE_RESERVE } else { 0.0 };
        if self.sends >= needed + reserve {
            self.sends -= 1.0;
            self.shares.entry(organisation).or_default().sends += 1.0;
            return Grant::Granted;
        }
        if self.rate_per_ms <= 0.0 {
            return Grant::Refused { retry_after_ms: MAX_RETRY_MS };
        }
        let missing = (needed - self.sends).max(0.0);
        let next_ms = now_ms as f64 + missing / self.rate_per_ms;
        // Gateways that were sent away come back one by one.
        let after_others_ms = self.booked_ms[level] + 1.0 / self.rate_per_ms;
        let latest_ms = (now_ms + MAX_RETRY_MS) as f64;
        let at_ms = next_ms.max(after_others_ms).min(latest_ms);
        self.booked_ms[level] = at_ms;
        let retry_after_ms = (at_ms - now_ms as f64).ceil() as u64;
        Grant::Refused { retry_after_ms: retry_after_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) }
    }
}

/// The grants of one gateway as a holder.
#[derive(Debug, Default)]
pub struct GrantTable {
    buckets: HashMap<ServerId, Bucket>,
    /// The buckets of cold servers, which apply besides.
    cold_buckets: HashMap<ServerId, Bucket>,
    /// When sends to brittle servers were granted.
    recent_ms: HashMap<ServerId, VecDeque<u64>>,
}

impl GrantTable {
    /// Creates a table without grants.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on one send to a brittle server with some requests in flight, as gateways reported
    /// them. Sends that were just granted may not be reported yet.
    pub fn take_room(
        &mut self,
        server: &ServerId,
        in_flight: f64,
        slots: u32,
        urgency: Urgency,
        now_ms: u64,
    ) -> Grant {
        self.recent_ms.retain(|_, recent_ms| {
            while recent_ms.front().is_some_and(|at_ms| at_ms + REPORTED_AFTER_MS <= now_ms) {
                recent_ms.pop_front();
            }
            !recent_ms.is_empty()
        });
        let recent = self.recent_ms.get(server).map_or(0, VecDeque::len);
        if is_full(in_flight + recent as f64, slots, urgency) {
            return Grant::Refused { retry_after_ms: FULL_RETRY_MS };
        }
        self.recent_ms.entry(server.clone()).or_default().push_back(now_ms);
        Grant::Granted
    }

    /// Decides on one send to a server that named a limit.
    pub fn take(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        limit: RequestRate,
        urgency: Urgency,
        organisation: OrganisationTag,
        now_ms: u64,
    ) -> Grant {
        let shape = BucketShape::of_limit(limit);
        take_from(&mut self.buckets, server, incarnation, shape, urgency, organisation, now_ms)
    }

    /// Decides on one send to a cold server.
    pub fn take_cold(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        shape: BucketShape,
        urgency: Urgency,
        organisation: OrganisationTag,
        now_ms: u64,
    ) -> Grant {
        let buckets = &mut self.cold_buckets;
        let grant = take_from(buckets, server, incarnation, shape, urgency, organisation, now_ms);
        match grant {
            Grant::Granted => grant,
            // Servers are cold for some seconds only.
            Grant::Refused { retry_after_ms } => {
                Grant::Refused { retry_after_ms: retry_after_ms.min(MAX_COLD_RETRY_MS) }
            }
        }
    }
}

fn take_from(
    buckets: &mut HashMap<ServerId, Bucket>,
    server: &ServerId,
    incarnation: Incarnation,
    shape: BucketShape,
    urgency: Urgency,
    organisation: OrganisationTag,
    now_ms: u64,
) -> Grant {
    buckets.retain(|_, bucket| now_ms < bucket.updated_ms + IDLE_TTL_MS);
    let new = || Bucket::new(incarnation, now_ms);
    let bucket = buckets.entry(server.clone()).or_insert_with(new);
    if bucket.incarnation < incarnation {
        *bucket = new();
    }
    if bucket.incarnation > incarnation {
        return Grant::Refused { retry_after_ms: MAX_RETRY_MS };
    }
    bucket.update(shape, now_ms);
    bucket.take(urgency, organisation, now_ms)
}
