//! Requests that may have crashed a server: what the daemons tell each other of them.
//!
//! | part | does |
//! |---|---|
//! | [`messages`] | the messages between entry hosts |
//! | [`homes`] | who is told and asked |
//! | [`judge`] | how a request may run, asked before each attempt |
//! | [`watch`] | follows each attempt, and finds out whether a server died |
//! | [`isolation`] | servers granted to suspects |
//! | [`receive`] | takes in the messages of other hosts |

mod homes;
mod isolation;
mod judge;
mod messages;
mod receive;
mod sweep;
mod watch;

pub(crate) use judge::{Place, judge};
pub(crate) use messages::SUSPECT_PATH;
pub(crate) use receive::receive;
pub(crate) use sweep::sweep;
pub(crate) use watch::follow;

use crate::quarantine::isolation::Grants;
use admission::quarantine::Quarantine;
use std::time::Duration;

/// The pause before a request that is tied to one server is judged again, as that server took no
/// work.
pub(crate) const TIED_PAUSE: Duration = Duration::from_millis(100);

/// Holds what this daemon knows of requests that may crash servers.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    contents: Quarantine,
    grants: Grants,
}

impl QuarantineState {
    /// Creates empty tables.
    pub(crate) fn new() -> Self {
        Self::default()
    }
}
