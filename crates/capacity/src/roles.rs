//! What each role costs a node at the target size, worked out from the slopes.

use crate::report::Report;
use crate::target as t;
use eyre::Result;

/// How often a daemon reads the load of a server of its own region, a second.
const NEAR_READS_PER_S: f64 = 4.0;
/// How often a daemon reads the load of a server of another region, a second.
const FAR_READS_PER_S: f64 = 0.5;
/// The planned size of one cache event between nodes.
const EVENT_ROW_BYTES: f64 = 40.0;
/// The planned size of one server's load in a digest.
const LOAD_ROW_BYTES: f64 = 12.0;
/// How often a digest of all loads would reach a node, a second.
const LOAD_DIGESTS_PER_S: f64 = 0.25;
/// How often a lease is renewed, a second.
const RENEWALS_PER_S: f64 = 1.0 / 3.0;
/// How often a list reader reads the host list, a second.
const LIST_READS_PER_S: f64 = 1.0;
/// Question, answer, notice and its acknowledgement.
const MESSAGES_A_PLACEMENT: f64 = 4.0;
/// Request and answer for load, and for events.
const MESSAGES_A_SERVER_READ: f64 = 4.0;
/// How often a read of an idle stream of the log is begun, a second.
const LOG_POLLS_PER_S: f64 = 0.5;
/// The nodes that pull from the busiest parent.
const DEPENDERS: f64 = 4.0;
/// Notice, question and answer.
const MESSAGES_A_PULL: f64 = 3.0;
/// The tokens of each answer in the runs at several rates.
const TOKENS_AT_RATES: f64 = 12.0;
const BYTES_PER_KIB: f64 = 1_024.0;

/// Says whether a row belongs to the budget of control, and whether it runs today.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Runs on every node today.
    Today,
    /// Runs today on a few nodes, besides.
    TodaySome,
    /// Would replace a row of today; its rates are a plan.
    Planned,
    /// Grows with requests and tokens, and is no control.
    Requests,
}

/// Holds one line of the page's table.
#[derive(Clone, Debug)]
pub struct Role {
    /// The role.
    pub role: &'static str,
    /// What it keeps.
    pub state: &'static str,
    /// Messages sent and received a second.
    pub messages_per_s: f64,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
    /// What kind of row it is.
    pub kind: Kind,
    /// Processor time, in microseconds a second.
    pub cpu_us_per_s: f64,
    /// Bytes sent and received a second.
    pub bytes_per_s: f64,
    /// Memory.
    pub memory_bytes: f64,
}

/// Works out all rows.
///
/// # Errors
///
/// Returns an error if the report lacks a series.
pub fn roles(report: &Report) -> Result<Vec<Role>> {
    let rows = [entry, idle, data_path, admission, home, place, loads_today, loads_planned];
    let mut roles = rows.iter().map(|row| row(report)).collect::<Result<Vec<_>>>()?;
    let rows = [configuration, orders, list_reader, steward, relay_parent];
    for row in rows {
        roles.push(row(report)?);
    }
    Ok(roles)
}

/// Sums the rows of a kind.
pub fn total(roles: &[Role], kinds: &[Kind], role: &'static str) -> Role {
    let of_kinds = || roles.iter().filter(|role| kinds.contains(&role.kind));
    Role {
        role,
        state: "",
        messages_per_s: of_kinds().map(|role| role.messages_per_s).sum(),
        mechanism: "",
        kind: Kind::Today,
        cpu_us_per_s: of_kinds().map(|role| role.cpu_us_per_s).sum(),
        bytes_per_s: of_kinds().map(|role| role.bytes_per_s).sum(),
        memory_bytes: of_kinds().map(|role| role.memory_bytes).sum(),
    }
}

const fn requests_a_node() -> f64 {
    t::REQUESTS_PER_S / t::NODES
}

