//! Requests that may have crashed a server, counted at the homes of their prompts.

mod content;

use crate::quarantine::content::Content;
use crate::refusal::Refusal;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, HostName, Incarnation, OrganisationId, ServiceName};
use protocol::message::suspect::{ConfirmedCrash, SuspectDigest, SuspectReport};
use sharded::Sharded;
use std::collections::HashMap;

pub use crate::quarantine::content::{QUARANTINE_MS, SUSPECT_LIFE_MS};

/// The number of tokens past the crash after which a suspect's run no longer needs isolation.
pub const ISOLATED_TOKENS: u64 = 16;
/// The longest wait that a refused request is told, in milliseconds; it may be exonerated earlier
/// than its time is over.
const REFUSED_WAIT_MS: u64 = 30_000;
/// The wait after which a request asks again whether a server died of it, in milliseconds.
const UNDECIDED_WAIT_MS: u64 = 200;

/// Describes an attempt that is being sent to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedAttempt {
    /// The request.
    pub digest: SuspectDigest,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The entry host that sent it.
    pub entry: HostName,
    /// The server.
    pub server: HostName,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// Whether one crash suffices, as the organisation crashed servers before.
    pub on_probation: bool,
}

/// Says how a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Like any other.
    Clear,
    /// On the server where the same content runs now, so that one crash ends all copies.
    Pinned {
        /// The server.
        server: HostName,
    },
    /// Isolated from other suspects, one run at a time.
    Suspect,
    /// Not now: a copy of the suspect runs elsewhere, or it is not known yet whether a second
    /// server died of it.
    Undecided {
        /// When to ask again, in milliseconds.
        wait_ms: u64,
    },
    /// Not for a while.
    Refused(Refusal),
}

/// Says what a report changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The death was counted before.
    Duplicate,
    /// The request is a suspect now.
    Suspect,
    /// The request is refused from now on; the organisation's home is to be told.
    Confirmed(ConfirmedCrash),
}

/// Follows the contents that run and those that were there when servers died.
///
/// A run is followed by its entry host and by the first host of the home's rendezvous ranking that
/// is another one, so that the death of either leaves one that reports. A report goes to the first
/// two hosts of that ranking in each region, so that a resend through any entry host meets the
/// count.
#[derive(Debug)]
pub struct Quarantine {
    shards: Sharded<HashMap<SuspectDigest, Content>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new()
    }
}

impl Quarantine {
    /// Creates a table without contents.
    pub fn new() -> Self {
        Self { shards: Sharded::new(HashMap::new) }
    }

    /// Tells how a request may run. `is_gone` tells of a server that is dead, or that failed this
    /// request; a run that is still listed there may have crashed it.
    pub fn status(
        &self,
        digest: &SuspectDigest,
        is_gone: impl Fn(&HostName) -> bool,
        random: f64,
        now_ms: u64,
    ) -> QuarantineStatus {
        let mut shard = self.shards.lock(digest);
        let Some(content) = shard.get_mut(digest) else {
            return QuarantineStatus::Clear;
        };
        if let Some(left_ms) = content.refused_for_ms(now_ms) {
            let refusal = Refusal::new(ErrorKind::Quarantined);
            let wait_ms = left_ms.min(REFUSED_WAIT_MS) as f64;
            return QuarantineStatus::Refused(refusal.with_wait(wait_ms, random));
        }
        if content.is_undecided(&is_gone, now_ms) {
            return QuarantineStatus::Undecided { wait_ms: UNDECIDED_WAIT_MS };
        }
        if content.is_suspect(now_ms) || content.runs_on(is_gone) {
            return QuarantineStatus::Suspect;
        }
        match content.pinned_server() {
            Some(server) => QuarantineStatus::Pinned { server: server.clone() },
            None => QuarantineStatus::Clear,
        }
    }

    /// Notes an attempt that is being sent.
    pub fn started(&self, run: StartedAttempt) {
        self.shards.lock(&run.digest).entry(run.digest).or_default().start(run);
    }

