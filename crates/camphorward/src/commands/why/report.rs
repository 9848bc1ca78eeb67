//! What `camphorward why` prints.

use crate::table::Table;
use protocol::ids::HostName;
use protocol::message::operator::{AttemptExplanation, PlacementExplanation};
use serde::Serialize;
use std::fmt;

/// Holds the explanation of one request.
#[derive(Debug, Serialize)]
pub(super) struct WhyReport {
    /// The explanation.
    #[serde(flatten)]
    pub(super) explanation: PlacementExplanation,
}

impl fmt::Display for WhyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let one = &self.explanation;
        writeln!(f, "request {} of organisation {}", one.request_id, one.organisation)?;
        writeln!(f, "service {} under configuration {}", one.service, one.config_version)?;
        if one.prompt_tokens > 0 {
            let home = one.home.as_ref().map_or("none", HostName::as_str);
            let (tokens, pieces) = (one.prompt_tokens, one.pieces);
            writeln!(f, "prompt of {tokens} tokens in {pieces} whole pieces; home: {home}")?;
        }
        for (index, attempt) in one.attempts.iter().enumerate() {
            write_attempt(f, index + 1, attempt)?;
        }
        writeln!(f, "outcome: {}", outcome(one.outcome.as_deref()))
    }
}

fn write_attempt(
    f: &mut fmt::Formatter<'_>,
    number: usize,
    attempt: &AttemptExplanation,
) -> fmt::Result {
    let server = attempt.server.as_ref().map_or("no server", HostName::as_str);
    let (id, by) = (&attempt.attempt_id, attempt.decided_by.as_str());
    let outcome = outcome(attempt.outcome.as_deref());
    writeln!(f, "\nattempt {number}, {id}: {server}, chosen by {by}; outcome: {outcome}")?;
    if attempt.candidates.is_empty() {
        return Ok(());
    }
    write!(f, "{}", candidate_table(attempt))
}

fn candidate_table(attempt: &AttemptExplanation) -> Table {
    let heads = [
        "SERVER",
        "CACHED PIECES",
        "IMPORTED PIECES",
        "QUEUE MS",
        "IMPORT MS",
        "RECOMPUTE MS",
        "FIRST TOKEN MS",
        "EXCLUDED",
    ];
    let mut table = Table::new(&heads);
    for candidate in &attempt.candidates {
        table.push(vec![
            candidate.server.to_string(),
            candidate.cached_pieces.to_string(),
            candidate.imported_pieces.to_string(),
            candidate.queue_ms.to_string(),
            candidate.import_ms.to_string(),
            candidate.recompute_ms.to_string(),
            candidate.expected_first_token_ms.to_string(),
            candidate.excluded.clone().unwrap_or_default(),
        ]);
    }
    table
}

fn outcome(text: Option<&str>) -> &str {
    text.unwrap_or("still running")
}
