//! What the steward knows of servers: their entries, and what they reported to it since.

use crate::node::Node;
use dispatch::registry::{ServerEntry, ServerId};
use dispatch::rollout::ServerState;
use platform::engine::ServerReport;
use protocol::ids::{Incarnation, ModelName};
use std::collections::{BTreeMap, HashMap};

/// For how long a report is believed where the registry says otherwise, in milliseconds.
const REPORT_MEMORY_MS: u64 = 1_500;
/// How long a server that does not answer is left alone, in milliseconds.
const UNANSWERED_PAUSE_MS: u64 = 600;

#[derive(Clone, Debug, Default)]
struct Told {
    incarnation: Incarnation,
    orders_accepted: Option<u64>,
    is_busy: bool,
    versions: BTreeMap<ModelName, u64>,
    reported_ms: u64,
    ordered_ms: Option<u64>,
    asked_ms: u64,
    is_silent: bool,
}

/// Knowledge of servers for a rollout.
#[derive(Debug, Default)]
pub struct States {
    newest: BTreeMap<ModelName, u64>,
    told: HashMap<ServerId, Told>,
}

impl States {
    /// Reads what is named; says whether some server has older weights.
    pub fn refresh(&mut self, node: &Node) -> bool {
        let now_ms = node.now_ms();
        let state = node.state();
        self.newest = state.named_versions();
        let has_work = state.registry.all_usable().any(|entry| {
            self.newest.iter().any(|(model, newest)| {
                entry.weight_versions.get(model).is_some_and(|held| {
                    (*held).max(self.told_version(entry, model, now_ms)) < *newest
                })
            })
        });
        if !has_work {
            self.told.clear();
        }
        has_work
    }

    /// Returns the models with their newest versions.
    pub fn models(&self) -> Vec<(ModelName, u64)> {
        self.newest.iter().map(|(model, newest)| (model.clone(), *newest)).collect()
    }

    /// Returns the state of every server of a model.
    pub fn servers(&self, node: &Node, model: &ModelName) -> Vec<ServerState> {
        let now_ms = node.now_ms();
        let state = node.state();
        let serving = state
            .registry
            .all_usable()
            .filter_map(|entry| Some((entry, *entry.weight_versions.get(model)?)));
        serving
            .map(|(entry, version)| {
                let told = self.told(entry);
                ServerState {
                    id: entry.id.clone(),
                    domain: entry.domain.clone(),
                    version: version.max(self.told_version(entry, model, now_ms)),
                    is_busy: told.is_some_and(|told| told.is_busy),
                    commands_accepted: told
                        .filter(|told| !told.is_silent)
                        .and_then(|told| told.orders_accepted),
                    commanded_ms: told.and_then(|told| told.ordered_ms),
                    in_flight: state.loads.view(&entry.id, now_ms).in_flight,
                }
            })
            .collect()
    }

    /// Returns the number of orders that a server has accepted.
    pub fn orders_accepted(&self, entry: &ServerEntry) -> Option<u64> {
        self.told(entry)?.orders_accepted
    }

    /// Says whether a server may be asked now.
    pub fn may_ask(&self, entry: &ServerEntry, every_ms: u64, now_ms: u64) -> bool {
        self.told(entry).is_none_or(|told| {
            let pause_ms = if told.is_silent { UNANSWERED_PAUSE_MS } else { every_ms };
            now_ms >= told.asked_ms + pause_ms
        })
    }

    /// Notes a question and its answer; returns whether the server has just left its order.
    pub fn note_report(&mut self, entry: &ServerEntry, report: Option<ServerReport>, now_ms: u64) {
        let told = self.told_mut(entry);
        told.asked_ms = now_ms;
        let Some(report) = report else {
            told.is_silent = true;
            return;
        };
        told.is_silent = false;
        told.reported_ms = now_ms;
        told.orders_accepted = Some(report.commands_accepted);
        told.is_busy = report.is_busy;
        told.versions = report.weight_versions;
    }

    /// Notes that an order was sent.
    pub fn note_ordered(&mut self, entry: &ServerEntry, now_ms: u64) {
        let told = self.told_mut(entry);
        told.ordered_ms = Some(now_ms);
        told.asked_ms = now_ms;
    }

    /// Notes that a server did not take an order, so that it is asked again first.
    pub fn note_refused(&mut self, entry: &ServerEntry) {
        let told = self.told_mut(entry);
        told.ordered_ms = None;
        told.orders_accepted = None;
        told.asked_ms = 0;
    }

    fn told(&self, entry: &ServerEntry) -> Option<&Told> {
        self.told.get(&entry.id).filter(|told| told.incarnation == entry.incarnation)
    }

    fn told_mut(&mut self, entry: &ServerEntry) -> &mut Told {
        let told = self.told.entry(entry.id.clone()).or_default();
        if told.incarnation != entry.incarnation {
            *told = Told { incarnation: entry.incarnation, ..Told::default() };
        }
        told
    }

    fn told_version(&self, entry: &ServerEntry, model: &ModelName, now_ms: u64) -> u64 {
        let told = self.told(entry).filter(|told| now_ms < told.reported_ms + REPORT_MEMORY_MS);
        told.and_then(|told| told.versions.get(model).copied()).unwrap_or(0)
    }
}
