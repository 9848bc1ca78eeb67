//! What dies at the site, and what hosts tell each other about it.

use super::{EntryHost, Run, SERVER_DOWN_MS, Server, Site, host_name, server_name};
use crate::common::service;
use admission::crash_limit::LimitUpdate;
use admission::isolation::IsolationTable;
use admission::quarantine::ReportOutcome;
use protocol::ids::Incarnation;
use protocol::message::suspect::{
    CrashRestriction, IsolateRelease, IsolateRequest, SuspectCleared, SuspectDigest, SuspectReport,
};

impl Site {
    pub(super) fn kill_host(&mut self) {
        let Some((at_ms, number)) = self.scenario.host_death else {
            return;
        };
        let number = number % self.hosts.len();
        if self.now_ms < at_ms || self.hosts[number].dead {
            return;
        }
        let service_home = self.service_home();
        self.hosts[number] = EntryHost::new(true);
        for host in &self.hosts {
            host.quarantine.entry_host_crashed(&host_name(number), self.now_ms);
        }
        self.tell_new_homes();
        if service_home == number {
            self.take_over_grants();
        }
        // The runs go on at their servers, and their callers resend through another host.
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == number && !self.callers[caller].done {
                let crashes =
                    self.callers[caller].run.take().filter(|_| self.callers[caller].guilty);
                if let Some(run) = crashes {
                    self.crash(run.server);
                }
                self.resend(caller);
            }
        }
    }

    fn tell_new_homes(&self) {
        for entry in self.live_hosts() {
            for run in self.hosts[entry].quarantine.attempts_of(&host_name(entry)) {
                for number in self.followers_of(&run.digest, entry) {
                    self.hosts[number].quarantine.started(run.clone());
                }
            }
        }
    }

    fn take_over_grants(&mut self) {
        let home = self.service_home();
        self.hosts[home].isolation = IsolationTable::new(self.now_ms);
        for caller in 0..self.callers.len() {
            let Some(run) = self.callers[caller].run.as_ref().filter(|run| run.isolated) else {
                continue;
            };
            let request = IsolateRequest {
                service: service(),
                digest: self.digest(caller),
                attempt_id: run.attempt_id.clone(),
                holds: Some(server_name(run.server)),
                preferred: Vec::new(),
            };
            self.hosts[home].isolation.request(&request, self.now_ms);
        }
    }

    /// Lets hosts that learn of a death report the requests that ran there.
    pub(super) fn spread_news(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.news.drain(..).partition(|news| news.0 <= now_ms);
        self.news = later;
        let due: Vec<(u64, usize, u64)> = due;
        for (_, server, incarnation) in due {
            let name = server_name(server);
            for number in self.live_hosts() {
                let quarantine = &self.hosts[number].quarantine;
                for report in quarantine.server_crashed(&name, Incarnation::new(incarnation)) {
                    self.report(&report);
                }
            }
        }
    }

    /// Takes a server down, and breaks off all its runs.
    pub(super) fn crash(&mut self, server: usize) {
        if self.servers[server].down_until_ms > self.now_ms {
            return;
        }
        self.outcome.deaths += 1;
        let incarnation = self.servers[server].incarnation;
        self.news.push((self.now_ms + self.scenario.death_lag_ms, server, incarnation));
        self.servers[server] =
            Server { incarnation: incarnation + 1, down_until_ms: self.now_ms + SERVER_DOWN_MS };
        for caller in 0..self.callers.len() {
            let run = self.callers[caller].run.take_if(|run| run.server == server);
            let Some(run) = run else { continue };
            let started = self.started(caller, &run, incarnation);
            for number in self.homes(started.digest.as_bytes()) {
                self.hosts[number].quarantine.aborted(started.clone(), self.now_ms);
            }
            let entry = &self.hosts[self.callers[caller].entry].quarantine;
            let report = entry.aborted(started, self.now_ms);
            self.blame(&report);
            self.release(caller, run);
            if self.callers[caller].guilty {
                self.resend(caller);
            }
        }
    }

    fn report(&mut self, report: &SuspectReport) {
        self.blame(report);
        let limiter = self.service_home();
        for home in self.homes(report.digest.as_bytes()) {
            let outcome = self.hosts[home].quarantine.report(report, self.now_ms);
            if let ReportOutcome::Confirmed(crash) = outcome {
                let restriction = self.hosts[limiter].limits.confirm(&crash, self.now_ms);
                self.restrict(&[restriction]);
            }
        }
    }

    fn blame(&mut self, report: &SuspectReport) {
        let limiter = self.service_home();
        let verdict = self.hosts[limiter].limits.report(report, self.now_ms);
        self.carry_out(&verdict);
    }

    fn carry_out(&mut self, verdict: &LimitUpdate) {
        self.restrict(&verdict.restrictions);
        for digest in &verdict.exonerated {
            for home in self.homes(digest.as_bytes()) {
                self.hosts[home].quarantine.exonerated(digest);
            }
        }
    }

    fn restrict(&mut self, restrictions: &[CrashRestriction]) {
        for host in &mut self.hosts {
            for restriction in restrictions {
                host.restrictions.apply(restriction, self.now_ms);
            }
        }
    }

    pub(super) fn clear(&mut self, digest: SuspectDigest) {
        let cleared = SuspectCleared { digest, service: service() };
        for home in self.homes(digest.as_bytes()) {
            self.hosts[home].quarantine.cleared(&digest);
        }
        let limiter = self.service_home();
        let verdict = self.hosts[limiter].limits.cleared(&cleared, self.now_ms);
        self.carry_out(&verdict);
    }

    pub(super) fn release(&mut self, caller: usize, run: Run) {
        if !run.isolated {
            return;
        }
        let (digest, attempt_id) = (self.digest(caller), run.attempt_id);
        let home = self.service_home();
        let release = IsolateRelease { service: service(), digest, attempt_id };
        self.hosts[home].isolation.release(&release);
    }
}
