//! Test records and host tables.

#![allow(dead_code)]

use membership::HostTable;
use protocol::ids::{HostName, Incarnation};
use protocol::message::hosts::{EntryAddresses, HostRecord, HostRole, ServerAddress};
use std::net::{Ipv4Addr, SocketAddr};

/// Returns a host name.
pub fn name(host: &str) -> HostName {
    host.parse().expect("a host name")
}

fn address_of(host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 1, host), port).into()
}

fn record(host: &str, incarnation: u64, role: HostRole) -> HostRecord {
    HostRecord {
        host: name(host),
        incarnation: Incarnation::new(incarnation),
        region: "north".parse().expect("a region"),
        failure_domain: "north-1".parse().expect("a domain"),
        leaving: false,
        refutations: 0,
        suspected_at_ms: None,
        role,
    }
}

/// Returns an entry host's record.
pub fn entry(host: &str, incarnation: u64, address: u8) -> HostRecord {
    let addresses = EntryAddresses {
        callers: address_of(address, 1),
        peers: address_of(address, 2),
        operators: address_of(address, 3),
    };
    record(host, incarnation, HostRole::Entry(addresses))
}

/// Returns a server's record.
pub fn server(host: &str, incarnation: u64, address: u8) -> HostRecord {
    let service = "shades".parse().expect("a service");
    let role = HostRole::Server(ServerAddress { service, address: address_of(address, 4) });
    record(host, incarnation, role)
}

/// Returns a table of an entry host that holds only its own record.
pub fn local_table(host: &str, now_ms: u64) -> HostTable {
    HostTable::new(entry(host, 1, host.as_bytes()[0]), now_ms)
}
