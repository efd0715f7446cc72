//! The transactional table.

use std::fmt;
use std::future::Future;

use serde::{Deserialize, Serialize};

/// One row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Grows with every write to the key; 0 where there is no row.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// A condition of a transaction: the row has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version; 0 for "no row".
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// Writes that take effect together if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// A transaction that inserts a row which must not exist.
pub fn insert(key: impl Into<String>, value: serde_json::Value) -> Transaction {
    replace(key, 0, Some(value))
}

/// A transaction that replaces or deletes the row of a version.
pub fn replace(
    key: impl Into<String>,
    version: u64,
    value: Option<serde_json::Value>,
) -> Transaction {
    let key = key.into();
    let condition = Condition { key: key.clone(), version };
    Transaction { conditions: vec![condition], writes: vec![Write { key, value }] }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the writes took effect.
    pub applied: bool,
    /// The rows of the conditions' keys afterwards; absent ones have version 0.
    pub rows: Vec<Row>,
}

/// One page of a scan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The rows in order of their keys.
    pub rows: Vec<Row>,
    /// Whether there are more after the last one.
    pub more: bool,
}

/// Why a call to the platform has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call was refused before it took effect.
    Refused(String),
    /// No reply came; a write may have taken effect.
    Unknown(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(why) => write!(f, "the platform refused: {why}"),
            StoreError::Unknown(why) => write!(f, "no reply from the platform: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The table service.
pub trait Table {
    /// Applies a transaction.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Outcome, StoreError>> + Send;

    /// Reads rows; absent ones have version 0.
    fn read(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<Row>, StoreError>> + Send;

    /// Reads a page of the rows whose keys start with `prefix`, after `after`.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Reads all rows whose keys start with `prefix`.
    fn scan_all(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, StoreError>> + Send
    where
        Self: Sync,
    {
        async move {
            let mut rows: Vec<Row> = Vec::new();
            loop {
                let after = rows.last().map_or(String::new(), |row| row.key.clone());
                let page = self.scan(prefix, &after).await?;
                let more = page.more && !page.rows.is_empty();
                rows.extend(page.rows);
                if !more {
                    return Ok(rows);
                }
            }
        }
    }
}
