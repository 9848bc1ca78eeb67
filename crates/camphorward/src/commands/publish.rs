//! `camphorward publish`.

mod append;
mod report;
mod rollout;

use super::read_file;
use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::publications::{Extent, Publications};
use append::Accepted;
use argh::FromArgs;
use control::configuration::ConfigRecord;
use protocol::ids::ConfigVersion;
use report::PublishReport;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Publishes a services text and waits until it is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// the services text
    #[argh(positional, arg_name = "FILE")]
    file: String,
    /// version that the text is based on; 0 for the first one
    #[argh(option, arg_name = "N")]
    base: ConfigVersion,
    /// seconds to wait for the log, and again for the entry hosts; 10 if not given
    #[argh(option, arg_name = "S", default = "10")]
    wait_s: u64,
}

impl Publish {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let text = self.read_text()?;
        let wait = Duration::from_secs(self.wait_s);
        let accepted = self.publish(text, connections, Instant::now() + wait).await?;
        let (version, offset) = (accepted.version, accepted.offset);
        console.progress(&format!("accepted as version {version} at offset {offset}"))?;
        let nodes = connections.nodes();
        let rollout = rollout::wait(nodes, version, Instant::now() + wait).await;
        let report = PublishReport::new(accepted, rollout);
        console.print(&report)?;
        Ok(report.check()?)
    }

    fn read_text(&self) -> Result<String, CommandError> {
        let text = read_file(&self.file)?;
        let invalid = |report| CommandError::InvalidText { file: self.file.clone(), report };
        settings::parse_services_text(&text).map_err(invalid)?;
        Ok(text)
    }

    async fn publish(
        &self,
        text: String,
        connections: &Connections,
        deadline: Instant,
    ) -> Result<Accepted, CommandError> {
        let log = connections.log()?;
        let publications = Publications::read(log, Extent::Newest).await?;
        let in_force = publications.in_force();
        if in_force != self.base {
            return Err(publications.conflict(self.base, in_force));
        }
        let publication_id = Uuid::now_v7().to_string();
        let record = ConfigRecord { base: self.base, publication_id, text };
        append::append(log, publications, &record, deadline).await
    }
}
