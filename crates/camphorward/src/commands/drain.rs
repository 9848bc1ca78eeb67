//! `camphorward drain`.

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::nodes::{Survey, explain};
use argh::FromArgs;
use clients::error::ClientError;
use protocol::ids::HostName;
use protocol::message::operator::DrainAnswer;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;

/// Drains an entry host: it takes no new requests, finishes those it has, and exits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// the entry host
    #[argh(positional, arg_name = "HOST")]
    host: HostName,
}

/// Holds the answer of the entry host.
#[derive(Debug, Serialize)]
struct DrainReport {
    #[serde(flatten)]
    answer: DrainAnswer,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DrainAnswer { host, already_draining, requests_in_flight, bound_ms } = &self.answer;
        let verb = if *already_draining { "was draining already" } else { "drains" };
        let bound_s = bound_ms / 1_000;
        write!(f, "{host} {verb}: {requests_in_flight} requests in flight, {bound_s} s at most")
    }
}

impl Drain {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let nodes = connections.known_nodes()?;
        let address = find(&self.host, &nodes.survey().await?)?;
        let answer: Result<DrainAnswer, ClientError> = nodes.post(address, "/drain").await;
        let answer = answer.map_err(|error| sort_error(&self.host, &error))?;
        console.print(&DrainReport { answer })
    }
}

fn find(host: &HostName, survey: &Survey) -> Result<SocketAddr, CommandError> {
    let view = survey.views.iter().find(|view| view.host.as_ref() == Some(host));
    view.map(|view| view.address).ok_or_else(|| {
        let known: Vec<String> = survey.views.iter().map(|view| view.label()).collect();
        CommandError::Usage(format!(
            "no entry host `{host}` is live; live are: {}",
            known.join(", ")
        ))
    })
}

fn sort_error(host: &HostName, error: &ClientError) -> CommandError {
    let reason = explain(error);
    match error {
        ClientError::Refused { .. } => CommandError::Refused(format!("{host}: {reason}")),
        _ => CommandError::Node { host: host.clone(), reason },
    }
}
