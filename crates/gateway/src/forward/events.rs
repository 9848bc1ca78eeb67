//! Splits a stream of server-sent events into complete events, and checks their order.

use crate::memory::{MemoryAccount, MemoryShare, Purpose};
use bytes::{Bytes, BytesMut};
use std::sync::Arc;

/// The maximum size of an event, in bytes. An engine never sends a larger one.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The maximum number of bytes between two events, which are comments.
const MAX_COMMENT_BYTES: usize = 1024 * 1024;

/// The largest buffer from which the HTTP library reads an answer, in bytes. It grows to twice what
/// a read filled, and is kept as long as the connection.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Buffers bytes and returns complete events.
#[derive(Debug)]
pub struct EventSplitter {
    pending: BytesMut,
    share: MemoryShare,
    /// Whether the memory allows the incomplete event.
    is_allowed: bool,
    /// The most bytes that arrived at once.
    max_read_bytes: usize,
    /// The bytes of comments since the last event.
    comment_bytes: usize,
}

/// Complete events, with the id of the last one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CompleteEvents {
    /// The bytes of all complete events, including their terminators.
    pub bytes: Bytes,
    /// The last id among them.
    pub last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter with an empty buffer.
    pub fn new(account: Arc<MemoryAccount>) -> Self {
        let share = MemoryShare::new(account, Purpose::Answers);
        Self {
            pending: BytesMut::new(),
            share,
            is_allowed: true,
            max_read_bytes: 0,
            comment_bytes: 0,
        }
    }

    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        // An event ends in the new bytes, and begins its last line end up to two bytes before them.
        let searched = self.pending.len().saturating_sub(2);
        self.pending.extend_from_slice(bytes);
        self.max_read_bytes = self.max_read_bytes.max(bytes.len());
        let Some(end) = last_event_end(&self.pending[searched..]) else {
            self.account();
            return None;
        };
        let complete = self.pending.split_to(searched + end).freeze();
        self.account();
        let has_event = has_event(&complete);
        self.comment_bytes = if has_event { 0 } else { self.comment_bytes + complete.len() };
        let last_id = last_id(&complete);
        Some(CompleteEvents { bytes: complete, last_id })
    }

    /// Accounts for the incomplete event, and for the buffer from which it was read.
    fn account(&mut self) {
        let read_buffer_bytes = (2 * self.max_read_bytes).min(MAX_READ_BUFFER_BYTES);
        let pending_bytes = if self.pending.is_empty() { 0 } else { self.pending.capacity() };
        self.is_allowed = self.share.resize(read_buffer_bytes + pending_bytes);
    }

    /// Returns whether the account of memory allows what is held.
    pub const fn is_allowed(&self) -> bool {
        self.is_allowed
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the incomplete event or the comments since the last one are too large.
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES || self.comment_bytes > MAX_COMMENT_BYTES
    }
}

/// Returns the end of the last complete event. Events end with an empty line, and lines end with LF
/// or CRLF.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while let Some(line_end) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        let before = bytes[..line_end].strip_suffix(b"\r").unwrap_or(&bytes[..line_end]);
        if before.ends_with(b"\n") {
            return Some(line_end + 1);
        }
        end = line_end;
    }
    None
}

/// Returns whether any line is a field of an event.
fn has_event(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next().map(|id| String::from_utf8_lossy(id).trim().to_owned())
}

/// The order of the events of a resumable stream: each has an id that follows the one before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventSequence {
    last_id: Vec<u8>,
}

impl EventSequence {
    /// Creates the sequence that follows an event; `None` for a whole stream.
    pub fn new(after: Option<&[u8]>) -> Self {
        Self { last_id: after.unwrap_or_default().to_vec() }
    }

    /// Adds complete events, and returns whether all of them are in order.
    pub fn accept(&mut self, events: &[u8]) -> bool {
        let (mut has_field, mut id) = (false, None);
        for line in events.split(|byte| *byte == b'\n') {
            match line.strip_suffix(b"\r").unwrap_or(line) {
                [] => {
                    if std::mem::take(&mut has_field) && !id.take().is_some_and(|id| self.add(id)) {
                        return false;
                    }
                }
                // Neither belongs to an event.
                [b':', ..] => {}
                line if line.starts_with(b"retry:") => {}
                line => {
                    has_field = true;
                    id = line.strip_prefix(b"id:").map(<[u8]>::trim_ascii).or(id);
                }
            }
        }
        true
    }

    fn add(&mut self, id: &[u8]) -> bool {
        let is_next = match (parse_number(id), parse_number(&self.last_id)) {
            (Some(id), Some(last)) => id > last,
            _ => id != self.last_id,
        };
        self.last_id.clear();
        self.last_id.extend_from_slice(id);
        is_next
    }
}

fn parse_number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}
