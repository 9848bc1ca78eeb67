//! Parsing of the command line.

mod hoist;

use crate::commands::Command;
use crate::exit::Exit;
use argh::{EarlyExit, FromArgs};

const PROGRAM: &str = "camphorward";

/// Operates camphorward: checks, publishes and shows configurations, and queries the state of the
/// entry hosts. The options listed here may also follow the command.
#[derive(Debug, FromArgs)]
pub struct TopLevel {
    /// address of the log; also from CAMPHORWARD_LOG
    #[argh(option, arg_name = "ADDR")]
    pub log: Option<String>,
    /// operators' listeners of some entry hosts; also from CAMPHORWARD_NODES
    #[argh(option, arg_name = "ADDR[,ADDR]")]
    pub nodes: Option<String>,
    /// file, JSON with comments, with the addresses of log and nodes
    #[argh(option, arg_name = "FILE")]
    pub client_settings: Option<String>,
    /// print the result as one line of JSON
    #[argh(switch)]
    pub json: bool,
    /// write debug log messages to the standard error
    #[argh(switch)]
    pub verbose: bool,
    /// the command
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// The result of parsing a command line.
#[derive(Debug)]
pub enum Parsed {
    /// A command to run.
    Run(TopLevel),
    /// A text to print, such as the help or the version.
    Print(String),
    /// The error message for an invalid command line.
    Invalid(String),
}

/// Parses a command line that does not include the program's name.
pub fn parse(args: &[String]) -> Parsed {
    if let [arg] = args
        && matches!(arg.as_str(), "--version" | "-V" | "version")
    {
        return Parsed::Print(format!("{PROGRAM} {}", env!("CARGO_PKG_VERSION")));
    }
    let args = match hoist::hoist(args) {
        Ok(args) => args,
        Err(message) => return Parsed::Invalid(message),
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match TopLevel::from_args(&[PROGRAM], &args) {
        Ok(top) => Parsed::Run(top),
        Err(EarlyExit { output, status: Ok(()) }) => Parsed::Print(append_exit_codes(&output)),
        Err(EarlyExit { output, status: Err(()) }) => Parsed::Invalid(output),
    }
}

fn append_exit_codes(help: &str) -> String {
    let codes: Vec<String> = Exit::ALL.iter().map(|exit| format!("  {exit}")).collect();
    format!("{}\n\nExit codes:\n{}\n", help.trim_end(), codes.join("\n"))
}
