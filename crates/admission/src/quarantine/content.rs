//! One request's content: the servers that run it, and the crashes while it ran.

use super::StartedAttempt;
use protocol::ids::{AttemptId, HostName, Incarnation};
use protocol::message::suspect::SuspectReport;
use smallvec::SmallVec;

/// The time for which a request is refused after its second crash, in milliseconds; it doubles with
/// each further crash.
pub const QUARANTINE_MS: u64 = 600_000;
/// The time for which a request stays a suspect after its last crash or the end of its refusal, in
/// milliseconds.
pub const SUSPECT_EXPIRY_MS: u64 = 1_800_000;

/// The number of crashes at which a request is refused.
const MAX_CRASHES: usize = 2;
/// The maximum number of copies of one content that are pinned to one server.
const MAX_PINNED_ATTEMPTS: usize = 16;
/// The maximum number of times that the refusal time doubles.
const MAX_DOUBLINGS: u32 = 6;
/// The time for which an aborted attempt counts as a possible server crash, in milliseconds.
/// Orphaned attempts expire after the same time.
const ABORTED_EXPIRY_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    /// The attempt is running.
    Live,
    /// The connection to its server was lost.
    Aborted { at_ms: u64 },
    /// Its entry host crashed.
    Orphaned { at_ms: u64 },
}

#[derive(Debug)]
struct Attempt {
    started: StartedAttempt,
    state: AttemptState,
}

impl Attempt {
    fn is_live(&self) -> bool {
        self.state == AttemptState::Live
    }

    fn is_recently_aborted(&self, now_ms: u64) -> bool {
        match self.state {
            AttemptState::Aborted { at_ms } => now_ms.saturating_sub(at_ms) < ABORTED_EXPIRY_MS,
            AttemptState::Live | AttemptState::Orphaned { .. } => false,
        }
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        match self.state {
            AttemptState::Live => false,
            AttemptState::Aborted { at_ms } | AttemptState::Orphaned { at_ms } => {
                now_ms.saturating_sub(at_ms) >= ABORTED_EXPIRY_MS
            }
        }
    }
}

#[derive(Debug, Eq, PartialEq)]
struct Crash {
    server: HostName,
    incarnation: Incarnation,
}

#[derive(Debug, Default)]
pub(super) struct Content {
    attempts: SmallVec<[Attempt; 1]>,
    crashes: SmallVec<[Crash; MAX_CRASHES]>,
    last_crash_ms: u64,
    refusals: u32,
    refused_until_ms: u64,
}

impl Content {
    pub(super) fn start(&mut self, started: StartedAttempt) {
        self.attempts.retain(|other| other.started.attempt_id != started.attempt_id);
        self.attempts.push(Attempt { started, state: AttemptState::Live });
    }

