//! Sends one attempt of a request to a backend server.

use std::sync::Arc;
use std::time::Duration;

use backend::{LEAVING_HEADER, REQUEST_ID_HEADER};
use bytes::Bytes;
use conn::IncomingResponse;
use error::{Kind, NotRunProof};
use http::{HeaderMap, Method};
use http_body_util::Full;
use policy::{Event, Failure, RequestId, SendCheck, SendOrder};

use crate::listener::App;

/// The request that an attempt sends to a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// The method.
    pub method: Method,
    /// The path and query at the backend server.
    pub target: String,
    /// The headers, without the request id and the host.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The timeout for the first byte of the answer.
    pub first_byte_timeout: Duration,
}

/// Sends a repeatable request and returns once the head of the answer has arrived.
pub async fn send(
    app: &App,
    order: &SendOrder,
    backend_request: &BackendRequest,
    proof: &NotRunProof,
) -> Result<IncomingResponse, Failure> {
    let lease = app.backends.lease(order.addr).await?;
    let request = build_request(order, backend_request)?;
    let id = attempt_request_id(order);
    let confirm = || confirm(app, order);
    let timeout = backend_request.first_byte_timeout;
    let answer = app.backends.send(lease, request, id, proof, confirm, timeout).await?;
    report_leaving(app, order, &answer);
    Ok(answer)
}

/// Builds the HTTP request of an attempt.
pub fn build_request(
    order: &SendOrder,
    backend_request: &BackendRequest,
) -> Result<conn::Request, Failure> {
    let mut request = http::Request::new(Full::new(backend_request.body.clone()));
    *request.method_mut() = backend_request.method.clone();
    *request.uri_mut() =
        backend_request.target.parse().map_err(|_| Failure::SendRefused(Kind::BadBody))?;
    *request.headers_mut() = backend_request.headers.clone();
    let id = attempt_request_id(order).to_string();
    let host = order.addr.to_string();
    for (name, value) in [(REQUEST_ID_HEADER, id), ("host", host)] {
        let value = value.parse().map_err(|_| Failure::SendRefused(Kind::BadBody))?;
        request.headers_mut().insert(name, value);
    }
    Ok(request)
}

/// The request id that is sent to the backend server.
///
/// It differs for each attempt, so that the answer to one attempt can't be
/// taken for the answer to another.
pub fn attempt_request_id(order: &SendOrder) -> RequestId {
    RequestId(order.request.0 ^ u128::from(order.attempt))
}

/// Asks the core, right before the first byte is written, whether the attempt may be sent.
pub fn confirm(app: &App, order: &SendOrder) -> Result<(), Kind> {
    let answer = app
        .shared
        .router
        .with_core(|core, now| core.check_before_send(order.request, &order.server, now));
    match answer {
        SendCheck::Proceed => Ok(()),
        SendCheck::Refuse(kind) => Err(kind),
    }
}

/// Tells the core if the answer's headers say that the server is leaving.
pub fn report_leaving(app: &App, order: &SendOrder, answer: &IncomingResponse) {
    if answer.head.headers.contains_key(LEAVING_HEADER) {
        app.shared.router.step(Event::ServerLeaving(order.server.clone()));
    }
}

/// The attempts of one request, as tasks that are aborted with it.
pub type AttemptTasks<T> = tokio::task::JoinSet<(policy::Attempt, Result<T, Failure>)>;

/// The proof that a request has not run, shared by its attempts.
pub type SharedProof = Arc<NotRunProof>;
