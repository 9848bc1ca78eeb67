//! A tenant becomes dedicated by a new desired state; another tenant then uses KV cache that it made.

use crate::caller::{exchange, new_id, prompt};
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::site::{CONVERGED, Log, NOTES, SERVICE, Tenant, desired_state, start_gateways, until};
use crate::{Problem, Verdict};
use standins::fleet::Store;
use std::time::{Duration, Instant};

/// The part that the requests of both tenants share.
const SHARED: &str = "5c1e07a2";
const ALPHA: &str = "nu6wsjnbanfqasnmgkcu";
const BETA: &str = "b4k2jd8sla0fjw7qmzpe";

fn tenants(is_dedicated: bool) -> [Tenant; 2] {
    [
        Tenant { name: "alpha", key: ALPHA, is_dedicated },
        Tenant { name: "beta", key: BETA, is_dedicated: false },
    ]
}

fn request(key: &str, id: &str) -> String {
    let parts = format!("{SHARED}:512,{}:400", &id[8..]);
    prompt(&format!("{NOTES}2f"), id, key, &parts, 912, "")
}

/// Sends some requests at once, so that several servers run them.
async fn send_round(
    gateways: &[Gateway],
    key: &'static str,
    name: &str,
    log: &mut Log,
) -> Result<(), Problem> {
    const AT_ONCE: usize = 8;
    let mut sent = Vec::new();
    for index in 0..AT_ONCE {
        let (id, address) = (new_id(), gateways[index % gateways.len()].callers);
        let text = request(key, &id);
        sent.push((id, tokio::spawn(async move { exchange(address, &text).await.status })));
    }
    for (id, status) in sent {
        log.add(format!("{name} sent {id}, answered {}", status.await?));
    }
    Ok(())
}

pub async fn play(program: &str, has_trouble: bool, log: &mut Log) -> Result<Verdict, Problem> {
    let store = Store::start().await?;
    let mut engines = Vec::new();
    for id in ["i-7f3a91c2", "i-b03b4c0b"] {
        let engine = Engine::start(id, "v1", 4, Duration::from_millis(5)).await?;
        store.register(id, &engine.entry(SERVICE, "ready"));
        engines.push(engine);
    }
    store.put_configuration(&desired_state(1, &tenants(false)));
    let gateways = start_gateways(program, &store, &["front-kuma-1", "front-kuma-2"], 2).await?;
    // Requests of alpha, until each server has read the shared part for it.
    for _ in 0..20 {
        send_round(&gateways, ALPHA, "alpha", log).await?;
    }
    if engines.iter().any(|engine| engine.runs().is_empty()) {
        return Err("not every server ran a request".into());
    }
    if has_trouble {
        store.put_configuration(&desired_state(2, &tenants(true)));
        log.add("desired state 2 is confirmed: alpha is dedicated");
        for gateway in &gateways {
            until("the desired state is in force", || {
                let lines = gateway.lines("configuration_in_force");
                lines.iter().any(|line| line["version"] == 2)
            })
            .await?;
        }
    }
    tokio::time::sleep(CONVERGED).await;
    let sent = Instant::now();
    for _ in 0..5 {
        send_round(&gateways, BETA, "beta", log).await?;
        send_round(&gateways, ALPHA, "alpha", log).await?;
    }
    let mut broken = 0;
    for engine in &engines {
        for run in engine.runs().iter().filter(|run| run.at >= sent) {
            log.add(format!(
                "{} ran {} of {} under {:?}",
                engine.id(),
                run.attempt,
                run.tenant,
                run.salt
            ));
            for found in run.found.iter().filter(|found| found.made_by != run.tenant) {
                log.add(format!(
                    "  it used part {} under {:?}, which {} of {} had made",
                    found.part, found.salt, found.made_in, found.made_by
                ));
                let is_walled =
                    has_trouble && [&run.tenant, &found.made_by].contains(&&"alpha".to_owned());
                broken += usize::from(is_walled);
            }
        }
    }
    log.add(format!("runs that used KV cache across the wall of a dedicated tenant: {broken}"));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
