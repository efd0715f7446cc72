//! A minimal HTTP client for the demo's requests.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use conn::{Pool, Request, SendError};
use http_body_util::Full;

/// The maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// An HTTP client for one instance.
pub struct Client {
    addr: SocketAddr,
    pool: Pool,
}

/// The response to a request.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: String,
}

impl Response {
    /// The value of a header; `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<String> {
        Some(self.headers.get(name)?.to_str().ok()?.to_owned())
    }
}

impl Client {
    /// Creates a client of the instance at `addr`, with its own connection pool.
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, pool: Pool::new() }
    }

    /// Sends a GET request, authorized by the API key `key`.
    pub async fn get(&self, path: &str, key: &str) -> Result<Response> {
        let request = self.request("GET", path, key).body(Full::new(Bytes::new()))?;
        self.send(request).await
    }

    /// Sends a POST request with a JSON body, authorized by the API key `key`.
    pub async fn post(
        &self,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response> {
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

    async fn send(&self, request: Request) -> Result<Response> {
        let lease = self.pool.open(self.addr).await.context("connecting")?;
        let response = match lease.send(request).await {
            Ok(response) => response,
            Err(SendError::Unsent(_)) => bail!("the connection was closed"),
            Err(SendError::Broken(error)) => return Err(error.into()),
        };
        let status = response.head.status.as_u16();
        let headers = response.head.headers.clone();
        let body =
            response.collect(MAX_RESPONSE_BYTES).await?.context("the response body is too long")?;
        Ok(Response { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
    }
}
