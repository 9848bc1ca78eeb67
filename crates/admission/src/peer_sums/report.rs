//! The message with the recent work that one or several hosts admitted.

use crate::fair_share::{URGENCY_LEVELS, WorkByUrgency, WorkSums, decayed};
use protocol::ids::{FailureDomain, HostName};
use protocol::tags::{OrganisationTag, ServiceTag};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The largest number of rows in a message; with it a message has at most 2 KB.
pub const MAX_ROWS: usize = 64;
/// The largest number of services in a message whose pace it holds.
pub const MAX_PACES: usize = 8;
/// The bytes of a row, of a pace and of a member at most.
const ROW_BYTES: usize = 22;
const PACE_BYTES: usize = 26;
const MEMBER_BYTES: usize = 5;
/// The bytes for members and paces that a message with all rows has room for.
const OTHER_BYTES: usize = 440;

/// Returns the number of rows that fit a message with some members and paces.
pub(super) const fn fitting_rows(members: usize, paces: usize) -> usize {
    let excess = (members * MEMBER_BYTES + paces * PACE_BYTES).saturating_sub(OTHER_BYTES);
    MAX_ROWS.saturating_sub(excess.div_ceil(ROW_BYTES))
}
/// The most recent work of an organisation that one host could carry, in prompt tokens: a thousand
/// requests a second of five thousand tokens each. What is above is no true sum.
const MAX_ROW_TOKENS: f64 = 4e7;
/// The largest number of answers of one message that count in a mean pace.
const MAX_SAMPLES: u32 = 10_000;
/// The largest number of hosts that a message may cover.
const MAX_HOSTS: u32 = 1_024;

/// The hosts that a message covers.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum Covered {
    /// One host.
    Host(HostName),
    /// All hosts of a failure domain, added up by one of them.
    FailureDomain(FailureDomain),
    /// All hosts, added up for those of one failure domain.
    All,
}

/// The recent work of one organisation on one service at one urgency, in prompt tokens. Its fields
/// are identified by their position.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: ServiceTag,
    /// The organisation.
    pub organisation: OrganisationTag,
    /// The urgency; zero is the highest.
    pub urgency: u8,
    /// The work that was requested.
    pub offered: u32,
    /// The part that was admitted.
    pub admitted: u32,
}

/// How long the answers of a service take, as one or several hosts observed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PaceRow {
    /// The service.
    pub service: ServiceTag,
    /// The number of recent answers.
    pub samples: u32,
    /// The time that an answer holds a slot, in microseconds.
    pub hold_us: u32,
    /// The time for each token of work, in nanoseconds.
    pub ns_per_token: u32,
    /// The time for which recent requests may queue, in milliseconds.
    pub room_ms: u32,
}

/// The recent work that one or several hosts admitted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SumsReport {
    /// The hosts that it covers.
    pub covered: Covered,
    /// The host that wrote it.
    pub host: HostName,
    /// The start of that host's process, as Unix milliseconds.
    pub incarnation: u64,
    /// The number of the message within the incarnation.
    pub number: u64,
    /// The number of hosts that it covers.
    pub hosts: u32,
    /// The tags of the hosts of the writer's failure domain that it covers; only in those on all
    /// hosts.
    pub members: Vec<u32>,
    /// The rows, those with most work first.
    pub rows: Vec<Row>,
    /// How long answers take.
    pub paces: Vec<PaceRow>,
}

impl SumsReport {
    /// Returns the number of hosts that it covers, as far as that is credible.
    pub(super) fn credible_hosts(&self) -> u32 {
        self.hosts.clamp(1, MAX_HOSTS)
    }

    /// Returns whether another message about the same hosts replaces this one. Messages of two
    /// writers cannot be ordered: the one that covers more hosts counts while it is recent.
    pub(super) fn gives_way_to(&self, other: &Self, is_recent: bool) -> bool {
        if self.host == other.host {
            return (self.incarnation, self.number) < (other.incarnation, other.number);
        }
        other.hosts >= self.hosts || !is_recent
    }
}

/// Returns the work that was requested at all levels of urgency.
pub(super) fn offered(work: &WorkByUrgency) -> f64 {
    work.iter().map(|work| work.offered).sum()
}

/// Recent work by service, organisation and urgency.
#[derive(Clone, Debug, Default)]
pub struct SumTable {
    services: HashMap<ServiceTag, HashMap<OrganisationTag, WorkByUrgency>>,
    paces: HashMap<ServiceTag, PaceRow>,
}

impl SumTable {
    /// Adds work on a service.
    pub fn add(
        &mut self,
        service: ServiceTag,
        organisation: OrganisationTag,
        work: &WorkByUrgency,
    ) {
        let sums = self.services.entry(service).or_default().entry(organisation).or_default();
        sums.iter_mut().zip(work).for_each(|(sum, work)| sum.add(*work));
    }

