//! `camphorward why`.

mod report;

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::nodes::{Nodes, explain};
use argh::FromArgs;
use clients::error::ClientError;
use futures_util::future::join_all;
use protocol::ids::RequestId;
use protocol::message::operator::PlacementExplanation;
use report::WhyReport;

/// The status of an entry host that does not remember a request.
const NOT_FOUND: u16 = 404;

/// Explains how a request was placed, from whichever entry host remembers it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why")]
pub(crate) struct Why {
    /// the request's id, as returned to the caller
    #[argh(positional, arg_name = "REQUEST")]
    request: RequestId,
}

impl Why {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let explanation = ask_all(connections.known_nodes()?, &self.request).await?;
        console.print(&WhyReport { explanation })
    }
}

async fn ask_all(nodes: &Nodes, request: &RequestId) -> Result<PlacementExplanation, CommandError> {
    let survey = nodes.survey().await?;
    let path = format!("/why/{request}");
    let answers = join_all(survey.views.iter().map(|view| nodes.get(view.address, &path))).await;
    let mut faults = Vec::new();
    for (view, answer) in survey.views.iter().zip(answers) {
        match answer {
            Ok(explanation) => return Ok(explanation),
            Err(ClientError::Refused { status: NOT_FOUND, .. }) => {}
            Err(error) => faults.push(format!("{}: {}", view.label(), explain(&error))),
        }
    }
    if faults.is_empty() {
        return Err(CommandError::NotThere(format!("no entry host remembers request {request}")));
    }
    Err(CommandError::NotFoundYet { request: request.clone(), silent: faults.join("; ") })
}
