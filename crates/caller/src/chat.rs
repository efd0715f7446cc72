//! Handles chat requests from their arrival to the first byte of the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use backend::{ChatRequest, SseEvent, SseParser, SsePayload};
use bytes::Bytes;
use config::{Name, Route, RouteKind};
use conn::IncomingResponse;
use dropshot::{Body, StreamingBody};
use error::{Kind, Refusal};
use http::{HeaderMap, HeaderValue, Method, Response};
use policy::{Arrival, Failure, RequestId, SendOrder, hash_parts};
use router::{bill_id, new_id};

use crate::attempt::{BackendRequest, SharedProof, send};
use crate::listener::App;
use crate::race::{Winner, race};
use crate::relay::{AnswerRelay, relay_json, relay_stream};
use crate::request::{self, Caller, SESSION_HEADER};

/// The path of the chat endpoint of engines.
const ENGINE_PATH: &str = "/v1/chat/completions";
/// The maximum length, in bytes, of a non-streamed answer that is buffered and
/// validated before its first byte is sent. Longer answers are relayed as they
/// arrive.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The header that names the version from which a session was moved.
const SESSION_MOVED_HEADER: &str = "x-session-moved-from";
/// The header that names the version that answers.
const VERSION_HEADER: &str = "x-model-version";

/// The beginning of an engine's answer.
pub enum AnswerStart {
    /// A stream, with the events received so far.
    Stream(IncomingResponse, SseParser, Vec<SseEvent>),
    /// A JSON body, with the bytes received so far and whether it is complete.
    Json(IncomingResponse, Vec<u8>, bool),
    /// An error response, such as for a prompt that is too long.
    Error(u16, Bytes),
}

/// A chat request with the data derived from it at arrival.
pub struct Chat {
    /// The parsed request.
    pub request: ChatRequest,
    /// The client account.
    pub account: Name,
    /// The route.
    pub route: Arc<Route>,
    /// The id of its bill.
    pub bill_id: RequestId,
    /// The time of arrival.
    pub arrived: Instant,
}

/// Handles a chat request.
pub async fn chat(
    app: &Arc<App>,
    headers: &HeaderMap,
    body: StreamingBody,
    proof: SharedProof,
) -> Result<Response<Body>, Refusal> {
    let arrived = Instant::now();
    let caller = request::authenticate(app, headers, &proof)?;
    let key = request::idempotency_key(headers, &proof)?;
    let bytes = request::read_body(app, body, &proof).await?;
    let request = ChatRequest::parse(&bytes)
        .map_err(|detail| Refusal::new(Kind::BadBody, &proof).detail(detail))?;
    let route = find_route(&caller, &request, &proof)?;
    if app.shared.bills.is_full() {
        return Err(Refusal::new(Kind::BillsFull, &proof));
    }
    let account = caller.account.name.clone();
    let id = new_id(app.shared.router.clock().now().wall_ms);
    let chat = Chat {
        bill_id: key.map_or(id, |key| bill_id(&account, &key, &bytes)),
        account,
        route,
        request,
        arrived,
    };
    let arrival = arrival(&chat, id, headers, &bytes);
    serve(app, chat, arrival, proof).await
}

fn find_route(
    caller: &Caller,
    request: &ChatRequest,
    proof: &SharedProof,
) -> Result<Arc<Route>, Refusal> {
    let known = caller.config.routes.get(&*request.route);
    match known.filter(|route| route.kind == RouteKind::Model) {
        Some(route) if route.allows(&caller.account.name) => Ok(route.clone()),
        Some(_) => Err(Refusal::new(Kind::NotAllowed, proof)),
        None => Err(Refusal::new(Kind::UnknownRoute, proof)),
    }
}

fn arrival(chat: &Chat, id: RequestId, headers: &HeaderMap, bytes: &[u8]) -> Arrival {
    let route = &chat.route.name;
    let session = chat.route.sessions.then(|| request::session_version(headers, route)).flatten();
    Arrival {
        id,
        route: route.clone(),
        account: chat.account.clone(),
        session,
        prompt_tokens: chat.request.prompt_tokens,
        max_tokens: chat.request.max_tokens,
        fingerprint: hash_parts(&[chat.account.as_bytes(), route.as_bytes(), bytes]),
        prefix: hash_parts(&[route.as_bytes(), chat.request.prefix.as_bytes()]),
    }
}

