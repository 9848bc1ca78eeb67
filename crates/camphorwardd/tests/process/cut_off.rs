//! Hosts partitioned from the platform, unresponsive connections, and leaving servers.

use crate::caller::{complete, expected_answer_to, prompt};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, MODEL};
use crate::wait;
use protocol::ids::ConfigVersion;
use standins::engine::{EngineConfig, EngineFaults};
use standins::relay::{Link, LinkConfig, Partition, Relay};
use std::net::SocketAddr;

const PLAIN_LINK: LinkConfig = LinkConfig { delay_ms: 0.0, bytes_per_s: None };

fn address_map(pairs: &[(SocketAddr, SocketAddr)]) -> String {
    let entries = pairs.iter().map(|(from, to)| format!("\"{from}\": \"{to}\""));
    format!(", \"address_map\": {{ {} }}", entries.collect::<Vec<_>>().join(", "))
}

async fn has_version(daemon: &Daemon, version: u64) -> bool {
    let status = daemon.status().await;
    status.is_some_and(|status| status.config_version == ConfigVersion::new(version))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_partitioned_from_the_log_gets_the_configuration_from_a_peer() {
    let site = site::start(EngineConfig::default()).await;
    let link = Link::new(PLAIN_LINK);
    let log = Relay::start(link.clone(), site.log.address()).await.expect("the relay starts");
    let e1 = Daemon::start(&site, "e1", 0, "").await;
    let map = address_map(&[(site.log.address(), log.address())]);
    let e2 = Daemon::start(&site, "e2", 1, &map).await;
    site::publish(&site).await;
    e1.wait_ready(2).await;
    e2.wait_ready(2).await;

    link.set_partition(Partition::Refuse);
    let relayed_before = e2.counter("configs.relayed").await;
    site::publish_on(&site, 1).await;
    wait::until("both hosts have version 2", || async {
        has_version(&e1, 2).await && has_version(&e2, 2).await
    })
    .await;
    assert_eq!(e2.counter("configs.relayed").await, relayed_before + 1);

    link.set_partition(Partition::None);
    site::publish_on(&site, 2).await;
    wait::until("the partition has healed", || async { has_version(&e2, 3).await }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_without_the_platform_serves_with_the_state_of_a_peer() {
    let site = site::start(EngineConfig::default()).await;
    let e1 = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    e1.wait_ready(1).await;
    site.log.kill();
    site.host_list.kill();

    let alone = Daemon::start(&site, "e3", 2, "").await;
    let status = alone.status().await.expect("the operators' listener answers");
    let reason = "neither the log nor any peer has provided a configuration yet";
    assert_eq!((status.ready, status.not_ready_reason.as_deref()), (false, Some(reason)));

    let seeds = format!(", \"seed_peers\": [\"{}\"]", e1.addresses.peers);
    let e2 = Daemon::start(&site, "e2", 1, &seeds).await;
    e2.wait_ready(2).await;
    let text = prompt("cut off", 1);
    let answer = complete(e2.addresses.callers, KEY_A, MODEL, &text, 4).await;
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(&text, 4)));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_idle_connection_is_replaced() {
    let site = site::start(EngineConfig::default()).await;
    let link = Link::new(PLAIN_LINK);
    let mut relays = Vec::new();
    let mut pairs = Vec::new();
    for engine in site.engines.values() {
        let relay = Relay::start(link.clone(), engine.address()).await.expect("the relay starts");
        pairs.push((engine.address(), relay.address()));
        relays.push(relay);
    }
    let daemon = Daemon::start(&site, "e1", 0, &address_map(&pairs)).await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    let callers = daemon.addresses.callers;
    let text = prompt("silent", 1);
    let first = complete(callers, KEY_A, MODEL, &text, 4).await;
    assert_eq!(first.streamed_text(), Some(expected_answer_to(&text, 4)));

    link.stall_open_connections();
    let second = complete(callers, KEY_A, MODEL, &text, 4).await;
    assert_eq!(second.streamed_text(), Some(expected_answer_to(&text, 4)), "{}", second.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_requests_although_the_list_has_it_as_live() {
    let site = site::start(EngineConfig::default()).await;
    let daemon = Daemon::start(&site, "e1", 0, "").await;
    site::publish(&site).await;
    daemon.wait_ready(1).await;
    let leaving = site.engines.values().next().expect("there are engines");
    leaving.set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
    wait::until("the host reports the server as leaving", || async {
        let status = daemon.status().await.expect("the operators' listener answers");
        status.servers.iter().any(|server| server.state.as_str() == "leaving")
    })
    .await;
    let attempts_before = leaving.counters().attempts;
    for number in 0..6 {
        let text = prompt(&format!("leaving {number}"), 0);
        let answer = complete(daemon.addresses.callers, KEY_A, MODEL, &text, 2).await;
        assert_eq!(answer.streamed_text(), Some(expected_answer_to(&text, 2)));
    }
    let counters = leaving.counters();
    assert_eq!((counters.attempts, counters.refused), (attempts_before, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_hosts_carries_the_configuration_forward() {
    let site = site::start(EngineConfig::default()).await;
    let mut daemons = Vec::new();
    for (domain, host) in ["e1", "e2", "e3"].iter().enumerate() {
        daemons.push(Daemon::start(&site, host, domain, "").await);
    }
    for daemon in &daemons {
        wait::until("the host lists the others", || async {
            let status = daemon.status().await.expect("the operators' listener answers");
            status.live_entry_hosts.len() == daemons.len()
        })
        .await;
    }
    site::publish(&site).await;
    let sum = async |name: &str| {
        let mut sum = 0;
        for daemon in &daemons {
            sum += daemon.counter(name).await;
        }
        sum
    };
    wait::until("two hosts have skipped the append", || async {
        sum("configs.carry_forward_spared").await == 2
    })
    .await;
    assert_eq!(sum("configs.carried_forward").await, 1);
    assert_eq!(site.log.appended_records("configuration-snapshots"), 1);
}
