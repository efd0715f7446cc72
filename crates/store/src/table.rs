//! The platform's transactional key-value table.

use std::fmt;
use std::future::Future;

use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Increases with every write to the key; 0 if the row does not exist.
    pub version: u64,
    /// The value; null if it can't be read.
    #[serde(deserialize_with = "config::value_or_null")]
    pub value: serde_json::Value,
}

/// A precondition of a transaction: the row has the given version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The expected version; 0 if the row must not exist.
    pub version: u64,
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The preconditions.
    pub conditions: Vec<Condition>,
    /// The writes to apply.
    pub writes: Vec<Write>,
}

/// Creates a transaction that inserts a row unless it exists.
pub fn insert(key: impl Into<String>, value: serde_json::Value) -> Transaction {
    replace(key, 0, Some(value))
}

/// Creates a transaction that replaces a row if it has the given version, or
/// deletes it if `value` is `None`.
pub fn replace(
    key: impl Into<String>,
    version: u64,
    value: Option<serde_json::Value>,
) -> Transaction {
    let key = key.into();
    let condition = Condition { key: key.clone(), version };
    Transaction { conditions: vec![condition], writes: vec![Write { key, value }] }
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactionOutcome {
    /// Whether the writes were applied.
    pub applied: bool,
    /// The rows that the conditions name, as they are after the transaction.
    ///
    /// Missing rows have version 0.
    pub rows: Vec<Row>,
}

/// A page of a scan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The rows, sorted by key.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

/// An error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call failed without taking effect.
    Refused(String),
    /// There was no valid reply; a write may have taken effect.
    Unknown(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(reason) => write!(f, "the platform call failed: {reason}"),
            StoreError::Unknown(reason) => write!(f, "no valid reply from the platform: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The table service.
pub trait Table {
    /// Applies a transaction if its conditions hold.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome, StoreError>> + Send;

    /// Reads rows. Missing rows have version 0.
    fn read(&self, keys: &[&str]) -> impl Future<Output = Result<Vec<Row>, StoreError>> + Send;

    /// Reads a page of the rows whose keys start with `prefix` and sort after `after`.
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
