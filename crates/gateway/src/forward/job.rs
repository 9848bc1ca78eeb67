//! The state of a request that is being forwarded, with the attempts made so far.

use crate::answer::Refusal;
use crate::callers::CallerRequest;
use crate::crashes;
use crate::event;
use crate::forward::outcome::{MayHaveRun, NotRun};
use crate::forward::place;
use crate::logs;
use crate::node::Node;
use crate::peers;
use dispatch::choice::{Closed, NoServer};
use dispatch::configuration::RouteKind;
use dispatch::crashes::{Feature, Features, Verdict};
use dispatch::eligibility::AllowedRegions;
use dispatch::registry::{ServerEntry, ServerId, SoftwareVersion};
use dispatch::streams::StreamOrigin;
use dispatch::waiting::Ticket;
use platform::prompt;
use smallvec::SmallVec;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// A request that is being forwarded.
#[derive(Debug)]
pub struct Job {
    /// The state of the gateway.
    pub node: Arc<Node>,
    /// The request.
    pub request: Arc<CallerRequest>,
    /// The number of attempts that were sent to a server, including refused ones.
    pub sent: Arc<AtomicU32>,
    /// The number of attempts that a server refused without running them.
    pub refused_attempts: u32,
    /// The number of servers whose holder granted no send.
    pub refused_grants: u32,
    /// The servers that may have run it.
    pub may_have_run_on: SmallVec<[ServerId; 2]>,
    /// The servers that are not tried again.
    pub excluded: SmallVec<[ServerId; 4]>,
    /// The excluded servers that closed a new connection before the request was written.
    unsent_to: SmallVec<[ServerId; 4]>,
    /// Whether such servers were allowed once more.
    has_retried_unsent: bool,
    /// Whether the caller has the head of a stream, which only events may follow.
    pub has_begun: bool,
    /// The id of the last event passed on, from which another server resumes the stream.
    pub last_event_id: Option<String>,
    /// The only software version that may run the request, because it began the stream.
    pub software: Option<SoftwareVersion>,
    /// The place in the queue of prompts that wait for free capacity.
    queued: Option<QueuePlace>,
    /// Whether the routine log lines of this request are written.
    pub is_logged: bool,
    /// Whether the end of the request was logged.
    pub is_ended: bool,
    /// The segments of its prompt for which it is refused.
    pub crashing_parts: Option<Vec<String>>,
    /// Whether it was admitted where servers are shared fairly.
    is_admitted: AtomicBool,
    /// Whether it runs once although requests like it crash servers.
    pub is_trial: bool,
}

/// A place in the wait queue, which is released when dropped.
#[derive(Debug)]
struct QueuePlace {
    node: Arc<Node>,
    ticket: Ticket,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.node.state().wait_queue.leave(self.ticket);
        // The next prompt in the queue may find free capacity too.
        self.node.capacity_freed.notify_waiters();
    }
}

impl Job {
    /// Creates the state of a request without attempts.
    pub fn new(node: Arc<Node>, request: CallerRequest) -> Self {
        let is_logged = logs::is_sampled(request.id_text(), node.settings.log.request_share);
        let software = request.origin.as_ref().map(|origin| origin.software.clone());
        Self {
            node,
            software,
            request: Arc::new(request),
            is_logged,
            sent: Arc::default(),
            refused_attempts: 0,
            refused_grants: 0,
            may_have_run_on: SmallVec::new(),
            excluded: SmallVec::new(),
            unsent_to: SmallVec::new(),
            has_retried_unsent: false,
            has_begun: false,
            last_event_id: None,
            queued: None,
            is_ended: false,
            crashing_parts: None,
            is_admitted: AtomicBool::new(false),
            is_trial: false,
        }
    }

    /// Returns the place in the queue of prompts that wait for free capacity.
    pub fn ticket(&self) -> Option<Ticket> {
        self.queued.as_ref().map(|queued| queued.ticket)
    }

