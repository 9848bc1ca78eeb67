//! How much the holders of a cold server grant.
//!
//! Load pattern: a server that has just started bears a dozen requests a second, and requests reach
//! it from dozens of gateways. Two holders may grant at the same time.

use crate::configuration::ColdTraits;
use crate::limits::grants::BucketShape;

/// The time in which grants are given whose requests may arrive within one second, in seconds: the
/// second, the time for which a grant may be used, and the way to the server.
const WINDOW_S: f64 = 1.3;
/// The share of what the platform allows that the first holder of a server grants. The rest is for a
/// second holder at the same time.
const FIRST_SHARE: f64 = 0.75;
/// The share of a bucket beyond one send that is left for urgent requests and for organisations that
/// have got less.
const RESERVED_SHARE: f64 = 0.8;

/// Which part of a cold server's limit a holder grants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderRole {
    /// It is the first holder of the server, and has been for a while.
    First,
    /// It stands in for the first one, or other gateways may still ask another one.
    Other,
}

/// What a cold server of a service may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long a server counts as cold without a statement, in milliseconds.
    pub duration_ms: u64,
    /// How much longer a request probably takes there, in milliseconds.
    pub slowness_ms: f64,
    first: BucketShape,
    other: BucketShape,
}

impl ColdLimit {
    /// Derives what holders grant from what servers bear, and from the requests that one may get
    /// within a second: a multiple of that, and some more.
    pub fn new(traits: ColdTraits, factor: f64, slack: f64) -> Self {
        let per_s = traits.rate.per_s();
        let allowed = per_s * factor + slack;
        Self {
            duration_ms: traits.duration_ms,
            slowness_ms: if per_s > 0.0 { 1_000.0 / per_s } else { 0.0 },
            first: shape(FIRST_SHARE * allowed, per_s),
            other: shape((1.0 - FIRST_SHARE) * allowed, per_s),
        }
    }

    /// Returns what a holder grants.
    pub const fn shape(&self, role: HolderRole) -> BucketShape {
        match role {
            HolderRole::First => self.first,
            HolderRole::Other => self.other,
        }
    }
}

/// Returns a bucket that grants at most a number of sends within [`WINDOW_S`], and no more than a
/// rate for long.
fn shape(sends: f64, per_s: f64) -> BucketShape {
    let rate_per_s = ((sends - 1.0) / WINDOW_S).clamp(0.0, per_s);
    let burst_sends = sends - WINDOW_S * rate_per_s;
    BucketShape {
        rate_per_ms: rate_per_s / 1_000.0,
        burst_sends,
        reserve_factor: RESERVED_SHARE * (burst_sends - 1.0).clamp(0.0, 1.0),
    }
}
