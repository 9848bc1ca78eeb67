//! Regenerates the tables of the capacity page and the plots from committed reports.

use argh::FromArgs;
use capacity::report::Report;
use capacity::{page, plots};
use eyre::Result;
use std::fs;
use std::path::PathBuf;

/// Regenerates the page's tables and the plots from the reports.
#[derive(FromArgs)]
struct Options {
    /// the JSON report of the `slopes` command
    #[argh(option, default = "PathBuf::from(\"docs/plots/slopes.json\")")]
    slopes: PathBuf,
    /// the JSON report of the quickstart example
    #[argh(option, default = "PathBuf::from(\"docs/plots/quickstart.json\")")]
    quickstart: PathBuf,
    /// the page whose tables are replaced
    #[argh(option, default = "PathBuf::from(\"docs/CAPACITY.md\")")]
    page: PathBuf,
    /// the folder that the plots are written to
    #[argh(option, default = "PathBuf::from(\"docs/plots\")")]
    plots: PathBuf,
}

fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let report: Report = serde_json::from_str(&fs::read_to_string(&options.slopes)?)?;
    let text = fs::read_to_string(&options.page)?;
    fs::write(&options.page, page::update(&text, &report)?)?;
    let mut plots_by_name = plots::against_nodes(&report)?;
    plots_by_name.extend(plots::by_policy(&fs::read_to_string(&options.quickstart)?)?);
    for (name, svg) in plots_by_name {
        fs::write(options.plots.join(name), svg)?;
    }
    Ok(())
}
