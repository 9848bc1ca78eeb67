//! The recent work that other hosts admitted.
//!
//! Load pattern: callers reach hosts by a hash and come back through others, so that one host sees a
//! small part of what an organisation asks for.
//!
//! In a small installation each host reports to all others. In a large one the hosts of a failure
//! domain report to its relay; the relays exchange the sums of their domains, and each sends the sums
//! of all hosts to those of its own.

mod report;
mod silent;

use crate::fair_share::WorkByUrgency;
use protocol::ids::HostName;
use protocol::tags::{OrganisationTag, ServiceTag};
use std::collections::HashMap;

use crate::peer_sums::report::fitting_rows;
pub use crate::peer_sums::report::{Covered, MAX_ROWS, PaceRow, Row, SumTable, SumsReport};
pub use crate::peer_sums::silent::SILENT_TTL_MS;
use crate::peer_sums::silent::{SilentSums, last_sums};

/// The shortest interval between two messages, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 1_000;
/// How long the sums of a host count, in milliseconds.
pub const SUMS_TTL_MS: u64 = 3_000;
/// How long sums of a writer that covers fewer hosts are passed over, in milliseconds.
const RECENT_MS: u64 = 1_500;
/// How long a host hears no other one until it counts as cut off, in milliseconds. Messages arrive at
/// least every 1.4 s.
const CUT_OFF_MS: u64 = 1_500;
/// The largest number of messages that are held: more than hosts in any installation.
const MAX_HELD: usize = 1_024;
/// The interval at which the sums of all hosts are added up, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 400;

/// The host that writes messages.
#[derive(Clone, Copy, Debug)]
pub struct Writer<'a> {
    /// Its name.
    pub host: &'a HostName,
    /// The start of its process, as Unix milliseconds.
    pub incarnation: u64,
}

#[derive(Debug)]
struct Held {
    report: SumsReport,
    received_ms: u64,
    /// Whether it was found to have fallen silent.
    is_silent: bool,
}

impl Held {
    const fn new(report: SumsReport, received_ms: u64) -> Self {
        Self { report, received_ms, is_silent: false }
    }

    const fn is_heard(&self, now_ms: u64) -> bool {
        now_ms < self.received_ms + SUMS_TTL_MS
    }
}

/// The sums of all other hosts, as they count at one time.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// The work by service and organisation.
    pub sums: SumTable,
    /// The number of other hosts whose work is known.
    pub hosts: u32,
    /// The age of the oldest message that counts, in milliseconds; `None` if none does.
    pub age_ms: Option<u64>,
    /// Whether no message arrived for a while, so that this host is probably cut off.
    pub is_cut_off: bool,
}

/// The messages of other hosts, as one host holds them.
#[derive(Debug)]
pub struct PeerSums {
    local: HostName,
    held: HashMap<Covered, Held>,
    silent: SilentSums,
    /// The last message about this host.
    sent: Option<Held>,
    number: u64,
    updated_ms: Option<u64>,
}

impl PeerSums {
    /// Creates the table of a host that has heard of no other.
    pub fn new(local: HostName) -> Self {
        Self {
            local,
            held: HashMap::new(),
            silent: SilentSums::default(),
            sent: None,
            number: 0,
            updated_ms: None,
        }
    }

    /// Applies a message; returns whether it counts.
    pub fn apply(&mut self, report: SumsReport, now_ms: u64) -> bool {
        let is_own =
            report.host == self.local || report.covered == Covered::Host(self.local.clone());
        let held = self.held.get(&report.covered);
        let is_newer = held.is_none_or(|held| {
            let is_recent = now_ms < held.received_ms + RECENT_MS;
            held.report.gives_way_to(&report, is_recent)
        });
        let is_full = held.is_none() && self.held.len() >= MAX_HELD;
        if is_own || !is_newer || is_full {
            return false;
        }
        self.held.insert(report.covered.clone(), Held::new(report, now_ms));
        true
    }

    /// Returns whether the sums of all hosts are due to be added up again.
    pub fn is_update_due(&mut self, now_ms: u64) -> bool {
        let is_due = self.updated_ms.is_none_or(|at_ms| now_ms >= at_ms + UPDATE_INTERVAL_MS);
        if is_due {
            self.updated_ms = Some(now_ms);
        }
        is_due
    }

    /// Returns the sums of all other hosts, beside the work of this one. Those of a relay count
    /// instead of any others. Hosts that have fallen silent count by their last sums.
    pub fn view(&mut self, local: &SumTable, now_ms: u64) -> PeerView {
        self.held.retain(|_, held| now_ms < held.received_ms + SILENT_TTL_MS);
        let mut view = self.heard(now_ms);
        let is_recent = |held: &Held| now_ms < held.received_ms + CUT_OFF_MS;
        view.is_cut_off = !self.held.is_empty() && !self.held.values().any(is_recent);
        if self.held.get(&Covered::All).is_some_and(|all| all.is_heard(now_ms)) {
            return view;
        }
        let (last, hosts, has_new) = self.last_sums(now_ms);
        if hosts == 0 {
            return view;
        }
        let mut known = view.sums.clone();
        known.add_all(local);
        if has_new {
            let mut all = known.clone();
            all.add_all(&last);
            self.silent.record(&all);
        }
        self.silent.add_to(&mut view.sums, &last, &known);
        view.hosts += hosts;
        let received = self.held.values().map(|held| held.received_ms).min();
        view.age_ms = received.map(|received_ms| now_ms.saturating_sub(received_ms));
        view
    }

