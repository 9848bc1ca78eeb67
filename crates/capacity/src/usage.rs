//! Processor time and memory of this process.

use std::fs;

const PAGE_BYTES: f64 = 4_096.0;
const NS_PER_US: f64 = 1e3;

/// Returns the processor time that this thread has used, in microseconds.
pub fn cpu_us() -> f64 {
    field("/proc/thread-self/schedstat", 0) / NS_PER_US
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    field("/proc/self/statm", 1) * PAGE_BYTES
}

/// Returns what a call gives, with the processor time that it takes, in microseconds.
pub fn timed<T>(call: impl FnOnce() -> T) -> (T, f64) {
    let before_us = cpu_us();
    let value = call();
    (value, cpu_us() - before_us)
}

/// Returns what a call makes, with the memory that it keeps, in bytes.
pub fn weighed<T>(call: impl FnOnce() -> T) -> (T, f64) {
    let before_bytes = resident_bytes();
    let value = call();
    (value, resident_bytes() - before_bytes)
}

fn field(path: &str, index: usize) -> f64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let field = text.split_whitespace().nth(index);
    field.and_then(|field| field.parse().ok()).unwrap_or_default()
}
