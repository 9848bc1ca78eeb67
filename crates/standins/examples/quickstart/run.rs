//! Runs all policies side by side, each on a site of its own.

use crate::caller::Caller;
use crate::conversation;
use crate::options::Options;
use crate::orders;
use crate::report::{PolicyReport, Report};
use crate::scenario::{PREAMBLE_TOKENS, Scenario};
use crate::site::PolicySite;
use crate::tally::Tally;
use eyre::{Result, eyre};
use settings::process::PlacementPolicy;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// The policies, in the order of the report.
const POLICIES: [(&str, PlacementPolicy); 4] = [
    ("camphorward", PlacementPolicy::Camphorward),
    ("round_robin", PlacementPolicy::RoundRobin),
    ("least_load", PlacementPolicy::LeastLoad),
    ("prefix_hash", PlacementPolicy::PrefixHash),
];
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Index of the engine that is killed halfway through the run.
const KILLED_ENGINE: usize = 0;
/// Time from the kill of the engine to its restart.
const ENGINE_DOWNTIME: Duration = Duration::from_secs(2);

/// The state that the callers of one site share.
pub struct Context {
    /// The workload.
    pub scenario: Scenario,
    /// The seed of prompts, sizes and gaps.
    pub seed: u64,
    /// The site.
    pub site: PolicySite,
    /// The HTTP client of the callers.
    pub caller: Caller,
    /// The counts of requests and answers.
    pub tally: Tally,
    started: Instant,
    ends_at: Instant,
    started_organisations: Mutex<HashSet<usize>>,
}

impl Context {
    /// Returns whether the run has ended, so that no new request is sent.
    pub fn is_over(&self) -> bool {
        Instant::now() >= self.ends_at
    }

    /// Returns how many tokens a new conversation shares with an earlier one of its organisation.
    pub fn preamble_tokens(&self, organisation: usize) -> u64 {
        let started = self.started_organisations.lock();
        let is_first = started.unwrap_or_else(PoisonError::into_inner).insert(organisation);
        if is_first { 0 } else { PREAMBLE_TOKENS }
    }

    /// Waits for a gap, at most until the run ends.
    pub async fn wait(&self, gap: Duration) {
        sleep_until((Instant::now() + gap).min(self.ends_at)).await;
    }
}

/// Runs the workload.
///
/// # Errors
///
/// Returns an error if a site cannot be started or an engine cannot be restarted.
pub async fn run(options: &Options) -> Result<Report> {
    let scenario = Scenario::new(options.workload);
    println!(
        "{:?}: {} engines, {} entry hosts, {} conversations; starting four sites",
        options.workload,
        scenario.engines_per_domain * scenario.domains.len(),
        scenario.domains.iter().map(|domain| domain.entry_hosts).sum::<usize>(),
        scenario.conversations,
    );
    let mut sites = Vec::new();
    for (_, policy) in POLICIES {
        sites.push(PolicySite::start(&scenario, policy).await?);
    }
    let started = Instant::now();
    let mut contexts = Vec::new();
    for site in sites {
        contexts.push(Arc::new(Context {
            scenario: scenario.clone(),
            seed: options.seed,
            site,
            caller: Caller::new(),
            tally: Tally::new()?,
            started,
            ends_at: started + Duration::from_secs(options.seconds),
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
    callers.spawn(conversation::send_short_prompts(Arc::clone(&context)));
    let ordering = tokio::spawn(orders::send_orders(Arc::clone(&context)));
    let killing = kill_halfway(&context);
    let (killed, orders, _) = tokio::join!(killing, ordering, callers.join_all());
    killed?;
    let orders =
        orders.map_err(|error| eyre!("the caller of the order service failed: {error}"))?;
    context.site.log_counters(name);
    Ok(PolicyReport::new(&context.site, &context.tally, &orders))
}

async fn kill_halfway(context: &Context) -> Result<()> {
    let half = (context.ends_at - context.started) / 2;
    sleep_until(context.started + half).await;
    context.site.kill_engine(KILLED_ENGINE, ENGINE_DOWNTIME).await
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
