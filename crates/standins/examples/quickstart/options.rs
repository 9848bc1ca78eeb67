//! Command-line options.

use crate::scenario::Workload;
use argh::FromArgs;
use eyre::{Result, WrapErr};
use simplelog::{Config, LevelFilter, WriteLogger};
use std::fs::File;
use std::path::PathBuf;

/// Runs conversations, and orders that are each sent twice, through entry hosts, engines and
/// stores, all in this process, while one engine is killed. Compares four placement policies side
/// by side. Exits with 1 if an answer was wrong or lost, or an order was lost or executed more than
/// once.
#[derive(FromArgs)]
pub struct Options {
    /// how long prompts are sent, in seconds (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// file to which the report is written as JSON
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// workload, with its regions, sizes and delays: rangmilan or hoshino (default rangmilan)
    #[argh(option, default = "Workload::Rangmilan")]
    pub workload: Workload,
    /// seed of prompts, sizes and gaps (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// file to which the daemons' log lines are written
    #[argh(option)]
    pub log: Option<PathBuf>,
}

impl Options {
    /// Starts to write log lines if a log file is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created.
    pub fn start_log(&self) -> Result<()> {
        let Some(path) = &self.log else {
            return Ok(());
        };
        let file =
            File::create(path).wrap_err_with(|| format!("cannot create {}", path.display()))?;
        WriteLogger::init(LevelFilter::Debug, Config::default(), file)?;
        Ok(())
    }
}
