//! Admission of placed requests by deadline, fair share and reserve.

use crate::deadline::{self, Excess, Timing};
use crate::fair_share::{FairShare, ShareUsage, URGENCY_LEVELS};
use crate::refusal::Refusal;
use crate::reserve::{LONG_QUEUE_SHARE, WorkClass, work_tokens};
use protocol::error::ErrorKind;
use protocol::ids::OrganisationId;
use std::hash::Hash;
use std::sync::atomic::{AtomicU64, Ordering};

/// The share of the maximum queueing time that is open to organisations past their fair share.
const LENT_QUEUE_SHARE: f64 = 0.5;
/// The fraction of its fair share up to which an organisation may use all of the maximum queueing
/// time.
const FULL_QUEUE_USAGE: f64 = 0.5;
/// The share of the queueing time that each level of less urgency takes off.
const URGENCY_STEP: f64 = 0.1;

/// Describes a placed request for which admission is requested.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a, K = OrganisationId> {
    /// The organisation.
    pub organisation: &'a K,
    /// The organisation's weight in the fair shares.
    pub weight: u32,
    /// The prompt tokens to prefill.
    pub recomputed_tokens: u64,
    /// The maximum answer length requested, in tokens.
    pub max_answer_tokens: u64,
    /// The times that placement expects.
    pub timing: Timing,
}

/// Admits or refuses the requests of one service.
#[derive(Debug)]
pub struct Gate<K = OrganisationId> {
    shares: FairShare<K>,
    rooms: MeanRoom,
    /// The work that waits at the servers, in prompt tokens, as the bits of an `f64`.
    waiting: AtomicU64,
}

impl<K: Clone + Eq + Hash> Default for Gate<K> {
    fn default() -> Self {
        Self::new()
    }
}

/// A request that the gate does not admit now, with the share that its organisation has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotAdmitted {
    /// Why, and by how much.
    pub excess: Excess,
    /// The share that the organisation has used.
    pub usage: ShareUsage,
}

impl<K: Clone + Eq + Hash> Gate<K> {
    /// Creates a gate without recorded requests.
    pub fn new() -> Self {
        let waiting = AtomicU64::new(0.0_f64.to_bits());
        Self { shares: FairShare::new(), rooms: MeanRoom::default(), waiting }
    }

    /// Sets the work that waits at the servers, in prompt tokens. What of it will be served too late
    /// shows that the service is contended before any request is refused.
    pub fn set_waiting(&self, work_tokens: f64) {
        self.waiting.store(work_tokens.to_bits(), Ordering::Relaxed);
    }

    /// Returns the mean time for which recent requests at this host may queue, in milliseconds;
    /// `None` before the first.
    pub fn mean_room_ms(&self) -> Option<f64> {
        let inverse = f64::from_bits(self.rooms.inverse.load(Ordering::Relaxed));
        (inverse > 0.0).then(|| 1.0 / inverse)
    }

    /// Sets the mean time for which recent requests at all hosts may queue, in milliseconds. With a
    /// mean of its own, a host whose callers come back with little time left would leave less to
    /// each organisation than other hosts do.
    pub fn set_common_room(&self, room_ms: Option<f64>) {
        let inverse = room_ms.filter(|room_ms| *room_ms > 0.0).map_or(0.0, |room_ms| 1.0 / room_ms);
        self.rooms.common.store(inverse.to_bits(), Ordering::Relaxed);
    }

    /// Returns the work of each organisation.
    pub const fn shares(&self) -> &FairShare<K> {
        &self.shares
    }

    /// Admits or refuses a request; `random` from zero to one adds jitter to the retry times.
    ///
    /// # Errors
    ///
    /// Returns the refusal, which the caller answers immediately.
    pub fn admit(
        &self,
        request: &AdmissionRequest<'_, K>,
        random: f64,
        now_ms: u64,
    ) -> Result<WorkClass, Refusal> {
        let admitted = self.check(request, 0, now_ms);
        admitted.map_err(|refused| refused.excess.into_refusal(random))
    }

