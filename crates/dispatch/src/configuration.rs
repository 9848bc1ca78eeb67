//! The configuration in force: routes, services, organisations and limits.

use protocol::ids::{ConfigVersion, FailureDomain, ModelName, OrganisationId, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Says what may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run any number of times.
    Safe,
    /// A request may run once at most.
    Unsafe,
    /// The answer is a stream of events that may not be resumed.
    Stream,
    /// The answer is a stream of events that may go on elsewhere after the last whole event.
    ResumableStream,
}

impl RouteKind {
    /// Says whether a request may be sent again after it may have run.
    pub const fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// Says whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// Names a service that takes a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share against the sum of all weights.
    pub weight: u32,
}

/// Describes one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host header that callers send.
    pub authority: String,
    /// The path's beginning, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services that take its requests.
    pub services: SmallVec<[WeightedService; 2]>,
    /// The longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// The greatest number of servers that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The longest pause between events for an answer in time, in milliseconds.
    pub event_gap_ms: Option<u64>,
}

/// Describes the engines behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// The requests that a server runs at once.
    pub slots: u32,
    /// The tokens that fit a server's memory.
    pub memory_tokens: u64,
    /// The bytes that one token takes in memory and on links.
    pub token_bytes: u64,
    /// The bandwidth of a server's link to others, in megabits a second; `None` if parts cannot be
    /// fetched from servers.
    pub link_mbps: Option<f64>,
    /// The calls for changes of its memory that a server holds open at once.
    pub max_watchers: u32,
    /// The models that are served.
    pub models: SmallVec<[ModelName; 1]>,
}

/// Describes a store of kept blocks.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockStoreTraits {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The tokens that fit.
    pub memory_tokens: u64,
    /// Its link's bandwidth, in megabits a second.
    pub link_mbps: f64,
    /// What each transfer waits besides, in milliseconds.
    pub transfer_delay_ms: f64,
    /// The calls for changes that it holds open at once.
    pub max_watchers: u32,
}

/// Says what stands behind a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Servers with a health check and nothing special.
    Plain,
    /// Model engines.
    Engines(EngineTraits),
    /// One store of kept blocks.
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
    /// What stands behind it.
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
    /// A rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no kept blocks with others.
    pub is_dedicated: bool,
}

/// Bounds what callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The greatest size of a request's head.
    pub max_header_bytes: usize,
    /// The greatest size of a request's body.
    pub max_body_bytes: usize,
    /// The longest time a head may take to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// The longest time a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Holds one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version; versions increase in uneven steps.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: HashMap<ServiceName, Service>,
    /// The organisations by key; `None` if no request needs a key.
    pub organisations_by_key: Option<HashMap<String, Organisation>>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Returns the stores of kept blocks.
    pub fn block_stores(&self) -> impl Iterator<Item = (&ServiceName, &BlockStoreTraits)> {
        self.services.values().filter_map(|service| Some((&service.name, service.block_store()?)))
    }
}
