//! What a fake backend server was asked and what it did.

use std::sync::{Arc, Mutex};

use bytes::Bytes;

/// One request that reached a fake.
#[derive(Debug, Clone)]
pub struct JournalEntry {
    /// The server.
    pub server: String,
    /// The request id on the wire.
    pub id: String,
    /// The version of a chat, or the path of a call.
    pub what: String,
    /// The account that the router named, for services.
    pub account: String,
    /// The body.
    pub body: Bytes,
    /// Whether the answer was whole.
    pub whole: bool,
    /// Tokens of the prompt and the answer, for a whole chat.
    pub tokens: u64,
}

/// The journal of all fakes of a deployment.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    entries: Arc<Mutex<Vec<JournalEntry>>>,
}

impl Journal {
    /// Notes a request; returns its place.
    pub fn begin(&self, entry: JournalEntry) -> usize {
        let mut entries = self.entries.lock().unwrap();
        entries.push(entry);
        entries.len() - 1
    }

    /// Notes that the answer to a request was whole.
    pub fn whole(&self, place: usize, tokens: u64) {
        let mut entries = self.entries.lock().unwrap();
        entries[place].whole = true;
        entries[place].tokens = tokens;
    }

    /// All entries.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.entries.lock().unwrap().clone()
    }
}
