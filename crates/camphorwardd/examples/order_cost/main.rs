//! Measures the cost of an order: appends, added latency, and the rate that an append budget
//! allows.
//!
//! Seven daemons run in this process: five in the log's region and two in a remote region.

mod test_site;

use argh::FromArgs;
use hdrhistogram::Histogram;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_site::{Host, TestSite};
use tokio::task::JoinSet;

/// Significant digits of the recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The wait after each load for the last records to be appended.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Measures the cost of orders.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// orders a second, one load after the other (default 10 100 500 1000 2000)
    #[argh(positional)]
    rates: Vec<u32>,
    /// how long each load lasts, in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u32,
}

const DEFAULT_RATES: [u32; 5] = [10, 100, 500, 1_000, 2_000];

/// The results of one load.
struct Outcome {
    local_us: Histogram<u64>,
    remote_us: Histogram<u64>,
    answered: u32,
    refused: u32,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    let rates =
        if arguments.rates.is_empty() { DEFAULT_RATES.to_vec() } else { arguments.rates.clone() };
    let test_site = TestSite::start().await?;
    println!(
        "orders/s  answered  refused  executed  appends  appends/order  appends/s  \
         near p50/p95 ms  far p50/p95 ms"
    );
    for rate in rates {
        run(&test_site, rate, arguments.seconds).await?;
    }
    Ok(())
}

async fn run(test_site: &TestSite, rate: u32, seconds: u32) -> eyre::Result<()> {
    let (appends, executed) = (test_site.appends(), test_site.executed());
    let started = Instant::now();
    let outcome = send_all(test_site, rate * seconds, Duration::from_secs(1) / rate).await?;
    let elapsed_s = started.elapsed().as_secs_f64();
    tokio::time::sleep(SETTLE).await;
    let (appends, executed) = (test_site.appends() - appends, test_site.executed() - executed);
    println!(
        "{rate:8}  {:8}  {:7}  {executed:8}  {appends:7}  {:13.3}  {:9.0}  {:>15}  {:>14}",
        outcome.answered,
        outcome.refused,
        appends as f64 / executed.max(1) as f64,
        appends as f64 / elapsed_s,
        percentiles_ms(&outcome.local_us),
        percentiles_ms(&outcome.remote_us),
    );
    Ok(())
}

async fn send_all(test_site: &TestSite, orders: u32, gap: Duration) -> eyre::Result<Outcome> {
    let started = Instant::now();
    let mut sends = JoinSet::new();
    for number in 0..orders {
        tokio::time::sleep_until((started + gap * number).into()).await;
        let host = test_site.hosts[number as usize % test_site.hosts.len()].clone();
        let http = Arc::clone(&test_site.http);
        sends.spawn(async move { order(&http, host).await });
    }
    let mut outcome = Outcome {
        local_us: Histogram::new(SIGNIFICANT_DIGITS)?,
        remote_us: Histogram::new(SIGNIFICANT_DIGITS)?,
        answered: 0,
        refused: 0,
    };
    for (host, elapsed, answered) in sends.join_all().await {
        if !answered {
            outcome.refused += 1;
            continue;
        }
        outcome.answered += 1;
        let times = if host.is_remote { &mut outcome.remote_us } else { &mut outcome.local_us };
        times.record(u64::try_from(elapsed.as_micros())?)?;
    }
    Ok(outcome)
}

async fn order(http: &clients::http::HttpClient, host: Host) -> (Host, Duration, bool) {
    let started = Instant::now();
    let answered = test_site::order(http, host.callers).await;
    (host, started.elapsed(), answered)
}

fn percentiles_ms(times: &Histogram<u64>) -> String {
    let at = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    format!("{:.1}/{:.1}", at(0.50), at(0.95))
}
