//! Cost of each role on a node at the target size, computed from the slopes.

use crate::report::Report;
use crate::target as t;
use eyre::Result;

/// Rate at which a daemon reads the load of a server in its own region.
const LOCAL_READS_PER_S: f64 = 4.0;
/// Rate at which a daemon reads the load of a server in another region.
const REMOTE_READS_PER_S: f64 = 0.5;
/// The planned size of one cache event between nodes.
const EVENT_ROW_BYTES: f64 = 40.0;
/// The planned size of one server's load in a digest.
const LOAD_ROW_BYTES: f64 = 12.0;
/// Planned rate at which a node receives a digest of all loads.
const LOAD_DIGESTS_PER_S: f64 = 0.25;
/// Rate at which a lease is renewed.
const RENEWALS_PER_S: f64 = 1.0 / 3.0;
/// Rate at which a list reader reads the host list.
const LIST_READS_PER_S: f64 = 1.0;
/// Request, answer, notice of completion and its acknowledgement.
const MESSAGES_PER_PLACEMENT: f64 = 4.0;
/// A request and an answer each for load and for events.
const MESSAGES_PER_SERVER_READ: f64 = 4.0;
/// Rate at which a node starts a read of an idle stream of the log.
const LOG_POLLS_PER_S: f64 = 0.5;
/// Number of nodes that pull from the busiest relay parent.
const CHILDREN_OF_BUSIEST_PARENT: f64 = 4.0;
/// Notice, request and answer.
const MESSAGES_PER_PULL: f64 = 3.0;
/// Tokens per answer in the runs at several request rates.
const ANSWER_TOKENS_AT_RATES: f64 = 12.0;
const BYTES_PER_KIB: f64 = 1_024.0;

/// Whether a row counts towards the control budget, and whether it runs today.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowKind {
    /// Runs on every node today.
    Today,
    /// Runs today on a few nodes, in addition to the rows of each node.
    TodaySome,
    /// Would replace a row that runs today; its rates are planned.
    Planned,
    /// Grows with requests and tokens, and does not count as control.
    Requests,
}

/// One row of the table of roles.
#[derive(Clone, Debug)]
pub struct Role {
    /// The name of the role.
    pub role: &'static str,
    /// The state that the role holds.
    pub state: &'static str,
    /// Messages sent and received per second.
    pub messages_per_s: f64,
    /// The mechanism that implements the role.
    pub mechanism: &'static str,
    /// The kind of row.
    pub kind: RowKind,
    /// Processor time, in microseconds per second.
    pub cpu_us_per_s: f64,
    /// Bytes sent and received per second.
    pub bytes_per_s: f64,
    /// Memory of the state.
    pub memory_bytes: f64,
}

/// Computes all rows.
///
/// # Errors
///
/// Returns an error if the report lacks a series.
pub fn roles(report: &Report) -> Result<Vec<Role>> {
    let rows = [
        host_table,
        idle_daemon,
        request_path,
        admission,
        home_index,
        placement_messages,
        loads_today,
        loads_planned,
    ];
    let mut roles = rows.iter().map(|row| row(report)).collect::<Result<Vec<_>>>()?;
    let rows = [configuration, orders, list_reader, rollout_leader, relay_parent];
    for row in rows {
        roles.push(row(report)?);
    }
    Ok(roles)
}

/// Returns the sum of the rows of the given kinds.
pub fn total(roles: &[Role], kinds: &[RowKind], role: &'static str) -> Role {
    let of_kinds = || roles.iter().filter(|role| kinds.contains(&role.kind));
    Role {
        role,
        state: "",
        messages_per_s: of_kinds().map(|role| role.messages_per_s).sum(),
        mechanism: "",
        kind: RowKind::Today,
        cpu_us_per_s: of_kinds().map(|role| role.cpu_us_per_s).sum(),
        bytes_per_s: of_kinds().map(|role| role.bytes_per_s).sum(),
        memory_bytes: of_kinds().map(|role| role.memory_bytes).sum(),
    }
}

const fn requests_per_s_per_node() -> f64 {
    t::REQUESTS_PER_S / t::NODES
}

fn host_table(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "entry: host table",
        state: "350 nodes and 800 servers: incarnation, leaving, reachability",
        messages_per_s: report.measured_or_fitted("membership_messages", t::NODES)?,
        mechanism: "probes of one peer each half second, gossip updates, exchange of digests (`membership`)",
        kind: RowKind::Today,
        cpu_us_per_s: report.measured_or_fitted("membership_cpu", t::NODES)?,
        bytes_per_s: report.measured_or_fitted("membership_bytes", t::NODES)?,
        memory_bytes: report.measured_or_fitted("membership_memory", t::NODES)? * BYTES_PER_KIB,
    })
}

