//! A fake operators' listener of an entry host.

use super::fake_log::FakeLog;
use super::server::{Handler, serve};
use control::configuration::ConfigLedger;
use protocol::ids::ConfigVersion;
use protocol::message::operator::{
    AttemptExplanation, CandidateExplanation, Counters, DecidedBy, DrainAnswer, EntryHostStatus,
    NodeStatus, OperatorError, OperatorRefusal, PlacementExplanation, ServerState, ServerStatus,
};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The request of which a node may have a record.
pub const RECORDED_REQUEST: &str = "request-1";

/// The source of a node's configuration version.
#[derive(Clone, Debug)]
pub enum Config {
    /// The records of a log.
    Log(Arc<FakeLog>),
    /// A constant version.
    Fixed(u64),
}

/// A fake entry host.
#[derive(Debug)]
pub struct FakeNode {
    name: String,
    config: Config,
    has_record: bool,
    draining: Mutex<bool>,
    listed: Mutex<Vec<EntryHostStatus>>,
}

impl FakeNode {
    /// Starts a node that lists itself as live.
    pub async fn start(name: &str, config: Config, has_record: bool) -> (Arc<Self>, SocketAddr) {
        let node = Arc::new(Self {
            name: name.to_owned(),
            config,
            has_record,
            draining: Mutex::default(),
            listed: Mutex::default(),
        });
        let address = serve(Arc::clone(&node)).await;
        node.list(name, address);
        (node, address)
    }

    /// Adds an entry host to those that the node lists as live.
    pub fn list(&self, name: &str, operators: SocketAddr) {
        let host = name.parse().expect("a host name");
        let entry = EntryHostStatus { host, operators, failure_domain: "a".parse().ok() };
        self.listed.lock().expect("no panic").push(entry);
    }

    /// Returns whether the node has received a drain request.
    pub fn is_draining(&self) -> bool {
        *self.draining.lock().expect("no panic")
    }

    fn config_version(&self) -> ConfigVersion {
        let log = match &self.config {
            Config::Fixed(version) => return ConfigVersion::new(*version),
            Config::Log(log) => log,
        };
        let mut ledger = ConfigLedger::new();
        for record in log.records() {
            ledger.apply(record.offset, &record.value);
        }
        ledger.in_force().version
    }

    fn status(&self) -> NodeStatus {
        let version = self.config_version();
        let ready = version != ConfigVersion::default() && !self.is_draining();
        NodeStatus {
            host: self.name.parse().expect("a host name"),
            incarnation: protocol::ids::Incarnation::new(7),
            failure_domain: "a".parse().expect("a name"),
            region: "r".parse().expect("a name"),
            ready,
            not_ready_reason: (!ready).then(|| "no configuration".to_owned()),
            draining: self.is_draining(),
            config_version: version,
            requests_in_flight: 3,
            live_entry_hosts: self.listed.lock().expect("no panic").clone(),
            servers: vec![ServerStatus {
                host: "engine-1".parse().expect("a name"),
                service: "shades".parse().expect("a name"),
                failure_domain: "a".parse().expect("a name"),
                incarnation: None,
                state: ServerState::Live,
                weight_version: "v1".parse().ok(),
                running: 2,
                queued: 1,
            }],
        }
    }

    fn counters(&self) -> Counters {
        let values = [("requests".to_owned(), 5), ("refused.overloaded".to_owned(), 0)];
        Counters { values: values.into_iter().collect() }
    }

    fn drain(&self) -> DrainAnswer {
        let mut draining = self.draining.lock().expect("no panic");
        let already_draining = std::mem::replace(&mut *draining, true);
        let host = self.name.parse().expect("a host name");
        DrainAnswer { host, already_draining, requests_in_flight: 3, bound_ms: 120_000 }
    }
}

impl Handler for FakeNode {
    fn answer(&self, method: &str, path: &str, _body: String) -> Option<(u16, String)> {
        match (method, path.strip_prefix("/why/")) {
            ("GET", Some(RECORDED_REQUEST)) if self.has_record => Some(ok(&explanation())),
            ("GET", Some(_)) => Some((404, refusal("no such request"))),
            _ => match (method, path) {
                ("GET", "/status") => Some(ok(&self.status())),
                ("GET", "/counters") => Some(ok(&self.counters())),
                ("POST", "/drain") => Some(ok(&self.drain())),
                _ => Some((404, refusal("no such call"))),
            },
        }
    }
}

fn ok(value: &impl Serialize) -> (u16, String) {
    (200, serde_json::to_string(value).expect("JSON"))
}

fn refusal(message: &str) -> String {
    let error = OperatorError { kind: "unknown_service".to_owned(), message: message.to_owned() };
    serde_json::to_string(&OperatorRefusal { error }).expect("JSON")
}

fn explanation() -> PlacementExplanation {
    let candidate = |server: &str, cached, import_ms, recompute_ms| CandidateExplanation {
        server: server.parse().expect("a name"),
        cached_pieces: cached,
        imported_pieces: 4 - cached,
        queue_ms: 10,
        import_ms,
        recompute_ms,
        expected_first_token_ms: 10 + import_ms + recompute_ms,
        excluded: None,
    };
    let mut excluded = candidate("engine-3", 4, 0, 0);
    excluded.excluded = Some("leaving".to_owned());
    PlacementExplanation {
        request_id: RECORDED_REQUEST.parse().expect("an id"),
        organisation: "alpha".parse().expect("a name"),
        service: "shades".parse().expect("a name"),
        config_version: ConfigVersion::new(1),
        prompt_tokens: 8_100,
        pieces: 4,
        home: "entry-2".parse().ok(),
        attempts: vec![AttemptExplanation {
            attempt_id: "request-1.1".parse().expect("an id"),
            server: "engine-1".parse().ok(),
            decided_by: DecidedBy::Home,
            candidates: vec![
                candidate("engine-1", 3, 40, 0),
                candidate("engine-2", 0, 160, 0),
                excluded,
            ],
            outcome: Some("done".to_owned()),
        }],
        outcome: None,
    }
}
