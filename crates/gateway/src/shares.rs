//! Admission of requests to services that get more than they can serve.

use admission::deadline::Timing;
use admission::gate::{AdmissionRequest, Gate, NotAdmitted};
use admission::peer_sums::{PaceRow, PeerSums, SumTable};
use admission::return_times::ReturnTimes;
use dispatch::backlog::{Backlog, Fullness, MAX_COUNTED_SAMPLES, Pace, counted_ms};
use dispatch::limits::OrganisationTag;
use dispatch::request::RequestSpec;
use protocol::ids::{HostName, ServiceName};
use protocol::tags::ServiceTag;
use std::collections::HashMap;

/// The work of a request without a prompt, in prompt tokens.
const PLAIN_WORK_TOKENS: u64 = 1_000;
/// How long an estimate serves for requests that wait behind others, in milliseconds.
const ESTIMATE_TTL_MS: u64 = 250;

/// The work of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// The prompt tokens to prefill.
    pub prefill_tokens: u64,
    /// The tokens to generate.
    pub answer_tokens: u64,
}

impl Work {
    /// Returns the work of a request of which a server prefills some tokens.
    pub fn new(spec: &RequestSpec, prefill_tokens: u64) -> Self {
        match &spec.prompt {
            Some(prompt) => Self { prefill_tokens, answer_tokens: prompt.output_tokens },
            None => Self { prefill_tokens: PLAIN_WORK_TOKENS, answer_tokens: 0 },
        }
    }

    /// Returns the work in prompt tokens.
    pub const fn tokens(self) -> u64 {
        admission::reserve::work_tokens(self.prefill_tokens, self.answer_tokens)
    }
}

/// The servers of a service as placement sees them for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The load of all healthy servers.
    pub backlog: Backlog,
    /// The fullness of the best server with the request.
    pub fullness: Fullness,
    /// The time that the best server needs to prefill what it has, in milliseconds.
    pub unstarted_ms: f64,
    /// The number of gateways that send requests to the servers.
    pub gateways: f64,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Applicant<'a> {
    /// The request.
    pub spec: &'a RequestSpec,
    /// Its work.
    pub work: Work,
    /// The time to its deadline, in milliseconds.
    pub remaining_ms: f64,
    /// Whether it was admitted before and waits for free capacity.
    pub is_admitted: bool,
}

/// A request that is not admitted, with the inputs that decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Why.
    pub refused: NotAdmitted,
    /// The times that were expected.
    pub timing: Timing,
    /// The load of the servers; `None` if the estimate was made for an earlier request.
    pub backlog: Option<Backlog>,
    /// The number of other gateways whose admitted work counted.
    pub known_peers: u32,
    /// The age of the oldest of these sums when they were added up, in milliseconds.
    pub peers_age_ms: Option<u64>,
    /// The delay after which the caller may come back, in milliseconds.
    pub retry_after_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceShares {
    gate: Gate<OrganisationTag>,
    pace: Pace,
    /// The pace that other gateways observed.
    peer_pace: Pace,
    /// The time that answers take since this gateway is cut off from the others. It does not know the
    /// load of the servers then, so this includes the time for which requests queue there.
    cut_off_pace: Pace,
    returns: ReturnTimes,
    /// The latest estimate of the queueing time, and when it was made.
    queue_ms: Option<(f64, u64)>,
    /// The interval at which the servers take the requests of this gateway, in milliseconds.
    gap_ms: f64,
}

/// The admission of requests by service.
#[derive(Debug)]
pub struct Shares {
    services: HashMap<ServiceName, ServiceShares>,
    /// What other gateways admitted.
    pub peers: PeerSums,
    /// The number of other gateways whose work counted at the last update.
    known_peers: u32,
    /// The age of the oldest sums of peers at that time.
    peers_age_ms: Option<u64>,
    /// Whether this gateway hears from no other one any more.
    is_cut_off: bool,
}

impl Shares {
    /// Creates the state of a gateway that has served no request.
    pub fn new(host: HostName) -> Self {
        let peers = PeerSums::new(host);
        Self {
            services: HashMap::new(),
            peers,
            known_peers: 0,
            peers_age_ms: None,
            is_cut_off: false,
        }
    }

    /// Adds up what other gateways admitted, if that is due; there are `gateways` in all.
    pub fn update_peers(&mut self, gateways: usize, now_ms: u64) {
        if !self.peers.is_update_due(now_ms) {
            return;
        }
        let local = self.local_work(now_ms);
        let mut view = self.peers.view(&local, now_ms);
        let silent_ratio = view.silent_ratio(gateways);
        (self.known_peers, self.peers_age_ms) = (view.hosts, view.age_ms);
        self.is_cut_off = view.is_cut_off;
        for (name, service) in &mut self.services {
            service.gate.shares().set_cut_off(view.is_cut_off);
            if !view.is_cut_off {
                service.cut_off_pace = Pace::new();
            }
            let tag = ServiceTag::new(name);
            let peers = view.sums.pace(tag);
            service.peer_pace = peers.map(to_pace).unwrap_or_default();
            service.gate.set_common_room(peers.map(|peers| {
                let mut all = SumTable::default();
                all.add_pace(peers);
                all.add_pace(service.row(tag));
                all.pace(tag).map_or(0.0, |all| f64::from(all.room_ms))
            }));
            let work = view.take(tag);
            service.gate.shares().set_peers(work, silent_ratio, now_ms);
        }
    }

