//! The platform's services: table, objects, instance list, ratings.
//!
//! Each is a small trait. [`HttpPlatform`] meets them through the platform's
//! HTTP interface; docs/PLATFORM.md gives the wire format.

mod client;
mod list;
mod table;

pub use client::HttpPlatform;
pub use list::{Instance, Listing, Role};
pub use table::{
    Condition, Outcome, Page, Row, StoreError, Table, Transaction, Write, insert, replace,
};

use std::future::Future;

use bytes::Bytes;
use config::Name;
use serde::{Deserialize, Serialize};

/// Objects under the hash of their content.
pub trait Objects {
    /// Stores an object; storing it twice changes nothing.
    fn put(&self, hash: &str, body: Bytes) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads an object; `None` if there is none.
    fn get(&self, hash: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>> + Send;
}

/// The service that rates answers.
pub trait Ratings {
    /// Rates one answer from 0 to 1.
    fn rate(&self, sample: &Sample) -> impl Future<Output = Result<f64, StoreError>> + Send;
}

/// An answer that is to be rated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The route.
    pub route: Name,
    /// The version that answered.
    pub version: Name,
    /// The body of the request.
    pub request: String,
    /// The text of the answer.
    pub answer: String,
}
