//! The site of a soak run: every path between processes runs over a link that can be partitioned.

use crate::caller;
use crate::fleet::{configuration, settings};
use crate::process::{Gateway, PROGRAM};
use serde_json::{Value, json};
use standins::fleet::{
    Availability, Behaviour, CrashPlan, CrashTrigger, Server, ServerKind, Store,
};
use standins::relay::{Link, LinkConfig, Partition, Relay};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// The services with their servers at the start, and their first software version.
const SERVICES: [(&str, usize, ServerKind, &str); 4] = [
    ("desk", 3, ServerKind::Plain, "v1"),
    ("annex", 2, ServerKind::Plain, "v1"),
    ("notes", 4, ServerKind::Engine, "v1"),
    ("archive", 2, ServerKind::Engine, "a1"),
];
const LINK: LinkConfig = LinkConfig { delay_ms: 1.0, bytes_per_s: None };
/// The failure domain in which half of the servers of each service stand, and which is evacuated.
pub const EVACUATED_DOMAIN: &str = "east-2";
/// A failure domain of another region, the only one that the route of [`QUICK`](crate::fleet::QUICK)
/// allows in plays with places.
pub const WEST_DOMAIN: &str = "west-1";
/// The events of each stream.
pub const EVENTS: u64 = 30;
/// The shortest timeout of a route, in milliseconds.
pub const MIN_TIMEOUT_MS: u64 = 5_000;
const EVENT_GAP: Duration = Duration::from_millis(30);
/// How long a gateway may take to put a configuration in force, and to read the entry of a server
/// that is back.
pub const CONVERGENCE: Duration = Duration::from_millis(2_500);

/// The text of requests that crash plain servers, and the segment that crashes engines.
pub const POISON: &str = "poison";
pub const BAD_SEGMENT: &str = "bad0";

/// Returns how servers crash: engines under a segment, others under a request.
fn crash_plan(kind: ServerKind) -> CrashPlan {
    let trigger = match kind {
        ServerKind::Plain => CrashTrigger::Request(POISON.to_owned()),
        ServerKind::Engine => CrashTrigger::Segment(BAD_SEGMENT.to_owned()),
    };
    let delay = Duration::from_millis(20);
    CrashPlan { trigger, delay, restart_after: Some(Duration::from_millis(700)) }
}

/// A request that crashes servers, and what became of it.
pub struct CrashingRequest {
    pub id: String,
    pub kind: ServerKind,
    pub slot: usize,
    pub sent: Instant,
    pub ended: Instant,
}

/// A server behind its link.
pub struct Member {
    pub server: Server,
    pub link: Arc<Link>,
    pub relay: Relay,
    pub service: &'static str,
    pub kind: ServerKind,
    pub version: String,
    pub domain: &'static str,
    heartbeat: AtomicU64,
    /// The ID of its last entry, which changes with a crash.
    registered: std::sync::Mutex<String>,
    /// The state in its entry; `None` once it has left.
    pub state: std::sync::Mutex<Option<&'static str>>,
    /// The faults at present.
    pub faults: AtomicUsize,
    /// When it broke and was sound again; silence is no break.
    breaks: std::sync::Mutex<Vec<(Instant, Option<Instant>)>>,
}

impl Member {
    async fn start(
        id: &str,
        kind: ServerKind,
        service: &'static str,
        version: &str,
        domain: &'static str,
    ) -> Self {
        let server = Server::start(id, kind).await.unwrap();
        server.set_software_version(version);
        server.set_events(EVENTS, EVENT_GAP);
        let link = Link::new(LINK);
        let relay = Relay::start(Arc::clone(&link), server.address()).await.unwrap();
        let state = std::sync::Mutex::new(Some("ready"));
        let (heartbeat, version) = (AtomicU64::new(0), version.to_owned());
        let (faults, breaks) = (AtomicUsize::new(0), std::sync::Mutex::default());
        let registered = std::sync::Mutex::new(id.to_owned());
        server.set_crash_plan(crash_plan(kind));
        Self {
            server,
            link,
            relay,
            service,
            kind,
            version,
            domain,
            heartbeat,
            registered,
            state,
            faults,
            breaks,
        }
    }

