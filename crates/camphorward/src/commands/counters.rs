//! `camphorward counters`.

use crate::connections::Connections;
use crate::console::Console;
use crate::error::CommandError;
use crate::nodes::{NodeClient, NodeView, describe_error};
use crate::table::Table;
use argh::FromArgs;
use futures_util::future::join_all;
use protocol::ids::HostName;
use protocol::message::operator::Counters;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Shows all counters, summed over the entry hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "counters")]
pub(crate) struct CountersCommand {
    /// only the counters of this entry host
    #[argh(option, arg_name = "HOST")]
    host: Option<HostName>,
    /// include counters that are zero
    #[argh(switch)]
    all: bool,
}

/// The counters of each entry host and their totals.
#[derive(Debug, Serialize)]
struct CountersReport {
    hosts: BTreeMap<String, Counters>,
    total: Counters,
    unreachable: Vec<String>,
    #[serde(skip)]
    includes_zeros: bool,
}

impl CountersReport {
    fn add(&mut self, view: &NodeView, counters: Counters) {
        for (name, value) in &counters.values {
            let total = self.total.values.entry(name.clone()).or_default();
            *total = total.saturating_add(*value);
        }
        self.hosts.insert(view.label(), counters);
    }
}

impl fmt::Display for CountersReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["COUNTER", "VALUE"]);
        let shown =
            self.total.values.iter().filter(|(_, value)| self.includes_zeros || **value > 0);
        shown.for_each(|(name, value)| table.push(vec![name.clone(), value.to_string()]));
        write!(f, "{table}")?;
        let hosts: Vec<&str> = self.hosts.keys().map(String::as_str).collect();
        writeln!(f, "\nsum over {}", hosts.join(", "))?;
        for host in &self.unreachable {
            writeln!(f, "without {host}")?;
        }
        Ok(())
    }
}

impl CountersCommand {
    pub(crate) async fn run(
        self,
        connections: &Connections,
        console: &mut Console<'_>,
    ) -> eyre::Result<()> {
        let nodes = connections.configured_nodes()?;
        let views = select(self.host.as_ref(), nodes.query_cluster().await?.views)?;
        let report = query_all(nodes, &views, self.all).await;
        if report.hosts.is_empty() {
            return Err(CommandError::Nodes(report.unreachable.join("; ")).into());
        }
        console.print(&report)
    }
}

fn select(host: Option<&HostName>, views: Vec<NodeView>) -> Result<Vec<NodeView>, CommandError> {
    let Some(host) = host else {
        return Ok(views);
    };
    let live: Vec<String> = views.iter().map(NodeView::label).collect();
    let selected: Vec<NodeView> =
        views.into_iter().filter(|view| view.host.as_ref() == Some(host)).collect();
    if selected.is_empty() {
        let message =
            format!("there is no live entry host `{host}`; live entry hosts: {}", live.join(", "));
        return Err(CommandError::Usage(message));
    }
    Ok(selected)
}

async fn query_all(nodes: &NodeClient, views: &[NodeView], includes_zeros: bool) -> CountersReport {
    let queries = views.iter().map(|view| nodes.get::<Counters>(view.address, "/counters"));
    let answers = join_all(queries).await;
    let mut report = CountersReport {
        hosts: BTreeMap::new(),
        total: Counters::default(),
        unreachable: Vec::new(),
        includes_zeros,
    };
    for (view, answer) in views.iter().zip(answers) {
        match answer {
            Ok(counters) => report.add(view, counters),
            Err(error) => {
                report.unreachable.push(format!("{}: {}", view.label(), describe_error(&error)))
            }
        }
    }
    report
}
