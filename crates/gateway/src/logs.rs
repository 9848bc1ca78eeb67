//! Structured log lines on standard output, rate-limited and non-blocking.
//!
//! Lines go through a bounded channel to a thread that writes them in batches. Lines above the rate
//! limit, and lines that find the channel full, are dropped and counted; the logging thread never
//! waits for the writer.

use crate::settings::{LogLevel, LogSettings};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// The capacity of the channel to the writer, in lines of some 300 bytes each.
const MAX_QUEUED_LINES: usize = 2_048;
/// How long the writer gathers lines for a batch.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts the log.
///
/// # Errors
///
/// Returns an error if a logger is already installed or the writer's thread cannot start.
pub fn start(settings: LogSettings) -> io::Result<()> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&receiver))?;
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("gateway")
        .build();
    let writer = BoundedWriter {
        sender,
        line: Vec::new(),
        second: Instant::now(),
        lines_this_second: 0,
        max_lines_per_s: settings.max_lines_per_s,
    };
    WriteLogger::init(to_filter(settings.level), config, writer).map_err(io::Error::other)
}

/// Returns whether a request belongs to the sample whose routine lines are written. The result
/// depends only on the request's id and the share, so all gateways write its lines or none does.
pub fn is_sampled(request: &str, share: f64) -> bool {
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    (hasher.finish() as f64) < share * u64::MAX as f64 || share >= 1.0
}

struct BoundedWriter {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    second: Instant,
    lines_this_second: u32,
    max_lines_per_s: u32,
}

impl BoundedWriter {
    fn send_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.lines_this_second = 0;
        }
        self.lines_this_second += 1;
        if self.lines_this_second > self.max_lines_per_s || self.sender.try_send(line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.send_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    while let Ok(first) = receiver.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut batch = first;
        batch.extend(receiver.try_iter().flatten());
        if io::stdout().lock().write_all(&batch).is_err() {
            // Standard output cannot be written any more; the batch counts as one dropped line.
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

const fn to_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

/// Logs one event as a JSON object: `event!(info, now_ms, "name", { "field": value })`.
#[macro_export]
macro_rules! event {
    ($level:ident, $now_ms:expr, $name:literal, { $($fields:tt)* }) => {
        if log::log_enabled!($crate::logs::level_of(stringify!($level))) {
            log::$level!(
                "{}",
                serde_json::json!({
                    "t_ms": $now_ms,
                    "unix_ms": $crate::clock::unix_ms(),
                    "level": stringify!($level),
                    "event": $name,
                    $($fields)*
                })
            );
        }
    };
}

/// Returns the level of a name that [`event!`] accepts.
pub fn level_of(name: &str) -> log::Level {
    match name {
        "error" => log::Level::Error,
        "warn" => log::Level::Warn,
        "info" => log::Level::Info,
        _ => log::Level::Debug,
    }
}
