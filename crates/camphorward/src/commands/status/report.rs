//! Output of `camphorward status`.

use crate::nodes::{ClusterStatus, NodeView, describe_error};
use crate::table::Table;
use protocol::ids::{ConfigVersion, HostName};
use protocol::message::operator::{NodeStatus, ServerStatus};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// The state of all entry hosts and servers.
#[derive(Debug, Serialize)]
pub(super) struct StatusReport {
    entry_hosts: Vec<NodeStatus>,
    unreachable: Vec<UnreachableNode>,
    servers: Vec<ServerStatus>,
}

/// An entry host that does not answer.
#[derive(Debug, Serialize)]
struct UnreachableNode {
    host: Option<HostName>,
    operators: SocketAddr,
    reason: String,
}

impl StatusReport {
    /// Creates the report.
    pub(super) fn new(cluster: &ClusterStatus) -> Self {
        let unreachable = cluster.unreachable().map(|(view, error)| UnreachableNode {
            host: view.host.clone(),
            operators: view.address,
            reason: describe_error(error),
        });
        Self {
            entry_hosts: cluster.statuses().cloned().collect(),
            unreachable: unreachable.collect(),
            servers: merge_servers(&cluster.views),
        }
    }

    fn summary(&self) -> String {
        let versions = self.entry_hosts.iter().map(|status| status.config_version);
        let newest = versions.max().unwrap_or_default();
        let up_to_date = self.entry_hosts.iter().filter(|status| status.config_version == newest);
        let (up_to_date, all) = (up_to_date.count(), self.entry_hosts.len());
        if newest == ConfigVersion::default() {
            return format!("no configuration is in force on {all} entry hosts");
        }
        format!("version {newest} is in force on {up_to_date} of {all} reachable entry hosts")
    }

    fn entry_table(&self) -> Table {
        let headers =
            ["ENTRY HOST", "DOMAIN", "REGION", "STATE", "CONFIGURATION", "IN FLIGHT", "OPERATORS"];
        let mut table = Table::new(&headers);
        for status in &self.entry_hosts {
            table.push(vec![
                status.host.to_string(),
                status.failure_domain.to_string(),
                status.region.to_string(),
                describe_state(status),
                status.config_version.to_string(),
                status.requests_in_flight.to_string(),
                operators_address(status),
            ]);
        }
        for node in &self.unreachable {
            let host = node.host.as_ref().map_or("-", HostName::as_str);
            let mut cells = vec![host.to_owned(), "-".to_owned(), "-".to_owned()];
            cells.push("unreachable".to_owned());
            cells.extend(["-".to_owned(), "-".to_owned(), node.operators.to_string()]);
            table.push(cells);
        }
        table
    }

    fn server_table(&self) -> Table {
        let headers = ["SERVER", "SERVICE", "DOMAIN", "STATE", "WEIGHTS", "RUNNING", "QUEUED"];
        let mut table = Table::new(&headers);
        for server in &self.servers {
            let weights = server.weight_version.as_ref().map_or("-", |version| version.as_str());
            table.push(vec![
                server.host.to_string(),
                server.service.to_string(),
                server.failure_domain.to_string(),
                server.state.as_str().to_owned(),
                weights.to_owned(),
                server.running.to_string(),
                server.queued.to_string(),
            ]);
        }
        table
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.summary())?;
        write!(f, "\n{}", self.entry_table())?;
        if !self.servers.is_empty() {
            write!(f, "\n{}", self.server_table())?;
        }
        for node in &self.unreachable {
            writeln!(f, "\n{} does not answer: {}", node.operators, node.reason)?;
        }
        Ok(())
    }
}

fn describe_state(status: &NodeStatus) -> String {
    match (status.draining, status.ready, &status.not_ready_reason) {
        (true, _, _) => "draining".to_owned(),
        (false, true, _) => "ready".to_owned(),
        (false, false, Some(reason)) => format!("not ready: {reason}"),
        (false, false, None) => "not ready".to_owned(),
    }
}

fn operators_address(status: &NodeStatus) -> String {
    let listed = status.live_entry_hosts.iter().find(|entry| entry.host == status.host);
    listed.map_or_else(|| "-".to_owned(), |entry| entry.operators.to_string())
}

/// Merges the servers of all views; if several views list a server, the first one is used.
fn merge_servers(views: &[NodeView]) -> Vec<ServerStatus> {
    let mut servers: BTreeMap<(String, HostName), ServerStatus> = BTreeMap::new();
    let answers = views.iter().filter_map(|view| view.answer.as_ref().ok());
    for server in answers.flat_map(|status| &status.servers) {
        let key = (server.service.to_string(), server.host.clone());
        servers.entry(key).or_insert_with(|| server.clone());
    }
    servers.into_values().collect()
}
