//! From whom a node takes a later configuration than its own.
//!
//! List readers read the log. All others hear versions on heartbeats and pull the text once.

use membership::{EntryHost, HostView};
use protocol::ids::{ConfigVersion, FailureDomain, HostName};
use protocol::rendezvous;

/// Orders a request for a later configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullOrder {
    /// The entry host to ask.
    pub host: HostName,
    /// The version that the host told.
    pub version: ConfigVersion,
}

/// Names this node for the choice of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Puller<'a> {
    /// The node's failure domain.
    pub domain: &'a FailureDomain,
    /// The version in force at the node.
    pub known: ConfigVersion,
}

/// Returns the peer to pull from: the latest version, the same failure domain first.
pub fn next_pull(
    puller: Puller<'_>,
    view: &HostView,
    told: &[(HostName, ConfigVersion)],
    random: u64,
) -> Option<PullOrder> {
    let later = told.iter().filter(|(_, version)| *version > puller.known);
    let reachable = later.filter_map(|(host, version)| {
        let peer = view.entry_host(host).filter(|peer| peer.is_usable())?;
        Some((peer, *version))
    });
    let preference = |(peer, version): &(&EntryHost, ConfigVersion)| {
        let near = peer.failure_domain == *puller.domain;
        (*version, near, rendezvous::weight(random, peer.name_digest))
    };
    let (peer, version) = reachable.max_by_key(preference)?;
    Some(PullOrder { host: peer.host.clone(), version })
}
