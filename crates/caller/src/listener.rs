//! The callers' listener.

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

use crate::{answer, chat, intake, service};

/// What the listener's handlers use.
#[derive(Debug)]
pub struct App {
    /// The shared parts of the instance.
    pub shared: Shared,
    /// Connections to backend servers.
    pub backends: BackendClient,
    /// The longest body of a request, in bytes.
    pub body_limit: usize,
    /// How long the next part of a body may take.
    pub body_wait: Duration,
    /// Whether calls that may not be repeated are claimed; off only in experiments.
    pub claims: bool,
    /// Whether bills are secured before the last bytes; off only in experiments.
    pub secure: bool,
}

/// The running listener.
pub struct Listener {
    server: HttpServer<Arc<App>>,
}

impl Listener {
    /// Binds the address and starts to serve.
    pub fn start(addr: SocketAddr, app: Arc<App>, log: &slog::Logger) -> Result<Self> {
        let config = ConfigDropshot {
            bind_address: addr,
            default_request_body_max_bytes: app.body_limit + 1,
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api()?, app, log.clone()).config(config).start();
        let server = server.map_err(|e| anyhow!("{e}")).with_context(|| format!("--listen {addr}"));
        Ok(Listener { server: server? })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops listening and waits for the answers in flight, up to a limit.
    ///
    /// Returns whether all of them ended.
    pub async fn close(self, limit: Duration) -> bool {
        matches!(tokio::time::timeout(limit, self.server.close()).await, Ok(Ok(())))
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

/// A request with the context of the listener.
type Request = RequestContext<Arc<App>>;

/// Answers a chat.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn post_chat(rqctx: Request, body: StreamingBody) -> Result<Response<Body>, HttpError> {
    let app = rqctx.context().clone();
    let proof = Arc::new(NotRunProof::new());
    let result = chat::chat(&app, rqctx.request.headers(), body, proof).await;
    Ok(finish(&app, result))
}

/// Lists the routes that the account may use.
#[endpoint { method = GET, path = "/v1/models" }]
async fn get_models(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let app = rqctx.context().clone();
    let proof = NotRunProof::new();
    let result = match intake::authenticate(&app, rqctx.request.headers(), &proof) {
        Ok(account) => Ok(answer::models(&account)),
        Err(refusal) => Err(refusal),
    };
    Ok(finish(&app, result))
}

/// Says whether the instance takes requests.
#[endpoint { method = GET, path = "/ready" }]
async fn get_ready(rqctx: Request) -> Result<Response<Body>, HttpError> {
    let app = rqctx.context().clone();
    let standing = app.shared.router.with_core(|core, now| core.status(now));
    let ready = !standing.draining && standing.standing != policy::Standing::NotReady;
    let proof = NotRunProof::new();
    Ok(match (ready, standing.draining) {
        (true, _) => answer::text(200, "ready\n"),
        (false, true) => answer::refusal(&Refusal::new(Kind::Draining, &proof)),
        (false, false) => answer::refusal(&Refusal::new(Kind::NotReady, &proof)),
    })
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    route: String,
    rest: Vec<String>,
}

/// Calls a plain service.
#[endpoint { method = GET, path = "/services/{route}/{rest:.*}", unpublished = true }]
async fn get_service(
    rqctx: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    call_service(rqctx, path.into_inner(), body).await
}

/// Calls a plain service.
#[endpoint { method = POST, path = "/services/{route}/{rest:.*}", unpublished = true }]
async fn post_service(
    rqctx: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    call_service(rqctx, path.into_inner(), body).await
}

/// Calls a plain service.
#[endpoint { method = PUT, path = "/services/{route}/{rest:.*}", unpublished = true }]
async fn put_service(
    rqctx: Request,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    call_service(rqctx, path.into_inner(), body).await
}

/// Calls a plain service.
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
    let head = service::Head {
        route: path.route,
        method: rqctx.request.method().clone(),
        target,
        headers: rqctx.request.headers().clone(),
    };
    let proof = Arc::new(NotRunProof::new());
    let result = service::call(&app, head, body, proof).await;
    Ok(finish(&app, result))
}

/// Turns a refusal into its answer and counts it.
fn finish(app: &App, result: Result<Response<Body>, Refusal>) -> Response<Body> {
    match result {
        Ok(response) => response,
        Err(refusal) => {
            app.shared.metrics.refused(refusal.kind());
            answer::refusal(&refusal)
        }
    }
}
