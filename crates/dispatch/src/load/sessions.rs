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
/// The interval at which a relay passes on a session that still runs, in milliseconds; well below
/// `SESSION_TTL_MS`.
const REPEAT_MS: u64 = 400;
/// The maximum number of sessions in one digest.
const MAX_SESSIONS_PER_DIGEST: usize = 400;

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

/// The server of a session's current or last run.
#[derive(Clone, Copy, Debug)]
struct LastRun {
    server: ServerTag,
    at_ms: u64,
    /// The server that a relay passed on last, and when.
    passed_on: Option<(ServerTag, u64)>,
}

/// The server of each session's current or last run.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    last: HashMap<SessionTag, LastRun>,
}

impl Sessions {
    /// Records that a session's request runs on a server.
    pub(super) fn record(&mut self, session: SessionTag, server: ServerTag, now_ms: u64) {
        if self.last.len() >= MAX_SESSIONS {
            self.last.retain(|_, run| now_ms < run.at_ms + SESSION_TTL_MS);
        }
        if self.last.len() >= MAX_SESSIONS {
            self.last.clear();
        }
        let run = self.last.entry(session);
        let run = run.or_insert(LastRun { server, at_ms: now_ms, passed_on: None });
        (run.server, run.at_ms) = (server, now_ms);
    }

    /// Returns the server whose memory probably holds a session's blocks.
    pub(super) fn server(&self, session: SessionTag, now_ms: u64) -> Option<ServerTag> {
        let run = self.last.get(&session)?;
        (now_ms < run.at_ms + SESSION_TTL_MS).then_some(run.server)
    }

    /// Takes the sessions that a relay passes on now: those whose server changed, and those that
    /// were passed on some time ago and were reported again since.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<(SessionTag, ServerTag)> {
        let is_due = |run: &LastRun| match run.passed_on {
            Some((server, at_ms)) if server == run.server => {
                now_ms >= at_ms + REPEAT_MS && run.at_ms > at_ms
            }
            _ => now_ms < run.at_ms + SESSION_TTL_MS,
        };
        let due = self.last.iter_mut().filter(|(_, run)| is_due(run));
        let taken = due.take(MAX_SESSIONS_PER_DIGEST).map(|(session, run)| {
            run.passed_on = Some((run.server, now_ms));
            (*session, run.server)
        });
        taken.collect()
    }
}
