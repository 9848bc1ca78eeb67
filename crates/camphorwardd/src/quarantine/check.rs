//! Checks before each attempt how a request may run.

use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::homes;
use crate::quarantine::isolation::{self, Grant};
use crate::quarantine::messages::{StatusMessage, SuspectMessage, SuspectReply};
use crate::reply::Failure;
use crate::run::Job;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, HostName};
use protocol::message::suspect::SuspectDigest;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The constraint on the server of an attempt.
#[derive(Debug)]
pub(crate) struct PlacementConstraint {
    /// The only server that may be chosen, if the choice is restricted.
    pub(crate) required_server: Option<HostName>,
    /// Reserves the server against other suspects for the duration of the attempt.
    _grant: Option<Grant>,
}

impl PlacementConstraint {
    /// Returns the servers that may not be chosen: those that failed, or all but the required one.
    pub(crate) fn excluded(&self, node: &Node, job: &Job, failed: &[HostName]) -> Vec<HostName> {
        let Some(required_server) = &self.required_server else {
            return failed.to_vec();
        };
        let servers = node.hosts.servers(&job.service, node.now_ms()).into_iter();
        servers.map(|server| server.host).filter(|host| host != required_server).collect()
    }
}

/// Waits until it is determined how an attempt may run.
///
/// # Errors
///
/// Returns a failure if the request is refused, or still undecided at `deadline_at_ms`.
pub(crate) async fn check(
    node: &Arc<Node>,
    job: &Job,
    attempt_id: &AttemptId,
    failed: &[HostName],
    deadline_at_ms: u64,
) -> Result<PlacementConstraint, Failure> {
    let digest = job.digest();
    while node.now_ms() < deadline_at_ms {
        let wait_ms = match query_status(node, &digest, failed).await {
            StatusMessage::Clear => {
                return Ok(PlacementConstraint { required_server: None, _grant: None });
            }
            StatusMessage::Pinned(server) => {
                return Ok(PlacementConstraint { required_server: Some(server), _grant: None });
            }
            StatusMessage::Refused(retry_after_s) => return Err(refused(retry_after_s)),
            StatusMessage::Undecided(wait_ms) => wait_ms,
            StatusMessage::Suspect => match isolation::acquire(node, job, attempt_id, failed).await
            {
                Ok(grant) => {
                    node.counters.count(Counter::SuspectsIsolated);
                    return Ok(PlacementConstraint {
                        required_server: Some(grant.server().clone()),
                        _grant: Some(grant),
                    });
                }
                Err(wait_ms) => wait_ms,
            },
        };
        node.counters.count(Counter::SuspectWaits);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
    let message =
        "the deadline passed before it was determined whether the request crashes servers";
    Err(Failure::new(ErrorKind::DeadlineExceeded, message))
}

async fn query_status(node: &Node, digest: &SuspectDigest, failed: &[HostName]) -> StatusMessage {
    let message = SuspectMessage::Query { digest: *digest, failed: failed.to_vec() };
    for home in homes::homes_before_local(node, digest) {
        if let Some(SuspectReply::Status(status)) = homes::query(node, &home, &message).await {
            return status;
        }
    }
    local_status(node, digest, failed)
}

/// Returns the status of a request according to this host.
pub(super) fn local_status(
    node: &Node,
    digest: &SuspectDigest,
    failed: &[HostName],
) -> StatusMessage {
    let is_unavailable =
        |server: &HostName| failed.contains(server) || node.placement.is_unreachable(server);
    let requests = &node.quarantine.requests;
    requests.status(digest, is_unavailable, rand::rng().random(), node.now_ms()).into()
}

fn refused(retry_after_s: Option<u32>) -> Failure {
    let message = "backend servers crashed while running this content; it is refused for a while";
    let failure = Failure::new(ErrorKind::Quarantined, message);
    match retry_after_s {
        Some(seconds) => failure.with_retry_after_s(seconds),
        None => failure,
    }
}
