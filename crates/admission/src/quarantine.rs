//! Tracking of requests that may have crashed a server, at the homes of their contents.

mod content;

use crate::quarantine::content::Content;
use crate::refusal::Refusal;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, HostName, Incarnation, OrganisationId, ServiceName};
use protocol::message::suspect::{ConfirmedCrash, SuspectDigest, SuspectReport};
use sharded::Sharded;
use std::collections::HashMap;

pub use crate::quarantine::content::{QUARANTINE_MS, SUSPECT_EXPIRY_MS};

/// The number of tokens past the point of the crash after which an attempt of a suspect no longer
/// needs isolation.
pub const ISOLATED_TOKENS: u64 = 16;
/// The maximum wait returned for a refused request, in milliseconds. It is limited as the request
/// may be exonerated before its refusal expires.
const MAX_REFUSED_WAIT_MS: u64 = 30_000;
/// The wait after which the status of an undecided request is queried again, in milliseconds.
const UNDECIDED_WAIT_MS: u64 = 200;

/// Describes an attempt that is sent to a server.
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
    /// Whether one crash suffices for a quarantine, as the organisation crashed servers before.
    pub on_probation: bool,
}

/// How a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Without restriction.
    Clear,
    /// Only on the server that runs the same content now, so that one crash ends all copies.
    Pinned {
        /// The server.
        server: HostName,
    },
    /// Isolated from other suspects, one attempt at a time.
    Suspect,
    /// Not yet: a copy of the suspect runs on a server, or a crash that would refuse the request is
    /// likely but not confirmed.
    Undecided {
        /// The time after which to query again, in milliseconds.
        wait_ms: u64,
    },
    /// Refused while the quarantine lasts.
    Refused(Refusal),
}

/// The result of a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The crash was already counted.
    Duplicate,
    /// The request is a suspect now.
    Suspect,
    /// The request is refused; the caller reports the crash to the service's home.
    Confirmed(ConfirmedCrash),
}

/// Tracks the contents that run and those that ran on crashed servers.
///
/// An attempt is tracked by its entry host and by the first other host of the home's rendezvous
/// ranking, so that one of them reports if the other one crashes. A report goes to the first two
/// hosts of that ranking in each region, so that a resend through any entry host reaches a host
/// that holds the count.
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
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { shards: Sharded::new(HashMap::new) }
    }

    /// Returns how a request may run.
    ///
    /// `has_failed` returns whether a server has crashed or has failed this request; an attempt
    /// that is still listed on such a server may have crashed it.
    pub fn status(
        &self,
        digest: &SuspectDigest,
        has_failed: impl Fn(&HostName) -> bool,
        random: f64,
        now_ms: u64,
    ) -> QuarantineStatus {
        let mut shard = self.shards.lock(digest);
        let Some(content) = shard.get_mut(digest) else {
            return QuarantineStatus::Clear;
        };
        if let Some(remaining_ms) = content.refused_for_ms(now_ms) {
            let refusal = Refusal::new(ErrorKind::Quarantined);
            let wait_ms = remaining_ms.min(MAX_REFUSED_WAIT_MS) as f64;
            return QuarantineStatus::Refused(refusal.with_wait(wait_ms, random));
        }
        if content.is_undecided(&has_failed, now_ms) {
            return QuarantineStatus::Undecided { wait_ms: UNDECIDED_WAIT_MS };
        }
        if content.is_suspect(now_ms) || content.has_attempt_on(has_failed) {
            return QuarantineStatus::Suspect;
        }
        match content.pinned_server() {
            Some(server) => QuarantineStatus::Pinned { server: server.clone() },
            None => QuarantineStatus::Clear,
        }
    }

    /// Records an attempt that is sent.
    pub fn started(&self, attempt: StartedAttempt) {
        self.shards.lock(&attempt.digest).entry(attempt.digest).or_default().start(attempt);
    }

    /// Returns the live attempts that an entry host sent.
    ///
    /// When the set of live entry hosts changes, each of them sends its attempts to the hosts that
    /// now track them.
    pub fn attempts_of(&self, entry: &HostName) -> Vec<StartedAttempt> {
        let mut attempts = Vec::new();
        self.shards.for_each(|shard| {
            attempts.extend(
                shard.values().flat_map(|content| content.live_attempts_of(entry)).cloned(),
            );
        });
        attempts
    }

    /// Records an attempt whose connection was lost. It counts against the request if its server
    /// turns out to have crashed.
    ///
    /// The request is a suspect until the state of the server is confirmed or the attempt expires.
    /// The caller notifies all its homes, as the one that placed it may have crashed too. Returns
    /// the report for the service's home, which attributes a crash to the organisation unless the
    /// server is confirmed to be alive.
    pub fn aborted(&self, attempt: StartedAttempt, now_ms: u64) -> SuspectReport {
        let mut shard = self.shards.lock(&attempt.digest);
        shard.entry(attempt.digest).or_default().abort(attempt.clone(), now_ms);
        report(attempt)
    }

    /// Records the end of an attempt other than by a lost connection; a complete answer clears the
    /// request.
    ///
    /// Returns whether this cleared a suspect. The caller then notifies the request's other homes
    /// and the service's home.
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

    /// Clears a request of all crashes, as they were attributed to another organisation.
    pub fn exonerated(&self, digest: &SuspectDigest) {
        if let Some(content) = self.shards.lock(digest).get_mut(digest) {
            content.exonerate();
        }
    }

    /// Clears a suspect whose completion another host reported.
    pub fn cleared(&self, digest: &SuspectDigest) {
        if let Some(content) = self.shards.lock(digest).get_mut(digest) {
            content.clear();
        }
    }

    /// Records the crash of an entry host. Its attempts count only if their servers crash too.
    pub fn entry_host_crashed(&self, entry: &HostName, now_ms: u64) {
        self.shards.for_each(|shard| {
            shard.values_mut().for_each(|content| content.orphan_attempts_of(entry, now_ms));
        });
    }

    /// Records that a server is alive; its connections were lost for another reason.
    pub fn server_alive(&self, server: &HostName, incarnation: Incarnation) {
        self.shards.for_each(|shard| {
            shard.values_mut().for_each(|content| content.drop_aborted_on(server, incarnation));
        });
    }

    /// Returns a report for each request that ran on a crashed incarnation of a server.
    ///
    /// The caller sends the reports to the homes and applies those for which it is a home itself.
    pub fn server_crashed(
        &self,
        server: &HostName,
        incarnation: Incarnation,
    ) -> Vec<SuspectReport> {
        let mut reports = Vec::new();
        self.shards.for_each(|shard| {
            for content in shard.values_mut() {
                reports.extend(content.take_attempts_on(server, incarnation).map(report));
            }
        });
        reports
    }

    /// Counts a server crash against a request; the same crash counts once.
    pub fn report(&self, report: &SuspectReport, now_ms: u64) -> ReportOutcome {
        let mut shard = self.shards.lock(&report.digest);
        let content = shard.entry(report.digest).or_default();
        if !content.add_crash(report, now_ms) {
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

    /// Removes contents that neither run nor are suspects.
    pub fn sweep(&self, now_ms: u64) {
        self.shards.for_each(|shard| {
            shard.retain(|_, content| !content.is_expired(now_ms));
        });
    }
}

fn report(attempt: StartedAttempt) -> SuspectReport {
    SuspectReport {
        digest: attempt.digest,
        organisation: attempt.organisation,
        service: attempt.service,
        server: attempt.server,
        incarnation: attempt.incarnation,
        on_probation: attempt.on_probation,
    }
}
