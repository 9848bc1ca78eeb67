//! Admission of a request before it is sent to a server for the first time.

use crate::answer::Refusal;
use crate::event;
use crate::forward::job::Job;
use crate::routing_state::RoutingState;
use crate::shares::{Applicant, Denial, Estimate, Work};
use dispatch::backlog::{Backlog, Fullness};
use dispatch::choice::{Candidate, Chosen, NoServer};
use dispatch::configuration::EngineTraits;
use dispatch::load::Health;
use protocol::error::ErrorKind;

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unplaced {
    /// No server can run it.
    NoServer(NoServer),
    /// It is not admitted.
    Denied(Denial),
}

impl From<NoServer> for Unplaced {
    fn from(reason: NoServer) -> Self {
        Self::NoServer(reason)
    }
}

/// The servers among which placement chooses.
#[derive(Clone, Copy, Debug)]
pub struct Servers<'a> {
    /// The engines' traits; `None` for other services.
    pub engines: Option<&'a EngineTraits>,
    /// The load of all candidates, before some of them were sampled; `None` where servers are not
    /// shared fairly.
    pub backlog: Option<Backlog>,
    /// The candidates that were compared.
    pub candidates: &'a [Candidate<'a>],
}

/// Estimates what a request would meet on the chosen server, or on the best one if none was chosen,
/// and the work it would be there. `None` if no server is healthy, or where
/// servers are not shared fairly.
pub fn estimate(
    job: &Job,
    state: &RoutingState,
    servers: &Servers<'_>,
    chosen: Option<&Chosen>,
) -> Option<(Estimate, Work)> {
    let backlog = servers.backlog?;
    let ratio = state.gateway_ratio();
    let spec = &job.request.spec;
    let fullness =
        |candidate: &Candidate<'_>| Fullness::with(candidate, servers.engines, spec, ratio);
    let is_wanted = |candidate: &&Candidate<'_>| match chosen {
        Some(chosen) => candidate.entry.id == chosen.server,
        None => candidate.load.health == Health::Good,
    };
    let wanted = servers.candidates.iter().filter(is_wanted);
    let best =
        wanted.min_by(|left, right| fullness(left).value().total_cmp(&fullness(right).value()))?;
    // Plain servers run their requests side by side, so that no request waits for their sum.
    let unstarted_ms = servers.engines.map_or(0.0, |_| ratio * best.load.unstarted_ms);
    let gateways = state.gateways.count() as f64;
    let estimate = Estimate { backlog, fullness: fullness(best), unstarted_ms, gateways };
    Some((estimate, Work::new(spec, best.blocks.prefill_tokens)))
}

/// Admits or denies a request that was not sent yet. Nothing is denied where the installation does
/// not share servers fairly.
///
/// # Errors
///
/// Returns why the request is denied.
pub fn admit(
    job: &Job,
    state: &mut RoutingState,
    estimate: Option<(Estimate, Work)>,
    now_ms: u64,
) -> Result<(), Unplaced> {
    let gateways = state.gateways.count();
    let Some(shares) = state.shares.as_mut() else { return Ok(()) };
    shares.update_peers(gateways, now_ms);
    if job.attempts() > 0 || job.has_begun || job.continues_stream() {
        return Ok(());
    }
    let spec = &job.request.spec;
    let (estimate, work) = match estimate {
        Some((estimate, work)) => (Some(estimate), work),
        None => {
            let tokens = spec.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens);
            (None, Work::new(spec, tokens))
        }
    };
    let remaining_ms = spec.deadline_at_ms.saturating_sub(now_ms) as f64;
    let applicant = Applicant { spec, work, remaining_ms, is_admitted: job.is_admitted() };
    shares.admit(&applicant, estimate.as_ref(), now_ms).map_err(Unplaced::Denied)?;
    job.record_admitted();
    Ok(())
}

impl Denial {
    /// Returns the refusal that the caller gets.
    pub const fn refusal(&self) -> Refusal {
        match self.refused.excess.kind {
            ErrorKind::OverFairShare => Refusal::OverFairShare,
            ErrorKind::ReservedForQuick => Refusal::ReservedForQuick,
            _ => Refusal::Overloaded,
        }
    }

    /// Counts and logs the denial with its inputs.
    pub fn log(&self, job: &Job) {
        let node = &job.node;
        let refusal = self.refusal();
        node.metrics.count("denials", refusal.as_str());
        if job.is_admitted() {
            node.metrics.count("denials", "after_wait");
        }
        event!(warn, node.now_ms(), "request_denied", {
            "request": job.request.id_text(),
            "route": job.request.route.name,
            "service": job.request.spec.service.as_str(),
            "organisation": job.request.spec.organisation.as_ref().map(|id| id.as_str()),
            "reason": refusal.as_str(),
            "rank": job.request.spec.priority,
            "share_used": self.refused.usage.value(),
            "queue_ms": self.timing.queue_ms,
            "processing_ms": self.timing.processing_ms,
            "remaining_ms": self.timing.deadline_ms,
            "excess_ms": self.refused.excess.wait_ms,
            "slots": self.backlog.map(|backlog| backlog.slots()),
            "slots_taken": self.backlog.map(|backlog| backlog.taken()),
            "waiting": self.backlog.map(|backlog| backlog.waiting()),
            "known_peers": self.known_peers,
            "peers_age_ms": self.peers_age_ms,
            "waited_at_gateway": job.is_admitted(),
            "retry_after_ms": self.retry_after_ms,
        });
    }
}
