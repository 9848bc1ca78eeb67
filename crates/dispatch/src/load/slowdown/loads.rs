//! The slowdowns of servers among their loads.

use crate::load::slowdown::{SampleOrigin, Samples, Slowdown, SlowdownRows};
use crate::load::{Loads, ServerTag};
use crate::registry::ServerId;

impl Loads {
    /// Records the slowdown that a server named in an answer written at a time.
    pub fn record_slowdown(
        &mut self,
        server: &ServerId,
        slowdown: Slowdown,
        written_ms: u64,
        now_ms: u64,
    ) {
        let percent = f64::from(slowdown.percent());
        let samples = Samples { percent, count: 1, at_ms: written_ms };
        self.slowdowns.add(ServerTag::new(server), &samples, SampleOrigin::Answer, now_ms);
    }

    /// Takes the slowdowns that this gateway heard of since the last call, or as a relay its failure
    /// domain; at most `MAX_ROWS`, those that say most.
    pub fn take_slowdown_samples(&mut self, now_ms: u64) -> SlowdownRows {
        self.slowdowns.take_samples(now_ms)
    }

    /// Takes the estimates that the gateways of the failure domain lack, whose relay this one is; at
    /// most `MAX_ROWS`, those that changed most.
    pub fn take_slowdown_estimates(&mut self, now_ms: u64) -> SlowdownRows {
        self.slowdowns.take_estimates(now_ms)
    }

    /// Applies slowdowns that other gateways heard of; returns the number of rows that are ignored
    /// because of odd values.
    pub fn apply_slowdown_samples(
        &mut self,
        rows: &SlowdownRows,
        origin: SampleOrigin,
        now_ms: u64,
    ) -> usize {
        self.slowdowns.apply_samples(rows, origin, now_ms)
    }

    /// Applies estimates of a relay of this failure domain; returns the number of rows that are
    /// ignored because of odd values.
    pub fn apply_slowdown_estimates(&mut self, rows: &SlowdownRows, now_ms: u64) -> usize {
        self.slowdowns.apply_estimates(rows, now_ms)
    }
}
