//! Checks generated histories of three entry hosts and three servers against an oracle.
//!
//! While a history runs, no node may lose the leaving mark of an incarnation, go back to an earlier
//! incarnation or hold a state that no source has published. After all faults have ended, every
//! node's table must match the true state of the hosts.

mod common;

use common::{entry, name, server};
use membership::{HostTable, ProbeRequest, Prober, Source, exchange};
use protocol::ids::{ConfigVersion, HostName, Incarnation};
use protocol::message::hosts::HostRecord;
use protocol::message::probe::{Ack, Exchange, ExchangeAnswer, Probe};
use protocol::rendezvous::mix;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 3;
const SERVERS: usize = 3;
const HISTORY_STEPS: usize = 40;
const HISTORIES_PER_SEED: u64 = 1_250;
const SETTLE_ROUNDS: u64 = 72;
const START_MS: u64 = 1_000_000;
const CONFIG: ConfigVersion = ConfigVersion::new(1);

#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    a: usize,
    b: usize,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(g) % 24,
            a: usize::arbitrary(g) % 64,
            b: usize::arbitrary(g) % 64,
        }
    }
}

struct Node {
    table: HostTable,
    prober: Prober,
    incarnation: u64,
    seen: BTreeMap<HostName, (Incarnation, bool)>,
}

#[derive(Clone)]
struct ServerState {
    host: String,
    incarnation: u64,
    leaving: bool,
    alive: bool,
}

enum Body {
    Probe(Probe),
    Ack(HostName, Incarnation, Ack),
    Exchange(Exchange),
    Answer(ExchangeAnswer),
}

struct Message {
    from: usize,
    to: usize,
    to_incarnation: Option<u64>,
    body: Body,
}

struct World {
    now_ms: u64,
    last_incarnation: u64,
    nodes: Vec<Node>,
    servers: Vec<ServerState>,
    lists: Vec<Vec<HostRecord>>,
    messages: Vec<Message>,
    /// The side of a network partition that each node is on.
    partition_side: [bool; NODES],
    started_incarnations: BTreeSet<(HostName, Incarnation)>,
    announced_leaving: BTreeSet<(HostName, Incarnation)>,
}

