//! What the reader of a table tells the instances of its domain.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::follow::Row;

/// The bytes of rows in one word, beside a single row that is longer; they are
/// packed to a fifth or less, and go to many at once over links of a few
/// megabits a second.
const MOST_BYTES: usize = 16 << 10;
/// What a row takes beside its key and value, in bytes.
const ROW_BYTES: usize = 60;

/// Up to where a table is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The revision of the store as of which it is known.
    pub revision: u64,
    /// The revision of the last change that may concern the table.
    pub changed: u64,
}

impl Known {
    /// Takes changed rows up to a revision.
    pub fn advance(&mut self, rows: &[Row], revision: u64) {
        let last = rows.iter().map(|row| row.revision).max();
        self.changed = self.changed.max(last.unwrap_or_default());
        self.revision = self.revision.max(revision);
    }

    /// What a word adds to what is known; takes over its revision if nothing changed.
    pub fn missing(&mut self, word: &Word) -> Missing {
        if word.known.revision <= self.revision {
            return Missing::Nothing;
        }
        match &word.changes {
            Some(changes) if changes.before <= self.revision => {
                Missing::Told(changes.rows.iter().map(ToldRow::row).collect())
            }
            None if word.known.changed <= self.revision => {
                self.revision = word.known.revision;
                Missing::Nothing
            }
            Some(_) | None => Missing::Untold,
        }
    }
}

/// What a listener lacks when it hears a word.
#[derive(Debug, PartialEq, Eq)]
pub enum Missing {
    /// It knows as much.
    Nothing,
    /// These rows.
    Told(Vec<Row>),
    /// Rows that the word doesn't hold.
    Untold,
}

impl Missing {
    /// The name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Missing::Nothing => "known",
            Missing::Told(_) => "taken",
            Missing::Untold => "behind",
        }
    }
}

/// Word of what the store holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The table.
    pub table: String,
    /// Up to where the teller knows it.
    pub known: Known,
    /// How long ago the store answered the teller, in milliseconds.
    pub age_ms: u64,
    /// Whether entries that lapsed in an outage may still come back.
    pub unsettled: bool,
    /// What changed, where it fits into a datagram.
    pub changes: Option<Changes>,
}

/// A word as a listener gets it.
#[derive(Debug)]
pub(crate) struct Heard {
    /// The word.
    pub word: Word,
    /// Whether the teller comes before the listener in the order of readers.
    pub before: bool,
}

/// All changes between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Those behind this revision.
    pub before: u64,
    /// The rows.
    pub rows: Vec<ToldRow>,
}

/// A row as it is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ToldRow {
    key: String,
    value: Option<ToldValue>,
    revision: u64,
}

/// The bytes of a row: as text where they are, which packs better.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum ToldValue {
    Text(String),
    Base64(String),
}

impl ToldValue {
    fn new(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => ToldValue::Text(text.to_owned()),
            Err(_) => ToldValue::Base64(STANDARD.encode(bytes)),
        }
    }

    fn bytes(&self) -> Vec<u8> {
        match self {
            ToldValue::Text(text) => text.clone().into_bytes(),
            // What is not base64 is passed on as no bytes, which no reader takes.
            ToldValue::Base64(text) => STANDARD.decode(text).unwrap_or_default(),
        }
    }

    fn len(&self) -> usize {
        match self {
            ToldValue::Text(text) | ToldValue::Base64(text) => text.len(),
        }
    }
}

impl ToldRow {
    fn new(row: &Row) -> Self {
        let value = row.value.as_deref().map(ToldValue::new);
        ToldRow { key: row.key.clone(), value, revision: row.revision }
    }

    fn row(&self) -> Row {
        let value = self.value.as_ref().map(ToldValue::bytes);
        Row { key: self.key.clone(), value, revision: self.revision }
    }

    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, ToldValue::len) + ROW_BYTES
    }
}

/// The words that tell changed rows, in order.
pub fn words_of(
    table: &str,
    rows: &[Row],
    mut before: u64,
    known: Known,
    unsettled: bool,
) -> Vec<Word> {
    let mut rows: Vec<ToldRow> = rows.iter().map(ToldRow::new).collect();
    rows.sort_by_key(|row| row.revision);
    let mut words = Vec::new();
    let mut left = rows.into_iter().peekable();
    while let Some(first) = left.next() {
        let (mut bytes, mut last) = (first.bytes(), first.revision);
        let mut rows = vec![first];
        // Rows of one transaction are not told apart.
        let fits =
            |row: &ToldRow, bytes, last| row.revision == last || bytes + row.bytes() <= MOST_BYTES;
        while let Some(row) = left.next_if(|row| fits(row, bytes, last)) {
            (bytes, last) = (bytes + row.bytes(), row.revision);
            rows.push(row);
        }
        let whole = left.peek().is_none();
        let upto = if whole { known } else { Known { revision: last, changed: last } };
        let changes = Some(Changes { before, rows });
        let table = table.to_owned();
        words.push(Word { table, known: upto, age_ms: 0, unsettled, changes });
        before = last;
    }
    words
}
