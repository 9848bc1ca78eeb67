//! Chooses the servers that load a weight version next.

use protocol::ids::{HostName, LogOffset, WeightVersion};
use smallvec::SmallVec;

/// The maximum number of servers of a service that load weights at once.
pub const MAX_LOADS: usize = 2;
/// How long a new rollout leader waits for its predecessor's commands to show in the reports of the
/// servers, in milliseconds.
pub const SETTLE_MS: u64 = 3_000;
/// How long a command may take to show in the server's reports, in milliseconds.
pub const COMMAND_REPORT_DELAY_MS: u64 = 5_000;
/// How long to wait for in-flight requests before a server loads, in milliseconds.
pub const DRAIN_TIMEOUT_MS: u64 = 120_000;

/// The rollout leader's view of one service.
#[derive(Clone, Debug)]
pub struct SwapView<'a> {
    /// The target version, from the services text.
    pub target: &'a WeightVersion,
    /// The rollout leader's fencing token.
    pub token: LogOffset,
    /// When this node became rollout leader, by its own clock.
    pub leader_since_ms: u64,
    /// The minimum number of servers that accept requests at any time.
    pub min_serving: usize,
    /// The reachable servers.
    pub servers: &'a [SwapServer],
}

/// One server, by its newest report and the commands of this rollout leader.
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
    /// The number of in-flight requests.
    pub in_flight: u32,
    /// When this rollout leader began to drain the server.
    pub draining_since_ms: Option<u64>,
    /// When this rollout leader last sent the server a load command.
    pub load_sent_at_ms: Option<u64>,
}

/// A command for one step of a swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapCommand {
    /// Stops new requests to a server.
    Drain(HostName),
    /// Makes a server load a version.
    Load(LoadCommand),
    /// Resumes new requests to a server.
    Resume(HostName),
}

/// A command to a server to load a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadCommand {
    /// The server.
    pub host: HostName,
    /// The version.
    pub version: WeightVersion,
    /// The fencing token.
    pub token: LogOffset,
}

/// The commands of one round.
pub type SwapCommands = SmallVec<[SwapCommand; 2 * MAX_LOADS]>;

impl SwapServer {
    fn is_loading(&self, now_ms: u64) -> bool {
        let unreported =
            self.load_sent_at_ms.is_some_and(|at_ms| now_ms < at_ms + COMMAND_REPORT_DELAY_MS);
        self.loading || unreported
    }

    fn is_drained(&self, now_ms: u64) -> bool {
        let timed_out = |since_ms| now_ms >= since_ms + DRAIN_TIMEOUT_MS;
        self.draining_since_ms.is_some_and(|since_ms| self.in_flight == 0 || timed_out(since_ms))
    }

    fn accepts_requests(&self, now_ms: u64) -> bool {
        !self.leaving && !self.is_loading(now_ms) && self.draining_since_ms.is_none()
    }
}

/// Returns the default minimum number of serving servers for a service of the given size.
pub const fn default_min_serving(servers: usize) -> usize {
    let min_serving = servers.saturating_sub(MAX_LOADS);
    if min_serving == 0 && servers > 1 { 1 } else { min_serving }
}

/// Returns the version that new requests are sent with: the one that most serving servers hold.
pub fn request_version<'a>(view: &SwapView<'a>, now_ms: u64) -> &'a WeightVersion {
    let serving: Vec<&SwapServer> =
        view.servers.iter().filter(|server| server.accepts_requests(now_ms)).collect();
    let holders = |version: &WeightVersion| {
        serving.iter().filter(|server| server.version == *version).count()
    };
    let versions = serving.iter().map(|server| &server.version).chain([view.target]);
    versions
        .max_by_key(|version| (holders(version), *version == view.target))
        .unwrap_or(view.target)
}

/// Returns the commands to send now; at most [`MAX_LOADS`] servers drain or load at once.
///
/// A server that a stale command moved to another version counts as not swapped and gets a new
/// command. The same rule therefore repairs servers that ignore fencing tokens.
pub fn next_commands(view: &SwapView<'_>, now_ms: u64) -> SwapCommands {
    let mut commands = SwapCommands::new();
    if now_ms < view.leader_since_ms + SETTLE_MS {
        return commands;
    }
    let staying = || view.servers.iter().filter(|server| !server.leaving);
    let not_loading = || staying().filter(|server| !server.is_loading(now_ms));
    let stale = || not_loading().filter(|server| server.version != *view.target);
    let draining = || stale().filter(|server| server.draining_since_ms.is_some());
    let mut loading = view.servers.iter().filter(|server| server.is_loading(now_ms)).count();
    let mut swapping = loading + draining().count();
    let mut serving = staying().filter(|server| server.accepts_requests(now_ms)).count();

    for server in not_loading().filter(|server| server.version == *view.target) {
        if server.draining_since_ms.is_some() {
            serving += 1;
            commands.push(SwapCommand::Resume(server.host.clone()));
        }
    }
    for server in draining().filter(|server| server.is_drained(now_ms)) {
        if loading < MAX_LOADS {
            loading += 1;
            commands.push(load(view, server));
        }
    }
    let mut next: Vec<&SwapServer> =
        stale().filter(|server| server.draining_since_ms.is_none()).collect();
    next.sort_by_key(|server| (server.in_flight, &server.host));
    for server in next {
        if swapping < MAX_LOADS && serving > view.min_serving {
            swapping += 1;
            serving -= 1;
            commands.push(SwapCommand::Drain(server.host.clone()));
        }
    }
    commands
}

fn load(view: &SwapView<'_>, server: &SwapServer) -> SwapCommand {
    SwapCommand::Load(LoadCommand {
        host: server.host.clone(),
        version: view.target.clone(),
        token: view.token,
    })
}
