//! `camphorward check --kind configuration`: what is found in a configuration before it is sent.

mod support;

use camphorward::Exit;
use serde_json::{Value, json};
use standins::fleet::Store;
use support::{run, write_file};

fn configuration(version: u64) -> Value {
    let route = |name: &str, path: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "shop.example", "pathPrefix": path, "kind": kind,
            "timeoutMs": 8000, "targetLatencyMs": 1000, "maxAttempts": 2, "service": service
        })
    };
    json!({
        "version": version,
        "routes": [
            route("orders", "/orders/", "unsafe", "desk"),
            route("notes", "/notes/", "stream", "notes"),
        ],
        "services": [
            { "name": "desk", "healthPath": "/health", "maxConns": 100 },
            { "name": "notes", "healthPath": "/health", "maxConns": 100, "engine": {
                "slots": 64, "kvCapacity": 80000, "tokenKvBytes": 18432,
                "models": [{ "name": "m" }] } },
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000
        },
        "tenants": [
            { "name": "alpha", "apiKeys": ["alpha-key"] },
            { "name": "beta", "apiKeys": ["beta-key"] },
        ]
    })
}

/// A configuration with each kind of problem.
fn faulty() -> Value {
    let mut faulty = configuration(2);
    let edit = |value: &mut Value, fields: Value| {
        let fields = fields.as_object().unwrap().clone();
        value.as_object_mut().unwrap().extend(fields);
    };
    let routes = faulty["routes"].as_array_mut().unwrap();
    let mut add = |fields: Value| {
        let mut route = routes[0].clone();
        edit(&mut route, fields);
        routes.push(route);
    };
    add(json!({ "name": "shadowed", "host": "SHOP.example" }));
    add(json!({ "pathPrefix": "/again/" }));
    add(json!({ "name": "port", "host": "shop.example:8080" }));
    add(json!({ "name": "slash", "pathPrefix": "/slash" }));
    add(json!({ "name": "nowhere", "pathPrefix": "/a/", "service": null }));
    add(json!({ "name": "typo", "pathPrefix": "/b/", "service": "dsek" }));
    add(json!({ "name": "store", "pathPrefix": "/c/", "service": "blocks" }));
    add(json!({ "name": "split", "pathPrefix": "/d/", "backends": [
        { "service": "desk", "weight": 1 }, { "service": "notes", "weight": 0 }] }));
    add(json!({ "name": "times", "pathPrefix": "/e/", "kind": "stream", "timeoutMs": 500,
        "targetLatencyMs": 900, "gapAimMs": 600 }));
    add(json!({ "name": "never", "pathPrefix": "/f/", "timeoutMs": 0, "targetLatencyMs": 0,
        "maxAttempts": 0, "gapAimMs": 0 }));
    add(json!({ "name": "once", "pathPrefix": "/g/", "kind": "stream", "resumable": true,
        "maxAttempts": 1 }));
    add(json!({ "name": "regions", "pathPrefix": "/h/", "allowedRegions": ["esat", "east"] }));
    let services = faulty["services"].as_array_mut().unwrap();
    let store = |name: &str| {
        json!({ "name": name, "kvStoreAddr": "127.0.0.1:9", "zone": "east-1", "kvCapacity": 0,
            "linkMbps": 0.0 })
    };
    services.push(store("blocks"));
    services.push(store("more-blocks"));
    services.push(json!({ "name": "idle", "maxConns": 0 }));
    services.push(json!({ "name": "desk" }));
    services.push(json!({ "name": "engines", "maxConns": 4, "engine": {
        "slots": 8, "kvCapacity": 0, "tokenKvBytes": 0 } }));
    let organisations = faulty["tenants"].as_array_mut().unwrap();
    organisations.push(json!({ "name": "gamma", "apiKeys": ["beta-key", "x", "x", ""],
        "allowedRegions": ["west"] }));
    organisations.push(json!({ "name": "alpha", "apiKeys": [] }));
    edit(
        &mut faulty["limits"],
        json!({ "maxHeaderBytes": 0, "headerTimeoutMs": 20000,
        "idleTimeoutMs": 15000, "maxBodyByte": 1 }),
    );
    faulty
}

/// Fails if a kind of problem is not found any more, or its text changes.
#[tokio::test]
async fn each_kind_of_problem_is_found() {
    let in_force = write_file("configuration_in_force.json", &configuration(2).to_string());
    let file = write_file("configuration_faulty.json", &faulty().to_string());
    let args = ["check", &file, "--kind=configuration", "--regions=east,west"];
    let output = run(&[&args[..], &["--in-force", &in_force]].concat()).await;
    assert_eq!(output.exit, Exit::InvalidInput);
    insta::assert_snapshot!("problems", output.render(&[(&file, "FILE")]));
    assert!(!output.out.contains("beta-key"), "keys are not printed");
}

