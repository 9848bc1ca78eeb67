//! Two gateways give orders to one engine within `leaseMs`: the one that leads a rollout is stopped as
//! planned while some of its orders have got no answer.

#[path = "../part_three/mod.rs"]
mod part_three;

use part_three::{Gateway, Order, Record, Server, desired_state, has_trouble, keep_entries, verdict};
use standins::fleet::Store;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_millis(3_000);
/// How late an order is carried out that got no answer: the pages say 2 to 12 s.
const LATE_BY: Duration = Duration::from_secs(6);
/// How long orders get no answer: the longest time of `applied_late` in the site file.
const UNANSWERED: Duration = Duration::from_secs(7);
const ENGINES: usize = 12;
const ZONES: [&str; 3] = ["kuma", "uto", "izumi"];

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let record = Record::create().expect("a record");
    let store = Arc::new(Store::start().await.expect("a store"));
    store.put_configuration(&desired_state(1));
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        engines.push(Server::start(&format!("engine-{index}"), "notes", ZONES[index % 3]).await);
    }
    tokio::spawn(keep_entries(Arc::clone(&store), engines.clone()));
    let mut gateways = Vec::new();
    let mut seeds = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let host = format!("front-{zone}-{index}");
        let gateway = Gateway::start(&host, zone, store.address(), &seeds).await;
        seeds.push(gateway.peers.to_string());
        gateways.push(gateway);
    }
    // All know each other, and have been in touch for longer than `stableWindowMs`.
    tokio::time::sleep(Duration::from_secs(8)).await;
    if has_trouble() {
        for engine in engines.iter().step_by(2) {
            engine.set_orders_late_by(Some(LATE_BY));
        }
        record.line("from here on every second engine answers no order and carries it out 6 s later");
    }
    store.set_target_version("m", 2);
    record.line("version 2 of m is named");
    let named = Instant::now();
    let mut is_stopped = false;
    while named.elapsed() < Duration::from_secs(25) {
        if named.elapsed() > UNANSWERED {
            engines.iter().for_each(|engine| engine.set_orders_late_by(None));
        }
        let first = engines.iter().flat_map(Server::orders).map(|order| order.holder).next();
        if let Some(holder) = first.filter(|_| has_trouble() && !is_stopped) {
            // Planned work, at no special moment of the rollout.
            tokio::time::sleep(Duration::from_millis(200)).await;
            record.line(format!("SIGTERM to {holder}, which gave the first orders"));
            gateways.iter().filter(|gateway| gateway.host == holder).for_each(|gateway| {
                gateway.signal("TERM");
            });
            is_stopped = true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut turns = 0;
    for engine in &engines {
        let orders = engine.orders();
        for order in &orders {
            record.line(format!(
                "order at {:.3} s to {} from {} with fence {}, expect {:?}: {}",
                record.seconds(order.at), engine.id(), order.holder, order.fence, order.expect,
                order.status.map_or("no answer".to_owned(), |status| status.to_string()),
            ));
        }
        for pair in orders.windows(2) {
            turns += usize::from(is_turn(&pair[0], &pair[1]));
        }
    }
    let leases: Vec<String> = gateways
        .iter()
        .flat_map(|gateway| {
            let lines = ["lease_claimed", "lease_released"].map(|event| gateway.lines(event));
            lines.into_iter().flatten().map(|line| format!("{}: {line}", gateway.host))
        })
        .collect();
    leases.iter().for_each(|line| record.line(line));
    let text = format!("{turns} times two holders took turns at an engine within 3,000 ms");
    drop(gateways);
    verdict(&record, turns > 0, &text);
}

/// Returns whether two holders took turns within `leaseMs`.
fn is_turn(earlier: &Order, later: &Order) -> bool {
    earlier.holder != later.holder && later.at.duration_since(earlier.at) < LEASE
}
