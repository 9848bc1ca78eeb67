//! Crowds of clients that send anything, at each path and listener of a gateway on a small host: the
//! process lives, stays within its memory and leaves descriptors free, and then serves others.
//!
//! One test runs at a time. No test checks a time or how many of a crowd are served.
//!
//! `CAMPHORWARD_CROWDS_PROGRAM` names the program of another build, to run before the crowds.

#[path = "../gateway/caller.rs"]
#[allow(dead_code)]
mod caller;
#[path = "../gateway/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../gateway/process.rs"]
#[allow(dead_code)]
mod process;

mod client;
mod requests;

use crate::caller::{new_id, request};
use crate::client::{Crowd, Group};
use crate::fleet::{Fleet, ORDERS, configuration};
use crate::process::{Gateway, PROGRAM, command_of};
use crate::requests::{Kind, MAX_BODY_BYTES, MAX_HEADER_BYTES, Place, mixed};
use serde_json::Value;
use standins::fleet::Script;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// What the smallest hosts give a gateway.
const MEMORY_MB: u64 = 110;
const DESCRIPTORS: u64 = 2_870;
const MAX_MEMORY_KB: u64 = MEMORY_MB * 1_000_000 / 1_024;
/// A tenth of the descriptors is left for servers, peers and the store.
const MAX_DESCRIPTORS: usize = (DESCRIPTORS - DESCRIPTORS / 10) as usize;
/// Only stops a test that would hang.
const MAX_WAIT: Duration = Duration::from_secs(90);

const RETRY_PAUSE: Duration = Duration::from_millis(100);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn fleet() -> Fleet {
    let fleet = Fleet::start(1, 1).await;
    let mut configuration = configuration(2, &["alpha-key"]);
    configuration["limits"]["maxBodyBytes"] = Value::from(MAX_BODY_BYTES);
    configuration["limits"]["maxHeaderBytes"] = Value::from(MAX_HEADER_BYTES);
    fleet.store.put_configuration(&configuration);
    fleet
}

/// Returns a command that runs another one with few descriptors, under the same process id.
fn with_few_descriptors(command: &Command) -> Command {
    let mut shell = Command::new("sh");
    shell.arg("-c").arg(format!("ulimit -n {DESCRIPTORS} && exec \"$0\" \"$@\""));
    shell.arg(command.get_program()).args(command.get_args());
    shell
}

async fn small_host(fleet: &Fleet) -> Gateway {
    let mut settings: Value = serde_json::from_str(&fleet.settings("gateway-1", &[])).unwrap();
    settings["memory_mb"] = Value::from(MEMORY_MB);
    settings["log"]["level"] = Value::from("info");
    settings["log"]["max_lines_per_s"] = Value::from(200);
    let program = std::env::var("CAMPHORWARD_CROWDS_PROGRAM");
    let program = program.unwrap_or_else(|_| PROGRAM.to_owned());
    let settings = settings.to_string();
    let (command, file) = command_of(Path::new(&program), &settings);
    let gateway = Gateway::start_command(with_few_descriptors(&command), file).await;
    caller::until_ready(&gateway).await;
    gateway
}

