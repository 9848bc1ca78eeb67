//! Quarantine of requests that may have crashed a server, shared between entry hosts.
//!
//! | module | purpose |
//! |---|---|
//! | [`messages`] | the messages between entry hosts |
//! | [`homes`] | the hosts that hold a request's status, and messages to them |
//! | [`check`] | checks before each attempt how a request may run |
//! | [`watch`] | tracks each attempt, and determines whether a server crashed |
//! | [`isolation`] | servers granted to suspects |
//! | [`receive`] | handles the messages of other hosts |

mod check;
mod homes;
mod isolation;
mod messages;
mod receive;
mod sweep;
mod watch;

pub(crate) use check::{PlacementConstraint, check};
pub(crate) use messages::SUSPECT_PATH;
pub(crate) use receive::receive;
pub(crate) use sweep::sweep;
pub(crate) use watch::{TrackedAttempt, track};

use crate::quarantine::isolation::Grants;
use admission::quarantine::Quarantine;
use std::time::Duration;

/// Delay before a request that is pinned to one server is checked again, if that server does not
/// accept requests.
pub(crate) const PINNED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// This daemon's state of requests that may crash servers.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    requests: Quarantine,
    grants: Grants,
}

impl QuarantineState {
    /// Creates empty tables.
    pub(crate) fn new() -> Self {
        Self::default()
    }
}
