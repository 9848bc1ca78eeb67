//! Invalid requests of callers.

use crate::caller::{Answer, complete, expected_answer_to, prompt, send};
use crate::daemon::Daemon;
use crate::site::{self, KEY_A, MODEL};
use crate::wait;
use http::Method;
use serde_json::json;
use standins::engine::EngineConfig;

/// Name, path, headers and body of a request.
type Case = (&'static str, &'static str, Vec<(&'static str, &'static str)>, String);

const AUTH: (&str, &str) = ("authorization", "Bearer key-of-org-a");

fn summary(name: &str, answer: &Answer) -> String {
    let error = &answer.json()["error"];
    let retry_after = answer.headers.get("retry-after").and_then(|value| value.to_str().ok());
    format!("{name}: {} {error} retry-after={retry_after:?}", answer.status)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_request_gets_its_own_clear_refusal() {
    let site = site::start(EngineConfig::default()).await;
    let daemon = Daemon::start(&site, "e1", 0, r#", "limits": { "body_bytes": 20000 }"#).await;
    let to = daemon.addresses.callers;
    let completions = "/v1/completions";
    let post = |path: &'static str, headers: Vec<(&'static str, &'static str)>, body: String| async move {
        send(to, Method::POST, path, &headers, body).await
    };
    let body = json!({ "model": MODEL, "prompt": "hello", "max_tokens": 1 }).to_string();
    let mut seen = Vec::new();
    wait::until("the log was read to its end", || async {
        let reason = daemon.status().await.and_then(|status| status.not_ready_reason);
        reason.as_deref() == Some("no configuration has been published yet")
    })
    .await;
    seen.push(summary(
        "before the first configuration",
        &post(completions, vec![AUTH], body.clone()).await,
    ));
    site::publish(&site).await;
    daemon.wait_ready(1).await;

    let cases: Vec<Case> = vec![
        ("no key", completions, vec![], body.clone()),
        ("unknown key", completions, vec![("authorization", "Bearer nobody")], body.clone()),
        ("malformed JSON", completions, vec![AUTH], "{ \"model\": ".to_owned()),
        ("missing field", completions, vec![AUTH], "{ \"model\": \"x\" }".to_owned()),
        ("wrong type", completions, vec![AUTH], "{ \"model\": 7, \"prompt\": \"\" }".to_owned()),
        ("unknown model", completions, vec![AUTH], body.replace(MODEL, "no-such-model")),
        ("no tokens", completions, vec![AUTH], body.replace(":1", ":0")),
        ("large body", completions, vec![AUTH], "x".repeat(30_000)),
        ("unknown path", "/v1/nothing", vec![AUTH], body.clone()),
        ("unknown service", "/v1/services/none/orders", vec![AUTH], body.clone()),
        ("unknown call", "/v1/services/orders/none", vec![AUTH], body.clone()),
        ("wrong method", "/v1/services/orders/stock/a", vec![AUTH], body.clone()),
        ("wrong method of a path", "/v1/models", vec![AUTH], body.clone()),
    ];
    for (name, path, headers, body) in cases {
        seen.push(summary(name, &post(path, headers, body).await));
    }
    let large = "x".repeat(100_000);
    let headers = [AUTH, ("x-large", large.as_str())];
    let answer = send(to, Method::POST, completions, &headers, body.clone()).await;
    seen.push(summary("large headers", &answer));
    insta::assert_snapshot!(seen.join("\n"));

    let text = prompt("after all that", 1);
    let answer = complete(to, KEY_A, MODEL, &text, 2).await;
    assert_eq!(answer.streamed_text(), Some(expected_answer_to(&text, 2)));
    assert_eq!(daemon.counter("refusals.unknown_organisation").await, 2);
}
