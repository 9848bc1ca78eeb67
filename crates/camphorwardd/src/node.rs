//! State shared by all parts of one daemon.

use crate::admission_state::AdmissionState;
use crate::clock::Clock;
use crate::configuration::ConfigState;
use crate::counters::Counters;
use crate::directory::Directory;
use crate::explain::Explanations;
use crate::hosts::Hosts;
use crate::in_flight::InFlightRequests;
use crate::orders::Orders;
use crate::placement_state::PlacementState;
use crate::quarantine::QuarantineState;
use clients::engine::EngineClient;
use clients::host_list::HostListClient;
use clients::http::HttpClient;
use clients::log::LogClient;
use clients::peer::PeerClient;
use clients::store::StoreClient;
use gotham::state::StateData;
use orders::record::Owner;
use protocol::ids::Incarnation;
use protocol::message::hosts::{EntryAddresses, HostRecord, HostRole};
use settings::process::ProcessSettings;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::sync::Arc;

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct BoundAddresses {
    /// The callers' listener.
    pub callers: SocketAddr,
    /// The peers' listener, for other entry hosts.
    pub peers: SocketAddr,
    /// The operators' listener.
    pub operators: SocketAddr,
}

/// The clients of the platform, the peers and the backend servers.
#[derive(Debug)]
pub(crate) struct Clients {
    pub(crate) http: Arc<HttpClient>,
    pub(crate) fresh_http: Arc<HttpClient>,
    pub(crate) engine: EngineClient,
    pub(crate) store: StoreClient,
    pub(crate) peer: PeerClient,
    pub(crate) log: LogClient,
    pub(crate) host_list: HostListClient,
}

impl Clients {
    fn new(settings: &ProcessSettings) -> Self {
        let new_http = || HttpClient::new().with_address_map(settings.address_map.clone());
        let http = Arc::new(new_http());
        let platform = &settings.platform;
        Self {
            fresh_http: Arc::new(new_http().with_fresh_connections()),
            engine: EngineClient::new(Arc::clone(&http)),
            store: StoreClient::new(Arc::clone(&http)),
            peer: PeerClient::new(Arc::clone(&http)),
            log: LogClient::new(Arc::clone(&http), platform.log),
            host_list: HostListClient::new(Arc::clone(&http), platform.host_list),
            http,
        }
    }
}

/// The state of one daemon.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: ProcessSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) addresses: BoundAddresses,
    pub(crate) counters: Arc<Counters>,
    pub(crate) clients: Clients,
    pub(crate) in_flight: InFlightRequests,
    pub(crate) explanations: Explanations,
    pub(crate) hosts: Hosts,
    pub(crate) placement: PlacementState,
    pub(crate) admission: AdmissionState,
    pub(crate) quarantine: QuarantineState,
    pub(crate) orders: Orders,
    pub(crate) configuration: ConfigState,
    clock: Clock,
}

impl Node {
    /// Creates the state of a daemon that listens on the given addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened for the counters.
    pub(crate) fn new(
        settings: ProcessSettings,
        incarnation: Incarnation,
        addresses: BoundAddresses,
    ) -> std::io::Result<Self> {
        let clock = Clock::new();
        let owner = Owner { host: settings.host.clone(), incarnation };
        let local = local_record(&settings, incarnation, &addresses);
        Ok(Self {
            counters: Arc::new(Counters::new(settings.statsd)?),
            clients: Clients::new(&settings),
            in_flight: InFlightRequests::new(),
            explanations: Explanations::new(),
            hosts: Hosts::new(local, clock.now_ms()),
            placement: PlacementState::new(),
            admission: AdmissionState::new(),
            quarantine: QuarantineState::new(),
            orders: Orders::new(&settings.platform, owner, clock.now_ms()),
            configuration: ConfigState::new(),
            clock,
            settings,
            incarnation,
            addresses,
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        self.configuration.directory()
    }

    /// Returns the milliseconds since the epoch; never goes backwards.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Starts draining and publishes it to the other hosts; returns whether the host already was
    /// draining.
    pub(crate) fn start_drain(&self) -> bool {
        self.hosts.table().set_draining(self.now_ms());
        self.in_flight.start_drain()
    }

    /// Returns the reason why the host is not ready, if it is not.
    pub(crate) fn not_ready_reason(&self) -> Option<String> {
        if self.in_flight.is_draining() {
            return Some("draining".to_owned());
        }
        self.missing_prerequisite()
    }

    /// Returns the prerequisite for serving requests that the host is missing, if any.
    pub(crate) fn missing_prerequisite(&self) -> Option<String> {
        let missing = self.configuration.missing_reason();
        if missing.is_some() {
            return missing;
        }
        let has_hosts = self.hosts.has_hosts(self.now_ms());
        (!has_hosts).then(|| "no host list read yet from the platform or a peer".to_owned())
    }
}

fn local_record(
    settings: &ProcessSettings,
    incarnation: Incarnation,
    addresses: &BoundAddresses,
) -> HostRecord {
    let BoundAddresses { callers, peers, operators } = *addresses;
    HostRecord {
        host: settings.host.clone(),
        incarnation,
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        leaving: false,
        refutations: 0,
        suspected_at_ms: None,
        role: HostRole::Entry(EntryAddresses { callers, peers, operators }),
    }
}

/// Passes the node to the handlers of a request.
#[derive(Clone)]
pub(crate) struct NodeHandle(Arc<Node>);

impl NodeHandle {
    /// Wraps the node.
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self(node)
    }

    /// Returns the node.
    pub(crate) fn node(&self) -> Arc<Node> {
        Arc::clone(&self.0)
    }
}

impl StateData for NodeHandle {}

// Every lock in the node ignores poisoning, so a panic leaves no state unusable.
impl RefUnwindSafe for NodeHandle {}
