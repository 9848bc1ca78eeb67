//! Fakes of the log and of entry hosts, and functions that run command lines against them.

#![allow(dead_code)]

pub mod fake_log;
pub mod fake_node;
mod server;

use camphorward::{Environment, Exit, Streams};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A valid services text.
pub const SERVICES: &str = r#"{
    // One store.
    "regions": [{ "name": "r", "domains": ["a", "b"], "link_bits_per_s": 1000, "link_delay_ms": 1 }],
    "organisations": [],
    "services": [{ "name": "kept", "kind": "store", "expiry_s": 60, "bytes_per_s": 1000 }]
}
"#;

/// The output and the exit code of a command line.
#[derive(Debug)]
pub struct Output {
    /// The exit code.
    pub exit: Exit,
    /// The standard output.
    pub out: String,
    /// The standard error.
    pub err: String,
}

impl Output {
    /// Renders the output for a snapshot, with some texts replaced.
    pub fn render(&self, replacements: &[(&str, &str)]) -> String {
        let Self { exit, out, err } = self;
        let text = format!("exit {}\n-- out\n{out}-- err\n{err}", exit.code());
        replacements.iter().fold(text, |text, (from, to)| text.replace(from, to))
    }
}

/// Runs a command line with an empty environment and an empty standard input.
pub async fn run(args: &[&str]) -> Output {
    run_in(args, &Environment::default(), "").await
}

/// Runs a command line.
pub async fn run_in(args: &[&str], environment: &Environment, input: &str) -> Output {
    let (mut input, mut out, mut err) = (input.as_bytes(), Vec::new(), Vec::new());
    let args = args.iter().map(|arg| (*arg).to_owned()).collect();
    let streams = Streams { input: &mut input, out: &mut out, err: &mut err };
    let exit = camphorward::run(args, environment, streams).await;
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    Output { exit, out: text(out), err: text(err) }
}

/// Writes a file into the temporary folder of the tests and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path.to_str().expect("the path is text").to_owned()
}

/// Returns an address without a listener.
pub fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}