    /// Admits or refuses a request of an urgency, of which zero is the highest.
    ///
    /// Up to half of its maximum queueing time a request is always admitted, which lends out idle
    /// shares. Above that, the limit falls as the organisation uses more of its fair share, so that
    /// organisations with unlimited demand leave queueing time to the others. That half is at most
    /// half of what requests may queue on average: otherwise organisations with long deadlines
    /// would leave nothing to those with short ones. Past its share an organisation's limit falls
    /// with the cube of what it has used: with a fixed limit, one that asks often finds the moments
    /// at which little queues. Long requests are limited to three quarters, and each level of less
    /// urgency takes off a tenth.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted.
    pub fn check(
        &self,
        request: &AdmissionRequest<'_, K>,
        urgency: usize,
        now_ms: u64,
    ) -> Result<WorkClass, NotAdmitted> {
        let class = WorkClass::new(request.recomputed_tokens, request.max_answer_tokens);
        let work = request.work_tokens() as f64;
        let AdmissionRequest { organisation, weight, timing, .. } = request;
        let room_ms = timing.max_queue_ms();
        let mean_lent_ms = LENT_QUEUE_SHARE * self.rooms.record(room_ms);
        let lent_ms = mean_lent_ms.min(LENT_QUEUE_SHARE * room_ms);
        let unserved_share = (1.0 - mean_lent_ms / timing.queue_ms).max(0.0);
        let waiting = f64::from_bits(self.waiting.load(Ordering::Relaxed));
        self.shares.set_unserved(unserved_share * waiting);
        // What is lent out while little queues does not count towards the share.
        let counted = (timing.queue_ms / mean_lent_ms).clamp(0.0, 1.0).powi(2) * work;
        let usage = self.shares.record_offered(organisation, *weight, counted, urgency, now_ms);
        let share_ms = lent_ms + unused_share(usage) * (room_ms - lent_ms);
        let share_ms = share_ms / usage.value().max(1.0).powi(3);
        let urgent_share = 1.0 - URGENCY_STEP * urgency.min(URGENCY_LEVELS - 1) as f64;
        let limits = [
            (room_ms, ErrorKind::Overloaded),
            (urgent_share * share_ms, refusal_kind(usage)),
            (LONG_QUEUE_SHARE * room_ms, ErrorKind::ReservedForQuick),
        ];
        let checked = if class == WorkClass::Long { &limits[..] } else { &limits[..2] };
        for (limit_ms, kind) in checked {
            deadline::check_limit(timing, *limit_ms, *kind)
                .map_err(|excess| NotAdmitted { excess, usage })?;
        }
        self.shares.record_admitted(organisation, counted, urgency, now_ms);
        Ok(class)
    }

    /// Checks a request again that was admitted and waits since. It is refused only if it cannot
    /// meet its deadline any more, and then no longer counts as admitted.
    ///
    /// # Errors
    ///
    /// Returns why the request will not run.
    pub fn check_again(
        &self,
        request: &AdmissionRequest<'_, K>,
        urgency: usize,
        now_ms: u64,
    ) -> Result<(), NotAdmitted> {
        let AdmissionRequest { organisation, timing, .. } = request;
        let room_ms = timing.max_queue_ms();
        deadline::check_limit(timing, room_ms, ErrorKind::Overloaded).map_err(|excess| {
            let work = request.work_tokens() as f64;
            let usage =
                self.shares.withdraw_admitted(organisation, request.weight, work, urgency, now_ms);
            NotAdmitted { excess, usage }
        })
    }
}

/// Returns how much of the maximum queueing time beyond what is lent an organisation may use, from
/// zero to one.
fn unused_share(usage: ShareUsage) -> f64 {
    let unused = (1.0 - usage.value()) / (1.0 - FULL_QUEUE_USAGE);
    unused.clamp(0.0, 1.0)
}

/// The mean of the times for which recent requests may queue. The mean of the inverse is kept, so
/// that short times count more.
#[derive(Debug, Default)]
struct MeanRoom {
    /// The mean inverse of this host, per millisecond, as the bits of an `f64`.
    inverse: AtomicU64,
    /// That of all hosts; zero while it is unknown.
    common: AtomicU64,
}

impl MeanRoom {
    /// Counts a request and returns the mean of all hosts, in milliseconds, or that of this one.
    fn record(&self, room_ms: f64) -> f64 {
        /// The weight of one request in the mean.
        const WEIGHT: f64 = 0.02;
        /// The least time that counts: few callers with hardly any time left decide nothing.
        const MIN_MS: f64 = 100.0;
        let inverse = 1.0 / room_ms.max(MIN_MS);
        let before = f64::from_bits(self.inverse.load(Ordering::Relaxed));
        let after = if before > 0.0 { before + WEIGHT * (inverse - before) } else { inverse };
        // A lost update of another thread changes the mean by one request.
        self.inverse.store(after.to_bits(), Ordering::Relaxed);
        let common = f64::from_bits(self.common.load(Ordering::Relaxed));
        1.0 / if common > 0.0 { common } else { after }
    }
}

fn refusal_kind(share: ShareUsage) -> ErrorKind {
    if share.is_exceeded() { ErrorKind::OverFairShare } else { ErrorKind::Overloaded }
}

impl<K> AdmissionRequest<'_, K> {
    fn work_tokens(&self) -> u64 {
        work_tokens(self.recomputed_tokens, self.max_answer_tokens)
    }
}
