//! Prints the cost of three ways to disseminate one publication, in messages and bytes.
//!
//! | way | procedure |
//! |---|---|
//! | log | every node reads the log |
//! | parents | list readers read the log; k parents notify every other node, which then pulls |
//! | probes | list readers read the log; every other node gets the version on a heartbeat, and pulls |
//!
//! Messages are encoded as between processes and delivered in memory, without delay or loss.
//! Heartbeats are sent in any case and not counted. The parents of a node follow the depender
//! graphs of Wright, Lincoln and Millen (2000), but a node may have several dependers per rank,
//! which limits the depth.

use control::configuration::{ConfigRecord, Configuration, PageRecord, StreamPage};
use control::spread::{Puller, next_pull};
use membership::limits::TICK_MS;
use membership::{HostTable, ProbeRequest, Prober, Source, exchange};
use protocol::ids::{ConfigVersion, HostName, Incarnation, LogOffset};
use protocol::message::configuration::ConfigRequest;
use protocol::message::hosts::{EntryAddresses, HostRecord, HostRole};
use protocol::rendezvous::mix;
use serde::Serialize;
use std::collections::HashMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};

const SIZES: [usize; 3] = [7, 50, 350];
const ORGANISATIONS_PER_NODE: usize = 8;
const DOMAINS: usize = 4;
const PARENTS: usize = 2;
const DEPENDERS_PER_RANK: usize = 4;
const START_MS: u64 = 1_700_000_000_000;
const SPREAD_TIMEOUT_MS: u64 = 60_000;
const POLL_WAIT_S: f64 = 10.0;
const PUBLICATIONS_PER_DAY: f64 = 1_100.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

#[derive(Default)]
struct Cost {
    log_messages: u64,
    log_bytes: u64,
    peer_messages: u64,
    peer_bytes: u64,
    steps: u64,
    sent_bytes: Vec<u64>,
}

struct Node {
    record: HostRecord,
    table: HostTable,
    prober: Prober,
    configuration: Configuration,
}

fn entry(index: usize) -> HostRecord {
    let at = |port| SocketAddr::from((Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8), port));
    let domain = index % DOMAINS;
    let addresses = EntryAddresses { callers: at(1), peers: at(2), operators: at(3) };
    HostRecord {
        host: format!("entry-{index:04}").parse().expect("a host name"),
        incarnation: Incarnation::new(START_MS),
        region: format!("region-{}", domain / 2).parse().expect("a region"),
        failure_domain: format!("domain-{domain}").parse().expect("a failure domain"),
        leaving: false,
        refutations: 0,
        suspected_at_ms: None,
        role: HostRole::Entry(addresses),
    }
}

fn services_text(organisations: usize) -> String {
    let mut text = String::from("{\"regions\":[],\"services\":[],\"organisations\":[");
    for index in 0..organisations {
        let comma = if index > 0 { "," } else { "" };
        let digest = format!("{:016x}", mix(index as u64)).repeat(4);
        let entry = format!("{{\"name\":\"organisation-{index}\",\"key_digests\":[\"{digest}\"]}}");
        let _ = write!(text, "{comma}{entry}");
    }
    text + "]}"
}

fn cluster(count: usize) -> Vec<Node> {
    let records: Vec<HostRecord> = (0..count).map(entry).collect();
    let node = |record: &HostRecord| {
        let table = HostTable::new(record.clone(), START_MS);
        table.merge(&records, Source::Exchange, START_MS);
        let configuration = Configuration::new();
        Node { record: record.clone(), table, prober: Prober::new(), configuration }
    };
    records.iter().map(node).collect()
}

fn publication(text: &str) -> String {
    let record = ConfigRecord {
        base: ConfigVersion::default(),
        publication_id: "publication".to_owned(),
        text: text.to_owned(),
    };
    serde_json::to_string(&record).expect("an encodable record")
}

fn read_log(node: &mut Node, value: &str, cost: &mut Cost) {
    let snapshots = StreamPage {
        first_retained: LogOffset::default(),
        end: LogOffset::default(),
        records: Vec::new(),
    };
    node.configuration.take_page(node.configuration.next_read(), &snapshots);
    let record = PageRecord { offset: LogOffset::default(), value: value.to_owned() };
    let page = StreamPage { end: LogOffset::new(1), records: vec![record], ..snapshots };
    node.configuration.take_page(node.configuration.next_read(), &page);
    cost.log_messages += 2;
    cost.log_bytes += value.len() as u64;
}

fn size_of<M: Serialize>(message: &M) -> u64 {
    rmp_serde::to_vec(message).expect("an encodable message").len() as u64
}

/// Makes one node pull from another and counts both messages.
fn pull(nodes: &mut [Node], puller: usize, source: usize, cost: &mut Cost) {
    let request = ConfigRequest { known: nodes[puller].configuration.version() };
    let relay = nodes[source].configuration.answer(request);
    cost.peer_messages += 2;
    let answer_bytes = size_of(&relay);
    cost.peer_bytes += size_of(&request) + answer_bytes;
    cost.sent_bytes[source] += answer_bytes;
    nodes[puller].configuration.take_relay(&relay).expect("a text that passes the check");
}

fn spread_by_log(nodes: &mut [Node], value: &str, cost: &mut Cost) {
    nodes.iter_mut().for_each(|node| read_log(node, value, cost));
}

fn readers(nodes: &[Node]) -> Vec<usize> {
    let view = nodes[0].table.view(START_MS);
    (0..nodes.len()).filter(|index| view.is_list_reader(&nodes[*index].record.host)).collect()
}

