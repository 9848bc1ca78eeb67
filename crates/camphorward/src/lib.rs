//! The operators' command line: checks, publishes and shows configurations, and queries the state
//! of the entry hosts.

pub mod args;
mod commands;
mod connections;
mod console;
mod error;
mod exit;
mod logging;
mod nodes;
mod publications;
mod table;

pub use connections::Environment;
pub use exit::Exit;

use args::{Parsed, TopLevel};
use connections::Connections;
use console::Console;
use std::io::{Read, Write};

/// The standard streams of the process.
pub struct Streams<'a> {
    /// The standard input, from which a bearer key is read.
    pub input: &'a mut dyn Read,
    /// The standard output, for results.
    pub out: &'a mut dyn Write,
    /// The standard error, for error messages.
    pub err: &'a mut dyn Write,
}

/// Runs a command line that does not include the program's name.
pub async fn run(args: Vec<String>, environment: &Environment, streams: Streams<'_>) -> Exit {
    let top = match args::parse(&args) {
        Parsed::Run(top) => top,
        Parsed::Print(text) => return console::print_text(streams.out, &text),
        Parsed::Invalid(message) => {
            return Console::new(has_json(&args), streams).print_usage(message);
        }
    };
    logging::start(top.verbose);
    let json = top.json;
    let mut console = Console::new(json, streams);
    match run_command(top, environment, &mut console).await {
        Ok(()) => Exit::Success,
        Err(report) => console.print_error(&report),
    }
}

/// Returns whether an invalid command line requests JSON output.
fn has_json(args: &[String]) -> bool {
    args.iter().any(|arg| arg == "--json")
}

async fn run_command(
    top: TopLevel,
    environment: &Environment,
    console: &mut Console<'_>,
) -> eyre::Result<()> {
    let connections = Connections::new(&top, environment)?;
    commands::run(top.command, &connections, console).await
}
