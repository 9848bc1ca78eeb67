//! Checks docs/COUNTERS.md against the counters of the code.

use camphorwardd::counters::{Counter, refusal_name, retry_name};
use protocol::error::ErrorKind;

const PAGE: &str = include_str!("../../../docs/COUNTERS.md");

fn row(name: &str, meaning: &str) -> String {
    format!("| `{name}` | {meaning} |")
}

fn expected_rows() -> Vec<String> {
    let plain = Counter::ALL.iter().map(|c| row(c.as_str(), c.description()));
    let refusals = ErrorKind::ALL.iter().map(|k| row(&refusal_name(*k), k.description()));
    let retries = ErrorKind::ALL.iter().map(|k| row(&retry_name(*k), k.description()));
    plain.chain(refusals).chain(retries).collect()
}

#[test]
fn the_page_lists_exactly_the_counters_of_the_code() {
    let listed: Vec<&str> = PAGE.lines().filter(|line| line.starts_with("| `")).collect();
    let expected = expected_rows();
    assert_eq!(listed, expected, "docs/COUNTERS.md should hold:\n{}", expected.join("\n"));
}
