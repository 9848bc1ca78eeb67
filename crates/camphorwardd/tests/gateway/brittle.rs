//! Servers that crash when they have to refuse too many requests.

use crate::caller::{self, post};
use crate::fleet::{Fleet, ORDERS};
use standins::fleet::{Capacity, CrashPlan, Server};
use std::time::{Duration, Instant};

/// The time that gateways have from the first answer that names the refusals.
const WINDOW: Duration = Duration::from_secs(4);
const LOAD: Duration = Duration::from_secs(10);
const EXECUTION: Duration = Duration::from_millis(200);
const GATEWAYS: usize = 3;
const CALLERS_EACH: usize = 12;
const CAPACITY: Capacity = Capacity { requests: 4, max_refusals: 3 };
const DESKS: usize = 3;
/// The crashes that the platform allows of three servers.
const MAX_CRASHES: usize = 2;

/// Returns the crashes from a time on.
fn crashes_since(desks: &[Server], since: Instant) -> usize {
    let outages = desks.iter().flat_map(Server::outages);
    outages.filter(|(began, _)| *began >= since).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateways_together_do_not_crash_brittle_servers_by_overload() {
    let mut fleet = Fleet::start(0, 0).await;
    for index in 0..DESKS {
        let kind = standins::fleet::ServerKind::Plain;
        let desk = Server::start(&format!("desk-{index}"), kind).await.unwrap();
        desk.set_execution_time(EXECUTION);
        desk.set_capacity(CAPACITY);
        desk.set_extra_headers(&[("Server-Brittle", "3")]);
        let restart_after = Some(Duration::from_millis(1_500));
        desk.set_crash_plan(CrashPlan { restart_after, ..CrashPlan::default() });
        fleet.desks.push(desk);
    }
    fleet.register_all();
    let mut gateways = Vec::new();
    for index in 0..GATEWAYS {
        gateways.push(fleet.gateway(&format!("gateway-{index}")).await);
    }
    for gateway in &gateways {
        caller::until_listed(gateway, GATEWAYS as u64).await;
    }
    let began = Instant::now();
    let callers = gateways.iter().flat_map(|gateway| std::iter::repeat_n(gateway, CALLERS_EACH));
    let load = callers.map(|gateway| async move {
        while began.elapsed() < LOAD {
            // No two alike: the same content in three crashes would be refused.
            post(gateway, &format!("{ORDERS}{}", caller::new_id())).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    });
    let beats = async {
        let mut ids: Vec<String> = fleet.desks.iter().map(Server::id).collect();
        while began.elapsed() < LOAD {
            for (desk, id) in fleet.desks.iter().zip(&mut ids).filter(|(desk, _)| desk.is_up()) {
                // A server that has started again has another ID.
                let before = std::mem::replace(id, desk.id());
                if before != *id {
                    fleet.store.remove(&before);
                    fleet.store.register(id, &desk.entry("desk", "east-1", 1, "ready"));
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    futures_util::future::join(futures_util::future::join_all(load), beats).await;
    let crashes = crashes_since(&fleet.desks, began + WINDOW);
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    let executed: usize = fleet.desks.iter().map(|desk| desk.executed().len()).sum();
    let possible =
        DESKS as f64 * CAPACITY.requests as f64 * LOAD.as_secs_f64() / EXECUTION.as_secs_f64();
    assert!(executed as f64 >= possible / 4.0, "{executed} of {possible} requests executed");
}
