//! The HTTP listener for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use backend::BackendClient;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpServer, Path,
    RequestContext, ServerBuilder, StreamingBody, endpoint,
};
use error::{Kind, NotRunProof, Refusal};
use http::Response;
use router::Shared;
use schemars::JsonSchema;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use crate::{chat, request, response, service};

/// The context of the listener's handlers.
#[derive(Debug)]
pub struct App {
    /// The components that all parts of the instance share.
    pub shared: Shared,
    /// Connections to backend servers.
    pub backends: BackendClient,
    /// The maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The timeout for the next chunk of a request body.
    pub body_read_timeout: Duration,
    /// Whether non-repeatable requests are claimed; disabled only in experiments.
    pub claims_enabled: bool,
    /// Whether a bill is stored at peers or in the table before the last bytes of
    /// its answer are sent; disabled only in experiments.
    pub durable_bills: bool,
    /// Cancelled when open requests are aborted because the process is about to end.
    pub cutoff: CancellationToken,
}

impl App {
    /// Handles a request, until it is aborted because the process is about to end.
    async fn until_cutoff(
        &self,
        handling: impl Future<Output = Result<Response<Body>, Refusal>>,
        proof: &NotRunProof,
    ) -> Result<Response<Body>, Refusal> {
        self.cutoff.run_until_cancelled(handling).await.unwrap_or_else(|| {
            let unsent = Refusal::new(Kind::Draining, proof);
            Err(if unsent.not_run() { unsent } else { Refusal::new(Kind::Timeout, proof) })
        })
    }
}

/// The running listener.
pub struct Listener {
    server: HttpServer<Arc<App>>,
}

impl Listener {
    /// Binds the address and starts serving.
    pub fn start(addr: SocketAddr, app: Arc<App>, log: &slog::Logger) -> Result<Self> {
        let config = ConfigDropshot {
            bind_address: addr,
            default_request_body_max_bytes: app.max_body_bytes + 1,
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api()?, app, log.clone()).config(config).start();
        let server = server.map_err(|e| anyhow!("{e}")).with_context(|| format!("--listen {addr}"));
        Ok(Listener { server: server? })
    }

    /// The bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops listening and waits for in-flight responses, up to `timeout`.
    ///
    /// Returns whether all of them completed.
    pub async fn close(self, timeout: Duration) -> bool {
        matches!(tokio::time::timeout(timeout, self.server.close()).await, Ok(Ok(())))
    }
}

fn api() -> Result<ApiDescription<Arc<App>>> {
    let mut api = ApiDescription::new();
    api.register(post_chat).context("chat endpoint")?;
    api.register(get_models).context("models endpoint")?;
    api.register(get_ready).context("ready endpoint")?;
    api.register(get_service).context("service endpoint")?;
    api.register(post_service).context("service endpoint")?;
    api.register(put_service).context("service endpoint")?;
    api.register(delete_service).context("service endpoint")?;
    Ok(api)
}

/// The context that dropshot passes to the handlers.
type Request = RequestContext<Arc<App>>;

/// Handles a chat request.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn post_chat(rqctx: Request, body: StreamingBody) -> Result<Response<Body>, HttpError> {
    let app = rqctx.context().clone();
    let proof = Arc::new(NotRunProof::new());
    let handling = chat::chat(&app, rqctx.request.headers(), body, proof.clone());
    let result = app.until_cutoff(handling, &proof).await;
    Ok(into_response(&app, result))
}

/// Lists the routes that the account may use.
#[endpoint { method = GET, path = "/v1/models" }]
async fn get_models(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let app = rqctx.context().clone();
    let proof = NotRunProof::new();
    let result = match request::authenticate(&app, rqctx.request.headers(), &proof) {
        Ok(caller) => Ok(response::models(&caller)),
        Err(refusal) => Err(refusal),
    };
    Ok(into_response(&app, result))
}

/// Reports whether the instance accepts requests.
#[endpoint { method = GET, path = "/ready" }]
async fn get_ready(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let app = rqctx.context().clone();
    let status = app.shared.router.with_core(|core, now| core.status(now));
    let ready = !status.draining && status.freshness != policy::Freshness::NotReady;
    let proof = NotRunProof::new();
    Ok(match (ready, status.draining) {
        (true, _) => response::text(200, "ready\n"),
        (false, true) => response::refusal(&Refusal::new(Kind::Draining, &proof)),
        (false, false) => response::refusal(&Refusal::new(Kind::NotReady, &proof)),
    })
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    route: String,
    rest: Vec<String>,
}

/// Forwards a GET request to a plain service.
#[endpoint { method = GET, path = "/services/{route}/{rest:.*}", unpublished = true }]
async fn get_service(
    rqctx: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    call_service(rqctx, path.into_inner(), body).await
}

/// Forwards a POST request to a plain service.
#[endpoint { method = POST, path = "/services/{route}/{rest:.*}", unpublished = true }]
async fn post_service(
    rqctx: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    call_service(rqctx, path.into_inner(), body).await
}

/// Forwards a PUT request to a plain service.
#[endpoint { method = PUT, path = "/services/{route}/{rest:.*}", unpublished = true }]
async fn put_service(
    rqctx: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    call_service(rqctx, path.into_inner(), body).await
}

/// Forwards a DELETE request to a plain service.
#[endpoint { method = DELETE, path = "/services/{route}/{rest:.*}", unpublished = true }]
async fn delete_service(
    rqctx: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    call_service(rqctx, path.into_inner(), body).await
}

async fn call_service(
    rqctx: Request,
    path: ServicePath,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    let app = rqctx.context().clone();
    let mut target = format!("/{}", path.rest.join("/"));
    if let Some(query) = rqctx.request.uri().query() {
        target = format!("{target}?{query}");
    }
    let head = service::RequestHead {
        route: path.route,
        method: rqctx.request.method().clone(),
        target,
        headers: rqctx.request.headers().clone(),
    };
    let proof = Arc::new(NotRunProof::new());
    let handling = service::call(&app, head, body, proof.clone());
    let result = app.until_cutoff(handling, &proof).await;
    Ok(into_response(&app, result))
}

/// Converts a refusal to a response and counts it.
fn into_response(app: &App, result: Result<Response<Body>, Refusal>) -> Response<Body> {
    match result {
        Ok(response) => response,
        Err(refusal) => {
            app.shared.metrics.refused(refusal.kind());
            response::refusal(&refusal)
        }
    }
}
