//! Follows each attempt, and finds out whether a server died when a connection breaks.

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

/// The pause between two reads of a server that may have died.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// After how many failed reads in a row a server counts as dead.
const DEAD_READS: u32 = 10;

/// Follows one attempt, here and at the request's follower.
#[derive(Debug)]
pub(crate) struct Followed {
    node: Arc<Node>,
    run: StartedAttempt,
    address: SocketAddr,
    told: JoinHandle<()>,
}

/// Notes an attempt that is being sent.
pub(crate) fn follow(
    node: &Arc<Node>,
    job: &Job,
    attempt_id: &AttemptId,
    server: &crate::hosts::Server,
) -> Followed {
    let run = StartedAttempt {
        digest: job.digest(),
        organisation: job.organisation.clone(),
        service: job.service.clone(),
        attempt_id: attempt_id.clone(),
        entry: node.settings.host.clone(),
        server: server.host.clone(),
        incarnation: server.incarnation,
        on_probation: false,
    };
    node.quarantine.contents.started(run.clone());
    let message = SuspectMessage::Started(run.clone().into());
    let told = tokio::spawn(tell_follower(Arc::clone(node), run.clone(), message));
    Followed { node: Arc::clone(node), run, address: server.address, told }
}

async fn tell_follower(node: Arc<Node>, run: StartedAttempt, message: SuspectMessage) {
    if let Some(follower) = homes::follower(&node, &run.digest) {
        homes::tell(&node, &follower, &message).await;
    }
}

impl Followed {
    /// Notes the server's own word of its incarnation, which may be newer than the host table's;
    /// else the run would count as dead with the one before.
    pub(crate) fn runs_on(&mut self, incarnation: Incarnation) {
        if self.run.incarnation == incarnation {
            return;
        }
        self.run.incarnation = incarnation;
        self.node.quarantine.contents.started(self.run.clone());
        let message = SuspectMessage::Started(self.run.clone().into());
        let telling = tell_follower(Arc::clone(&self.node), self.run.clone(), message);
        let before = std::mem::replace(&mut self.told, tokio::spawn(async {}));
        self.told = tokio::spawn(async move {
            let _ = before.await;
            telling.await;
        });
    }

    /// Notes the end of the attempt; without a failure it was whole or the caller left. The homes
    /// know of a broken connection before the caller does, so a resend meets it there.
    pub(crate) async fn ended(self, completed: bool, failure: Option<ErrorKind>) {
        if failure == Some(ErrorKind::ServerDied) {
            return self.broke_off().await;
        }
        tokio::spawn(self.finished(completed));
    }

    async fn finished(self, completed: bool) {
        let StartedAttempt { digest, attempt_id, .. } = self.run.clone();
        let node = Arc::clone(&self.node);
        let cleared = node.quarantine.contents.finished(&digest, &attempt_id, completed);
        // What tells of the start must not arrive after what tells of the end.
        let _ = self.told.await;
        let message = SuspectMessage::Finished { digest, attempt_id, completed };
        tell_follower(Arc::clone(&node), self.run, message).await;
        if cleared {
            node.counters.count(Counter::SuspectsCleared);
            homes::tell_homes(node, digest, SuspectMessage::Cleared(digest)).await;
        }
    }

    async fn broke_off(self) {
        let Self { node, run, address, told } = self;
        node.quarantine.contents.aborted(run.clone(), node.now_ms());
        let _ = told.await;
        let message = SuspectMessage::BrokeOff(run.clone().into());
        homes::tell_homes(Arc::clone(&node), run.digest, message).await;
        tokio::spawn(find_out(node, run, address));
    }
}

/// Reads a server until it is known whether the incarnation died to which a connection broke.
async fn find_out(node: Arc<Node>, run: StartedAttempt, address: SocketAddr) {
    let mut failed_reads = 0;
    while failed_reads < DEAD_READS {
        match node.clients.engine.load(address).await {
            Ok(report) if report.incarnation <= run.incarnation => {
                return server_lives(node, run).await;
            }
            Ok(_) => break,
            Err(_) => failed_reads += 1,
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    server_died(node, run.server, run.incarnation).await;
}

async fn server_lives(node: Arc<Node>, run: StartedAttempt) {
    let StartedAttempt { digest, server, incarnation, .. } = run;
    node.quarantine.contents.server_alive(&server, incarnation);
    let message = SuspectMessage::ServerLives { server, incarnation };
    homes::tell_homes(node, digest, message).await;
}

/// Reports a server's death for each request that is known here to have run there.
pub(super) async fn server_died(node: Arc<Node>, server: HostName, incarnation: Incarnation) {
    for report in node.quarantine.contents.server_crashed(&server, incarnation) {
        count(&node, &report);
        let message = SuspectMessage::Report(report.clone());
        homes::tell_homes(Arc::clone(&node), report.digest, message).await;
    }
}

/// Counts a death against a request here.
pub(super) fn count(node: &Node, report: &SuspectReport) {
    use admission::quarantine::ReportOutcome;
    let counter = match node.quarantine.contents.report(report, node.now_ms()) {
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
