//! Incremental parser that splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of the buffer, and thus of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The raw bytes, including the blank line that terminates the event.
    pub bytes: Bytes,
    /// The value of the `id` field, if it is present and numeric.
    pub id: Option<u64>,
}

impl Event {
    /// Whether it only keeps the connection alive: all of its lines are comments.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

/// Buffers incoming bytes and yields complete events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Number of buffered bytes already searched for the end of an event.
    scanned: usize,
}

impl EventReader {
    /// Appends bytes to the buffer. Returns `false` if the buffer then exceeds its maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the offset just past the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        // The terminator may be split between the previous chunk and this one.
        let start = self.scanned.saturating_sub(3);
        for index in start..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            let rest = &bytes[index + 1..];
            if rest.starts_with(b"\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(index + 3);
            }
        }
        self.scanned = bytes.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
