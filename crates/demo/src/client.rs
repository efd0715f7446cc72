//! A small HTTP client for the demo's requests.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use conn::{Pool, Request, SendError};
use http_body_util::Full;

/// The longest answer, in bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// A client of one instance.
pub struct Client {
    addr: SocketAddr,
    pool: Pool,
}

/// An answer.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: String,
}

impl Reply {
    /// The text of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        Some(self.headers.get(name)?.to_str().ok()?.to_owned())
    }
}

impl Client {
    /// A client of the instance at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, pool: Pool::new() }
    }

    /// Reads a path.
    pub async fn get(&self, path: &str, key: &str) -> Result<Reply> {
        let request = self.request("GET", path, key).body(Full::new(Bytes::new()))?;
        self.send(request).await
    }

    /// Posts JSON to a path.
    pub async fn post(
        &self,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Reply> {
        let mut request =
            self.request("POST", path, key).header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
        self.send(request).await
    }

    fn request(&self, method: &str, path: &str, key: &str) -> http::request::Builder {
        let request = http::Request::builder().method(method).uri(path);
        let request = request.header("host", self.addr.to_string());
        request.header("authorization", format!("Bearer {key}"))
    }

    async fn send(&self, request: Request) -> Result<Reply> {
        let lease = self.pool.open(self.addr).await.context("connecting")?;
        let answer = match lease.send(request).await {
            Ok(answer) => answer,
            Err(SendError::Unsent(_)) => bail!("the connection was closed"),
            Err(SendError::Broken(error)) => return Err(error.into()),
        };
        let status = answer.head.status.as_u16();
        let headers = answer.head.headers.clone();
        let body = answer.collect(ANSWER_LIMIT).await?.context("the answer is too long")?;
        Ok(Reply { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
    }
}
