//! Servers that are slow after a start, and what all gateways together send them.

use crate::caller::{self, post};
use crate::fleet::{Fleet, NOTES, configuration};
use crate::process::{Gateway, until};
use serde_json::{Value, json};
use standins::fleet::Server;
use std::time::{Duration, Instant};

/// What a cold server bears, and what it may get within a second.
const COLD_PER_S: f64 = 12.0;
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
const ALLOWED: usize = (COLD_PER_S * FACTOR + SLACK) as usize;
const SECOND: Duration = Duration::from_secs(1);
/// Longer than any of these tests.
const LONG_MS: u64 = 50_000;

/// Puts a configuration in force whose engines are cold after their start.
fn configure(fleet: &Fleet) {
    let mut configuration = configuration(2, &["alpha-key"]);
    configuration["services"][1]["coldPerS"] = COLD_PER_S.into();
    configuration["services"][1]["coldS"] = (LONG_MS as f64 / 1_000.0).into();
    fleet.store.put_configuration(&configuration);
}

async fn start(fleet: &Fleet, count: usize) -> Vec<Gateway> {
    configure(fleet);
    let mut gateways = Vec::new();
    for index in 0..count {
        let mut settings: Value =
            serde_json::from_str(&fleet.settings(&format!("gateway-{index}"), &[])).unwrap();
        settings["bounds"]["cold_factor"] = FACTOR.into();
        settings["bounds"]["cold_slack"] = SLACK.into();
        gateways.push(fleet.gateway_with(&settings.to_string()).await);
    }
    for gateway in &gateways {
        caller::until_listed(gateway, count as u64).await;
        until("the configuration is in force", || {
            let lines = gateway.lines("configuration_in_force");
            lines.iter().any(|line| line["version"] == 2)
        })
        .await;
    }
    gateways
}

/// Writes a server's entry with some other fields.
fn register(fleet: &Fleet, server: &Server, heartbeat: u64, fields: &[(&str, Value)]) {
    let mut entry = server.entry("notes", "east-1", heartbeat, "ready");
    for (name, value) in fields {
        entry[*name] = value.clone();
    }
    fleet.store.register(&server.id(), &entry);
}

/// Returns the sources from which a gateway learned that a server is cold, or is no more.
fn sources(gateway: &Gateway, server: &Server, is_cold: bool) -> Vec<String> {
    let lines = gateway.lines("server_cold");
    let is_wanted = |line: &&Value| {
        line["server"] == server.id() && (line["for_ms"].as_u64().unwrap() > 0) == is_cold
    };
    let wanted = lines.iter().filter(is_wanted);
    wanted.map(|line| line["source"].as_str().unwrap().to_owned()).collect()
}

async fn until_cold(gateways: &[Gateway], server: &Server) {
    for gateway in gateways {
        until("the server is cold", || !sources(gateway, server, true).is_empty()).await;
    }
}

/// Sends requests through all gateways for some time; returns the statuses.
async fn load(gateways: &[Gateway], callers_each: usize, length: Duration) -> Vec<u16> {
    const PAUSE: Duration = Duration::from_millis(10);
    let since = Instant::now();
    let callers = gateways.iter().flat_map(|gateway| std::iter::repeat_n(gateway, callers_each));
    let callers = callers.map(|gateway| async move {
        let mut statuses = Vec::new();
        while since.elapsed() < length {
            statuses.push(post(gateway, NOTES).await.status);
            tokio::time::sleep(PAUSE).await;
        }
        statuses
    });
    futures_util::future::join_all(callers).await.concat()
}

#[tokio::test]
async fn a_cold_server_gets_no_more_than_it_bears_from_all_gateways_together() {
    let fleet = Fleet::start(0, 2).await;
    let gateways = start(&fleet, 3).await;
    for server in &fleet.engines {
        register(&fleet, server, 2, &[("coldRemainingMs", LONG_MS.into())]);
    }
    for server in &fleet.engines {
        until_cold(&gateways, server).await;
    }
    let since = Instant::now();
    let statuses = load(&gateways, 8, Duration::from_secs(7)).await;
    for server in &fleet.engines {
        let most = server.most_arrivals_within(SECOND, since);
        assert!((1..=ALLOWED).contains(&most), "{most} requests in a second");
    }
    assert!(statuses.contains(&200));
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    let refused = gateways[0].lines("request_refused");
    let refused: Vec<_> = refused.iter().filter(|line| line["reason"] == "servers_cold").collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|line| line["retry_after_ms"].as_u64() > Some(0)), "{refused:?}");
}

/// Fails if servers that got nothing while their domain was evacuated get all requests at once.
#[tokio::test]
async fn the_servers_of_a_domain_are_cold_once_its_evacuation_has_ended() {
    let fleet = Fleet::start(0, 2).await;
    let gateways = start(&fleet, 3).await;
    for (value, change) in [("{}", "begun"), ("", "ended")] {
        fleet.store.append("keyed.op", "evacuate/east-1", value.as_bytes());
        for gateway in &gateways {
            until(change, || {
                let lines = gateway.lines("evacuation_changed");
                lines.iter().any(|line| line["change"] == change)
            })
            .await;
        }
    }
    let since = Instant::now();
    let statuses = load(&gateways, 8, Duration::from_secs(3)).await;
    assert!(statuses.contains(&200));
    for server in &fleet.engines {
        let most = server.most_arrivals_within(SECOND, since);
        assert!((1..=ALLOWED).contains(&most), "{most} requests in a second");
        for gateway in &gateways {
            assert_eq!(sources(gateway, server, true), ["evacuation"]);
        }
    }
}

