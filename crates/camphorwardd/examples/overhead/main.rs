//! Measures the latency that a daemon adds to the first token, and its processor time per request.
//!
//! Starts stand-ins in this process and one daemon as a separate process, then sends the same load
//! directly to the engines and through the daemon.

mod daemon;
mod load;

use argh::FromArgs;
use daemon::DaemonProcess;
use load::{Load, Target};
use protocol::size::{TokenCount, TokensPerSecond};
use standins::engine::EngineConfig;
use standins::site::{ServerEntry, Site, SiteConfig};
use std::time::Duration;

/// The number of engines.
const ENGINES: usize = 4;
/// The name of the service and of its model.
const SERVICE: &str = "model";

/// Measures the daemon's own cost.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// requests a second (default 500)
    #[argh(option, default = "500")]
    requests_per_s: u32,
    /// how long each load lasts, in seconds (default 8)
    #[argh(option, default = "8")]
    seconds: u32,
    /// tokens of each answer (default 12, which makes 6,000 tokens a second)
    #[argh(option, default = "12")]
    answer_tokens: u64,
    /// worker threads of the daemon (default: its own default)
    #[argh(option)]
    worker_threads: Option<u32>,
    /// bytes of each prompt (default 9,000, one full segment)
    #[argh(option, default = "9000")]
    prompt_bytes: usize,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let site = start_site().await?;
    let daemon = DaemonProcess::start(&site, arguments.worker_threads).await?;
    let load = Load {
        requests: arguments.requests_per_s * arguments.seconds,
        gap: Duration::from_secs(1) / arguments.requests_per_s,
        answer_tokens: arguments.answer_tokens,
        prompt_bytes: arguments.prompt_bytes,
    };
    let engines: Vec<_> = site.engines.values().map(|engine| engine.address()).collect();
    let direct = load.run(&Target::Engines(engines)).await;
    let cpu_before_s = daemon.cpu_s()?;
    let proxied = load.run(&Target::Daemon(daemon.callers())).await;
    let cpu_s = daemon.cpu_s()? - cpu_before_s;

    println!(
        "requests/s {}, tokens/s {}",
        arguments.requests_per_s,
        u64::from(arguments.requests_per_s) * arguments.answer_tokens
    );
    println!("first token, us          p50      p95      p99   failed");
    direct.print("straight to an engine");
    proxied.print("through the daemon");
    println!("added at p95: {} us", proxied.p95_us().saturating_sub(direct.p95_us()));
    let share = cpu_s / f64::from(arguments.seconds);
    println!("daemon: {cpu_s:.2} s of processor time, {:.1}% of one core", share * 100.0);
    println!("daemon: {:.1} us a request", cpu_s * 1e6 / f64::from(load.requests));
    println!("daemon: resident {} KiB", daemon.resident_kib()?);
    Ok(())
}

async fn start_site() -> eyre::Result<Site> {
    let config = EngineConfig {
        prefill_rate: TokensPerSecond::new(100_000_000),
        token_gap_ms: 5,
        max_running: 512,
        max_queued: 4_096,
        cache_size: TokenCount::new(2_000_000),
        ..EngineConfig::default()
    };
    let engines = (0..ENGINES).map(|number| -> eyre::Result<ServerEntry<EngineConfig>> {
        Ok(ServerEntry {
            host: format!("m{number}").parse()?,
            region: "r".parse()?,
            failure_domain: "d".parse()?,
            service: SERVICE.parse()?,
            config: config.clone(),
        })
    });
    let engines = engines.collect::<eyre::Result<Vec<_>>>()?;
    Ok(Site::start(SiteConfig { engines, ..SiteConfig::default() }).await?)
}
