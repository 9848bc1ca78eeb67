//! JSON bodies of the operators' listener.
//!
//! | call | answer |
//! |---|---|
//! | `GET /status` | [`NodeStatus`] |
//! | `GET /counters` | [`Counters`] |
//! | `GET /why/{request_id}` | [`PlacementExplanation`]; 404 if the host has no record of it |
//! | `POST /drain` | [`DrainAnswer`] |
//!
//! A refusal is a 4xx or 5xx status with [`OperatorRefusal`], the format that callers also receive.

use crate::ids::{
    AttemptId, ConfigVersion, FailureDomain, HostName, Incarnation, OrganisationId, Region,
    RequestId, ServiceName, WeightVersion,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Describes one entry host and its view of the other hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeStatus {
    /// The host.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The host's region.
    pub region: Region,
    /// Whether the host accepts requests.
    pub ready: bool,
    /// The reason why the host is not ready.
    #[serde(default)]
    pub not_ready_reason: Option<String>,
    /// Whether the host is draining.
    pub draining: bool,
    /// The version of the configuration in force; zero before the first one.
    pub config_version: ConfigVersion,
    /// The number of callers' requests that are not answered completely.
    pub requests_in_flight: u64,
    /// The entry hosts that this host considers live, including itself.
    pub live_entry_hosts: Vec<EntryHostStatus>,
    /// The backend servers and store hosts that are known to this host.
    #[serde(default)]
    pub servers: Vec<ServerStatus>,
}

/// Describes an entry host and its operators' listener.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHostStatus {
    /// The host.
    pub host: HostName,
    /// The operators' listener.
    pub operators: SocketAddr,
    /// The host's failure domain, if known.
    #[serde(default)]
    pub failure_domain: Option<FailureDomain>,
}

/// Describes one backend server or store host as an entry host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The host.
    pub host: HostName,
    /// The service that runs on it.
    pub service: ServiceName,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The host's incarnation.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Whether the host accepts requests.
    pub state: ServerState,
    /// The weight version in the last report of the server, if it runs a model.
    #[serde(default)]
    pub weight_version: Option<WeightVersion>,
    /// The number of generating attempts in the last report of the server.
    #[serde(default)]
    pub running: u32,
    /// The number of queued attempts in the last report of the server.
    #[serde(default)]
    pub queued: u32,
}

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts requests.
    Live,
    /// The server completes its attempts and then leaves.
    Leaving,
    /// The server does not answer.
    Unreachable,
}

impl ServerState {
    /// Returns the name used in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Holds all counters of one host by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Counters {
    /// The value of each counter since the process started.
    pub values: BTreeMap<String, u64>,
}

/// Explains how one request was placed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementExplanation {
    /// The request.
    pub request_id: RequestId,
    /// The organisation that sent it.
    pub organisation: OrganisationId,
    /// The service that it was for.
    pub service: ServiceName,
    /// The configuration under which it was placed.
    #[serde(default)]
    pub config_version: ConfigVersion,
    /// The length of the prompt in tokens, if there was one.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The number of full segments of the prompt.
    #[serde(default)]
    pub pieces: u64,
    /// The home of the prompt.
    #[serde(default)]
    pub home: Option<HostName>,
    /// The attempts in the order of their start.
    pub attempts: Vec<AttemptExplanation>,
    /// The outcome of the request, as one word or an error kind; `None` while it runs.
    #[serde(default)]
    pub outcome: Option<String>,
}

/// Explains one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptExplanation {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The chosen server; `None` if there was no candidate.
    #[serde(default)]
    pub server: Option<HostName>,
    /// What chose the server.
    pub decided_by: DecidedBy,
    /// The servers compared, in order of increasing cost.
    #[serde(default)]
    pub candidates: Vec<CandidateExplanation>,
    /// The outcome of the attempt, as one word or an error kind; `None` while it runs.
    #[serde(default)]
    pub outcome: Option<String>,
}

/// What chose the server of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecidedBy {
    /// The home of the prompt.
    Home,
    /// The entry host, as the home did not answer in time.
    Entry,
    /// A baseline policy from the settings.
    Baseline,
}

impl DecidedBy {
    /// Returns the name used in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Entry => "entry",
            Self::Baseline => "baseline",
        }
    }
}

/// The expected costs of one server for one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateExplanation {
    /// The server.
    pub server: HostName,
    /// The number of segments whose KV blocks are in the server's memory.
    #[serde(default)]
    pub cached_pieces: u64,
    /// The number of segments whose KV blocks are to be imported from store hosts.
    #[serde(default)]
    pub imported_pieces: u64,
    /// The queueing time behind earlier attempts, in milliseconds.
    #[serde(default)]
    pub queue_ms: u64,
    /// The time for the imports, in milliseconds.
    #[serde(default)]
    pub import_ms: u64,
    /// The time to prefill the uncached tokens, in milliseconds.
    #[serde(default)]
    pub recompute_ms: u64,
    /// The expected time to first token, in milliseconds.
    pub expected_first_token_ms: u64,
    /// The reason why the server was excluded, as an error kind or a word; `None` if it was not.
    #[serde(default)]
    pub excluded: Option<String>,
}

/// Answers a request to drain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DrainAnswer {
    /// The draining host.
    pub host: HostName,
    /// Whether the host was already draining.
    pub already_draining: bool,
    /// The number of requests in flight.
    pub requests_in_flight: u64,
    /// The time limit for these requests, in milliseconds.
    pub bound_ms: u64,
}

/// The body of a refusal by the operators' listener.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorRefusal {
    /// The reason.
    pub error: OperatorError,
}

/// The reason of a refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorError {
    /// The error kind, by its name.
    pub kind: String,
    /// A description of the problem.
    pub message: String,
}
