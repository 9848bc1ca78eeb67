//! Output of `camphorward why`.

use crate::table::Table;
use protocol::ids::HostName;
use protocol::message::operator::{AttemptExplanation, PlacementExplanation};
use serde::Serialize;
use std::fmt;

/// The placement of a request.
#[derive(Debug, Serialize)]
pub(super) struct WhyReport {
    /// The explanation.
    #[serde(flatten)]
    pub(super) explanation: PlacementExplanation,
}

impl fmt::Display for WhyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let explanation = &self.explanation;
        writeln!(
            f,
            "request {} of organisation {}",
            explanation.request_id, explanation.organisation
        )?;
        writeln!(
            f,
            "service {} under configuration {}",
            explanation.service, explanation.config_version
        )?;
        if explanation.prompt_tokens > 0 {
            let home = explanation.home.as_ref().map_or("none", HostName::as_str);
            let (tokens, segments) = (explanation.prompt_tokens, explanation.pieces);
            writeln!(f, "prompt of {tokens} tokens in {segments} full segments; home: {home}")?;
        }
        for (index, attempt) in explanation.attempts.iter().enumerate() {
            write_attempt(f, index + 1, attempt)?;
        }
        writeln!(f, "outcome: {}", outcome(explanation.outcome.as_deref()))
    }
}

fn write_attempt(
    f: &mut fmt::Formatter<'_>,
    number: usize,
    attempt: &AttemptExplanation,
) -> fmt::Result {
    let server = attempt.server.as_ref().map_or("no server", HostName::as_str);
    let (id, decided_by) = (&attempt.attempt_id, attempt.decided_by.as_str());
    let outcome = outcome(attempt.outcome.as_deref());
    writeln!(f, "\nattempt {number}, {id}: {server}, chosen by {decided_by}; outcome: {outcome}")?;
    if attempt.candidates.is_empty() {
        return Ok(());
    }
    write!(f, "{}", candidate_table(attempt))
}

fn candidate_table(attempt: &AttemptExplanation) -> Table {
    let headers = [
        "SERVER",
        "CACHED BLOCKS",
        "IMPORTED BLOCKS",
        "QUEUE MS",
        "IMPORT MS",
        "RECOMPUTE MS",
        "FIRST TOKEN MS",
        "EXCLUDED",
    ];
    let mut table = Table::new(&headers);
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
    text.unwrap_or("in progress")
}
