//! Stand-ins for the platform, servers and callers, and the cases that run this project's gateways
//! before them. Started as `standins CASE RECORD`; exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod added;
mod blocks;
mod caller;
mod engine;
mod gateway;
mod http;
mod memory;
mod model_server;
mod msgpack;
mod record;
mod release;
mod store;

use crate::gateway::Gateway;
use crate::record::Record;
use crate::store::Store;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// After this time a case has not run.
const MAX_TIME: Duration = Duration::from_secs(114);

/// The zones of the small site, in the order in which its machines are listed.
const ZONES: [&str; 7] = ["kuma", "izumi", "uto", "kuma", "izumi", "uto", "kuma"];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("camphorward-review-{}", std::process::id()));
    let result = run(case, path, &folder, has_trouble);
    gateway::end_started();
    let _ = std::fs::remove_dir_all(&folder);
    match result {
        Ok(true) => {
            let _ = writeln!(io::stdout(), "the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            let _ = writeln!(io::stdout(), "the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, path: &str, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    std::fs::create_dir_all(folder)?;
    let record = Record::create(path)?;
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let (sender, receiver) = std::sync::mpsc::channel();
    let (case, folder, running) = (case.to_owned(), folder.to_owned(), record.clone());
    // Processes are ended as the case's thread ends.
    let thread = std::thread::spawn(move || {
        let result = match case.as_str() {
            "added" => added::run(&folder, &running, has_trouble),
            "memory" => memory::run(&folder, &running, has_trouble),
            "release" => release::run(&folder, &running, has_trouble),
            _ => Err(io::Error::other("no such case")),
        };
        let _ = sender.send(());
        result
    });
    if receiver.recv_timeout(MAX_TIME).is_err() && !thread.is_finished() {
        return Err(io::Error::other("it took too long"));
    }
    thread.join().unwrap_or_else(|_| Err(io::Error::other("it panicked")))
}

/// Starts gateways, each on a loopback address of its own, and waits until all are ready.
pub fn start_gateways(folder: &Path, store: &Store, count: usize) -> io::Result<Vec<Gateway>> {
    let mut gateways = Vec::new();
    for index in 0..count {
        gateways.push(new_gateway(folder, index)?);
    }
    let seeds: Vec<SocketAddr> = gateways.iter().take(3).map(|gateway| gateway.peers).collect();
    for gateway in &mut gateways {
        gateway.write_settings(store.address, &seeds)?;
        gateway.start()?;
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} does not get ready", gateway.host)));
        }
    }
    Ok(gateways)
}

/// Reserves the addresses of one gateway.
pub fn new_gateway(folder: &Path, index: usize) -> io::Result<Gateway> {
    let zone = ZONES[index % ZONES.len()];
    let id = std::process::id();
    let ip = format!("127.{}.{}.{}", 1 + (id >> 8) % 250, 1 + id % 250, index + 1);
    Gateway::new(folder, &format!("front-{zone}-{}", index + 1), zone, &ip)
}
