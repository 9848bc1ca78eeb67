//! Memory, stream size and processor time of the ledger of orders.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use crate::usage::{measure_cpu_time, measure_memory};
use eyre::Result;
use orders::key::{IdempotencyKey, OrderDigest, OrderKey};
use orders::ledger::Ledger;
use orders::limits::OrderLimits;
use orders::record::{Intent, OrderAnswer, Outcome, Owner, Record, decode, encode};
use protocol::ids::Incarnation;
use std::ops::Range;
use uuid::{Uuid, Variant, Version};

const ORDERS: [u64; 4] = [20_000, 40_000, 80_000, 160_000];
const ORGANISATIONS: u64 = 2_800;
const HOSTS: u64 = 350;
const NOW_MS: u64 = 1_700_000_000_000;
/// With two records per order, this fills a committer's largest batch.
const ORDERS_PER_BATCH: usize = 128;
const UUID_TIME_SHIFT: u32 = 80;
const UUID_VERSION_SHIFT: u32 = 76;

const MEMORY: SeriesDescription = SeriesDescription {
    id: "orders_memory",
    measure: "ledger memory, bytes",
    size: "orders",
    command: COMMAND,
    leaves_out: "answers longer than 200 bytes; the executor's own orders",
};
const APPLY: SeriesDescription = SeriesDescription {
    id: "orders_apply",
    measure: "records decoded and applied, us",
    size: "orders",
    command: COMMAND,
    leaves_out: "HTTP to the log",
};
const BYTES: SeriesDescription = SeriesDescription {
    id: "orders_bytes",
    measure: "stream of orders, bytes",
    size: "orders",
    command: COMMAND,
    leaves_out: "HTTP heads; releases",
};

/// Measures memory, time and stream size against the number of orders.
///
/// # Errors
///
/// Returns an error if a line cannot be fitted.
pub fn measure() -> Result<Vec<Series>> {
    let [mut memory, mut apply, mut bytes] = [const { Vec::new() }; 3];
    let mut retained = Vec::new();
    for count in ORDERS {
        let batches = batches(count)?;
        let ((ledger, us), retained_bytes) =
            measure_memory(|| measure_cpu_time(|| replay(&batches)));
        let x = count as f64;
        eyre::ensure!(ledger.len() as u64 == count, "the ledger lacks an order");
        memory.push(Point::new(x, retained_bytes));
        apply.push(Point::new(x, us));
        bytes.push(Point::new(x, batches.iter().map(String::len).sum::<usize>() as f64));
        retained.push((ledger, batches));
    }
    Ok(vec![MEMORY.fit(memory)?, APPLY.fit(apply)?, BYTES.fit(bytes)?])
}

fn replay(batches: &[String]) -> Ledger {
    let mut ledger = Ledger::new(OrderLimits::default());
    for record in batches.iter().flat_map(|batch| decode(batch).unwrap_or_default()) {
        ledger.apply(record, NOW_MS);
    }
    ledger
}

fn batches(count: u64) -> Result<Vec<String>> {
    let starts = (0..count).step_by(ORDERS_PER_BATCH);
    starts.map(|start| batch(start..count.min(start + ORDERS_PER_BATCH as u64))).collect()
}

fn batch(numbers: Range<u64>) -> Result<String> {
    let pairs = numbers.map(order).collect::<Result<Vec<_>>>()?;
    Ok(encode(&pairs.concat())?)
}

fn order(number: u64) -> Result<[Record; 2]> {
    let key = OrderKey::new(
        format!("organisation-{}", number % ORGANISATIONS).parse()?,
        idempotency_key(number)?,
    );
    let attempt: protocol::ids::AttemptId =
        Uuid::from_u128(u128::from(number)).to_string().parse()?;
    let owner = Owner {
        host: format!("entry-{}", number % HOSTS).parse()?,
        incarnation: Incarnation::new(NOW_MS),
    };
    let digest = OrderDigest::new("POST", "/orders", &number.to_le_bytes());
    let service = "order-service".parse()?;
    let intent = Intent { key: key.clone(), attempt: attempt.clone(), service, digest, owner };
    let answer = OrderAnswer {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body: "x".repeat(200),
    };
    Ok([Record::Intent(intent), Record::Outcome(Outcome { key, attempt, answer })])
}

fn idempotency_key(number: u64) -> Result<IdempotencyKey> {
    let time_bits = u128::from(NOW_MS + number / 100) << UUID_TIME_SHIFT;
    let version_bits = (Version::SortRand as u128) << UUID_VERSION_SHIFT;
    let bits = uuid::Builder::from_u128(time_bits | version_bits | u128::from(number));
    Ok(bits.with_variant(Variant::RFC4122).into_uuid().to_string().parse()?)
}
