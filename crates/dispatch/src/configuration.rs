//! The configuration in force: routes, services, organisations and limits.

pub mod written;

use crate::blocks::DedicatedOrganisations;
use protocol::ids::{ConfigVersion, FailureDomain, ModelName, OrganisationId, Region, ServiceName};
use protocol::rate::RequestRate;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Whether requests of a route may be retried, and whether their answers are streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: a request may run any number of times.
    Safe,
    /// A request may run once at most.
    Unsafe,
    /// The answer is a stream of events that cannot be resumed.
    Stream,
    /// The answer is a stream of events that may resume on another server after the last complete
    /// event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be retried after it may have run.
    pub const fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of all weights.
    pub weight: u32,
}

/// Describes one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host header that callers send.
    pub authority: String,
    /// The path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// The services that take its requests.
    pub services: SmallVec<[WeightedService; 2]>,
    /// The longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full value, in milliseconds.
    pub objective_ms: u64,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// The maximum number of servers that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The longest gap between events for an answer to count as timely, in milliseconds.
    pub event_gap_ms: Option<u64>,
    /// The regions in which its requests may be served, cached and stored; empty allows all.
    pub allowed_regions: SmallVec<[Region; 2]>,
}

/// Describes the engines behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// The number of requests that a server runs at once.
    pub slots: u32,
    /// The number of tokens that fit a server's memory.
    pub memory_tokens: u64,
    /// The bytes that one token takes in memory and on links.
    pub token_bytes: u64,
    /// The bandwidth of a server's link to other servers, in megabits per second; `None` if blocks
    /// cannot be fetched from servers.
    pub link_mbps: Option<f64>,
    /// The maximum number of concurrent watch calls on a server's cache changes.
    pub max_watchers: u32,
    /// The models that are served.
    pub models: SmallVec<[ModelName; 1]>,
}

/// Describes a block store, which holds cached KV blocks.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockStoreTraits {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The number of tokens that fit its memory.
    pub memory_tokens: u64,
    /// The bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
    /// The fixed delay of each transfer, in milliseconds.
    pub transfer_delay_ms: f64,
    /// The maximum number of concurrent watch calls on its changes.
    pub max_watchers: u32,
}

/// What the servers of a service bear while they are cold, after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTraits {
    /// How long a server stays cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// The requests that a cold server bears.
    pub rate: RequestRate,
}

/// The kind of servers behind a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Servers with a health check only.
    Plain,
    /// Inference engines.
    Engines(EngineTraits),
    /// A block store.
    BlockStore(BlockStoreTraits),
}

/// Describes a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The path of the health check.
    pub health_path: String,
    /// The connections that a server accepts from all callers.
    pub max_connections: u32,
    /// What cold servers bear; `None` if they bear as much as others.
    pub cold: Option<ColdTraits>,
    /// The kind of servers behind it.
    pub kind: ServiceKind,
}

impl Service {
    /// Returns the engines' traits; `None` for other services.
    pub const fn engines(&self) -> Option<&EngineTraits> {
        match &self.kind {
            ServiceKind::Engines(traits) => Some(traits),
            ServiceKind::Plain | ServiceKind::BlockStore(_) => None,
        }
    }

    /// Returns the store's traits; `None` for other services.
    pub const fn block_store(&self) -> Option<&BlockStoreTraits> {
        match &self.kind {
            ServiceKind::BlockStore(traits) => Some(traits),
            ServiceKind::Plain | ServiceKind::Engines(_) => None,
        }
    }
}

/// Describes an organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// A priority that overrides the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached blocks with other organisations.
    pub is_dedicated: bool,
    /// The regions in which its requests may be served, cached and stored; empty allows all.
    pub allowed_regions: SmallVec<[Region; 2]>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request's head.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body.
    pub max_body_bytes: usize,
    /// The longest time a head may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// The longest time a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version; versions increase, with gaps.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: HashMap<ServiceName, Service>,
    /// The organisations by key; `None` if no request needs a key.
    pub organisations_by_key: Option<HashMap<String, Organisation>>,
    /// The organisations that share no cached blocks, with or without a key.
    pub dedicated: DedicatedOrganisations,
    /// The limits on callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Returns the block stores.
    pub fn block_stores(&self) -> impl Iterator<Item = (&ServiceName, &BlockStoreTraits)> {
        self.services.values().filter_map(|service| Some((&service.name, service.block_store()?)))
    }
}
