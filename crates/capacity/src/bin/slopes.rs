//! Measures the cost of the decision code at several sizes, and prints the fitted lines.

use argh::FromArgs;
use capacity::report::Report;
use capacity::{measure, printed};
use eyre::Result;
use std::fs;
use std::path::PathBuf;

/// Measures the cost of the decision code at several sizes, and fits lines.
#[derive(FromArgs)]
struct Options {
    /// the folder with the output of other packages' cost examples
    #[argh(option)]
    printed: Option<PathBuf>,
    /// the only measurement to run; its series are printed as JSON
    #[argh(option)]
    only: Option<String>,
    /// the file that the JSON report is written to
    #[argh(option)]
    report: Option<PathBuf>,
}

fn main() -> Result<()> {
    let options: Options = argh::from_env();
    if let Some(name) = &options.only {
        print!("{}", measure::run_to_json(name)?);
        return Ok(());
    }
    let mut series = measure::run_all()?;
    if let Some(folder) = &options.printed {
        series.extend(printed::read_all(folder)?);
    }
    let report = Report::new(series);
    for series in &report.series {
        let sizes: Vec<String> = series.points.iter().map(|point| point.x.to_string()).collect();
        println!(
            "{:24} {:56} {:>28} {:22} slope {:.4} intercept {:.1} residual {:.1}",
            series.id,
            series.measure,
            sizes.join(" "),
            series.size,
            series.fit.slope,
            series.fit.intercept,
            series.fit.residual
        );
    }
    if let Some(path) = options.report {
        fs::write(path, serde_json::to_string_pretty(&report)? + "\n")?;
    }
    Ok(())
}
