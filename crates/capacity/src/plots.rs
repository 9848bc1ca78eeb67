//! The plots drawn from each report.

use crate::fit::Point;
use crate::plot::{self, Labels};
use crate::report::Report;
use eyre::{OptionExt, Result};
use serde_json::{Map, Value};

const BYTES_PER_MB: f64 = 1e6;
const PERCENT: f64 = 100.0;

/// A file name and its SVG text.
pub type Plot = (String, String);

/// The series drawn against the number of nodes: id, title and unit.
const AGAINST_NODES: [(&str, &str, &str); 4] = [
    ("membership_cpu", "Host table: processor time of a node", "us/s"),
    ("membership_bytes", "Host table: bytes of a node", "bytes/s"),
    ("membership_memory", "Host table: memory of a node", "KiB"),
    ("rejoin", "A restart until the tables agree", "KB in all"),
];

/// The fields of the quickstart's report drawn by policy: field, title, unit and factor.
const BY_POLICY: [(&str, &str, &str, f64); 3] = [
    ("ttft_ms_p95", "Time to the first token, p95, by policy", "ms", 1.0),
    ("recomputed_share", "Prompt tokens computed again, by policy", "%", PERCENT),
    ("inter_region_bytes", "Bytes between the regions, by policy", "MB", 1.0 / BYTES_PER_MB),
];

/// Draws the costs against the number of nodes.
///
/// # Errors
///
/// Returns an error if the report lacks a series or a plot cannot be drawn.
pub fn against_nodes(report: &Report) -> Result<Vec<Plot>> {
    let draw = |(id, title, unit): &(&str, &str, &str)| {
        let points: &[Point] = &report.series(id)?.points;
        let labels = Labels { title, x: "nodes", y: unit };
        Ok((format!("{id}.svg"), plot::line(labels, points)?))
    };
    AGAINST_NODES.iter().map(draw).collect()
}

/// Draws fields of the quickstart's report by placement policy.
///
/// # Errors
///
/// Returns an error if the report lacks a field or a plot cannot be drawn.
pub fn by_policy(quickstart: &str) -> Result<Vec<Plot>> {
    let policies: Map<String, Value> = serde_json::from_str(quickstart)?;
    let draw = |(field, title, unit, factor): &(&str, &str, &str, f64)| {
        let bars = policies.iter().map(|(name, fields)| {
            let value = fields
                .get(field)
                .and_then(Value::as_f64)
                .ok_or_eyre("the quickstart report lacks a number for a policy")?;
            Ok((name.clone(), value * factor))
        });
        let labels = Labels { title, x: "placement policy", y: unit };
        Ok((format!("{field}.svg"), plot::bars(labels, &bars.collect::<Result<Vec<_>>>()?)?))
    };
    BY_POLICY.iter().map(draw).collect()
}
