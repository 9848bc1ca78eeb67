//! `camphorward drain`.

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::nodes::{ClusterStatus, describe_error};
use argh::FromArgs;
use clients::error::ClientError;
use protocol::ids::HostName;
use protocol::message::operator::DrainAnswer;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;

/// Drains an entry host: it accepts no new requests, finishes those in flight, and exits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// the entry host
    #[argh(positional, arg_name = "HOST")]
    host: HostName,
}

/// The answer of the entry host.
#[derive(Debug, Serialize)]
struct DrainReport {
    #[serde(flatten)]
    answer: DrainAnswer,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DrainAnswer { host, already_draining, requests_in_flight, bound_ms } = &self.answer;
        let state = if *already_draining { "was already draining" } else { "drains" };
        let bound_s = bound_ms / 1_000;
        write!(f, "{host} {state}: {requests_in_flight} requests in flight, time limit {bound_s} s")
    }
}

impl Drain {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let nodes = connections.configured_nodes()?;
        let address = find_address(&self.host, &nodes.query_cluster().await?)?;
        let answer: Result<DrainAnswer, ClientError> = nodes.post(address, "/drain").await;
        let answer = answer.map_err(|error| to_command_error(&self.host, &error))?;
        console.print(&DrainReport { answer })
    }
}

fn find_address(host: &HostName, cluster: &ClusterStatus) -> Result<SocketAddr, CommandError> {
    let view = cluster.views.iter().find(|view| view.host.as_ref() == Some(host));
    view.map(|view| view.address).ok_or_else(|| {
        let live: Vec<String> = cluster.views.iter().map(|view| view.label()).collect();
        CommandError::Usage(format!(
            "there is no live entry host `{host}`; live entry hosts: {}",
            live.join(", ")
        ))
    })
}

fn to_command_error(host: &HostName, error: &ClientError) -> CommandError {
    let reason = describe_error(error);
    match error {
        ClientError::Refused { .. } => CommandError::Refused(format!("{host}: {reason}")),
        _ => CommandError::Node { host: host.clone(), reason },
    }
}
