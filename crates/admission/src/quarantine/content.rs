//! One request's content: where it runs, and which servers died while it ran there.

use super::StartedAttempt;
use protocol::ids::{AttemptId, HostName, Incarnation};
use protocol::message::suspect::SuspectReport;
use smallvec::SmallVec;

/// How long a request is refused after its second crash, in milliseconds; doubled with each
/// further crash.
pub const QUARANTINE_MS: u64 = 600_000;
/// How long a request stays a suspect after a crash, in milliseconds.
pub const SUSPECT_LIFE_MS: u64 = 1_800_000;

/// The number of deaths from which on a request is refused.
const MAX_DEATHS: usize = 2;
/// The number of copies of one content that are kept on one server.
const MAX_PINNED_RUNS: usize = 16;
/// The number of times that the refusal is doubled.
const MAX_DOUBLINGS: u32 = 6;
/// How long a broken run may still turn out to have crashed its server, in milliseconds.
const BROKEN_LIFE_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunState {
    /// The run goes on.
    Live,
    /// The connection to its server broke.
    Broken { at_ms: u64 },
    /// Its entry host died.
    Orphaned { at_ms: u64 },
}

#[derive(Debug)]
struct Run {
    started: StartedAttempt,
    state: RunState,
}

impl Run {
    fn is_live(&self) -> bool {
        self.state == RunState::Live
    }

    fn is_recently_broken(&self, now_ms: u64) -> bool {
        match self.state {
            RunState::Broken { at_ms } => now_ms.saturating_sub(at_ms) < BROKEN_LIFE_MS,
            RunState::Live | RunState::Orphaned { .. } => false,
        }
    }

    fn is_forgettable(&self, now_ms: u64) -> bool {
        match self.state {
            RunState::Live => false,
            RunState::Broken { at_ms } | RunState::Orphaned { at_ms } => {
                now_ms.saturating_sub(at_ms) >= BROKEN_LIFE_MS
            }
        }
    }
}

#[derive(Debug, Eq, PartialEq)]
struct Death {
    server: HostName,
    incarnation: Incarnation,
}

#[derive(Debug, Default)]
pub(super) struct Content {
    runs: SmallVec<[Run; 1]>,
    deaths: SmallVec<[Death; MAX_DEATHS]>,
    last_death_ms: u64,
    refusals: u32,
    refused_until_ms: u64,
}

impl Content {
    pub(super) fn start(&mut self, started: StartedAttempt) {
        self.runs.retain(|other| other.started.attempt_id != started.attempt_id);
        self.runs.push(Run { started, state: RunState::Live });
    }

    pub(super) fn break_off(&mut self, started: StartedAttempt, now_ms: u64) {
        self.start(started);
        if let Some(run) = self.runs.last_mut() {
            run.state = RunState::Broken { at_ms: now_ms };
        }
    }

    /// Ends a run; tells whether that clears a suspect.
    pub(super) fn finish(&mut self, attempt_id: &AttemptId, completed: bool) -> bool {
        let runs_before = self.runs.len();
        self.runs.retain(|run| run.started.attempt_id != *attempt_id);
        let clears = completed && self.runs.len() < runs_before;
        clears && self.clear()
    }

    /// Clears a suspect, but not one that was refused; tells whether it was one.
    pub(super) fn clear(&mut self) -> bool {
        if self.refusals > 0 {
            return false;
        }
        let was_suspect = !self.deaths.is_empty() || self.runs.iter().any(|run| !run.is_live());
        self.deaths.clear();
        self.runs.retain(|run| run.is_live());
        was_suspect
    }

    pub(super) fn exonerate(&mut self) {
        self.refusals = 0;
        self.refused_until_ms = 0;
        self.clear();
    }

