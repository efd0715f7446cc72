//! What the followers of the store's tables ask of the store, and what they give to those
//! that use the rows.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use crate::table::Row;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call was rejected with this status and had no effect.
    Refused(u16),
    /// No answer arrived; a write may have taken effect, or may still do so.
    Unknown(String),
    /// The history requested by a feed has been compacted.
    Compacted,
}

impl StoreError {
    /// Returns the label value in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            StoreError::Refused(_) => "refused",
            StoreError::Unknown(_) => "unanswered",
            StoreError::Compacted => "compacted",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(status) => write!(f, "refused with {status}"),
            StoreError::Unknown(reason) => write!(f, "no answer: {reason}"),
            StoreError::Compacted => f.write_str("the requested history was compacted"),
        }
    }
}

/// Rows as of one revision.
#[derive(Debug)]
pub struct Page {
    /// Rows.
    pub rows: Vec<Row>,
    /// Newest revision of the store, from which a feed continues.
    pub revision: u64,
    /// Monotonic clock of the store, in milliseconds.
    pub now_ms: u64,
    /// Whether there are more rows.
    pub more: bool,
}

/// Access to tables that can be read and followed.
pub trait Tables {
    /// Reads a whole table.
    fn read(&self, table: &str) -> impl Future<Output = Result<Page, StoreError>>;

    /// Whether a feed can continue after a revision, as far as is known: not if the store has
    /// come back from an older copy since.
    fn continues(&self, since: u64) -> bool;

    /// Closes idle connections, which may be unresponsive; later calls open new ones.
    fn reconnect(&self);

    /// Waits up to `wait` for changes of a table after revision `since`.
    fn feed(
        &self,
        table: &str,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>>;
}

/// Receives the rows of a followed table.
pub trait Follower {
    /// How long a follower with its own feed pauses after changes, so that further ones
    /// are read together.
    const BATCH_WINDOW: Duration;

    /// Replaces all rows of the table; `after_outage` if calls failed just before.
    fn replace(&mut self, rows: Vec<Row>, after_outage: bool) -> impl Future<Output = ()>;

    /// Applies changed rows.
    fn change(&mut self, rows: Vec<Row>, after_outage: bool) -> impl Future<Output = ()>;
}