    /// Adds the pace of a service: the mean by the numbers of answers.
    pub fn add_pace(&mut self, pace: PaceRow) {
        let samples = pace.samples.min(MAX_SAMPLES);
        let sum = self.paces.entry(pace.service).or_insert(PaceRow { samples: 0, ..pace });
        let share = f64::from(samples) / f64::from((sum.samples + samples).max(1));
        let mean = |old: u32, new: u32| {
            (f64::from(old) + share * (f64::from(new) - f64::from(old))) as u32
        };
        sum.hold_us = mean(sum.hold_us, pace.hold_us);
        sum.ns_per_token = mean(sum.ns_per_token, pace.ns_per_token);
        sum.room_ms = mean(sum.room_ms, pace.room_ms);
        sum.samples += samples;
    }

    /// Returns the pace of a service.
    pub fn pace(&self, service: ServiceTag) -> Option<PaceRow> {
        self.paces.get(&service).copied()
    }

    /// Returns the paces with most answers.
    pub(super) fn paces(&self) -> Vec<PaceRow> {
        let mut paces: Vec<_> = self.paces.values().copied().collect();
        paces.sort_by_key(|pace| (std::cmp::Reverse(pace.samples), pace.service));
        paces.truncate(MAX_PACES);
        paces
    }

    /// Adds the rows of a message that was received some time ago, each capped at what its hosts
    /// could carry.
    pub(super) fn add_report(&mut self, report: &SumsReport, age_ms: u64) {
        report.paces.iter().take(MAX_PACES).for_each(|pace| self.add_pace(*pace));
        let cap = MAX_ROW_TOKENS * f64::from(report.credible_hosts());
        for row in report.rows.iter().take(MAX_ROWS) {
            let offered = decayed(f64::from(row.offered).min(cap), age_ms);
            let admitted = decayed(f64::from(row.admitted).min(cap), age_ms).min(offered);
            let mut work = WorkByUrgency::default();
            work[usize::from(row.urgency).min(URGENCY_LEVELS - 1)] = WorkSums { offered, admitted };
            self.add(row.service, row.organisation, &work);
        }
    }

    /// Adds the paces of another table.
    pub(super) fn add_paces(&mut self, other: &Self) {
        other.paces.values().for_each(|pace| self.add_pace(*pace));
    }

    /// Calls a function with the work of each organisation on each service.
    pub(super) fn for_each(
        &self,
        mut visit: impl FnMut(ServiceTag, OrganisationTag, &WorkByUrgency),
    ) {
        for (service, organisations) in &self.services {
            organisations
                .iter()
                .for_each(|(organisation, work)| visit(*service, *organisation, work));
        }
    }

    /// Returns the work of an organisation on a service.
    pub(super) fn get(
        &self,
        service: ServiceTag,
        organisation: OrganisationTag,
    ) -> Option<&WorkByUrgency> {
        self.services.get(&service)?.get(&organisation)
    }

    /// Adds the work of another table.
    pub(super) fn add_all(&mut self, other: &Self) {
        other.for_each(|service, organisation, work| self.add(service, organisation, work));
    }

    /// Removes the rows of a message that was written some time ago.
    pub(super) fn remove_report(&mut self, report: &SumsReport, age_ms: u64) {
        for row in &report.rows {
            let sums = self.services.get_mut(&row.service);
            let sums = sums.and_then(|sums| sums.get_mut(&row.organisation));
            let level = usize::from(row.urgency).min(URGENCY_LEVELS - 1);
            if let Some(sum) = sums.map(|sums| &mut sums[level]) {
                let offered = sum.offered - decayed(f64::from(row.offered), age_ms);
                let admitted = sum.admitted - decayed(f64::from(row.admitted), age_ms);
                *sum = WorkSums { offered: offered.max(0.0), admitted: admitted.max(0.0) };
            }
        }
    }

    /// Takes the work on a service.
    pub fn take(&mut self, service: ServiceTag) -> HashMap<OrganisationTag, WorkByUrgency> {
        self.services.remove(&service).unwrap_or_default()
    }

    /// Returns the rows with most work, up to a number.
    pub(super) fn rows(&self, count: usize) -> Vec<Row> {
        let mut rows = Vec::new();
        for (service, organisations) in &self.services {
            for (organisation, levels) in organisations {
                let levels = levels.iter().zip(0_u8..).filter(|(work, _)| work.offered >= 1.0);
                rows.extend(levels.map(|(work, urgency)| Row {
                    service: *service,
                    organisation: *organisation,
                    urgency,
                    offered: work.offered as u32,
                    admitted: work.admitted as u32,
                }));
            }
        }
        rows.sort_by_key(|row| {
            (std::cmp::Reverse(row.offered), row.service, row.organisation, row.urgency)
        });
        rows.truncate(count);
        rows
    }
}
