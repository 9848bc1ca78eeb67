//! A request on its way, with what was tried so far.

use crate::callers::CallerRequest;
use crate::event;
use crate::forward::attempt::{MayHaveRun, NotRun};
use crate::logs;
use crate::node::Node;
use dispatch::configuration::RouteKind;
use dispatch::registry::ServerId;
use dispatch::waiting::Ticket;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

/// A request on its way.
#[derive(Debug)]
pub struct Job {
    /// The gateway.
    pub node: Arc<Node>,
    /// The request.
    pub request: CallerRequest,
    /// Requests that reached a server, refused ones too.
    pub sends: u32,
    /// Sends that a server refused without running them.
    pub refused_sends: u32,
    /// The servers that may have run it.
    pub ran_on: SmallVec<[ServerId; 2]>,
    /// The servers that are not tried again.
    pub excluded: SmallVec<[ServerId; 4]>,
    /// The last whole event passed on, for streams that go on elsewhere.
    pub last_event: Option<String>,
    /// The place in the line of those that wait for room.
    in_line: Option<InLine>,
    /// Whether everyday lines of this request are written.
    pub is_logged: bool,
    /// Whether the end was logged.
    pub is_ended: bool,
}

/// A place in the line, left when dropped.
#[derive(Debug)]
struct InLine {
    node: Arc<Node>,
    ticket: Ticket,
}

impl Drop for InLine {
    fn drop(&mut self) {
        self.node.state().wait_queue.leave(self.ticket);
        // The next one in the line may find room too.
        self.node.capacity_freed.notify_waiters();
    }
}

impl Job {
    /// Starts a request.
    pub fn new(node: Arc<Node>, request: CallerRequest) -> Self {
        let is_logged = logs::is_sampled(request.id_text(), node.settings.log.request_share);
        Self {
            node,
            request,
            is_logged,
            sends: 0,
            refused_sends: 0,
            ran_on: SmallVec::new(),
            excluded: SmallVec::new(),
            last_event: None,
            in_line: None,
            is_ended: false,
        }
    }

    /// Returns the place in the line of those that wait for room.
    pub fn ticket(&self) -> Option<Ticket> {
        self.in_line.as_ref().map(|in_line| in_line.ticket)
    }

    /// Waits in the line of those that wait for room, until something changed or a little while.
    pub async fn wait_in_line(&mut self) {
        /// How often a waiting request is looked at: sends of gateways that tell nothing end unseen.
        const LOOK_EVERY: Duration = Duration::from_millis(60);
        let node = Arc::clone(&self.node);
        if self.in_line.is_none() {
            node.metrics.count("waits", "room");
            let ticket = node.state().wait_queue.enter(&self.request.demand);
            self.in_line = Some(InLine { node: Arc::clone(&node), ticket });
        }
        // Room or not, the request is looked at again.
        drop(tokio::time::timeout(LOOK_EVERY, node.capacity_freed.notified()).await);
    }

    /// Leaves the line, placed or not.
    pub fn leave_line(&mut self) {
        self.in_line = None;
    }

    /// Returns the time that is left.
    pub fn remaining_ms(&self) -> u64 {
        self.request.demand.deadline_at_ms.saturating_sub(self.node.now_ms())
    }

    /// Says whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        !self.ran_on.is_empty()
    }

    /// Says whether the request may go to another server after it may have run.
    pub fn may_run_again(&self) -> bool {
        let route = &self.request.route;
        route.kind.is_retryable() && (self.ran_on.len() as u32) < route.max_attempts
    }

    /// Says whether the request may go to one more server after this one has run it.
    pub fn can_try_another(&self, server: &ServerId) -> bool {
        let known = self.node.state();
        let mut others = known.registry.usable(&self.request.demand.service);
        let has_other =
            others.any(|entry| entry.id != *server && !self.excluded.contains(&entry.id));
        has_other && (self.ran_on.len() as u32) + 1 < self.request.route.max_attempts
    }

    /// Takes a repeat out of the gateway's share.
    pub fn try_repeat(&self) -> bool {
        let now_ms = self.node.now_ms();
        let mut knowledge = self.node.state();
        let gateways = knowledge.gateways.count();
        let service = &self.request.demand.service;
        let granted = knowledge.retry_share.try_retry(service, gateways, now_ms);
        drop(knowledge);
        self.node.metrics.count("repeats", if granted { "granted" } else { "over_budget" });
        granted
    }

    /// Notes a send that did not run.
    pub fn note_not_run(&mut self, server: &ServerId, reason: NotRun) {
        self.excluded.push(server.clone());
        if !matches!(reason, NotRun::Unconnected | NotRun::Unsent) {
            self.refused_sends += 1;
        }
        self.log_failed_send(server, reason.as_str(), false);
    }

    /// Notes a send that may have run.
    pub fn note_may_have_run(&mut self, server: &ServerId, reason: MayHaveRun) {
        self.excluded.push(server.clone());
        self.ran_on.push(server.clone());
        if reason == MayHaveRun::Broke && self.request.route.kind != RouteKind::Safe {
            let now_ms = self.node.now_ms();
            let content = self.request.content;
            self.node.state().crashes.count(content, now_ms);
            self.node.queue_update(|update| update.aborted.push(*content.as_bytes()));
        }
        self.log_failed_send(server, reason.as_str(), true);
    }

    fn log_failed_send(&self, server: &ServerId, reason: &str, may_have_run: bool) {
        self.node.metrics.count("failed_sends", reason);
        event!(warn, self.node.now_ms(), "send_failed", {
            "request": self.request.id_text(),
            "route": self.request.route.name,
            "server": server.as_str(),
            "reason": reason,
            "may_have_run": may_have_run,
            "sends": self.sends,
            "remaining_ms": self.remaining_ms(),
        });
    }

    /// Logs the end of a request that a server answered.
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
            "sends": self.sends,
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
            "sends": self.sends,
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
