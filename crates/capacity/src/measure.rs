//! Measurements of the decision code, each at several sizes.

mod admission;
mod chain;
mod choice;
mod index;
mod loads;
mod orders;
mod services;
mod wire;

use crate::report::Series;
use eyre::{OptionExt, Result, ensure};
use std::process::{Command, Stdio};

/// The command that all of these are measured by.
const COMMAND: &str = "slopes";

/// Runs one measurement.
type Measurement = fn() -> Result<Vec<Series>>;

/// Names the measurements.
pub const MEASUREMENTS: [(&str, Measurement); 8] = [
    ("index", index::measure),
    ("orders", orders::measure),
    ("admission", admission::measure),
    ("services", services::measure),
    ("chain", chain::measure),
    ("choice", choice::measure),
    ("loads", loads::measure),
    ("wire", wire::measure),
];

/// Runs each measurement in a process of its own, as memory that one has freed would hide what
/// another keeps.
///
/// # Errors
///
/// Returns the first error.
pub fn all() -> Result<Vec<Series>> {
    let mut series = Vec::new();
    for (name, _) in MEASUREMENTS {
        series.extend(apart(name)?);
    }
    Ok(series)
}

fn apart(name: &str) -> Result<Vec<Series>> {
    let output = Command::new(std::env::current_exe()?)
        .args(["--only", name])
        .stderr(Stdio::inherit())
        .output()?;
    ensure!(output.status.success(), "the measurement {name} failed");
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Runs one measurement and returns its series as JSON.
///
/// # Errors
///
/// Returns an error if the name is not known or the measurement fails.
pub fn one(name: &str) -> Result<String> {
    let found = MEASUREMENTS.iter().find(|(known, _)| *known == name);
    let (_, measure) = found.ok_or_eyre("no such measurement")?;
    Ok(serde_json::to_string(&measure()?)?)
}
