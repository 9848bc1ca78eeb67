//! Which requests a draining gateway accepts.

/// How long after the start of a drain requests are accepted that may outlast it, in milliseconds. The
/// balancer checks readiness every second and removes a gateway after two failed checks; callers that it
/// sends after that reach the gateway only if no other one is ready.
const BALANCER_REMOVAL_MS: u64 = 2_600;
/// How long before the end of a drain requests in progress are answered, in milliseconds.
const LAST_ANSWERS_MS: u64 = 200;
/// The minimum time that a request which may outlast the drain has until its end, in milliseconds. Nearly
/// all requests end in that time.
const MIN_SERVICE_MS: u64 = 4_500;

/// The times of a drain, on the node's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    started_ms: u64,
    ends_ms: u64,
}

impl Drain {
    /// Creates a drain that takes some time at most.
    pub const fn new(started_ms: u64, bound_ms: u64) -> Self {
        Self { started_ms, ends_ms: started_ms + bound_ms }
    }

    /// Returns when the last requests are answered.
    pub const fn last_answers_ms(&self) -> u64 {
        self.ends_ms.saturating_sub(LAST_ANSWERS_MS)
    }

    /// Returns whether the drain's time is over.
    pub const fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.ends_ms
    }

    /// Returns whether the balancer may still send callers here.
    pub const fn awaits_balancer(&self, now_ms: u64) -> bool {
        now_ms < self.started_ms + BALANCER_REMOVAL_MS
    }

    /// Returns whether a request is accepted. One whose deadline passes before the last answers always
    /// is; another one could be cut off, so it is accepted only at first.
    pub const fn accepts(&self, deadline_at_ms: u64, now_ms: u64) -> bool {
        let may_outlast = deadline_at_ms > self.last_answers_ms();
        let has_time = now_ms + MIN_SERVICE_MS <= self.ends_ms;
        !may_outlast || (self.awaits_balancer(now_ms) && has_time)
    }
}
