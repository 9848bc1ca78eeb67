//! Takes in the messages of other hosts on suspects.

use crate::node::Node;
use crate::quarantine::judge::standing_here;
use crate::quarantine::messages::{SuspectMessage, SuspectReply};
use crate::quarantine::{homes, watch};
use protocol::ids::AttemptId;
use protocol::message::suspect::{SuspectDigest, SuspectReport};
use std::sync::Arc;

/// Takes in a message.
pub(crate) fn receive(node: &Arc<Node>, message: SuspectMessage) -> SuspectReply {
    let contents = &node.quarantine.contents;
    match message {
        SuspectMessage::Ask { digest, failed } => {
            return SuspectReply::Standing(standing_here(node, &digest, &failed));
        }
        SuspectMessage::Isolate(request) => {
            let answer = node.quarantine.grants.request(&request, node.now_ms());
            return SuspectReply::Isolation(answer);
        }
        SuspectMessage::Release(release) => node.quarantine.grants.release(&release),
        SuspectMessage::Started(note) => contents.started(note.into()),
        SuspectMessage::Finished { digest, attempt_id, completed } => {
            finished(node, digest, &attempt_id, completed);
        }
        SuspectMessage::BrokeOff(note) => {
            contents.aborted(note.into(), node.now_ms());
        }
        SuspectMessage::ServerLives { server, incarnation } => {
            contents.server_alive(&server, incarnation);
        }
        SuspectMessage::Report(report) => take_report(node, &report),
        SuspectMessage::Cleared(digest) => contents.cleared(&digest),
    }
    SuspectReply::Noted
}

/// The home may know of deaths that the run's entry host does not.
fn finished(node: &Arc<Node>, digest: SuspectDigest, attempt_id: &AttemptId, completed: bool) {
    if node.quarantine.contents.finished(&digest, attempt_id, completed) {
        let message = SuspectMessage::Cleared(digest);
        tokio::spawn(homes::tell_homes(Arc::clone(node), digest, message));
    }
}

fn take_report(node: &Arc<Node>, report: &SuspectReport) {
    watch::count(node, report);
    // Runs that are followed here died with it, and are no longer merely broken.
    let (server, incarnation) = (report.server.clone(), report.incarnation);
    tokio::spawn(watch::server_died(Arc::clone(node), server, incarnation));
}
