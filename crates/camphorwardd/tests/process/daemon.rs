//! A daemon as a separate process.

use crate::site::DOMAINS;
use crate::wait;
use clients::http::HttpClient;
use clients::wire::host_list::{HostEntry, HostRole, HostState};
use protocol::ids::Incarnation;
use protocol::message::operator::{Counters, NodeStatus};
use serde::Deserialize;
use standins::site::Site;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// The addresses that a daemon prints when it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

/// A running daemon; killed when dropped.
pub struct Daemon {
    child: Child,
    pub host: String,
    pub addresses: Addresses,
    settings_file: PathBuf,
}

impl Daemon {
    /// Starts a daemon in a failure domain and adds it to the host list.
    pub async fn start(site: &Site, host: &str, domain: usize, extra: &str) -> Self {
        let (failure_domain, region) = DOMAINS[domain];
        let settings = format!(
            r#"{{ "host": "{host}", "failure_domain": "{failure_domain}", "region": "{region}",
  "listen": {{ "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" }},
  "platform": {{ "log": "{}", "host_list": "{}" }},
  "drain": {{ "balancer_wait_ms": 100, "bound_ms": 30000 }}{extra} }}"#,
            site.log.address(),
            site.host_list.address()
        );
        let daemon = Self::spawn(host, &settings);
        site.host_list.put(daemon.list_entry(failure_domain, region));
        daemon
    }

    fn spawn(host: &str, settings: &str) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("camphorward-{}-{number}.jsonc", std::process::id());
        let settings_file = std::env::temp_dir().join(name);
        std::fs::write(&settings_file, settings).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_camphorwardd"))
            .arg("--settings")
            .arg(&settings_file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the output is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the daemon prints its addresses");
        let addresses = serde_json::from_str(&line).expect("the addresses are JSON");
        Self { child, host: host.to_owned(), addresses, settings_file }
    }

    fn list_entry(&self, failure_domain: &str, region: &str) -> HostEntry {
        let Addresses { callers, peers, operators } = self.addresses;
        HostEntry {
            host: self.host.parse().expect("a valid name"),
            incarnation: Incarnation::new(0),
            region: region.parse().expect("a valid name"),
            failure_domain: failure_domain.parse().expect("a valid name"),
            state: HostState::Live,
            role: HostRole::Entry { callers, peers, operators },
        }
    }

    /// Waits until the daemon is ready and lists a number of entry hosts.
    pub async fn wait_ready(&self, entry_hosts: usize) {
        wait::until("the daemon is ready", || async {
            let status = self.status().await;
            status.is_some_and(|s| s.ready && s.live_entry_hosts.len() >= entry_hosts)
        })
        .await;
    }

    /// Returns the daemon's status.
    pub async fn status(&self) -> Option<NodeStatus> {
        let http = HttpClient::new();
        http.get_json(self.addresses.operators, "/status", CALL_TIMEOUT).await.ok()
    }

    /// Returns a counter.
    pub async fn counter(&self, name: &str) -> u64 {
        let http = HttpClient::new();
        let counters: Counters = http
            .get_json(self.addresses.operators, "/counters", CALL_TIMEOUT)
            .await
            .expect("the counters are served");
        *counters.values.get(name).expect("the counter exists")
    }

    /// Returns the peak of the process's resident memory, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("the kernel reports the peak").trim().trim_end_matches(" kB");
        peak.parse().expect("a number")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the process to exit and returns its exit code.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        for _ in 0..3_000 {
            if let Some(status) = self.child.try_wait().expect("the process can be watched") {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the daemon did not exit");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}
