//! Limits on organisations whose requests repeatedly crash servers of a service.

mod attribution;
mod restrictions;

use crate::crash_limit::attribution::AttributionTable;
use protocol::ids::{HostName, Incarnation, OrganisationId, ServiceName};
use protocol::message::suspect::{
    ConfirmedCrash, CrashRestriction, SuspectCleared, SuspectDigest, SuspectReport,
};
use smallvec::SmallVec;
use std::collections::HashMap;

pub use crate::crash_limit::restrictions::{Restriction, Restrictions};

/// The time after which a confirmed crash expires, in milliseconds.
const CONFIRMED_EXPIRY_MS: u64 = 600_000;
/// The time for which an organisation's requests run isolated after a confirmed crash, in
/// milliseconds.
pub const ISOLATED_MS: u64 = 60_000;
/// The time for which an organisation's requests are refused after a further confirmed crash, in
/// milliseconds.
pub const REFUSED_MS: u64 = 15_000;
/// The sum of attributed shares, in crashes, at which an organisation's requests are refused
/// without a confirmed crash.
const ATTRIBUTION_LIMIT: f64 = 2.9;

/// The changes that the home publishes after it updated the crash counts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LimitUpdate {
    /// New restrictions, sent to all entry hosts.
    pub restrictions: SmallVec<[CrashRestriction; 1]>,
    /// Requests of other organisations that ran on the crashed servers; their homes exonerate
    /// them.
    pub exonerated: Vec<SuspectDigest>,
}

#[derive(Debug)]
struct Confirmed {
    digest: SuspectDigest,
    at_ms: u64,
}

/// Counts server crashes by organisation, at the home of one service.
///
/// A confirmed crash counts fully. A crash of a server that ran requests of several organisations
/// is attributed in equal shares to those whose suspects have not completed since. This also finds
/// an organisation that alters its prompt before each resend, and clears other organisations once
/// their retries complete.
#[derive(Debug)]
pub struct CrashLimits {
    service: ServiceName,
    confirmed: HashMap<OrganisationId, Vec<Confirmed>>,
    attribution: AttributionTable,
    refused_until_ms: HashMap<OrganisationId, u64>,
}

impl CrashLimits {
    /// Creates an empty table.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            confirmed: HashMap::new(),
            attribution: AttributionTable::default(),
            refused_until_ms: HashMap::new(),
        }
    }

    /// Drops the attributed crash of a server incarnation that is still alive; its connections were
    /// lost for another reason.
    pub fn server_alive(&mut self, server: &HostName, incarnation: Incarnation) {
        self.attribution.remove_crash(server, incarnation);
    }

    /// Counts a suspect that ran on a crashed server, or whose connection was lost, because its
    /// server may have crashed.
    pub fn report(&mut self, report: &SuspectReport, now_ms: u64) -> LimitUpdate {
        self.attribution.add(report, now_ms);
        self.restrict_at_limit(now_ms)
    }

    /// Clears a suspect that completed, which raises the share attributed to the remaining
    /// organisations.
    pub fn cleared(&mut self, cleared: &SuspectCleared, now_ms: u64) -> LimitUpdate {
        self.attribution.remove(&cleared.digest);
        self.restrict_at_limit(now_ms)
    }

    /// Counts a confirmed crash.
    ///
    /// After the first confirmed crash the organisation's requests to the service run isolated for
    /// [`ISOLATED_MS`], so that a slightly altered prompt costs one server instead of two. After
    /// each further one they are also refused for [`REFUSED_MS`].
    pub fn confirm(&mut self, crash: &ConfirmedCrash, now_ms: u64) -> CrashRestriction {
        let confirmed = self.confirmed.entry(crash.organisation.clone()).or_default();
        confirmed.retain(|earlier| is_recent(earlier, now_ms) && earlier.digest != crash.digest);
        let refused_for_ms = if confirmed.is_empty() { 0 } else { REFUSED_MS };
        confirmed.push(Confirmed { digest: crash.digest, at_ms: now_ms });
        self.restrict(crash.organisation.clone(), refused_for_ms, now_ms)
    }

    /// Removes expired crashes and restrictions.
    pub fn sweep(&mut self, now_ms: u64) {
        self.attribution.expire(now_ms);
        self.refused_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.confirmed.retain(|_, confirmed| {
            confirmed.retain(|earlier| is_recent(earlier, now_ms));
            !confirmed.is_empty()
        });
    }

    fn restrict_at_limit(&mut self, now_ms: u64) -> LimitUpdate {
        self.attribution.expire(now_ms);
        let at_limit = self.attribution.organisations_at_limit(ATTRIBUTION_LIMIT);
        let unrestricted = at_limit
            .into_iter()
            .filter(|name| self.refused_until_ms.get(name).is_none_or(|until| *until <= now_ms));
        let unrestricted: SmallVec<[OrganisationId; 1]> = unrestricted.collect();
        let mut update = LimitUpdate::default();
        for organisation in unrestricted {
            update.exonerated.extend(self.attribution.remove_other_suspects(&organisation));
            update.restrictions.push(self.restrict(organisation, REFUSED_MS, now_ms));
        }
        update
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

fn is_recent(confirmed: &Confirmed, now_ms: u64) -> bool {
    now_ms.saturating_sub(confirmed.at_ms) < CONFIRMED_EXPIRY_MS
}