fn entry(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "entry: host table",
        state: "350 nodes and 800 servers: incarnation, leaving, reachability",
        messages_per_s: report.measured("membership_messages", t::NODES)?,
        mechanism: "probes of one peer each half second, rumours, exchange of digests (`membership`)",
        kind: Kind::Today,
        cpu_us_per_s: report.measured("membership_cpu", t::NODES)?,
        bytes_per_s: report.measured("membership_bytes", t::NODES)?,
        memory_bytes: report.measured("membership_memory", t::NODES)? * BYTES_PER_KIB,
    })
}

fn idle(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "entry: a daemon at one request a second",
        state: "the process itself",
        messages_per_s: 0.0,
        mechanism: "timers, long polls of the log and the host list, four servers read (`camphorwardd`)",
        kind: Kind::Today,
        cpu_us_per_s: report.measured("daemon_rate", 1.0)?,
        bytes_per_s: 0.0,
        memory_bytes: report.measured("daemon_memory", 1.0)? * BYTES_PER_KIB,
    })
}

fn data_path(report: &Report) -> Result<Role> {
    let token_us = report.slope("daemon")?;
    let request_us = report.slope("daemon_rate")? - TOKENS_AT_RATES * token_us;
    let tokens = t::TOKENS_PER_S / t::NODES;
    Ok(Role {
        role: "entry: requests and tokens",
        state: "a stream a request",
        messages_per_s: tokens,
        mechanism: "one task a request, events passed on as they come (`camphorwardd`)",
        kind: Kind::Requests,
        cpu_us_per_s: request_us * requests_a_node() + token_us * tokens,
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
        kind: Kind::Today,
        cpu_us_per_s: report.measured("admission_judge", t::ORGANISATIONS)? * requests_a_node(),
        bytes_per_s: 0.0,
        memory_bytes: report.measured("admission_memory", t::ORGANISATIONS)? * t::MODELS,
    })
}

fn home(report: &Report) -> Result<Role> {
    let rows = t::PROMPTS * t::PIECES_A_PROMPT * t::REGIONS / t::NODES;
    let choice_us = report.measured("choice", t::SERVERS / t::MODELS)?;
    let update_us = report.slope("index_update")? * t::PIECES_A_PROMPT;
    Ok(Role {
        role: "home: index and choice",
        state: "1/175 of the 4.6 million pieces: each region may know all",
        messages_per_s: 0.0,
        mechanism: "rendezvous hash of the first piece over the region's hosts (`placement`)",
        kind: Kind::Today,
        cpu_us_per_s: (choice_us + update_us) * requests_a_node(),
        bytes_per_s: 0.0,
        memory_bytes: report.slope("index_memory")? * rows,
    })
}

fn place(report: &Report) -> Result<Role> {
    let bytes = report.measured("place_bytes", t::PIECES_A_PROMPT)?;
    Ok(Role {
        role: "home: messages for placement",
        state: "none",
        messages_per_s: 2.0 * MESSAGES_A_PLACEMENT * requests_a_node(),
        mechanism: "one question and one notice a request",
        kind: Kind::Requests,
        cpu_us_per_s: 0.0,
        bytes_per_s: 2.0 * bytes * requests_a_node(),
        memory_bytes: 0.0,
    })
}

fn event_bytes_per_s(report: &Report) -> Result<f64> {
    Ok(report.slope("event_bytes")? * t::EVENTS_A_REQUEST * t::REQUESTS_PER_S)
}

fn loads_today(report: &Report) -> Result<Role> {
    let near = t::SERVERS / t::REGIONS * NEAR_READS_PER_S;
    let far = (t::SERVERS - t::SERVERS / t::REGIONS) * FAR_READS_PER_S;
    // Of a server in another region the load alone is read, which is one of two messages.
    let reads_of_both = near + far / 2.0;
    let events = event_bytes_per_s(report)? / t::REGIONS;
    Ok(Role {
        role: "entry: servers' load and cache events, as today",
        state: "load of 800 servers",
        messages_per_s: reads_of_both * MESSAGES_A_SERVER_READ,
        mechanism: "every daemon reads every server's load, and the events of its region (`follow/servers.rs`)",
        kind: Kind::Today,
        cpu_us_per_s: reads_of_both * report.slope("load_read")?,
        bytes_per_s: (near + far) * report.slope("load_bytes")? + events,
        memory_bytes: 0.0,
    })
}

