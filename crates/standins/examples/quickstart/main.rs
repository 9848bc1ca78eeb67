//! Runs a workload of conversations and orders through the complete system on loopback.

mod caller;
mod conversation;
mod options;
mod orders;
mod report;
mod run;
mod scenario;
mod site;
mod tally;
mod text;

use eyre::{Result, WrapErr};
use options::Options;
use report::Report;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options: Options = argh::from_env();
    options.start_log()?;
    let report = run::run(&options).await?;
    print!("{}", report.table());
    if let Some(path) = &options.report {
        std::fs::write(path, report.json()?)
            .wrap_err_with(|| format!("cannot write {}", path.display()))?;
    }
    Ok(exit_code(&report))
}

fn exit_code(report: &Report) -> ExitCode {
    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
