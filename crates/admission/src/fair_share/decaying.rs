//! Sums whose entries decay with their age.

/// The half-life of the weight of past work, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Returns what counts of an amount of past work at some age.
pub fn decayed(amount: f64, age_ms: u64) -> f64 {
    amount * (-(age_ms as f64) / HALF_LIFE_MS).exp2()
}

/// A sum whose entries decay exponentially with their age.
#[derive(Debug, Default)]
pub(super) struct DecayingSum {
    sum: f64,
    at_ms: u64,
}

impl DecayingSum {
    pub(super) fn add(&mut self, amount: f64, now_ms: u64) {
        self.sum = self.value(now_ms) + amount;
        self.at_ms = self.at_ms.max(now_ms);
    }

    pub(super) fn remove(&mut self, amount: f64, now_ms: u64) {
        self.sum = (self.value(now_ms) - amount).max(0.0);
        self.at_ms = self.at_ms.max(now_ms);
    }

    pub(super) fn value(&self, now_ms: u64) -> f64 {
        decayed(self.sum, now_ms.saturating_sub(self.at_ms))
    }
}
