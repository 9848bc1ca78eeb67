//! Processor time to read servers' load and cache events, as each daemon does today.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use crate::usage::cpu_us;
use clients::engine::EngineClient;
use clients::http::HttpClient;
use eyre::Result;
use standins::engine::EngineConfig;
use standins::site::{ServerEntry, Site, SiteConfig};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::runtime::{Builder, Runtime};

const READS: [usize; 3] = [1_000, 2_000, 4_000];
const SERVERS: usize = 4;
const WARM_UP_READS: usize = 1_000;

const READ_TIME: SeriesDescription = SeriesDescription {
    id: "load_read",
    measure: "loads and (no) events read, us",
    size: "servers read",
    command: COMMAND,
    leaves_out: "the events themselves; the kernel's work on the server's side",
};

/// Measures the time against the number of reads. The engines run on other threads, whose time is
/// not counted.
///
/// # Errors
///
/// Returns an error if a read fails or a line cannot be fitted.
pub fn measure() -> Result<Vec<Series>> {
    let engines_runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let site = engines_runtime.block_on(start_site())?;
    let addresses: Vec<SocketAddr> = site.engines.values().map(|engine| engine.address()).collect();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let client = EngineClient::new(Arc::new(HttpClient::new()));
    read_servers(&runtime, &client, &addresses, WARM_UP_READS)?;
    let us =
        |reads| Ok(Point::new(reads as f64, read_servers(&runtime, &client, &addresses, reads)?));
    let points = READS.into_iter().map(us).collect::<Result<_>>()?;
    Ok(vec![READ_TIME.fit(points)?])
}

fn read_servers(
    runtime: &Runtime,
    client: &EngineClient,
    addresses: &[SocketAddr],
    reads: usize,
) -> Result<f64> {
    let before_us = cpu_us();
    runtime.block_on(async {
        for address in addresses.iter().cycle().take(reads) {
            client.load(*address).await?;
            client.kv_events(*address, 0).await?;
        }
        Ok::<(), eyre::Report>(())
    })?;
    Ok(cpu_us() - before_us)
}

async fn start_site() -> Result<Site> {
    let entry = |number| -> Result<ServerEntry<EngineConfig>> {
        Ok(ServerEntry {
            host: format!("m{number}").parse()?,
            region: "r".parse()?,
            failure_domain: "d".parse()?,
            service: "model".parse()?,
            config: EngineConfig::default(),
        })
    };
    let engines = (0..SERVERS).map(entry).collect::<Result<_>>()?;
    Ok(Site::start(SiteConfig { engines, ..SiteConfig::default() }).await?)
}
