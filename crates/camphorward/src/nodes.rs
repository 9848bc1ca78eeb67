//! Queries to the entry hosts: the configured ones and those discovered from their answers.

use crate::error::CommandError;
use clients::error::ClientError;
use clients::http::HttpClient;
use futures_util::future::join_all;
use protocol::ids::HostName;
use protocol::message::operator::{NodeStatus, OperatorRefusal};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The timeout for the answer of an entry host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The maximum number of rounds of queries. Each round after the first one queries the entry hosts
/// discovered in the previous round.
const MAX_DISCOVERY_ROUNDS: usize = 3;

/// A client of the entry hosts' operators' listeners.
#[derive(Debug)]
pub(crate) struct NodeClient {
    http: Arc<HttpClient>,
    seeds: Vec<SocketAddr>,
}

/// The answer of an entry host to a status query.
#[derive(Clone, Debug)]
pub(crate) struct NodeView {
    /// The address of its operators' listener.
    pub(crate) address: SocketAddr,
    /// The host's name, if known from its own answer or from another host's list.
    pub(crate) host: Option<HostName>,
    /// The status, or the error of the query.
    pub(crate) answer: Result<NodeStatus, ClientError>,
}

impl NodeView {
    /// Returns the host's name, or its address if the name is unknown.
    pub(crate) fn label(&self) -> String {
        self.host.as_ref().map_or_else(|| self.address.to_string(), ToString::to_string)
    }
}

/// The answers of all entry hosts, sorted by host name.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClusterStatus {
    /// One entry for each entry host.
    pub(crate) views: Vec<NodeView>,
}

impl ClusterStatus {
    /// Returns the statuses of the entry hosts that answered.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = &NodeStatus> {
        self.views.iter().filter_map(|view| view.answer.as_ref().ok())
    }

    /// Returns the entry hosts that did not answer, with the errors.
    pub(crate) fn unreachable(&self) -> impl Iterator<Item = (&NodeView, &ClientError)> {
        self.views.iter().filter_map(|view| view.answer.as_ref().err().map(|error| (view, error)))
    }

    fn to_error(&self) -> CommandError {
        let reasons = self.unreachable().map(|(view, error)| format!("{}: {error}", view.label()));
        CommandError::Nodes(reasons.collect::<Vec<String>>().join("; "))
    }
}

impl NodeClient {
    /// Creates a client that discovers the entry hosts from some seed addresses.
    pub(crate) fn new(http: Arc<HttpClient>, seeds: Vec<SocketAddr>) -> Self {
        Self { http, seeds }
    }

    /// Returns whether there are no seed addresses.
    pub(crate) fn is_empty(&self) -> bool {
        self.seeds.is_empty()
    }

    /// Queries the status of the seed entry hosts and of all entry hosts that they list.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Nodes`] if none answers.
    pub(crate) async fn query_cluster(&self) -> Result<ClusterStatus, CommandError> {
        let cluster = self.query_all().await;
        if cluster.statuses().next().is_none() {
            return Err(cluster.to_error());
        }
        Ok(cluster)
    }

    /// Queries the status of the seed entry hosts and of all entry hosts that they list, even if
    /// none answers.
    pub(crate) async fn query_all(&self) -> ClusterStatus {
        let mut views: BTreeMap<SocketAddr, NodeView> = BTreeMap::new();
        let mut next: BTreeMap<SocketAddr, Option<HostName>> =
            self.seeds.iter().map(|address| (*address, None)).collect();
        for _ in 0..MAX_DISCOVERY_ROUNDS {
            let queries =
                next.iter().map(|(address, host)| self.query_status(*address, host.clone()));
            let answers = join_all(queries).await;
            views.extend(answers.into_iter().map(|view| (view.address, view)));
            next = find_new(&views);
            if next.is_empty() {
                break;
            }
        }
        sort_views(views)
    }

    /// Gets a JSON value from one entry host.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub(crate) async fn get<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<A, ClientError> {
        self.http.get_json(address, path, ANSWER_TIMEOUT).await
    }

    /// Posts an empty body to one entry host and reads its answer.
    ///
    /// # Errors
    ///
    /// Returns any [`ClientError`].
    pub(crate) async fn post<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<A, ClientError> {
        let empty = serde_json::Map::new();
        self.http.post_json(address, path, &empty, ANSWER_TIMEOUT).await
    }

    async fn query_status(&self, address: SocketAddr, host: Option<HostName>) -> NodeView {
        let answer = self.get::<NodeStatus>(address, "/status").await;
        let host = answer.as_ref().map(|status| status.host.clone()).ok().or(host);
        NodeView { address, host, answer }
    }
}

/// Returns the listed entry hosts that were not queried yet, under this or another address.
fn find_new(views: &BTreeMap<SocketAddr, NodeView>) -> BTreeMap<SocketAddr, Option<HostName>> {
    let answered: Vec<&NodeStatus> =
        views.values().filter_map(|view| view.answer.as_ref().ok()).collect();
    let listed = answered.iter().flat_map(|status| &status.live_entry_hosts);
    listed
        .filter(|entry| !views.contains_key(&entry.operators))
        .filter(|entry| !answered.iter().any(|status| status.host == entry.host))
        .map(|entry| (entry.operators, Some(entry.host.clone())))
        .collect()
}

fn sort_views(views: BTreeMap<SocketAddr, NodeView>) -> ClusterStatus {
    let mut views: Vec<NodeView> = views.into_values().collect();
    views.sort_by_key(|view| (view.host.is_none(), view.host.clone(), view.address));
    // Two seed addresses may belong to the same host.
    views.dedup_by(|b, a| a.host.is_some() && a.host == b.host && b.answer.is_ok());
    ClusterStatus { views }
}

/// Returns the message in an entry host's refusal, or the text of any other error.
pub(crate) fn describe_error(error: &ClientError) -> String {
    let ClientError::Refused { body, .. } = error else {
        return error.to_string();
    };
    serde_json::from_str::<OperatorRefusal>(body)
        .map_or_else(|_| error.to_string(), |refusal| refusal.error.message)
}
