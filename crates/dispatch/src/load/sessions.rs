//! The servers that run a session's requests, or did recently.
//!
//! Load pattern: a session returns within seconds, through any gateway. The prompt of its last run
//! is still cached in that server's memory.

use crate::blocks::CacheSalt;
use crate::load::ServerTag;
use crate::request::Prompt;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How long after its last reported run a session's blocks are assumed to be in a server's memory,
/// in milliseconds. An engine's memory turns over within one to three seconds.
const SESSION_TTL_MS: u64 = 1_000;
/// The maximum number of sessions in the table.
const MAX_SESSIONS: usize = 8_192;

/// Identifies the shared segments of a prompt under their salt, in few bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionTag(u32);

impl SessionTag {
    /// Derives the tag of a prompt; `None` if it shares no segments. If two sessions have the same
    /// tag, a server may be expected to hold blocks that it lacks.
    pub fn new(salt: &CacheSalt, prompt: &Prompt) -> Option<Self> {
        let last = prompt.shared_segments().last()?;
        let mut hasher = blake3::Hasher::new();
        hasher.update(salt.as_str().as_bytes()).update(&last.id.to_bytes());
        let [first, second, third, fourth, ..] = *hasher.finalize().as_bytes();
        Some(Self(u32::from_le_bytes([first, second, third, fourth])))
    }
}

/// The server of each session's current or last run.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    last: HashMap<SessionTag, (ServerTag, u64)>,
}

impl Sessions {
    /// Records that a session's request runs on a server.
    pub(super) fn record(&mut self, session: SessionTag, server: ServerTag, now_ms: u64) {
        if self.last.len() >= MAX_SESSIONS {
            self.last.retain(|_, (_, at_ms)| now_ms < *at_ms + SESSION_TTL_MS);
        }
        if self.last.len() >= MAX_SESSIONS {
            self.last.clear();
        }
        self.last.insert(session, (server, now_ms));
    }

    /// Returns the server whose memory probably holds a session's blocks.
    pub(super) fn server(&self, session: SessionTag, now_ms: u64) -> Option<ServerTag> {
        let (server, at_ms) = self.last.get(&session)?;
        (now_ms < at_ms + SESSION_TTL_MS).then_some(*server)
    }
}