#[tokio::test]
async fn what_a_cold_server_does_not_bear_goes_to_others() {
    let fleet = Fleet::start(0, 2).await;
    let gateways = start(&fleet, 2).await;
    let cold = &fleet.engines[0];
    register(&fleet, cold, 2, &[("coldRemainingMs", LONG_MS.into())]);
    until_cold(&gateways, cold).await;
    let since = Instant::now();
    let statuses = load(&gateways, 10, Duration::from_secs(3)).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(cold.most_arrivals_within(SECOND, since) <= ALLOWED);
}

/// A gateway that reaches neither holder of a cold server sends it nothing, and others take the load.
#[tokio::test]
async fn a_cold_server_without_a_holder_gets_nothing() {
    let fleet = Fleet::start(0, 6).await;
    let mut gateways = start(&fleet, 3).await;
    for server in &fleet.engines {
        register(&fleet, server, 2, &[("coldRemainingMs", LONG_MS.into())]);
    }
    for server in &fleet.engines {
        until_cold(&gateways, server).await;
    }
    gateways.truncate(1);
    let since = Instant::now();
    let statuses = load(&gateways, 20, Duration::from_secs(4)).await;
    let got = |server: &&Server| server.most_arrivals_within(Duration::from_secs(60), since) > 0;
    let served = fleet.engines.iter().filter(got).count();
    assert!((1..fleet.engines.len()).contains(&served), "{served} servers got requests");
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(caller::metrics(&gateways[0]).await.contains("cold_grants{kind=\"no_holder\"}"));
}

/// In a large installation most gateways read no entries themselves.
#[tokio::test]
async fn gateways_that_follow_another_one_learn_which_servers_are_cold() {
    const GATEWAYS: usize = 14;
    let fleet = Fleet::start(0, 2).await;
    let gateways = start(&fleet, GATEWAYS).await;
    let (cold, warm) = (&fleet.engines[0], &fleet.engines[1]);
    register(&fleet, cold, 2, &[("coldRemainingMs", LONG_MS.into())]);
    // A server that starts warm is not taken for cold by those that see its entry only.
    let born = json!(1_800_000_000_000_u64);
    register(&fleet, warm, 1, &[("born", born.clone()), ("coldRemainingMs", 0.into())]);
    until_cold(&gateways, cold).await;
    let followers = gateways
        .iter()
        .filter(|gateway| !sources(gateway, cold, true).iter().any(|source| source == "entry"));
    assert!(followers.count() > 0);
    for gateway in &gateways {
        until("the server has joined", || {
            let lines = gateway.lines("server_joined");
            lines.iter().any(|line| line["incarnation"] == born && line["server"] == warm.id())
        })
        .await;
        assert_eq!(sources(gateway, warm, true), Vec::<String>::new());
    }
}

/// A new incarnation counts as cold although its entry does not say so.
#[tokio::test]
async fn a_server_that_started_again_is_cold_until_its_entry_says_otherwise() {
    let fleet = Fleet::start(0, 1).await;
    let gateways = start(&fleet, 2).await;
    let server = &fleet.engines[0];
    let born = json!(1_800_000_000_000_u64);
    let silent = [("born", born.clone()), ("coldRemainingMs", Value::Null)];
    register(&fleet, server, 1, &silent);
    until_cold(&gateways, server).await;
    assert!(sources(&gateways[0], server, true).iter().all(|source| source != "entry"));
    register(&fleet, server, 2, &[("born", born), ("coldRemainingMs", 0.into())]);
    for gateway in &gateways {
        until("the server is cold no more", || !sources(gateway, server, false).is_empty()).await;
    }
    load(&gateways, 4, SECOND).await;
    assert!(gateways[0].lines("request_sent").len() > 1);
}

#[tokio::test]
async fn what_one_health_check_shows_reaches_all_gateways() {
    let fleet = Fleet::start(0, 1).await;
    let gateways = start(&fleet, 3).await;
    let server = &fleet.engines[0];
    // A server that named terms and gets nothing is asked for its health.
    server.set_extra_headers(&[("Server-Limit", "50"), ("X-Cold-Ms", "40000")]);
    post(&gateways[0], NOTES).await;
    until_cold(&gateways, server).await;
    let from_checks = gateways.iter().filter(|gateway| {
        sources(gateway, server, true).iter().any(|source| source == "health_check")
    });
    assert!(from_checks.count() < gateways.len());
}

#[tokio::test]
async fn absurd_times_are_counted_and_change_nothing() {
    let fleet = Fleet::start(0, 2).await;
    let gateways = start(&fleet, 1).await;
    register(&fleet, &fleet.engines[0], 2, &[("coldRemainingMs", json!(-5))]);
    register(&fleet, &fleet.engines[1], 2, &[("coldRemainingMs", LONG_MS.into())]);
    until_cold(&gateways, &fleet.engines[1]).await;
    assert!(sources(&gateways[0], &fleet.engines[0], true).is_empty());
    let metrics = caller::metrics(&gateways[0]).await;
    assert!(metrics.contains("cold_ignored"), "{metrics}");
}
