//! How a request may run, asked before each attempt.

use crate::counters::Counter;
use crate::node::Node;
use crate::quarantine::homes;
use crate::quarantine::isolation::{self, Grant};
use crate::quarantine::messages::{StandingNote, SuspectMessage, SuspectReply};
use crate::reply::Failure;
use crate::run::Job;
use protocol::error::ErrorKind;
use protocol::ids::{AttemptId, HostName};
use protocol::message::suspect::SuspectDigest;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Where an attempt may run.
#[derive(Debug)]
pub(crate) struct Place {
    /// The only server that may be chosen, if there is one.
    pub(crate) only: Option<HostName>,
    /// Holds the server for the attempt alone among suspects.
    _grant: Option<Grant>,
}

impl Place {
    /// Returns the servers that may not be chosen: those given, or all but the only one.
    pub(crate) fn excluded(&self, node: &Node, job: &Job, failed: &[HostName]) -> Vec<HostName> {
        let Some(only) = &self.only else {
            return failed.to_vec();
        };
        let servers = node.hosts.servers(&job.service, node.now_ms()).into_iter();
        servers.map(|server| server.host).filter(|host| host != only).collect()
    }
}

/// Waits until it is known how an attempt may run.
///
/// # Errors
///
/// Returns a failure if the request is refused, or nothing is known before it is given up.
pub(crate) async fn judge(
    node: &Arc<Node>,
    job: &Job,
    attempt_id: &AttemptId,
    failed: &[HostName],
    give_up_at_ms: u64,
) -> Result<Place, Failure> {
    let digest = job.digest();
    while node.now_ms() < give_up_at_ms {
        let wait_ms = match standing(node, &digest, failed).await {
            StandingNote::Clear => return Ok(Place { only: None, _grant: None }),
            StandingNote::Pinned(server) => return Ok(Place { only: Some(server), _grant: None }),
            StandingNote::Refused(retry_after_s) => return Err(refused(retry_after_s)),
            StandingNote::Undecided(wait_ms) => wait_ms,
            StandingNote::Suspect => match isolation::ask(node, job, attempt_id, failed).await {
                Ok(grant) => {
                    node.counters.count(Counter::SuspectsIsolated);
                    return Ok(Place { only: Some(grant.server().clone()), _grant: Some(grant) });
                }
                Err(wait_ms) => wait_ms,
            },
        };
        node.counters.count(Counter::SuspectWaits);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
    let message = "the deadline passed while it was not known whether the request crashes servers";
    Err(Failure::new(ErrorKind::DeadlineExceeded, message))
}

async fn standing(node: &Node, digest: &SuspectDigest, failed: &[HostName]) -> StandingNote {
    let message = SuspectMessage::Ask { digest: *digest, failed: failed.to_vec() };
    for home in homes::homes_before_own(node, digest) {
        if let Some(SuspectReply::Standing(standing)) = homes::ask(node, &home, &message).await {
            return standing;
        }
    }
    standing_here(node, digest, failed)
}

/// Tells what is known here of a request.
pub(super) fn standing_here(
    node: &Node,
    digest: &SuspectDigest,
    failed: &[HostName],
) -> StandingNote {
    let is_gone =
        |server: &HostName| failed.contains(server) || node.placement.is_unreachable(server);
    let contents = &node.quarantine.contents;
    contents.status(digest, is_gone, rand::rng().random(), node.now_ms()).into()
}

fn refused(retry_after_s: Option<u32>) -> Failure {
    let message = "backend servers died while this content ran there; it is refused for a while";
    let failure = Failure::new(ErrorKind::Quarantined, message);
    match retry_after_s {
        Some(seconds) => failure.with_retry_after_s(seconds),
        None => failure,
    }
}