    pub(super) fn take_runs_on(
        &mut self,
        server: &HostName,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = StartedAttempt> + use<> {
        let died =
            |run: &Run| run.started.server == *server && run.started.incarnation <= incarnation;
        let (dead, alive): (SmallVec<[_; 1]>, SmallVec<[_; 1]>) =
            std::mem::take(&mut self.runs).into_iter().partition(died);
        self.runs = alive;
        dead.into_iter().map(|run| run.started)
    }

    /// Counts a death unless it was counted before; tells whether it was new.
    ///
    /// The second death refuses the request, and on probation the first one does.
    pub(super) fn add_death(&mut self, report: &SuspectReport, now_ms: u64) -> bool {
        let death = Death { server: report.server.clone(), incarnation: report.incarnation };
        if self.deaths.contains(&death) {
            return false;
        }
        if self.deaths.len() == MAX_DEATHS {
            self.deaths.remove(0);
        }
        self.deaths.push(death);
        self.last_death_ms = now_ms;
        if report.on_probation || self.deaths.len() == MAX_DEATHS {
            let refused_ms = QUARANTINE_MS << self.refusals.min(MAX_DOUBLINGS);
            self.refusals += 1;
            self.refused_until_ms = now_ms.saturating_add(refused_ms);
        }
        true
    }

    /// Returns how long the request is still refused; `None` if it is not.
    pub(super) fn refused_for_ms(&self, now_ms: u64) -> Option<u64> {
        self.refused_until_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)
    }

    pub(super) fn is_suspect(&self, now_ms: u64) -> bool {
        let expires_at_ms = self.last_death_ms.max(self.refused_until_ms) + SUSPECT_LIFE_MS;
        let has_died = !self.deaths.is_empty() && now_ms < expires_at_ms;
        has_died || self.runs.iter().any(|run| run.is_recently_broken(now_ms))
    }

    /// Tells whether a suspect runs elsewhere, or a crash that would be conclusive is likely, but
    /// not known yet.
    pub(super) fn is_undecided(&self, is_gone: impl Fn(&HostName) -> bool, now_ms: u64) -> bool {
        let lives = |run: &Run| run.is_live() && !is_gone(&run.started.server);
        if self.is_suspect(now_ms) && self.runs.iter().any(lives) {
            return true;
        }
        let is_likely_dead =
            |run: &&Run| run.is_recently_broken(now_ms) || is_gone(&run.started.server);
        let mut likely: SmallVec<[&HostName; MAX_DEATHS]> = SmallVec::new();
        for run in self.runs.iter().filter(is_likely_dead) {
            if run.started.on_probation {
                return true;
            }
            if !likely.contains(&&run.started.server) {
                likely.push(&run.started.server);
            }
        }
        !likely.is_empty() && likely.len() + self.deaths.len() >= MAX_DEATHS
    }

    pub(super) fn orphan_runs_of(&mut self, entry: &HostName, now_ms: u64) {
        let is_orphan = |run: &&mut Run| run.is_live() && run.started.entry == *entry;
        let orphans = self.runs.iter_mut().filter(is_orphan);
        orphans.for_each(|run| run.state = RunState::Orphaned { at_ms: now_ms });
    }

    pub(super) fn live_runs_of(&self, entry: &HostName) -> impl Iterator<Item = &StartedAttempt> {
        let live = self.runs.iter().filter(|run| run.is_live());
        live.map(|run| &run.started).filter(move |started| started.entry == *entry)
    }

    pub(super) fn drop_broken_on(&mut self, server: &HostName, incarnation: Incarnation) {
        self.runs.retain(|run| {
            let lives = run.started.server == *server && run.started.incarnation == incarnation;
            !lives || run.is_live()
        });
    }

    pub(super) fn runs_on(&self, is_gone: impl Fn(&HostName) -> bool) -> bool {
        self.runs.iter().any(|run| is_gone(&run.started.server))
    }

    pub(super) fn pinned_server(&self) -> Option<&HostName> {
        let mut runs = self.runs.iter().filter(|run| run.is_live());
        let first = runs.next()?;
        (runs.count() + 1 < MAX_PINNED_RUNS).then_some(&first.started.server)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.deaths.is_empty() && self.refusals == 0
    }

    pub(super) fn is_forgettable(&self, now_ms: u64) -> bool {
        let runs = self.runs.iter().all(|run| run.is_forgettable(now_ms));
        runs && !self.is_suspect(now_ms) && self.refused_for_ms(now_ms).is_none()
    }
}