    /// Returns the runs that an entry host sent. When the set of live entry hosts changes, each of
    /// them tells its runs to the hosts that follow them from now on.
    pub fn attempts_of(&self, entry: &HostName) -> Vec<StartedAttempt> {
        let mut runs = Vec::new();
        self.shards.for_each(|shard| {
            runs.extend(shard.values().flat_map(|content| content.live_runs_of(entry)).cloned());
        });
        runs
    }

    /// Notes that the connection to a run broke, so that the run counts if its server turns out to
    /// be dead. Until that is known the request is a suspect. All its homes are told, as the one
    /// that placed it may be dead too. Returns the report for the service's home, which blames the
    /// organisation unless the server turns out to live on.
    pub fn aborted(&self, run: StartedAttempt, now_ms: u64) -> SuspectReport {
        let mut shard = self.shards.lock(&run.digest);
        shard.entry(run.digest).or_default().break_off(run.clone(), now_ms);
        report(run)
    }

    /// Notes the end of an attempt other than by a broken connection; a whole answer clears the
    /// request. Tells whether it was a suspect and is cleared now, of which its other homes and its
    /// service's home are to be told.
    pub fn finished(
        &self,
        digest: &SuspectDigest,
        attempt_id: &AttemptId,
        completed: bool,
    ) -> bool {
        let mut shard = self.shards.lock(digest);
        let Some(content) = shard.get_mut(digest) else {
            return false;
        };
        let cleared = content.finish(attempt_id, completed);
        if content.is_idle() {
            shard.remove(digest);
        }
        cleared
    }

    /// Clears a request of all deaths, as they were traced to another organisation.
    pub fn exonerated(&self, digest: &SuspectDigest) {
        if let Some(content) = self.shards.lock(digest).get_mut(digest) {
            content.exonerate();
        }
    }

    /// Clears a suspect that another host saw running to its end.
    pub fn cleared(&self, digest: &SuspectDigest) {
        if let Some(content) = self.shards.lock(digest).get_mut(digest) {
            content.clear();
        }
    }

    /// Notes the death of an entry host. Its runs count only if their servers die too.
    pub fn entry_host_crashed(&self, entry: &HostName, now_ms: u64) {
        self.shards.for_each(|shard| {
            shard.values_mut().for_each(|content| content.orphan_runs_of(entry, now_ms));
        });
    }

    /// Notes that a server lives on, so that connections to it broke for other reasons.
    pub fn server_alive(&self, server: &HostName, incarnation: Incarnation) {
        self.shards.for_each(|shard| {
            shard.values_mut().for_each(|content| content.drop_broken_on(server, incarnation));
        });
    }

    /// Returns a report for each request that ran on a dead incarnation of a server. The caller
    /// sends them to the homes and applies those that it is a home of itself.
    pub fn server_crashed(
        &self,
        server: &HostName,
        incarnation: Incarnation,
    ) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        self.shards.for_each(|shard| {
            for content in shard.values_mut() {
                reports.extend(content.take_runs_on(server, incarnation).map(report));
            }
        });
        reports
    }

    /// Counts a server's death against a request; the same death counts once.
    pub fn report(&self, report: &SuspectReport, now_ms: u64) -> ReportOutcome {
        let mut shard = self.shards.lock(&report.digest);
        let content = shard.entry(report.digest).or_default();
        if !content.add_death(report, now_ms) {
            return ReportOutcome::Duplicate;
        }
        if content.refused_for_ms(now_ms).is_none() {
            return ReportOutcome::Suspect;
        }
        ReportOutcome::Confirmed(ConfirmedCrash {
            digest: report.digest,
            organisation: report.organisation.clone(),
            service: report.service.clone(),
        })
    }

    /// Forgets contents that neither run nor are suspects any longer.
    pub fn sweep(&self, now_ms: u64) {
        self.shards.for_each(|shard| {
            shard.retain(|_, content| !content.is_forgettable(now_ms));
        });
    }
}

fn report(run: StartedAttempt) -> SuspectReport {
    SuspectReport {
        digest: run.digest,
        organisation: run.organisation,
        service: run.service,
        server: run.server,
        incarnation: run.incarnation,
        on_probation: run.on_probation,
    }
}
