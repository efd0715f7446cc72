//! One attempt to have a backend server answer.

use std::sync::Arc;
use std::time::Duration;

use backend::{LEAVING_HEADER, REQUEST_ID_HEADER};
use bytes::Bytes;
use conn::IncomingResponse;
use error::{Kind, NotRunProof};
use http::{HeaderMap, Method};
use http_body_util::Full;
use policy::{Confirm, Event, Failure, RequestId, Send};

use crate::listener::App;

/// What an attempt sends.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query at the backend server.
    pub target: String,
    /// Headers besides the request id and the host.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the first byte may take.
    pub limit: Duration,
}

/// Sends a call that may be repeated and returns the head of its answer.
pub async fn send(
    app: &App,
    order: &Send,
    call: &Call,
    proof: &NotRunProof,
) -> Result<IncomingResponse, Failure> {
    let lease = app.backends.lease(order.addr).await?;
    let request = request(order, call)?;
    let id = wire_id(order);
    let confirm = || confirm(app, order);
    let answer = app.backends.send(lease, request, id, proof, confirm, call.limit).await?;
    note_leaving(app, order, &answer);
    Ok(answer)
}

/// The request as it is written.
pub fn request(order: &Send, call: &Call) -> Result<conn::Request, Failure> {
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.parse().map_err(|_| Failure::Forbidden(Kind::BadBody))?;
    *request.headers_mut() = call.headers.clone();
    let id = wire_id(order).to_string();
    let host = order.addr.to_string();
    for (name, value) in [(REQUEST_ID_HEADER, id), ("host", host)] {
        let value = value.parse().map_err(|_| Failure::Forbidden(Kind::BadBody))?;
        request.headers_mut().insert(name, value);
    }
    Ok(request)
}

/// The id on the wire: it differs by attempt, so that answers can't be crossed.
pub fn wire_id(order: &Send) -> RequestId {
    RequestId(order.request.0 ^ u128::from(order.attempt))
}

/// Asks the core right before the first byte is written.
pub fn confirm(app: &App, order: &Send) -> Result<(), Kind> {
    let answer =
        app.shared.router.with_core(|core, now| core.confirm(order.request, &order.server, now));
    match answer {
        Confirm::Go => Ok(()),
        Confirm::Stop(kind) => Err(kind),
    }
}

/// Notes a server's own sign that it is leaving.
pub fn note_leaving(app: &App, order: &Send, answer: &IncomingResponse) {
    if answer.head.headers.contains_key(LEAVING_HEADER) {
        app.shared.router.step(Event::Leaving(order.server.clone()));
    }
}

/// The attempts of one request run as tasks that end with it.
pub type Attempts<T> = tokio::task::JoinSet<(policy::Attempt, Result<T, Failure>)>;

/// What every attempt of a request shares.
pub type SharedProof = Arc<NotRunProof>;
