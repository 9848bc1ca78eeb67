//! Gateways of this project as separate processes, started with the command of the deploy file and
//! settings from its template.

use crate::msgpack::Value;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/camphorwardd";
const TEMPLATE: &str = "deploy/gateway.jsonc";

/// The ids of the processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that a case has left, as when it took too long.
pub fn end_started() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// The addresses of one host, which stay the same over restarts.
pub struct Gateway {
    pub host: String,
    pub zone: &'static str,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Reserves addresses on a loopback address of the host's own.
    pub fn new(folder: &Path, host: &str, zone: &'static str, ip: &str) -> io::Result<Self> {
        let free = || -> io::Result<SocketAddr> { TcpListener::bind((ip, 0))?.local_addr() };
        let peers = loop {
            let address = free()?;
            if UdpSocket::bind(address).is_ok() {
                break address;
            }
        };
        Ok(Self {
            host: host.to_owned(),
            zone,
            callers: free()?,
            ready: free()?,
            peers,
            log: folder.join(format!("{host}.log")),
            settings: folder.join(format!("{host}.jsonc")),
            child: None,
        })
    }

    /// Writes the settings file as the platform does.
    pub fn write_settings(&self, store: SocketAddr, seeds: &[SocketAddr]) -> io::Result<()> {
        let ip = self.callers.ip().to_string();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let fields = [
            ("nodeName", format!("\"{}\"", self.host)),
            ("ip", format!("\"{ip}\"")),
            ("zone", format!("\"{}\"", self.zone)),
            ("zones", r#"{"kuma":"minami","izumi":"kinki","uto":"minami"}"#.to_owned()),
            ("bind.front", format!("\"{}\"", self.callers)),
            ("bind.readyAddr", format!("\"{}\"", self.ready)),
            ("bind.control", format!("\"{}\"", self.peers)),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("platform.address", format!("\"{store}\"")),
            ("bounds.drainMs", "2500".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.budgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "54".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.leaseMs", "3000".to_owned()),
            ("bounds.versionMs", "10000".to_owned()),
            ("limits.memoryMb", "110".to_owned()),
            ("limits.cpuCores", "1".to_owned()),
        ];
        let mut text = std::fs::read_to_string(TEMPLATE)?;
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}|json}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other("the template has a placeholder that is not known here"));
        }
        std::fs::write(&self.settings, text)
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg("--gateway")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        crate::caller::get(self.ready, "/camphorward/ready").status == 200
    }

    /// Waits until the gateway says that it is ready; returns whether it did in time.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if TcpStream::connect(self.ready).is_ok() && self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the log lines that hold a text.
    pub fn lines(&self, part: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }
}

/// Kills all processes at the same moment.
pub fn kill_all(gateways: &mut [Gateway]) {
    for child in gateways.iter_mut().filter_map(|gateway| gateway.child.as_mut()) {
        let _ = child.kill();
    }
    gateways.iter_mut().for_each(Gateway::kill);
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A route of the desired state.
pub fn route(path: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32) -> Value {
    crate::map! {
        "name": path.trim_matches('/'), "host": "maker.example", "pathPrefix": path,
        "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 1000, "priority": 1,
        "service": service, "maxAttempts": attempts, "public": false,
        "sticky": kind == "stream", "resumable": kind == "stream" && attempts > 1,
        "gapAimMs": 500,
    }
}

pub const KEY: &str = "nu6wsjnbanfqasnmgkcu";

/// A desired state with one tenant.
pub fn desired_state(version: u32, routes: Vec<Value>, services: Vec<Value>) -> Value {
    crate::map! {
        "version": version, "routes": routes, "services": services,
        "limits": crate::map! {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": vec![crate::map! { "name": "jeye930", "apiKeys": vec![KEY], "priority": 1 }],
    }
}

/// The service of engines, with the figures of the small site's sheet.
pub fn engines_service(name: &str) -> Value {
    crate::map! {
        "name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
        "engine": crate::map! {
            "slots": 64, "kvCapacity": 79874, "tokenKvBytes": 18432, "linkMbps": 280000.0,
            "moves": true, "backups": true, "managed": true, "stride": 6, "maxInflight": 12,
            "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
            "models": vec![crate::map! { "name": "daka510000" }],
        },
    }
}
