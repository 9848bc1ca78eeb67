//! Servers granted to suspects, so that no two suspects run on the same server.

use crate::node::Node;
use crate::quarantine::homes;
use crate::quarantine::messages::{SuspectMessage, SuspectReply};
use crate::run::Job;
use admission::isolation::{GRANT_MS, IsolationTable};
use protocol::ids::{AttemptId, HostName, ServiceName};
use protocol::message::suspect::{IsolateAnswer, IsolateRelease, IsolateRequest};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::AbortHandle;

/// Interval at which a grant is renewed while its attempt runs.
const RENEWAL: Duration = Duration::from_millis(GRANT_MS / 4);
/// Delay before a retry if a service's home does not answer, in milliseconds.
const UNANSWERED_WAIT_MS: u64 = 200;

/// The grants of the services whose home is this host.
#[derive(Debug, Default)]
pub(super) struct Grants {
    tables: Mutex<HashMap<ServiceName, IsolationTable>>,
}

impl Grants {
    /// Grants a server, if one is free.
    pub(super) fn request(&self, request: &IsolateRequest, now_ms: u64) -> IsolateAnswer {
        let mut tables = self.lock();
        let table = tables.entry(request.service.clone());
        table.or_insert_with(|| IsolationTable::new(now_ms)).request(request, now_ms)
    }

    /// Ends a grant.
    pub(super) fn release(&self, release: &IsolateRelease) {
        if let Some(table) = self.lock().get_mut(&release.service) {
            table.release(release);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, IsolationTable>> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A server reserved for one attempt of a suspect; released when dropped.
#[derive(Debug)]
pub(crate) struct Grant {
    node: Arc<Node>,
    request: IsolateRequest,
    server: HostName,
    renewal: AbortHandle,
}

impl Grant {
    /// Returns the server.
    pub(super) fn server(&self) -> &HostName {
        &self.server
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.renewal.abort();
        let release = IsolateRelease {
            service: self.request.service.clone(),
            digest: self.request.digest,
            attempt_id: self.request.attempt_id.clone(),
        };
        tokio::spawn(release_grant(Arc::clone(&self.node), release));
    }
}

/// Requests a server from the service's home.
///
/// # Errors
///
/// Returns the delay before the next request, in milliseconds.
pub(super) async fn acquire(
    node: &Arc<Node>,
    job: &Job,
    attempt_id: &AttemptId,
    failed: &[HostName],
) -> Result<Grant, u64> {
    let request = IsolateRequest {
        service: job.service.clone(),
        digest: job.digest(),
        attempt_id: attempt_id.clone(),
        holds: None,
        preferred: preferred(node, &job.service, failed),
    };
    let server = match request_server(node, &request).await {
        Some(IsolateAnswer::Granted { server }) => server,
        Some(IsolateAnswer::Busy { wait_ms }) => return Err(wait_ms),
        None => return Err(UNANSWERED_WAIT_MS),
    };
    let held = IsolateRequest { holds: Some(server.clone()), ..request.clone() };
    let renewal = tokio::spawn(renew(Arc::clone(node), held)).abort_handle();
    Ok(Grant { node: Arc::clone(node), request, server, renewal })
}

/// Returns the servers that accept requests; those that failed this request come last.
fn preferred(node: &Node, service: &ServiceName, failed: &[HostName]) -> Vec<HostName> {
    let mut servers = node.hosts.servers(service, node.now_ms());
    servers
        .retain(|server| server.accepts_requests() && !node.placement.is_unreachable(&server.host));
    servers.sort_by_key(|server| {
        (failed.contains(&server.host), server.region != node.settings.region)
    });
    servers.into_iter().map(|server| server.host).collect()
}

async fn request_server(node: &Node, request: &IsolateRequest) -> Option<IsolateAnswer> {
    let Some(home) = homes::service_home(node, &request.service) else {
        return Some(node.quarantine.grants.request(request, node.now_ms()));
    };
    match homes::query(node, &home, &SuspectMessage::Isolate(request.clone())).await {
        Some(SuspectReply::Isolation(answer)) => Some(answer),
        _ => None,
    }
}

async fn renew(node: Arc<Node>, request: IsolateRequest) {
    loop {
        tokio::time::sleep(RENEWAL).await;
        // A home that no longer has the grant restores it from `holds`.
        let _ = request_server(&node, &request).await;
    }
}

async fn release_grant(node: Arc<Node>, release: IsolateRelease) {
    match homes::service_home(&node, &release.service) {
        Some(home) => homes::send(&node, &home, &SuspectMessage::Release(release)).await,
        None => node.quarantine.grants.release(&release),
    }
}
