//! A caller's requests have 120 short header fields, well inside `maxHeaderBytes`, one request at a time.

#[path = "../part_three/mod.rs"]
mod part_three;

use part_three::{
    Gateway, ORDERS, Record, Server, desired_state, has_trouble, keep_entries, new_attempt, request,
    send, verdict,
};
use standins::fleet::Store;
use std::sync::Arc;
use std::time::Duration;

const REQUESTS: usize = 200;
/// Every fifth request has so many fields beside the usual ones.
const FIELDS: usize = 120;
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
    let gateway = Gateway::start("front-kuma-0", "kuma", store.address(), &[]).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut denied = 0;
    for number in 0..REQUESTS {
        let has_many = number % 5 == 0 && has_trouble();
        let count = if has_many { FIELDS } else { 10 };
        let fields: String = (0..count).map(|field| format!("X-Note-{field}: {number}\r\n")).collect();
        let attempt = new_attempt();
        let text = request(ORDERS, &attempt, &fields, "one order");
        let head_bytes = text.find("\r\n\r\n").unwrap_or(0) + 4;
        let answer = send(gateway.callers, &text).await;
        let is_denied = (300..500).contains(&answer.status) && ![408, 421, 429].contains(&answer.status);
        denied += usize::from(is_denied);
        if has_many || answer.status != 200 {
            record.line(format!(
                "{attempt}: {count} fields beside the usual, a head of {head_bytes} bytes of 16,384: {}",
                answer.status
            ));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let allowed = 5.0 + REQUESTS as f64 / 500.0;
    let ran: usize = desks.iter().map(|desk| desk.arrivals().len()).sum();
    let text = format!(
        "{denied} of {REQUESTS} proper requests were ended with a 4xx of the gateway's own ({allowed} are \
         allowed); {ran} reached servers"
    );
    drop(gateway);
    verdict(&record, denied as f64 > allowed, &text);
}
