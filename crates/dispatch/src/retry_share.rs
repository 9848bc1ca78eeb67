//! One gateway's share of the retry budget that is common to all gateways.
//!
//! Load pattern: a service sheds requests or fails under load, and every gateway retries at once,
//! which doubles the load that caused the failures.

use protocol::ids::ServiceName;
use std::collections::{HashMap, VecDeque};

/// Limits the retries to a service over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// The retries allowed for each first attempt.
    pub ratio: f64,
    /// The additional retries allowed, over all gateways.
    pub slack: f64,
    /// The length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// The share of the budget that is spent. The rest is a margin for clock differences, retries in
/// flight and gateways that are not listed yet.
const USED_SHARE: f64 = 0.8;
/// The part of that share which attempts beside late ones may use. The rest is left for retries.
const SPARE_PART: f64 = 0.5;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

/// Counts first attempts and retries by service, and decides whether the budget allows another
/// retry.
#[derive(Debug)]
pub struct RetryShare {
    bounds: BudgetBounds,
    windows: HashMap<ServiceName, Window>,
}

impl RetryShare {
    /// Creates an unused share.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self { bounds, windows: HashMap::new() }
    }

    /// Records a caller's request to a service.
    pub fn count_request(&mut self, service: &ServiceName, now_ms: u64) {
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now_ms);
        expire(&mut window.requests, self.bounds.window_ms, now_ms);
    }

    /// Takes one retry from the share and returns whether the budget allows it. `gateways` is the
    /// number of gateways that share the budget.
    pub fn try_retry(&mut self, service: &ServiceName, gateways: usize, now_ms: u64) -> bool {
        self.try_part(1.0, service, gateways, now_ms)
    }

    /// Takes one attempt beside a late one from the share, unless retries and such attempts have used
    /// half of it; returns whether it may be made.
    pub fn try_hedge(&mut self, service: &ServiceName, gateways: usize, now_ms: u64) -> bool {
        self.try_part(SPARE_PART, service, gateways, now_ms)
    }

    fn try_part(&mut self, part: f64, service: &ServiceName, gateways: usize, now_ms: u64) -> bool {
        let bounds = self.bounds;
        let window = self.windows.entry(service.clone()).or_default();
        expire(&mut window.requests, bounds.window_ms, now_ms);
        expire(&mut window.retries, bounds.window_ms, now_ms);
        let local_slack = bounds.slack / gateways.max(1) as f64;
        let allowed = USED_SHARE * (bounds.ratio * window.requests.len() as f64 + local_slack);
        if window.retries.len() as f64 + 1.0 > part * allowed {
            return false;
        }
        window.retries.push_back(now_ms);
        true
    }
}

fn expire(times: &mut VecDeque<u64>, window_ms: u64, now_ms: u64) {
    while times.front().is_some_and(|at_ms| at_ms + window_ms <= now_ms) {
        times.pop_front();
    }
}