fn idle_daemon(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "entry: a daemon at one request a second",
        state: "the process itself",
        messages_per_s: 0.0,
        mechanism: "timers, long polls of the log and the host list, four servers read (`camphorwardd`)",
        kind: RowKind::Today,
        cpu_us_per_s: report.measured_or_fitted("daemon_rate", 1.0)?,
        bytes_per_s: 0.0,
        memory_bytes: report.measured_or_fitted("daemon_memory", 1.0)? * BYTES_PER_KIB,
    })
}

fn request_path(report: &Report) -> Result<Role> {
    let token_us = report.slope("daemon")?;
    let request_us = report.slope("daemon_rate")? - ANSWER_TOKENS_AT_RATES * token_us;
    let tokens = t::TOKENS_PER_S / t::NODES;
    Ok(Role {
        role: "entry: requests and tokens",
        state: "a stream a request",
        messages_per_s: tokens,
        mechanism: "one task a request, events passed on as they come (`camphorwardd`)",
        kind: RowKind::Requests,
        cpu_us_per_s: request_us * requests_per_s_per_node() + token_us * tokens,
        bytes_per_s: 0.0,
        memory_bytes: 0.0,
    })
}

fn admission(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "entry: admission",
        state: "shares and retry budgets of 2,800 organisations on 8 services",
        messages_per_s: 0.0,
        mechanism: "gate and retry budgets for each organisation and service (`admission`)",
        kind: RowKind::Today,
        cpu_us_per_s: report.measured_or_fitted("admission_judge", t::ORGANISATIONS)?
            * requests_per_s_per_node(),
        bytes_per_s: 0.0,
        memory_bytes: report.measured_or_fitted("admission_memory", t::ORGANISATIONS)? * t::MODELS,
    })
}

fn home_index(report: &Report) -> Result<Role> {
    let rows = t::RETURNING_PROMPTS * t::SEGMENTS_PER_PROMPT * t::REGIONS / t::NODES;
    let choice_us = report.measured_or_fitted("choice", t::SERVERS / t::MODELS)?;
    let update_us = report.slope("index_update")? * t::SEGMENTS_PER_PROMPT;
    Ok(Role {
        role: "home: index and choice",
        state: "1/175 of the 4.6 million segments: each region may hold all",
        messages_per_s: 0.0,
        mechanism: "rendezvous hash of the first segment over the region's hosts (`placement`)",
        kind: RowKind::Today,
        cpu_us_per_s: (choice_us + update_us) * requests_per_s_per_node(),
        bytes_per_s: 0.0,
        memory_bytes: report.slope("index_memory")? * rows,
    })
}

fn placement_messages(report: &Report) -> Result<Role> {
    let bytes = report.measured_or_fitted("place_bytes", t::SEGMENTS_PER_PROMPT)?;
    Ok(Role {
        role: "home: messages for placement",
        state: "none",
        messages_per_s: 2.0 * MESSAGES_PER_PLACEMENT * requests_per_s_per_node(),
        mechanism: "one question and one notice a request",
        kind: RowKind::Requests,
        cpu_us_per_s: 0.0,
        bytes_per_s: 2.0 * bytes * requests_per_s_per_node(),
        memory_bytes: 0.0,
    })
}

fn event_bytes_per_s(report: &Report) -> Result<f64> {
    Ok(report.slope("event_bytes")? * t::EVENTS_PER_REQUEST * t::REQUESTS_PER_S)
}

fn loads_today(report: &Report) -> Result<Role> {
    let local = t::SERVERS / t::REGIONS * LOCAL_READS_PER_S;
    let remote = (t::SERVERS - t::SERVERS / t::REGIONS) * REMOTE_READS_PER_S;
    // Only the load is read from a server in another region, not its events: half of a full read.
    let full_reads = local + remote / 2.0;
    let events = event_bytes_per_s(report)? / t::REGIONS;
    Ok(Role {
        role: "entry: servers' load and cache events, as today",
        state: "load of 800 servers",
        messages_per_s: full_reads * MESSAGES_PER_SERVER_READ,
        mechanism: "every daemon reads every server's load, and the events of its region (`follow/servers.rs`)",
        kind: RowKind::Today,
        cpu_us_per_s: full_reads * report.slope("load_read")?,
        bytes_per_s: (local + remote) * report.slope("load_bytes")? + events,
        memory_bytes: 0.0,
    })
}

