//! Chooses the peer from which a node pulls a later configuration.
//!
//! List readers read the log. All other nodes receive version numbers on heartbeats and pull the
//! text once.

use membership::{EntryHost, HostView};
use protocol::ids::{ConfigVersion, FailureDomain, HostName};
use protocol::rendezvous;

/// A request to a peer for a later configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PullRequest {
    /// The entry host to pull from.
    pub host: HostName,
    /// The version that the host reported.
    pub version: ConfigVersion,
}

/// The local node, for the choice of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Puller<'a> {
    /// The node's failure domain.
    pub domain: &'a FailureDomain,
    /// The version in force at the node.
    pub version: ConfigVersion,
}

/// Returns the peer to pull from; prefers the latest version, then the same failure domain.
pub fn next_pull(
    puller: Puller<'_>,
    view: &HostView,
    reported: &[(HostName, ConfigVersion)],
    random: u64,
) -> Option<PullRequest> {
    let later = reported.iter().filter(|(_, version)| *version > puller.version);
    let reachable = later.filter_map(|(host, version)| {
        let peer = view.entry_host(host).filter(|peer| peer.is_usable())?;
        Some((peer, *version))
    });
    let preference = |(peer, version): &(&EntryHost, ConfigVersion)| {
        let is_local = peer.failure_domain == *puller.domain;
        (*version, is_local, rendezvous::weight(random, peer.name_digest))
    };
    let (peer, version) = reachable.max_by_key(preference)?;
    Some(PullRequest { host: peer.host.clone(), version })
}
