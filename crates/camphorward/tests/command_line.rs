//! Command lines that need no other process.

mod support;

use camphorward::{Environment, Exit};
use support::{SERVICES, run, run_in, write_file};

#[tokio::test]
async fn help_lists_the_commands_and_the_exit_codes() {
    let output = run(&["--help"]).await;
    insta::assert_snapshot!("help", output.render(&[]));
    let output = run(&["publish", "--help"]).await;
    insta::assert_snapshot!("help_of_a_command", output.render(&[]));
    assert_eq!(run(&["help"]).await.exit, Exit::Done);
    assert_eq!(run(&["--version"]).await.exit, Exit::Done);
}

#[tokio::test]
async fn command_lines_that_cannot_be_understood() {
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
        assert_eq!(output.exit, Exit::InputWrong, "{args:?}");
        rendered.push(format!("$ camphorward {}\n{}", args.join(" "), output.err));
    }
    insta::assert_snapshot!(rendered.join("\n"));
}

#[tokio::test]
async fn a_command_line_that_cannot_be_understood_is_told_as_json() {
    let output = run(&["publish", "FILE", "--json"]).await;
    insta::assert_snapshot!(output.render(&[]));
}

#[test]
fn the_program_reads_its_environment_and_returns_the_exit_code() {
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
    let nobody = support::unused_address().to_string();
    assert_eq!(run(&["show"], &nobody).status.code(), Some(4));
}

#[tokio::test]
async fn files_are_checked() {
    let services = write_file("check_services.jsonc", SERVICES);
    let wrong = SERVICES.replace("expiry_s", "expiry_ms").replace("\"kept\"", "\"kept work\"");
    let wrong = write_file("check_wrong.jsonc", &wrong);
    let neither = write_file("check_neither.jsonc", "{ \"a\": 1 }");
    let broken = write_file("check_broken.jsonc", "{ \"a\": ");
    let mut rendered = Vec::new();
    for file in [&services, &wrong, &neither, &broken] {
        for json in [false, true] {
            let args: &[&str] = if json { &["check", file, "--json"] } else { &["check", file] };
            let output = run(args).await;
            rendered.push(output.render(&[(file, "FILE")]));
        }
    }
    let output = run(&["check", &neither, "--kind=process"]).await;
    rendered.push(output.render(&[(&neither, "FILE")]));
    insta::assert_snapshot!(rendered.join("\n\n"));
}

#[tokio::test]
async fn a_key_is_digested() {
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
