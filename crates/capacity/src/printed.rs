//! Series read from the output of other packages' cost examples.

use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use eyre::{Result, WrapErr};
use std::fs;
use std::path::Path;

const MEMBERSHIP_COMMAND: &str = "cargo run --release -p membership --example membership_cost";
const DISSEMINATION_COMMAND: &str = "cargo run --release -p control --example spread_cost";
const OVERHEAD_COMMAND: &str = "cargo run --release -p camphorwardd --example overhead";
const LEAVES_OUT: &str = "HTTP heads, delay, loss";

/// The column and the rows of an example's output that hold a series.
struct Column {
    description: SeriesDescription,
    file: &'static str,
    /// The word that a row must contain, if any.
    required_word: Option<&'static str>,
    column: usize,
}

const fn membership(id: &'static str, measure: &'static str, column: usize) -> Column {
    let description = SeriesDescription {
        id,
        measure,
        size: "nodes",
        command: MEMBERSHIP_COMMAND,
        leaves_out: LEAVES_OUT,
    };
    Column { description, file: "membership.txt", required_word: None, column }
}

const fn dissemination(
    id: &'static str,
    measure: &'static str,
    method: &'static str,
    column: usize,
) -> Column {
    let description = SeriesDescription {
        id,
        measure,
        size: "nodes",
        command: DISSEMINATION_COMMAND,
        leaves_out: LEAVES_OUT,
    };
    Column { description, file: "spread.txt", required_word: Some(method), column }
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
    dissemination(
        "spread_log_messages",
        "one publication, every node reads the log, messages",
        "log",
        3,
    ),
    dissemination(
        "spread_log",
        "one publication, every node reads the log, MB from the log",
        "log",
        4,
    ),
    dissemination("spread_parents", "one publication, two parents, MB between nodes", "parents", 6),
    dissemination(
        "spread_probes",
        "one publication, versions on heartbeats, MB between nodes",
        "probes",
        6,
    ),
    dissemination(
        "spread_parent_sent",
        "one publication, two parents, MB sent by the busiest",
        "parents",
        7,
    ),
    dissemination("spread_probes_ms", "one publication, versions on heartbeats, ms", "probes", 8),
];

const CPU_BY_ANSWER_TOKENS: SeriesDescription = SeriesDescription {
    id: "daemon",
    measure: "the daemon's processor time a request, us",
    size: "tokens of the answer",
    command: OVERHEAD_COMMAND,
    leaves_out: "TLS; imports and exports; reading 800 servers",
};

const CPU_BY_REQUEST_RATE: SeriesDescription = SeriesDescription {
    id: "daemon_rate",
    measure: "the daemon's processor time with answers of 12 tokens, us/s",
    size: "requests a second",
    command: OVERHEAD_COMMAND,
    leaves_out: CPU_BY_ANSWER_TOKENS.leaves_out,
};

const MEMORY_BY_REQUEST_RATE: SeriesDescription = SeriesDescription {
    id: "daemon_memory",
    measure: "the daemon's resident memory with answers of 12 tokens, KiB",
    size: "requests a second",
    command: OVERHEAD_COMMAND,
    leaves_out: "other nodes, more than four servers, cached blocks",
};

/// Reads all series from the files of a folder.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line can be fitted to its rows.
pub fn read_all(folder: &Path) -> Result<Vec<Series>> {
    let read = |file| fs::read_to_string(folder.join(file)).wrap_err(file);
    let mut series = Vec::new();
    for column in &COLUMNS {
        let points = column.points(&read(column.file)?);
        series.push(column.description.fit(points).wrap_err(column.description.id)?);
    }
    series.push(CPU_BY_ANSWER_TOKENS.fit(cpu_by_answer_tokens(&read("overhead.txt")?))?);
    series.push(CPU_BY_REQUEST_RATE.fit(cpu_by_request_rate(&read("overhead-rates.txt")?))?);
    series.push(MEMORY_BY_REQUEST_RATE.fit(memory_by_request_rate(&read("overhead-rates.txt")?))?);
    Ok(series)
}

impl Column {
    fn points(&self, text: &str) -> Vec<Point> {
        let rows = text.lines().map(words).filter(|row| {
            row.first().is_some_and(|first| first.parse::<f64>().is_ok())
                && self.required_word.is_none_or(|required| row.contains(&required))
        });
        rows.filter_map(|row| Some(Point::new(number(&row, 0)?, number(&row, self.column)?)))
            .collect()
    }
}

/// Reads each run of the overhead example: tokens of an answer, and processor time per request.
pub fn cpu_by_answer_tokens(text: &str) -> Vec<Point> {
    parse_runs(text).into_iter().map(|run| Point::new(run.tokens, run.request_us)).collect()
}

/// Reads each run of the overhead example: requests per second, and processor time per second.
pub fn cpu_by_request_rate(text: &str) -> Vec<Point> {
    let point = |run: Run| Point::new(run.requests_per_s, run.requests_per_s * run.request_us);
    parse_runs(text).into_iter().map(point).collect()
}

/// Reads each run of the overhead example: requests per second, and resident memory in KiB.
pub fn memory_by_request_rate(text: &str) -> Vec<Point> {
    let point = |run: Run| Point::new(run.requests_per_s, run.resident_kib);
    parse_runs(text).into_iter().map(point).collect()
}

/// One run of the overhead example.
#[derive(Clone, Copy)]
struct Run {
    requests_per_s: f64,
    tokens: f64,
    request_us: f64,
    resident_kib: f64,
}

/// Parses the runs, each printed as `requests/s R, tokens/s T`, `daemon: U us a request` and
/// `daemon: resident K KiB`.
fn parse_runs(text: &str) -> Vec<Run> {
    let mut found: Vec<Run> = Vec::new();
    let mut rates = None;
    for row in text.lines().map(words) {
        match row.as_slice() {
            ["requests/s", requests, "tokens/s", tokens] => rates = parse_rates(requests, tokens),
            ["daemon:", us, "us", "a", "request"] => {
                let run = rates.take().zip(us.parse().ok());
                found.extend(run.map(|((requests_per_s, tokens_per_s), request_us)| Run {
                    requests_per_s,
                    tokens: tokens_per_s / requests_per_s,
                    request_us,
                    resident_kib: 0.0,
                }));
            }
            ["daemon:", "resident", kib, "KiB"] => {
                if let (Some(run), Ok(kib)) = (found.last_mut(), kib.parse()) {
                    run.resident_kib = kib;
                }
            }
            _ => {}
        }
    }
    found
}

fn parse_rates(requests: &str, tokens: &str) -> Option<(f64, f64)> {
    requests.trim_end_matches(',').parse().ok().zip(tokens.parse().ok())
}

fn words(line: &str) -> Vec<&str> {
    line.split_whitespace().filter(|field| *field != "|").collect()
}

fn number(row: &[&str], column: usize) -> Option<f64> {
    row.get(column)?.parse().ok()
}
