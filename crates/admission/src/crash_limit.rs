//! Limits on organisations whose requests keep crashing servers of a service.

mod blame;
mod restrictions;

use crate::crash_limit::blame::BlameTable;
use protocol::ids::{HostName, Incarnation, OrganisationId, ServiceName};
use protocol::message::suspect::{
    ConfirmedCrash, CrashRestriction, SuspectCleared, SuspectDigest, SuspectReport,
};
use smallvec::SmallVec;
use std::collections::HashMap;

pub use crate::crash_limit::restrictions::{Restriction, Restrictions};

/// How long confirmed crashes are remembered, in milliseconds.
const MEMORY_MS: u64 = 600_000;
/// How long an organisation's requests run isolated after a confirmed crash, in milliseconds.
pub const ISOLATED_MS: u64 = 60_000;
/// How long an organisation's requests are refused after a further confirmed crash, in
/// milliseconds.
pub const REFUSED_MS: u64 = 15_000;
/// The blame from which on an organisation is refused without a confirmed crash, in deaths.
const BLAME_LIMIT: f64 = 2.9;

/// Says what others are to be told.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Restrictions, for all entry hosts.
    pub restrictions: SmallVec<[CrashRestriction; 1]>,
    /// Requests of other organisations near the deaths, which are exonerated at their homes.
    pub exonerated: Vec<SuspectDigest>,
}

#[derive(Debug)]
struct Confirmed {
    digest: SuspectDigest,
    at_ms: u64,
}

/// Counts crashes by organisation, at the home of one service.
///
/// A confirmed crash counts fully. A death near which requests of several organisations ran is
/// shared among those whose suspects have not run to their end since, so an organisation that
/// alters its prompt before each resend is found too, and the innocent are cleared by their reruns.
#[derive(Debug)]
pub struct CrashLimits {
    service: ServiceName,
    confirmed: HashMap<OrganisationId, Vec<Confirmed>>,
    blame: BlameTable,
    refused_until_ms: HashMap<OrganisationId, u64>,
}

impl CrashLimits {
    /// Creates a table without crashes.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            confirmed: HashMap::new(),
            blame: BlameTable::default(),
            refused_until_ms: HashMap::new(),
        }
    }

    /// Drops the blame for connections that broke to a server that lives on.
    pub fn server_alive(&mut self, server: &HostName, incarnation: Incarnation) {
        self.blame.remove_death(server, incarnation);
    }

    /// Counts a suspect near a death, or near a broken connection that may mean one.
    pub fn report(&mut self, report: &SuspectReport, now_ms: u64) -> Verdict {
        self.blame.add(report, now_ms);
        self.restrict_blamed(now_ms)
    }

    /// Clears a suspect that ran to its end, which leaves more blame to the others.
    pub fn cleared(&mut self, cleared: &SuspectCleared, now_ms: u64) -> Verdict {
        self.blame.remove(&cleared.digest);
        self.restrict_blamed(now_ms)
    }

    /// Counts a confirmed crash.
    ///
    /// After the first one the organisation's requests to the service run isolated for a while,
    /// so that a prompt that was altered a little costs one server instead of two. After each
    /// further one they are also refused for a short time.
    pub fn confirm(&mut self, crash: &ConfirmedCrash, now_ms: u64) -> CrashRestriction {
        let confirmed = self.confirmed.entry(crash.organisation.clone()).or_default();
        confirmed.retain(|before| is_remembered(before, now_ms) && before.digest != crash.digest);
        let refused_for_ms = if confirmed.is_empty() { 0 } else { REFUSED_MS };
        confirmed.push(Confirmed { digest: crash.digest, at_ms: now_ms });
        self.restrict(crash.organisation.clone(), refused_for_ms, now_ms)
    }

    /// Forgets old crashes.
    pub fn sweep(&mut self, now_ms: u64) {
        self.blame.expire(now_ms);
        self.refused_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.confirmed.retain(|_, confirmed| {
            confirmed.retain(|before| is_remembered(before, now_ms));
            !confirmed.is_empty()
        });
    }

    fn restrict_blamed(&mut self, now_ms: u64) -> Verdict {
        self.blame.expire(now_ms);
        let blamed = self.blame.organisations_from(BLAME_LIMIT);
        let unrestricted = blamed
            .into_iter()
            .filter(|name| self.refused_until_ms.get(name).is_none_or(|until| *until <= now_ms));
        let unrestricted: SmallVec<[OrganisationId; 1]> = unrestricted.collect();
        let mut verdict = Verdict::default();
        for organisation in unrestricted {
            verdict.exonerated.extend(self.blame.take_others(&organisation));
            verdict.restrictions.push(self.restrict(organisation, REFUSED_MS, now_ms));
        }
        verdict
    }

    fn restrict(
        &mut self,
        organisation: OrganisationId,
        refused_for_ms: u64,
        now_ms: u64,
    ) -> CrashRestriction {
        self.refused_until_ms.insert(organisation.clone(), now_ms + refused_for_ms);
        CrashRestriction {
            organisation,
            service: self.service.clone(),
            refused_for_ms,
            isolated_for_ms: refused_for_ms + ISOLATED_MS,
        }
    }
}

fn is_remembered(confirmed: &Confirmed, now_ms: u64) -> bool {
    now_ms.saturating_sub(confirmed.at_ms) < MEMORY_MS
}
