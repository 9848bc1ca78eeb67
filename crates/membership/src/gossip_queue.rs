//! The queue of gossip updates that have yet to be sent to peers.

use crate::limits::MAX_PENDING_UPDATES;
use protocol::ids::HostName;
use std::collections::BTreeMap;

/// Holds the names of hosts with recently changed records and how often each was sent.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    pending: BTreeMap<HostName, PendingUpdate>,
}

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    send_count: u32,
    urgent: bool,
}

impl GossipQueue {
    /// Adds an update; a further update of a queued host resets its send count.
    ///
    /// A full queue drops updates of further hosts.
    pub fn add(&mut self, host: &HostName, urgent: bool) {
        if self.pending.len() >= MAX_PENDING_UPDATES && !self.pending.contains_key(host) {
            return;
        }
        self.pending.insert(host.clone(), PendingUpdate { send_count: 0, urgent });
    }

    /// Returns whether an urgent update is pending.
    pub fn has_urgent(&self) -> bool {
        self.pending.values().any(|update| update.urgent)
    }

    /// Returns up to `count` hosts whose updates were sent least often, and counts one more send
    /// of each; an update leaves the queue after `max_sends` sends.
    pub fn take(&mut self, count: usize, max_sends: u32) -> Vec<HostName> {
        let mut by_sends: Vec<(u32, HostName)> =
            self.pending.iter().map(|(host, update)| (update.send_count, host.clone())).collect();
        by_sends.sort();
        by_sends.truncate(count);
        by_sends.into_iter().map(|(_, host)| self.count_sent(host, max_sends)).collect()
    }

    fn count_sent(&mut self, host: HostName, max_sends: u32) -> HostName {
        if let Some(update) = self.pending.get_mut(&host) {
            update.send_count += 1;
            if update.send_count >= max_sends {
                self.pending.remove(&host);
            }
        }
        host
    }
}
