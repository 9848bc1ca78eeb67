//! Exchanges the recent work that gateways admitted, by service, organisation and urgency, along the
//! ways of load reports.

use crate::node::Node;
use crate::peers::message::{self, WorkMessage};
use crate::peers::slowdowns::DueMessages;
use crate::routing_state::RoutingState;
use admission::peer_sums::{Covered, REPORT_INTERVAL_MS, SumsReport, Writer};
use dispatch::relays::Role;
use std::net::SocketAddr;

/// The interval between two messages without rows, in milliseconds. They show that this gateway has
/// admitted nothing, and is not silent.
const EMPTY_INTERVAL_MS: u64 = 1_400;

/// Applies a message.
pub(super) fn receive(node: &Node, report: SumsReport) {
    let now_ms = node.now_ms();
    let applied = node.state().shares.as_mut().map(|shares| shares.peers.apply(report, now_ms));
    let kind = match applied {
        Some(true) => "applied",
        Some(false) => "outdated",
        None => "not_used",
    };
    node.metrics.count("admitted_work_reports", kind);
}

/// Decides when messages are due.
#[derive(Debug, Default)]
pub(super) struct WorkPublisher {
    sent_ms: Option<u64>,
    /// Whether the last message had rows.
    had_rows: bool,
}

impl WorkPublisher {
    /// Returns the messages that are due; `role` is that of this gateway in a large installation.
    pub(super) fn due(
        &mut self,
        node: &Node,
        state: &mut RoutingState,
        role: Option<&Role>,
        now_ms: u64,
    ) -> DueMessages {
        let interval_ms = if self.had_rows { REPORT_INTERVAL_MS } else { EMPTY_INTERVAL_MS };
        let is_due = self.sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + interval_ms);
        let Some(shares) = state.shares.as_mut().filter(|_| is_due) else {
            return DueMessages::new();
        };
        self.sent_ms = Some(now_ms);
        let writer = Writer { host: &node.settings.host, incarnation: node.incarnation };
        let domain = &node.settings.failure_domain;
        let local = shares.local_work(now_ms);
        let gateways = &state.gateways;
        let with_readers = match role {
            None => {
                let report = shares.peers.report(&writer, &local, now_ms);
                vec![(report, gateways.work_readers(None))]
            }
            Some(Role::Reporter(relays)) => {
                let report = shares.peers.report(&writer, &local, now_ms);
                let readers = relays.iter().filter_map(|relay| gateways.work_reader(relay));
                vec![(report, readers.collect())]
            }
            Some(Role::Relay) => {
                let covered = Covered::FailureDomain(domain.clone());
                let [about_domain, about_all] =
                    shares.peers.relay_reports(covered, &writer, &local, now_ms);
                let relays = gateways.other_domains(domain).into_iter();
                let relays = relays.filter_map(|other| state.loads.relay_of(other));
                let relays = relays.filter_map(|relay| gateways.work_reader(relay)).collect();
                vec![(about_domain, relays), (about_all, gateways.work_readers(Some(domain)))]
            }
        };
        self.encode(with_readers)
    }

    fn encode(&mut self, reports: Vec<(SumsReport, Vec<SocketAddr>)>) -> DueMessages {
        self.had_rows = reports.iter().any(|(report, _)| !report.rows.is_empty());
        let sent = reports.into_iter().filter(|(_, readers)| !readers.is_empty());
        sent.map(|(report, readers)| (message::encode(&WorkMessage::Sums(report)), readers))
            .collect()
    }
}
