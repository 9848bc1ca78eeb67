//! Tests of `publish`, `show` and `history` with a fake log that injects faults.

mod support;

use camphorward::Exit;
use support::fake_log::{FakeLog, Fault, record, snapshot};
use support::fake_node::{Config, FakeNode};
use support::{Output, SERVICES, run, unused_address, write_file};

/// Publishes a file with a given base version.
async fn publish(file: &str, log: &str, base: &str, more: &[&str]) -> Output {
    let mut args = vec!["publish", file, "--base", base, "--log", log];
    args.extend(more);
    run(&args).await
}

/// Renders an output without ids and durations, which differ from run to run.
fn render(output: &Output, log: &FakeLog) -> String {
    let ids = log.publication_ids();
    let generated = ids.iter().filter(|id| id.len() == 36).map(|id| (id.as_str(), "PUBLICATION"));
    let replaced: Vec<(&str, &str)> = generated.collect();
    let text = output.render(&replaced);
    let without_durations = |line: &str| match line.split_once(" after ") {
        Some((before, _)) => format!("{before} after N s"),
        None => match line.split_once("\"waited_ms\":") {
            Some((before, _)) => format!("{before}\"waited_ms\":N}}}}"),
            None => line.to_owned(),
        },
    };
    text.lines().map(without_durations).collect::<Vec<String>>().join("\n")
}

#[tokio::test]
async fn published_text_is_in_force_on_all_nodes() {
    let (log, address) = FakeLog::start().await;
    let (first, first_address) = FakeNode::start("entry-1", Config::Log(log.clone()), false).await;
    let (_second, second_address) =
        FakeNode::start("entry-2", Config::Log(log.clone()), false).await;
    first.list("entry-2", second_address);
    let file = write_file("publish.jsonc", SERVICES);
    let nodes = first_address.to_string();
    let output = publish(&file, &address.to_string(), "0", &["--nodes", &nodes]).await;
    insta::assert_snapshot!("published", render(&output, &log));
    let output = publish(&file, &address.to_string(), "1", &["--nodes", &nodes, "--json"]).await;
    insta::assert_snapshot!("published_json", render(&output, &log));
}

#[tokio::test]
async fn lagging_and_unreachable_nodes_are_listed() {
    let (log, address) = FakeLog::start().await;
    let (first, first_address) = FakeNode::start("entry-1", Config::Log(log.clone()), false).await;
    let (_second, second_address) = FakeNode::start("entry-2", Config::Fixed(0), false).await;
    first.list("entry-2", second_address);
    first.list("entry-3", unused_address());
    let file = write_file("lagging.jsonc", SERVICES);
    let nodes = first_address.to_string();
    let more = ["--nodes", &nodes, "--wait-s", "0"];
    let output = publish(&file, &address.to_string(), "0", &more).await;
    insta::assert_snapshot!("lagging", render(&output, &log));
    let more = ["--nodes", &nodes, "--wait-s", "0", "--json"];
    let output = publish(&file, &address.to_string(), "1", &more).await;
    insta::assert_snapshot!("lagging_json", render(&output, &log));
}

#[tokio::test]
async fn unreachable_node_does_not_delay_the_rollout() {
    let (log, address) = FakeLog::start().await;
    let (first, first_address) = FakeNode::start("entry-1", Config::Log(log.clone()), false).await;
    first.list("entry-3", unused_address());
    let file = write_file("unreachable.jsonc", SERVICES);
    let nodes = first_address.to_string();
    let output = publish(&file, &address.to_string(), "0", &["--nodes", &nodes]).await;
    insta::assert_snapshot!(render(&output, &log));
}

#[tokio::test]
async fn publish_without_a_reachable_node() {
    let (log, address) = FakeLog::start().await;
    let file = write_file("no_node.jsonc", SERVICES);
    let nodes = unused_address().to_string();
    let more = ["--nodes", &nodes, "--wait-s", "0"];
    let output = publish(&file, &address.to_string(), "0", &more).await;
    insta::assert_snapshot!(render(&output, &log).replace(&nodes, "NODE"));
}

