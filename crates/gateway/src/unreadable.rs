//! Records of the platform's store that cannot be read: each is counted, and logged once in a while.

use crate::event;
use crate::node::Node;
use platform::codec::FormatError;
use std::collections::HashMap;

/// The interval after which a record that still cannot be read is logged again, in milliseconds.
const LOG_INTERVAL_MS: u64 = 60_000;
/// The maximum number of records that are logged in that time.
const MAX_LOGGED: usize = 64;
/// The maximum length of a key in the log, in characters.
const MAX_KEY_CHARS: usize = 64;

/// When each record was logged last, by its kind and key.
#[derive(Debug, Default)]
pub struct LoggedRecords {
    logged_ms: HashMap<(String, String), u64>,
}

impl LoggedRecords {
    /// Returns whether a record is logged now.
    pub fn is_due(&mut self, kind: &str, key: &str, now_ms: u64) -> bool {
        self.logged_ms.retain(|_, logged_ms| now_ms < *logged_ms + LOG_INTERVAL_MS);
        let id = (kind.to_owned(), key.to_owned());
        if self.logged_ms.len() >= MAX_LOGGED || self.logged_ms.contains_key(&id) {
            return false;
        }
        self.logged_ms.insert(id, now_ms);
        true
    }
}

/// Counts a record that cannot be read, and logs it unless that was done a while ago. `kind` is the
/// topic, or what the key stands for.
pub fn report(node: &Node, kind: &str, key: &str, error: &FormatError) {
    node.metrics.count("unreadable_records", kind);
    let now_ms = node.now_ms();
    let key: String = key.chars().take(MAX_KEY_CHARS).collect();
    if node.logged_records().is_due(kind, &key, now_ms) {
        let error = error.to_string();
        event!(warn, now_ms, "record_unreadable", { "record": kind, "key": key, "error": error });
    }
}
