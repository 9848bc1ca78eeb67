//! The host table as routing sees it.

use clients::wire::host_list::HostList;
use membership::{EntryHost, HostTable, HostView, Reachability, Source};
use protocol::ids::{FailureDomain, HostName, Incarnation, Region, ServiceName};
use protocol::message::hosts::{HostRecord, HostRole};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A backend server or store host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Server {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    pub(crate) reachability: Reachability,
}

impl Server {
    /// Returns whether the server accepts new requests.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.leaving && self.reachability != Reachability::Unreachable
    }
}

/// The host table, and whether the platform's host list was read.
#[derive(Debug)]
pub(crate) struct Hosts {
    table: HostTable,
    list_read: AtomicBool,
}

impl Hosts {
    /// Creates a table that contains only the local host.
    pub(crate) fn new(local: HostRecord, now_ms: u64) -> Self {
        Self { table: HostTable::new(local, now_ms), list_read: AtomicBool::new(false) }
    }

    /// Returns the table.
    pub(crate) fn table(&self) -> &HostTable {
        &self.table
    }

    /// Returns whether the platform's list or a peer's table was read.
    pub(crate) fn has_hosts(&self, now_ms: u64) -> bool {
        self.list_read.load(Ordering::Relaxed) || self.view(now_ms).servers().next().is_some()
    }

    /// Merges the platform's list.
    pub(crate) fn merge_list(&self, list: HostList, now_ms: u64) {
        let records: Vec<HostRecord> = list.hosts.into_iter().map(HostRecord::from).collect();
        self.table.merge(&records, Source::List, now_ms);
        self.list_read.store(true, Ordering::Relaxed);
    }

    /// Returns the current view of all hosts.
    pub(crate) fn view(&self, now_ms: u64) -> Arc<HostView> {
        self.table.view(now_ms)
    }

    /// Returns the servers of a service, ordered by name.
    pub(crate) fn servers(&self, service: &ServiceName, now_ms: u64) -> Vec<Server> {
        let view = self.view(now_ms);
        let servers = view.services.get(service).into_iter().flatten();
        servers.map(|server| to_server(service, server)).collect()
    }

    /// Returns all servers, ordered by service and name.
    pub(crate) fn all_servers(&self, now_ms: u64) -> Vec<Server> {
        let view = self.view(now_ms);
        let of_service = |(service, servers): (&ServiceName, &Vec<membership::Server>)| {
            let listed = servers.iter().map(|server| to_server(service, server));
            listed.collect::<Vec<Server>>()
        };
        view.services.iter().flat_map(of_service).collect()
    }

    /// Returns a server by name.
    pub(crate) fn server(&self, host: &HostName) -> Option<Server> {
        let record = self.table.record(host)?;
        let HostRole::Server(at) = record.role else {
            return None;
        };
        Some(Server {
            host: record.host,
            incarnation: record.incarnation,
            region: record.region,
            failure_domain: record.failure_domain,
            service: at.service,
            address: at.address,
            leaving: record.leaving,
            reachability: Reachability::Live,
        })
    }

    /// Returns the entry hosts that can be reached, ordered by name.
    pub(crate) fn entry_hosts(&self, now_ms: u64) -> Vec<EntryHost> {
        self.view(now_ms).usable_entry_hosts().cloned().collect()
    }

    /// Records that a call could not reach a server.
    pub(crate) fn observe_failure(&self, server: &Server, now_ms: u64) {
        self.table.observe_failure(&server.host, server.incarnation, now_ms);
    }
}

fn to_server(service: &ServiceName, server: &membership::Server) -> Server {
    Server {
        host: server.host.clone(),
        incarnation: server.incarnation,
        region: server.region.clone(),
        failure_domain: server.failure_domain.clone(),
        service: service.clone(),
        address: server.address,
        leaving: server.leaving,
        reachability: server.reachability,
    }
}
