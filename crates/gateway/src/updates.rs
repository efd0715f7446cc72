//! Table updates that the reader of a table sends to the instances of its failure
//! domain.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::follow::Row;

/// Maximum size of the rows in one update, in bytes; a single row may exceed it.
/// Updates compress to a fifth or less and are sent to many instances at once over
/// links of a few megabits per second.
const MAX_UPDATE_BYTES: usize = 16 << 10;
/// Estimated encoding overhead of a row beside its key and value, in bytes.
const ROW_OVERHEAD_BYTES: usize = 60;

/// How far an instance knows a table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRevision {
    /// Revision of the store up to which the table is known.
    pub revision: u64,
    /// Revision of the last change that may affect the table.
    pub changed: u64,
}

impl KnownRevision {
    /// Records that changed rows up to a revision were applied.
    pub fn advance(&mut self, rows: &[Row], revision: u64) {
        let last = rows.iter().map(|row| row.revision).max();
        self.changed = self.changed.max(last.unwrap_or_default());
        self.revision = self.revision.max(revision);
    }

    /// Determines what an update means for this instance; advances the revision if
    /// the update shows that nothing changed.
    pub fn effect_of(&mut self, update: &TableUpdate) -> UpdateEffect {
        if update.known.revision <= self.revision {
            return UpdateEffect::None;
        }
        match &update.changes {
            Some(changes) if changes.before <= self.revision => {
                UpdateEffect::Rows(changes.rows.iter().map(WireRow::row).collect())
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
    /// No rows need to be applied.
    None,
    /// These rows need to be applied.
    Rows(Vec<Row>),
    /// Rows are missing that the update does not contain; the store must be read.
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

/// State of a table in the store, as sent by a reader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Table.
    pub table: String,
    /// How far the sender knows the table.
    pub known: KnownRevision,
    /// Time since the store answered the sender, in milliseconds.
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
    /// Whether the sender comes before this instance in the order of readers.
    pub from_earlier: bool,
}

/// All changes between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Lower bound, exclusive: the changes after this revision.
    pub before: u64,
    /// Changed rows.
    pub rows: Vec<WireRow>,
}

/// A row in the encoding used between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WireRow {
    key: String,
    value: Option<WireValue>,
    revision: u64,
}

/// Value of a row. UTF-8 is sent as text, since it compresses better than base64.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum WireValue {
    Text(String),
    Base64(String),
}

impl WireValue {
    fn new(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => WireValue::Text(text.to_owned()),
            Err(_) => WireValue::Base64(STANDARD.encode(bytes)),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        match self {
            WireValue::Text(text) => text.clone().into_bytes(),
            // Invalid base64 decodes to an empty value, which every follower rejects
            // as unreadable.
            WireValue::Base64(text) => STANDARD.decode(text).unwrap_or_default(),
        }
    }

    fn len(&self) -> usize {
        match self {
            WireValue::Text(text) | WireValue::Base64(text) => text.len(),
        }
    }
}

impl WireRow {
    fn new(row: &Row) -> Self {
        let value = row.value.as_deref().map(WireValue::new);
        WireRow { key: row.key.clone(), value, revision: row.revision }
    }

    fn row(&self) -> Row {
        let value = self.value.as_ref().map(WireValue::bytes);
        Row { key: self.key.clone(), value, revision: self.revision }
    }

    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, WireValue::len) + ROW_OVERHEAD_BYTES
    }
}

/// Splits changed rows, ordered by revision, into updates.
pub fn split_updates(
    table: &str,
    rows: &[Row],
    mut before: u64,
    known: KnownRevision,
    unsettled: bool,
) -> Vec<TableUpdate> {
    let mut rows: Vec<WireRow> = rows.iter().map(WireRow::new).collect();
    rows.sort_by_key(|row| row.revision);
    let mut updates = Vec::new();
    let mut remaining = rows.into_iter().peekable();
    while let Some(first) = remaining.next() {
        let (mut bytes, mut last) = (first.bytes(), first.revision);
        let mut rows = vec![first];
        // Rows of one transaction stay in the same update.
        let fits = |row: &WireRow, bytes, last| {
            row.revision == last || bytes + row.bytes() <= MAX_UPDATE_BYTES
        };
        while let Some(row) = remaining.next_if(|row| fits(row, bytes, last)) {
            (bytes, last) = (bytes + row.bytes(), row.revision);
            rows.push(row);
        }
        let is_last = remaining.peek().is_none();
        let covered = if is_last { known } else { KnownRevision { revision: last, changed: last } };
        let changes = Some(Changes { before, rows });
        let table = table.to_owned();
        updates.push(TableUpdate { table, known: covered, age_ms: 0, unsettled, changes });
        before = last;
    }
    updates
}