fn node_name(index: usize) -> String {
    format!("node-{index}")
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: START_MS,
            last_incarnation: 0,
            nodes: Vec::new(),
            servers: Vec::new(),
            lists: Vec::new(),
            messages: Vec::new(),
            partition_side: [false; NODES],
            started_incarnations: BTreeSet::new(),
            announced_leaving: BTreeSet::new(),
        };
        for index in 0..SERVERS {
            let host = format!("server-{index}");
            world.servers.push(ServerState { host, incarnation: 0, leaving: false, alive: true });
            world.restart_server(index);
        }
        for index in 0..NODES {
            let node = world.new_node(index);
            world.nodes.push(node);
        }
        world.publish_list();
        world
    }

    fn new_node(&mut self, index: usize) -> Node {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let local_record = entry(&node_name(index), incarnation, index as u8);
        self.started_incarnations.insert((local_record.host.clone(), local_record.incarnation));
        let table = HostTable::new(local_record, self.now_ms);
        Node { table, prober: Prober::new(), incarnation, seen: BTreeMap::new() }
    }

    fn restart_server(&mut self, index: usize) {
        self.last_incarnation += 1;
        let server = &mut self.servers[index];
        (server.incarnation, server.leaving, server.alive) = (self.last_incarnation, false, true);
        self.started_incarnations
            .insert((name(&server.host), Incarnation::new(server.incarnation)));
    }

    fn server_record(&self, index: usize) -> HostRecord {
        let state = &self.servers[index];
        HostRecord {
            leaving: state.leaving,
            ..server(&state.host, state.incarnation, 100 + index as u8)
        }
    }

    fn publish_list(&mut self) {
        let servers = (0..SERVERS).filter(|index| self.servers[*index].alive);
        let mut list: Vec<HostRecord> = servers.map(|index| self.server_record(index)).collect();
        let nodes = self.nodes.iter().enumerate();
        list.extend(
            nodes.map(|(index, node)| entry(&node_name(index), node.incarnation, index as u8)),
        );
        self.lists.push(list);
    }

    fn random(&self) -> u64 {
        mix(self.now_ms)
    }

    fn step(&mut self, step: Step) {
        let node = step.a % NODES;
        let server = step.a % SERVERS;
        match step.kind {
            0..=5 => self.send_tick(node),
            6..=12 => self.deliver(step.a, false),
            13 => self.deliver(step.a, true),
            14 => self.drop_message(step.a),
            15 => self.restart_node(node),
            16 => self.restart_server(server),
            17 => {
                self.servers[server].host = format!("replacement-{}", self.last_incarnation);
                self.restart_server(server);
            }
            18 => self.leave(server),
            19 => self.servers[server].alive = false,
            20 => self.read_list(node, step.b),
            21 => self.partition_side[node] ^= true,
            22 => self.now_ms += step.b as u64 * 100,
            _ => self.publish_list(),
        }
        self.now_ms += 50;
        self.check_invariants();
    }

    fn leave(&mut self, index: usize) {
        let state = &mut self.servers[index];
        state.leaving = true;
        self.announced_leaving.insert((name(&state.host), Incarnation::new(state.incarnation)));
    }

    fn read_list(&mut self, node: usize, lag: usize) {
        let last = self.lists.len() - 1;
        let list = self.lists[last.saturating_sub(lag % 4)].clone();
        self.nodes[node].table.merge(&list, Source::List, self.now_ms);
    }

    fn restart_node(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        self.messages.retain(|message| message.from != index);
    }

    fn tick_requests(&mut self, index: usize) -> Vec<ProbeRequest> {
        let random = self.random();
        let node = &mut self.nodes[index];
        node.prober.tick(&node.table, self.now_ms, random).into_vec()
    }

    fn send_tick(&mut self, index: usize) {
        for request in self.tick_requests(index) {
            match request {
                ProbeRequest::Server(_) => self.probe_server(index, &request),
                ProbeRequest::Peer(_) => {
                    let probe = exchange::probe(&self.nodes[index].table, CONFIG);
                    let to = self.node_at(&request);
                    let message =
                        Message { from: index, to, to_incarnation: None, body: Body::Probe(probe) };
                    self.messages.push(message);
                }
            }
        }
    }

    fn node_at(&self, request: &ProbeRequest) -> usize {
        let host = request.target().host.as_str();
        (0..NODES).find(|index| node_name(*index) == host).expect("a node")
    }

    fn probe_server(&mut self, index: usize, request: &ProbeRequest) {
        let target = request.target();
        let table = &self.nodes[index].table;
        let state = self.servers.iter().enumerate().find(|(number, _)| {
            server("any", 1, 100 + *number as u8).role.address() == target.address
        });
        let (number, state) = state.expect("a server at the address");
        if !state.alive || self.partition_side[index] != self.partition_side[number % NODES] {
            return table.observe_failure(&target.host, target.incarnation, self.now_ms);
        }
        let incarnation = Incarnation::new(state.incarnation);
        self.started_incarnations.insert((target.host.clone(), incarnation));
        if state.leaving {
            self.announced_leaving.insert((target.host.clone(), incarnation));
        }
        table.observe_report(&target.host, incarnation, state.leaving, self.now_ms);
    }

    fn deliver(&mut self, pick: usize, duplicate: bool) {
        if self.messages.is_empty() {
            return;
        }
        let position = pick % self.messages.len();
        let message = self.messages.swap_remove(position);
        let expected = message
            .to_incarnation
            .is_none_or(|incarnation| incarnation == self.nodes[message.to].incarnation);
        if self.partition_side[message.from] != self.partition_side[message.to] || !expected {
            return self.fail(&message);
        }
        if let Some(reply) = self.handle(&message) {
            self.messages.push(reply);
        }
        if duplicate {
            self.messages.push(message);
        }
    }

    fn drop_message(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.swap_remove(pick % self.messages.len());
            self.fail(&message);
        }
    }

    fn fail(&self, message: &Message) {
        let (prober, target) = match message.body {
            Body::Probe(_) => (message.from, message.to),
            Body::Ack(..) => (message.to, message.from),
            Body::Exchange(_) | Body::Answer(_) => return,
        };
        let table = &self.nodes[prober].table;
        if let Some(record) = table.record(&name(&node_name(target))) {
            table.observe_failure(&record.host, record.incarnation, self.now_ms);
        }
    }

    fn handle(&self, message: &Message) -> Option<Message> {
        let table = &self.nodes[message.to].table;
        let now_ms = self.now_ms;
        let body = match &message.body {
            Body::Probe(probe) => {
                let ack = exchange::answer_probe(table, probe, CONFIG, now_ms);
                Body::Ack(ack.heartbeat.host.clone(), ack.heartbeat.incarnation, ack)
            }
            Body::Ack(host, incarnation, ack) => {
                let request = exchange::accept_ack(table, Some((host, *incarnation)), ack, now_ms)?;
                Body::Exchange(request)
            }
            Body::Exchange(request) => {
                Body::Answer(exchange::answer_exchange(table, request, now_ms))
            }
            Body::Answer(answer) => {
                exchange::accept_answer(table, answer, now_ms);
                return None;
            }
        };
        let to_incarnation = Some(self.nodes[message.from].incarnation);
        Some(Message { from: message.to, to: message.from, to_incarnation, body })
    }

    fn check_invariants(&mut self) {
        for node in &mut self.nodes {
            let names: BTreeSet<HostName> =
                self.started_incarnations.iter().map(|(host, _)| host.clone()).collect();
            for record in names.iter().filter_map(|host| node.table.record(host)) {
                let incarnation = (record.host.clone(), record.incarnation);
                assert!(
                    self.started_incarnations.contains(&incarnation),
                    "{incarnation:?} was never started"
                );
                let announced = !record.leaving || self.announced_leaving.contains(&incarnation);
                assert!(announced, "no source announced that {incarnation:?} is leaving");
                let now = (record.incarnation, record.leaving);
                let before = node.seen.insert(record.host, now).unwrap_or_default();
                assert!(now >= before, "{incarnation:?} went back from {before:?} to {now:?}");
            }
        }
    }

    fn settle(&mut self) {
        self.partition_side = [false; NODES];
        self.messages.clear();
        self.publish_list();
        for round in 0..SETTLE_ROUNDS {
            self.now_ms += membership::limits::TICK_MS;
            if round % 8 == 0 {
                self.read_list(0, 0);
            }
            for index in 0..NODES {
                self.send_tick(index);
                while !self.messages.is_empty() {
                    self.deliver(0, false);
                }
            }
        }
    }

    fn check_convergence(&self) {
        let alive =
            self.servers.iter().enumerate().filter(|(_, state)| state.alive && !state.leaving);
        let expected: Vec<_> =
            alive.map(|(number, _)| server("any", 1, 100 + number as u8).role.address()).collect();
        for node in &self.nodes {
            let view = node.table.view(self.now_ms);
            let mut usable: Vec<_> = view
                .servers()
                .filter(|server| server.is_usable())
                .map(|server| server.address)
                .collect();
            usable.sort();
            assert_eq!(usable, expected, "the view of {} is {view:#?}", node.table.local_host());
            assert_eq!(view.usable_entry_hosts().count(), NODES, "{view:#?}");
            assert_eq!(node.table.digest(), self.nodes[0].table.digest());
        }
    }
}

fn check_history(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    world.read_list(0, 0);
    for step in steps {
        world.step(step);
    }
    world.settle();
    world.check_convergence();
    true
}

fn run(seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(HISTORY_STEPS, seed))
        .tests(HISTORIES_PER_SEED)
        .quickcheck(check_history as fn(Vec<Step>) -> bool);
}

#[test]
fn histories_of_seed_1_hold() {
    run(1);
}

#[test]
fn histories_of_seed_2_hold() {
    run(2);
}

#[test]
fn histories_of_seed_3_hold() {
    run(3);
}

#[test]
fn histories_of_seed_4_hold() {
    run(4);
}
