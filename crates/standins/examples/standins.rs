//! Starts the stand-ins of a site file and prints their addresses as one line of JSON.

use argh::FromArgs;
use eyre::{Result, WrapErr};
use standins::site::{Site, SiteConfig};
use std::io::Write;
use std::path::PathBuf;

/// Starts the stand-ins of a site file until interrupted.
#[derive(FromArgs)]
struct Options {
    /// site file, in JSON with comments
    #[argh(option)]
    site: PathBuf,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let text = std::fs::read_to_string(&options.site)
        .wrap_err_with(|| format!("cannot read {}", options.site.display()))?;
    let site = Site::start(SiteConfig::parse(&text)?).await?;
    let addresses = serde_json::to_string(&site.addresses())?;
    writeln!(std::io::stdout().lock(), "{addresses}")?;
    tokio::signal::ctrl_c().await?;
    Ok(())
}
