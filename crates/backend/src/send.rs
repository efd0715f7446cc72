//! Sending a request to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use conn::{IncomingResponse, Lease, Pool, Request, SendError};
use error::{Kind, NotRunProof};
use policy::{Failure, RequestId};

/// The header that carries the request's id and that the answer echoes.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header by which a backend server says that it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Connections to backend servers.
#[derive(Debug, Clone, Default)]
pub struct Backends {
    pool: Pool,
}

impl Backends {
    /// No connections yet.
    pub fn new() -> Self {
        Backends::default()
    }

    /// A connection for a call that may be repeated; it may have been idle.
    pub async fn lease(&self, addr: SocketAddr) -> Result<Lease, Failure> {
        self.pool.lease(addr).await.map_err(|_| Failure::Unsent)
    }

    /// A new connection, which proves that the server can be reached.
    pub async fn prove(&self, addr: SocketAddr) -> Result<Lease, Failure> {
        self.pool.open(addr).await.map_err(|_| Failure::Unsent)
    }

    /// Writes the request and waits for the head of its own answer.
    ///
    /// `confirm` is asked right before the first byte is written. An answer
    /// with another request's id is dropped together with its connection.
    pub async fn send(
        &self,
        lease: Lease,
        request: Request,
        id: RequestId,
        proof: &NotRunProof,
        confirm: impl Fn() -> Result<(), Kind>,
        limit: Duration,
    ) -> Result<IncomingResponse, Failure> {
        let addr = lease.addr();
        let sending = self.write(lease, request, proof, confirm);
        let answer = match tokio::time::timeout(limit, sending).await {
            Ok(answer) => answer?,
            Err(_) => {
                // Idle connections to the same server may be as silent as this one.
                self.pool.evict(addr);
                return Err(Failure::Silent);
            }
        };
        let echoed = answer.head.headers.get(REQUEST_ID_HEADER);
        match echoed.is_some_and(|echo| echo.as_bytes() == id.to_string().as_bytes()) {
            true => Ok(answer),
            false => Err(Failure::Mismatch),
        }
    }

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
                confirm().map_err(Failure::Forbidden)?;
                let permit = proof.permit_write().ok_or(Failure::Forbidden(Kind::Timeout))?;
                match lease.send(request).await {
                    Ok(answer) => return Ok(answer),
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
            lease = self.prove(addr).await?;
        }
    }
}
