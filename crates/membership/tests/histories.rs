//! Generated histories of three entry hosts and three servers against an oracle.
//!
//! While a history runs, no node may forget that an incarnation is leaving, go back to an earlier
//! incarnation, or believe what no source ever said. After faults end, all nodes must agree with
//! the world.

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
struct ServerTruth {
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

struct Mail {
    from: usize,
    to: usize,
    to_incarnation: Option<u64>,
    body: Body,
}

struct World {
    now_ms: u64,
    incarnations: u64,
    nodes: Vec<Node>,
    servers: Vec<ServerTruth>,
    lists: Vec<Vec<HostRecord>>,
    mail: Vec<Mail>,
    cut: [bool; NODES],
    lives: BTreeSet<(HostName, Incarnation)>,
    said_leaving: BTreeSet<(HostName, Incarnation)>,
}

fn node_name(index: usize) -> String {
    format!("node-{index}")
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: START_MS,
            incarnations: 0,
            nodes: Vec::new(),
            servers: Vec::new(),
            lists: Vec::new(),
            mail: Vec::new(),
            cut: [false; NODES],
            lives: BTreeSet::new(),
            said_leaving: BTreeSet::new(),
        };
        for index in 0..SERVERS {
            let host = format!("server-{index}");
            world.servers.push(ServerTruth { host, incarnation: 0, leaving: false, alive: true });
            world.rebirth(index);
        }
        for index in 0..NODES {
            let node = world.fresh_node(index);
            world.nodes.push(node);
        }
        world.publish_list();
        world
    }

    fn fresh_node(&mut self, index: usize) -> Node {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let own = entry(&node_name(index), incarnation, index as u8);
        self.lives.insert((own.host.clone(), own.incarnation));
        let table = HostTable::new(own, self.now_ms);
        Node { table, prober: Prober::new(), incarnation, seen: BTreeMap::new() }
    }

    fn rebirth(&mut self, index: usize) {
        self.incarnations += 1;
        let server = &mut self.servers[index];
        (server.incarnation, server.leaving, server.alive) = (self.incarnations, false, true);
        self.lives.insert((name(&server.host), Incarnation::new(server.incarnation)));
    }

    fn server_record(&self, index: usize) -> HostRecord {
        let truth = &self.servers[index];
        HostRecord {
            leaving: truth.leaving,
            ..server(&truth.host, truth.incarnation, 100 + index as u8)
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
            14 => self.lose(step.a),
            15 => self.restart(node),
            16 => self.rebirth(server),
            17 => {
                self.servers[server].host = format!("replacement-{}", self.incarnations);
                self.rebirth(server);
            }
            18 => self.leave(server),
            19 => self.servers[server].alive = false,
            20 => self.read_list(node, step.b),
            21 => self.cut[node] ^= true,
            22 => self.now_ms += step.b as u64 * 100,
            _ => self.publish_list(),
        }
        self.now_ms += 50;
        self.check_promises();
    }

    fn leave(&mut self, index: usize) {
        let truth = &mut self.servers[index];
        truth.leaving = true;
        self.said_leaving.insert((name(&truth.host), Incarnation::new(truth.incarnation)));
    }

    fn read_list(&mut self, node: usize, lag: usize) {
        let last = self.lists.len() - 1;
        let list = self.lists[last.saturating_sub(lag % 4)].clone();
        self.nodes[node].table.merge(&list, Source::List, self.now_ms);
    }

    fn restart(&mut self, index: usize) {
        self.nodes[index] = self.fresh_node(index);
        self.mail.retain(|mail| mail.from != index);
    }

    fn orders(&mut self, index: usize) -> Vec<ProbeRequest> {
        let random = self.random();
        let node = &mut self.nodes[index];
        node.prober.tick(&node.table, self.now_ms, random).into_vec()
    }

    fn send_tick(&mut self, index: usize) {
        for order in self.orders(index) {
            match order {
                ProbeRequest::Server(_) => self.ask_server(index, &order),
                ProbeRequest::Peer(_) => {
                    let probe = exchange::probe(&self.nodes[index].table, CONFIG);
                    let to = self.node_at(&order);
                    let mail =
                        Mail { from: index, to, to_incarnation: None, body: Body::Probe(probe) };
                    self.mail.push(mail);
                }
            }
        }
    }

    fn node_at(&self, order: &ProbeRequest) -> usize {
        let host = order.target().host.as_str();
        (0..NODES).find(|index| node_name(*index) == host).expect("a node")
    }

    fn ask_server(&mut self, index: usize, order: &ProbeRequest) {
        let target = order.target();
        let table = &self.nodes[index].table;
        let truth = self.servers.iter().enumerate().find(|(number, _)| {
            server("any", 1, 100 + *number as u8).role.address() == target.address
        });
        let (number, truth) = truth.expect("a server at the address");
        if !truth.alive || self.cut[index] != self.cut[number % NODES] {
            return table.observe_failure(&target.host, target.incarnation, self.now_ms);
        }
        let incarnation = Incarnation::new(truth.incarnation);
        self.lives.insert((target.host.clone(), incarnation));
        if truth.leaving {
            self.said_leaving.insert((target.host.clone(), incarnation));
        }
        table.observe_report(&target.host, incarnation, truth.leaving, self.now_ms);
    }

    fn deliver(&mut self, pick: usize, keep: bool) {
        if self.mail.is_empty() {
            return;
        }
        let place = pick % self.mail.len();
        let mail = self.mail.swap_remove(place);
        let expected =
            mail.to_incarnation.is_none_or(|life| life == self.nodes[mail.to].incarnation);
        if self.cut[mail.from] != self.cut[mail.to] || !expected {
            return self.fail(&mail);
        }
        if let Some(reply) = self.handle(&mail) {
            self.mail.push(reply);
        }
        if keep {
            self.mail.push(mail);
        }
    }

    fn lose(&mut self, pick: usize) {
        if !self.mail.is_empty() {
            let mail = self.mail.swap_remove(pick % self.mail.len());
            self.fail(&mail);
        }
    }

    fn fail(&self, mail: &Mail) {
        let (prober, target) = match mail.body {
            Body::Probe(_) => (mail.from, mail.to),
            Body::Ack(..) => (mail.to, mail.from),
            Body::Exchange(_) | Body::Answer(_) => return,
        };
        let table = &self.nodes[prober].table;
        if let Some(known) = table.record(&name(&node_name(target))) {
            table.observe_failure(&known.host, known.incarnation, self.now_ms);
        }
    }

    fn handle(&self, mail: &Mail) -> Option<Mail> {
        let table = &self.nodes[mail.to].table;
        let now_ms = self.now_ms;
        let body = match &mail.body {
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
        let to_incarnation = Some(self.nodes[mail.from].incarnation);
        Some(Mail { from: mail.to, to: mail.from, to_incarnation, body })
    }

    fn check_promises(&mut self) {
        for node in &mut self.nodes {
            let names: BTreeSet<HostName> =
                self.lives.iter().map(|(host, _)| host.clone()).collect();
            for record in names.iter().filter_map(|host| node.table.record(host)) {
                let life = (record.host.clone(), record.incarnation);
                assert!(self.lives.contains(&life), "{life:?} never lived");
                let said = !record.leaving || self.said_leaving.contains(&life);
                assert!(said, "nobody said that {life:?} is leaving");
                let now = (record.incarnation, record.leaving);
                let before = node.seen.insert(record.host, now).unwrap_or_default();
                assert!(now >= before, "{life:?} went back from {before:?} to {now:?}");
            }
        }
    }

    fn settle(&mut self) {
        self.cut = [false; NODES];
        self.mail.clear();
        self.publish_list();
        for round in 0..SETTLE_ROUNDS {
            self.now_ms += membership::limits::TICK_MS;
            if round % 8 == 0 {
                self.read_list(0, 0);
            }
            for index in 0..NODES {
                self.send_tick(index);
                while !self.mail.is_empty() {
                    self.deliver(0, false);
                }
            }
        }
    }

    fn check_agreement(&self) {
        let alive =
            self.servers.iter().enumerate().filter(|(_, truth)| truth.alive && !truth.leaving);
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
            assert_eq!(usable, expected, "{} sees {view:#?}", node.table.own());
            assert_eq!(view.usable_entry_hosts().count(), NODES, "{view:#?}");
            assert_eq!(node.table.digest(), self.nodes[0].table.digest());
        }
    }
}

fn history_holds(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    world.read_list(0, 0);
    for step in steps {
        world.step(step);
    }
    world.settle();
    world.check_agreement();
    true
}

fn run(seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(HISTORY_STEPS, seed))
        .tests(HISTORIES_PER_SEED)
        .quickcheck(history_holds as fn(Vec<Step>) -> bool);
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
