//! The command line.

use crate::scenario::Workload;
use argh::FromArgs;
use eyre::{Result, WrapErr};
use simplelog::{Config, LevelFilter, WriteLogger};
use std::fs::File;
use std::path::PathBuf;

/// Runs returning prompts and doubly sent orders through entry hosts, engines and stores, all in
/// this process, while one engine dies. Compares four placement policies side by side. Exits with
/// 1 if an answer was wrong or lost or an order was lost or doubled.
#[derive(FromArgs)]
pub struct Options {
    /// for how long prompts are sent, in seconds (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// where the report is written as JSON
    #[argh(option)]
    pub report: Option<PathBuf>,
    /// whose places, sizes and delays are used: rangmilan or hoshino (default rangmilan)
    #[argh(option, default = "Workload::Rangmilan")]
    pub workload: Workload,
    /// the seed of prompts, sizes and gaps (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// where the daemons' log lines are written
    #[argh(option)]
    pub log: Option<PathBuf>,
}

impl Options {
    /// Starts to write log lines, if asked to.
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
