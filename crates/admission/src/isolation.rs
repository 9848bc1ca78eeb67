//! Grants of servers to suspects, so that no two suspects run on one server.

use protocol::ids::HostName;
use protocol::message::suspect::{IsolateAnswer, IsolateRelease, IsolateRequest};
use std::collections::HashMap;

/// The time after which a grant expires unless it is requested again, in milliseconds.
pub const GRANT_MS: u64 = 10_000;
/// The time for which a new home only takes over the grants of its predecessor, in
/// milliseconds.
pub const TAKEOVER_PERIOD_MS: u64 = 1_000;
/// The wait after which a suspect without a grant requests again, in milliseconds.
const BUSY_WAIT_MS: u64 = 200;

#[derive(Debug)]
struct Grant {
    holder: IsolateRequest,
    until_ms: u64,
}

/// Holds the grants of one service, at the rendezvous winner for the service's name.
///
/// A suspect holds its grant until its attempt ends or passes the point of the crash by
/// [`ISOLATED_TOKENS`](crate::quarantine::ISOLATED_TOKENS), so others wait for a first token
/// rather than for a complete answer.
///
/// When the home changes, the new home starts an empty table, and each entry host requests the
/// grants that its attempts hold again.
#[derive(Debug)]
pub struct IsolationTable {
    grants: HashMap<HostName, Grant>,
    grants_from_ms: u64,
}

impl IsolationTable {
    /// Creates the table of a host that has become the service's home.
    pub fn new(now_ms: u64) -> Self {
        Self { grants: HashMap::new(), grants_from_ms: now_ms.saturating_add(TAKEOVER_PERIOD_MS) }
    }

    /// Grants the first preferred server that no other suspect holds.
    ///
    /// A repeated request of the same attempt returns and extends its grant. Another attempt at the
    /// same content waits.
    pub fn request(&mut self, request: &IsolateRequest, now_ms: u64) -> IsolateAnswer {
        self.grants.retain(|_, grant| grant.until_ms > now_ms);
        let until_ms = now_ms.saturating_add(GRANT_MS);
        let mut grants = self.grants.iter_mut();
        if let Some((server, grant)) = grants.find(|(_, g)| g.holder.digest == request.digest) {
            if grant.holder.attempt_id != request.attempt_id {
                return IsolateAnswer::Busy { wait_ms: BUSY_WAIT_MS };
            }
            grant.until_ms = until_ms;
            return IsolateAnswer::Granted { server: server.clone() };
        }
        let Some(server) = self.free_server(request, now_ms) else {
            return IsolateAnswer::Busy { wait_ms: BUSY_WAIT_MS };
        };
        self.grants.insert(server.clone(), Grant { holder: request.clone(), until_ms });
        IsolateAnswer::Granted { server: server.clone() }
    }

    fn free_server<'a>(&self, request: &'a IsolateRequest, now_ms: u64) -> Option<&'a HostName> {
        let preferred = request.preferred.iter().filter(|_| now_ms >= self.grants_from_ms);
        let mut candidates = request.holds.iter().chain(preferred);
        candidates.find(|server| !self.grants.contains_key(*server))
    }

    /// Ends the grant of an attempt.
    pub fn release(&mut self, release: &IsolateRelease) {
        self.grants.retain(|_, grant| {
            grant.holder.digest != release.digest || grant.holder.attempt_id != release.attempt_id
        });
    }

    /// Returns the servers with a grant that has not expired.
    pub fn granted(&self, now_ms: u64) -> impl Iterator<Item = &HostName> {
        let grants = self.grants.iter().filter(move |(_, grant)| grant.until_ms > now_ms);
        grants.map(|(server, _)| server)
    }
}
