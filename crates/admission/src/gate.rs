//! Admission of placed requests by deadline, fair share and reserve.

use crate::deadline::{self, Timing};
use crate::fair_share::{FairShare, ShareUsage};
use crate::refusal::Refusal;
use crate::reserve::{LONG_QUEUE_SHARE, WorkClass, work_tokens};
use protocol::error::ErrorKind;
use protocol::ids::OrganisationId;

/// The share of the maximum queueing time that is open to organisations past their fair share.
const LENT_QUEUE_SHARE: f64 = 0.5;
/// The fraction of its fair share up to which an organisation may use all of the maximum queueing
/// time.
const FULL_QUEUE_USAGE: f64 = 0.5;

/// Describes a placed request for which admission is requested.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The organisation.
    pub organisation: &'a OrganisationId,
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
#[derive(Debug, Default)]
pub struct Gate {
    shares: FairShare,
}

impl Gate {
    /// Creates a gate without recorded requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits or refuses a request; `random` from zero to one adds jitter to the retry times.
    ///
    /// Up to half of its maximum queueing time a request is always admitted, which lends out idle
    /// shares. Above that, the limit falls as the organisation uses more of its fair share, so that
    /// organisations with unlimited demand leave queueing time to the others. Long requests are
    /// limited to three quarters.
    ///
    /// # Errors
    ///
    /// Returns the refusal, which the caller answers immediately.
    pub fn admit(
        &self,
        request: &AdmissionRequest<'_>,
        random: f64,
        now_ms: u64,
    ) -> Result<WorkClass, Refusal> {
        let class = WorkClass::new(request.recomputed_tokens, request.max_answer_tokens);
        let work = request.work_tokens();
        let share = self.shares.record_offered(request.organisation, request.weight, work, now_ms);
        let timing = &request.timing;
        deadline::check(timing, random)?;
        deadline::check_share(timing, queue_share(share), refusal_kind(share), random)?;
        if class == WorkClass::Long {
            let kind = ErrorKind::ReservedForQuick;
            deadline::check_share(timing, LONG_QUEUE_SHARE, kind, random)?;
        }
        self.shares.record_admitted(request.organisation, work, now_ms);
        Ok(class)
    }
}

/// Returns the share of the maximum queueing time that an organisation may use.
fn queue_share(share: ShareUsage) -> f64 {
    let unused = (1.0 - share.value()) / (1.0 - FULL_QUEUE_USAGE);
    LENT_QUEUE_SHARE + (1.0 - LENT_QUEUE_SHARE) * unused.clamp(0.0, 1.0)
}

fn refusal_kind(share: ShareUsage) -> ErrorKind {
    if share.is_exceeded() { ErrorKind::OverFairShare } else { ErrorKind::Overloaded }
}

impl AdmissionRequest<'_> {
    fn work_tokens(&self) -> u64 {
        work_tokens(self.recomputed_tokens, self.max_answer_tokens)
    }
}
