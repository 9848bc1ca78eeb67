//! Commands that need neither the log nor entry hosts.

mod support;

use camphorward::{Environment, Exit};
use support::{SERVICES, run, run_in, write_file};

#[tokio::test]
async fn help_lists_the_commands_and_the_exit_codes() {
    let output = run(&["--help"]).await;
    insta::assert_snapshot!("help", output.render(&[]));
    let output = run(&["publish", "--help"]).await;
    insta::assert_snapshot!("help_of_a_command", output.render(&[]));
    assert_eq!(run(&["help"]).await.exit, Exit::Success);
    assert_eq!(run(&["--version"]).await.exit, Exit::Success);
}

#[tokio::test]
async fn invalid_command_lines() {
    let cases: &[&[&str]] = &[
        &[],
        &["publsh"],
        &["publish"],
        &["publish", "FILE"],
        &["publish", "FILE", "--base", "one"],
        &["show", "--at"],
        &["check", "FILE", "--kind", "both"],
        &["why", "a request"],
        &["status", "--log"],
        &["status"],
        &["show"],
        &["show", "--log", "localhost:7001"],
        &["status", "--nodes", "127.0.0.1:1,here"],
        &["check", "no/such/file"],
        &["status", "--client-settings", "no/such/file"],
    ];
    let mut rendered = Vec::new();
    for args in cases {
        let output = run(args).await;
        assert_eq!(output.exit, Exit::InvalidInput, "{args:?}");
        rendered.push(format!("$ camphorward {}\n{}", args.join(" "), output.err));
    }
    insta::assert_snapshot!(rendered.join("\n"));
}

#[tokio::test]
async fn an_invalid_command_line_is_reported_as_json() {
    let output = run(&["publish", "FILE", "--json"]).await;
    insta::assert_snapshot!(output.render(&[]));
}

#[test]
fn program_reads_its_environment_and_returns_the_exit_code() {
    let program = env!("CARGO_BIN_EXE_camphorward");
    let run = |args: &[&str], log: &str| {
        let mut command = std::process::Command::new(program);
        command.args(args).env("CAMPHORWARD_LOG", log).env_remove("CAMPHORWARD_NODES");
        command.output().expect("the program starts")
    };
    assert_eq!(run(&["--version"], "").status.code(), Some(0));
    let output = run(&["show"], "nowhere");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("`nowhere` is not an address"));
    let unreachable = support::unused_address().to_string();
    assert_eq!(run(&["show"], &unreachable).status.code(), Some(4));
}

#[tokio::test]
async fn files_are_checked() {
    let services = write_file("check_services.jsonc", SERVICES);
    let invalid = SERVICES.replace("expiry_s", "expiry_ms").replace("\"kept\"", "\"kept work\"");
    let invalid = write_file("check_invalid.jsonc", &invalid);
    let ambiguous = write_file("check_ambiguous.jsonc", "{ \"a\": 1 }");
    let malformed = write_file("check_malformed.jsonc", "{ \"a\": ");
    let mut rendered = Vec::new();
    for file in [&services, &invalid, &ambiguous, &malformed] {
        for json in [false, true] {
            let args: &[&str] = if json { &["check", file, "--json"] } else { &["check", file] };
            let output = run(args).await;
            rendered.push(output.render(&[(file, "FILE")]));
        }
    }
    let output = run(&["check", &ambiguous, "--kind=process"]).await;
    rendered.push(output.render(&[(&ambiguous, "FILE")]));
    insta::assert_snapshot!(rendered.join("\n\n"));
}

#[tokio::test]
async fn digest_of_a_bearer_key() {
    let environment = Environment::default();
    let mut rendered = Vec::new();
    for input in ["secret-key\n", "", "two words", "key\u{e9}", &"k".repeat(5_000)] {
        let output = run_in(&["digest-key"], &environment, input).await;
        rendered.push(output.render(&[]));
    }
    let output = run_in(&["digest-key", "--json"], &environment, "secret-key").await;
    rendered.push(output.render(&[]));
    insta::assert_snapshot!(rendered.join("\n\n"));
}
