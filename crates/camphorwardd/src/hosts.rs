//! The hosts that this daemon knows of.

use clients::wire::host_list::{HostEntry, HostList, HostRole, HostState};
use protocol::ids::{FailureDomain, HostName, Incarnation, Region, ServiceName};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// Describes one backend server or store host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Server {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
}

/// Describes one entry host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EntryHost {
    pub(crate) host: HostName,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) peers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) leaving: bool,
}

#[derive(Clone, Debug, Default)]
struct View {
    is_known: bool,
    servers: HashMap<HostName, Server>,
    entries: HashMap<HostName, EntryHost>,
}

/// Holds the latest view of the hosts.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    view: RwLock<Arc<View>>,
}

impl Hosts {
    /// Creates an empty view.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns whether any list was read.
    pub(crate) fn is_known(&self) -> bool {
        self.view().is_known
    }

    /// Takes over a list.
    pub(crate) fn update(&self, list: HostList) {
        let mut view = View { is_known: true, ..View::default() };
        for entry in list.hosts {
            add_entry(&mut view, entry);
        }
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Notes that a server itself said that it leaves; that stands until the next list.
    pub(crate) fn note_leaving(&self, host: &HostName, leaving: bool) {
        let current = self.view();
        let known = current.servers.get(host).is_some_and(|server| server.leaving);
        if !leaving || known {
            return;
        }
        let mut view = View::clone(&current);
        if let Some(server) = view.servers.get_mut(host) {
            server.leaving = true;
        }
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    /// Returns the servers of a service, in the order of their names.
    pub(crate) fn servers(&self, service: &ServiceName) -> Vec<Server> {
        let view = self.view();
        let of_service = view.servers.values().filter(|server| server.service == *service);
        let mut servers: Vec<Server> = of_service.cloned().collect();
        servers.sort_by(|a, b| a.host.cmp(&b.host));
        servers
    }

    /// Returns all servers, in the order of their names.
    pub(crate) fn all_servers(&self) -> Vec<Server> {
        let mut servers: Vec<Server> = self.view().servers.values().cloned().collect();
        servers.sort_by(|a, b| a.host.cmp(&b.host));
        servers
    }

    /// Returns a server by name.
    pub(crate) fn server(&self, host: &HostName) -> Option<Server> {
        self.view().servers.get(host).cloned()
    }

    /// Returns the entry hosts, in the order of their names.
    pub(crate) fn entry_hosts(&self) -> Vec<EntryHost> {
        let mut entries: Vec<EntryHost> = self.view().entries.values().cloned().collect();
        entries.sort_by(|a, b| a.host.cmp(&b.host));
        entries
    }

    fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }
}

fn add_entry(view: &mut View, entry: HostEntry) {
    let HostEntry { host, incarnation, region, failure_domain, state, role } = entry;
    let leaving = state == HostState::Leaving;
    match role {
        HostRole::Entry { peers, operators, .. } => {
            let name = host.clone();
            let entry = EntryHost { host, region, failure_domain, peers, operators, leaving };
            view.entries.insert(name, entry);
        }
        HostRole::Server { service, address } => {
            let name = host.clone();
            let server =
                Server { host, incarnation, region, failure_domain, service, address, leaving };
            view.servers.insert(name, server);
        }
    }
}
