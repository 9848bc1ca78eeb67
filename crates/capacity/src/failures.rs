//! Cost of failures at the target size, computed from the slopes.

use crate::page::number;
use crate::report::Report;
use crate::target as t;
use eyre::Result;
use std::fmt::Write;

const BYTES_PER_KB: f64 = 1e3;
const US_PER_MS: f64 = 1e3;
const S_PER_HOUR: f64 = 3_600.0;
/// Size of one segment's key in a server's snapshot.
const SNAPSHOT_KEY_BYTES: f64 = 67.0;
const TABLE_HEADER: &str = "| failure | what it costs | mechanism |\n|---|---|---|\n";

type Row = fn(&Report) -> Result<[String; 3]>;

const ROWS: [Row; 5] = [restart, daily_restarts, rack, domain, region];

/// Renders the table of failures.
///
/// # Errors
///
/// Returns an error if the report lacks a series.
pub fn table(report: &Report) -> Result<String> {
    let mut table = String::from(TABLE_HEADER);
    for row in ROWS {
        let [failure, cost, mechanism] = row(report)?;
        writeln!(table, "| {failure} | {cost} | {mechanism} |")?;
    }
    Ok(table)
}

/// Returns the KB that a node reads at start-up: services text, orders and server snapshots.
fn start_up_kb(report: &Report) -> Result<[f64; 3]> {
    let text_bytes = report.measured_or_fitted("services_bytes", t::ORGANISATIONS)?;
    let order_bytes = report.slope("orders_bytes")? * t::ORDERS_PER_S * t::ORDER_WINDOW_S;
    let snapshot_bytes =
        t::RETURNING_PROMPTS * t::SEGMENTS_PER_PROMPT * SNAPSHOT_KEY_BYTES / t::REGIONS;
    Ok([text_bytes, order_bytes, snapshot_bytes].map(|bytes| bytes / BYTES_PER_KB))
}

fn restart(report: &Report) -> Result<[String; 3]> {
    let [text_kb, orders_kb, snapshots_kb] = start_up_kb(report)?;
    Ok([
        "one restart".to_owned(),
        format!(
            "all nodes agree again after {} ms, in which all nodes together send {} KB (ordinary probes included); the node reads {} KB of configuration, {} KB of orders (10 per second, half an hour) and, as today, {} KB of snapshots of its region's servers if each returning segment is in one server's memory",
            number(report.measured_or_fitted("rejoin_ms", t::NODES)?),
            number(report.measured_or_fitted("rejoin", t::NODES)?),
            number(text_kb),
            number(orders_kb),
            number(snapshots_kb)
        ),
        "exchange of digests, then of the differing buckets; newest snapshot of the log, then what follows".to_owned(),
    ])
}

fn daily_restarts(report: &Report) -> Result<[String; 3]> {
    let [text_kb, orders_kb, snapshots_kb] = start_up_kb(report)?;
    let per_s = t::RESTARTS_PER_DAY / t::S_PER_DAY / t::NODES * BYTES_PER_KB;
    Ok([
        "98 restarts a day".to_owned(),
        format!(
            "spread over all nodes and the day {} bytes/s a node without snapshots of servers, {} with them",
            number((text_kb + orders_kb) * per_s),
            number((text_kb + orders_kb + snapshots_kb) * per_s)
        ),
        "a leaving host is announced on probes; its homes move by rendezvous hashing, 1 in 350 each"
            .to_owned(),
    ])
}

fn rack(report: &Report) -> Result<[String; 3]> {
    Ok([
        "a rack or switch".to_owned(),
        format!(
            "not measured by itself; a leaving host is known everywhere after {} ms, a whole failure domain is the upper bound",
            number(report.measured_or_fitted("leaving", t::NODES)?)
        ),
        "own probes fail twice, suspicion aloud, unreachable".to_owned(),
    ])
}

fn domain(report: &Report) -> Result<[String; 3]> {
    let rows = t::RETURNING_PROMPTS * t::SEGMENTS_PER_PROMPT / t::NODES;
    Ok([
        "a failure domain".to_owned(),
        format!(
            "all others call its hosts unreachable after {} ms, and until then each node sends {} bytes/s; each node left in the region takes in about {} more rows of the index, {} ms of processor time",
            number(report.measured_or_fitted("domain_lost", t::NODES)?),
            number(report.measured_or_fitted("domain_lost_bytes", t::NODES)?),
            number(rows),
            number(rows * report.slope("index_update")? / US_PER_MS)
        ),
        "homes move to the domain's neighbours in the region; rows come back from the servers that live".to_owned(),
    ])
}

fn region(report: &Report) -> Result<[String; 3]> {
    let [text_kb, ..] = start_up_kb(report)?;
    let missed_order_kb =
        report.slope("orders_bytes")? * t::ORDERS_PER_S * S_PER_HOUR / BYTES_PER_KB;
    let changes = t::CHANGES_PER_DAY / t::S_PER_DAY * S_PER_HOUR;
    Ok([
        "an hour without the other region".to_owned(),
        format!(
            "about {} changes and {} KB of orders (10 a second) are missed on the side without the log; a rejoin reads every missed record, {} KB if all were whole texts, or {} KB if the newest is pulled from a peer. The host tables' part was not measured; the loss of a domain bounds its rate",
            number(changes),
            number(missed_order_kb),
            number(changes * text_kb),
            number(text_kb)
        ),
        "each side keeps the configuration that it has; the log's order judges all records afterwards".to_owned(),
    ])
}