#[tokio::test]
async fn wrong_base_is_a_conflict_without_an_append() {
    let (log, address) = FakeLog::start().await;
    log.push(record(0, "theirs", SERVICES));
    let file = write_file("old_base.jsonc", SERVICES);
    let output = publish(&file, &address.to_string(), "0", &[]).await;
    insta::assert_snapshot!("old_base", render(&output, &log));
    let output = publish(&file, &address.to_string(), "7", &["--json"]).await;
    insta::assert_snapshot!("base_of_the_future_json", render(&output, &log));
    assert_eq!(log.records().len(), 1);
}

#[tokio::test]
async fn conflict_after_the_append_reports_the_accepted_publication() {
    let (log, address) = FakeLog::start().await;
    log.fail_next([Fault::Precede(record(0, "theirs", SERVICES))]);
    let file = write_file("race.jsonc", SERVICES);
    let output = publish(&file, &address.to_string(), "0", &[]).await;
    insta::assert_snapshot!(render(&output, &log));
    assert_eq!(log.records().len(), 2);
}

#[tokio::test]
async fn one_of_several_concurrent_publishers_succeeds() {
    let (log, address) = FakeLog::start().await;
    let file = write_file("racing.jsonc", SERVICES);
    let address = address.to_string();
    let (a, b, c) = tokio::join!(
        publish(&file, &address, "0", &[]),
        publish(&file, &address, "0", &[]),
        publish(&file, &address, "0", &[])
    );
    let mut exits = [a.exit, b.exit, c.exit].map(Exit::code);
    exits.sort_unstable();
    assert_eq!(exits, [0, 3, 3]);
    // A publisher that read the stream after the accepted append did not append.
    assert!(!log.records().is_empty());
}

#[tokio::test]
async fn lost_append_answer_is_recovered_by_reading_the_stream() {
    let (log, address) = FakeLog::start().await;
    log.fail_next([Fault::LoseAnswer]);
    let file = write_file("lost_answer.jsonc", SERVICES);
    let output = publish(&file, &address.to_string(), "0", &[]).await;
    insta::assert_snapshot!(render(&output, &log));
    assert_eq!(log.records().len(), 1, "the record is not appended twice");
}

#[tokio::test]
async fn lost_append_answer_of_a_conflicting_record_is_a_conflict() {
    let (log, address) = FakeLog::start().await;
    log.push(record(0, "theirs", SERVICES));
    // The publisher reads version 1, but version 2 is accepted before its record is stored.
    log.fail_next([Fault::PrecedeAndLoseAnswer(record(1, "others", SERVICES))]);
    let file = write_file("lost_answer_of_a_conflict.jsonc", SERVICES);
    let output = publish(&file, &address.to_string(), "1", &[]).await;
    insta::assert_snapshot!(render(&output, &log));
}

#[tokio::test]
async fn lost_append_is_retried() {
    let (log, address) = FakeLog::start().await;
    log.fail_next([Fault::LoseRequest, Fault::Refuse(503)]);
    let file = write_file("lost_append.jsonc", SERVICES);
    let output = publish(&file, &address.to_string(), "0", &[]).await;
    assert_eq!(output.exit, Exit::Success, "{output:?}");
    assert_eq!(log.records().len(), 1);
}

#[tokio::test]
async fn append_without_a_stored_record_is_unconfirmed() {
    let (log, address) = FakeLog::start().await;
    log.fail_next([Fault::LoseRequest]);
    let file = write_file("unconfirmed.jsonc", SERVICES);
    let output = publish(&file, &address.to_string(), "0", &["--wait-s", "0"]).await;
    assert_eq!(output.exit, Exit::Unreachable);
    assert!(output.err.contains("it is not known whether the log stored the record"), "{output:?}");
    assert!(log.records().is_empty());
}

#[tokio::test]
async fn refusals_of_the_log() {
    let (log, address) = FakeLog::start().await;
    log.fail_next([Fault::Refuse(413)]);
    let file = write_file("refusing.jsonc", SERVICES);
    let output = publish(&file, &address.to_string(), "0", &["--json"]).await;
    insta::assert_snapshot!("refused", render(&output, &log));
    log.fail_next([Fault::Refuse(503)]);
    let output = publish(&file, &address.to_string(), "0", &["--wait-s", "0"]).await;
    insta::assert_snapshot!("log_down", render(&output, &log));
}

