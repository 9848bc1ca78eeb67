//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// The maximum size of an event, in bytes. An engine never sends a larger one.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
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
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending)?;
        let complete = self.pending.split_to(end).freeze();
        let last_id = last_id(&complete);
        Some(CompleteEvents { bytes: complete, last_id })
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
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

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next().map(|id| String::from_utf8_lossy(id).trim().to_owned())
}
