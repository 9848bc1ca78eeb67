//! Choice of the gateway that gathers the load reports of a failure domain: its relay.
//!
//! Load pattern: dozens of gateways of a failure domain report several times a second. If each one
//! reports to all others, their number of messages grows with its square.
//!
//! A gateway reports to the relay whose digests it receives and that cover its own reports, which
//! shows that messages get through both ways. If there is none, the gateways offer themselves one
//! after the other, in the order of their names.

use protocol::ids::HostName;
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// How long a relay's digest counts, in milliseconds; several may be lost in a row.
pub const DIGEST_TTL_MS: u64 = 600;
/// How long a gateway is not covered by any digest before the first one by name offers itself as a
/// relay, in milliseconds.
const PATIENCE_MS: u64 = 600;
/// The addition to that time for each gateway that comes before by name, in milliseconds.
const PATIENCE_MS_PER_RANK: u64 = 60;
/// The rank from which on gateways wait no longer.
const MAX_RANK: u64 = 20;
/// How long a relay gathers reports before it gives way to another one, in milliseconds.
const MIN_TERM_MS: u64 = 1_000;
/// The number of relays to which a gateway reports that none of them covers.
const MAX_RECIPIENTS: usize = 3;

/// What a gateway does with load reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It gathers those of its failure domain.
    Relay,
    /// It sends its own to these gateways.
    Reporter(SmallVec<[HostName; MAX_RECIPIENTS]>),
}

#[derive(Clone, Copy, Debug)]
struct HeardRelay {
    at_ms: u64,
    /// The gateways of the failure domain whose reports its last digest covers.
    members: usize,
    covers_local: bool,
}

/// The relays of a failure domain, as one of its gateways sees them.
#[derive(Debug)]
pub struct RelayChoice {
    local: HostName,
    heard: BTreeMap<HostName, HeardRelay>,
    /// When a digest last covered this gateway's reports; at first the time of the first update.
    covered_ms: Option<u64>,
    relay_since_ms: Option<u64>,
}

impl RelayChoice {
    /// Creates the choice of a gateway that knows of no relay.
    pub const fn new(local: HostName) -> Self {
        Self { local, heard: BTreeMap::new(), covered_ms: None, relay_since_ms: None }
    }

    /// Records a digest of another gateway of the failure domain.
    pub fn record_digest(
        &mut self,
        relay: &HostName,
        members: usize,
        covers_local: bool,
        now_ms: u64,
    ) {
        let heard = HeardRelay { at_ms: now_ms, members, covers_local };
        self.heard.insert(relay.clone(), heard);
        if covers_local {
            self.covered_ms = Some(now_ms);
        }
    }

    /// Returns whether this gateway is a relay.
    pub const fn is_relay(&self) -> bool {
        self.relay_since_ms.is_some()
    }

    /// Returns the relay that covers this gateway's reports; `None` while this gateway is one.
    pub fn relay(&self) -> Option<&HostName> {
        let heard = self.heard.iter().filter(|(_, heard)| heard.covers_local && !self.is_relay());
        heard.max_by_key(|(host, heard)| (heard.members, Reverse(*host))).map(|(host, _)| host)
    }

    /// Determines the role of this gateway. `rank` gateways of the failure domain come before it by
    /// name; as a relay it covers `members`, itself included.
    pub fn update(&mut self, rank: usize, members: usize, now_ms: u64) -> Role {
        self.heard.retain(|_, heard| now_ms < heard.at_ms + DIGEST_TTL_MS);
        let covered_ms = *self.covered_ms.get_or_insert(now_ms);
        match self.relay_since_ms {
            Some(since_ms) => {
                let is_over = now_ms >= since_ms + MIN_TERM_MS;
                if self.outranking(members).any(|heard| is_over || heard.covers_local) {
                    self.relay_since_ms = None;
                    self.covered_ms = Some(now_ms);
                }
            }
            None => {
                let rank = (rank as u64).min(MAX_RANK);
                if now_ms >= covered_ms + PATIENCE_MS + PATIENCE_MS_PER_RANK * rank {
                    self.relay_since_ms = Some(now_ms);
                }
            }
        }
        if self.is_relay() {
            return Role::Relay;
        }
        Role::Reporter(self.recipients())
    }

    /// Returns the relays that receive this gateway's reports: the one that covers them, and the one
    /// that covers the most gateways, as the others will give way to it. All that are known if none
    /// covers them.
    fn recipients(&self) -> SmallVec<[HostName; MAX_RECIPIENTS]> {
        let mut by_members: SmallVec<[(&HostName, &HeardRelay); 4]> = self.heard.iter().collect();
        by_members.sort_by_key(|(host, heard)| (Reverse(heard.members), *host));
        let mut hosts: SmallVec<[HostName; MAX_RECIPIENTS]> =
            by_members.iter().take(MAX_RECIPIENTS).map(|(host, _)| (*host).clone()).collect();
        if let Some(relay) = self.relay() {
            let relay = relay.clone();
            hosts.truncate(1);
            if !hosts.contains(&relay) {
                hosts.push(relay);
            }
        }
        hosts
    }

    /// Returns the other relays that cover more gateways, or as many and come first by name.
    fn outranking(&self, members: usize) -> impl Iterator<Item = &HeardRelay> {
        let outranks = move |(host, heard): &(&HostName, &HeardRelay)| {
            heard.members > members || (heard.members == members && **host < self.local)
        };
        self.heard.iter().filter(outranks).map(|(_, heard)| heard)
    }
}
