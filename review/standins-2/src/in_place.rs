//! A server crashes and starts again under its id with another version of its software; streams that
//! the version before had begun go on there.

use crate::caller::{Answer, new_id, prompt, read, send};
use crate::engine::Engine;
use crate::site::{Log, NOTES, SERVICE, Tenant, desired_state, start_gateways, until};
use crate::{Problem, Verdict};
use standins::fleet::Store;
use std::collections::BTreeSet;
use std::time::Duration;

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const SERVERS: [&str; 4] = ["i-7f3a91c2", "i-b03b4c0b", "i-e8f678e7", "i-3a895d21"];
const STREAMS: usize = 48;
/// A stream takes twelve seconds.
const EVENTS: u64 = 150;
const GAP: Duration = Duration::from_millis(80);
/// How long a server is down, and how long it runs again before the next one ends.
const DOWN: Duration = Duration::from_millis(1_000);
const BETWEEN: Duration = Duration::from_millis(400);

/// Returns the software versions that an answer's events name.
fn versions(answer: &Answer) -> BTreeSet<String> {
    let lines = answer.body.lines().filter_map(|line| line.split_once(" of "));
    lines.map(|(_, version)| version.trim().to_owned()).collect()
}

pub async fn play(program: &str, has_trouble: bool, log: &mut Log) -> Result<Verdict, Problem> {
    let store = Store::start().await?;
    let mut engines = Vec::new();
    for id in SERVERS {
        let engine = Engine::start(id, "v1", EVENTS, GAP).await?;
        store.register(id, &engine.entry(SERVICE, "ready"));
        engines.push(engine);
    }
    let tenants = [Tenant { name: "alpha", key: KEY, is_dedicated: false }];
    store.put_configuration(&desired_state(1, &tenants));
    let gateways =
        start_gateways(program, &store, &["front-kuma-1", "front-kuma-2"], engines.len()).await?;
    let mut streams = Vec::new();
    for index in 0..STREAMS {
        let id = new_id();
        let parts = format!("{}:900", &id[8..]);
        let text = prompt(&format!("{NOTES}{id}"), &id, KEY, &parts, 900, "");
        streams.push((id.clone(), send(gateways[index % 2].callers, &text).await?));
        log.add(format!("sent {id}"));
    }
    until("all run", || engines.iter().map(|engine| engine.runs().len()).sum::<usize>() >= STREAMS)
        .await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let reading: Vec<_> = streams
        .into_iter()
        .map(|(id, mut stream)| tokio::spawn(async move { (id, read(&mut stream).await) }))
        .collect();
    for engine in engines.iter().filter(|_| has_trouble) {
        engine.crash();
        log.add(format!("{} ends", engine.id()));
        tokio::time::sleep(DOWN).await;
        engine.restart("v2").await?;
        store.register(&engine.id(), &engine.entry(SERVICE, "ready"));
        log.add(format!(
            "{} runs again under its id, with v2, and has written its entry",
            engine.id()
        ));
        tokio::time::sleep(BETWEEN).await;
    }
    let mut mixed = 0;
    for stream in reading {
        let (id, answer) = stream.await?;
        let versions = versions(&answer);
        log.add(format!(
            "{id}: {} whole {} events of {versions:?}",
            answer.status, answer.is_complete
        ));
        mixed += usize::from(versions.len() > 1);
    }
    for engine in &engines {
        for run in engine.runs() {
            log.add(format!(
                "{} with {} ran {} after event {:?}",
                engine.id(),
                run.software,
                run.attempt,
                run.last_event
            ));
        }
    }
    for gateway in &gateways {
        for line in gateway.lines("server_crashed") {
            log.add(format!(
                "{} {} found that {} had crashed",
                gateway.id(),
                line["t_ms"],
                line["server"]
            ));
        }
        for line in gateway.lines("server_joined") {
            log.add(format!(
                "{} {} lists {} with {}",
                gateway.id(),
                line["t_ms"],
                line["server"],
                line["software"]
            ));
        }
    }
    log.add(format!("streams with events of two versions: {mixed}"));
    Ok(if mixed > 2 { Verdict::Broken } else { Verdict::Held })
}
