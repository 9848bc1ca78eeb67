//! Which servers load a weight version next.

use protocol::ids::{HostName, LogOffset, WeightVersion};
use smallvec::SmallVec;

/// The most servers of a service that load weights at once.
pub const MAX_LOADS: usize = 2;
/// How long a new steward waits for its predecessor's orders to show, in milliseconds.
pub const SETTLE_MS: u64 = 3_000;
/// How long an order may take to show in the server's reports, in milliseconds.
pub const ORDER_SHOWS_MS: u64 = 5_000;
/// How long runs under way are waited for before a server loads, in milliseconds.
pub const DRAIN_MS: u64 = 120_000;

/// Describes what the steward knows of one service.
#[derive(Clone, Debug)]
pub struct SwapView<'a> {
    /// The version in the services text.
    pub wanted: &'a WeightVersion,
    /// The steward's fencing token.
    pub token: LogOffset,
    /// Since when this node has been steward, by its own clock.
    pub steward_since_ms: u64,
    /// The least number of servers that take work at any time.
    pub floor: usize,
    /// The servers that can be reached.
    pub servers: &'a [SwapServer],
}

/// Describes one server, by its newest report and this steward's own orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SwapServer {
    /// The server.
    pub host: HostName,
    /// The version in use.
    pub version: WeightVersion,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Whether the server is loading weights.
    pub loading: bool,
    /// The runs under way.
    pub running: u32,
    /// Since when this steward has kept new work away from the server.
    pub draining_since_ms: Option<u64>,
    /// When this steward last ordered the server to load.
    pub ordered_at_ms: Option<u64>,
}

/// Orders one step of a swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOrder {
    /// Keeps new work away from a server.
    Drain(HostName),
    /// Has a server load a version.
    Load(LoadOrder),
    /// Gives new work to a server again.
    Resume(HostName),
}

/// Orders a server to load a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The server.
    pub host: HostName,
    /// The version.
    pub version: WeightVersion,
    /// The fencing token.
    pub token: LogOffset,
}

/// Holds the orders of one round.
pub type SwapOrders = SmallVec<[SwapOrder; 2 * MAX_LOADS]>;

impl SwapServer {
    fn is_loading(&self, now_ms: u64) -> bool {
        let hidden = self.ordered_at_ms.is_some_and(|at_ms| now_ms < at_ms + ORDER_SHOWS_MS);
        self.loading || hidden
    }

    fn is_drained(&self, now_ms: u64) -> bool {
        let waited = |since_ms| now_ms >= since_ms + DRAIN_MS;
        self.draining_since_ms.is_some_and(|since_ms| self.running == 0 || waited(since_ms))
    }

    fn takes_work(&self, now_ms: u64) -> bool {
        !self.leaving && !self.is_loading(now_ms) && self.draining_since_ms.is_none()
    }
}

/// Returns the least number of working servers for a service of some size.
pub const fn default_floor(servers: usize) -> usize {
    let floor = servers.saturating_sub(MAX_LOADS);
    if floor == 0 && servers > 1 { 1 } else { floor }
}

/// Returns the version that new requests name: the one that most working servers hold.
pub fn request_version<'a>(view: &SwapView<'a>, now_ms: u64) -> &'a WeightVersion {
    let working: Vec<&SwapServer> =
        view.servers.iter().filter(|server| server.takes_work(now_ms)).collect();
    let holders = |version: &WeightVersion| {
        working.iter().filter(|server| server.version == *version).count()
    };
    let versions = working.iter().map(|server| &server.version).chain([view.wanted]);
    versions
        .max_by_key(|version| (holders(version), *version == view.wanted))
        .unwrap_or(view.wanted)
}

/// Returns the orders to give now; at most [`MAX_LOADS`] servers drain or load at once.
///
/// A server that some stale order moved to another version counts as not swapped yet and is
/// ordered again, so servers that ignore fencing tokens are repaired by the same rule.
pub fn next_orders(view: &SwapView<'_>, now_ms: u64) -> SwapOrders {
    let mut orders = SwapOrders::new();
    if now_ms < view.steward_since_ms + SETTLE_MS {
        return orders;
    }
    let staying = || view.servers.iter().filter(|server| !server.leaving);
    let idle = || staying().filter(|server| !server.is_loading(now_ms));
    let stale = || idle().filter(|server| server.version != *view.wanted);
    let draining = || stale().filter(|server| server.draining_since_ms.is_some());
    let mut loading = view.servers.iter().filter(|server| server.is_loading(now_ms)).count();
    let mut busy = loading + draining().count();
    let mut working = staying().filter(|server| server.takes_work(now_ms)).count();

    for server in idle().filter(|server| server.version == *view.wanted) {
        if server.draining_since_ms.is_some() {
            working += 1;
            orders.push(SwapOrder::Resume(server.host.clone()));
        }
    }
    for server in draining().filter(|server| server.is_drained(now_ms)) {
        if loading < MAX_LOADS {
            loading += 1;
            orders.push(load(view, server));
        }
    }
    let mut next: Vec<&SwapServer> =
        stale().filter(|server| server.draining_since_ms.is_none()).collect();
    next.sort_by_key(|server| (server.running, &server.host));
    for server in next {
        if busy < MAX_LOADS && working > view.floor {
            busy += 1;
            working -= 1;
            orders.push(SwapOrder::Drain(server.host.clone()));
        }
    }
    orders
}

fn load(view: &SwapView<'_>, server: &SwapServer) -> SwapOrder {
    SwapOrder::Load(LoadOrder {
        host: server.host.clone(),
        version: view.wanted.clone(),
        token: view.token,
    })
}
