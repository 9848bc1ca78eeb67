//! `camphorward status`.

mod report;

use crate::connections::Connections;
use crate::console::Console;
use argh::FromArgs;
use report::StatusReport;
use std::time::Duration;

/// Shows the state of all entry hosts and of the servers that they list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// repeat until interrupted
    #[argh(switch)]
    watch: bool,
    /// seconds between two rounds of --watch; 2 if not given
    #[argh(option, arg_name = "S", default = "2")]
    interval_s: u64,
    /// rounds after which --watch ends
    #[argh(option, arg_name = "N")]
    rounds: Option<u64>,
}

impl Status {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let nodes = connections.configured_nodes()?;
        let rounds = if self.watch { self.rounds.unwrap_or(u64::MAX) } else { 1 };
        for round in 0..rounds {
            if round > 0 {
                tokio::time::sleep(Duration::from_secs(self.interval_s)).await;
                console.progress("")?;
            }
            match nodes.query_cluster().await {
                Ok(cluster) => console.print(&StatusReport::new(&cluster))?,
                // With `--watch` the command continues, since the entry hosts may recover.
                Err(error) if self.watch => console.progress(&error.to_string())?,
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }
}
