//! The entry hosts of a site and their daemons' settings.

use super::servers::server_entry;
use crate::scenario::Scenario;
use eyre::Result;
use protocol::ids::Incarnation;
use settings::process::{
    DrainSettings, LimitSettings, ListenSettings, LogLevel, PlacementPolicy, PlatformSettings,
    ProcessSettings,
};
use standins::site::EntryHost;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Number of listeners of an entry host: for callers, peers and operators.
const LISTENERS_PER_HOST: usize = 3;
/// First bytes of the daemons' listen address.
const NETWORK_PREFIX: [u8; 2] = [127, 77];

/// Returns the entry hosts of all failure domains, each with free ports.
///
/// Daemons send their addresses to each other, so relays between them need the ports in advance.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn reserve(scenario: &Scenario) -> Result<Vec<(usize, EntryHost)>> {
    let count: usize = scenario.domains.iter().map(|domain| domain.entry_hosts).sum();
    let addresses = free_addresses(count * LISTENERS_PER_HOST)?;
    let mut addresses = addresses.chunks_exact(LISTENERS_PER_HOST);
    let mut hosts = Vec::new();
    for (domain, plan) in scenario.domains.iter().enumerate() {
        for number in 0..plan.entry_hosts {
            let Some([callers, peers, operators]) = addresses.next() else {
                continue;
            };
            let entry = server_entry(scenario, domain, "entry", number, "entry")?;
            let host = EntryHost {
                host: entry.host,
                incarnation: Incarnation::new(1),
                region: entry.region,
                failure_domain: entry.failure_domain,
                callers: *callers,
                peers: *peers,
                operators: *operators,
            };
            hosts.push((domain, host));
        }
    }
    Ok(hosts)
}

/// Finds free ports at an address that only this process uses, so that no outgoing connection
/// takes them.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let process_address = Ipv4Addr::new(NETWORK_PREFIX[0], NETWORK_PREFIX[1], high, low);
    // All listeners stay open until the last port is found, or the same port could be found twice.
    let listeners = (0..count)
        .map(|_| TcpListener::bind((process_address, 0)))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?)
}

/// Returns the settings of an entry host's daemon.
pub fn daemon_settings(
    host: &EntryHost,
    platform: PlatformSettings,
    address_map: BTreeMap<SocketAddr, SocketAddr>,
    policy: PlacementPolicy,
) -> ProcessSettings {
    let EntryHost { callers, peers, operators, .. } = *host;
    ProcessSettings {
        host: host.host.clone(),
        failure_domain: host.failure_domain.clone(),
        region: host.region.clone(),
        listen: ListenSettings { callers, peers, operators },
        platform,
        seed_peers: Vec::new(),
        address_map,
        limits: LimitSettings::default(),
        drain: DrainSettings::default(),
        policy,
        worker_threads: 2,
        log_level: LogLevel::Off,
        statsd: None,
    }
}
