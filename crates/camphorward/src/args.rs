//! The command line's options.

mod hoist;

use crate::commands::Command;
use crate::exit::Exit;
use argh::{EarlyExit, FromArgs};

const PROGRAM: &str = "camphorward";

/// Operates camphorward: checks, publishes and shows configurations, and asks the entry hosts
/// for their state. The options listed here may also follow the command.
#[derive(Debug, FromArgs)]
pub struct TopLevel {
    /// address of the log; also from CAMPHORWARD_LOG
    #[argh(option, arg_name = "ADDR")]
    pub log: Option<String>,
    /// operators' listeners of some entry hosts; also from CAMPHORWARD_NODES
    #[argh(option, arg_name = "ADDR[,ADDR]")]
    pub nodes: Option<String>,
    /// file, JSON with comments, that names log and nodes
    #[argh(option, arg_name = "FILE")]
    pub client_settings: Option<String>,
    /// print one line of JSON
    #[argh(switch)]
    pub json: bool,
    /// log what the program does to the standard error
    #[argh(switch)]
    pub verbose: bool,
    /// the command
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Says what to do about a command line.
#[derive(Debug)]
pub enum Parsed {
    /// Run the command.
    Run(TopLevel),
    /// Print a text that was asked for.
    Print(String),
    /// Refuse the command line.
    Wrong(String),
}

/// Parses a command line, without the program's name.
pub fn parse(args: &[String]) -> Parsed {
    if let [only] = args
        && matches!(only.as_str(), "--version" | "-V" | "version")
    {
        return Parsed::Print(format!("{PROGRAM} {}", env!("CARGO_PKG_VERSION")));
    }
    let args = match hoist::hoist(args) {
        Ok(args) => args,
        Err(message) => return Parsed::Wrong(message),
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match TopLevel::from_args(&[PROGRAM], &args) {
        Ok(top) => Parsed::Run(top),
        Err(EarlyExit { output, status: Ok(()) }) => Parsed::Print(with_exit_codes(&output)),
        Err(EarlyExit { output, status: Err(()) }) => Parsed::Wrong(output),
    }
}

fn with_exit_codes(help: &str) -> String {
    let codes: Vec<String> = Exit::ALL.iter().map(|exit| format!("  {exit}")).collect();
    format!("{}\n\nExit codes:\n{}\n", help.trim_end(), codes.join("\n"))
}
