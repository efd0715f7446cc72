//! An HTTP client for the operators' listener of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use conn::{Pool, SendError};
use http_body_util::Full;

/// The timeout of a request, including connecting and reading the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Sends a GET request, authorized by `token`, and returns the response body.
pub async fn get(addr: SocketAddr, token: &str, path: &str) -> Result<Bytes> {
    let response = tokio::time::timeout(REQUEST_TIMEOUT, send_request(addr, token, path));
    response.await.with_context(|| format!("{addr} did not respond within {REQUEST_TIMEOUT:?}"))?
}

async fn send_request(addr: SocketAddr, token: &str, path: &str) -> Result<Bytes> {
    let request = http::Request::get(path)
        .header("host", addr.to_string())
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::new()))?;
    let lease =
        Pool::new().open(addr).await.with_context(|| format!("failed to connect to {addr}"))?;
    let response = match lease.send(request).await {
        Ok(response) => response,
        Err(SendError::Unsent(_)) => bail!("{addr} closed the connection"),
        Err(SendError::Broken(error)) => return Err(error.into()),
    };
    let status = response.head.status;
    let body =
        response.collect(MAX_RESPONSE_BYTES).await?.context("the response body is too long")?;
    match status.as_u16() {
        200 => Ok(body),
        401 => bail!("{addr} rejected the token in --token-file"),
        _ => bail!("{addr} responded with status {status}"),
    }
}
