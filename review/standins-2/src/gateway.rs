//! A gateway as a separate process, started with the command of the deploy file.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// A running gateway, which is killed when dropped.
pub struct Gateway {
    child: Child,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    lines: Arc<Mutex<Vec<Value>>>,
    file: PathBuf,
}

/// Returns the settings of a gateway of a small site, with the fields of `deploy/gateway.jsonc`.
pub fn settings(host: &str, store: SocketAddr) -> Value {
    json!({
        "host": host,
        "address": "127.0.0.1",
        "failure_domain": "kuma",
        "regions": { "kuma": "minami", "uto": "minami", "izumi": "kinki" },
        "listen": {
            "callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "metrics_port": 0
        },
        "seeds": [],
        "store": { "address": store.to_string() },
        "bounds": {
            "drain_ms": 2500, "shutdown_s": 8.0, "retry_ratio": 0.2, "retry_slack": 54,
            "retry_window_s": 10, "steward_turn_ms": 3000, "weights_ms": 10000
        },
        "policies": [
            "base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine",
            "tenants", "platform"
        ],
        "memory_mb": 110,
        "worker_threads": 1,
        "prefill_tokens_per_ms": 55,
        "log": { "level": "info", "max_lines_per_s": 4000, "request_share": 1.0 }
    })
}

impl Gateway {
    /// Starts a gateway with some settings; `program` is that of the build of the deploy file.
    pub fn start(program: &str, settings: &Value) -> std::io::Result<Self> {
        let host = settings["host"].as_str().unwrap_or("gateway");
        let file =
            std::env::temp_dir().join(format!("review-2-{}-{host}.json", std::process::id()));
        std::fs::File::create(&file)?.write_all(settings.to_string().as_bytes())?;
        let mut command = Command::new(program);
        command.arg("--gateway").arg(&file).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let Some(output) = child.stdout.take() else {
            return Err(std::io::Error::other("the gateway has no output"));
        };
        let mut output = BufReader::new(output);
        let mut first = String::new();
        output.read_line(&mut first)?;
        let started: Value = serde_json::from_str(&first).unwrap_or_default();
        let address = |name: &str| {
            let text = started[name].as_str().unwrap_or_default();
            text.parse().map_err(|_| std::io::Error::other(format!("no address in {first}")))
        };
        let lines = Arc::new(Mutex::new(vec![started.clone()]));
        let written = Arc::clone(&lines);
        let (callers, ready) = (address("callers")?, address("ready")?);
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if let (Ok(value), Ok(mut lines)) = (serde_json::from_str(&line), written.lock()) {
                    lines.push(value);
                }
            }
        });
        Ok(Self { child, callers, ready, lines, file })
    }

    /// Returns the lines of one event of the log.
    pub fn lines(&self, event: &str) -> Vec<Value> {
        let lines = self.lines.lock().map(|lines| lines.clone()).unwrap_or_default();
        lines.into_iter().filter(|line| line["event"] == event).collect()
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        drop(Command::new("kill").args([&format!("-{name}"), &id]).status());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(std::fs::remove_file(&self.file));
    }
}
