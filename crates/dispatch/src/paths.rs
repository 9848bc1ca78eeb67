//! The links between this gateway and the servers, as distinct from the servers' own health.
//!
//! Load pattern: a gateway loses its links to all servers, which its peers still reach. Singly, each
//! server looks as if it had failed. A path counts as broken only once a peer has reached the server
//! that this gateway does not reach.

use crate::registry::ServerId;
use protocol::ids::{FailureDomain, HostName};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The number of paths that are found broken in a row from which on all are taken for broken.
const CUT_PATHS: u32 = 2;
/// How long an answer over a new direct connection shows that links work, in milliseconds.
const DIRECT_TTL_MS: u64 = 800;
/// The number of servers that must be reached again, one after another, before those are taken for
/// reachable whose own path was not found broken.
const HEALED_PATHS: u32 = 2;
/// The number of peers that are tried for one connection.
const MAX_PEERS: usize = 3;

/// How to connect to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChoice {
    /// Directly, and through a peer if that fails.
    Direct,
    /// Through a peer.
    Detour {
        /// Connections that have been idle since before this time are probably dead.
        broken_since_ms: u64,
    },
}

/// A change of what is known of the paths.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// Nothing changed.
    Unchanged,
    /// The path to one server is broken.
    Broken,
    /// The paths to all servers are broken.
    CutOff,
    /// The path to one server is restored.
    Restored,
    /// Only the paths that were found broken themselves still count as broken.
    AllRestored,
}

/// A peer that may carry connections.
#[derive(Clone, Copy, Debug)]
pub struct DetourPeer<'a> {
    /// Its host.
    pub host: &'a HostName,
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Its address for calls of peers.
    pub address: SocketAddr,
}

/// The paths to the servers.
#[derive(Debug, Default)]
pub struct Paths {
    broken_since_ms: HashMap<ServerId, u64>,
    cut_since_ms: Option<u64>,
    /// When a server last answered over a new direct connection.
    direct_ms: Option<u64>,
    /// The paths that were found broken since then.
    broken_in_a_row: u32,
    /// The paths that were found restored since one was not.
    healed: u32,
    /// Until when peers carry no connections.
    unavailable_until_ms: HashMap<HostName, u64>,
}

impl Paths {
    /// Creates a table in which all paths are sound.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how to connect to a server.
    pub fn choose(&self, server: &ServerId) -> PathChoice {
        let broken_ms = self.broken_since_ms.get(server).copied();
        let since_ms = match (broken_ms, self.cut_since_ms) {
            (Some(broken_ms), Some(cut_ms)) => Some(broken_ms.min(cut_ms)),
            (broken_ms, cut_ms) => broken_ms.or(cut_ms),
        };
        since_ms
            .map_or(PathChoice::Direct, |broken_since_ms| PathChoice::Detour { broken_since_ms })
    }

    /// Returns whether all paths count as broken.
    pub const fn is_cut_off(&self) -> bool {
        self.cut_since_ms.is_some()
    }

    /// Returns whether any path counts as broken.
    pub fn has_broken(&self) -> bool {
        self.is_cut_off() || !self.broken_since_ms.is_empty()
    }

    /// Returns the servers whose own path is broken.
    pub fn broken(&self) -> impl Iterator<Item = &ServerId> {
        self.broken_since_ms.keys()
    }

    /// Returns whether a server has just answered over a new direct connection.
    pub fn has_direct(&self, now_ms: u64) -> bool {
        self.direct_ms.is_some_and(|direct_ms| now_ms < direct_ms + DIRECT_TTL_MS)
    }

    /// Records an answer over a new direct connection. One over an older connection shows nothing:
    /// open connections may live on while new ones are refused.
    pub fn record_direct(&mut self, now_ms: u64) {
        self.direct_ms = Some(now_ms);
        self.broken_in_a_row = 0;
    }

    /// Records that a peer reached a server which this gateway does not reach.
    pub fn record_broken(&mut self, server: &ServerId, now_ms: u64) -> PathChange {
        self.healed = 0;
        if self.broken_since_ms.contains_key(server) {
            return PathChange::Unchanged;
        }
        self.broken_since_ms.insert(server.clone(), now_ms);
        self.broken_in_a_row += 1;
        if self.broken_in_a_row >= CUT_PATHS && self.cut_since_ms.is_none() {
            self.cut_since_ms = Some(now_ms);
            return PathChange::CutOff;
        }
        PathChange::Broken
    }

    /// Records that a server was reached over a new direct connection.
    pub fn record_restored(&mut self, server: &ServerId) -> PathChange {
        let was_broken = self.broken_since_ms.remove(server).is_some();
        if !self.is_cut_off() {
            return if was_broken { PathChange::Restored } else { PathChange::Unchanged };
        }
        self.healed += 1;
        if self.healed < HEALED_PATHS {
            return if was_broken { PathChange::Restored } else { PathChange::Unchanged };
        }
        self.cut_since_ms = None;
        self.broken_in_a_row = 0;
        self.healed = 0;
        PathChange::AllRestored
    }

    /// Records that a server was not reached over a new direct connection.
    pub fn record_unreached(&mut self) {
        self.healed = 0;
    }

    /// Forgets servers that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&ServerId) -> bool) {
        self.broken_since_ms.retain(|server, _| is_registered(server));
    }

    /// Records that a peer carries no connections for a while.
    pub fn record_unavailable(&mut self, host: &HostName, for_ms: u64, now_ms: u64) {
        self.unavailable_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.unavailable_until_ms.insert(host.clone(), now_ms + for_ms);
    }

    /// Returns the peers to try for a connection: one of this failure domain, then one of each other
    /// domain, as links are lost by domains. `spread` varies the choice.
    pub fn detour_peers<'a>(
        &self,
        peers: &[DetourPeer<'a>],
        local_domain: &FailureDomain,
        spread: u64,
        now_ms: u64,
    ) -> SmallVec<[DetourPeer<'a>; MAX_PEERS]> {
        let is_available = |peer: &&DetourPeer<'_>| {
            let until_ms = self.unavailable_until_ms.get(peer.host);
            until_ms.is_none_or(|until_ms| now_ms >= *until_ms)
        };
        let mut found: Vec<&DetourPeer<'a>> = peers.iter().filter(is_available).collect();
        if !found.is_empty() {
            let first = spread as usize % found.len();
            found.rotate_left(first);
        }
        found.sort_by_key(|peer| peer.domain != local_domain);
        let mut taken: SmallVec<[DetourPeer<'a>; MAX_PEERS]> = SmallVec::new();
        let mut rest: SmallVec<[DetourPeer<'a>; MAX_PEERS]> = SmallVec::new();
        for peer in found {
            let is_new = taken.iter().all(|other| other.domain != peer.domain);
            if is_new { &mut taken } else { &mut rest }.push(*peer);
        }
        taken.extend(rest);
        taken.truncate(MAX_PEERS);
        taken
    }
}