/// Fails if a sound configuration is rejected, or a difference from the one in force is missed.
#[tokio::test]
async fn differences_from_the_version_in_force_are_listed() {
    let mut before = configuration(3);
    before["routes"][1]["allowedRegions"] = json!(["east"]);
    before["services"][1]["coldS"] = json!(3.0);
    before["services"][1]["coldPerS"] = json!(12.0);
    before["routes"].as_array_mut().unwrap().push(json!({
        "name": "old", "host": "shop.example", "pathPrefix": "/old/", "kind": "safe",
        "timeoutMs": 8000, "targetLatencyMs": 1000, "service": "desk"
    }));
    let mut after = configuration(4);
    after["routes"][0]["timeoutMs"] = json!(6000);
    after["tenants"][1]["apiKeys"] = json!(["another-key", "beta-key"]);
    after["tenants"].as_array_mut().unwrap().push(json!({ "name": "new", "apiKeys": ["k"] }));
    after["limits"]["maxBodyBytes"] = json!(200_000);
    // Comments and trailing commas may stand in a file.
    let text = after.to_string().replacen('{', "{ // the next version\n", 1);
    let file = write_file("configuration_after.jsonc", &text);
    let in_force = write_file("configuration_before.json", &before.to_string());
    let args = ["check", &file, "--kind=configuration", "--in-force", &in_force];
    let output = run(&args).await;
    assert_eq!(output.exit, Exit::Success);
    insta::assert_snapshot!("differences", output.render(&[(&file, "FILE")]));
    let output = run(&[&args[..], &["--json"]].concat()).await;
    insta::assert_snapshot!("differences_json", output.render(&[(&file, "FILE")]));
}

/// Fails if the version in force cannot be read from the store, or its absence is an error.
#[tokio::test]
async fn the_version_in_force_is_read_from_the_store() {
    let store = Store::start().await.unwrap();
    let file = write_file("configuration_for_store.json", &configuration(4).to_string());
    let address = store.address().to_string();
    let args = ["check", &file, "--kind=configuration", "--store", &address];
    let output = run(&args).await;
    assert_eq!(output.exit, Exit::Success, "{}", output.err);
    assert!(!output.out.contains("in force"), "{}", output.out);
    store.put_configuration(&configuration(4));
    let output = run(&args).await;
    assert_eq!(output.exit, Exit::InvalidInput);
    assert!(output.out.contains("not higher than version 4"), "{}", output.out);
    assert!(output.out.contains("no difference from version 4"), "{}", output.out);
    let nobody = support::unused_address().to_string();
    let args = ["check", &file, "--kind=configuration", "--store", &nobody];
    assert_eq!(run(&args).await.exit, Exit::Unreachable);
}

/// Fails if a warning ends a script that asked for errors only, or does not end a strict one.
#[tokio::test]
async fn warnings_are_errors_where_asked_for() {
    let mut unused = configuration(1);
    unused["services"].as_array_mut().unwrap().push(json!({ "name": "idle" }));
    let file = write_file("configuration_warning.json", &unused.to_string());
    let args = ["check", &file, "--kind=configuration"];
    let output = run(&args).await;
    assert_eq!(output.exit, Exit::Success);
    assert!(output.out.contains("warning: service idle: no route names it"), "{}", output.out);
    let output = run(&[&args[..], &["--strict"]].concat()).await;
    assert_eq!(output.exit, Exit::InvalidInput);
}

/// Fails if a malformed field is reported without its place.
#[tokio::test]
async fn malformed_configurations_are_reported_with_their_place() {
    let mut kind = configuration(1);
    kind["routes"][1]["kind"] = json!("streem");
    let mut missing = configuration(1);
    missing["limits"].as_object_mut().unwrap().remove("idleTimeoutMs");
    let texts =
        [kind.to_string(), missing.to_string(), "{ \"version\": ".to_owned(), "[]".to_owned()];
    let mut rendered = Vec::new();
    for text in texts {
        let file = write_file("configuration_malformed.json", &text);
        let output = run(&["check", &file, "--kind=configuration"]).await;
        assert_eq!(output.exit, Exit::InvalidInput);
        rendered.push(output.render(&[(&file, "FILE")]));
    }
    insta::assert_snapshot!("malformed", rendered.join("\n\n"));
}
