//! Changes that are still to be passed on.

use crate::limits::MAX_RUMOURS;
use protocol::ids::HostName;
use std::collections::BTreeMap;

/// Holds the names of hosts whose records changed lately.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    waiting: BTreeMap<HostName, Rumour>,
}

#[derive(Clone, Copy, Debug)]
struct Rumour {
    sent: u32,
    urgent: bool,
}

impl Rumours {
    /// Adds a change; a later change of the same host starts the count again.
    pub fn add(&mut self, host: &HostName, urgent: bool) {
        if self.waiting.len() >= MAX_RUMOURS && !self.waiting.contains_key(host) {
            return;
        }
        self.waiting.insert(host.clone(), Rumour { sent: 0, urgent });
    }

    /// Returns whether a change is to be passed on out of turn.
    pub fn has_urgent(&self) -> bool {
        self.waiting.values().any(|rumour| rumour.urgent)
    }

    /// Returns the least-sent changes and counts them as sent once more.
    pub fn take(&mut self, count: usize, sends: u32) -> Vec<HostName> {
        let mut order: Vec<(u32, HostName)> =
            self.waiting.iter().map(|(host, rumour)| (rumour.sent, host.clone())).collect();
        order.sort();
        order.truncate(count);
        order.into_iter().map(|(_, host)| self.count_sent(host, sends)).collect()
    }

    fn count_sent(&mut self, host: HostName, sends: u32) -> HostName {
        if let Some(rumour) = self.waiting.get_mut(&host) {
            rumour.sent += 1;
            if rumour.sent >= sends {
                self.waiting.remove(&host);
            }
        }
        host
    }
}