fn loads_planned(report: &Report) -> Result<Role> {
    let reads = t::SERVERS / t::NODES;
    let events = event_bytes_per_s(report)? / t::NODES;
    let passed_on = t::EVENTS_A_REQUEST * t::REQUESTS_PER_S * EVENT_ROW_BYTES / t::NODES;
    let digests = t::SERVERS / t::REGIONS * LOAD_ROW_BYTES * LOAD_DIGESTS_PER_S;
    Ok(Role {
        role: "watcher: the same, as planned",
        state: "load of the 400 servers of its region",
        messages_per_s: reads * MESSAGES_A_SERVER_READ,
        mechanism: "a server's first watcher reads it each second, passes events to the pieces' homes in 40 bytes, and loads to its region in 12 bytes every 4 s",
        kind: Kind::Planned,
        cpu_us_per_s: reads * report.slope("load_read")?,
        bytes_per_s: reads * report.slope("load_bytes")? + events + 2.0 * passed_on + digests,
        memory_bytes: 0.0,
    })
}

fn configuration(report: &Report) -> Result<Role> {
    let changes = t::CHANGES_A_DAY / t::S_PER_DAY;
    let text_bytes = report.measured("services_bytes", t::ORGANISATIONS)?;
    Ok(Role {
        role: "entry: configuration",
        state: "the text in force and its parsed form",
        messages_per_s: LOG_POLLS_PER_S * 2.0,
        mechanism: "every daemon reads the log and judges each record alike (`control`)",
        kind: Kind::Today,
        cpu_us_per_s: report.measured("services_parse", t::ORGANISATIONS)? * changes,
        bytes_per_s: text_bytes * changes,
        memory_bytes: report.measured("services_memory", t::ORGANISATIONS)? + text_bytes,
    })
}

fn orders(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "committer: orders, at 10 a second in all",
        state: "keys, holders and answers of half an hour",
        messages_per_s: (LOG_POLLS_PER_S + t::ORDER_APPENDS_PER_S / t::NODES) * 2.0,
        mechanism: "every daemon reads the whole stream; the first intent of a key holds it (`orders`)",
        kind: Kind::Today,
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
        kind: Kind::TodaySome,
        cpu_us_per_s: 0.0,
        bytes_per_s: report.at("host_list_bytes", hosts)? * LIST_READS_PER_S,
        memory_bytes: 0.0,
    })
}

fn steward(report: &Report) -> Result<Role> {
    Ok(Role {
        role: "steward, one a model",
        state: "a lease of 15 s",
        messages_per_s: RENEWALS_PER_S * t::MODELS * 2.0,
        mechanism: "lease in the log, renewed each 3 s; the offset is the fencing token (`control`, not in the daemon yet)",
        kind: Kind::Planned,
        cpu_us_per_s: 0.0,
        bytes_per_s: report.slope("lease_bytes")? * RENEWALS_PER_S * t::MODELS,
        memory_bytes: 0.0,
    })
}

fn relay_parent(report: &Report) -> Result<Role> {
    let changes = t::CHANGES_A_DAY / t::S_PER_DAY;
    Ok(Role {
        role: "relay parent, the busiest",
        state: "none besides the configuration",
        messages_per_s: changes * DEPENDERS * MESSAGES_A_PULL,
        mechanism: "two parents a node, up to four dependers a rank (`spread_cost`, not in the daemon)",
        kind: Kind::Planned,
        cpu_us_per_s: 0.0,
        bytes_per_s: report.measured("spread_parent_sent", t::NODES)? * 1e6 * changes,
        memory_bytes: 0.0,
    })
}
