//! Sends requests to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use conn::{IncomingResponse, Lease, Pool, Request, SendError};
use error::{Kind, NotRunProof};
use policy::{Failure, RequestId};

/// The header that carries the request id; backend servers echo it in the
/// response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with which a backend server announces that it is draining.
pub const LEAVING_HEADER: &str = "x-leaving";

/// A client for backend servers, with a connection pool. Clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct BackendClient {
    pool: Pool,
}

impl BackendClient {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        BackendClient::default()
    }

    /// Returns a pooled or new connection, for a request that may be retried.
    ///
    /// A pooled connection may turn out to be closed or unresponsive.
    pub async fn lease(&self, addr: SocketAddr) -> Result<Lease, Failure> {
        self.pool.lease(addr).await.map_err(|_| Failure::Unsent)
    }

    /// Opens a new connection; success shows that the server is reachable.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Lease, Failure> {
        self.pool.open(addr).await.map_err(|_| Failure::Unsent)
    }

    /// Sends the request and waits for the response head.
    ///
    /// `confirm` is called immediately before the request is written, and can
    /// still prevent the write. A response with a different request id is
    /// dropped together with its connection.
    pub async fn send(
        &self,
        lease: Lease,
        request: Request,
        id: RequestId,
        proof: &NotRunProof,
        confirm: impl Fn() -> Result<(), Kind>,
        timeout: Duration,
    ) -> Result<IncomingResponse, Failure> {
        let addr = lease.addr();
        let sending = self.write(lease, request, proof, confirm);
        let response = match tokio::time::timeout(timeout, sending).await {
            Ok(response) => response?,
            Err(_) => {
                // Other idle connections to this server may be unresponsive too.
                self.pool.evict(addr);
                return Err(Failure::TimedOut);
            }
        };
        let echoed = response.head.headers.get(REQUEST_ID_HEADER);
        match echoed.is_some_and(|echo| echo.as_bytes() == id.to_string().as_bytes()) {
            true => Ok(response),
            false => Err(Failure::Mismatch),
        }
    }

    /// Writes the request. If nothing was written because a pooled connection
    /// was closed, retries once on a new connection.
    async fn write(
        &self,
        mut lease: Lease,
        mut request: Request,
        proof: &NotRunProof,
        confirm: impl Fn() -> Result<(), Kind>,
    ) -> Result<IncomingResponse, Failure> {
        loop {
            let reused = lease.reused();
            let addr = lease.addr();
            if lease.ready().await {
                confirm().map_err(Failure::SendRefused)?;
                let permit = proof.permit_write().ok_or(Failure::SendRefused(Kind::Timeout))?;
                match lease.send(request).await {
                    Ok(response) => return Ok(response),
                    Err(SendError::Broken(_)) => return Err(Failure::Crashed),
                    Err(SendError::Unsent(unsent)) => {
                        permit.cancel();
                        request = *unsent;
                    }
                }
            }
            if !reused {
                return Err(Failure::Unsent);
            }
            lease = self.connect(addr).await?;
        }
    }
}
