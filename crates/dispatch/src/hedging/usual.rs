//! How long the answers of one kind of request usually take.

/// The buckets for each doubling of a duration: neighbouring ones differ by 9 %.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// The number of buckets; the last one begins at some 60 s.
const BUCKETS: usize = 128;
/// The time in which a sample loses half of its weight, in milliseconds.
const HALF_LIFE_MS: f64 = 60_000.0;
/// The minimum time between two steps of ageing, in milliseconds.
const AGEING_STEP_MS: u64 = 1_000;

/// A histogram of durations whose samples lose weight with age.
#[derive(Clone, Debug)]
pub struct UsualTimes {
    weights: Box<[f32; BUCKETS]>,
    aged_ms: u64,
    last_ms: u64,
}

impl UsualTimes {
    /// Creates a histogram without samples.
    pub fn new(now_ms: u64) -> Self {
        Self { weights: Box::new([0.0; BUCKETS]), aged_ms: now_ms, last_ms: now_ms }
    }

    /// Records a duration.
    pub fn record(&mut self, took_ms: u64, now_ms: u64) {
        self.age(now_ms);
        self.weights[bucket(took_ms)] += 1.0;
    }

    /// Records a request of which only a lower bound of the duration is known, because it was
    /// cancelled. Its weight is spread over the longer durations in proportion to their weights, so
    /// that cancelling late requests does not shorten the known tail.
    pub fn record_at_least(&mut self, waited_ms: u64, now_ms: u64) {
        self.age(now_ms);
        let index = bucket(waited_ms);
        let longer: f32 = self.weights[index + 1..].iter().sum();
        if longer <= 0.0 {
            self.weights[index] += 1.0;
            return;
        }
        for weight in &mut self.weights[index + 1..] {
            *weight *= 1.0 + 1.0 / longer;
        }
    }

    /// Returns when the last sample was recorded.
    pub const fn last_ms(&self) -> u64 {
        self.last_ms
    }

    /// Returns the weight of all samples.
    pub fn weight(&self) -> f64 {
        self.weights.iter().copied().map(f64::from).sum()
    }

    /// Returns the duration that a share of the requests does not exceed, in milliseconds; `None`
    /// without samples.
    pub fn quantile_ms(&self, share: f64) -> Option<f64> {
        self.quantile_from(0, share)
    }

    /// Returns the median duration of the requests that take longer than some time, in
    /// milliseconds; `None` if there was none.
    pub fn median_beyond_ms(&self, waited_ms: u64) -> Option<f64> {
        self.quantile_from(bucket(waited_ms) + 1, 0.5)
    }

    fn quantile_from(&self, first: usize, share: f64) -> Option<f64> {
        let weights = self.weights.get(first..)?;
        let total: f64 = weights.iter().copied().map(f64::from).sum();
        if total <= 0.0 {
            return None;
        }
        let mut sum = 0.0;
        let found = weights.iter().position(|weight| {
            sum += f64::from(*weight);
            sum > 0.0 && sum >= share * total
        });
        Some(end_ms(first + found.unwrap_or(weights.len() - 1)))
    }

    fn age(&mut self, now_ms: u64) {
        self.last_ms = self.last_ms.max(now_ms);
        let age_ms = now_ms.saturating_sub(self.aged_ms);
        if age_ms < AGEING_STEP_MS {
            return;
        }
        self.aged_ms = now_ms;
        let factor = 0.5_f64.powf(age_ms as f64 / HALF_LIFE_MS) as f32;
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
    }
}

fn bucket(took_ms: u64) -> usize {
    let index = (took_ms.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (index as usize).min(BUCKETS - 1)
}

/// Returns the upper end of a bucket, in milliseconds.
fn end_ms(bucket: usize) -> f64 {
    ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2()
}
