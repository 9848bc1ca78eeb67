//! Splitting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// The longest event kept, in bytes; a longer one is no event of an engine.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Gathers bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

/// Whole events, with the id of the last one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeEvents {
    /// The bytes of all whole events, ends included.
    pub bytes: Bytes,
    /// The last id among them.
    pub last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter without bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<WholeEvents> {
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending)?;
        let whole = self.pending.split_to(end).freeze();
        let last_id = last_id(&whole);
        Some(WholeEvents { bytes: whole, last_id })
    }

    /// Says whether bytes of an unfinished event are left.
    pub fn has_rest(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Says whether the unfinished event is longer than any event may be.
    pub fn is_overfull(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Events end with an empty line; lines end with LF or CRLF.
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