    /// Registers the server with its next heartbeat, unless it has left.
    pub fn beat(&self, store: &Store) {
        let state = self.state.lock().unwrap();
        let Some(state) = *state else { return };
        if !self.server.is_up() {
            return;
        }
        let id = self.server.id();
        let before = std::mem::replace(&mut *self.registered.lock().unwrap(), id.clone());
        if before != id {
            store.remove(&before);
        }
        let heartbeat = self.heartbeat.fetch_add(1, Ordering::Relaxed) + 1;
        let mut entry = self.server.entry(self.service, self.domain, heartbeat, state);
        entry["address"] = self.relay.address().to_string().into();
        store.register(&id, &entry);
    }

    pub fn is_ready(&self) -> bool {
        *self.state.lock().unwrap() == Some("ready")
    }

    /// Returns whether it has not crashed for a while.
    fn has_been_up_for(&self, period: Duration) -> bool {
        let outages = self.server.outages();
        let is_over = |end: &Instant| end.elapsed() >= period;
        outages.last().is_none_or(|(_, end)| end.as_ref().is_some_and(is_over))
    }

    /// Changes the state in the entry; `None` removes it. The server goes on with what it runs.
    pub fn set_state(&self, store: &Store, state: Option<&'static str>) {
        *self.state.lock().unwrap() = state;
        match state {
            Some(_) => self.beat(store),
            None => store.remove(&self.server.id()),
        }
    }

    /// Keeps up a fault for a duration.
    pub async fn fault(
        &self,
        is_break: bool,
        duration: Duration,
        begin: impl FnOnce(),
        end: impl FnOnce(),
    ) {
        self.faults.fetch_add(1, Ordering::Relaxed);
        let index = is_break.then(|| {
            let mut breaks = self.breaks.lock().unwrap();
            breaks.push((Instant::now(), None));
            breaks.len() - 1
        });
        begin();
        tokio::time::sleep(duration).await;
        end();
        if let Some(index) = index {
            self.breaks.lock().unwrap()[index].1 = Some(Instant::now());
        }
        self.faults.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether it was broken in a period.
    pub fn broke_within(&self, from: Instant, to: Instant) -> bool {
        /// How long the effects of a break take to reach the caller.
        const DELAY: Duration = Duration::from_millis(100);
        let mut breaks = self.breaks.lock().unwrap().clone();
        breaks.extend(self.server.outages());
        breaks.iter().any(|(begin, end)| *begin <= to && end.is_none_or(|end| end + DELAY >= from))
    }
}

/// What happened to a gateway's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotEvent {
    Started,
    Terminated,
    Killed,
    /// Its callers' connections were cut.
    Cut,
}

/// A slot for a gateway, whose process changes with kills and restarts.
pub struct GatewaySlot {
    /// First, as in [`World`].
    pub gateway: Mutex<Option<Gateway>>,
    pub host: String,
    /// The programs of the processes that are started, one after the other in turn.
    programs: Vec<PathBuf>,
    starts: AtomicUsize,
    /// When processes of another build were started.
    others: std::sync::Mutex<Vec<Instant>>,
    pub store_link: Arc<Link>,
    store_relay: Relay,
    /// The address for callers, independent of the process that listens.
    pub callers: Relay,
    pub callers_link: Arc<Link>,
    pub events: std::sync::Mutex<Vec<(Instant, SlotEvent)>>,
    /// The log lines of previous processes.
    pub previous_logs: std::sync::Mutex<Vec<Vec<serde_json::Value>>>,
}

pub struct World {
    /// First, so that the gateways end before the ports that they call are free for another play.
    pub slots: Vec<GatewaySlot>,
    pub store: Store,
    members: RwLock<Vec<Arc<Member>>>,
    pub has_places: bool,
    pub version: AtomicU64,
    pub weights: AtomicU64,
    releases: AtomicU64,
    /// The service that the configuration routes streams to, and since when.
    streams_service: std::sync::Mutex<(String, Instant)>,
    pub crashing: std::sync::Mutex<Vec<CrashingRequest>>,
    /// When the evacuations of [`EVACUATED_DOMAIN`] began and ended.
    evacuations: std::sync::Mutex<Vec<(Instant, Option<Instant>)>>,
    /// The faults, for whoever traces a failure.
    pub faults: std::sync::Mutex<Vec<String>>,
}

