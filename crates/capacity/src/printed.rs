//! Series read from what the packages' own cost examples print.

use crate::fit::Point;
use crate::report::{About, Series};
use eyre::{Result, WrapErr};
use std::fs;
use std::path::Path;

const MEMBERSHIP: &str = "cargo run --release -p membership --example membership_cost";
const SPREAD: &str = "cargo run --release -p control --example spread_cost";
const OVERHEAD: &str = "cargo run --release -p camphorwardd --example overhead";
const NO_HEADS: &str = "HTTP heads, delay, loss";

/// Says in which column of which rows a series is printed.
struct Column {
    about: About,
    file: &'static str,
    /// The word that a row must hold, if any.
    word: Option<&'static str>,
    column: usize,
}

const fn membership(id: &'static str, measure: &'static str, column: usize) -> Column {
    let about = About { id, measure, size: "nodes", command: MEMBERSHIP, leaves_out: NO_HEADS };
    Column { about, file: "membership.txt", word: None, column }
}

const fn spread(
    id: &'static str,
    measure: &'static str,
    way: &'static str,
    column: usize,
) -> Column {
    let about = About { id, measure, size: "nodes", command: SPREAD, leaves_out: NO_HEADS };
    Column { about, file: "spread.txt", word: Some(way), column }
}

const COLUMNS: [Column; 16] = [
    membership("membership_messages", "probes and exchanges, messages/s a node", 2),
    membership("membership_bytes", "probes and exchanges, bytes/s a node", 3),
    membership("membership_server_probes", "servers probed, 1/s a node", 4),
    membership("membership_cpu", "probes and exchanges, us/s a node", 5),
    membership("membership_memory", "host table, KiB a node", 6),
    membership("leaving", "a leaving host known everywhere, ms", 7),
    membership("rejoin", "a restart until tables agree, KB in all", 8),
    membership("rejoin_ms", "a restart until tables agree, ms", 9),
    membership("domain_lost", "a failure domain known lost everywhere, ms", 10),
    membership("domain_lost_bytes", "until then, bytes/s a node", 11),
    spread("spread_log_messages", "one publication, every node reads the log, messages", "log", 3),
    spread("spread_log", "one publication, every node reads the log, MB from the log", "log", 4),
    spread("spread_parents", "one publication, two parents, MB between nodes", "parents", 6),
    spread(
        "spread_probes",
        "one publication, versions on heartbeats, MB between nodes",
        "probes",
        6,
    ),
    spread(
        "spread_parent_sent",
        "one publication, two parents, MB sent by the busiest",
        "parents",
        7,
    ),
    spread("spread_probes_ms", "one publication, versions on heartbeats, ms", "probes", 8),
];

const OVERHEAD_ABOUT: About = About {
    id: "daemon",
    measure: "the daemon's processor time a request, us",
    size: "tokens of the answer",
    command: OVERHEAD,
    leaves_out: "TLS; imports and exports; reading 800 servers",
};

const RATES_ABOUT: About = About {
    id: "daemon_rate",
    measure: "the daemon's processor time with answers of 12 tokens, us/s",
    size: "requests a second",
    command: OVERHEAD,
    leaves_out: OVERHEAD_ABOUT.leaves_out,
};

const RESIDENT_ABOUT: About = About {
    id: "daemon_memory",
    measure: "the daemon's resident memory with answers of 12 tokens, KiB",
    size: "requests a second",
    command: OVERHEAD,
    leaves_out: "other nodes, more than four servers, kept work",
};

/// Reads all series from a folder.
///
/// # Errors
///
/// Returns an error if a file cannot be read or its rows tell no line.
pub fn all(folder: &Path) -> Result<Vec<Series>> {
    let read = |file| fs::read_to_string(folder.join(file)).wrap_err(file);
    let mut series = Vec::new();
    for column in &COLUMNS {
        let points = column.points(&read(column.file)?);
        series.push(column.about.fit(points).wrap_err(column.about.id)?);
    }
    series.push(OVERHEAD_ABOUT.fit(overhead(&read("overhead.txt")?))?);
    series.push(RATES_ABOUT.fit(overhead_rates(&read("overhead-rates.txt")?))?);
    series.push(RESIDENT_ABOUT.fit(overhead_resident(&read("overhead-rates.txt")?))?);
    Ok(series)
}

impl Column {
    fn points(&self, text: &str) -> Vec<Point> {
        let rows = text.lines().map(words).filter(|row| {
            row.first().is_some_and(|word| word.parse::<f64>().is_ok())
                && self.word.is_none_or(|word| row.contains(&word))
        });
        rows.filter_map(|row| Some(Point::new(number(&row, 0)?, number(&row, self.column)?)))
            .collect()
    }
}

/// Reads from each run of the overhead example the tokens of an answer and the processor time of a
/// request.
pub fn overhead(text: &str) -> Vec<Point> {
    runs(text).into_iter().map(|run| Point::new(run.tokens, run.request_us)).collect()
}

/// Reads from each run of the overhead example the requests a second and the processor time a
/// second.
pub fn overhead_rates(text: &str) -> Vec<Point> {
    let point = |run: Run| Point::new(run.requests_per_s, run.requests_per_s * run.request_us);
    runs(text).into_iter().map(point).collect()
}

/// Reads from each run of the overhead example the requests a second and the resident memory in
/// KiB.
pub fn overhead_resident(text: &str) -> Vec<Point> {
    let point = |run: Run| Point::new(run.requests_per_s, run.resident_kib);
    runs(text).into_iter().map(point).collect()
}

/// Holds one run of the overhead example.
#[derive(Clone, Copy)]
struct Run {
    requests_per_s: f64,
    tokens: f64,
    request_us: f64,
    resident_kib: f64,
}

/// Reads `requests/s R, tokens/s T`, then `daemon: U us a request` and `daemon: resident K KiB`.
fn runs(text: &str) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    let mut rates = None;
    for row in text.lines().map(words) {
        match row.as_slice() {
            ["requests/s", requests, "tokens/s", tokens] => rates = both(requests, tokens),
            ["daemon:", us, "us", "a", "request"] => {
                let run = rates.take().zip(us.parse().ok());
                runs.extend(run.map(|((requests_per_s, tokens_per_s), request_us)| Run {
                    requests_per_s,
                    tokens: tokens_per_s / requests_per_s,
                    request_us,
                    resident_kib: 0.0,
                }));
            }
            ["daemon:", "resident", kib, "KiB"] => {
                if let (Some(run), Ok(kib)) = (runs.last_mut(), kib.parse()) {
                    run.resident_kib = kib;
                }
            }
            _ => {}
        }
    }
    runs
}

fn both(requests: &str, tokens: &str) -> Option<(f64, f64)> {
    requests.trim_end_matches(',').parse().ok().zip(tokens.parse().ok())
}

fn words(line: &str) -> Vec<&str> {
    line.split_whitespace().filter(|word| *word != "|").collect()
}

fn number(row: &[&str], column: usize) -> Option<f64> {
    row.get(column)?.parse().ok()
}
