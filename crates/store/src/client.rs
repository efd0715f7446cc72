//! An HTTP client for the platform's services.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use config::{Readable, ReportedEntries, parse_lossy};
use conn::{Pool, SendError};
use http::{Method, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::list::{InstanceList, ListEntry};
use crate::table::{Page, Row, StoreError, Table, Transaction, TransactionOutcome};
use crate::{ObjectStore, RatingSample, RatingService};

/// The timeout of a call to the table, the object store or the instance list.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The timeout of a rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client of the platform. Clones share a connection pool.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    addr: SocketAddr,
    pool: Pool,
    reported: Arc<Mutex<ReportedEntries>>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        HttpPlatform { addr, pool: Pool::new(), reported: Arc::default() }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let body = serde_json::to_vec(body).map_err(|e| StoreError::Refused(e.to_string()))?;
        let (status, body) = self.call(Method::POST, path, body.into(), timeout).await?;
        if status != StatusCode::OK {
            return Err(StoreError::Refused(format!("status {status}")));
        }
        parse_lossy(&body).map_err(|e| StoreError::Unknown(e.to_string()))
    }

    /// Returns the readable entries of a list, and logs the others.
    fn readable<T>(&self, table: &str, list: Readable<T>) -> Vec<T> {
        self.reported.lock().unwrap().report_all(table, &list.unreadable);
        list.entries
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        match tokio::time::timeout(timeout, self.exchange(method, path, body)).await {
            Ok(result) => result,
            Err(_) => {
                // The connection may be dead, so the next call opens a new one.
                self.pool.evict(self.addr);
                Err(StoreError::Unknown(format!("no reply within {timeout:?}")))
            }
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| StoreError::Refused(e.to_string()))?;
        let lease = self.pool.lease(self.addr).await.map_err(refused)?;
        let response = match lease.send(request).await {
            Ok(response) => response,
            Err(SendError::Unsent(request)) => self.send_on_new_connection(*request).await?,
            Err(SendError::Broken(error)) => return Err(StoreError::Unknown(error.to_string())),
        };
        let status = response.head.status;
        let body = response.collect(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| StoreError::Unknown(e.to_string()))?;
        let body =
            body.ok_or_else(|| StoreError::Unknown("the response body is too long".to_owned()))?;
        Ok((status, body))
    }

    async fn send_on_new_connection(
        &self,
        request: conn::Request,
    ) -> Result<conn::IncomingResponse, StoreError> {
        let lease = self.pool.open(self.addr).await.map_err(refused)?;
        match lease.send(request).await {
            Ok(response) => Ok(response),
            Err(SendError::Unsent(_)) => {
                Err(StoreError::Refused("the connection was closed".to_owned()))
            }
            Err(SendError::Broken(error)) => Err(StoreError::Unknown(error.to_string())),
        }
    }
}

fn refused(error: std::io::Error) -> StoreError {
    StoreError::Refused(error.to_string())
}

#[derive(Serialize)]
struct ReadBody<'a> {
    keys: &'a [&'a str],
}

#[derive(Serialize)]
struct ScanBody<'a> {
    prefix: &'a str,
    after: &'a str,
}

#[derive(Deserialize)]
struct ScanReply {
    rows: Readable<Row>,
    more: bool,
}

impl Table for HttpPlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        self.post("/table/transact", transaction, CALL_TIMEOUT).await
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, StoreError> {
        let rows = self.post("/table/read", &ReadBody { keys }, CALL_TIMEOUT).await?;
        Ok(self.readable("the table", rows))
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        let body = ScanBody { prefix, after };
        let page: ScanReply = self.post("/table/scan", &body, CALL_TIMEOUT).await?;
        Ok(Page { rows: self.readable("the table", page.rows), more: page.more })
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, hash: &str, body: Bytes) -> Result<(), StoreError> {
        let path = format!("/objects/{hash}");
        let (status, _) = self.call(Method::PUT, &path, body, CALL_TIMEOUT).await?;
        match status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            status => Err(StoreError::Refused(format!("status {status}"))),
        }
    }

    async fn get(&self, hash: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/objects/{hash}");
        match self.call(Method::GET, &path, Bytes::new(), CALL_TIMEOUT).await? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(StoreError::Refused(format!("status {status}"))),
        }
    }
}

impl InstanceList for HttpPlatform {
    async fn list(&self) -> Result<Vec<ListEntry>, StoreError> {
        let (status, body) = self.call(Method::GET, "/list", Bytes::new(), CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(StoreError::Refused(format!("status {status}")));
        }
        let list = parse_lossy(&body).map_err(|e| StoreError::Unknown(e.to_string()))?;
        Ok(self.readable("the list", list))
    }
}

impl RatingService for HttpPlatform {
    async fn rate(&self, sample: &RatingSample) -> Result<f64, StoreError> {
        self.post("/rate", sample, RATING_TIMEOUT).await
    }
}
