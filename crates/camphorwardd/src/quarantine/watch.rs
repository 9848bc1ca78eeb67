//! Tracks each attempt, and determines whether a server crashed when a connection is lost.

use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::homes;
use crate::quarantine::messages::SuspectMessage;
use crate::run::Job;
use admission::quarantine::StartedAttempt;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, HostName, Incarnation};
use protocol::message::suspect::SuspectReport;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Delay between two load reads of a server that may have crashed.
const LOAD_READ_DELAY: Duration = Duration::from_millis(50);
/// Number of consecutive failed reads after which a server counts as crashed.
const MAX_FAILED_READS: u32 = 10;

/// Tracks one attempt, on this host and on the request's follower.
#[derive(Debug)]
pub(crate) struct TrackedAttempt {
    node: Arc<Node>,
    attempt: StartedAttempt,
    address: SocketAddr,
    notification: JoinHandle<()>,
}

/// Starts tracking an attempt before it is sent.
pub(crate) fn track(
    node: &Arc<Node>,
    job: &Job,
    attempt_id: &AttemptId,
    server: &crate::hosts::Server,
) -> TrackedAttempt {
    let attempt = StartedAttempt {
        digest: job.digest(),
        organisation: job.organisation.clone(),
        service: job.service.clone(),
        attempt_id: attempt_id.clone(),
        entry: node.settings.host.clone(),
        server: server.host.clone(),
        incarnation: server.incarnation,
        on_probation: false,
    };
    node.quarantine.requests.started(attempt.clone());
    let message = SuspectMessage::Started(attempt.clone().into());
    let notification = tokio::spawn(send_to_follower(Arc::clone(node), attempt.clone(), message));
    TrackedAttempt { node: Arc::clone(node), attempt, address: server.address, notification }
}

async fn send_to_follower(node: Arc<Node>, attempt: StartedAttempt, message: SuspectMessage) {
    if let Some(follower) = homes::follower(&node, &attempt.digest) {
        homes::send(&node, &follower, &message).await;
    }
}

impl TrackedAttempt {
    /// Updates the incarnation to the one that the server reports, which may be newer than the host
    /// table's. Otherwise the attempt would count as crashed along with the previous incarnation.
    pub(crate) fn update_incarnation(&mut self, incarnation: Incarnation) {
        if self.attempt.incarnation == incarnation {
            return;
        }
        self.attempt.incarnation = incarnation;
        self.started();
    }

    /// Stops tracking the attempt while its server is silent, so that the request may run on
    /// another server meanwhile.
    pub(crate) fn suspend(&mut self) {
        let StartedAttempt { digest, attempt_id, .. } = self.attempt.clone();
        self.node.quarantine.requests.finished(&digest, &attempt_id, false);
        self.notify(SuspectMessage::Finished { digest, attempt_id, completed: false });
    }

    /// Tracks the attempt again.
    pub(crate) fn resume(&mut self) {
        self.started();
    }

    fn started(&mut self) {
        self.node.quarantine.requests.started(self.attempt.clone());
        self.notify(SuspectMessage::Started(self.attempt.clone().into()));
    }

    /// Sends the follower a message after the previous one.
    fn notify(&mut self, message: SuspectMessage) {
        let sending = send_to_follower(Arc::clone(&self.node), self.attempt.clone(), message);
        let previous = std::mem::replace(&mut self.notification, tokio::spawn(async {}));
        self.notification = tokio::spawn(async move {
            let _ = previous.await;
            sending.await;
        });
    }

    /// Records the end of the attempt; without a failure, it was complete or the caller
    /// disconnected. The homes receive the report of a broken connection before the caller receives
    /// the failure, so that they already hold it when the caller resends.
    pub(crate) async fn ended(self, completed: bool, failure: Option<ErrorKind>) {
        if failure == Some(ErrorKind::ServerDied) {
            return self.aborted().await;
        }
        tokio::spawn(self.finished(completed));
    }

    async fn finished(self, completed: bool) {
        let StartedAttempt { digest, attempt_id, .. } = self.attempt.clone();
        let node = Arc::clone(&self.node);
        let cleared = node.quarantine.requests.finished(&digest, &attempt_id, completed);
        // The message on the start must not arrive after the message on the end.
        let _ = self.notification.await;
        let message = SuspectMessage::Finished { digest, attempt_id, completed };
        send_to_follower(Arc::clone(&node), self.attempt, message).await;
        if cleared {
            node.counters.count(Counter::SuspectsCleared);
            homes::send_to_homes(node, digest, SuspectMessage::Cleared(digest)).await;
        }
    }

    async fn aborted(self) {
        let Self { node, attempt, address, notification } = self;
        node.quarantine.requests.aborted(attempt.clone(), node.now_ms());
        let _ = notification.await;
        let message = SuspectMessage::Aborted(attempt.clone().into());
        homes::send_to_homes(Arc::clone(&node), attempt.digest, message).await;
        tokio::spawn(check_server(node, attempt, address));
    }
}

/// Reads a server's load until it is determined whether the incarnation whose connection broke has
/// crashed.
async fn check_server(node: Arc<Node>, attempt: StartedAttempt, address: SocketAddr) {
    let mut failed_reads = 0;
    while failed_reads < MAX_FAILED_READS {
        match node.clients.engine.load(address).await {
            Ok(report) if report.incarnation <= attempt.incarnation => {
                return server_alive(node, attempt).await;
            }
            Ok(_) => break,
            Err(_) => failed_reads += 1,
        }
        tokio::time::sleep(LOAD_READ_DELAY).await;
    }
    server_crashed(node, attempt.server, attempt.incarnation).await;
}

async fn server_alive(node: Arc<Node>, attempt: StartedAttempt) {
    let StartedAttempt { digest, server, incarnation, .. } = attempt;
    node.quarantine.requests.server_alive(&server, incarnation);
    let message = SuspectMessage::ServerAlive { server, incarnation };
    homes::send_to_homes(node, digest, message).await;
}

/// Reports a server's crash for each request that was running on it according to this host.
pub(super) async fn server_crashed(node: Arc<Node>, server: HostName, incarnation: Incarnation) {
    for report in node.quarantine.requests.server_crashed(&server, incarnation) {
        record_report(&node, &report);
        let message = SuspectMessage::Report(report.clone());
        homes::send_to_homes(Arc::clone(&node), report.digest, message).await;
    }
}

/// Counts a crash against a request on this host.
pub(super) fn record_report(node: &Node, report: &SuspectReport) {
    use admission::quarantine::ReportOutcome;
    let counter = match node.quarantine.requests.report(report, node.now_ms()) {
        ReportOutcome::Duplicate => return,
        ReportOutcome::Suspect => Counter::SuspectsFound,
        ReportOutcome::Confirmed(_) => {
            let (organisation, server) = (&report.organisation, &report.server);
            log::warn!("organisation={organisation} server={server} a request is quarantined");
            Counter::SuspectsConfirmed
        }
    };
    node.counters.count(counter);
}
