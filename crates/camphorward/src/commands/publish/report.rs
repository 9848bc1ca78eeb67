//! Output of `camphorward publish`.

use super::append::Accepted;
use super::rollout::Rollout;
use crate::error::CommandError;
use protocol::ids::{ConfigVersion, LogOffset};
use serde::Serialize;
use std::fmt;

/// The result of a publication.
#[derive(Debug, Serialize)]
pub(super) struct PublishReport {
    version: ConfigVersion,
    offset: LogOffset,
    publication_id: String,
    rollout: Option<Rollout>,
}

impl PublishReport {
    /// Creates the report.
    pub(super) fn new(accepted: Accepted, rollout: Option<Rollout>) -> Self {
        let Accepted { version, offset, publication_id } = accepted;
        Self { version, offset, publication_id, rollout }
    }

    /// Checks that the version is in force on all reachable entry hosts.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Lagging`], or [`CommandError::Nodes`] if no entry host is reachable.
    pub(super) fn check(&self) -> Result<(), CommandError> {
        let Some(rollout) = &self.rollout else {
            return Ok(());
        };
        let version = self.version;
        if !rollout.lagging.is_empty() {
            let hosts = rollout.lagging.iter().map(|node| node.host.clone()).collect();
            return Err(CommandError::Lagging { version, hosts });
        }
        if rollout.in_force.is_empty() {
            let queried = rollout.unreachable.join(", ");
            let message = format!("version {version} is accepted; queried {queried}");
            return Err(CommandError::Nodes(message));
        }
        Ok(())
    }
}

impl fmt::Display for PublishReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version = self.version;
        let Some(rollout) = &self.rollout else {
            let advice = "give entry hosts with --nodes to wait until it is in force";
            return write!(f, "version {version} is published; {advice}");
        };
        let in_force = rollout.in_force.len();
        let reachable = in_force + rollout.lagging.len();
        let waited_s = rollout.waited_ms as f64 / 1e3;
        let hosts = format!("{in_force} of {reachable} reachable entry hosts");
        write!(f, "version {version} is in force on {hosts} after {waited_s:.1} s")?;
        for node in &rollout.lagging {
            write!(f, "\n{} lags behind at version {}", node.host, node.config_version)?;
        }
        for host in &rollout.unreachable {
            write!(f, "\n{host} cannot be reached")?;
        }
        Ok(())
    }
}