impl World {
    /// Starts a world. With `has_places`, one route allows one region only.
    pub async fn start(gateways: usize, has_places: bool) -> Arc<Self> {
        let store = Store::start().await.unwrap();
        let mut members = Vec::new();
        for (service, count, kind, version) in SERVICES {
            for index in 0..count {
                let id = format!("{service}-{index}");
                let domain = if index % 2 == 0 { "east-1" } else { EVACUATED_DOMAIN };
                members.push(Arc::new(Member::start(&id, kind, service, version, domain).await));
            }
        }
        if has_places {
            for index in 0..2 {
                let id = format!("notes-west-{index}");
                let west = Member::start(&id, ServerKind::Engine, "notes", "v1", WEST_DOMAIN);
                members.push(Arc::new(west.await));
            }
        }
        members.iter().for_each(|member| member.beat(&store));
        let mut slots = Vec::new();
        for index in 0..gateways {
            slots.push(GatewaySlot::start(&store, index).await);
        }
        let (version, weights) = (AtomicU64::new(0), AtomicU64::new(1));
        let (members, releases) = (RwLock::new(members), AtomicU64::new(0));
        let faults = std::sync::Mutex::default();
        let streams_service = std::sync::Mutex::new((String::new(), Instant::now()));
        let world = Arc::new(Self {
            store,
            members,
            slots,
            has_places,
            version,
            weights,
            releases,
            streams_service,
            crashing: std::sync::Mutex::default(),
            evacuations: std::sync::Mutex::default(),
            faults,
        });
        world.configure(0);
        for slot in &world.slots {
            slot.restart().await;
        }
        world
    }

    /// Puts a drawn configuration in force.
    pub fn configure(&self, draw: u32) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let configuration = site_configuration(version, draw, self.has_places);
        let service = configuration["routes"][2]["service"].as_str().unwrap();
        let mut streams_service = self.streams_service.lock().unwrap();
        if streams_service.0 != service {
            *streams_service = (service.to_owned(), Instant::now());
        }
        self.store.put_configuration(&configuration);
    }

    /// Returns all servers that were started.
    pub fn members(&self) -> Vec<Arc<Member>> {
        self.members.read().unwrap().clone()
    }

    /// Returns the number of sound servers of a software version, or of the version that has most.
    /// Those of a version count only where the configuration routes streams to them: it forbids
    /// gateways to use another service.
    pub fn serving(&self, version: Option<&str>) -> usize {
        let members = self.members();
        let (service, since) = self.streams_service.lock().unwrap().clone();
        if version.is_some() && since.elapsed() < CONVERGENCE {
            return 0;
        }
        let is_evacuated = self.is_evacuated();
        let is_sound = |member: &&Arc<Member>| {
            member.kind == ServerKind::Engine
                && !(is_evacuated && member.domain == EVACUATED_DOMAIN)
                && (version.is_none() || member.service == service)
                && member.is_ready()
                && member.has_been_up_for(CONVERGENCE)
                && member.faults.load(Ordering::Relaxed) == 0
        };
        let versions = members.iter().filter(is_sound).map(|member| member.version.as_str());
        let count = |version| versions.clone().filter(|found| *found == version).count();
        version.map_or_else(|| versions.clone().map(count).max().unwrap_or(0), count)
    }

    /// Evacuates a failure domain for a duration, unless it is already.
    pub async fn evacuate(&self, duration: Duration) {
        let key = format!("evacuate/{EVACUATED_DOMAIN}");
        {
            let mut evacuations = self.evacuations.lock().unwrap();
            if evacuations.last().is_some_and(|(_, end)| end.is_none()) {
                return;
            }
            self.store.append("keyed.op", &key, b"{}");
            evacuations.push((Instant::now(), None));
        }
        tokio::time::sleep(duration).await;
        let mut evacuations = self.evacuations.lock().unwrap();
        if let Some((_, end)) = evacuations.last_mut() {
            *end = Some(Instant::now());
        }
        self.store.append("keyed.op", &key, b"");
    }

    /// Returns when the evacuations began and ended.
    pub fn evacuations(&self) -> Vec<(Instant, Option<Instant>)> {
        self.evacuations.lock().unwrap().clone()
    }

    /// Returns whether servers of the domain may get nothing now, or may not be known to get something
    /// again.
    fn is_evacuated(&self) -> bool {
        let evacuations = self.evacuations.lock().unwrap();
        let last = evacuations.last();
        last.is_some_and(|(_, end)| end.is_none_or(|end| end.elapsed() < CONVERGENCE))
    }

    /// Starts two servers of a new software version, and makes the oldest ones leave.
    pub async fn release(&self, service: &'static str, leaving: usize, duration: Duration) {
        let release = self.releases.fetch_add(1, Ordering::Relaxed) + 1;
        for index in 0..2 {
            let id = format!("{service}-r{release}-{index}");
            let version = format!("{service}-{release}");
            let member = Member::start(&id, ServerKind::Engine, service, &version, "east-1").await;
            member.beat(&self.store);
            self.members.write().unwrap().push(Arc::new(member));
        }
        tokio::time::sleep(duration).await;
        let mut ready = self.members();
        ready.retain(|member| member.service == service && member.is_ready());
        ready.truncate(leaving.min(ready.len().saturating_sub(3)));
        ready.iter().for_each(|member| member.set_state(&self.store, Some("draining")));
        tokio::time::sleep(duration).await;
        ready.iter().for_each(|member| member.set_state(&self.store, None));
    }

    /// Writes the faults and the log lines of all processes into a directory.
    pub async fn write_logs(&self, directory: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(directory)?;
        std::fs::write(directory.join("faults"), self.faults.lock().unwrap().join("\n"))?;
        for slot in &self.slots {
            slot.kill().await;
            let processes = slot.previous_logs.lock().unwrap();
            let lines: Vec<_> = processes.iter().flatten().map(Value::to_string).collect();
            std::fs::write(directory.join(&slot.host), lines.join("\n"))?;
        }
        Ok(())
    }

    /// Ends all faults and starts the gateways that are down.
    pub async fn heal(&self) {
        self.store.set_availability(Availability::Up);
        for member in &self.members() {
            member.server.resume();
            member.server.set_padding_bytes(0);
            member.link.set_partition(Partition::None);
            member.server.set_behaviour(Behaviour::Serves);
            member.server.reset_streams_after(None);
            let plan = CrashPlan { trigger: CrashTrigger::None, ..crash_plan(member.kind) };
            member.server.set_crash_plan(plan);
            member.beat(&self.store);
            if other_program().is_some() {
                // Builds before "Return servers whose entries lapsed with their next record" wait
                // for another heartbeat.
                member.beat(&self.store);
            }
        }
        for slot in &self.slots {
            slot.store_link.set_partition(Partition::None);
            slot.callers_link.set_partition(Partition::None);
            slot.resume().await;
            if slot.gateway.lock().await.is_none() {
                slot.restart().await;
            }
        }
    }
}

