//! The measured daemon, as a separate process.

use clients::http::HttpClient;
use clients::log::LogClient;
use control::configuration::{CONFIGURATION_STREAM, ConfigRecord};
use eyre::{OptionExt, WrapErr};
use protocol::ids::ConfigVersion;
use protocol::message::operator::NodeStatus;
use serde::Deserialize;
use standins::site::Site;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// The bearer key of the only organisation.
pub const KEY: &str = "benchmark-key";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(50);
/// The kernel's clock ticks per second, the unit of processor time in /proc.
const TICKS_PER_S: f64 = 100.0;
/// The fields of user and system time in /proc/PID/stat, counted after the command name.
const STAT_TIMES: std::ops::Range<usize> = 11..13;

#[derive(Clone, Copy, Debug, Deserialize)]
struct Addresses {
    callers: SocketAddr,
    operators: SocketAddr,
}

/// A daemon process, killed when dropped.
pub struct DaemonProcess {
    child: Child,
    addresses: Addresses,
    settings_file: PathBuf,
}

impl DaemonProcess {
    /// Starts a daemon and waits until it is ready.
    pub async fn start(site: &Site, worker_threads: Option<u32>) -> eyre::Result<Self> {
        publish(site).await?;
        let threads = worker_threads.map(|threads| format!(" \"worker_threads\": {threads},"));
        let threads = threads.unwrap_or_default();
        let settings = format!(
            r#"{{ "host": "e1", "failure_domain": "d", "region": "r", "log_level": "warn",{threads}
  "listen": {{ "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" }},
  "platform": {{ "log": "{}", "host_list": "{}" }} }}"#,
            site.log.address(),
            site.host_list.address()
        );
        let settings_file =
            std::env::temp_dir().join(format!("camphorward-overhead-{}.jsonc", std::process::id()));
        std::fs::write(&settings_file, settings)?;
        let mut child = Command::new(program()?)
            .arg("--settings")
            .arg(&settings_file)
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err("cannot start camphorwardd; build it first, in the same profile")?;
        let stdout = child.stdout.take().ok_or_eyre("the daemon has no output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let daemon = Self { child, addresses: serde_json::from_str(&line)?, settings_file };
        daemon.wait_ready().await;
        Ok(daemon)
    }

    /// Returns the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the processor time used so far, in seconds.
    pub fn cpu_s(&self) -> eyre::Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, fields) = stat.rsplit_once(") ").ok_or_eyre("malformed stat")?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let times = fields.get(STAT_TIMES).ok_or_eyre("malformed stat")?;
        let ticks: f64 = times.iter().filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
        Ok(ticks / TICKS_PER_S)
    }

    /// Returns the resident memory, in KiB.
    pub fn resident_kib(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.ok_or_eyre("no resident size")?.parse()?)
    }

    async fn wait_ready(&self) {
        let http = HttpClient::new();
        loop {
            let status: Result<NodeStatus, _> =
                http.get_json(self.addresses.operators, "/status", CALL_TIMEOUT).await;
            if status.is_ok_and(|status| status.ready) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

/// Returns the path of the daemon's binary, in the parent of this example's folder.
fn program() -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folder =
        executable.parent().and_then(|folder| folder.parent()).ok_or_eyre("no build folder")?;
    Ok(folder.join("camphorwardd"))
}

async fn publish(site: &Site) -> eyre::Result<()> {
    let digest = blake3::hash(KEY.as_bytes()).to_hex();
    let text = format!(
        r#"{{ "regions": [{{ "name": "r", "domains": ["d"], "link_bits_per_s": 30000000, "link_delay_ms": 12 }}],
  "organisations": [{{ "name": "org", "key_digests": ["{digest}"] }}],
  "services": [{{ "name": "model", "kind": "model", "model": "model", "weight_version": "v1",
    "fencing": "checked", "kv_bytes_per_token": 64, "first_token_deadline_ms": 30000,
    "token_gap_ms": 5 }}] }}"#
    );
    let base = ConfigVersion::new(0);
    let record = ConfigRecord { base, publication_id: "overhead".to_owned(), text };
    let log = LogClient::new(Arc::new(HttpClient::new()), site.log.address());
    log.append(CONFIGURATION_STREAM, serde_json::to_string(&record)?, CALL_TIMEOUT).await?;
    Ok(())
}
