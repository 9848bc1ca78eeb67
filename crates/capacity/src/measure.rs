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

/// The command that runs the measurements of this module.
const COMMAND: &str = "slopes";

/// A function that runs one measurement.
type Measurement = fn() -> Result<Vec<Series>>;

/// The measurements by name.
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

/// Runs each measurement in its own process, because memory freed by one measurement would hide
/// the memory retained by another.
///
/// # Errors
///
/// Returns the first error of a measurement.
pub fn run_all() -> Result<Vec<Series>> {
    let mut series = Vec::new();
    for (name, _) in MEASUREMENTS {
        series.extend(run_in_subprocess(name)?);
    }
    Ok(series)
}

fn run_in_subprocess(name: &str) -> Result<Vec<Series>> {
    let output = Command::new(std::env::current_exe()?)
        .args(["--only", name])
        .stderr(Stdio::inherit())
        .output()?;
    ensure!(output.status.success(), "measurement {name} failed");
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Runs one measurement and returns its series as JSON.
///
/// # Errors
///
/// Returns an error if the name is unknown or the measurement fails.
pub fn run_to_json(name: &str) -> Result<String> {
    let entry = MEASUREMENTS.iter().find(|(entry_name, _)| *entry_name == name);
    let (_, measure) = entry.ok_or_eyre("unknown measurement")?;
    Ok(serde_json::to_string(&measure()?)?)
}
