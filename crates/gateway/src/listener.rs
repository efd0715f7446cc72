//! The listener for callers and its graceful shutdown.

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

use crate::event_log::log_event;
use crate::exchange::respond;
use crate::gateway::{DrainSchedule, Gateway};
use crate::wire::Dialect;

/// How long the load balancer may keep sending requests after readiness fails.
///
/// It polls once per second and removes an instance after two failed checks.
const BALANCER_DETECTION_DELAY: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period open requests are aborted.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(900);
/// How long the process stays afterwards, so that callers receive the answers to those requests.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// The interval at which a drain checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of the read buffer of a connection, which also limits the size of a request
/// head.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// The result of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainOutcome {
    /// The number of requests that were still open and are aborted.
    pub aborted: i64,
}

/// The listener for callers.
pub struct Listener<D> {
    gateway: Rc<Gateway<D>>,
    closing: CancellationToken,
}

impl<D: Dialect> Listener<D> {
    /// Binds `addr` and serves connections in background tasks.
    pub async fn start(gateway: Rc<Gateway<D>>, addr: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(addr).await;
        let listener =
            listener.with_context(|| format!("failed to listen for callers on {addr}"))?;
        let closing = CancellationToken::new();
        tokio::task::spawn_local(accept(gateway.clone(), listener, closing.clone()));
        Ok(Listener { gateway, closing })
    }

    /// Shuts down gracefully.
    ///
    /// Readiness fails immediately, but connections are served as before until the load
    /// balancer has had time to notice. After that, connections are closed after their current
    /// request, and requests that might end too late are refused. The drain completes once no
    /// requests are open, or shortly before `grace` runs out. What is still open then is
    /// answered: requests that were not sent are refused as not run, others as perhaps run, and
    /// streams break off.
    pub async fn drain(self, grace: Duration) -> DrainOutcome {
        let start = Instant::now();
        let end = start + grace.saturating_sub(SHUTDOWN_MARGIN);
        let now = self.gateway.now();
        let detection_delay = BALANCER_DETECTION_DELAY.min(grace / 3);
        let schedule = DrainSchedule {
            refuse_late_from: now + detection_delay,
            cutoff: now + grace.saturating_sub(SHUTDOWN_MARGIN),
        };
        self.gateway.drain(schedule);
        log_event("draining", self.gateway.now(), json!({ "grace_ms": grace.as_millis() as u64 }));
        tokio::time::sleep(detection_delay).await;
        self.closing.cancel();
        self.gateway.metrics.draining.set(1);
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        while self.gateway.metrics.open_requests.get() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let aborted = self.gateway.metrics.open_requests.get();
        if aborted > 0 {
            self.gateway.cutoff.cancel();
            tokio::time::sleep(FINAL_ANSWERS_TIME).await;
        }
        let fields = json!({ "cut": aborted, "took_ms": start.elapsed().as_millis() as u64 });
        log_event("drained", self.gateway.now(), fields);
        DrainOutcome { aborted }
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
                tokio::task::spawn_local(serve_connection(
                    gateway.clone(),
                    stream,
                    closing.clone(),
                ));
            }
            Err(error) => {
                log::warn!("failed to accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    stream: TcpStream,
    closing: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY on a caller's connection: {error}");
    }
    let idle =
        gateway.catalog().map_or(Duration::from_secs(15), |catalog| catalog.limits.idle_timeout);
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(respond(gateway, request, None).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!closing.is_cancelled())
        .header_read_timeout(idle)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let already_closing = closing.is_cancelled();
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = closing.cancelled(), if !already_closing => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection closed with an error: {error}");
    }
}
