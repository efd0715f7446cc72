//! The platform over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use conn::{Pool, SendError};
use http::{Method, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::list::{Instance, Listing};
use crate::table::{Outcome, Page, Row, StoreError, Table, Transaction};
use crate::{Objects, Ratings, Sample};

/// How long a call to table, objects or list may take.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a rating may take.
const RATING_LIMIT: Duration = Duration::from_secs(30);
/// The longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// A client of the platform; clones share their connections.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    addr: SocketAddr,
    pool: Pool,
}

impl HttpPlatform {
    /// A client of the platform at an address.
    pub fn new(addr: SocketAddr) -> Self {
        HttpPlatform { addr, pool: Pool::new() }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, StoreError> {
        let body = serde_json::to_vec(body).map_err(|e| StoreError::Refused(e.to_string()))?;
        let answer = self.call(Method::POST, path, body.into(), limit).await?;
        let (status, body) = answer;
        if status != StatusCode::OK {
            return Err(StoreError::Refused(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|e| StoreError::Unknown(e.to_string()))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        match tokio::time::timeout(limit, self.exchange(method, path, body)).await {
            Ok(result) => result,
            Err(_) => {
                // The connection may have gone silent: the next call opens a new one.
                self.pool.evict(self.addr);
                Err(StoreError::Unknown(format!("no reply within {limit:?}")))
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
        let answer = match lease.send(request).await {
            Ok(answer) => answer,
            Err(SendError::Unsent(request)) => self.send_anew(*request).await?,
            Err(SendError::Broken(error)) => return Err(StoreError::Unknown(error.to_string())),
        };
        let status = answer.head.status;
        let body = answer.collect(ANSWER_LIMIT).await;
        let body = body.map_err(|e| StoreError::Unknown(e.to_string()))?;
        let body = body.ok_or_else(|| StoreError::Unknown("the answer is too long".to_owned()))?;
        Ok((status, body))
    }

    async fn send_anew(
        &self,
        request: conn::Request,
    ) -> Result<conn::IncomingResponse, StoreError> {
        let lease = self.pool.open(self.addr).await.map_err(refused)?;
        match lease.send(request).await {
            Ok(answer) => Ok(answer),
            Err(SendError::Unsent(_)) => Err(StoreError::Refused("connection closed".to_owned())),
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

impl Table for HttpPlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome, StoreError> {
        self.post("/table/transact", transaction, CALL_LIMIT).await
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, StoreError> {
        self.post("/table/read", &ReadBody { keys }, CALL_LIMIT).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        self.post("/table/scan", &ScanBody { prefix, after }, CALL_LIMIT).await
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, hash: &str, body: Bytes) -> Result<(), StoreError> {
        let path = format!("/objects/{hash}");
        let (status, _) = self.call(Method::PUT, &path, body, CALL_LIMIT).await?;
        match status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            status => Err(StoreError::Refused(format!("status {status}"))),
        }
    }

    async fn get(&self, hash: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/objects/{hash}");
        match self.call(Method::GET, &path, Bytes::new(), CALL_LIMIT).await? {
            (StatusCode::OK, body) => Ok(Some(body)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(StoreError::Refused(format!("status {status}"))),
        }
    }
}

impl Listing for HttpPlatform {
    async fn list(&self) -> Result<Vec<Instance>, StoreError> {
        let (status, body) = self.call(Method::GET, "/list", Bytes::new(), CALL_LIMIT).await?;
        if status != StatusCode::OK {
            return Err(StoreError::Refused(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|e| StoreError::Unknown(e.to_string()))
    }
}

impl Ratings for HttpPlatform {
    async fn rate(&self, sample: &Sample) -> Result<f64, StoreError> {
        self.post("/rate", sample, RATING_LIMIT).await
    }
}
