//! The status server: readiness for the load balancer and metrics for operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::{Context, Result};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::body::ResponseBody;
use crate::gateway::Gateway;
use crate::metrics::TableLabel;

const METRICS_PATH: &str = "/metrics";

/// Binds `addr` and serves readiness at `ready_path` and metrics at `/metrics` in background
/// tasks.
pub async fn serve_status<D: 'static>(
    gateway: Rc<Gateway<D>>,
    addr: SocketAddr,
    ready_path: &'static str,
) -> Result<()> {
    let listener = TcpListener::bind(addr).await;
    let listener =
        listener.with_context(|| format!("failed to listen for readiness checks on {addr}"))?;
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let gateway = gateway.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let response = respond(&gateway, &request, ready_path);
                    async move { Ok::<_, Infallible>(response) }
                });
                let serving = http1::Builder::new()
                    .auto_date_header(false)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = serving.await {
                    log::debug!("status connection closed with an error: {error}");
                }
            });
        }
    });
    Ok(())
}

fn respond<D>(
    gateway: &Gateway<D>,
    request: &Request<Incoming>,
    ready_path: &str,
) -> Response<ResponseBody> {
    let (status, body) = match request.uri().path() {
        METRICS_PATH => (StatusCode::OK, encode_metrics(gateway)),
        path if path == ready_path && gateway.ready() => (StatusCode::OK, "ready".to_owned()),
        path if path == ready_path => (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    response
}

fn encode_metrics<D>(gateway: &Gateway<D>) -> String {
    for (table, age) in gateway.freshness.borrow().ages(gateway.now()) {
        let gauge = gateway.metrics.table_age.get_or_create(&TableLabel { table });
        gauge.set(age.as_secs_f64());
    }
    gateway.metrics.buffered_bytes.set(gateway.pool.memory().used() as i64);
    gateway.metrics.encode()
}
