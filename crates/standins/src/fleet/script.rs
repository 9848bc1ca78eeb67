//! Answers that are written as given, byte by byte, in place of a server's own.

use crate::fleet::http::ReceivedRequest;

/// The requests that are answered by a script.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScriptTarget {
    /// All requests of callers.
    Requests,
    /// Requests that resume a stream.
    Resumptions,
    /// Polls for changes of cached blocks.
    Polls,
    /// Such polls on connections on which a script was played before.
    LaterPolls,
}

/// What happens to the connection after a script.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScriptEnd {
    /// The server's own answer follows.
    Answers,
    /// It stays open.
    Keeps,
    /// It is closed.
    Closes,
    /// It is reset.
    Resets,
}

/// The bytes that a server writes in place of its answer, or before it.
#[derive(Clone, Debug)]
pub struct Script {
    target: ScriptTarget,
    text: String,
    end: ScriptEnd,
}

impl Script {
    /// Creates a script. In its text `{id}` stands for the attempt's id.
    pub fn new(target: ScriptTarget, text: impl Into<String>, end: ScriptEnd) -> Self {
        Self { target, text: text.into(), end }
    }

    /// Returns what happens after the script.
    pub const fn end(&self) -> ScriptEnd {
        self.end
    }

    /// Returns whether a request is answered by the script; `was_played` is whether one was played
    /// on its connection before.
    pub fn is_for(&self, request: &ReceivedRequest, was_played: bool) -> bool {
        let is_attempt = !request.header("x-attempt-id").is_empty();
        let is_poll = request.path().ends_with("/kv-events");
        match self.target {
            ScriptTarget::Requests => is_attempt,
            ScriptTarget::Resumptions => is_attempt && !request.header("last-event-id").is_empty(),
            ScriptTarget::Polls => is_poll,
            ScriptTarget::LaterPolls => is_poll && was_played,
        }
    }

    /// Returns the bytes to write for a request.
    pub fn bytes(&self, request: &ReceivedRequest) -> Vec<u8> {
        self.text.replace("{id}", request.header("x-attempt-id")).into_bytes()
    }
}
