//! Lists in JSON of which single entries may be unreadable.
//!
//! Several programs write to a table or list. An entry that can't be read, because it is nested
//! too deeply or holds a number that is too large, must not make the others unreadable.

use std::collections::BTreeSet;
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Maximum length of the text by which an unreadable entry is reported, in characters.
const MAX_REPORTED_CHARS: usize = 120;

/// The readable entries of a list, and what is to be said of the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Readable<T> {
    /// The entries that can be read.
    pub entries: Vec<T>,
    /// The others.
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadableEntry {
    /// The beginning of its text.
    pub text: String,
    /// What is wrong with it.
    pub reason: String,
}

impl<T> Default for Readable<T> {
    fn default() -> Self {
        Readable { entries: Vec::new(), unreadable: Vec::new() }
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Readable<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut readable = Readable::default();
        for raw in Vec::<Box<RawValue>>::deserialize(deserializer)? {
            match serde_json::from_str(raw.get()) {
                Ok(entry) => readable.entries.push(entry),
                Err(error) => readable.unreadable.push(UnreadableEntry {
                    text: raw.get().chars().take(MAX_REPORTED_CHARS).collect(),
                    reason: error.to_string(),
                }),
            }
        }
        Ok(readable)
    }
}

/// Maximum number of unreadable entries that are remembered.
const MAX_REMEMBERED: usize = 1_000;

/// Unreadable entries that were logged, so that each is logged once.
#[derive(Debug, Default)]
pub struct ReportedEntries {
    reported: BTreeSet<(String, String)>,
}

impl ReportedEntries {
    /// Logs an entry of a table or list that can't be read, once. Stops logging when there are
    /// too many.
    pub fn report(&mut self, table: &str, entry: &str, reason: &dyn fmt::Display) {
        if self.reported.len() < MAX_REMEMBERED
            && self.reported.insert((table.to_owned(), entry.to_owned()))
        {
            log::warn!("an entry of {table} can't be read and is left out: {entry}: {reason}");
        }
    }

    /// The same for all unreadable entries of a list.
    pub fn report_all(&mut self, table: &str, entries: &[UnreadableEntry]) {
        for entry in entries {
            self.report(table, &entry.text, &entry.reason);
        }
    }
}

/// Parses JSON. Bytes that are no text become replacement characters, so that they concern the
/// string that holds them only.
pub fn parse_lossy<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_str(&String::from_utf8_lossy(bytes))
}

/// Deserializes a value that may be nested too deeply or hold numbers that are too large; null
/// if it can't be read.
pub fn value_or_null<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<serde_json::Value, D::Error> {
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or_default())
}