    /// Returns what this gateway admitted.
    pub fn local_work(&self, now_ms: u64) -> SumTable {
        let mut sums = SumTable::default();
        for (name, service) in &self.services {
            let tag = ServiceTag::new(name);
            if service.pace.samples() > 0 {
                sums.add_pace(service.row(tag));
            }
            let work = service.gate.shares().local_work(now_ms);
            work.iter().for_each(|(organisation, work)| sums.add(tag, *organisation, work));
        }
        sums
    }

    /// Admits or denies a request. Without an estimate, the latest one of the service counts.
    ///
    /// # Errors
    ///
    /// Returns why the request is denied.
    pub fn admit(
        &mut self,
        applicant: &Applicant<'_>,
        estimate: Option<&Estimate>,
        now_ms: u64,
    ) -> Result<(), Denial> {
        let spec = applicant.spec;
        if !self.services.contains_key(&spec.service) {
            self.services.insert(spec.service.clone(), ServiceShares::default());
        }
        let (known_peers, peers_age_ms) = (self.known_peers, self.peers_age_ms);
        let Some(service) = self.services.get_mut(&spec.service) else { return Ok(()) };
        let queue_ms = match estimate {
            Some(estimate) => service.update(estimate, now_ms),
            None => service.recent_queue_ms(now_ms),
        };
        let tokens = applicant.work.tokens() as f64;
        let timing = Timing {
            queue_ms,
            processing_ms: service.known_pace().processing_ms(tokens),
            deadline_ms: applicant.remaining_ms,
        };
        let urgency = spec.urgency().level();
        let organisation = OrganisationTag::new(spec.organisation.as_ref());
        let request = AdmissionRequest {
            organisation: &organisation,
            weight: 1,
            recomputed_tokens: applicant.work.prefill_tokens,
            max_answer_tokens: applicant.work.answer_tokens,
            timing,
        };
        let checked = match applicant.is_admitted {
            true => service.gate.check_again(&request, urgency, now_ms),
            false => service.gate.check(&request, urgency, now_ms).map(drop),
        };
        checked.map_err(|refused| {
            let wait_ms = refused.excess.wait_ms;
            let returns = &mut service.returns;
            let remaining_ms = applicant.remaining_ms;
            let retry_after_ms =
                returns.book(urgency, wait_ms, service.gap_ms, remaining_ms, now_ms);
            let backlog = estimate.map(|estimate| estimate.backlog);
            Denial { refused, timing, backlog, known_peers, peers_age_ms, retry_after_ms }
        })
    }

    /// Returns how long answers of a service take.
    pub fn pace_mut(&mut self, service: &ServiceName) -> Option<&mut Pace> {
        let service = self.services.get_mut(service)?;
        Some(if self.is_cut_off { &mut service.cut_off_pace } else { &mut service.pace })
    }
}

impl ServiceShares {
    /// Records an estimate and returns the queueing time.
    fn update(&mut self, estimate: &Estimate, now_ms: u64) -> f64 {
        let Estimate { backlog, fullness, unstarted_ms, gateways } = estimate;
        let pace = self.known_pace();
        let late_ms = pace.queue_ms_behind(&self.cut_off_pace);
        let queue_ms = if backlog.is_idle() {
            late_ms
        } else {
            let known_ms = pace.queue_ms(*fullness).max(counted_ms(*unstarted_ms));
            known_ms.max(late_ms)
        };
        self.queue_ms = Some((queue_ms, now_ms));
        self.gate.set_waiting(backlog.waiting() * pace.mean_work_tokens());
        self.gap_ms = pace.hold_ms().unwrap_or(0.0) * gateways / backlog.slots().max(1.0);
        queue_ms
    }

    /// Returns what this gateway observed, for others.
    fn row(&self, service: ServiceTag) -> PaceRow {
        let (hold_ms, ms_per_token) = self.pace.means_ms();
        PaceRow {
            service,
            samples: self.pace.samples().min(MAX_COUNTED_SAMPLES),
            hold_us: (1e3 * hold_ms) as u32,
            ns_per_token: (1e6 * ms_per_token) as u32,
            room_ms: self.gate.mean_room_ms().unwrap_or_default() as u32,
        }
    }

    /// Returns the pace that this gateway and others observed.
    fn known_pace(&self) -> Pace {
        self.pace.merged(&self.peer_pace)
    }

    fn recent_queue_ms(&self, now_ms: u64) -> f64 {
        let recent = self.queue_ms.filter(|(_, at_ms)| now_ms <= at_ms + ESTIMATE_TTL_MS);
        recent.map_or(0.0, |(queue_ms, _)| queue_ms)
    }
}

fn to_pace(row: PaceRow) -> Pace {
    let (hold_ms, ms_per_token) = (f64::from(row.hold_us) / 1e3, f64::from(row.ns_per_token) / 1e6);
    Pace::observed(row.samples, hold_ms, ms_per_token)
}