    /// Waits in the queue until capacity is freed or the recheck interval passes.
    pub async fn wait_in_queue(&mut self) {
        /// How often a waiting request is reconsidered without a notification: attempts of gateways
        /// that do not report end unnoticed.
        const RECHECK_INTERVAL: Duration = Duration::from_millis(60);
        let node = Arc::clone(&self.node);
        if self.queued.is_none() {
            node.metrics.count("waits", "room");
            let ticket = node.state().wait_queue.enter(&self.request.spec);
            self.queued = Some(QueuePlace { node: Arc::clone(&node), ticket });
        }
        // The request is reconsidered whether or not capacity was freed.
        drop(tokio::time::timeout(RECHECK_INTERVAL, node.capacity_freed.notified()).await);
    }

    /// Records that a server delivered the first events of the stream. From then on only its
    /// software version may go on.
    pub fn record_begun(&mut self, software: &SoftwareVersion) {
        if self.software.is_some() || self.request.route.kind != RouteKind::ResumableStream {
            return;
        }
        self.software = Some(software.clone());
        let service = self.request.spec.service.clone();
        let origin = StreamOrigin { service, software: software.clone() };
        peers::announce_stream(&self.node, self.request.stream, origin);
    }

    /// Leaves the queue, whether the request was placed or not.
    pub fn leave_queue(&mut self) {
        self.queued = None;
    }

