//! Asks the entry hosts, of which some are given and the others learnt from them.

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

/// How long one entry host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How many times newly learnt entry hosts are asked for further ones.
const MAX_ROUNDS: usize = 3;

/// Knows some entry hosts.
#[derive(Debug)]
pub(crate) struct Nodes {
    http: Arc<HttpClient>,
    given: Vec<SocketAddr>,
}

/// Holds what one entry host answered.
#[derive(Clone, Debug)]
pub(crate) struct NodeView {
    /// The operators' listener.
    pub(crate) address: SocketAddr,
    /// The host's name, if it or another one told it.
    pub(crate) host: Option<HostName>,
    /// The answer.
    pub(crate) answer: Result<NodeStatus, ClientError>,
}

impl NodeView {
    /// Returns the host's name or else its address.
    pub(crate) fn label(&self) -> String {
        self.host.as_ref().map_or_else(|| self.address.to_string(), ToString::to_string)
    }
}

/// Holds what all entry hosts answered, in the order of their names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Survey {
    /// One entry for each entry host.
    pub(crate) views: Vec<NodeView>,
}

impl Survey {
    /// Returns the answers of the entry hosts that gave one.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = &NodeStatus> {
        self.views.iter().filter_map(|view| view.answer.as_ref().ok())
    }

    /// Returns the entry hosts that did not answer, with the reason.
    pub(crate) fn silent(&self) -> impl Iterator<Item = (&NodeView, &ClientError)> {
        self.views.iter().filter_map(|view| view.answer.as_ref().err().map(|error| (view, error)))
    }

    fn fault(&self) -> CommandError {
        let reasons = self.silent().map(|(view, error)| format!("{}: {error}", view.label()));
        CommandError::Nodes(reasons.collect::<Vec<String>>().join("; "))
    }
}

impl Nodes {
    /// Creates the knowledge of the given entry hosts.
    pub(crate) fn new(http: Arc<HttpClient>, given: Vec<SocketAddr>) -> Self {
        Self { http, given }
    }

    /// Returns whether no entry host is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.given.is_empty()
    }

    /// Asks the given entry hosts, and all those that they list, for their status.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Nodes`] if none answers.
    pub(crate) async fn survey(&self) -> Result<Survey, CommandError> {
        let survey = self.ask_all().await;
        if survey.statuses().next().is_none() {
            return Err(survey.fault());
        }
        Ok(survey)
    }

    /// Asks the given entry hosts, and all those that they list; none of them may answer.
    pub(crate) async fn ask_all(&self) -> Survey {
        let mut views: BTreeMap<SocketAddr, NodeView> = BTreeMap::new();
        let mut next: BTreeMap<SocketAddr, Option<HostName>> =
            self.given.iter().map(|address| (*address, None)).collect();
        for _ in 0..MAX_ROUNDS {
            let asked = next.iter().map(|(address, host)| self.ask_status(*address, host.clone()));
            let answers = join_all(asked).await;
            views.extend(answers.into_iter().map(|view| (view.address, view)));
            next = unasked(&views);
            if next.is_empty() {
                break;
            }
        }
        sort(views)
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

    async fn ask_status(&self, address: SocketAddr, host: Option<HostName>) -> NodeView {
        let answer = self.get::<NodeStatus>(address, "/status").await;
        let host = answer.as_ref().map(|status| status.host.clone()).ok().or(host);
        NodeView { address, host, answer }
    }
}

/// Returns the listed entry hosts that were not asked; one asked under another address counts.
fn unasked(views: &BTreeMap<SocketAddr, NodeView>) -> BTreeMap<SocketAddr, Option<HostName>> {
    let answered: Vec<&NodeStatus> =
        views.values().filter_map(|view| view.answer.as_ref().ok()).collect();
    let listed = answered.iter().flat_map(|status| &status.live_entry_hosts);
    listed
        .filter(|entry| !views.contains_key(&entry.operators))
        .filter(|entry| !answered.iter().any(|status| status.host == entry.host))
        .map(|entry| (entry.operators, Some(entry.host.clone())))
        .collect()
}

fn sort(views: BTreeMap<SocketAddr, NodeView>) -> Survey {
    let mut views: Vec<NodeView> = views.into_values().collect();
    views.sort_by_key(|view| (view.host.is_none(), view.host.clone(), view.address));
    // Two given addresses may lead to one host.
    views.dedup_by(|b, a| a.host.is_some() && a.host == b.host && b.answer.is_ok());
    Survey { views }
}

/// Returns what a refusing entry host said, or the error as it is.
pub(crate) fn explain(error: &ClientError) -> String {
    let ClientError::Refused { body, .. } = error else {
        return error.to_string();
    };
    serde_json::from_str::<OperatorRefusal>(body)
        .map_or_else(|_| error.to_string(), |refusal| refusal.error.message)
}
