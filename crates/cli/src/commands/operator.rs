//! Calls to an instance's operators' listener.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use conn::{Pool, SendError};
use http_body_util::Full;

/// How long a call may take.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// The longest answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Reads a path of the listener.
pub async fn get(addr: SocketAddr, token: &str, path: &str) -> Result<Bytes> {
    let call = tokio::time::timeout(CALL_LIMIT, exchange(addr, token, path));
    call.await.with_context(|| format!("{addr} did not answer within {CALL_LIMIT:?}"))?
}

async fn exchange(addr: SocketAddr, token: &str, path: &str) -> Result<Bytes> {
    let request = http::Request::get(path)
        .header("host", addr.to_string())
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::new()))?;
    let lease = Pool::new().open(addr).await.with_context(|| format!("connecting to {addr}"))?;
    let answer = match lease.send(request).await {
        Ok(answer) => answer,
        Err(SendError::Unsent(_)) => bail!("{addr} closed the connection"),
        Err(SendError::Broken(error)) => return Err(error.into()),
    };
    let status = answer.head.status;
    let body = answer.collect(ANSWER_LIMIT).await?.context("the answer is too long")?;
    match status.as_u16() {
        200 => Ok(body),
        401 => bail!("{addr} does not take the token in --token-file"),
        _ => bail!("{addr} answered {status}"),
    }
}
