//! Byte budget of the link between regions, divided among the live nodes of a region.

/// The urgency of a transfer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// A caller waits for the transfer.
    Foreground,
    /// The transfer may wait until the link has unused capacity.
    Background,
}

/// The answer to a request to send bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The bytes are counted and may be sent now.
    Now,
    /// The bytes are not counted; the caller retries after a wait.
    Later {
        /// The time until the retry.
        wait_ms: u64,
    },
}

/// The maximum unused budget that accumulates, in milliseconds of the node's share.
const BURST_MS: u64 = 1_000;
/// How far foreground bytes may overdraw the budget, in milliseconds of the node's share.
const OVERDRAFT_MS: u64 = 1_000;
/// The share of the burst that is reserved for foreground bytes.
const FOREGROUND_RESERVE_SHARE: f64 = 0.5;
/// The share of the link's rate that the budget covers; the rest is for protocol headers.
const USABLE_SHARE: f64 = 0.9;
const BITS_PER_BYTE: f64 = 8.0;
const MS_PER_S: f64 = 1_000.0;

/// Holds this node's share of the link's budget.
///
/// Each node takes an equal share by its own count of live nodes, without coordination. While nodes
/// count differently, they overdraw the link or leave a part of it unused.
#[derive(Debug)]
pub struct LinkBudget {
    link_bytes_per_ms: f64,
    live_nodes: u64,
    level_bytes: f64,
    at_ms: u64,
}

impl LinkBudget {
    /// Creates the budget of one of several live nodes, with a full burst.
    pub fn new(link_bits_per_s: u64, live_nodes: u64, now_ms: u64) -> Self {
        let link_bytes_per_ms = link_bits_per_s as f64 * USABLE_SHARE / BITS_PER_BYTE / MS_PER_S;
        let mut budget = Self {
            link_bytes_per_ms,
            live_nodes: live_nodes.max(1),
            level_bytes: 0.0,
            at_ms: now_ms,
        };
        budget.level_bytes = budget.burst_bytes();
        budget
    }

    /// Changes the number of live nodes that share the link.
    pub fn set_live_nodes(&mut self, live_nodes: u64, now_ms: u64) {
        self.refill(now_ms);
        self.live_nodes = live_nodes.max(1);
        self.level_bytes = self.level_bytes.min(self.burst_bytes());
    }

    /// Requests to send bytes.
    ///
    /// A transfer larger than the burst is granted when the full burst is available and leaves the
    /// budget overdrawn; otherwise it could never be sent.
    pub fn take(&mut self, bytes: u64, urgency: Urgency, now_ms: u64) -> Grant {
        self.refill(now_ms);
        let missing_bytes = self.missing_bytes(bytes, urgency);
        if missing_bytes > 0.0 {
            return Grant::Later { wait_ms: self.time_for_ms(missing_bytes) };
        }
        self.level_bytes -= bytes as f64;
        Grant::Now
    }

    /// Returns how long foreground bytes would have to wait now, without counting them.
    pub fn wait_ms(&mut self, bytes: u64, now_ms: u64) -> u64 {
        self.refill(now_ms);
        self.time_for_ms(self.missing_bytes(bytes, Urgency::Foreground))
    }

    /// Returns this node's share of the link, in bits per second.
    pub fn share_bits_per_s(&self) -> u64 {
        (self.share_bytes_per_ms() * BITS_PER_BYTE * MS_PER_S) as u64
    }

    fn missing_bytes(&self, bytes: u64, urgency: Urgency) -> f64 {
        let floor_bytes = match urgency {
            Urgency::Foreground => -(OVERDRAFT_MS as f64) * self.share_bytes_per_ms(),
            Urgency::Background => FOREGROUND_RESERVE_SHARE * self.burst_bytes(),
        };
        let needed_bytes = (floor_bytes + bytes as f64).min(self.burst_bytes());
        needed_bytes - self.level_bytes
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        let refilled = self.level_bytes + elapsed_ms as f64 * self.share_bytes_per_ms();
        self.level_bytes = refilled.min(self.burst_bytes());
    }

    fn share_bytes_per_ms(&self) -> f64 {
        self.link_bytes_per_ms / self.live_nodes as f64
    }

    fn burst_bytes(&self) -> f64 {
        BURST_MS as f64 * self.share_bytes_per_ms()
    }

    fn time_for_ms(&self, bytes: f64) -> u64 {
        (bytes.max(0.0) / self.share_bytes_per_ms()).ceil() as u64
    }
}
