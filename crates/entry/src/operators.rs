//! The HTTP listener for operators: status, dump and metrics, authenticated by a token.

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

/// The context of the operators' handlers.
pub struct OperatorContext {
    shared: Shared,
    token: String,
    services: OnceLock<Arc<RunningServices>>,
}

impl OperatorContext {
    /// Creates the context; operators must present `token`.
    pub fn new(shared: Shared, token: String) -> Self {
        OperatorContext { shared, token, services: OnceLock::new() }
    }

    /// Sets the services whose state is dumped. Called once during startup.
    pub fn set_services(&self, services: Arc<RunningServices>) {
        let _ = self.services.set(services);
    }

    /// Whether the request carries the operators' token.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let token = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token = token.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or("");
        token.as_bytes().ct_eq(self.token.as_bytes()).into()
    }
}

/// The running listener.
pub type Server = HttpServer<Arc<OperatorContext>>;

/// Binds the address and starts serving operators.
pub fn start(
    addr: SocketAddr,
    context: Arc<OperatorContext>,
    log: &slog::Logger,
) -> Result<Server> {
    let mut api = ApiDescription::new();
    api.register(get_status)?;
    api.register(get_dump)?;
    api.register(get_metrics)?;
    let config = ConfigDropshot { bind_address: addr, ..ConfigDropshot::default() };
    let server = ServerBuilder::new(api, context, log.clone()).config(config).start();
    server.map_err(|error| anyhow!("{error}")).with_context(|| format!("--operators {addr}"))
}

type Request = RequestContext<Arc<OperatorContext>>;

/// Returns a summary of the instance's state.
#[endpoint { method = GET, path = "/status" }]
async fn get_status(rqctx: Request) -> Result<Response<Body>, HttpError> {
    respond(&rqctx, "application/json", |operators| {
        let shared = &operators.shared;
        let status = shared.router.with_core(|core, now| core.status(now));
        json!({
            "instance": shared.instance,
            "domain": shared.domain,
            "incarnation": shared.incarnation,
            "version": env!("CARGO_PKG_VERSION"),
            "standing": status.freshness,
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

/// Returns the state of all services.
#[endpoint { method = GET, path = "/dump" }]
async fn get_dump(rqctx: Request) -> Result<Response<Body>, HttpError> {
    respond(&rqctx, "application/json", |operators| {
        let dump = operators.services.get().map(|services| services.dump());
        dump.unwrap_or_default().to_string()
    })
}

/// Returns the metrics in the OpenMetrics text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    respond(&rqctx, content_type, |operators| operators.shared.metrics.encode())
}

/// Builds the response of an authorized request, or a 401 response.
fn respond(
    rqctx: &Request,
    content_type: &str,
    body: impl FnOnce(&OperatorContext) -> String,
) -> Result<Response<Body>, HttpError> {
    let operators = rqctx.context();
    let (status, content_type, body) = match operators.is_authorized(rqctx.request.headers()) {
        true => (StatusCode::OK, content_type, body(operators)),
        false => (StatusCode::UNAUTHORIZED, "text/plain", "a token is needed\n".to_owned()),
    };
    let response = Response::builder().status(status).header(header::CONTENT_TYPE, content_type);
    response.body(Body::from(body)).map_err(|e| HttpError::for_internal_error(e.to_string()))
}
