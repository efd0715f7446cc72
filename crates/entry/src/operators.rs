//! The operators' listener: status, dump and metrics, behind a token.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use anyhow::{Context, Result, anyhow};
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext, ServerBuilder,
    endpoint,
};
use http::{HeaderMap, Response, StatusCode, header};
use kernel::RunningServices;
use router::Shared;
use serde_json::json;
use subtle::ConstantTimeEq;

/// What the operators' handlers use.
pub struct Operators {
    shared: Shared,
    token: String,
    running: OnceLock<Arc<RunningServices>>,
}

impl Operators {
    /// Makes the context; `token` is what operators must show.
    pub fn new(shared: Shared, token: String) -> Self {
        Operators { shared, token, running: OnceLock::new() }
    }

    /// Sets the services whose state is dumped; done once at start.
    pub fn watch(&self, running: Arc<RunningServices>) {
        let _ = self.running.set(running);
    }

    fn admits(&self, headers: &HeaderMap) -> bool {
        let shown = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let shown = shown.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
        shown.as_bytes().ct_eq(self.token.as_bytes()).into()
    }
}

/// The running listener.
pub type Server = HttpServer<Arc<Operators>>;

/// Binds the address and starts to serve operators.
pub fn start(addr: SocketAddr, context: Arc<Operators>, log: &slog::Logger) -> Result<Server> {
    let mut api = ApiDescription::new();
    api.register(get_status)?;
    api.register(get_dump)?;
    api.register(get_metrics)?;
    let config = ConfigDropshot { bind_address: addr, ..ConfigDropshot::default() };
    let server = ServerBuilder::new(api, context, log.clone()).config(config).start();
    server.map_err(|error| anyhow!("{error}")).with_context(|| format!("--operators {addr}"))
}

type Request = RequestContext<Arc<Operators>>;

/// A short summary of the instance.
#[endpoint { method = GET, path = "/status" }]
async fn get_status(rqctx: Request) -> Result<Response<Body>, HttpError> {
    answer(&rqctx, "application/json", |operators| {
        let shared = &operators.shared;
        let status = shared.router.with_core(|core, now| core.status(now));
        json!({
            "instance": shared.instance,
            "domain": shared.domain,
            "incarnation": shared.incarnation,
            "version": env!("CARGO_PKG_VERSION"),
            "standing": status.standing,
            "config_number": status.config_number,
            "draining": status.draining,
            "open_requests": status.open,
            "halts": status.halts,
            "peers_alive": status.peers.len(),
            "bills": shared.bills.status(),
        })
        .to_string()
    })
}

/// The state of every service.
#[endpoint { method = GET, path = "/dump" }]
async fn get_dump(rqctx: Request) -> Result<Response<Body>, HttpError> {
    answer(&rqctx, "application/json", |operators| {
        let dump = operators.running.get().map(|running| running.dump());
        dump.unwrap_or_default().to_string()
    })
}

/// The metrics in the OpenMetrics text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    answer(&rqctx, content_type, |operators| operators.shared.metrics.encode())
}

fn answer(
    rqctx: &Request,
    content_type: &str,
    body: impl FnOnce(&Operators) -> String,
) -> Result<Response<Body>, HttpError> {
    let operators = rqctx.context();
    let (status, content_type, body) = match operators.admits(rqctx.request.headers()) {
        true => (StatusCode::OK, content_type, body(operators)),
        false => (StatusCode::UNAUTHORIZED, "text/plain", "a token is needed\n".to_owned()),
    };
    let response = Response::builder().status(status).header(header::CONTENT_TYPE, content_type);
    response.body(Body::from(body)).map_err(|e| HttpError::for_internal_error(e.to_string()))
}
