//! Measures the memory per order in the ledger and the rate at which records are applied.

use orders::coordinator::Coordinator;
use orders::follower::{StreamPage, StreamRecord};
use orders::key::{OrderDigest, OrderKey};
use orders::limits::OrderLimits;
use orders::record::{Intent, OrderAnswer, Outcome, Owner, Record, encode};
use protocol::ids::{Incarnation, LogOffset};
use std::error::Error;
use std::time::Instant;

const SIZES: [u64; 3] = [20_000, 60_000, 180_000];
const BATCH: u64 = 16;
const NOW_MS: u64 = 1_800_000_000_000;
/// The body of a typical answer of an order service.
const ANSWER: &str =
    r#"{"order_number":123456,"item":"spruce-top","state":"reserved","until":"2027-01-01"}"#;

fn main() -> Result<(), Box<dyn Error>> {
    println!("orders  stream bytes/order  memory bytes/order  records applied/s");
    for size in SIZES {
        let owner = Owner { host: "entry-1".parse()?, incarnation: Incarnation::new(1) };
        let coordinator = Coordinator::new(OrderLimits::default(), owner.clone());
        let pages =
            (0..size / BATCH).map(|batch| page(batch, &owner)).collect::<Result<Vec<_>, _>>()?;
        let stream_bytes: usize =
            pages.iter().flat_map(|page| &page.records).map(|record| record.value.len()).sum();
        let before_kib = resident_kib()?;
        let started = Instant::now();
        for page in &pages {
            coordinator.apply(page, NOW_MS);
        }
        let elapsed_s = started.elapsed().as_secs_f64();
        let grown = (resident_kib()?.saturating_sub(before_kib)) * 1_024;
        let orders = coordinator.tracked_keys() as u64;
        let applied = (2 * orders) as f64 / elapsed_s;
        println!(
            "{orders:6}  {:18}  {:18}  {applied:17.0}",
            stream_bytes as u64 / orders,
            grown / orders
        );
        // Not freed, so that the next size cannot reuse this memory and adds to the resident size.
        std::mem::forget(coordinator);
    }
    Ok(())
}

/// Returns a page with one log record of intents and outcomes.
fn page(batch: u64, owner: &Owner) -> Result<StreamPage, Box<dyn Error>> {
    let mut records = Vec::new();
    for index in batch * BATCH..(batch + 1) * BATCH {
        let bits = (u128::from(NOW_MS) << 80) | (7 << 76) | (2 << 62) | u128::from(index);
        let key = OrderKey::new("organisation-1".parse()?, format!("{bits:032x}").parse()?);
        let attempt = format!("ord-{bits:032x}").parse()?;
        let digest = OrderDigest::new("POST", "/orders", &index.to_le_bytes());
        let content_type = Some("application/json".to_owned());
        let answer = OrderAnswer { status: 201, content_type, body: ANSWER.to_owned() };
        let intent = Intent {
            key: key.clone(),
            attempt,
            service: "orders".parse()?,
            digest,
            owner: owner.clone(),
        };
        let outcome = Outcome { key, attempt: intent.attempt.clone(), answer };
        records.extend([Record::Intent(intent), Record::Outcome(outcome)]);
    }
    let offset = LogOffset::new(batch);
    let record = StreamRecord { offset, appended_at_ms: NOW_MS, value: encode(&records)? };
    Ok(StreamPage { first_retained: LogOffset::new(0), records: vec![record] })
}

fn resident_kib() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(line.and_then(|line| line.split_whitespace().next()).ok_or("no resident size")?.parse()?)
}
