//! Splitting a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// The longest event that is accepted, in bytes.
const LONGEST_EVENT: usize = 1 << 20;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the blank line at its end included.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    scanned: usize,
}

impl EventReader {
    /// Takes bytes; false if an event is longer than the limit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= LONGEST_EVENT
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes of an event that is not whole are held.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The place behind the first blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let from = self.scanned.saturating_sub(3);
        for at in from..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            let rest = &bytes[at + 1..];
            if rest.starts_with(b"\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(at + 3);
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
