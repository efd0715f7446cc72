//! A small HTTP server whose connections a test can close at any time.

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

use crate::loopback::unique_ip;

/// A response body; an error in it closes the connection.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `None` closes the connection without a response.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<Response<ResponseBody>>> + Send;
}

/// The listener and the connections of a server, which can all be closed at once.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    state: Arc<Mutex<State>>,
    /// One task for the listener and one for each open connection.
    tasks: TaskTracker,
}

#[derive(Debug, Default)]
struct State {
    /// Cancelled to close the listener.
    listener_stop: CancellationToken,
    /// Cancelled to close all connections that are open now; replaced for later ones.
    connection_stop: CancellationToken,
    /// Whether new connections are closed as soon as they are accepted.
    refusing: bool,
}

impl Connections {
    /// Closes all connections and refuses new ones until [`Connections::stop_refusing`].
    pub fn close_all(&self) {
        let mut state = self.state.lock().unwrap();
        state.refusing = true;
        std::mem::take(&mut state.connection_stop).cancel();
    }

    /// Closes the listener, but no open connections.
    pub fn stop_listening(&self) {
        self.state.lock().unwrap().listener_stop.cancel();
    }

    /// Closes all connections and the listener; [`Connections::reopen`] undoes this for
    /// later ones.
    pub fn crash(&self) {
        self.close_all();
        self.stop_listening();
    }

    /// Permits another listener and new connections.
    pub fn reopen(&self) {
        let mut state = self.state.lock().unwrap();
        state.refusing = false;
        state.listener_stop = CancellationToken::new();
    }

    /// Waits until the listener and all connections are closed.
    pub async fn closed(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Accepts new connections again.
    pub fn stop_refusing(&self) {
        self.state.lock().unwrap().refusing = false;
    }

    /// The token that closes a connection accepted now; `None` while refusing.
    fn accept(&self) -> Option<CancellationToken> {
        let state = self.state.lock().unwrap();
        (!state.refusing).then(|| state.connection_stop.clone())
    }
}

/// Serves on a loopback address of its own until `stop` is cancelled, and returns the address. No
/// other test listens there while the server is down.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    connections: Connections,
    stop: CancellationToken,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind((unique_ip(), 0)).await?;
    let addr = listener.local_addr()?;
    accept_connections(listener, handler, connections, stop);
    Ok(addr)
}

/// Serves the connections of a listener until `stop` is cancelled or the listener is closed.
pub fn accept_connections<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    connections: Connections,
    stop: CancellationToken,
) {
    let listener_stop = connections.state.lock().unwrap().listener_stop.clone();
    let tasks = connections.tasks.clone();
    connections.tasks.clone().spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => return,
                () = listener_stop.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else { continue };
            let Some(connection_stop) = connections.accept() else { continue };
            let (handler, stop) = (handler.clone(), stop.clone());
            tasks.spawn(async move {
                let _ = stream.set_nodelay(true);
                let service = service_fn(|request| respond(handler.clone(), request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => {}
                    () = connection_stop.cancelled() => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    });
}

async fn respond<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, std::io::Error> {
    handler
        .handle(request)
        .await
        .ok_or_else(|| std::io::Error::other("injected fault: connection closed"))
}

/// A body that is sent in one piece.
pub fn full_body(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into()).map_err(|error: Infallible| match error {}).boxed()
}

/// A JSON response.
pub fn json_response(status: u16, value: &impl serde::Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut response = json_text_response(text);
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// A response with a JSON text and status 200.
pub fn json_text_response(text: String) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Reads a request body; `None` if it is incomplete.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    Some(request.into_body().collect().await.ok()?.to_bytes())
}
