//! Checks that the operators' page lists all commands, options and exit codes.

mod support;

use camphorward::Exit;
use std::path::Path;
use support::run;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators").join(name);
    std::fs::read_to_string(path).expect("the page exists")
}

/// Returns the first words of the lines below a heading of a help text.
fn names_below(help: &str, heading: &str) -> Vec<String> {
    let lines = help.lines().skip_while(|line| *line != heading).skip(1);
    let entries = lines.take_while(|line| !line.is_empty());
    // Continuation lines are indented further.
    let entries = entries.filter(|line| line.starts_with("  ") && !line.starts_with("   "));
    let names = entries.filter_map(|line| line.split_whitespace().next());
    names.map(|name| name.trim_end_matches(',').to_owned()).collect()
}

/// Returns the first cell of each table row of a page, if the cell is formatted as code.
fn code_rows(page: &str) -> Vec<String> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

#[tokio::test]
async fn page_lists_all_commands_and_options() {
    let page = page("command-line.md");
    let listed = code_rows(&page);
    let help = run(&["--help"]).await.out;
    let commands = names_below(&help, "Commands:");
    assert!(commands.len() >= 9, "{help}");
    let mut missing = Vec::new();
    for command in &commands {
        let help = run(&[command, "--help"]).await.out;
        let options = names_below(&help, "Options:");
        let has = |name: &str| listed.iter().any(|row| row.starts_with(name));
        if !has(command) {
            missing.push(command.clone());
        }
        missing.extend(options.into_iter().filter(|option| !page.contains(option.as_str())));
    }
    let common = names_below(&help, "Options:");
    missing.extend(common.into_iter().filter(|option| !page.contains(option.as_str())));
    assert!(missing.is_empty(), "the page lacks {missing:?}");
}

#[test]
fn page_lists_all_exit_codes() {
    let page = page("command-line.md");
    let rows: Vec<String> = Exit::ALL
        .iter()
        .map(|exit| format!("| {} | `{}` | {} |", exit.code(), exit.as_str(), exit.meaning()))
        .collect();
    let missing: Vec<&String> = rows.iter().filter(|row| !page.contains(*row)).collect();
    assert!(missing.is_empty(), "the page lacks {missing:#?}");
}
