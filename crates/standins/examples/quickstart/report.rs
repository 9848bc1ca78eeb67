//! The report of a run, as a table and as JSON.

use crate::orders::OrderOutcome;
use crate::site::PolicySite;
use crate::tally::Tally;
use eyre::Result;
use serde::Serialize;
use std::fmt::Write;

/// The results of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    requests: u64,
    ttft_ms_p50: f64,
    ttft_ms_p95: f64,
    recomputed_share: f64,
    inter_region_bytes: u64,
    answers_wrong: u64,
    answers_lost: u64,
    orders_doubled: u64,
    orders_lost: u64,
    retries: u64,
    refusals: u64,
    #[serde(skip)]
    new_share: f64,
    #[serde(skip)]
    returning_ms_p95: f64,
}

impl PolicyReport {
    /// Collects the results from a site whose callers have finished.
    pub fn new(site: &PolicySite, tally: &Tally, orders: &OrderOutcome) -> Self {
        let (prompt_tokens, cached_tokens) = site.prompt_tokens();
        let executions = site.executions();
        Self {
            requests: tally.requests() + orders.sent.len() as u64,
            ttft_ms_p50: tally.first_token_ms(0.5),
            ttft_ms_p95: tally.first_token_ms(0.95),
            recomputed_share: 1.0 - cached_tokens as f64 / prompt_tokens.max(1) as f64,
            inter_region_bytes: site.inter_region_bytes().value(),
            answers_wrong: tally.wrong(),
            answers_lost: tally.lost(),
            orders_doubled: orders.doubled(&executions),
            orders_lost: orders.lost(&executions),
            retries: site.count("retries."),
            refusals: site.count("refusals."),
            new_share: tally.new_share(),
            returning_ms_p95: tally.returning_first_token_ms(0.95),
        }
    }

    fn is_clean(&self) -> bool {
        let faults = [self.answers_wrong, self.answers_lost, self.orders_doubled, self.orders_lost];
        faults.iter().all(|count| *count == 0)
    }
}

/// The results of all policies, in order.
#[derive(Debug, Default)]
pub struct Report {
    policies: Vec<(&'static str, PolicyReport)>,
}

impl Report {
    /// Adds the results of one policy.
    pub fn add(&mut self, name: &'static str, policy: PolicyReport) {
        self.policies.push((name, policy));
    }

    /// Returns whether no answer was wrong or lost and no order was lost or executed more
    /// than once.
    pub fn is_clean(&self) -> bool {
        self.policies.iter().all(|(_, policy)| policy.is_clean())
    }

    /// Returns the report as JSON, with one entry per policy.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be encoded as JSON.
    pub fn json(&self) -> Result<String> {
        let mut by_name = serde_json::Map::new();
        for (name, policy) in &self.policies {
            by_name.insert((*name).to_owned(), serde_json::to_value(policy)?);
        }
        Ok(serde_json::to_string_pretty(&by_name)? + "\n")
    }

    /// Returns the report as a table.
    pub fn table(&self) -> String {
        let mut table = format!(
            "\n{:<12} {:>8} {:>9} {:>9} {:>11} {:>13} {:>6} {:>5} {:>8} {:>5} {:>8} {:>9}\n",
            "policy",
            "requests",
            "ttft p50",
            "ttft p95",
            "recomputed",
            "inter-region",
            "wrong",
            "lost",
            "doubled",
            "lost",
            "retries",
            "refusals",
        );
        for (name, policy) in &self.policies {
            // Writing to a string cannot fail.
            let _ = writeln!(
                table,
                "{name:<12} {:>8} {:>6.0} ms {:>6.0} ms {:>10.1}% {:>10.2} MB {:>6} {:>5} {:>8} {:>5} {:>8} {:>9}",
                policy.requests,
                policy.ttft_ms_p50,
                policy.ttft_ms_p95,
                policy.recomputed_share * 100.0,
                policy.inter_region_bytes as f64 / 1e6,
                policy.answers_wrong,
                policy.answers_lost,
                policy.orders_doubled,
                policy.orders_lost,
                policy.retries,
                policy.refusals,
            );
        }
        for (name, policy) in &self.policies {
            let new_percent = policy.new_share * 100.0;
            let _ = writeln!(
                table,
                "{name:<12} {new_percent:>5.1}% of prompt tokens were new; returning prompts: ttft p95 {:.0} ms",
                policy.returning_ms_p95
            );
        }
        table
    }
}
