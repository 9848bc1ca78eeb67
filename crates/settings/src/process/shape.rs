//! The shape of the process settings.

use crate::shape::{Field, Scalar, Shape};
use protocol::ids::{FailureDomain, HostName, Region};

/// The longest span of time that a setting may hold, in milliseconds: a day.
const MAX_SPAN_MS: u64 = 86_400_000;
/// The largest body that a setting may allow, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 30;
/// The shortest retention of the log, in milliseconds: ten minutes.
const MIN_RETENTION_MS: u64 = 600_000;
/// The longest retention of the log, in milliseconds: thirty days.
const MAX_RETENTION_MS: u64 = 30 * MAX_SPAN_MS;
/// The most appends a second that a setting may allow.
const MAX_APPENDS_PER_S: u64 = 100_000;
/// The longest answer that a setting may allow, in tokens.
const MAX_ANSWER_TOKENS: u64 = 1 << 24;

/// The most threads that serve requests.
const MAX_WORKER_THREADS: u64 = 1_024;

/// Describes the process settings.
pub const PROCESS_SETTINGS: Shape = Shape::Object(&[
    Field::new("host", name(|text| text.parse::<HostName>().map(drop))),
    Field::new("failure_domain", name(|text| text.parse::<FailureDomain>().map(drop))),
    Field::new("region", name(|text| text.parse::<Region>().map(drop))),
    Field::new("listen", Shape::Object(LISTEN)),
    Field::new("platform", Shape::Object(PLATFORM)),
    Field::new("seed_peers", Shape::List(&TARGET)).with_default(),
    Field::new("address_map", Shape::AddressMap).with_default(),
    Field::new("limits", Shape::Object(LIMITS)).with_default(),
    Field::new("drain", Shape::Object(DRAIN)).with_default(),
    Field::new("policy", Shape::Scalar(Scalar::Word(POLICIES))).with_default(),
    Field::new("worker_threads", whole(1, MAX_WORKER_THREADS)).with_default(),
    Field::new("log_level", Shape::Scalar(Scalar::Word(LOG_LEVELS))).with_default(),
    Field::new("statsd", TARGET).with_null(),
]);

const LISTEN: &[Field] = &[
    Field::new("callers", Shape::Scalar(Scalar::ListenAddress)),
    Field::new("peers", Shape::Scalar(Scalar::ListenAddress)),
    Field::new("operators", Shape::Scalar(Scalar::ListenAddress)),
];

const PLATFORM: &[Field] = &[
    Field::new("log", TARGET),
    Field::new("host_list", TARGET),
    Field::new("log_retention_ms", whole(MIN_RETENTION_MS, MAX_RETENTION_MS)).with_default(),
    Field::new("log_appends_per_s", whole(1, MAX_APPENDS_PER_S)).with_default(),
];

const LIMITS: &[Field] = &[
    Field::new("body_bytes", whole(1, MAX_BODY_BYTES)).with_default(),
    Field::new("answer_tokens", whole(1, MAX_ANSWER_TOKENS)).with_default(),
    Field::new("caller_read_ms", whole(1, MAX_SPAN_MS)).with_default(),
    Field::new("caller_write_ms", whole(1, MAX_SPAN_MS)).with_default(),
];

const DRAIN: &[Field] = &[
    Field::new("balancer_wait_ms", whole(0, MAX_SPAN_MS)).with_default(),
    Field::new("bound_ms", whole(1, MAX_SPAN_MS)).with_default(),
];

const POLICIES: &[&str] = &["camphorward", "round_robin", "least_load", "prefix_hash"];

const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

const TARGET: Shape = Shape::Scalar(Scalar::TargetAddress);

const fn name(parse: fn(&str) -> Result<(), protocol::ids::IdError>) -> Shape {
    Shape::Scalar(Scalar::Name(parse))
}

const fn whole(min: u64, max: u64) -> Shape {
    Shape::Scalar(Scalar::Whole { min, max })
}
