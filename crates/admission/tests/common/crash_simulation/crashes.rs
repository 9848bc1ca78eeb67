//! Simulated crashes, and the messages between hosts about them.

use super::{Attempt, EntryHost, SERVER_DOWN_MS, Server, Simulation, host_name, server_name};
use crate::common::service;
use admission::crash_limit::LimitUpdate;
use admission::isolation::IsolationTable;
use admission::quarantine::ReportOutcome;
use protocol::ids::Incarnation;
use protocol::message::suspect::{
    CrashRestriction, IsolateRelease, IsolateRequest, SuspectCleared, SuspectDigest, SuspectReport,
};

impl Simulation {
    pub(super) fn crash_host(&mut self) {
        let Some((at_ms, number)) = self.scenario.host_crash else {
            return;
        };
        let number = number % self.hosts.len();
        if self.now_ms < at_ms || self.hosts[number].crashed {
            return;
        }
        let service_home = self.service_home();
        self.hosts[number] = EntryHost::new(true);
        for host in &self.hosts {
            host.quarantine.entry_host_crashed(&host_name(number), self.now_ms);
        }
        self.notify_new_homes();
        if service_home == number {
            self.take_over_grants();
        }
        // The attempts continue on their servers, and their callers resend through another host.
        for caller in 0..self.callers.len() {
            if self.callers[caller].entry == number && !self.callers[caller].done {
                let crashing =
                    self.callers[caller].attempt.take().filter(|_| self.callers[caller].guilty);
                if let Some(attempt) = crashing {
                    self.crash(attempt.server);
                }
                self.resend(caller);
            }
        }
    }

    fn notify_new_homes(&self) {
        for entry in self.live_hosts() {
            for attempt in self.hosts[entry].quarantine.attempts_of(&host_name(entry)) {
                for number in self.trackers_of(&attempt.digest, entry) {
                    self.hosts[number].quarantine.started(attempt.clone());
                }
            }
        }
    }

    fn take_over_grants(&mut self) {
        let home = self.service_home();
        self.hosts[home].isolation = IsolationTable::new(self.now_ms);
        for caller in 0..self.callers.len() {
            let Some(attempt) =
                self.callers[caller].attempt.as_ref().filter(|attempt| attempt.isolated)
            else {
                continue;
            };
            let request = IsolateRequest {
                service: service(),
                digest: self.digest(caller),
                attempt_id: attempt.attempt_id.clone(),
                holds: Some(server_name(attempt.server)),
                preferred: Vec::new(),
            };
            self.hosts[home].isolation.request(&request, self.now_ms);
        }
    }

    /// Lets hosts that detect a crash report the requests that ran on the server.
    pub(super) fn deliver_detections(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.detections.drain(..).partition(|detection| detection.0 <= now_ms);
        self.detections = later;
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

    /// Crashes a server and aborts all its attempts.
    pub(super) fn crash(&mut self, server: usize) {
        if self.servers[server].down_until_ms > self.now_ms {
            return;
        }
        self.outcome.crashes += 1;
        let incarnation = self.servers[server].incarnation;
        self.detections.push((self.now_ms + self.scenario.detection_lag_ms, server, incarnation));
        self.servers[server] =
            Server { incarnation: incarnation + 1, down_until_ms: self.now_ms + SERVER_DOWN_MS };
        for caller in 0..self.callers.len() {
            let attempt = self.callers[caller].attempt.take_if(|attempt| attempt.server == server);
            let Some(attempt) = attempt else { continue };
            let started = self.started(caller, &attempt, incarnation);
            for number in self.homes(started.digest.as_bytes()) {
                self.hosts[number].quarantine.aborted(started.clone(), self.now_ms);
            }
            let entry = &self.hosts[self.callers[caller].entry].quarantine;
            let report = entry.aborted(started, self.now_ms);
            self.attribute(&report);
            self.release(caller, attempt);
            if self.callers[caller].guilty {
                self.resend(caller);
            }
        }
    }

    fn report(&mut self, report: &SuspectReport) {
        self.attribute(report);
        let limiter = self.service_home();
        for home in self.homes(report.digest.as_bytes()) {
            let outcome = self.hosts[home].quarantine.report(report, self.now_ms);
            if let ReportOutcome::Confirmed(crash) = outcome {
                let restriction = self.hosts[limiter].limits.confirm(&crash, self.now_ms);
                self.restrict(&[restriction]);
            }
        }
    }

    fn attribute(&mut self, report: &SuspectReport) {
        let limiter = self.service_home();
        let update = self.hosts[limiter].limits.report(report, self.now_ms);
        self.apply_update(&update);
    }

    fn apply_update(&mut self, update: &LimitUpdate) {
        self.restrict(&update.restrictions);
        for digest in &update.exonerated {
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
        let update = self.hosts[limiter].limits.cleared(&cleared, self.now_ms);
        self.apply_update(&update);
    }

    pub(super) fn release(&mut self, caller: usize, attempt: Attempt) {
        if !attempt.isolated {
            return;
        }
        let (digest, attempt_id) = (self.digest(caller), attempt.attempt_id);
        let home = self.service_home();
        let release = IsolateRelease { service: service(), digest, attempt_id };
        self.hosts[home].isolation.release(&release);
    }
}
