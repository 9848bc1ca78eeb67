//! The rollout leader's view of servers: their registry entries and their later reports.

use crate::node::{InForce, Node};
use dispatch::registry::{ServerEntry, ServerId};
use dispatch::rollout::ServerState;
use platform::engine::ServerReport;
use protocol::ids::{Incarnation, ModelName};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// How long the weight versions of a report count, in milliseconds, where the registry still lists
/// older ones.
const REPORT_TTL_MS: u64 = 1_500;
/// The delay before a server that did not answer is queried again, in milliseconds.
const UNANSWERED_DELAY_MS: u64 = 600;

#[derive(Clone, Debug, Default)]
struct ReportedState {
    incarnation: Incarnation,
    commands_accepted: Option<u64>,
    is_busy: bool,
    versions: BTreeMap<ModelName, u64>,
    reported_ms: u64,
    commanded_ms: Option<u64>,
    queried_ms: u64,
    is_unresponsive: bool,
}

/// Returns whether a server is of a service of engines. An entry may name any service; one that is in
/// no configuration has no server to load weights.
fn is_engine(in_force: &Option<Arc<InForce>>, entry: &ServerEntry) -> bool {
    let service =
        in_force.as_ref().and_then(|held| held.configuration.services.get(&entry.service));
    service.is_some_and(|service| service.engines().is_some())
}

/// The states of servers for a rollout.
#[derive(Debug, Default)]
pub struct ServerStates {
    newest: BTreeMap<ModelName, u64>,
    reported: HashMap<ServerId, ReportedState>,
}

impl ServerStates {
    /// Reads the target versions; returns whether some server has older weights.
    pub fn refresh(&mut self, node: &Node) -> bool {
        let now_ms = node.now_ms();
        let in_force = node.in_force();
        let state = node.state();
        self.newest = state.target_versions();
        let mut engines = state.registry.all_usable().filter(|entry| is_engine(&in_force, entry));
        let has_work = engines.any(|entry| {
            self.newest.iter().any(|(model, newest)| {
                entry.weight_versions.get(model).is_some_and(|held| {
                    (*held).max(self.reported_version(entry, model, now_ms)) < *newest
                })
            })
        });
        if !has_work {
            self.reported.clear();
        }
        has_work
    }

    /// Returns the models with their newest target versions.
    pub fn models(&self) -> Vec<(ModelName, u64)> {
        self.newest.iter().map(|(model, newest)| (model.clone(), *newest)).collect()
    }

    /// Returns the state of every server of a model.
    pub fn servers(&self, node: &Node, model: &ModelName) -> Vec<ServerState> {
        let now_ms = node.now_ms();
        let in_force = node.in_force();
        let state = node.state();
        let serving = state
            .registry
            .all_usable()
            .filter(|entry| is_engine(&in_force, entry))
            .filter_map(|entry| Some((entry, *entry.weight_versions.get(model)?)));
        serving
            .map(|(entry, version)| {
                let reported = self.reported(entry);
                ServerState {
                    id: entry.id.clone(),
                    domain: entry.domain.clone(),
                    version: version.max(self.reported_version(entry, model, now_ms)),
                    is_busy: reported.is_some_and(|reported| reported.is_busy),
                    commands_accepted: reported
                        .filter(|reported| !reported.is_unresponsive)
                        .and_then(|reported| reported.commands_accepted),
                    commanded_ms: reported.and_then(|reported| reported.commanded_ms),
                    in_flight: state.loads.view(&entry.id, now_ms).in_flight,
                }
            })
            .collect()
    }

    /// Returns the number of commands that a server has accepted; `None` if it is unknown.
    pub fn commands_accepted(&self, entry: &ServerEntry) -> Option<u64> {
        self.reported(entry)?.commands_accepted
    }

    /// Returns whether a server may be queried now.
    pub fn may_query(&self, entry: &ServerEntry, interval_ms: u64, now_ms: u64) -> bool {
        self.reported(entry).is_none_or(|reported| {
            let delay_ms = if reported.is_unresponsive { UNANSWERED_DELAY_MS } else { interval_ms };
            now_ms >= reported.queried_ms + delay_ms
        })
    }

    /// Records a query and its answer; `report` is `None` if the server did not answer.
    pub fn record_report(
        &mut self,
        entry: &ServerEntry,
        report: Option<ServerReport>,
        now_ms: u64,
    ) {
        let reported = self.reported_mut(entry);
        reported.queried_ms = now_ms;
        let Some(report) = report else {
            reported.is_unresponsive = true;
            return;
        };
        reported.is_unresponsive = false;
        reported.reported_ms = now_ms;
        reported.commands_accepted = Some(report.commands_accepted);
        reported.is_busy = report.is_busy;
        reported.versions = report.weight_versions;
    }

    /// Records that a command was sent.
    pub fn record_command(&mut self, entry: &ServerEntry, now_ms: u64) {
        let reported = self.reported_mut(entry);
        reported.commanded_ms = Some(now_ms);
        reported.queried_ms = now_ms;
    }

    /// Records that a server refused a command, so that it is queried before the next one.
    pub fn record_refusal(&mut self, entry: &ServerEntry) {
        let reported = self.reported_mut(entry);
        reported.commanded_ms = None;
        reported.commands_accepted = None;
        reported.queried_ms = 0;
    }

    fn reported(&self, entry: &ServerEntry) -> Option<&ReportedState> {
        self.reported.get(&entry.id).filter(|reported| reported.incarnation == entry.incarnation)
    }

    fn reported_mut(&mut self, entry: &ServerEntry) -> &mut ReportedState {
        let reported = self.reported.entry(entry.id.clone()).or_default();
        if reported.incarnation != entry.incarnation {
            *reported =
                ReportedState { incarnation: entry.incarnation, ..ReportedState::default() };
        }
        reported
    }

    fn reported_version(&self, entry: &ServerEntry, model: &ModelName, now_ms: u64) -> u64 {
        let reported =
            self.reported(entry).filter(|reported| now_ms < reported.reported_ms + REPORT_TTL_MS);
        reported.and_then(|reported| reported.versions.get(model).copied()).unwrap_or(0)
    }
}
