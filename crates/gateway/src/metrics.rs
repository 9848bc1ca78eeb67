//! Counters and latency histograms, served as text on the metrics port.

use crate::logs;
use crate::memory::{Ledger, Purpose};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, PoisonError};

/// The largest latency that a histogram records, in milliseconds; larger ones count as this one.
const MAX_LATENCY_MS: u64 = 60_000;
/// The quantiles served for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// The counters and histograms of a process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: Mutex<BTreeMap<(&'static str, String), u64>>,
    latencies: Mutex<BTreeMap<(&'static str, String), Histogram<u32>>>,
}

impl Metrics {
    /// Creates metrics without values.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one event; `label` is its reason or kind.
    pub fn count(&self, name: &'static str, label: &str) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        *counters.entry((name, label.to_owned())).or_default() += 1;
    }

    /// Records a latency.
    pub fn record_ms(&self, name: &'static str, label: &str, latency_ms: u64) {
        let mut latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        let histogram = latencies.entry((name, label.to_owned())).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2).expect("the bounds are in order")
        });
        histogram.saturating_record(latency_ms.clamp(1, MAX_LATENCY_MS));
    }

    /// Formats all values, and those of the account of memory, as text, one per line.
    pub fn to_text(&self, memory: &Ledger) -> String {
        let mut text = format!("camphorward_log_lines_dropped {}\n", logs::dropped_lines());
        let _ = writeln!(text, "camphorward_memory_size_bytes {}", memory.size_bytes());
        for purpose in Purpose::ALL {
            let (kind, bytes) = (purpose.as_str(), memory.held_bytes(purpose));
            let _ = writeln!(text, "camphorward_memory_held_bytes{{kind=\"{kind}\"}} {bytes}");
        }
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        for ((name, label), value) in counters.iter() {
            let _ = writeln!(text, "camphorward_{name}{{kind=\"{label}\"}} {value}");
        }
        drop(counters);
        let latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        for ((name, label), histogram) in latencies.iter() {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "camphorward_{name}_ms{{kind=\"{label}\",quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(
                text,
                "camphorward_{name}_ms_count{{kind=\"{label}\"}} {}",
                histogram.len()
            );
        }
        text
    }
}