    /// Returns the time until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.request.remaining_ms(self.node.now_ms())
    }

    /// Returns the number of attempts that were sent to a server, including refused ones.
    pub fn attempts(&self) -> u32 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        !self.may_have_run_on.is_empty()
    }

    /// Returns whether the request was admitted where servers are shared fairly.
    pub fn is_admitted(&self) -> bool {
        self.is_admitted.load(Ordering::Relaxed)
    }

    /// Records that the request was admitted.
    pub fn record_admitted(&self) {
        self.is_admitted.store(true, Ordering::Relaxed);
    }

    /// Returns whether the request continues a stream that another request began.
    pub fn continues_stream(&self) -> bool {
        self.request.origin.is_some()
    }

    /// Returns whether the request may be sent to another server although it may have run.
    pub fn may_retry(&self) -> bool {
        self.may_retry_beside(0)
    }

    /// Returns whether the request may be sent to another server beside a number of unfinished
    /// attempts.
    pub fn may_retry_beside(&self, unfinished: u32) -> bool {
        let route = &self.request.route;
        let attempts = self.may_have_run_on.len() as u32 + unfinished;
        route.kind.is_retryable() && attempts < route.max_attempts
    }

    /// Returns whether the request may be sent to another server after this one has run it.
    pub fn can_try_another(&self, server: &ServerId) -> bool {
        let allowed = self.allowed_regions();
        let state = self.node.state();
        let mut others = state.registry.usable(&self.request.spec.service);
        let now_ms = self.node.now_ms();
        let eligibility = state.eligibility(&allowed, &self.node.context.regions);
        let has_other = others.any(|entry| {
            entry.id != *server
                && eligibility.allows(&entry.domain)
                && !self.excluded.contains(&entry.id)
                && state.check_open(entry, self.request.spec.urgency(), now_ms).is_ok()
        });
        has_other && (self.may_have_run_on.len() as u32) + 1 < self.request.route.max_attempts
    }

    /// Returns whether servers that are not cold may take the request after holders of cold ones
    /// refused it.
    pub fn has_server_without_grant(&self) -> bool {
        let spec = &self.request.spec;
        let allowed = self.allowed_regions();
        let (state, now_ms) = (self.node.state(), self.node.now_ms());
        let eligibility = state.eligibility(&allowed, &self.node.context.regions);
        let mut usable = state.registry.usable(&spec.service);
        state.cold.limit(&spec.service).is_some()
            && usable.any(|entry| {
                eligibility.allows(&entry.domain)
                    && !self.excluded.contains(&entry.id)
                    && self.allows_software(entry)
                    && !state.is_bounded(entry, now_ms)
                    && state.check_open(entry, spec.urgency(), now_ms).is_ok()
            })
    }

    /// Returns why a request is refused whose sends holders did not grant.
    pub fn refusal_without_grant(&self) -> Refusal {
        let (state, now_ms) = (self.node.state(), self.node.now_ms());
        let mut usable = state.registry.usable(&self.request.spec.service);
        let is_any_cold = usable.any(|entry| state.is_cold(entry, now_ms));
        if is_any_cold { Refusal::ServersCold } else { Refusal::ServersLimited }
    }

    /// Returns the regions in which the request may be served, cached and stored.
    pub fn allowed_regions(&self) -> AllowedRegions {
        self.request.allowed_regions(&self.node)
    }

    /// Checks whether a server of the service takes requests and may receive this one.
    ///
    /// # Errors
    ///
    /// Returns why none does.
    pub fn check_servers(&self) -> Result<(), NoServer> {
        let allowed = self.allowed_regions();
        let state = self.node.state();
        let eligibility = state.eligibility(&allowed, &self.node.context.regions);
        place::check_servers(&state, &self.request.spec, &eligibility)
    }

    /// Returns the first server of the service to take another attempt; `None` if one does now or
    /// there is none.
    pub fn first_to_open(&self) -> Option<Closed> {
        let allowed = self.allowed_regions();
        let state = self.node.state();
        let now_ms = self.node.now_ms();
        let eligibility = state.eligibility(&allowed, &self.node.context.regions);
        place::first_to_open(&state, self, &eligibility, now_ms)
    }

    /// Takes a retry from the gateway's share of the budget, and returns whether the budget allows
    /// it.
    pub fn take_retry(&self) -> bool {
        let now_ms = self.node.now_ms();
        let mut state = self.node.state();
        let gateways = state.gateways.count();
        let service = &self.request.spec.service;
        let granted = state.retry_share.try_retry(service, gateways, now_ms);
        drop(state);
        self.node.metrics.count("repeats", if granted { "granted" } else { "over_budget" });
        granted
    }

    /// Returns how the request may run, as it may crash servers.
    pub fn check_crashes(&self) -> Verdict {
        if self.is_trial && !self.may_have_run() {
            return Verdict::Allowed;
        }
        let now_ms = self.node.now_ms();
        let mut state = self.node.state();
        if !state.crashes.refuses_any() {
            return Verdict::Allowed;
        }
        state.crashes.check(&self.request.features(), now_ms)
    }

    /// Claims the trial that the request is to be; returns whether it may run.
    pub async fn claim_trial(&mut self, features: &Features) -> bool {
        // A request that ran before is no single trial.
        let is_first = self.attempts() == 0;
        let remaining_ms = self.remaining_ms();
        self.is_trial = is_first && crashes::claim_trial(&self.node, features, remaining_ms).await;
        if self.is_trial {
            event!(warn, self.node.now_ms(), "trial_claimed", {
                "request": self.request.id_text(),
                "content": self.request.content.to_string(),
                "crashing_parts": self.request.segments_of(features),
            });
        }
        self.is_trial
    }

    /// Returns whether a server has the software version that the request needs.
    pub fn allows_software(&self, entry: &ServerEntry) -> bool {
        self.software.as_ref().is_none_or(|only| entry.software == *only)
    }

    /// Excludes a server from further attempts.
    pub fn exclude(&mut self, server: &ServerId) {
        if !self.excluded.contains(server) {
            self.excluded.push(server.clone());
        }
    }

    fn record_unsent(&mut self, server: &ServerId) {
        if !self.has_retried_unsent {
            self.unsent_to.push(server.clone());
        }
    }

    /// Allows the servers once more that closed new connections before the request was written, once it
    /// is known whether the gateway's own links are the reason. Returns whether there are any.
    ///
    /// A gateway that is cut off may find each connection accepted and closed. Its links are verified
    /// then, and the servers are reached through peers.
    pub async fn readmit_unsent(&mut self) -> bool {
        const MAX_WAIT: Duration = Duration::from_millis(100);
        const CHECK_INTERVAL: Duration = Duration::from_millis(5);
        self.has_retried_unsent = true;
        let servers = std::mem::take(&mut self.unsent_to);
        if servers.is_empty() {
            return false;
        }
        let node = Arc::clone(&self.node);
        let is_verified = || {
            let verified = node.being_verified();
            !servers.iter().any(|server| verified.contains(server))
        };
        let verifying = async {
            while !is_verified() {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        // They are tried whether or not their links were verified in time.
        drop(tokio::time::timeout(MAX_WAIT, verifying).await);
        self.excluded.retain(|server| !servers.contains(server));
        true
    }

    /// Records an attempt that did not run.
    pub fn record_not_run(&mut self, server: &ServerId, reason: NotRun) {
        // A server that was chosen for another scope takes the request in the present one.
        if reason != NotRun::OtherScope {
            self.exclude(server);
        }
        match reason {
            NotRun::Unsent => self.record_unsent(server),
            NotRun::ConnectFailed
            | NotRun::Closed
            | NotRun::OldWeights
            | NotRun::Ineligible
            | NotRun::OtherScope => {}
            NotRun::NotGranted => {
                self.refused_grants += 1;
                return self.node.metrics.count("failed_sends", reason.as_str());
            }
            NotRun::Shed | NotRun::WrongServer | NotRun::WrongWeights => {
                self.refused_attempts += 1;
            }
        }
        self.log_failed_attempt(server, reason.as_str(), false);
    }

    /// Records an attempt that may have run.
    pub fn record_may_have_run(&mut self, server: &ServerId, reason: MayHaveRun) {
        self.exclude(server);
        self.may_have_run_on.push(server.clone());
        self.log_failed_attempt(server, reason.as_str(), true);
    }

    fn log_failed_attempt(&self, server: &ServerId, reason: &str, may_have_run: bool) {
        self.node.metrics.count("failed_sends", reason);
        let now_ms = self.node.now_ms();
        let content = &self.request.content;
        event!(warn, now_ms, "send_failed", {
            "request": self.request.id_text(),
            "content": content.to_string(),
            "parts": self.request.spec.prompt.as_ref().map(prompt::format_segments),
            "crashes": self.node.state().crashes.crashes_under(&Feature::content(content)),
            "route": self.request.route.name,
            "server": server.as_str(),
            "reason": reason,
            "may_have_run": may_have_run,
            "sends": self.attempts(),
            "remaining_ms": self.remaining_ms(),
        });
    }

    /// Records and logs the end of a request that a server answered.
    pub fn log_answered(&mut self, server: &ServerId, status: u16, first_byte_ms: u64) {
        self.is_ended = true;
        let node = &self.node;
        let took_ms = node.now_ms().saturating_sub(self.request.arrived_ms);
        node.metrics.count("answers", http_class(status));
        node.metrics.record_ms("first_byte", &self.request.route.name, first_byte_ms);
        node.metrics.record_ms("whole_answer", &self.request.route.name, took_ms);
        if !self.is_logged {
            return;
        }
        event!(info, node.now_ms(), "request_answered", {
            "request": self.request.id_text(),
            "route": self.request.route.name,
            "server": server.as_str(),
            "status": status,
            "sends": self.attempts(),
            "first_byte_ms": first_byte_ms,
            "took_ms": took_ms,
            "configuration": self.request.in_force.configuration.version.value(),
        });
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        self.node.metrics.count("callers_left", &self.request.route.name);
        if !self.is_logged {
            return;
        }
        event!(info, self.node.now_ms(), "caller_left", {
            "request": self.request.id_text(),
            "route": self.request.route.name,
            "sends": self.attempts(),
            "waited_ms": self.node.now_ms().saturating_sub(self.request.arrived_ms),
        });
    }
}

const fn http_class(status: u16) -> &'static str {
    match status {
        200..=299 => "success",
        300..=499 => "client_error",
        _ => "server_error",
    }
}
