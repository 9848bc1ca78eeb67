//! Hedges of late requests: another server is tried beside a first attempt that takes much longer
//! than requests of its kind usually do. [`dispatch::hedging`] decides when.

use crate::event;
use crate::forward::hedge::{Obstacle, RunningAttempt};
use crate::forward::job::Job;
use crate::forward::place::{self, Purpose};
use crate::node::Node;
use dispatch::configuration::RouteKind;
use dispatch::hedging::{Kind, Late, ServiceLoad, Withheld};
use dispatch::registry::ServerId;
use std::time::Duration;

/// How much later than it was due a check may run, in milliseconds. Beyond that the gateway itself
/// was suspended or short of processor time, and the answer may have arrived.
const MAX_CHECK_DELAY_MS: u64 = 50;

/// How a hedge of a late request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeEnd {
    /// The other server delivered first.
    Won,
    /// The first server delivered first.
    Lost,
    /// The first attempt failed, and the other one goes on alone.
    TookOver,
    /// The other attempt failed, and the first one goes on alone.
    Failed,
}

impl HedgeEnd {
    /// Returns the name in logs and counters.
    const fn as_str(self) -> &'static str {
        match self {
            HedgeEnd::Won => "won",
            HedgeEnd::Lost => "lost",
            HedgeEnd::TookOver => "took_over",
            HedgeEnd::Failed => "failed",
        }
    }
}

/// Watches a first attempt that may be hedged when it is late.
#[derive(Debug)]
pub struct LateWatch {
    kind: Kind,
    started_ms: u64,
    /// When the attempt is considered next; `None` while its kind is unknown, and once it was
    /// hedged.
    check_at_ms: Option<u64>,
    has_hedge: bool,
}

impl LateWatch {
    /// Watches an attempt that has just been started; returns `None` if it may not be hedged.
    pub fn start(job: &Job, first: &RunningAttempt) -> Option<Self> {
        // Placements that sent nothing are no first attempts either: each would earn extra ones.
        let is_first = job.excluded.is_empty() && !job.has_begun;
        let route = &job.request.route;
        if !job.node.hedges_late() || !is_first || job.is_trial || !route.kind.is_retryable() {
            return None;
        }
        let kind = Kind::new(&route.name, first.prefill_tokens);
        let started_ms = job.node.now_ms();
        let late_ms = job.node.state().hedging.start(&job.request.spec.service, &kind);
        let check_at_ms = late_ms.map(|late_ms| started_ms + late_ms);
        Some(Self { kind, started_ms, check_at_ms, has_hedge: false })
    }

    /// Waits until the attempt is to be considered; forever if it is not.
    pub async fn due(watch: Option<&Self>, node: &Node) {
        let Some(check_at_ms) = watch.and_then(|watch| watch.check_at_ms) else {
            return std::future::pending().await;
        };
        let wait_ms = check_at_ms.saturating_sub(node.now_ms());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Records that the first attempt delivered.
    pub fn record_delivered(&self, node: &Node) {
        let now_ms = node.now_ms();
        let took_ms = now_ms.saturating_sub(self.started_ms);
        node.state().hedging.record(&self.kind, took_ms, now_ms);
    }

    /// Records that a hedge ended; returns whether it was one because of lateness.
    pub fn end_hedge(&mut self, job: &Job, other: &ServerId, end: HedgeEnd) -> bool {
        if !std::mem::take(&mut self.has_hedge) {
            return false;
        }
        let node = &job.node;
        let now_ms = node.now_ms();
        let waited_ms = now_ms.saturating_sub(self.started_ms);
        if end == HedgeEnd::Won {
            node.state().hedging.record_cancelled(&self.kind, waited_ms, now_ms);
        }
        node.metrics.count("late_hedges", end.as_str());
        event!(info, now_ms, "late_hedge_ended", {
            "request": job.request.id_text(),
            "route": job.request.route.name,
            "other_server": other.as_str(),
            "result": end.as_str(),
            "waited_ms": waited_ms,
        });
        true
    }
}

/// What was known when a late request was considered.
#[derive(Debug)]
struct Considered {
    waited_ms: u64,
    load: ServiceLoad,
    late: Option<Late>,
}

impl Job {
    /// Starts an attempt on another server beside a late one, if that is expected to help.
    pub fn start_late_hedge(
        &mut self,
        first: &ServerId,
        watch: &mut LateWatch,
    ) -> Option<RunningAttempt> {
        let now_ms = self.node.now_ms();
        let due_ms = watch.check_at_ms.take()?;
        let waited_ms = now_ms.saturating_sub(watch.started_ms);
        let load = self.service_load(now_ms);
        let mut considered = Considered { waited_ms, load, late: None };
        let started = if now_ms > due_ms + MAX_CHECK_DELAY_MS {
            Err(Obstacle::GatewayDelayed)
        } else {
            self.exclude(first);
            self.start_spare(&watch.kind, &mut considered)
        };
        match &started {
            Ok(_) => watch.has_hedge = true,
            Err(Obstacle::NoAttemptLeft | Obstacle::CrashesServers) => {}
            // It may become later than any other, or a server may become free.
            Err(_) => watch.check_at_ms = Some(now_ms + waited_ms.max(1)),
        }
        self.report_late(first, &considered, started.as_ref());
        started.ok()
    }

