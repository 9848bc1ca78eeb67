//! Builds and handles the messages of probes and of anti-entropy exchanges between host tables.

use crate::limits::{BUCKETS_PER_EXCHANGE, MIN_EXCHANGE_INTERVAL_MS};
use crate::table::{HostTable, Source};
use protocol::ids::{ConfigVersion, HostName, Incarnation};
use protocol::message::hosts::HostRecord;
use protocol::message::probe::{
    Ack, BUCKETS, Exchange, ExchangeAnswer, Heartbeat, MAX_EXCHANGE_RECORDS, MAX_PROBE_RECORDS,
    Probe,
};
use std::collections::HashMap;

/// Returns a probe that can be sent to any entry host now.
pub fn probe(table: &HostTable, config_version: ConfigVersion) -> Probe {
    let records = table.take_updates(MAX_PROBE_RECORDS);
    Probe { heartbeat: heartbeat(table, config_version), records }
}

/// Merges a peer's probe and returns the answer to it.
pub fn answer_probe(
    table: &HostTable,
    probe: &Probe,
    config_version: ConfigVersion,
    now_ms: u64,
) -> Ack {
    merge_bounded(table, &probe.records, MAX_PROBE_RECORDS, Source::Gossip, now_ms);
    table.observe_heartbeat(&probe.heartbeat, now_ms);
    let records = table.take_updates(MAX_PROBE_RECORDS);
    let heartbeat = heartbeat(table, config_version);
    let differs = heartbeat.table_digest != probe.heartbeat.table_digest;
    let bucket_digests = if differs { table.bucket_digests() } else { Vec::new() };
    Ack { heartbeat, records, bucket_digests }
}

/// Merges the answer to a probe; returns an exchange to send to the same peer if the tables differ.
///
/// An answer from another host, or from an earlier incarnation than the probed one, counts as a
/// failed probe of the probed incarnation.
pub fn accept_ack(
    table: &HostTable,
    probed: Option<(&HostName, Incarnation)>,
    ack: &Ack,
    now_ms: u64,
) -> Option<Exchange> {
    if let Some((host, incarnation)) = probed
        && (ack.heartbeat.host != *host || ack.heartbeat.incarnation < incarnation)
    {
        table.observe_failure(host, incarnation, now_ms);
    }
    merge_bounded(table, &ack.records, MAX_PROBE_RECORDS, Source::Gossip, now_ms);
    table.observe_heartbeat(&ack.heartbeat, now_ms);
    let buckets = differing_buckets(table, &ack.bucket_digests, now_ms);
    if buckets.is_empty() || !table.may_exchange(MIN_EXCHANGE_INTERVAL_MS, now_ms) {
        return None;
    }
    Some(exchange(table, buckets, now_ms))
}

/// Merges a peer's exchange and returns the records that the peer lacks or holds in another state.
pub fn answer_exchange(table: &HostTable, request: &Exchange, now_ms: u64) -> ExchangeAnswer {
    merge_bounded(table, &request.records, MAX_EXCHANGE_RECORDS, Source::Exchange, now_ms);
    let received: HashMap<&HostName, &HostRecord> =
        request.records.iter().map(|record| (&record.host, record)).collect();
    let mut records = table.records_in(&request.buckets, now_ms);
    records.retain(|record| received.get(&record.host) != Some(&record));
    records.truncate(MAX_EXCHANGE_RECORDS);
    ExchangeAnswer { records }
}

/// Merges the answer to an exchange.
pub fn accept_answer(table: &HostTable, answer: &ExchangeAnswer, now_ms: u64) {
    merge_bounded(table, &answer.records, MAX_EXCHANGE_RECORDS, Source::Exchange, now_ms);
}

fn heartbeat(table: &HostTable, config_version: ConfigVersion) -> Heartbeat {
    Heartbeat {
        host: table.local_host().clone(),
        incarnation: table.local_incarnation(),
        config_version,
        table_digest: table.digest(),
        draining: table.is_draining(),
    }
}

fn merge_bounded(
    table: &HostTable,
    records: &[HostRecord],
    max_records: usize,
    source: Source,
    now_ms: u64,
) {
    table.merge(&records[..records.len().min(max_records)], source, now_ms);
}

fn differing_buckets(table: &HostTable, peer_digests: &[u32], now_ms: u64) -> Vec<u8> {
    if peer_digests.len() != BUCKETS {
        return Vec::new();
    }
    let local_digests = table.bucket_digests();
    // Rotates the start, so that buckets that never converge do not starve the others.
    let start = now_ms as usize % BUCKETS;
    let rotated = (0..BUCKETS).map(|step| (start + step) % BUCKETS);
    rotated
        .filter(|bucket| local_digests[*bucket] != peer_digests[*bucket])
        .take(BUCKETS_PER_EXCHANGE)
        .map(|bucket| bucket as u8)
        .collect()
}

fn exchange(table: &HostTable, mut buckets: Vec<u8>, now_ms: u64) -> Exchange {
    let mut records = table.records_in(&buckets, now_ms);
    while records.len() > MAX_EXCHANGE_RECORDS && buckets.len() > 1 {
        buckets.truncate(buckets.len() / 2);
        records = table.records_in(&buckets, now_ms);
    }
    records.truncate(MAX_EXCHANGE_RECORDS);
    Exchange { buckets, records }
}
