//! One incarnation of an engine, from its start to its crash.

use super::Core;
use super::attempts::Attempts;
use super::cache::{EventPolicy, PrefixCache};
use super::config::EngineConfig;
use super::prefill::{self, PrefillQueue};
use super::weights::Weights;
use crate::switch::lock;
use clients::wire::engine::LoadReport;
use protocol::ids::{Incarnation, WeightVersion};
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// The state of an engine that a crash discards.
pub(super) struct Instance {
    pub(super) cache: Mutex<PrefixCache>,
    pub(super) queue: Mutex<PrefillQueue>,
    pub(super) queue_changed: Notify,
    pub(super) attempts: Attempts,
    pub(super) slots: Arc<Semaphore>,
    pub(super) weights: Mutex<Weights>,
    incarnation: Incarnation,
    report: Mutex<Option<(Instant, LoadReport)>>,
    tasks: Mutex<Option<JoinSet<()>>>,
}

impl Instance {
    /// Creates an instance that has not started.
    pub(super) fn new(
        config: &EngineConfig,
        incarnation: Incarnation,
        version: WeightVersion,
    ) -> Self {
        let policy = EventPolicy {
            lag: Duration::from_millis(config.event_lag_ms),
            lost_every: config.event_lost_every,
        };
        Self {
            cache: Mutex::new(PrefixCache::new(config.cache_size.value(), policy)),
            queue: Mutex::default(),
            queue_changed: Notify::new(),
            attempts: Attempts::default(),
            slots: Arc::new(Semaphore::new(config.max_running)),
            weights: Mutex::new(Weights::new(version)),
            incarnation,
            report: Mutex::default(),
            tasks: Mutex::new(Some(JoinSet::new())),
        }
    }

    /// Starts the background tasks, which end with the instance.
    pub(super) fn start(self: &Arc<Self>, core: &Arc<Core>) {
        self.spawn(prefill::run(Arc::downgrade(core), Arc::clone(self)));
        self.spawn(sample_load(Arc::downgrade(core), Arc::clone(self)));
    }

    /// Spawns a task that ends with the instance; returns `None` if the instance has ended.
    pub(super) fn spawn(
        &self,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> Option<AbortHandle> {
        let mut tasks = lock(&self.tasks);
        let tasks = tasks.as_mut()?;
        while tasks.try_join_next().is_some() {}
        Some(tasks.spawn(task))
    }

    /// Aborts all tasks.
    pub(super) fn stop(&self) {
        drop(lock(&self.tasks).take());
    }

    /// Returns the incarnation.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the weight version in use.
    pub(super) fn weight_version(&self) -> WeightVersion {
        lock(&self.weights).version().clone()
    }

    /// Returns how many attempts are queued or generating.
    pub(super) fn active_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the latest load report.
    pub(super) fn load_report(&self, core: &Core) -> LoadReport {
        let latest = lock(&self.report).clone();
        let Some((taken_at, mut report)) = latest else {
            return self.measure_load(core);
        };
        report.age_ms = u64::try_from(taken_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        report
    }

    fn measure_load(&self, core: &Core) -> LoadReport {
        let running = core.config.max_running - self.slots.available_permits();
        let queued = self.attempts.len().saturating_sub(running);
        LoadReport {
            incarnation: self.incarnation,
            weight_version: self.weight_version(),
            leaving: core.faults.get().leaving,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            queued_prompt_tokens: lock(&self.queue).remaining_tokens(&lock(&self.cache)),
            prefill_tokens_per_s: core.config.prefill_rate.value(),
            age_ms: 0,
        }
    }
}

async fn sample_load(core: std::sync::Weak<Core>, instance: Arc<Instance>) {
    loop {
        let lag_ms = {
            let Some(core) = core.upgrade() else {
                return;
            };
            if core.config.load_lag_ms == 0 {
                return;
            }
            let report = instance.measure_load(&core);
            *lock(&instance.report) = Some((Instant::now(), report));
            core.config.load_lag_ms
        };
        tokio::time::sleep(Duration::from_millis(lag_ms)).await;
    }
}
