//! Exchange of slowdowns between gateways.
//!
//! In a small installation each gateway sends the others what it has heard. In a large one the gateways
//! of a failure domain send it to their relay, which sends the sum to the relays of the other domains
//! and its estimates to the gateways of its own. Each sample counts once on each way; one that is lost
//! with its datagram is missing, and the next ones make up for it.

use crate::load::peers::ServerTag;
use crate::load::slowdown::{
    Estimate, Known, MAX_ROWS, Samples, Slowdown, SlowdownRow, SlowdownRows, Slowdowns,
};

/// How far the estimate of another gateway may be off before it is told again, in percent of the usual
/// time. Placement compares times that differ by more than that.
const TOLD_STEP_PERCENT: f64 = 20.0;
/// The maximum number of samples that a row counts for.
const MAX_SAMPLES: u32 = 20;
/// How much older than what this gateway has heard an estimate of the relay may be, in milliseconds:
/// samples take some hundred milliseconds to the relay and back.
const ESTIMATE_DELAY_MS: u64 = 1_000;

/// The way by which samples reached a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleOrigin {
    /// An answer of the server.
    Answer,
    /// A gateway of the failure domain whose relay this gateway is.
    Member,
    /// Another gateway that sends them to all that need them.
    Peer,
}

impl Slowdowns {
    /// Takes what this gateway heard since the last call, or as a relay its failure domain.
    pub(in crate::load) fn take_samples(&mut self, now_ms: u64) -> SlowdownRows {
        let unsent = self.servers.iter().filter_map(|(server, known)| {
            let samples = known.unsent?;
            let row = row(*server, samples.percent, samples.count, samples.at_ms, now_ms)?;
            Some((row, (samples.percent - 100.0).abs() * f64::from(samples.count)))
        });
        let rows = largest(unsent.collect());
        for row in &rows.0 {
            if let Some(known) = self.servers.get_mut(&row.server) {
                known.unsent = None;
            }
        }
        rows
    }

    /// Takes the estimates that the gateways of the failure domain lack.
    pub(in crate::load) fn take_estimates(&mut self, now_ms: u64) -> SlowdownRows {
        let changed = self.servers.iter().filter_map(|(server, known)| {
            let estimate = known.estimate?;
            let told = known.told.map_or(100.0, |told| told.percent_at(now_ms));
            let step = (estimate.percent_at(now_ms) - told).abs();
            let row = row(*server, estimate.percent, 0, estimate.at_ms, now_ms)?;
            (step >= TOLD_STEP_PERCENT).then_some((row, step))
        });
        let rows = largest(changed.collect());
        for row in &rows.0 {
            if let Some(known) = self.servers.get_mut(&row.server) {
                known.told = known.estimate;
            }
        }
        rows
    }

    /// Applies samples of another gateway; returns the number of rows that are ignored.
    pub(in crate::load) fn apply_samples(
        &mut self,
        rows: &SlowdownRows,
        origin: SampleOrigin,
        now_ms: u64,
    ) -> usize {
        let mut ignored = 0;
        for row in &rows.0 {
            let (percent, count) = (f64::from(row.percent), u32::from(row.samples));
            if Slowdown::new(percent).is_err() || count == 0 {
                ignored += 1;
                continue;
            }
            let at_ms = now_ms.saturating_sub(row.age_ms);
            let samples = Samples { percent, count: count.min(MAX_SAMPLES), at_ms };
            self.add(row.server, &samples, origin, now_ms);
        }
        ignored
    }

    /// Applies estimates of a relay of this failure domain, which include what this gateway has told
    /// it; returns the number of rows that are ignored.
    pub(in crate::load) fn apply_estimates(&mut self, rows: &SlowdownRows, now_ms: u64) -> usize {
        let mut ignored = 0;
        for row in &rows.0 {
            let percent = f64::from(row.percent);
            if Slowdown::new(percent).is_err() {
                ignored += 1;
                continue;
            }
            let at_ms = now_ms.saturating_sub(row.age_ms);
            if !self.has_room_for(row.server, now_ms) {
                continue;
            }
            let known = self.servers.entry(row.server).or_insert(Known::new());
            let is_old = known
                .estimate
                .is_some_and(|held| at_ms.saturating_add(ESTIMATE_DELAY_MS) < held.at_ms);
            if is_old || !known.counts(at_ms, now_ms) {
                continue;
            }
            let told = Estimate { percent, at_ms };
            let newer = known.heard.filter(|heard| heard.at_ms > at_ms);
            known.estimate = Some(newer.map_or(told, |heard| told.with(&heard)));
        }
        ignored
    }
}

/// Returns a row; `None` if the statement is too old for one.
fn row(
    server: ServerTag,
    percent: f64,
    count: u32,
    at_ms: u64,
    now_ms: u64,
) -> Option<SlowdownRow> {
    let age_ms = now_ms.saturating_sub(at_ms);
    let slowdown = Slowdown::new(percent).ok()?;
    let samples = count.try_into().unwrap_or(u8::MAX);
    let row = SlowdownRow { server, percent: slowdown.percent(), age_ms, samples };
    (age_ms <= SlowdownRow::MAX_AGE_MS).then_some(row)
}

/// Returns the rows that say most, as many as a message holds.
fn largest(mut rows: Vec<(SlowdownRow, f64)>) -> SlowdownRows {
    rows.sort_by(|(left, by), (right, than)| {
        than.total_cmp(by).then(left.server.cmp(&right.server))
    });
    SlowdownRows(rows.into_iter().map(|(row, _)| row).take(MAX_ROWS).collect())
}
