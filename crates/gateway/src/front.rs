//! The callers' listener, and its orderly end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::exchange::handle;
use crate::gateway::{Gateway, Leaving};
use crate::record::record;
use crate::wire::Dialect;

/// The balancer asks once a second and takes an instance out after two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace an answer in flight is given up.
const END_MARGIN: Duration = Duration::from_millis(900);
/// How often a drain looks whether requests are open.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a request's head and of what is read ahead, at the most.
const READ_AHEAD: usize = 32 << 10;

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drained {
    /// Requests that were cut off.
    pub cut: i64,
}

/// The listener for callers.
pub struct Front<D> {
    gateway: Rc<Gateway<D>>,
    closing: CancellationToken,
}

impl<D: Dialect> Front<D> {
    /// Listens and serves until the process ends.
    pub async fn start(gateway: Rc<Gateway<D>>, addr: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.with_context(|| format!("callers' address {addr}"))?;
        let closing = CancellationToken::new();
        tokio::task::spawn_local(accept(gateway.clone(), listener, closing.clone()));
        Ok(Front { gateway, closing })
    }

    /// Says not ready, goes on serving until the balancer has noticed, then
    /// ends as soon as nothing is in flight, at the latest at the end of `grace`.
    pub async fn drain(self, grace: Duration) -> Drained {
        let start = Instant::now();
        let end = start + grace.saturating_sub(END_MARGIN);
        let now = self.gateway.now();
        let lag = BALANCER_LAG.min(grace / 3);
        let leaving =
            Leaving { choosy_from: now + lag, ends: now + grace.saturating_sub(END_MARGIN) };
        self.gateway.drain(leaving);
        record("draining", self.gateway.now(), json!({ "grace_ms": grace.as_millis() as u64 }));
        tokio::time::sleep(lag).await;
        self.closing.cancel();
        self.gateway.metrics.draining.set(1);
        tokio::time::sleep(DRAIN_LOOK).await;
        while self.gateway.metrics.open.get() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
        let cut = self.gateway.metrics.open.get();
        let fields = json!({ "cut": cut, "took_ms": start.elapsed().as_millis() as u64 });
        record("drained", self.gateway.now(), fields);
        Drained { cut }
    }
}

async fn accept<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    listener: TcpListener,
    closing: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(gateway.clone(), stream, closing.clone()));
            }
            Err(error) => {
                log::warn!("a caller's connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    stream: TcpStream,
    closing: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection keeps its delay: {error}");
    }
    let idle =
        gateway.catalog().map_or(Duration::from_secs(15), |catalog| catalog.limits.idle_timeout);
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(handle(gateway, request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!closing.is_cancelled())
        .header_read_timeout(idle)
        .max_buf_size(READ_AHEAD)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let late = closing.is_cancelled();
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = closing.cancelled(), if !late => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection ended: {error}");
    }
}
