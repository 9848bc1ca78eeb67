//! Tests of `status`, `drain`, `why` and `counters` with fake entry hosts.

mod support;

use camphorward::{Environment, Exit};
use std::net::SocketAddr;
use std::sync::Arc;
use support::fake_node::{Config, FakeNode, RECORDED_REQUEST};
use support::{Output, run, run_in, unused_address, write_file};

/// Two entry hosts, and a third one that is down; the first one lists all three.
struct Site {
    first: SocketAddr,
    second: (Arc<FakeNode>, SocketAddr),
    third: SocketAddr,
}

impl Site {
    async fn start() -> Self {
        let (first, first_address) = FakeNode::start("entry-1", Config::Fixed(2), false).await;
        let second = FakeNode::start("entry-2", Config::Fixed(1), true).await;
        let third = unused_address();
        first.list("entry-2", second.1);
        first.list("entry-3", third);
        Self { first: first_address, second, third }
    }

    async fn run(&self, args: &[&str]) -> Output {
        let environment = Environment { log: None, nodes: Some(self.first.to_string()) };
        run_in(args, &environment, "").await
    }

    fn render(&self, output: &Output) -> String {
        let (first, second) = (self.first.to_string(), self.second.1.to_string());
        let third = self.third.to_string();
        let names =
            [(first.as_str(), "FIRST"), (second.as_str(), "SECOND"), (third.as_str(), "THIRD")];
        output.render(&names)
    }
}

#[tokio::test]
async fn status_queries_all_listed_nodes() {
    let site = Site::start().await;
    let output = site.run(&["status"]).await;
    insta::assert_snapshot!("status", collapse_spaces(&site.render(&output)));
    let output = site.run(&["status", "--json"]).await;
    insta::assert_snapshot!("status_json", site.render(&output));
}

/// Collapses runs of spaces, since the column widths depend on the lengths of the addresses.
fn collapse_spaces(text: &str) -> String {
    let lines = text.lines().map(|line| line.split_whitespace().collect::<Vec<&str>>().join(" "));
    lines.collect::<Vec<String>>().join("\n")
}

#[tokio::test]
async fn watch_repeats_the_status() {
    let site = Site::start().await;
    let args = ["status", "--watch", "--interval-s", "0", "--rounds", "3", "--json"];
    let output = site.run(&args).await;
    assert_eq!((output.exit, output.out.lines().count()), (Exit::Success, 3));
}

#[tokio::test]
async fn nodes_and_address_map_are_read_from_a_settings_file() {
    let site = Site::start().await;
    let text = format!(
        "{{ // outside\n \"nodes\": [\"10.9.9.9:1\"], \"address_map\": {{ \"10.9.9.9:1\": \"{}\" }} }}",
        site.first
    );
    let file = write_file("client.jsonc", &text);
    let output = run(&["status", "--client-settings", &file]).await;
    assert_eq!(output.exit, Exit::Success, "{output:?}");
    let file = write_file("client_wrong.jsonc", "{ \"node\": [] }");
    let output = run(&["status", "--client-settings", &file]).await;
    insta::assert_snapshot!(output.render(&[(&file, "FILE")]));
}

#[tokio::test]
async fn drain_reaches_a_discovered_node() {
    let site = Site::start().await;
    let output = site.run(&["drain", "entry-2"]).await;
    insta::assert_snapshot!("drain", site.render(&output));
    assert!(site.second.0.is_draining());
    let output = site.run(&["drain", "entry-2", "--json"]).await;
    insta::assert_snapshot!("drain_again_json", site.render(&output));
    let output = site.run(&["drain", "entry-9"]).await;
    insta::assert_snapshot!("drain_unknown", site.render(&output));
    let output = site.run(&["drain", "entry-3"]).await;
    insta::assert_snapshot!("drain_of_a_node_that_is_down", site.render(&output));
}

#[tokio::test]
async fn why_queries_all_nodes() {
    let site = Site::start().await;
    let output = site.run(&["why", RECORDED_REQUEST]).await;
    insta::assert_snapshot!("why", site.render(&output));
    let output = site.run(&["why", RECORDED_REQUEST, "--json"]).await;
    insta::assert_snapshot!("why_json", site.render(&output));
    let output = site.run(&["why", "request-2"]).await;
    // The node that is down may have a record of the request.
    insta::assert_snapshot!("why_unknown_while_a_node_is_down", site.render(&output));
}

#[tokio::test]
async fn request_without_a_record() {
    let (_node, address) = FakeNode::start("entry-1", Config::Fixed(1), false).await;
    let output = run(&["why", "request-2", "--nodes", &address.to_string(), "--json"]).await;
    insta::assert_snapshot!(output.render(&[]));
}

#[tokio::test]
async fn counters_are_summed() {
    let site = Site::start().await;
    let output = site.run(&["counters", "--json"]).await;
    let sum = "\"total\":{\"refused.overloaded\":0,\"requests\":10}";
    assert!(output.out.contains(sum), "{output:?}");
    let output = site.run(&["counters", "--host", "entry-1"]).await;
    insta::assert_snapshot!("counters_of_one", site.render(&output));
    let output = site.run(&["counters", "--host", "entry-1", "--all", "--json"]).await;
    insta::assert_snapshot!("counters_json", site.render(&output));
    let output = site.run(&["counters", "--host", "entry-9"]).await;
    assert_eq!(output.exit, Exit::InvalidInput, "{output:?}");
}

#[tokio::test]
async fn commands_fail_if_no_node_answers() {
    let address = unused_address().to_string();
    for args in [vec!["status"], vec!["counters"], vec!["why", "r"], vec!["drain", "entry-1"]] {
        let output = run(&[args, vec!["--nodes", &address]].concat()).await;
        assert_eq!(output.exit, Exit::Unreachable, "{output:?}");
        assert!(output.err.starts_with("error: no entry host answers: "), "{output:?}");
    }
}