impl GatewaySlot {
    async fn start(store: &Store, index: usize) -> Self {
        let store_link = Link::new(LINK);
        let store_relay = Relay::start(Arc::clone(&store_link), store.address()).await.unwrap();
        let callers_link = Link::new(LINK);
        let callers = Relay::start(Arc::clone(&callers_link), store.address()).await.unwrap();
        let (previous_logs, events) = Default::default();
        let gateway = Mutex::new(None);
        Self {
            host: format!("gateway-{index}"),
            programs: programs(),
            // Half of the slots begin with the other build.
            starts: AtomicUsize::new(index),
            others: std::sync::Mutex::default(),
            store_link,
            store_relay,
            gateway,
            callers,
            callers_link,
            events,
            previous_logs,
        }
    }

    /// Kills the current process, if there is one, and starts a new one.
    pub async fn restart(&self) {
        self.kill().await;
        let store = self.store_relay.address().to_string();
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let program = &self.programs[start % self.programs.len()];
        let gateway = Gateway::start_program(program, &settings(&self.host, &store, &[])).await;
        if program.as_os_str() != PROGRAM {
            self.others.lock().unwrap().push(Instant::now());
        }
        // Connections that were opened before this event do not lead to the new process.
        self.record(SlotEvent::Started);
        self.callers.set_target(gateway.callers);
        let other = self.gateway.lock().await.replace(gateway);
        // Another restart at the same time was first.
        if let Some(other) = other {
            self.end(other);
        }
    }

    pub fn record(&self, event: SlotEvent) {
        self.events.lock().unwrap().push((Instant::now(), event));
    }

    /// Returns how long the process had run at a time, if it did.
    pub fn ran_for(&self, at: Instant) -> Option<Duration> {
        let events = self.events.lock().unwrap();
        let mut before = events.iter().rev().filter(|(time, _)| *time <= at);
        let (time, event) = before.find(|(_, event)| *event != SlotEvent::Cut)?;
        (*event == SlotEvent::Started).then(|| at - *time)
    }