/// Counts the descriptors of a process until the test ends, and keeps the largest number.
fn watch_descriptors(id: u32) -> Arc<AtomicUsize> {
    let most = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&most);
    std::thread::spawn(move || {
        while let Ok(open) = std::fs::read_dir(format!("/proc/{id}/fd")) {
            seen.fetch_max(open.count(), Ordering::Relaxed);
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    most
}

/// Waits until a gateway's memory and descriptors no longer grow: it has read what it reads.
async fn until_steady(gateway: &mut Gateway, most: &AtomicUsize) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(100);
    const STEADY_CHECKS: usize = 10;
    const MAX_CHECKS: usize = 300;
    let (mut last, mut steady) = ((0, 0), 0);
    for _ in 0..MAX_CHECKS {
        if gateway.exit_status().is_some() || steady == STEADY_CHECKS {
            return;
        }
        let now = (gateway.peak_memory_kb(), most.load(Ordering::Relaxed));
        steady = if now == last { steady + 1 } else { 0 };
        last = now;
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Sends a request on a new connection; returns whether it is answered with 200.
async fn is_answered(address: SocketAddr, request: &str) -> bool {
    /// After this a caller tries again.
    const MAX_ATTEMPT: Duration = Duration::from_secs(10);
    let attempt = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        Some(caller::read(&mut stream).await)
    };
    let response = tokio::time::timeout(MAX_ATTEMPT, attempt).await.ok().flatten();
    response.is_some_and(|response| response.status == 200 && response.is_complete)
}

/// Waits until one ordinary request is answered, and readiness is.
async fn until_served(gateway: &Gateway) -> bool {
    const READINESS: &str = "GET /camphorward/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let served = async {
        while !is_answered(gateway.ready, READINESS).await {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        while !is_answered(gateway.callers, &request(ORDERS, &new_id(), "", "body")).await {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, served).await.is_ok()
}

/// Checks a gateway before which a crowd stands.
async fn assert_withstands(what: &str, fleet: &Fleet, groups: impl FnOnce(&Gateway) -> Vec<Group>) {
    assert_withstands_beside(what, fleet, &Servers::default(), groups).await;
}

/// What servers do while a crowd stands, from before its first request until before the ordinary one.
#[derive(Default)]
struct Servers {
    /// What they answer.
    script: Option<Script>,
    /// Whether they send nothing at all.
    is_paused: bool,
}

impl Servers {
    fn begin(&self, fleet: &Fleet) {
        for server in fleet.desks.iter().chain(&fleet.engines) {
            server.set_script(self.script.clone());
            if self.is_paused {
                server.pause();
            }
        }
    }

    fn end(&self, fleet: &Fleet) {
        for server in fleet.desks.iter().chain(&fleet.engines) {
            server.set_script(None);
            server.resume();
        }
    }
}

/// Checks the same while servers misbehave.
async fn assert_withstands_beside(
    what: &str,
    fleet: &Fleet,
    servers: &Servers,
    groups: impl FnOnce(&Gateway) -> Vec<Group>,
) {
    let mut gateway = small_host(fleet).await;
    assert!(until_served(&gateway).await, "{what}: not served before the crowd");
    servers.begin(fleet);
    let most = watch_descriptors(gateway.id());
    let mut crowd = Crowd::start(groups(&gateway));
    let has_sent = tokio::time::timeout(MAX_WAIT, crowd.until_sent()).await.is_ok();
    until_steady(&mut gateway, &most).await;
    servers.end(fleet);
    let is_served = until_served(&gateway).await;
    let peak_kb = gateway.exit_status().is_none().then(|| gateway.peak_memory_kb());
    let most = most.load(Ordering::Relaxed);
    println!(
        "{what}: peak {peak_kb:?} kB of {MAX_MEMORY_KB}, {most} descriptors of {MAX_DESCRIPTORS}, served {is_served}"
    );
    crowd.end().await;
    assert!(has_sent, "{what}: clients hang");
    let peak_kb = peak_kb.expect("the process lives");
    assert!(peak_kb < MAX_MEMORY_KB, "{what}: {peak_kb} kB");
    assert!(most <= MAX_DESCRIPTORS, "{what}: {most} descriptors");
    assert!(is_served, "{what}: an ordinary request is not answered");
    assert!(until_served(&gateway).await, "{what}: not served after the crowd");
    assert_eq!(gateway.exit_status(), None, "{what}: the process has ended");
}

async fn assert_kind(kind: Kind, place: Place) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = fleet().await;
    if kind == Kind::SlowReaders {
        fleet.desks[0].set_padding_bytes(1 << 20);
        fleet.engines[0].set_padding_bytes(64 << 10);
        fleet.engines[0].set_events(50, Duration::from_millis(1));
    }
    let what = format!("{kind:?} at {place:?}");
    assert_withstands(&what, &fleet, |gateway| kind.groups(gateway, place)).await;
}

async fn assert_mixed(place: Place) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = fleet().await;
    let what = format!("mixed at {place:?}");
    assert_withstands(&what, &fleet, |gateway| mixed(gateway, place)).await;
}

/// Defines a test of one crowd at each place.
macro_rules! at_each_place {
    ($name:ident, $check:expr) => {
        at_each_place!($name, $check;
            route Route, path_without_route NoRoute, other_listeners OtherListeners);
    };
    ($name:ident, $check:expr; $($test:ident $place:ident),*) => {
        mod $name {
            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $test() {
                    $check(crate::Place::$place).await;
                }
            )*
        }
    };
}