fn loads_planned(report: &Report) -> Result<Role> {
    let reads = t::SERVERS / t::NODES;
    let events = event_bytes_per_s(report)? / t::NODES;
    let forwarded = t::EVENTS_PER_REQUEST * t::REQUESTS_PER_S * EVENT_ROW_BYTES / t::NODES;
    let digests = t::SERVERS / t::REGIONS * LOAD_ROW_BYTES * LOAD_DIGESTS_PER_S;
    Ok(Role {
        role: "watcher: the same, as planned",
        state: "load of the 400 servers of its region",
        messages_per_s: reads * MESSAGES_PER_SERVER_READ,
        mechanism: "a server's first watcher reads it each second, passes events to the segments' homes in 40 bytes, and loads to its region in 12 bytes every 4 s",
        kind: RowKind::Planned,
        cpu_us_per_s: reads * report.slope("load_read")?,
        bytes_per_s: reads * report.slope("load_bytes")? + events + 2.0 * forwarded + digests,
        memory_bytes: 0.0,
    })
}

fn configuration(report: &Report) -> Result<Role> {
    let changes = t::CHANGES_PER_DAY / t::S_PER_DAY;
    let text_bytes = report.measured_or_fitted("services_bytes", t::ORGANISATIONS)?;
    Ok(Role {
        role: "entry: configuration",
        state: "the text in force and its parsed form",
        messages_per_s: LOG_POLLS_PER_S * 2.0,
        mechanism: "every daemon reads the log and judges each record alike (`control`)",
        kind: RowKind::Today,
        cpu_us_per_s: report.measured_or_fitted("services_parse", t::ORGANISATIONS)? * changes,
        bytes_per_s: text_bytes * changes,
        memory_bytes: report.measured_or_fitted("services_memory", t::ORGANISATIONS)? + text_bytes,
    })
}

fn orders(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "committer: orders, at 10 a second in all",
        state: "keys, holders and answers of half an hour",
        messages_per_s: (LOG_POLLS_PER_S + t::ORDER_APPENDS_PER_S / t::NODES) * 2.0,
        mechanism: "every daemon reads the whole stream; the first intent of a key holds it (`orders`)",
        kind: RowKind::Today,
        cpu_us_per_s: report.slope("orders_apply")? * t::ORDERS_PER_S,
        bytes_per_s: report.slope("orders_bytes")? * t::ORDERS_PER_S,
        memory_bytes: report.slope("orders_memory")? * t::ORDERS_PER_S * t::ORDER_WINDOW_S,
    })
}

fn list_reader(report: &Report) -> Result<Role> {
    let hosts = t::NODES + t::SERVERS;
    Ok(Role {
        role: "list reader, two a failure domain",
        state: "none besides the host table",
        messages_per_s: LIST_READS_PER_S * 2.0,
        mechanism: "rendezvous winners of the domain read the platform's list each second (`membership`)",
        kind: RowKind::TodaySome,
        cpu_us_per_s: 0.0,
        bytes_per_s: report.fitted("host_list_bytes", hosts)? * LIST_READS_PER_S,
        memory_bytes: 0.0,
    })
}

fn rollout_leader(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "rollout leader, one per model",
        state: "a lease of 15 s",
        messages_per_s: RENEWALS_PER_S * t::MODELS * 2.0,
        mechanism: "lease in the log, renewed each 3 s; the offset is the fencing token (`control`, not in the daemon yet)",
        kind: RowKind::Planned,
        cpu_us_per_s: 0.0,
        bytes_per_s: report.slope("lease_bytes")? * RENEWALS_PER_S * t::MODELS,
        memory_bytes: 0.0,
    })
}

fn relay_parent(report: &Report) -> Result<Role> {
    let changes = t::CHANGES_PER_DAY / t::S_PER_DAY;
    Ok(Role {
        role: "relay parent, the busiest",
        state: "none besides the configuration",
        messages_per_s: changes * CHILDREN_OF_BUSIEST_PARENT * MESSAGES_PER_PULL,
        mechanism: "two parents a node, up to four dependers a rank (`spread_cost`, not in the daemon)",
        kind: RowKind::Planned,
        cpu_us_per_s: 0.0,
        bytes_per_s: report.measured_or_fitted("spread_parent_sent", t::NODES)? * 1e6 * changes,
        memory_bytes: 0.0,
    })
}
