//! Organisations that become dedicated share no cached blocks from then on.

use crate::caller::{self, new_id, read, send, until_event};
use crate::fleet::{Fleet, NOTES, configuration};
use crate::process::{Gateway, until};
use serde_json::{Value, json};
use standins::fleet::Server;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const REQUESTS: usize = 12;

/// Returns a configuration with organisations that may be dedicated. Each has its name as its key.
fn with_organisations(version: u64, organisations: &[(&str, bool)]) -> Value {
    let mut configuration = configuration(version, &[]);
    let listed = organisations.iter().map(|(name, is_dedicated)| {
        json!({ "name": name, "apiKeys": [name], "dedicated": is_dedicated })
    });
    configuration["tenants"] = listed.collect();
    configuration
}

fn request(organisation: &str) -> String {
    let id = new_id();
    let own = id.trim_start_matches("attempt");
    format!(
        "POST {NOTES} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         Authorization: Bearer {organisation}\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\n\
         X-Token-Count: 900,5\r\nX-Prompt-Prefix: 5c1e07a2:500,{own}:400\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

async fn send_all(gateways: &[&Gateway], organisation: &str) {
    for index in 0..REQUESTS {
        let gateway = gateways[index % gateways.len()];
        assert_eq!(send(gateway.callers, &request(organisation)).await.status, 200);
    }
}

/// Returns the salts under which an organisation's requests ran.
fn salts(fleet: &Fleet, organisation: &str) -> BTreeSet<String> {
    let executed = fleet.engines.iter().flat_map(Server::executed);
    let requests = executed.map(|run| run.request);
    let of_organisation = requests.filter(|request| request.header("x-tenant") == organisation);
    of_organisation.map(|request| request.header("x-cache-salt").to_owned()).collect()
}

async fn put_in_force(fleet: &Fleet, gateways: &[&Gateway], configuration: &Value) {
    fleet.store.put_configuration(configuration);
    for gateway in gateways {
        until("the configuration is in force", || {
            let lines = gateway.lines("configuration_in_force");
            lines.iter().any(|line| line["version"] == configuration["version"])
        })
        .await;
    }
}

/// Guards against requests of others that use what an organisation cached before it became dedicated,
/// at gateways that saw the change and at one that starts later.
#[tokio::test]
async fn nobody_uses_blocks_of_an_organisation_from_before_it_was_dedicated() {
    let fleet = Fleet::start(0, 2).await;
    let (first, second) = (fleet.gateway("gateway-1").await, fleet.gateway("gateway-2").await);
    let gateways = [&first, &second];
    let shared = with_organisations(2, &[("alpha", false), ("beta", false)]);
    put_in_force(&fleet, &gateways, &shared).await;
    send_all(&gateways, "alpha").await;
    send_all(&gateways, "beta").await;
    assert_eq!(salts(&fleet, "alpha"), ["1/m".to_owned()].into());
    assert_eq!(salts(&fleet, "beta"), ["1/m".to_owned()].into());

    put_in_force(&fleet, &gateways, &with_organisations(3, &[("alpha", true), ("beta", false)]))
        .await;
    let third = fleet.gateway("gateway-3").await;
    send_all(&[&first, &second, &third], "beta").await;
    let of_beta = salts(&fleet, "beta");
    assert_eq!(
        of_beta.len(),
        2,
        "one salt before, another one for all gateways after: {of_beta:?}"
    );
    send_all(&[&first, &second, &third], "alpha").await;
    assert!(salts(&fleet, "alpha").contains("1/m/alpha"));
    let changed = first.lines("dedicated_organisations_changed");
    assert_eq!((&changed[0]["version"], &changed[0]["dedicated"]), (&json!(3), &json!(["alpha"])));
    let scope = changed[0]["shared_scope"].as_str().unwrap();
    assert!(of_beta.contains(&format!("1/m/{scope}")));
    assert!(caller::metrics(&first).await.contains("dedicated_changed"));
}

/// Guards against a dedicated organisation that counts as ordinary once it has no key.
#[tokio::test]
async fn a_dedicated_organisation_without_keys_stays_apart() {
    let fleet = Fleet::start(0, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    let mut configuration = with_organisations(2, &[("alpha", true), ("beta", false)]);
    put_in_force(&fleet, &[&gateway], &configuration).await;
    send_all(&[&gateway], "beta").await;
    configuration["version"] = json!(3);
    configuration["tenants"][0]["apiKeys"] = json!([]);
    put_in_force(&fleet, &[&gateway], &configuration).await;
    send_all(&[&gateway], "beta").await;
    let of_beta = salts(&fleet, "beta");
    assert!(of_beta.len() == 1 && !of_beta.contains("1/m"), "{of_beta:?}");
}

/// Guards against a stream that goes on under the salt of the configuration under which it was read.
#[tokio::test]
async fn a_stream_goes_on_under_the_salt_of_the_configuration_in_force() {
    let fleet = Fleet::start(0, 2).await;
    for engine in &fleet.engines {
        engine.set_events(100, Duration::from_millis(10));
    }
    let gateway = fleet.gateway("gateway-1").await;
    let shared = with_organisations(2, &[("alpha", false), ("beta", false)]);
    put_in_force(&fleet, &[&gateway], &shared).await;
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    stream.write_all(request("alpha").as_bytes()).await.unwrap();
    until_event(&stream, 3).await;
    let dedicated = with_organisations(3, &[("alpha", true), ("beta", false)]);
    put_in_force(&fleet, &[&gateway], &dedicated).await;
    let began = fleet.engines.iter().find(|engine| !engine.executed().is_empty()).unwrap();
    began.set_resets_all_streams(true);
    assert!(read(&mut stream).await.is_complete);
    assert_eq!(salts(&fleet, "alpha"), ["1/m".to_owned(), "1/m/alpha".to_owned()].into());
}
