//! Admission of a placed request: deadline, fair share and reserve.

use crate::deadline::{self, Timing};
use crate::fair_share::{FairShare, ShareUse};
use crate::refusal::Refusal;
use crate::reserve::{LONG_ROOM_SHARE, WorkClass, work_tokens};
use protocol::error::ErrorKind;
use protocol::ids::OrganisationId;

/// The part of the room in the queue that organisations past their share may fill.
const LENT_ROOM_SHARE: f64 = 0.5;
/// The part of its share up to which an organisation may fill all of the room.
const FULL_ROOM_USE: f64 = 0.5;

/// Describes a request that was placed and is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The organisation.
    pub organisation: &'a OrganisationId,
    /// The organisation's weight in fair shares.
    pub weight: u32,
    /// The prompt tokens that are to be computed.
    pub recomputed_tokens: u64,
    /// The longest answer that was asked for.
    pub max_answer_tokens: u64,
    /// What the placement expects.
    pub timing: Timing,
}

/// Admits or refuses the requests of one service.
#[derive(Debug, Default)]
pub struct Gate {
    shares: FairShare,
}

impl Gate {
    /// Creates a gate that has seen no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Judges a request; `random` from zero to one spreads the times to come back.
    ///
    /// Up to half of a request's room in the queue anyone gets in, so idle shares are lent. Above
    /// that an organisation gets in the further, the less of its share it has had, so that those
    /// who take all they can get leave room for the others. Long runs stop at three quarters.
    ///
    /// # Errors
    ///
    /// Returns the refusal, which is to be answered at once.
    pub fn admit(
        &self,
        applicant: &AdmissionRequest<'_>,
        random: f64,
        now_ms: u64,
    ) -> Result<WorkClass, Refusal> {
        let class = WorkClass::new(applicant.recomputed_tokens, applicant.max_answer_tokens);
        let work = applicant.work_tokens();
        let share = self.shares.offer(applicant.organisation, applicant.weight, work, now_ms);
        let timing = &applicant.timing;
        deadline::check(timing, random)?;
        deadline::check_share(timing, room_share(share), share_kind(share), random)?;
        if class == WorkClass::Long {
            let kind = ErrorKind::ReservedForQuick;
            deadline::check_share(timing, LONG_ROOM_SHARE, kind, random)?;
        }
        self.shares.admit(applicant.organisation, work, now_ms);
        Ok(class)
    }
}

/// Returns the part of the room that an organisation may fill.
fn room_share(share: ShareUse) -> f64 {
    let unused = (1.0 - share.value()) / (1.0 - FULL_ROOM_USE);
    LENT_ROOM_SHARE + (1.0 - LENT_ROOM_SHARE) * unused.clamp(0.0, 1.0)
}

fn share_kind(share: ShareUse) -> ErrorKind {
    if share.is_exceeded() { ErrorKind::OverFairShare } else { ErrorKind::Overloaded }
}

impl AdmissionRequest<'_> {
    fn work_tokens(&self) -> u64 {
        work_tokens(self.recomputed_tokens, self.max_answer_tokens)
    }
}
