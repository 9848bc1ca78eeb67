//! Requests that crash the servers that run them, identified by content and caller.
//!
//! Load pattern: one request is sent again and again, to any gateway, and crashes a server each
//! time it starts to run.

use std::collections::HashMap;
use std::fmt;

/// Identifies a request by its content and its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ContentKey([u8; 16]);

impl ContentKey {
    /// Hashes a path, an organisation and a body.
    pub fn new(path: &str, organisation: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [path.as_bytes(), organisation.as_bytes()] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(body);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// Wraps the bytes of a key that another gateway computed.
    pub const fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the key's bytes.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        &self.0
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The number of aborted attempts from which on a request is refused. The platform allows three
/// crashes. An attempt that was aborted without a crash counts too, which errs towards refusing.
pub const MAX_ABORTED_ATTEMPTS: u32 = 3;
/// How long aborted attempts count, in milliseconds; callers retry within seconds.
const ABORT_TTL_MS: u64 = 120_000;
/// The maximum number of requests in the table; each takes some 40 bytes.
const MAX_CONTENTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Aborts {
    count: u32,
    last_ms: u64,
}

/// Counts aborted attempts by request content.
#[derive(Debug, Default)]
pub struct Crashes {
    by_content: HashMap<ContentKey, Aborts>,
}

impl Crashes {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an attempt that was aborted when its server failed, and returns the count.
    pub fn count(&mut self, key: ContentKey, now_ms: u64) -> u32 {
        if self.by_content.len() >= MAX_CONTENTS {
            self.by_content.retain(|_, aborts| aborts.last_ms + ABORT_TTL_MS > now_ms);
        }
        if self.by_content.len() >= MAX_CONTENTS {
            self.by_content.clear();
        }
        let aborts = self.by_content.entry(key).or_insert(Aborts { count: 0, last_ms: now_ms });
        *aborts = Aborts { count: aborts.count + 1, last_ms: now_ms };
        aborts.count
    }

    /// Removes a request that received a complete answer.
    pub fn clear(&mut self, key: &ContentKey) {
        if !self.by_content.is_empty() {
            self.by_content.remove(key);
        }
    }

    /// Returns how many attempts of a request were aborted by a server failure.
    pub fn aborted_attempts(&self, key: &ContentKey, now_ms: u64) -> u32 {
        let aborts =
            self.by_content.get(key).filter(|aborts| aborts.last_ms + ABORT_TTL_MS > now_ms);
        aborts.map_or(0, |aborts| aborts.count)
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, key: &ContentKey, now_ms: u64) -> bool {
        self.aborted_attempts(key, now_ms) >= MAX_ABORTED_ATTEMPTS
    }
}
