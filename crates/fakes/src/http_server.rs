//! A small HTTP server whose connections can be broken at will.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use anyhow::Result;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The body of an answer; an error in it breaks the connection.
pub type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// What answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `None` breaks the connection.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<Response<AnswerBody>>> + Send;
}

/// The connections of a server, which can all be broken at once.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    state: Arc<Mutex<State>>,
    /// The listener and the open connections.
    tasks: TaskTracker,
}

#[derive(Debug, Default)]
struct State {
    listening: CancellationToken,
    alive: CancellationToken,
    refusing: bool,
}

impl Connections {
    /// Breaks all connections and refuses new ones until [`Connections::admit`].
    pub fn break_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.refusing = true;
        std::mem::take(&mut state.alive).cancel();
    }

    /// Stops listening, while open connections go on.
    pub fn deafen(&self) {
        self.state.lock().unwrap().listening.cancel();
    }

    /// Waits until the server that was stopped has closed its sockets.
    pub async fn ended(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Accepts connections again.
    pub fn admit(&self) {
        self.state.lock().unwrap().refusing = false;
    }

    fn current(&self) -> Option<CancellationToken> {
        let state = self.state.lock().unwrap();
        (!state.refusing).then(|| state.alive.clone())
    }
}

/// Serves on a free loopback port until `stop` is cancelled.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    connections: Connections,
    stop: CancellationToken,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let addr = listener.local_addr()?;
    let listening = connections.state.lock().unwrap().listening.clone();
    let tasks = connections.tasks.clone();
    connections.tasks.clone().spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => return,
                () = listening.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let Some(alive) = connections.current() else { continue };
            let (handler, stop) = (handler.clone(), stop.clone());
            tasks.spawn(async move {
                let _ = stream.set_nodelay(true);
                let service = service_fn(|request| answer(handler.clone(), request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    () = alive.cancelled() => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    });
    Ok(addr)
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, std::io::Error> {
    handler.handle(request).await.ok_or_else(|| std::io::Error::other("broken on purpose"))
}

/// A whole body.
pub fn full(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into()).map_err(|error: Infallible| match error {}).boxed()
}

/// A JSON answer.
pub fn json(status: u16, value: &impl serde::Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(body));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// Reads a request's body; `None` if it was cut.
pub async fn read(request: Request<Incoming>) -> Option<Bytes> {
    Some(request.into_body().collect().await.ok()?.to_bytes())
}