    /// Returns the sums of the other hosts that are heard.
    fn heard(&self, now_ms: u64) -> PeerView {
        let mut view = PeerView::default();
        match self.held.get(&Covered::All).filter(|all| all.is_heard(now_ms)) {
            Some(all) => {
                view.add(all, now_ms);
                if let Some(sent) = self.sent_within(all) {
                    view.sums.remove_report(&sent.report, now_ms.saturating_sub(sent.received_ms));
                    view.hosts = view.hosts.saturating_sub(1);
                }
            }
            None => {
                let heard = self.held.values().filter(|held| held.is_heard(now_ms));
                heard.for_each(|held| view.add(held, now_ms));
            }
        }
        view
    }

    /// Returns the last sums of the hosts that have fallen silent, their number, and whether one of
    /// them was heard until now.
    fn last_sums(&mut self, now_ms: u64) -> (SumTable, u32, bool) {
        let (mut sums, mut hosts, mut has_new) = (SumTable::default(), 0, false);
        for held in self.held.values_mut().filter(|held| !held.is_heard(now_ms)) {
            has_new |= !std::mem::replace(&mut held.is_silent, true);
        }
        for held in self.held.values().filter(|held| held.is_silent) {
            let mut last = last_sums(&held.report);
            hosts += held.report.credible_hosts();
            if let Some(sent) = self.sent_within(held) {
                last.remove_report(&sent.report, silent::SILENT_AGE_MS);
                hosts -= 1;
            }
            sums.add_all(&last);
            sums.add_paces(&last);
        }
        (sums, hosts, has_new)
    }

    /// Returns the last message about this host if a message on all hosts includes it.
    fn sent_within(&self, held: &Held) -> Option<&Held> {
        let is_on_all = held.report.covered == Covered::All;
        let includes = is_on_all && held.report.members.contains(&tag(&self.local));
        self.sent.as_ref().filter(|_| includes)
    }

    /// Returns the message about this host with its work.
    pub fn report(&mut self, writer: &Writer<'_>, local: &SumTable, now_ms: u64) -> SumsReport {
        let covered = Covered::Host(self.local.clone());
        let report = self.write(covered, writer, local, 1, Vec::new());
        self.sent = Some(Held::new(report.clone(), now_ms));
        report
    }

    /// Returns the messages of a relay: about its failure domain for the other relays, and about all
    /// hosts for those of its domain. `local` is the work of this host.
    pub fn relay_reports(
        &mut self,
        domain: Covered,
        writer: &Writer<'_>,
        local: &SumTable,
        now_ms: u64,
    ) -> [SumsReport; 2] {
        self.held.remove(&Covered::All);
        let mut members = vec![tag(&self.local)];
        let mut sums = PeerView { sums: local.clone(), hosts: 1, ..PeerView::default() };
        let heard = self.held.iter().filter(|(_, held)| held.is_heard(now_ms));
        for (covered, held) in heard.clone() {
            if let Covered::Host(host) = covered {
                members.push(tag(host));
                sums.add(held, now_ms);
            }
        }
        let (domain_sums, domain_hosts) = (sums.sums.clone(), sums.hosts);
        for (covered, held) in heard {
            if matches!(covered, Covered::FailureDomain(_)) && *covered != domain {
                sums.add(held, now_ms);
            }
        }
        let about_domain = self.write(domain, writer, &domain_sums, domain_hosts, Vec::new());
        let about_all = self.write(Covered::All, writer, &sums.sums, sums.hosts, members);
        [about_domain, about_all]
    }

    fn write(
        &mut self,
        covered: Covered,
        writer: &Writer<'_>,
        sums: &SumTable,
        hosts: u32,
        members: Vec<u32>,
    ) -> SumsReport {
        self.number += 1;
        let paces = sums.paces();
        let rows = sums.rows(fitting_rows(members.len(), paces.len()));
        SumsReport {
            covered,
            host: writer.host.clone(),
            incarnation: writer.incarnation,
            number: self.number,
            hosts,
            members,
            rows,
            paces,
        }
    }
}

impl PeerView {
    fn add(&mut self, held: &Held, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(held.received_ms);
        self.sums.add_report(&held.report, age_ms);
        self.hosts += held.report.credible_hosts();
        self.age_ms = Some(self.age_ms.map_or(age_ms, |oldest| oldest.max(age_ms)));
    }

    /// Takes the work on a service.
    pub fn take(&mut self, service: ServiceTag) -> HashMap<OrganisationTag, WorkByUrgency> {
        self.sums.take(service)
    }

    /// Returns the number of hosts that report nothing divided by the number of those whose work is
    /// known, this one included, if there are `hosts` in all.
    pub fn silent_ratio(&self, hosts: usize) -> f64 {
        let known = f64::from(self.hosts) + 1.0;
        (hosts as f64 / known - 1.0).max(0.0)
    }
}

/// Returns the tag of a host in the members of a message.
fn tag(host: &HostName) -> u32 {
    protocol::rendezvous::digest(host.as_str().as_bytes()) as u32
}
