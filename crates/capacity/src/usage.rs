//! Processor time of this thread, and memory of this process.

use std::fs;

const PAGE_BYTES: f64 = 4_096.0;
const NS_PER_US: f64 = 1e3;

/// Returns the processor time that this thread has used, in microseconds.
pub fn cpu_us() -> f64 {
    proc_field("/proc/thread-self/schedstat", 0) / NS_PER_US
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    proc_field("/proc/self/statm", 1) * PAGE_BYTES
}

/// Runs an action and returns its result with the processor time of this thread that it used, in
/// microseconds.
pub fn measure_cpu_time<T>(action: impl FnOnce() -> T) -> (T, f64) {
    let before_us = cpu_us();
    let value = action();
    (value, cpu_us() - before_us)
}

/// Runs an action and returns its result with the growth of resident memory, in bytes.
pub fn measure_memory<T>(action: impl FnOnce() -> T) -> (T, f64) {
    let before_bytes = resident_bytes();
    let value = action();
    (value, resident_bytes() - before_bytes)
}

fn proc_field(path: &str, index: usize) -> f64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let value = text.split_whitespace().nth(index);
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}
