//! The fair level that a host keeps while it is cut off from the others.
//!
//! Load pattern: a service gets more than it can serve, and one gateway of few is cut off from the
//! others. It no longer sees what they admit, so that the level by its own work would fall with each
//! request that it refuses.

use std::collections::VecDeque;

/// The number of levels that are kept. A host notices only after some of them that it is cut off.
const KEPT_LEVELS: usize = 8;
/// The number of the oldest of them that count.
const COUNTED_LEVELS: usize = 4;

/// The fair levels at the last times at which this host was not cut off.
#[derive(Debug, Default)]
pub(super) struct LastLevels {
    /// The oldest first.
    levels: VecDeque<f64>,
}

impl LastLevels {
    /// Records the level while the host is not cut off.
    pub fn record(&mut self, level: f64) {
        if self.levels.len() == KEPT_LEVELS {
            self.levels.pop_front();
        }
        self.levels.push_back(level);
    }

    /// Returns the level to be kept: the highest one from before the host was cut off, so that in doubt
    /// requests are admitted. `None` if the service was not contended then.
    pub fn kept(&self) -> Option<f64> {
        let level = self.levels.iter().take(COUNTED_LEVELS).copied().fold(0.0, f64::max);
        (level > 0.0 && level.is_finite()).then_some(level)
    }
}
