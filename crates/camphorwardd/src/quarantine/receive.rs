//! Handles the messages of other hosts on suspects.

use crate::node::Node;
use crate::quarantine::check::local_status;
use crate::quarantine::messages::{SuspectMessage, SuspectReply};
use crate::quarantine::{homes, watch};
use protocol::ids::AttemptId;
use protocol::message::suspect::{SuspectDigest, SuspectReport};
use std::sync::Arc;

/// Applies a message and returns the reply.
pub(crate) fn receive(node: &Arc<Node>, message: SuspectMessage) -> SuspectReply {
    let requests = &node.quarantine.requests;
    match message {
        SuspectMessage::Query { digest, failed } => {
            return SuspectReply::Status(local_status(node, &digest, &failed));
        }
        SuspectMessage::Isolate(request) => {
            let answer = node.quarantine.grants.request(&request, node.now_ms());
            return SuspectReply::Isolation(answer);
        }
        SuspectMessage::Release(release) => node.quarantine.grants.release(&release),
        SuspectMessage::Started(attempt) => requests.started(attempt.into()),
        SuspectMessage::Finished { digest, attempt_id, completed } => {
            finished(node, digest, &attempt_id, completed);
        }
        SuspectMessage::Aborted(attempt) => {
            requests.aborted(attempt.into(), node.now_ms());
        }
        SuspectMessage::ServerAlive { server, incarnation } => {
            requests.server_alive(&server, incarnation);
        }
        SuspectMessage::Report(report) => apply_crash_report(node, &report),
        SuspectMessage::Cleared(digest) => requests.cleared(&digest),
    }
    SuspectReply::Accepted
}

/// Applies the end of an attempt. This host may hold crash reports that the attempt's entry host
/// does not, so it sends the clearance itself.
fn finished(node: &Arc<Node>, digest: SuspectDigest, attempt_id: &AttemptId, completed: bool) {
    if node.quarantine.requests.finished(&digest, attempt_id, completed) {
        let message = SuspectMessage::Cleared(digest);
        tokio::spawn(homes::send_to_homes(Arc::clone(node), digest, message));
    }
}

fn apply_crash_report(node: &Arc<Node>, report: &SuspectReport) {
    watch::record_report(node, report);
    // The crash also ended the attempts on that server that this host tracks; until now they
    // counted only as aborted.
    let (server, incarnation) = (report.server.clone(), report.incarnation);
    tokio::spawn(watch::server_crashed(Arc::clone(node), server, incarnation));
}