macro_rules! crowds {
    ($($name:ident $kind:ident;)*) => {
        $(at_each_place!($name, (|place| crate::assert_kind(crate::Kind::$kind, place)));)*
    };
}

crowds! {
    bodies Bodies;
    bodies_short_of_their_end BodiesShortOfTheirEnd;
    small_bodies_short_of_their_end SmallBodiesShortOfTheirEnd;
    bodies_far_over_the_limit BodiesFarOverTheLimit;
    many_fields ManyFields;
    fields_up_to_the_limit FieldsUpToTheLimit;
    pipelined_answers_unread PipelinedAnswersUnread;
    pipelined_fields_up_to_the_limit PipelinedFieldsUpToTheLimit;
    slow_senders SlowSenders;
    slow_readers SlowReaders;
    half_way_stops HalfWayStops;
    idle Idle;
}

/// Streams are relayed as they arrive, unlike other answers.
mod at_a_stream {
    use crate::{Kind, Place, assert_kind, assert_mixed};

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn pipelined_answers_unread() {
        assert_kind(Kind::PipelinedAnswersUnread, Place::Stream).await;
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn slow_readers() {
        assert_kind(Kind::SlowReaders, Place::Stream).await;
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn mixed_kinds() {
        assert_mixed(Place::Stream).await;
    }
}

at_each_place!(mixed_kinds, crate::assert_mixed);

/// Callers send one small request each, and servers make the gateway hold the rest.
mod servers {
    use crate::requests::small_requests;
    use crate::{ONE_AT_A_TIME, Place, Servers, assert_withstands_beside, fleet};
    use standins::fleet::{Script, ScriptEnd, ScriptTarget};

    /// Just below what the gateway reads of a head.
    const HEAD_BYTES: usize = 60_000;

    async fn assert_beside(what: &str, place: Place, servers: Servers) {
        let _alone = ONE_AT_A_TIME.lock().await;
        let fleet = fleet().await;
        let what = format!("{what} at {place:?}");
        let groups = |gateway: &_| small_requests(gateway, place);
        assert_withstands_beside(&what, &fleet, &servers, groups).await;
    }

    fn stalling_after(text: &str) -> Servers {
        let script = Script::new(ScriptTarget::Requests, text, ScriptEnd::Keeps);
        Servers { script: Some(script), is_paused: false }
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn heads_that_do_not_end() {
        let servers = || {
            let long = "y".repeat(HEAD_BYTES);
            stalling_after(&format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Long: {long}"))
        };
        assert_beside("heads that do not end", Place::Route, servers()).await;
        assert_beside("heads that do not end", Place::Stream, servers()).await;
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn events_that_do_not_end() {
        let event = "y".repeat(HEAD_BYTES);
        let servers = stalling_after(&format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Seal: s\r\n\
             Content-Type: text/event-stream\r\n\r\nid: 1\ndata: {event}"
        ));
        assert_beside("events that do not end", Place::Stream, servers).await;
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn bodies_that_do_not_end() {
        let body = "y".repeat(HEAD_BYTES);
        let servers = stalling_after(&format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Seal: s\r\n\
             Content-Length: 1000000\r\n\r\n{body}"
        ));
        assert_beside("bodies that do not end", Place::Route, servers).await;
    }

    #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
    async fn silence() {
        let servers = Servers { script: None, is_paused: true };
        assert_beside("silence", Place::Route, servers).await;
    }
}
