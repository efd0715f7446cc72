//! Copies of the store's tables, from which other instances fetch what they miss.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::updates::KnownRevision;

/// Maximum number of deletions kept, so that instances that missed them learn of them.
const MAX_DELETIONS: usize = 4_096;

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value; `None` if the row was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of its last change.
    pub revision: u64,
}

/// What an instance that knows a table up to some revision misses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Revision up to which the sender knows the table.
    pub known: KnownRevision,
    /// Whether entries that expired in an outage of the store may still be listed
    /// again.
    pub unsettled: bool,
    /// Whether these are all rows of the table, rather than changed ones.
    pub complete: bool,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A table as this instance knows it.
#[derive(Debug, Default)]
pub struct TableCopy {
    /// Revision up to which the table is known; 0 if it was never read.
    pub known: KnownRevision,
    /// Rows, including deleted ones, by key.
    rows: BTreeMap<String, Row>,
    deletions: usize,
    /// Deletions up to this revision are no longer known.
    forgotten: u64,
}

impl TableCopy {
    /// Whether the table was read.
    pub fn is_loaded(&self) -> bool {
        self.known.revision > 0
    }

    /// Replaces all rows.
    pub fn replace(&mut self, rows: &[Row], known: KnownRevision) {
        self.rows = rows.iter().map(|row| (row.key.clone(), row.clone())).collect();
        self.deletions = 0;
        self.forgotten = known.revision;
        self.known = known;
    }

    /// Applies all rows that changed up to `revision`.
    pub fn change(&mut self, rows: &[Row], revision: u64) {
        for row in rows {
            let old = self.rows.insert(row.key.clone(), row.clone());
            self.deletions += usize::from(row.value.is_none());
            self.deletions -= usize::from(old.is_some_and(|old| old.value.is_none()));
        }
        self.known.advance(rows, revision);
        self.forget_deletions();
    }

    fn forget_deletions(&mut self) {
        while self.deletions > MAX_DELETIONS {
            let deleted = self.rows.values().filter(|row| row.value.is_none());
            let Some(oldest) = deleted.min_by_key(|row| row.revision).cloned() else { return };
            self.rows.remove(&oldest.key);
            self.deletions -= 1;
            self.forgotten = self.forgotten.max(oldest.revision);
        }
    }

    /// Returns what an instance that knows the table up to `since` misses; all rows if it
    /// knows nothing.
    pub fn since(&self, since: u64, unsettled: bool) -> TableDelta {
        let complete = since == 0 || since < self.forgotten;
        let is_missing =
            |row: &&Row| if complete { row.value.is_some() } else { row.revision > since };
        let rows = self.rows.values().filter(is_missing).cloned().collect();
        TableDelta { known: self.known, unsettled, complete, rows }
    }
}
