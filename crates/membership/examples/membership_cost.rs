//! Measures the cost of the host table per node, with all nodes in one process.
//!
//! Messages are encoded and decoded as between processes, but delivered in memory without network
//! delay, loss or HTTP headers. Servers answer at once.

use membership::limits::TICK_MS;
use membership::{HostTable, ProbeRequest, Prober, Reachability, Source, exchange};
use protocol::ids::{ConfigVersion, HostName, Incarnation};
use protocol::message::hosts::{EntryAddresses, HostRecord, HostRole, ServerAddress};
use protocol::rendezvous::mix;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::slice;

/// The cluster sizes, in entry hosts.
const SIZES: [usize; 4] = [7, 50, 150, 350];
/// The number of servers at the largest size; smaller sizes have proportionally fewer.
const SERVERS_AT_LARGEST: usize = 800;
const DOMAINS: usize = 4;
const WARM_UP_MS: u64 = 10_000;
const MEASURED_MS: u64 = 30_000;
const EVENT_TIMEOUT_MS: u64 = 60_000;
const PAGE_BYTES: f64 = 4_096.0;
const START_MS: u64 = 1_700_000_000_000;
const CONFIG: ConfigVersion = ConfigVersion::new(1);

struct Node {
    table: HostTable,
    prober: Prober,
    alive: bool,
}

#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
    server_probes: u64,
}

struct Cluster {
    now_ms: u64,
    nodes: Vec<Node>,
    index_by_host: HashMap<HostName, usize>,
    stopped_servers: Vec<HostName>,
    records: Vec<HostRecord>,
    traffic: Traffic,
}

fn address(index: usize, port: u16) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8), port).into()
}

fn record(prefix: &str, index: usize, role: HostRole) -> HostRecord {
    let domain = index % DOMAINS;
    HostRecord {
        host: format!("{prefix}-{index:04}").parse().expect("a host name"),
        incarnation: Incarnation::new(START_MS),
        region: format!("region-{}", domain / 2).parse().expect("a region"),
        failure_domain: format!("domain-{domain}").parse().expect("a failure domain"),
        leaving: false,
        refutations: 0,
        suspected_at_ms: None,
        role,
    }
}

fn entry(index: usize) -> HostRecord {
    let [callers, peers, operators] = [8000, 8001, 8002].map(|port| address(index, port));
    record("entry", index, HostRole::Entry(EntryAddresses { callers, peers, operators }))
}

fn server(index: usize) -> HostRecord {
    let service = format!("model-{}", index % 8).parse().expect("a service");
    record(
        "server",
        index,
        HostRole::Server(ServerAddress { service, address: address(index, 9000) }),
    )
}

