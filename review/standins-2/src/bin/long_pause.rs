//! A server that turns requests away with 503 asks for a pause of two minutes, or of as many seconds as the
//! second argument says.

#[path = "../part_three/mod.rs"]
mod part_three;

use part_three::{
    Gateway, ORDERS, Record, Server, Treatment, desired_state, has_trouble, keep_entries,
    new_attempt, request, send, verdict,
};
use standins::fleet::Store;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the server asks for, in seconds, unless an argument says otherwise.
const RETRY_AFTER_S: &str = "120";
/// From when on requests to the server count, after its answer.
const FROM: Duration = Duration::from_millis(500);
/// How many requests a machine may send to the server until the time is over.
const ALLOWED: usize = 2;
const ZONES: [&str; 3] = ["kuma", "uto", "izumi"];

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let record = Record::create().expect("a record");
    let store = Arc::new(Store::start().await.expect("a store"));
    store.put_configuration(&desired_state(1));
    let mut desks = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        desks.push(Server::start(&format!("desk-{index}"), "desk", zone).await);
    }
    tokio::spawn(keep_entries(Arc::clone(&store), desks.clone()));
    let mut gateways = Vec::new();
    let mut seeds = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let host = format!("front-{zone}-{index}");
        let gateway = Gateway::start(&host, zone, store.address(), &seeds).await;
        seeds.push(gateway.peers.to_string());
        gateways.push(gateway);
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    if has_trouble() {
        let seconds = std::env::args().nth(2).unwrap_or_else(|| RETRY_AFTER_S.to_owned());
        record.line(format!("desk-0 answers 503 with Retry-After: {seconds} from here on"));
        desks[0].set_treatment(Treatment::TurnsAway(seconds));
    }
    let begin = Instant::now();
    let mut statuses = std::collections::BTreeMap::new();
    let mut sent = 0;
    while begin.elapsed() < Duration::from_secs(20) {
        let gateway = &gateways[sent % gateways.len()];
        let attempt = format!("g{}-{}", sent % gateways.len(), new_attempt());
        let answer = send(gateway.callers, &request(ORDERS, &attempt, "", "one order")).await;
        *statuses.entry(answer.status).or_insert(0) += 1;
        sent += 1;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    record.line(format!("{sent} orders sent, answered: {statuses:?}"));
    let mut worst = 0;
    for (index, gateway) in gateways.iter().enumerate() {
        let tag = format!("g{index}-");
        let arrivals = desks[0].arrivals();
        let own: Vec<_> =
            arrivals.iter().filter(|arrival| arrival.attempt.starts_with(&tag)).collect();
        for arrival in &own {
            record.line(format!(
                "{:.3} s: {} reaches desk-0 from {}, {}",
                record.seconds(arrival.at),
                arrival.attempt,
                gateway.host,
                if arrival.has_run { "and runs" } else { "and is turned away" },
            ));
        }
        let first = own.iter().find(|arrival| !arrival.has_run).map(|arrival| arrival.at);
        let counted = own.iter().filter(|arrival| first.is_some_and(|at| arrival.at > at + FROM));
        let counted = counted.count();
        record.line(format!("{} sent {counted} requests in the pause", gateway.host));
        worst = worst.max(counted);
    }
    let text = format!(
        "up to {worst} requests of one machine reached the server in the pause that it had asked for \
         ({ALLOWED} are allowed)"
    );
    drop(gateways);
    verdict(&record, worst > ALLOWED, &text);
}