/// Returns the parents of each node, ordered by rank; list readers have none.
fn parents_of(order: &[usize], roots: usize) -> Vec<Vec<usize>> {
    let parents = |rank: usize| {
        let first = (rank - roots) / DEPENDERS_PER_RANK;
        (first..first + PARENTS).map(|parent| order[parent]).collect()
    };
    (0..order.len()).map(|rank| if rank < roots { Vec::new() } else { parents(rank) }).collect()
}

fn spread_by_parents(nodes: &mut [Node], value: &str, cost: &mut Cost) {
    let roots = readers(nodes);
    let mut order = roots.clone();
    order.extend((0..nodes.len()).filter(|index| !roots.contains(index)));
    let parents = parents_of(&order, roots.len());
    let mut depth: HashMap<usize, u64> = HashMap::new();
    for (rank, node) in order.iter().enumerate() {
        if parents[rank].is_empty() {
            read_log(&mut nodes[*node], value, cost);
            depth.insert(*node, 0);
            continue;
        }
        let notice = ConfigRequest { known: ConfigVersion::new(1) };
        cost.peer_messages += parents[rank].len() as u64;
        cost.peer_bytes += parents[rank].len() as u64 * size_of(&notice);
        let nearest = parents[rank].iter().min_by_key(|parent| depth[*parent]);
        let source = *nearest.expect("a parent");
        pull(nodes, *node, source, cost);
        depth.insert(*node, depth[&source] + 1);
    }
    cost.steps = depth.values().copied().max().unwrap_or(0);
}

fn spread_by_probes(nodes: &mut [Node], value: &str, cost: &mut Cost) {
    let indices: HashMap<HostName, usize> =
        nodes.iter().enumerate().map(|(index, node)| (node.record.host.clone(), index)).collect();
    for index in readers(nodes) {
        read_log(&mut nodes[index], value, cost);
    }
    let mut now_ms = START_MS;
    while nodes.iter().any(|node| node.configuration.version() == ConfigVersion::default()) {
        now_ms += TICK_MS;
        assert!(
            now_ms < START_MS + SPREAD_TIMEOUT_MS,
            "the version did not reach every node in time"
        );
        for index in 0..nodes.len() {
            tick(nodes, index, now_ms, &indices, cost);
        }
    }
    cost.steps = now_ms - START_MS;
}

fn tick(
    nodes: &mut [Node],
    index: usize,
    now_ms: u64,
    indices: &HashMap<HostName, usize>,
    cost: &mut Cost,
) {
    let node = &mut nodes[index];
    for request in node.prober.tick(&node.table, now_ms, mix(now_ms ^ mix(index as u64))) {
        let ProbeRequest::Peer(target) = request else { continue };
        let other = indices[&target.host];
        let probe = exchange::probe(&nodes[index].table, nodes[index].configuration.version());
        let version = nodes[other].configuration.version();
        let ack = exchange::answer_probe(&nodes[other].table, &probe, version, now_ms);
        let probed = Some((&target.host, target.incarnation));
        exchange::accept_ack(&nodes[index].table, probed, &ack, now_ms);
        pull_later(nodes, index, now_ms, indices, cost);
        pull_later(nodes, other, now_ms, indices, cost);
    }
}

fn pull_later(
    nodes: &mut [Node],
    index: usize,
    now_ms: u64,
    indices: &HashMap<HostName, usize>,
    cost: &mut Cost,
) {
    let node = &nodes[index];
    let version = node.configuration.version();
    let puller = Puller { domain: &node.record.failure_domain, version };
    let view = node.table.view(now_ms);
    let random = mix(now_ms ^ mix(index as u64));
    if let Some(request) = next_pull(puller, &view, &node.table.config_versions(), random) {
        pull(nodes, index, indices[&request.host], cost);
    }
}

type Spread = fn(&mut [Node], &str, &mut Cost);

fn main() {
    let ways: [(&str, Spread); 3] =
        [("log", spread_by_log), ("parents", spread_by_parents), ("probes", spread_by_probes)];
    println!(
        "steps: pulls in a row for parents, milliseconds for probes; idle: requests held open at the log"
    );
    println!(
        "nodes text-KB way      | log-msgs log-MB peer-msgs peer-MB most-sent-MB steps | idle log-msgs/s | at 1,100 a day: log-KB/s peer-KB/s a node"
    );
    for count in SIZES {
        let text = services_text(count * ORGANISATIONS_PER_NODE);
        let value = publication(&text);
        for (name, spread) in ways {
            let mut nodes = cluster(count);
            let mut cost = Cost { sent_bytes: vec![0; count], ..Cost::default() };
            spread(&mut nodes, &value, &mut cost);
            let log_readers = if name == "log" { count } else { readers(&nodes).len() };
            let per_s = PUBLICATIONS_PER_DAY / SECONDS_PER_DAY / 1e3;
            println!(
                "{count:5} {:7.1} {name:8} | {:8} {:6.2} {:9} {:7.2} {:12.2} {:5} | {:15.1} | {:24.2} {:15.2}",
                text.len() as f64 / 1e3,
                cost.log_messages,
                cost.log_bytes as f64 / 1e6,
                cost.peer_messages,
                cost.peer_bytes as f64 / 1e6,
                cost.sent_bytes.iter().max().copied().unwrap_or(0) as f64 / 1e6,
                cost.steps,
                2.0 * log_readers as f64 / POLL_WAIT_S,
                cost.log_bytes as f64 * per_s,
                cost.peer_bytes as f64 * per_s / count as f64,
            );
        }
    }
}
