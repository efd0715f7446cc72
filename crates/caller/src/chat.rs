//! Chats: from the request's arrival to the first byte of its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use backend::{ChatRequest, SseEvent, SseParser, SsePayload};
use bytes::Bytes;
use config::{Name, Route, RouteKind};
use conn::IncomingResponse;
use dropshot::{Body, StreamingBody};
use error::{Kind, Refusal};
use http::{HeaderMap, HeaderValue, Method, Response};
use policy::{Arrival, Failure, RequestId, Send, hash_parts};
use router::{bill_id, new_id};

use crate::attempt::{Call, SharedProof, send};
use crate::intake::{self, Caller, SESSION_HEADER};
use crate::listener::App;
use crate::pump::{Pump, start_json, start_stream};
use crate::race::{Winner, race};

/// Where engines answer chats.
const ENGINE_PATH: &str = "/v1/chat/completions";
/// An answer that is not streamed is checked whole before its first byte up
/// to this length in bytes; a longer one is passed on as it comes.
const CHECKED_WHOLE: usize = 64 << 10;
/// The header that says which version a session was moved from.
const MOVED_HEADER: &str = "x-session-moved-from";
/// The header that says which version answers.
const VERSION_HEADER: &str = "x-model-version";

/// The start of an engine's answer.
pub enum Start {
    /// A stream, with the events that have come.
    Stream(IncomingResponse, SseParser, Vec<SseEvent>),
    /// A body, with the bytes that have come and whether it is at its end.
    Json(IncomingResponse, Vec<u8>, bool),
    /// An answer that refuses the request, such as for a prompt that is too long.
    Refused(u16, Bytes),
}

/// What is known of a chat from its arrival on.
pub struct Chat {
    /// The request.
    pub request: ChatRequest,
    /// The account's name.
    pub account: Name,
    /// The route.
    pub route: Arc<Route>,
    /// The id under which it is billed.
    pub bill_id: RequestId,
    /// When it arrived.
    pub arrived: Instant,
}

/// Answers a chat, or refuses it.
pub async fn chat(
    app: &Arc<App>,
    headers: &HeaderMap,
    body: StreamingBody,
    proof: SharedProof,
) -> Result<Response<Body>, Refusal> {
    let arrived = Instant::now();
    let caller = intake::authenticate(app, headers, &proof)?;
    let key = intake::idempotency_key(headers, &proof)?;
    let bytes = intake::read_body(app, body, &proof).await?;
    let request = ChatRequest::parse(&bytes)
        .map_err(|what| Refusal::new(Kind::BadBody, &proof).detail(what))?;
    let route = find_route(&caller, &request, &proof)?;
    if app.shared.bills.full() {
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
    let session = chat.route.sessions.then(|| intake::session(headers, route)).flatten();
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
    let mut ticket = app.shared.router.open(arrival);
    let chat = Arc::new(chat);
    let attempt = |order: Send| {
        let (app, chat, proof) = (app.clone(), chat.clone(), proof.clone());
        async move { start(&app, &chat, &order, &proof).await }
    };
    let Winner { order, value } = race(app, &mut ticket, &proof, attempt).await?;
    app.shared.metrics.first_byte.observe(chat.arrived.elapsed().as_secs_f64());
    let headers = answer_headers(&chat.route, &order);
    let pump = Pump { app: app.clone(), ticket, chat, order, proof };
    let mut response = match value {
        Start::Refused(status, body) => pump.refused(status, body),
        Start::Stream(answer, reader, events) => start_stream(pump, answer, reader, events),
        Start::Json(answer, bytes, ended) => start_json(pump, answer, bytes, ended).await?,
    };
    response.headers_mut().extend(headers);
    Ok(response)
}

fn answer_headers(route: &Route, order: &Send) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(VERSION_HEADER, &order.version);
    if route.sessions {
        set(SESSION_HEADER, &intake::session_token(&route.name, &order.version));
    }
    if let Some(from) = &order.moved {
        set(MOVED_HEADER, from);
    }
    headers
}

/// Sends the chat to an engine and reads as much as decides that it answers.
async fn start(
    app: &App,
    chat: &Chat,
    order: &Send,
    proof: &SharedProof,
) -> Result<Start, Failure> {
    let mut headers = HeaderMap::new();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let call = Call {
        method: Method::POST,
        target: ENGINE_PATH.to_owned(),
        headers,
        body: chat.request.for_engine(&order.version, order.urgent),
        limit: Duration::from_millis(chat.route.first_byte_ms),
    };
    let begin = async {
        let answer = send(app, order, &call, proof).await?;
        begin(answer, chat.request.stream).await
    };
    tokio::time::timeout(call.limit, begin).await.unwrap_or(Err(Failure::Silent))
}

async fn begin(answer: IncomingResponse, stream: bool) -> Result<Start, Failure> {
    let status = answer.head.status.as_u16();
    match status {
        200 if stream => begin_stream(answer).await,
        200 => begin_json(answer).await,
        429 | 500.. => Err(Failure::Status(status)),
        _ => {
            let body = answer.collect(CHECKED_WHOLE).await.map_err(|_| Failure::Crashed)?;
            Ok(Start::Refused(status, body.ok_or(Failure::Mismatch)?))
        }
    }
}

async fn begin_stream(mut answer: IncomingResponse) -> Result<Start, Failure> {
    let mut reader = SseParser::new();
    loop {
        let chunk = answer.chunk().await.map_err(|_| Failure::Crashed)?;
        let Some(chunk) = chunk else { return Err(Failure::Cut) };
        let events = reader.feed(&chunk).ok_or(Failure::Mismatch)?;
        if events.iter().any(|event| matches!(event.payload, SsePayload::Delta { .. })) {
            return Ok(Start::Stream(answer, reader, events));
        }
    }
}

async fn begin_json(mut answer: IncomingResponse) -> Result<Start, Failure> {
    let mut bytes = Vec::new();
    while bytes.len() <= CHECKED_WHOLE {
        match answer.chunk().await.map_err(|_| Failure::Crashed)? {
            Some(chunk) => bytes.extend_from_slice(&chunk),
            None => {
                let whole = backend::parse_completion(&bytes).is_some();
                return if whole {
                    Ok(Start::Json(answer, bytes, true))
                } else {
                    Err(Failure::Cut)
                };
            }
        }
    }
    Ok(Start::Json(answer, bytes, false))
}