async fn serve(
    app: &Arc<App>,
    chat: Chat,
    arrival: Arrival,
    proof: SharedProof,
) -> Result<Response<Body>, Refusal> {
    let mut handle = app.shared.router.open(arrival);
    let chat = Arc::new(chat);
    let attempt = |order: SendOrder| {
        let (app, chat, proof) = (app.clone(), chat.clone(), proof.clone());
        async move { start_attempt(&app, &chat, &order, &proof).await }
    };
    let Winner { order, value } = race(app, &mut handle, &proof, attempt).await?;
    app.shared.metrics.first_byte.observe(chat.arrived.elapsed().as_secs_f64());
    let headers = answer_headers(&chat.route, &order);
    let relay = AnswerRelay { app: app.clone(), handle, chat, order, proof };
    let mut response = match value {
        AnswerStart::Error(status, body) => relay.relay_error(status, body),
        AnswerStart::Stream(answer, parser, events) => relay_stream(relay, answer, parser, events),
        AnswerStart::Json(answer, bytes, complete) => {
            relay_json(relay, answer, bytes, complete).await?
        }
    };
    response.headers_mut().extend(headers);
    Ok(response)
}

fn answer_headers(route: &Route, order: &SendOrder) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(VERSION_HEADER, &order.version);
    if route.sessions {
        set(SESSION_HEADER, &request::session_token(&route.name, &order.version));
    }
    if let Some(from) = &order.moved_from {
        set(SESSION_MOVED_HEADER, from);
    }
    headers
}

/// Sends the chat to an engine and reads the answer until it is known to be usable.
async fn start_attempt(
    app: &App,
    chat: &Chat,
    order: &SendOrder,
    proof: &SharedProof,
) -> Result<AnswerStart, Failure> {
    let mut headers = HeaderMap::new();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let backend_request = BackendRequest {
        method: Method::POST,
        target: ENGINE_PATH.to_owned(),
        headers,
        body: chat.request.for_engine(&order.version, order.high_priority),
        first_byte_timeout: Duration::from_millis(chat.route.first_byte_ms),
    };
    let start = async {
        let answer = send(app, order, &backend_request, proof).await?;
        read_start(answer, chat.request.stream).await
    };
    tokio::time::timeout(backend_request.first_byte_timeout, start)
        .await
        .unwrap_or(Err(Failure::TimedOut))
}

async fn read_start(answer: IncomingResponse, stream: bool) -> Result<AnswerStart, Failure> {
    let status = answer.head.status.as_u16();
    match status {
        200 if stream => read_stream_start(answer).await,
        200 => read_json_start(answer).await,
        429 | 500.. => Err(Failure::Status(status)),
        _ => {
            let body = answer.collect(MAX_BUFFERED_BYTES).await.map_err(|_| Failure::Crashed)?;
            Ok(AnswerStart::Error(status, body.ok_or(Failure::Mismatch)?))
        }
    }
}

/// Reads a stream up to its first token event.
async fn read_stream_start(mut answer: IncomingResponse) -> Result<AnswerStart, Failure> {
    let mut parser = SseParser::new();
    loop {
        let chunk = answer.chunk().await.map_err(|_| Failure::Crashed)?;
        let Some(chunk) = chunk else { return Err(Failure::Truncated) };
        let events = parser.feed(&chunk).ok_or(Failure::Mismatch)?;
        if events.iter().any(|event| matches!(event.payload, SsePayload::Delta { .. })) {
            return Ok(AnswerStart::Stream(answer, parser, events));
        }
    }
}

/// Reads a JSON answer to its end, or up to [`MAX_BUFFERED_BYTES`].
async fn read_json_start(mut answer: IncomingResponse) -> Result<AnswerStart, Failure> {
    let mut bytes = Vec::new();
    while bytes.len() <= MAX_BUFFERED_BYTES {
        match answer.chunk().await.map_err(|_| Failure::Crashed)? {
            Some(chunk) => bytes.extend_from_slice(&chunk),
            None => {
                let complete = backend::parse_completion(&bytes).is_some();
                return if complete {
                    Ok(AnswerStart::Json(answer, bytes, true))
                } else {
                    Err(Failure::Truncated)
                };
            }
        }
    }
    Ok(AnswerStart::Json(answer, bytes, false))
}
