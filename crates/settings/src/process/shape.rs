//! Shape of the process settings.

use crate::shape::{Field, Scalar, Shape};
use protocol::ids::{FailureDomain, HostName, Region};

/// The maximum duration, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;
/// The upper bound of the maximum body size, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 30;
/// The minimum retention of the log, in milliseconds: ten minutes.
const MIN_RETENTION_MS: u64 = 600_000;
/// The maximum retention of the log, in milliseconds: thirty days.
const MAX_RETENTION_MS: u64 = 30 * MAX_DURATION_MS;
/// The maximum append budget, in appends per second.
const MAX_APPENDS_PER_S: u64 = 100_000;
/// The upper bound of the maximum answer length, in tokens.
const MAX_ANSWER_TOKENS: u64 = 1 << 24;

/// The maximum number of threads that serve requests.
const MAX_WORKER_THREADS: u64 = 1_024;

/// The shape of the process settings.
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
    Field::new("policy", Shape::Scalar(Scalar::Keyword(POLICIES))).with_default(),
    Field::new("worker_threads", integer(1, MAX_WORKER_THREADS)).with_default(),
    Field::new("log_level", Shape::Scalar(Scalar::Keyword(LOG_LEVELS))).with_default(),
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
    Field::new("log_retention_ms", integer(MIN_RETENTION_MS, MAX_RETENTION_MS)).with_default(),
    Field::new("log_appends_per_s", integer(1, MAX_APPENDS_PER_S)).with_default(),
];

const LIMITS: &[Field] = &[
    Field::new("body_bytes", integer(1, MAX_BODY_BYTES)).with_default(),
    Field::new("answer_tokens", integer(1, MAX_ANSWER_TOKENS)).with_default(),
    Field::new("caller_read_ms", integer(1, MAX_DURATION_MS)).with_default(),
    Field::new("caller_write_ms", integer(1, MAX_DURATION_MS)).with_default(),
];

const DRAIN: &[Field] = &[
    Field::new("balancer_wait_ms", integer(0, MAX_DURATION_MS)).with_default(),
    Field::new("bound_ms", integer(1, MAX_DURATION_MS)).with_default(),
];

const POLICIES: &[&str] = &["camphorward", "round_robin", "least_load", "prefix_hash"];

const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

const TARGET: Shape = Shape::Scalar(Scalar::TargetAddress);

const fn name(parse: fn(&str) -> Result<(), protocol::ids::IdError>) -> Shape {
    Shape::Scalar(Scalar::Name(parse))
}

const fn integer(min: u64, max: u64) -> Shape {
    Shape::Scalar(Scalar::Integer { min, max })
}