    fn start_spare(
        &self,
        kind: &Kind,
        considered: &mut Considered,
    ) -> Result<RunningAttempt, Obstacle> {
        // A stream whose server breaks later needs an attempt to go on.
        let is_stream = self.request.route.kind == RouteKind::ResumableStream;
        self.check_retry(if is_stream { 2 } else { 1 })?;
        if self.is_suspect() {
            return Err(Obstacle::CrashesServers);
        }
        let service = &self.request.spec.service;
        let Considered { waited_ms, load, .. } = *considered;
        let late = {
            let state = self.node.state();
            state.hedging.check(service, kind, load, waited_ms, self.remaining_ms())
        };
        let late = late.map_err(Obstacle::Withheld)?;
        considered.late = Some(late);
        let purpose = Purpose::Hedge { max_first_byte_ms: late.max_first_byte_ms };
        let no_better = |_| Obstacle::Withheld(Withheld::NoBetterServer);
        let placed = place::place_for(self, purpose).map_err(no_better)?;
        self.take_spare()?;
        Ok(RunningAttempt::start(self, placed))
    }

    /// Takes an extra attempt from the share of extra attempts and from the retry budget.
    fn take_spare(&self) -> Result<(), Obstacle> {
        let service = &self.request.spec.service;
        let now_ms = self.node.now_ms();
        let mut state = self.node.state();
        let gateways = state.gateways.count();
        if !state.hedging.has_saved(service) {
            return Err(Obstacle::Withheld(Withheld::OverShare));
        }
        if !state.retry_share.try_hedge(service, gateways, now_ms) {
            return Err(Obstacle::RetryBudget);
        }
        state.hedging.take(service);
        Ok(())
    }

    /// Returns how many servers of the service are busy.
    fn service_load(&self, now_ms: u64) -> ServiceLoad {
        let state = self.node.state();
        let gateway_ratio = state.gateway_ratio();
        let mut load = ServiceLoad::default();
        for entry in state.registry.usable(&self.request.spec.service) {
            load.add(&state.loads.view(&entry.id, now_ms), entry.slots, gateway_ratio);
        }
        load
    }

    /// Returns whether servers have crashed under requests with a part of this one.
    fn is_suspect(&self) -> bool {
        let state = self.node.state();
        let features = self.request.features();
        features.iter().any(|feature| state.crashes.crashes_under(feature) > 0)
    }

    fn report_late(
        &self,
        first: &ServerId,
        considered: &Considered,
        started: Result<&RunningAttempt, &Obstacle>,
    ) {
        let result = started.map_or_else(|obstacle| obstacle.as_str(), |_| "started");
        let node = &self.node;
        node.metrics.count("late_hedges", result);
        if started.is_err() && !self.is_logged {
            return;
        }
        event!(info, node.now_ms(), "late_request", {
            "request": self.request.id_text(),
            "route": self.request.route.name,
            "server": first.as_str(),
            "other_server": started.ok().map(|other| other.server.as_str()),
            "result": result,
            "waited_ms": considered.waited_ms,
            "usual_ms": considered.late.map(|late| late.usual_ms),
            "expected_remaining_ms": considered.late.map(|late| late.remaining_ms),
            "max_first_byte_ms": considered.late.map(|late| late.max_first_byte_ms),
            "expected_first_byte_ms": started.ok().map(|other| other.expected_first_byte_ms),
            "servers": considered.load.servers,
            "busy": considered.load.busy,
            "remaining_ms": self.remaining_ms(),
        });
    }
}
