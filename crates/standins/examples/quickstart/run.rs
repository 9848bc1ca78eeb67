//! Runs all policies side by side, each before its own site.

use crate::caller::Caller;
use crate::conversation;
use crate::options::Options;
use crate::orders;
use crate::place::Place;
use crate::report::{PolicyReport, Report};
use crate::scenario::{PREAMBLE_TOKENS, Scenario};
use crate::tally::Tally;
use eyre::{Result, eyre};
use settings::process::PlacementPolicy;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// The policies in the order of the report.
const POLICIES: [(&str, PlacementPolicy); 4] = [
    ("camphorward", PlacementPolicy::Camphorward),
    ("round_robin", PlacementPolicy::RoundRobin),
    ("least_load", PlacementPolicy::LeastLoad),
    ("prefix_hash", PlacementPolicy::PrefixHash),
];
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// The engine that dies halfway.
const KILLED_ENGINE: usize = 0;
/// How long the engine stays dead.
const ENGINE_DOWN: Duration = Duration::from_secs(2);

/// Holds what the callers of one site share.
pub struct Context {
    /// The workload.
    pub scenario: Scenario,
    /// The seed of prompts, sizes and gaps.
    pub seed: u64,
    /// The site.
    pub place: Place,
    /// The callers' connections.
    pub caller: Caller,
    /// What the callers saw.
    pub tally: Tally,
    started: Instant,
    ends: Instant,
    started_organisations: Mutex<HashSet<usize>>,
}

impl Context {
    /// Returns whether no new request is to be sent.
    pub fn is_over(&self) -> bool {
        Instant::now() >= self.ends
    }

    /// Returns how many tokens of a new conversation an earlier one of the organisation held.
    pub fn preamble_tokens(&self, organisation: usize) -> u64 {
        let started = self.started_organisations.lock();
        let is_first = started.unwrap_or_else(PoisonError::into_inner).insert(organisation);
        if is_first { 0 } else { PREAMBLE_TOKENS }
    }

    /// Waits, at most until the run ends.
    pub async fn pause(&self, gap: Duration) {
        sleep_until((Instant::now() + gap).min(self.ends)).await;
    }
}

/// Runs the workload.
///
/// # Errors
///
/// Returns what could not be started.
pub async fn run(options: &Options) -> Result<Report> {
    let scenario = Scenario::new(options.workload);
    println!(
        "{:?}: {} engines, {} entry hosts, {} conversations; starting four sites",
        options.workload,
        scenario.engines_per_domain * scenario.domains.len(),
        scenario.domains.iter().map(|domain| domain.entry_hosts).sum::<usize>(),
        scenario.conversations,
    );
    let mut places = Vec::new();
    for (_, policy) in POLICIES {
        places.push(Place::start(&scenario, policy).await?);
    }
    let started = Instant::now();
    let mut contexts = Vec::new();
    for place in places {
        contexts.push(Arc::new(Context {
            scenario: scenario.clone(),
            seed: options.seed,
            place,
            caller: Caller::new(),
            tally: Tally::new()?,
            started,
            ends: started + Duration::from_secs(options.seconds),
            started_organisations: Mutex::default(),
        }));
    }
    let progress = tokio::spawn(show_progress(contexts.clone()));
    let mut runs = JoinSet::new();
    for (index, context) in contexts.into_iter().enumerate() {
        runs.spawn(async move { (index, run_policy(context, POLICIES[index].0).await) });
    }
    let mut reports = runs.join_all().await;
    progress.abort();
    reports.sort_by_key(|(index, _)| *index);
    let mut report = Report::default();
    for ((name, _), (_, result)) in POLICIES.into_iter().zip(reports) {
        report.add(name, result?);
    }
    Ok(report)
}

async fn run_policy(context: Arc<Context>, name: &str) -> Result<PolicyReport> {
    let mut callers = JoinSet::new();
    for number in 0..context.scenario.conversations {
        callers.spawn(conversation::converse(Arc::clone(&context), number));
    }
    callers.spawn(conversation::ask_quickly(Arc::clone(&context)));
    let ordering = tokio::spawn(orders::order(Arc::clone(&context)));
    let killing = kill_halfway(&context);
    let (killed, orders, _) = tokio::join!(killing, ordering, callers.join_all());
    killed?;
    let orders = orders.map_err(|error| eyre!("the callers with orders failed: {error}"))?;
    context.place.log_counters(name);
    Ok(PolicyReport::new(&context.place, &context.tally, &orders))
}

async fn kill_halfway(context: &Context) -> Result<()> {
    let half = (context.ends - context.started) / 2;
    sleep_until(context.started + half).await;
    context.place.kill_engine(KILLED_ENGINE, ENGINE_DOWN).await
}

async fn show_progress(contexts: Vec<Arc<Context>>) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let mut line = String::new();
        for (context, (name, _)) in contexts.iter().zip(POLICIES) {
            let tally = &context.tally;
            line += &format!("  {name} {}/{}", tally.answered(), tally.requests());
        }
        let elapsed_s = contexts.first().map_or(0, |context| context.started.elapsed().as_secs());
        println!("{elapsed_s:>3} s answered{line}");
    }
}