impl Cluster {
    fn new(nodes: usize, servers: usize) -> Self {
        let mut records: Vec<HostRecord> = (0..nodes).map(entry).collect();
        records.extend((0..servers).map(server));
        let index_by_host = (0..nodes).map(|index| (records[index].host.clone(), index)).collect();
        let nodes = (0..nodes).map(|index| new_node(&records[index], &records)).collect();
        Self {
            now_ms: START_MS,
            nodes,
            index_by_host,
            stopped_servers: Vec::new(),
            records,
            traffic: Traffic::default(),
        }
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            self.round();
        }
    }

    fn round(&mut self) {
        self.now_ms += TICK_MS;
        for index in 0..self.nodes.len() {
            if self.nodes[index].alive {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let random = mix(self.now_ms ^ mix(index as u64));
        let node = &mut self.nodes[index];
        for request in node.prober.tick(&node.table, self.now_ms, random) {
            match request {
                ProbeRequest::Peer(_) => self.probe_peer(index, &request),
                ProbeRequest::Server(_) => self.probe_server(index, &request),
            }
        }
    }

    fn probe_server(&mut self, index: usize, request: &ProbeRequest) {
        self.traffic.server_probes += 1;
        let target = request.target();
        let table = &self.nodes[index].table;
        if self.stopped_servers.contains(&target.host) {
            table.observe_failure(&target.host, target.incarnation, self.now_ms);
        } else {
            table.observe_report(&target.host, target.incarnation, false, self.now_ms);
        }
    }

    fn probe_peer(&mut self, index: usize, request: &ProbeRequest) {
        let (now_ms, target) = (self.now_ms, request.target());
        let peer = self.index_by_host[&target.host];
        let probe = self.send(&exchange::probe(&self.nodes[index].table, CONFIG));
        let table = &self.nodes[index].table;
        if !self.nodes[peer].alive {
            return table.observe_failure(&target.host, target.incarnation, now_ms);
        }
        let ack = exchange::answer_probe(&self.nodes[peer].table, &probe, CONFIG, now_ms);
        let ack = self.send(&ack);
        let probed = Some((&target.host, target.incarnation));
        let request = exchange::accept_ack(&self.nodes[index].table, probed, &ack, now_ms);
        if let Some(request) = request {
            let request = self.send(&request);
            let answer = exchange::answer_exchange(&self.nodes[peer].table, &request, now_ms);
            let answer = self.send(&answer);
            exchange::accept_answer(&self.nodes[index].table, &answer, now_ms);
        }
    }

    fn send<M: Serialize + DeserializeOwned>(&mut self, message: &M) -> M {
        let bytes = rmp_serde::to_vec(message).expect("an encodable message");
        self.traffic.messages += 1;
        self.traffic.bytes += bytes.len() as u64;
        rmp_serde::from_slice(&bytes).expect("a decodable message")
    }

    /// Runs until all live nodes satisfy a condition, for at most [`EVENT_TIMEOUT_MS`].
    ///
    /// Returns the elapsed time in milliseconds.
    fn run_until(&mut self, holds: impl Fn(&HostTable, u64) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while self.now_ms < start_ms + EVENT_TIMEOUT_MS {
            self.round();
            let mut live = self.nodes.iter().filter(|node| node.alive);
            if live.all(|node| holds(&node.table, self.now_ms)) {
                break;
            }
        }
        self.now_ms - start_ms
    }
}

fn new_node(local_record: &HostRecord, records: &[HostRecord]) -> Node {
    let table = HostTable::new(local_record.clone(), START_MS);
    table.merge(records, Source::Exchange, START_MS);
    Node { table, prober: Prober::new(), alive: true }
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(f64::NAN) * PAGE_BYTES
}

/// Returns the CPU time used by this thread, in microseconds.
fn cpu_us() -> f64 {
    let times = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let spent_ns = times.split(' ').next().and_then(|field| field.parse::<f64>().ok());
    spent_ns.unwrap_or(f64::NAN) / 1e3
}

type Value = fn(&Steady) -> f64;

struct Steady {
    nodes: f64,
    messages_per_s: f64,
    bytes_per_s: f64,
    server_probes_per_s: f64,
    cpu_us_per_s: f64,
    memory_kib: f64,
}

fn measure_steady(cluster: &mut Cluster, memory_bytes: f64) -> Steady {
    cluster.run(WARM_UP_MS);
    cluster.traffic = Traffic::default();
    let start_us = cpu_us();
    cluster.run(MEASURED_MS);
    let spent_us = cpu_us() - start_us;
    let nodes = cluster.nodes.len() as f64;
    let per_node_s = nodes * MEASURED_MS as f64 / 1e3;
    Steady {
        nodes,
        messages_per_s: cluster.traffic.messages as f64 / per_node_s,
        bytes_per_s: cluster.traffic.bytes as f64 / per_node_s,
        server_probes_per_s: cluster.traffic.server_probes as f64 / per_node_s,
        cpu_us_per_s: spent_us / per_node_s,
        memory_kib: memory_bytes / nodes / 1_024.0,
    }
}

/// Fits `y = a + b x` by least squares; returns `a`, `b` and the largest residual.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let offset = mean_y - slope * mean_x;
    let residual = |(x, y): &(f64, f64)| (y - offset - slope * x).abs();
    (offset, slope, points.iter().map(residual).fold(0.0, f64::max))
}

fn is_leaving(table: &HostTable, host: &HostName) -> bool {
    table.record(host).is_some_and(|record| record.leaving)
}

fn measure_leaving(cluster: &mut Cluster) -> u64 {
    let last = cluster.records.last().expect("a server").clone();
    let leaving = HostRecord { leaving: true, ..last };
    cluster.nodes[0].table.merge(slice::from_ref(&leaving), Source::List, cluster.now_ms);
    cluster.run_until(|table, _| is_leaving(table, &leaving.host))
}

