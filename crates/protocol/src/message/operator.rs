//! Bodies of the operators' listener, all JSON.
//!
//! | call | answer |
//! |---|---|
//! | `GET /status` | [`NodeStatus`] |
//! | `GET /counters` | [`Counters`] |
//! | `GET /why/{request_id}` | [`PlacementExplanation`]; 404 if the host remembers no such request |
//! | `POST /drain` | [`DrainAnswer`] |
//!
//! A refusal is a 4xx or 5xx status with [`OperatorRefusal`], the shape that callers get as well.

use crate::ids::{
    AttemptId, ConfigVersion, FailureDomain, HostName, Incarnation, OrganisationId, Region,
    RequestId, ServiceName, WeightVersion,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Describes one entry host as it sees itself and the others.
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
    /// Whether the host takes requests.
    pub ready: bool,
    /// Why the host is not ready.
    #[serde(default)]
    pub not_ready_reason: Option<String>,
    /// Whether the host is draining.
    pub draining: bool,
    /// The configuration in force; zero before the first.
    pub config_version: ConfigVersion,
    /// Requests of callers that have not been answered in full.
    pub requests_in_flight: u64,
    /// The entry hosts that this host believes live, itself included.
    pub live_entry_hosts: Vec<EntryHostStatus>,
    /// The backend servers and store hosts that this host knows of.
    #[serde(default)]
    pub servers: Vec<ServerStatus>,
}

/// Names an entry host and its operators' listener.
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
    /// Whether the host takes work.
    pub state: ServerState,
    /// The weight version that the server reported last, if it runs a model.
    #[serde(default)]
    pub weight_version: Option<WeightVersion>,
    /// Attempts that the server reported as generating.
    #[serde(default)]
    pub running: u32,
    /// Attempts that the server reported as waiting.
    #[serde(default)]
    pub queued: u32,
}

/// Says whether a server takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server takes work.
    Live,
    /// The server finishes what it has and goes.
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

/// Holds every counter of one host by name.
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
    /// The length of the prompt, if there was one.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The whole pieces of the prompt.
    #[serde(default)]
    pub pieces: u64,
    /// The home of the prompt.
    #[serde(default)]
    pub home: Option<HostName>,
    /// The attempts, first attempt first.
    pub attempts: Vec<AttemptExplanation>,
    /// How the request ended, in one word or an error kind; `None` while it runs.
    #[serde(default)]
    pub outcome: Option<String>,
}

/// Explains one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptExplanation {
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The chosen server; `None` if there was none to choose.
    #[serde(default)]
    pub server: Option<HostName>,
    /// Who chose.
    pub decided_by: DecidedBy,
    /// The servers weighed, the cheapest first.
    #[serde(default)]
    pub candidates: Vec<CandidateExplanation>,
    /// How the attempt ended, in one word or an error kind; `None` while it runs.
    #[serde(default)]
    pub outcome: Option<String>,
}

/// Says who chose the server of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecidedBy {
    /// The home of the prompt.
    Home,
    /// The entry host itself, since the home did not answer in time.
    Entry,
    /// A baseline policy of the settings.
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

/// Gives the expected costs of one server for one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateExplanation {
    /// The server.
    pub server: HostName,
    /// The pieces already in the server's memory.
    #[serde(default)]
    pub cached_pieces: u64,
    /// The pieces to be imported from store hosts.
    #[serde(default)]
    pub imported_pieces: u64,
    /// The wait behind earlier attempts, in milliseconds.
    #[serde(default)]
    pub queue_ms: u64,
    /// The imports, in milliseconds.
    #[serde(default)]
    pub import_ms: u64,
    /// The computation of what is missing, in milliseconds.
    #[serde(default)]
    pub recompute_ms: u64,
    /// The expected time to the first token, in milliseconds.
    pub expected_first_token_ms: u64,
    /// Why the server was ruled out, as an error kind or a word; `None` if it was not.
    #[serde(default)]
    pub excluded: Option<String>,
}

/// Answers an order to drain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DrainAnswer {
    /// The host that drains.
    pub host: HostName,
    /// Whether it was draining before.
    pub already_draining: bool,
    /// Requests still to be finished.
    pub requests_in_flight: u64,
    /// How long they may take, in milliseconds.
    pub bound_ms: u64,
}

/// Explains why the operators' listener refused a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorRefusal {
    /// The reason.
    pub error: OperatorError,
}

/// Gives the reason of a refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OperatorError {
    /// The error kind, by its name.
    pub kind: String,
    /// What was wrong.
    pub message: String,
}
