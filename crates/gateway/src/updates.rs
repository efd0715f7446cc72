//! Table updates that the reader of a table sends to other instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::table::Row;

/// Maximum size of the rows in one update, in bytes. Updates compress to a fifth or less
/// and are sent to many instances at once; longer rows are fetched instead.
const MAX_UPDATE_BYTES: usize = 16 << 10;
/// Estimated encoding overhead of a row beside its key and value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 16;

/// Revision up to which an instance knows a table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRevision {
    /// Revision of the store up to which the table is known.
    pub revision: u64,
    /// Revision of the last change that may affect the table.
    pub changed: u64,
}

impl KnownRevision {
    /// Records that all rows changed up to `revision` were applied.
    pub fn advance(&mut self, rows: &[Row], revision: u64) {
        let last = rows.iter().map(|row| row.revision).max();
        self.changed = self.changed.max(last.unwrap_or_default());
        self.revision = self.revision.max(revision);
    }

    /// Returns the effect of an update on this instance. If the update shows that no
    /// row changed, advances the revision.
    pub fn effect_of(&mut self, update: &TableUpdate) -> UpdateEffect {
        if update.known.revision <= self.revision {
            return UpdateEffect::None;
        }
        match &update.changes {
            Some(changes) if changes.before <= self.revision => {
                UpdateEffect::Rows(changes.rows.clone())
            }
            None if update.known.changed <= self.revision => {
                self.revision = update.known.revision;
                UpdateEffect::None
            }
            Some(_) | None => UpdateEffect::Gap,
        }
    }
}

/// Effect of an update on an instance.
#[derive(Debug, PartialEq, Eq)]
pub enum UpdateEffect {
    /// The instance is up to date; no rows need to be applied.
    None,
    /// These rows need to be applied.
    Rows(Vec<Row>),
    /// The update does not contain all missing rows; they must be fetched.
    Gap,
}

impl UpdateEffect {
    /// Returns the label value in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            UpdateEffect::None => "known",
            UpdateEffect::Rows(_) => "taken",
            UpdateEffect::Gap => "behind",
        }
    }
}

/// State of a table at the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Table.
    pub table: String,
    /// Revision up to which the sender knows the table.
    pub known: KnownRevision,
    /// Time since the store answered the instance that reads it, in milliseconds.
    pub age_ms: u64,
    /// Whether entries that expired in an outage of the store may still be listed
    /// again.
    pub unsettled: bool,
    /// Changed rows, if they fit into a datagram.
    pub changes: Option<Changes>,
}

/// An update as received.
#[derive(Debug)]
pub(crate) struct ReceivedUpdate {
    /// The update.
    pub update: TableUpdate,
    /// The sender.
    pub from: SocketAddr,
    /// Whether the sender precedes this instance in the order of readers.
    pub from_earlier: bool,
    /// Whether the sender belongs to another failure domain.
    pub from_outside: bool,
}

/// All changes between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Exclusive lower bound; the rows changed after this revision.
    pub before: u64,
    /// Changed rows.
    pub rows: Vec<Row>,
}

impl TableUpdate {
    /// Creates an update that says how far the sender knows the table, so that others
    /// fetch what they miss.
    pub fn announce(table: &str, known: KnownRevision, unsettled: bool) -> Self {
        TableUpdate { table: table.to_owned(), known, age_ms: 0, unsettled, changes: None }
    }
}

/// Splits changed rows into updates.
///
/// From the first row on that is too long for a datagram, there is only one more update,
/// without rows.
pub fn split_updates(
    table: &str,
    rows: &[Row],
    mut before: u64,
    known: KnownRevision,
    unsettled: bool,
) -> Vec<TableUpdate> {
    let mut rows: Vec<Row> = rows.to_vec();
    rows.sort_by_key(|row| row.revision);
    let update = |known, changes| TableUpdate {
        table: table.to_owned(),
        known,
        age_ms: 0,
        unsettled,
        changes,
    };
    let mut updates = Vec::new();
    let mut remaining = rows.into_iter().peekable();
    while let Some(first) = remaining.next() {
        let (mut bytes, mut last) = (encoded_len(&first), first.revision);
        let mut rows = vec![first];
        // Rows of one transaction stay in the same update.
        let fits = |row: &Row, bytes, last| {
            row.revision == last || bytes + encoded_len(row) <= MAX_UPDATE_BYTES
        };
        while let Some(row) = remaining.next_if(|row| fits(row, bytes, last)) {
            (bytes, last) = (bytes + encoded_len(&row), row.revision);
            rows.push(row);
        }
        if bytes > MAX_UPDATE_BYTES {
            updates.push(update(known, None));
            return updates;
        }
        let is_last = remaining.peek().is_none();
        let covered = if is_last { known } else { KnownRevision { revision: last, changed: last } };
        updates.push(update(covered, Some(Changes { before, rows })));
        before = last;
    }
    updates
}

/// Estimates the size of an encoded row, in bytes.
fn encoded_len(row: &Row) -> usize {
    row.key.len() + row.value.as_ref().map_or(0, Vec::len) + ROW_OVERHEAD_BYTES
}