    pub(super) fn abort(&mut self, started: StartedAttempt, now_ms: u64) {
        self.start(started);
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.state = AttemptState::Aborted { at_ms: now_ms };
        }
    }

    /// Ends an attempt; returns whether that clears a suspect.
    pub(super) fn finish(&mut self, attempt_id: &AttemptId, completed: bool) -> bool {
        let attempts_before = self.attempts.len();
        self.attempts.retain(|attempt| attempt.started.attempt_id != *attempt_id);
        let clears = completed && self.attempts.len() < attempts_before;
        clears && self.clear()
    }

    /// Clears a suspect unless it was refused before; returns whether it was a suspect that is now
    /// cleared.
    pub(super) fn clear(&mut self) -> bool {
        if self.refusals > 0 {
            return false;
        }
        let was_suspect =
            !self.crashes.is_empty() || self.attempts.iter().any(|attempt| !attempt.is_live());
        self.crashes.clear();
        self.attempts.retain(|attempt| attempt.is_live());
        was_suspect
    }

    pub(super) fn exonerate(&mut self) {
        self.refusals = 0;
        self.refused_until_ms = 0;
        self.clear();
    }

    pub(super) fn take_attempts_on(
        &mut self,
        server: &HostName,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = StartedAttempt> + use<> {
        let has_crashed = |attempt: &Attempt| {
            attempt.started.server == *server && attempt.started.incarnation <= incarnation
        };
        let (crashed, remaining): (SmallVec<[_; 1]>, SmallVec<[_; 1]>) =
            std::mem::take(&mut self.attempts).into_iter().partition(has_crashed);
        self.attempts = remaining;
        crashed.into_iter().map(|attempt| attempt.started)
    }

    /// Counts a crash unless it was already counted; returns whether it is new.
    ///
    /// The request is refused at the second crash, or at the first one on probation.
    pub(super) fn add_crash(&mut self, report: &SuspectReport, now_ms: u64) -> bool {
        let crash = Crash { server: report.server.clone(), incarnation: report.incarnation };
        if self.crashes.contains(&crash) {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        self.last_crash_ms = now_ms;
        if report.on_probation || self.crashes.len() == MAX_CRASHES {
            let refused_ms = QUARANTINE_MS << self.refusals.min(MAX_DOUBLINGS);
            self.refusals += 1;
            self.refused_until_ms = now_ms.saturating_add(refused_ms);
        }
        true
    }

    /// Returns the remaining time of the refusal; `None` if the request is not refused.
    pub(super) fn refused_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.refused_until_ms.checked_sub(now_ms).filter(|remaining_ms| *remaining_ms > 0)
    }

    pub(super) fn is_suspect(&self, now_ms: u64) -> bool {
        let expires_at_ms = self.last_crash_ms.max(self.refused_until_ms) + SUSPECT_EXPIRY_MS;
        let has_crashed = !self.crashes.is_empty() && now_ms < expires_at_ms;
        has_crashed || self.attempts.iter().any(|attempt| attempt.is_recently_aborted(now_ms))
    }

    /// Returns whether a copy of a suspect runs on a server, or a crash that would refuse the
    /// request is likely but not confirmed.
    pub(super) fn is_undecided(&self, has_failed: impl Fn(&HostName) -> bool, now_ms: u64) -> bool {
        let is_running =
            |attempt: &Attempt| attempt.is_live() && !has_failed(&attempt.started.server);
        if self.is_suspect(now_ms) && self.attempts.iter().any(is_running) {
            return true;
        }
        let has_likely_crashed = |attempt: &&Attempt| {
            attempt.is_recently_aborted(now_ms) || has_failed(&attempt.started.server)
        };
        let mut likely_crashed: SmallVec<[&HostName; MAX_CRASHES]> = SmallVec::new();
        for attempt in self.attempts.iter().filter(has_likely_crashed) {
            if attempt.started.on_probation {
                return true;
            }
            if !likely_crashed.contains(&&attempt.started.server) {
                likely_crashed.push(&attempt.started.server);
            }
        }
        !likely_crashed.is_empty() && likely_crashed.len() + self.crashes.len() >= MAX_CRASHES
    }

    pub(super) fn orphan_attempts_of(&mut self, entry: &HostName, now_ms: u64) {
        let is_orphan =
            |attempt: &&mut Attempt| attempt.is_live() && attempt.started.entry == *entry;
        let orphans = self.attempts.iter_mut().filter(is_orphan);
        orphans.for_each(|attempt| attempt.state = AttemptState::Orphaned { at_ms: now_ms });
    }

    pub(super) fn live_attempts_of(
        &self,
        entry: &HostName,
    ) -> impl Iterator<Item = &StartedAttempt> {
        let live = self.attempts.iter().filter(|attempt| attempt.is_live());
        live.map(|attempt| &attempt.started).filter(move |started| started.entry == *entry)
    }

    pub(super) fn drop_aborted_on(&mut self, server: &HostName, incarnation: Incarnation) {
        self.attempts.retain(|attempt| {
            let is_on_server =
                attempt.started.server == *server && attempt.started.incarnation == incarnation;
            !is_on_server || attempt.is_live()
        });
    }

    pub(super) fn has_attempt_on(&self, has_failed: impl Fn(&HostName) -> bool) -> bool {
        self.attempts.iter().any(|attempt| has_failed(&attempt.started.server))
    }

    pub(super) fn pinned_server(&self) -> Option<&HostName> {
        let mut attempts = self.attempts.iter().filter(|attempt| attempt.is_live());
        let first = attempts.next()?;
        (attempts.count() + 1 < MAX_PINNED_ATTEMPTS).then_some(&first.started.server)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.crashes.is_empty() && self.refusals == 0
    }

    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        let attempts_expired = self.attempts.iter().all(|attempt| attempt.is_expired(now_ms));
        attempts_expired && !self.is_suspect(now_ms) && self.refused_for_ms(now_ms).is_none()
    }
}
