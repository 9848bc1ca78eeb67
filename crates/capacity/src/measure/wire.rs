//! Encoded sizes of the messages and records that nodes read and send.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use clients::wire::engine::{KvChange, KvEvent, LoadReport};
use clients::wire::host_list::{HostEntry, HostRole, HostState};
use control::leases::{LeaseAction, LeaseRecord};
use eyre::Result;
use protocol::ids::{ChainKey, Incarnation, LogOffset};
use protocol::message::place::{FinishedNotice, PlaceAnswer, PlaceReply, PlaceRequest};
use serde::Serialize;
use std::net::{Ipv4Addr, SocketAddr};

const HTTP_HEADS: &str = "HTTP heads";
const SEGMENTS: [u64; 3] = [1, 10, 50];
const COUNTS: [u64; 3] = [50, 350, 1_150];
const NOW_MS: u64 = 1_700_000_000_000;

const LOAD: SeriesDescription = SeriesDescription {
    id: "load_bytes",
    measure: "load reports, bytes",
    size: "servers",
    command: COMMAND,
    leaves_out: HTTP_HEADS,
};
const EVENTS: SeriesDescription = SeriesDescription {
    id: "event_bytes",
    measure: "cache events, bytes",
    size: "events",
    command: COMMAND,
    leaves_out: HTTP_HEADS,
};
const HOSTS: SeriesDescription = SeriesDescription {
    id: "host_list_bytes",
    measure: "the platform's host list, bytes",
    size: "hosts",
    command: COMMAND,
    leaves_out: HTTP_HEADS,
};
const LEASES: SeriesDescription = SeriesDescription {
    id: "lease_bytes",
    measure: "lease records, bytes",
    size: "renewals",
    command: COMMAND,
    leaves_out: HTTP_HEADS,
};
const PLACE: SeriesDescription = SeriesDescription {
    id: "place_bytes",
    measure: "a placement asked, answered and finished, bytes",
    size: "segments",
    command: COMMAND,
    leaves_out: "HTTP heads; explanations of candidates; cached blocks",
};

/// Measures all sizes.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded.
pub fn measure() -> Result<Vec<Series>> {
    Ok(vec![
        LOAD.fit(points(COUNTS, load)?)?,
        EVENTS.fit(points(COUNTS, event)?)?,
        HOSTS.fit(points(COUNTS, host)?)?,
        LEASES.fit(points(COUNTS, lease)?)?,
        PLACE.fit(SEGMENTS.into_iter().map(place).collect::<Result<_>>()?)?,
    ])
}

fn points<T: Serialize>(counts: [u64; 3], make: fn(u64) -> Result<T>) -> Result<Vec<Point>> {
    let point = |count| -> Result<Point> {
        let bytes = (0..count).map(|number| Ok(serde_json::to_vec(&make(number)?)?.len()));
        let bytes: usize = bytes.sum::<Result<usize>>()?;
        Ok(Point::new(count as f64, bytes as f64))
    };
    counts.into_iter().map(point).collect()
}

fn key(number: u64) -> ChainKey {
    ChainKey::new(*blake3::hash(&number.to_le_bytes()).as_bytes())
}

fn load(number: u64) -> Result<LoadReport> {
    Ok(LoadReport {
        incarnation: Incarnation::new(NOW_MS),
        weight_version: "v1".parse()?,
        leaving: false,
        running: 8,
        queued: 2,
        queued_prompt_tokens: 24_000 + number,
        prefill_tokens_per_s: 10_000,
        age_ms: 100,
    })
}

fn event(number: u64) -> Result<KvEvent> {
    Ok(KvEvent { number: 1_000_000 + number, key: key(number), change: KvChange::Stored })
}

fn host(number: u64) -> Result<HostEntry> {
    let address = Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8);
    Ok(HostEntry {
        host: format!("server-{number:04}").parse()?,
        incarnation: Incarnation::new(NOW_MS),
        region: "region-1".parse()?,
        failure_domain: "domain-1".parse()?,
        state: HostState::Live,
        role: HostRole::Server {
            service: "model-1".parse()?,
            address: SocketAddr::from((address, 9_000)),
        },
    })
}

fn lease(number: u64) -> Result<LeaseRecord> {
    Ok(LeaseRecord {
        service: "model-1".parse()?,
        holder: "entry-0001".parse()?,
        incarnation: Incarnation::new(NOW_MS),
        record_id: uuid::Uuid::from_u128(u128::from(number)).to_string(),
        action: LeaseAction::Renew(LogOffset::new(1_000_000 + number)),
    })
}

fn place(segments: u64) -> Result<Point> {
    let chain: Vec<ChainKey> = (0..segments).map(key).collect();
    let request = PlaceRequest {
        service: "model-1".parse()?,
        attempt_id: "00000000-0000-7000-8000-000000000001".parse()?,
        chain: chain.clone(),
        prompt_tokens: 2_000 * segments,
        text_bytes: 8_000 * segments,
        region: "region-1".parse()?,
        excluded: Vec::new(),
    };
    let answer = PlaceReply::Placed(PlaceAnswer {
        server: "server-0001".parse()?,
        cached_pieces: segments as usize,
        imports: Vec::new(),
        recomputed_tokens: 0,
        expected_first_token_ms: 100,
        candidates: Vec::new(),
    });
    let finished = FinishedNotice {
        service: request.service.clone(),
        attempt_id: request.attempt_id.clone(),
        server: "server-0001".parse()?,
        chain,
        completed: true,
        missing: Vec::new(),
    };
    let sizes = [
        rmp_serde::to_vec(&request)?.len(),
        rmp_serde::to_vec(&answer)?.len(),
        rmp_serde::to_vec(&finished)?.len(),
    ];
    Ok(Point::new(segments as f64, sizes.iter().sum::<usize>() as f64))
}