#[tokio::test]
async fn unreachable_log() {
    let file = write_file("no_log.jsonc", SERVICES);
    let address = unused_address().to_string();
    for args in [vec!["publish", file.as_str(), "--base", "0"], vec!["show"], vec!["history"]] {
        let output = run(&[args, vec!["--log", &address]].concat()).await;
        assert_eq!(output.exit, Exit::Unreachable, "{output:?}");
        assert!(output.err.starts_with("error: the log does not answer: "), "{output:?}");
    }
}

#[tokio::test]
async fn invalid_text_is_not_published() {
    let (log, address) = FakeLog::start().await;
    let file = write_file("invalid.jsonc", &SERVICES.replace("expiry_s", "expiry_ms"));
    let output = publish(&file, &address.to_string(), "0", &[]).await;
    assert_eq!(output.exit, Exit::InvalidInput);
    assert!(log.records().is_empty());
}

#[tokio::test]
async fn expired_records_without_a_snapshot() {
    let (log, address) = FakeLog::start().await;
    let address = address.to_string();
    for base in 0..120 {
        log.push(record(base, "earlier", SERVICES));
    }
    let history = run(&["history", "--log", &address, "--json"]).await;
    assert!(history.out.starts_with("{\"in_force\":120,"), "several pages are read: {history:?}");
    log.expire_before(7);
    let file = write_file("gap.jsonc", SERVICES);
    let output = publish(&file, &address, "120", &[]).await;
    insta::assert_snapshot!(render(&output, &log));
    for command in ["show", "history"] {
        assert_eq!(run(&[command, "--log", &address]).await.exit, Exit::Refused);
    }
    assert_eq!(log.records().len(), 120, "nothing is appended");
}

#[tokio::test]
async fn snapshots_replace_expired_records() {
    let (log, address) = FakeLog::start().await;
    let address = address.to_string();
    for base in 0..6 {
        log.push(record(base, &format!("publication-{base}"), SERVICES));
    }
    log.push_snapshot(snapshot(2, 2, SERVICES));
    log.push_snapshot("nonsense".to_owned());
    log.push_snapshot(snapshot(5, 5, &SERVICES.replace("// One store.", "// Snapshot.")));
    log.push_snapshot(snapshot(4, 4, SERVICES));
    log.expire_before(3);
    let mut rendered = Vec::new();
    for args in [
        vec!["show", "--json"],
        vec!["show", "--at", "4", "--json"],
        vec!["show", "--at", "2"],
        vec!["history"],
        vec!["history", "--json"],
    ] {
        let output = run(&[args, vec!["--log", &address]].concat()).await;
        rendered.push(render(&output, &log));
    }
    insta::assert_snapshot!(rendered.join("\n\n"));
    log.expire_before(6);
    log.push_snapshot(snapshot(6, 6, SERVICES));
    let file = write_file("snapshots.jsonc", SERVICES);
    let output = publish(&file, &address, "5", &[]).await;
    insta::assert_snapshot!("conflict_with_a_snapshot", render(&output, &log));
    let output = publish(&file, &address, "6", &[]).await;
    assert_eq!(output.exit, Exit::Success, "{output:?}");
}

#[tokio::test]
async fn show_and_history_of_published_texts() {
    let (log, address) = FakeLog::start().await;
    let address = address.to_string();
    let before = run(&["show", "--log", &address]).await;
    insta::assert_snapshot!("show_before_the_first", render(&before, &log));
    log.push(record(0, "first", SERVICES));
    log.push("nonsense".to_owned());
    log.push(record(0, "late", SERVICES));
    log.push(record(1, "broken", "{}"));
    log.push(record(1, "second", &SERVICES.replace("// One store.", "// Still one.")));
    let shown = run(&["show", "--log", &address]).await;
    insta::assert_snapshot!("show", render(&shown, &log));
    let shown = run(&["--log", &address, "show", "--at", "1", "--json"]).await;
    insta::assert_snapshot!("show_at_json", render(&shown, &log));
    let shown = run(&["show", "--log", &address, "--at=9"]).await;
    insta::assert_snapshot!("show_at_none", render(&shown, &log));
    let history = run(&["history", "--log", &address]).await;
    insta::assert_snapshot!("history", render(&history, &log));
    let history = run(&["history", "--log", &address, "--json"]).await;
    insta::assert_snapshot!("history_json", render(&history, &log));
}