    /// Describes the last events up to a time and the next one, with their distance from it.
    pub fn events_around(&self, at: Instant) -> String {
        const LAST: usize = 3;
        let events = self.events.lock().unwrap();
        let first_after = events.iter().take_while(|(time, _)| *time <= at).count();
        let around = events.iter().take(first_after + 1).skip(first_after.saturating_sub(LAST));
        let texts = around.map(|(time, event)| match at.checked_duration_since(*time) {
            Some(before) => format!("{event:?} {before:?} before its end"),
            None => format!("{event:?} {:?} after its end", *time - at),
        });
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Returns whether a process of another build ran at a time.
    pub fn ran_other_build(&self, at: Instant) -> bool {
        let Some(started) = self.ran_for(at).map(|ran| at - ran) else { return false };
        self.others.lock().unwrap().iter().any(|other| {
            *other <= started && started.saturating_duration_since(*other) < Duration::from_secs(1)
        })
    }

    /// Returns whether one of some events happened in a period, or shortly after it.
    pub fn had_within(&self, wanted: &[SlotEvent], from: Instant, to: Instant) -> bool {
        /// How long before its record an event may have its effect.
        const DELAY: Duration = Duration::from_millis(100);
        let events = self.events.lock().unwrap();
        let mut within = events.iter().filter(|(time, _)| from <= *time && *time <= to + DELAY);
        within.any(|(_, event)| wanted.contains(event))
    }

    pub async fn kill(&self) {
        if let Some(gateway) = self.gateway.lock().await.take() {
            self.end(gateway);
        }
    }

    fn end(&self, mut gateway: Gateway) {
        if gateway.exit_status().is_none() {
            self.record(SlotEvent::Killed);
            gateway.kill();
        }
        self.previous_logs.lock().unwrap().push(gateway.all_lines());
    }

    /// Sends SIGTERM, and starts a new process once the current one has exited; does nothing more
    /// if it was replaced meanwhile.
    pub async fn replace(&self) {
        let Some(terminating) = self.gateway.lock().await.as_ref().map(|gateway| {
            self.record(SlotEvent::Terminated);
            gateway.terminate();
            gateway.id()
        }) else {
            return;
        };
        loop {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            let mut gateway = self.gateway.lock().await;
            let Some(gateway) = gateway.as_mut().filter(|gateway| gateway.id() == terminating)
            else {
                return;
            };
            if gateway.exit_status().is_some() {
                break;
            }
        }
        self.restart().await;
    }

    pub async fn pause(&self) {
        if let Some(gateway) = self.gateway.lock().await.as_ref() {
            gateway.signal("STOP");
        }
    }

    pub async fn resume(&self) {
        if let Some(gateway) = self.gateway.lock().await.as_ref() {
            gateway.signal("CONT");
        }
    }

    /// Makes the process reload its settings.
    pub async fn reload(&self) {
        if let Some(gateway) = self.gateway.lock().await.as_ref() {
            gateway.signal("HUP");
        }
    }

    /// Returns whether this gateway serves a request on a path.
    pub async fn serves(&self, path: &str) -> bool {
        let request = caller::request(path, &caller::new_id(), "", "body");
        let sent = caller::send(self.callers.address(), &request);
        let answer = tokio::time::timeout(std::time::Duration::from_secs(7), sent).await;
        answer.is_ok_and(|response| response.status == 200)
    }
}

/// Returns the program of another build that serves beside this one.
fn other_program() -> Option<PathBuf> {
    std::env::var_os("CAMPHORWARD_SOAK_OTHER_PROGRAM").map(PathBuf::from)
}

fn programs() -> Vec<PathBuf> {
    [PathBuf::from(PROGRAM)].into_iter().chain(other_program()).collect()
}

/// Returns a configuration with timeouts and routes that are drawn; 0 gives the first one.
fn site_configuration(version: u64, draw: u32, has_places: bool) -> Value {
    let mut value = configuration(version, &["alpha-key"]);
    let services = value["services"].as_array_mut().unwrap();
    for (existing, name) in [(0, "annex"), (1, "archive")] {
        let mut service = services[existing].clone();
        service["name"] = json!(name);
        services.push(service);
    }
    value["limits"]["idleTimeoutMs"] = json!([15_000, 300, 2_000][(draw % 3) as usize]);
    let timeout_ms = [8_000, MIN_TIMEOUT_MS][(draw / 3 % 2) as usize];
    for route in value["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = json!(timeout_ms);
    }
    let status = ["desk", "annex"][(draw / 6 % 2) as usize];
    let streams = ["notes", "archive"][(draw / 12 % 2) as usize];
    for (route, service) in [(1, status), (2, streams), (3, streams)] {
        value["routes"][route]["service"] = json!(service);
    }
    if has_places {
        // The other service of streams has no server there.
        value["routes"][3]["service"] = json!("notes");
        value["routes"][3]["allowedRegions"] = json!(["west"]);
    }
    value
}
