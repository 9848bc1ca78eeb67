//! The last sums of hosts that have fallen silent.
//!
//! Load pattern: a service gets more than it can serve, and one gateway of few that serves much of it is
//! cut off from the others. Without its sums the others give its organisations as much as if these got
//! nothing there, and without theirs it does the same.
//!
//! A silent host may also have ended, with its callers at the others now. An organisation then asks for
//! more at the hosts that are heard. So the last sums count as far as it asks there for less than it did
//! at all hosts before.

use crate::fair_share::WorkByUrgency;
use crate::peer_sums::report::{SumTable, SumsReport, offered};
use protocol::tags::{OrganisationTag, ServiceTag};
use std::collections::HashMap;

/// How long the last sums of a host count, in milliseconds.
pub const SILENT_TTL_MS: u64 = 60_000;
/// The age at which last sums count, in milliseconds: that of a message halfway to the next one.
pub(super) const SILENT_AGE_MS: u64 = super::REPORT_INTERVAL_MS / 2;

/// What organisations asked for at all hosts when the last one of them fell silent.
#[derive(Debug, Default)]
pub(super) struct SilentSums {
    offered: HashMap<(ServiceTag, OrganisationTag), f64>,
}

impl SilentSums {
    /// Records that a host has fallen silent; `all` is the work at all hosts until now.
    pub fn record(&mut self, all: &SumTable) {
        self.offered.clear();
        all.for_each(|service, organisation, work| {
            self.offered.insert((service, organisation), offered(work));
        });
    }

    /// Adds the part of last sums that counts beside the sums of the hosts that are heard, of which
    /// `known` includes this host.
    pub fn add_to(&self, sums: &mut SumTable, last: &SumTable, known: &SumTable) {
        last.for_each(|service, organisation, work| {
            let before = self.offered.get(&(service, organisation)).copied().unwrap_or_default();
            let missing = before - known.get(service, organisation).map_or(0.0, offered);
            let share = (missing / offered(work).max(1.0)).clamp(0.0, 1.0);
            let counted: WorkByUrgency = work.map(|work| work.scaled(share));
            sums.add(service, organisation, &counted);
        });
        sums.add_paces(last);
    }
}

/// Returns the work in a report as its hosts had it while they were heard.
pub(super) fn last_sums(report: &SumsReport) -> SumTable {
    let mut sums = SumTable::default();
    sums.add_report(report, SILENT_AGE_MS);
    sums
}