/// Restarts the last node with only its own and one more record; returns the bytes sent and the
/// time until its table is complete and all nodes hold its new incarnation.
fn measure_rejoin(cluster: &mut Cluster) -> (u64, u64) {
    let index = cluster.nodes.len() - 1;
    let incarnation = Incarnation::new(cluster.now_ms);
    let local_record = HostRecord { incarnation, ..cluster.records[index].clone() };
    cluster.nodes[index] = new_node(&local_record, &cluster.records[..1]);
    cluster.traffic = Traffic::default();
    let expected = cluster.records.len();
    let elapsed_ms = cluster.run_until(|table, now_ms| {
        let view = table.view(now_ms);
        let record = table.record(&local_record.host);
        view.entry_hosts.len() + view.servers().count() == expected
            && record.is_some_and(|record| record.incarnation == incarnation)
    });
    (cluster.traffic.bytes, elapsed_ms)
}

/// Stops all hosts of a failure domain; returns the time until all other nodes mark them
/// unreachable, and the bytes per second that each node sent until then.
fn measure_domain_loss(cluster: &mut Cluster) -> (u64, f64) {
    let domain = cluster.records[0].failure_domain.clone();
    for index in (0..cluster.nodes.len()).step_by(DOMAINS) {
        cluster.nodes[index].alive = false;
    }
    let stopped = cluster.records.iter().filter(|record| record.failure_domain == domain);
    cluster.stopped_servers = stopped.map(|record| record.host.clone()).collect();
    cluster.traffic = Traffic::default();
    let elapsed_ms = cluster.run_until(|table, now_ms| {
        let view = table.view(now_ms);
        let entries = view.entry_hosts.iter().map(|host| (&host.failure_domain, host.reachability));
        let servers = view.servers().map(|server| (&server.failure_domain, server.reachability));
        let mut stopped = entries.chain(servers).filter(|(found, _)| **found == domain);
        stopped.all(|(_, reachability)| reachability == Reachability::Unreachable)
    });
    let live = cluster.nodes.iter().filter(|node| node.alive).count() as f64;
    (elapsed_ms, cluster.traffic.bytes as f64 / live / (elapsed_ms as f64 / 1e3))
}

fn main() {
    println!(
        "nodes servers | messages/s bytes/s server-probes/s CPU-us/s memory-KiB | leaving-ms | rejoin-KB rejoin-ms | domain-lost-ms bytes/s"
    );
    let mut steady = Vec::new();
    for nodes in SIZES {
        let servers = nodes * SERVERS_AT_LARGEST / SIZES[SIZES.len() - 1];
        let before = resident_bytes();
        let mut cluster = Cluster::new(nodes, servers);
        cluster.run(TICK_MS);
        let memory_bytes = resident_bytes() - before;
        let row = measure_steady(&mut cluster, memory_bytes);
        let leaving_ms = measure_leaving(&mut cluster);
        cluster.run(WARM_UP_MS);
        let (rejoin_bytes, rejoin_ms) = measure_rejoin(&mut cluster);
        cluster.run(WARM_UP_MS);
        let (lost_ms, lost_bytes_per_s) = measure_domain_loss(&mut cluster);
        println!(
            "{nodes:5} {servers:7} | {:10.1} {:7.0} {:15.1} {:8.0} {:10.0} | {leaving_ms:10} | {:9.0} {rejoin_ms:9} | {lost_ms:14} {lost_bytes_per_s:7.0}",
            row.messages_per_s,
            row.bytes_per_s,
            row.server_probes_per_s,
            row.cpu_us_per_s,
            row.memory_kib,
            rejoin_bytes as f64 / 1e3,
        );
        steady.push(row);
    }
    let series: [(&str, Value); 5] = [
        ("messages/s", |row| row.messages_per_s),
        ("bytes/s", |row| row.bytes_per_s),
        ("server probes/s", |row| row.server_probes_per_s),
        ("CPU us/s", |row| row.cpu_us_per_s),
        ("memory KiB", |row| row.memory_kib),
    ];
    println!("\nfit against nodes: offset, slope a node, largest residual");
    for (name, value) in series {
        let points: Vec<_> = steady.iter().map(|row| (row.nodes, value(row))).collect();
        let (offset, slope, residual) = fit(&points);
        println!("{name:16} {offset:10.2} {slope:10.4} {residual:10.2}");
    }
}
