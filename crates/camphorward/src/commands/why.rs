//! `camphorward why`.

mod report;

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::nodes::{NodeClient, describe_error};
use argh::FromArgs;
use clients::error::ClientError;
use futures_util::future::join_all;
use protocol::ids::RequestId;
use protocol::message::operator::PlacementExplanation;
use report::WhyReport;

/// The status code of an entry host that has no record of a request.
const NOT_FOUND: u16 = 404;

/// Explains how a request was placed, from an entry host that has a record of it.
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
        let explanation = query_all(connections.configured_nodes()?, &self.request).await?;
        console.print(&WhyReport { explanation })
    }
}

async fn query_all(
    nodes: &NodeClient,
    request: &RequestId,
) -> Result<PlacementExplanation, CommandError> {
    let cluster = nodes.query_cluster().await?;
    let path = format!("/why/{request}");
    let answers = join_all(cluster.views.iter().map(|view| nodes.get(view.address, &path))).await;
    let mut unreachable = Vec::new();
    for (view, answer) in cluster.views.iter().zip(answers) {
        match answer {
            Ok(explanation) => return Ok(explanation),
            Err(ClientError::Refused { status: NOT_FOUND, .. }) => {}
            Err(error) => unreachable.push(format!("{}: {}", view.label(), describe_error(&error))),
        }
    }
    if unreachable.is_empty() {
        return Err(CommandError::NotFound(format!(
            "no entry host has a record of request {request}"
        )));
    }
    Err(CommandError::NotFoundOnReachable {
        request: request.clone(),
        unreachable: unreachable.join("; "),
    })
}
