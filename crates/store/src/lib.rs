//! Clients for the platform's services: table, object store, instance list, ratings.
//!
//! Each service is a trait. [`HttpPlatform`] implements them over the platform's
//! HTTP interface; see docs/PLATFORM.md for the wire format.

mod client;
mod list;
mod table;

pub use client::HttpPlatform;
pub use list::{InstanceList, ListEntry, Role};
pub use table::{
    Condition, Page, Row, StoreError, Table, Transaction, TransactionOutcome, Write, insert,
    replace,
};

use std::future::Future;

use bytes::Bytes;
use config::Name;
use serde::{Deserialize, Serialize};

/// The content-addressed object store.
pub trait ObjectStore {
    /// Stores an object. Idempotent.
    fn put(&self, hash: &str, body: Bytes) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads an object; `None` if it does not exist.
    fn get(&self, hash: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;
}

/// The service that rates answers.
pub trait RatingService {
    /// Rates an answer between 0 and 1.
    fn rate(&self, sample: &RatingSample) -> impl Future<Output = Result<f64, StoreError>> + Send;
}

/// A request and its answer, to be rated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RatingSample {
    /// The route.
    pub route: Name,
    /// The version that answered.
    pub version: Name,
    /// The body of the request.
    pub request: String,
    /// The text of the answer.
    pub answer: String,
}
