//! Handles requests to plain services, repeatable or not.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::{Name, Route, RouteKind, hash_bytes};
use conn::IncomingResponse;
use dropshot::{Body, StreamingBody};
use error::{Kind, Refusal};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response};
use hyper::body::Frame;
use ledger::{Bill, ClaimDecision, StoredAnswer, claim_key};
use policy::{Arrival, Event, Failure, RequestId, SendOrder, Usage, hash_parts};
use router::{ClaimResult, RequestHandle, RequestOutcome, bill_id, new_id};
use tokio::sync::mpsc;

use crate::attempt::{
    BackendRequest, SharedProof, attempt_request_id, build_request, confirm, report_leaving, send,
};
use crate::claims::{self, Acquired, Claim, ClaimParams};
use crate::listener::App;
use crate::race::race;
use crate::relay::{BodyError, BodyFrame, body_channel};
use crate::request::{self, Caller};
use crate::response;

/// The maximum length of the answer to a non-repeatable request, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 256 << 10;
/// How much the deadline of a claim exceeds the route's deadline, in milliseconds.
const CLAIM_MARGIN_MS: u64 = 2_000;
/// The timeout for the next chunk of a relayed answer, and for the whole body of
/// the answer to a non-repeatable request.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(20);
/// The header that marks a replayed answer.
const REPLAYED_HEADER: &str = "x-replayed";
/// The header that tells a service the client account.
const ACCOUNT_HEADER: &str = "x-client-account";
/// Headers that are not forwarded: those that apply to one connection only, and
/// those that the instance sets itself.
const UNFORWARDED_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// The head of a request to a service.
pub struct RequestHead {
    /// The route's name.
    pub route: String,
    /// The method.
    pub method: Method,
    /// The path and query at the service.
    pub target: String,
    /// The caller's headers.
    pub headers: HeaderMap,
}

/// A request to a service with the data derived from it at arrival.
struct ServiceCall {
    app: Arc<App>,
    account: Name,
    route: Arc<Route>,
    request: BackendRequest,
    bill_id: RequestId,
    proof: SharedProof,
}

/// Handles a request to a service.
pub async fn call(
    app: &Arc<App>,
    head: RequestHead,
    body: StreamingBody,
    proof: SharedProof,
) -> Result<Response<Body>, Refusal> {
    let caller = request::authenticate(app, &head.headers, &proof)?;
    let route = find_route(&caller, &head.route, &proof)?;
    let non_repeatable = !route.repeatable && !head.method.is_safe();
    let key = request::idempotency_key(&head.headers, &proof)?;
    if non_repeatable && key.is_none() {
        return Err(Refusal::new(Kind::KeyMissing, &proof));
    }
    let bytes = request::read_body(app, body, &proof).await?;
    if app.shared.bills.is_full() {
        return Err(Refusal::new(Kind::BillsFull, &proof));
    }
    let account = caller.account.name.clone();
    let id = new_id(app.shared.router.clock().now().wall_ms);
    let fingerprint_input =
        [head.method.as_str().as_bytes(), head.target.as_bytes(), &bytes].concat();
    let arrival = arrival(id, &account, &route, &fingerprint_input);
    let call = ServiceCall {
        bill_id: key.as_deref().map_or(id, |key| bill_id(&account, key, &fingerprint_input)),
        request: backend_request(&account, &route, head, bytes.into()),
        app: app.clone(),
        account,
        route,
        proof,
    };
    match key {
        Some(key) if non_repeatable => {
            let params = ClaimParams {
                key: claim_key(&call.account, &key),
                holder: id,
                body_hash: hash_bytes(&fingerprint_input).to_string(),
                deadline_ms: call.route.deadline_ms + CLAIM_MARGIN_MS,
            };
            call_non_repeatable(Arc::new(call), arrival, params).await
        }
        _ => call_repeatable(Arc::new(call), arrival).await,
    }
}

fn find_route(caller: &Caller, name: &str, proof: &SharedProof) -> Result<Arc<Route>, Refusal> {
    let known = caller.config.routes.get(name);
    match known.filter(|route| route.kind == RouteKind::Service) {
        Some(route) if route.allows(&caller.account.name) => Ok(route.clone()),
        Some(_) => Err(Refusal::new(Kind::NotAllowed, proof)),
        None => Err(Refusal::new(Kind::UnknownRoute, proof)),
    }
}

fn arrival(id: RequestId, account: &Name, route: &Route, fingerprint_input: &[u8]) -> Arrival {
    Arrival {
        id,
        route: route.name.clone(),
        account: account.clone(),
        session: None,
        prompt_tokens: 0,
        max_tokens: Some(0),
        fingerprint: hash_parts(&[account.as_bytes(), route.name.as_bytes(), fingerprint_input]),
        prefix: hash_parts(&[route.name.as_bytes()]),
    }
}

/// Builds the request to the service from the caller's request.
fn backend_request(
    account: &Name,
    route: &Route,
    head: RequestHead,
    body: Bytes,
) -> BackendRequest {
    let mut headers = head.headers;
    for name in UNFORWARDED_HEADERS {
        headers.remove(name);
    }
    if let Ok(value) = HeaderValue::from_str(account) {
        headers.insert(HeaderName::from_static(ACCOUNT_HEADER), value);
    }
    let first_byte_timeout = Duration::from_millis(route.first_byte_ms);
    BackendRequest { method: head.method, target: head.target, headers, body, first_byte_timeout }
}

/// The result of an attempt of a non-repeatable request.
enum NonRepeatableResult {
    /// The answer, which has been recorded in the claim.
    Answered(StoredAnswer),
    /// Another request holds or held the claim.
    Other(ClaimDecision),
    /// The table was unavailable, so the claim could not be acquired.
    StoreUnavailable,
}

/// Handles a non-repeatable request, which runs at most once.
async fn call_non_repeatable(
    call: Arc<ServiceCall>,
    arrival: Arrival,
    params: ClaimParams,
) -> Result<Response<Body>, Refusal> {
    let shared = &call.app.shared;
    if call.app.claims_enabled {
        match claims::lookup(shared, &params).await {
            Ok(ClaimDecision::Claim | ClaimDecision::AlreadyHeld) => {}
            Ok(other) => return call.answer_existing_claim(other),
            Err(_) => return Err(call.store_out()),
        }
    }
    let mut handle = shared.router.open(arrival);
    let attempt = |order: SendOrder| {
        let (call, params) = (call.clone(), params.clone());
        async move { call.attempt_non_repeatable(&order, params).await }
    };
    let result = race(&call.app, &mut handle, &call.proof, attempt).await;
    let winner = result.map_err(|refusal| call.unknown_if_sent(refusal))?;
    match winner.value {
        NonRepeatableResult::Answered(answer) => {
            let number = winner.order.attempt;
            handle.step(Event::Completed(handle.id(), number, Usage::default()));
            call.count_outcome(RequestOutcome::Answered);
            call.stored_response(&answer, false)
        }
        NonRepeatableResult::Other(decision) => call.answer_existing_claim(decision),
        NonRepeatableResult::StoreUnavailable => Err(call.store_out()),
    }
}

impl ServiceCall {
    /// Opens a connection, acquires the claim, sends the request, and records the answer.
    ///
    /// Connecting comes first, so that no claim is acquired for an unreachable server.
    async fn attempt_non_repeatable(
        &self,
        order: &SendOrder,
        params: ClaimParams,
    ) -> Result<NonRepeatableResult, Failure> {
        let app = &self.app;
        let lease = app.backends.connect(order.addr).await?;
        let request = build_request(order, &self.request)?;
        if !app.claims_enabled {
            let answer = self.send_request(lease, request, order).await?;
            return Ok(NonRepeatableResult::Answered(self.collect(answer).await?));
        }
        let mut claim = match claims::acquire(&app.shared, params).await {
            Acquired::Held(claim) => *claim,
            Acquired::Other(decision) => return Ok(NonRepeatableResult::Other(decision)),
            Acquired::StoreUnavailable => return Ok(NonRepeatableResult::StoreUnavailable),
        };
        self.count_claim(ClaimResult::Claimed);
        claim.mark_sent();
        let answer = match self.send_request(lease, request, order).await {
            Ok(answer) => answer,
            Err(failure) => {
                if matches!(failure, Failure::Unsent | Failure::SendRefused(_)) {
                    claim.mark_unsent();
                }
                return Err(failure);
            }
        };
        report_leaving(app, order, &answer);
        let answer = self.collect(answer).await?;
        self.record(claim, &answer).await;
        Ok(NonRepeatableResult::Answered(answer))
    }

    async fn send_request(
        &self,
        lease: conn::Lease,
        request: conn::Request,
        order: &SendOrder,
    ) -> Result<IncomingResponse, Failure> {
        let confirm = || confirm(&self.app, order);
        let (id, timeout) = (attempt_request_id(order), self.request.first_byte_timeout);
        self.app.backends.send(lease, request, id, &self.proof, confirm, timeout).await
    }

    /// Reads an answer to its end.
    async fn collect(&self, answer: IncomingResponse) -> Result<StoredAnswer, Failure> {
        let status = answer.head.status.as_u16();
        let content_type = answer.head.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body =
            tokio::time::timeout(CHUNK_TIMEOUT, answer.collect(MAX_STORED_ANSWER_BYTES)).await;
        let body = body.map_err(|_| Failure::TimedOut)?.map_err(|_| Failure::Crashed)?;
        let body = body.ok_or(Failure::Truncated)?;
        Ok(StoredAnswer::new(status, content_type, &body))
    }

    /// Records the answer and the bill in the claim's row.
    ///
    /// If the table does not take them, the bill is stored separately.
    async fn record(&self, claim: Claim, answer: &StoredAnswer) {
        let bill = self.bill(answer.status);
        if !claim.record(answer.clone(), bill.clone()).await && bill.amount_micro > 0 {
            self.app.shared.bills.make_durable(bill).await;
        }
    }

    /// The bill for the request. Only successful requests are charged.
    fn bill(&self, status: u16) -> Bill {
        let charged = (200..300).contains(&status);
        let version = self.route.versions.first();
        Bill {
            id: self.bill_id,
            account: self.account.clone(),
            route: self.route.name.clone(),
            version: version.map_or_else(|| self.route.name.clone(), |v| v.name.clone()),
            usage: Usage::default(),
            amount_micro: if charged { self.route.price_micro } else { 0 },
            at_ms: self.app.shared.router.clock().now().wall_ms,
        }
    }

    /// Answers a request whose claim was acquired by another request.
    fn answer_existing_claim(&self, decision: ClaimDecision) -> Result<Response<Body>, Refusal> {
        let refuse = |kind, result| {
            self.count_claim(result);
            Err(Refusal::new(kind, &self.proof))
        };
        match decision {
            ClaimDecision::Replay(answer) => {
                self.count_claim(ClaimResult::Replayed);
                self.count_outcome(RequestOutcome::Answered);
                self.stored_response(&answer, true)
            }
            ClaimDecision::KeyReused => refuse(Kind::KeyReused, ClaimResult::KeyReused),
            ClaimDecision::InProgress => refuse(Kind::InProgress, ClaimResult::InProgress),
            ClaimDecision::OutcomeUnknown | ClaimDecision::Claim | ClaimDecision::AlreadyHeld => {
                refuse(Kind::OutcomeUnknown, ClaimResult::Unknown)
            }
        }
    }

    fn stored_response(
        &self,
        answer: &StoredAnswer,
        replayed: bool,
    ) -> Result<Response<Body>, Refusal> {
        let Some(body) = answer.body() else {
            return Err(Refusal::new(Kind::OutcomeUnknown, &self.proof));
        };
        let content_type = answer.content_type.as_deref().unwrap_or("application/octet-stream");
        let mut response = response::with_body(answer.status, content_type, body.into());
        if replayed {
            response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        Ok(response)
    }

    /// Turns a failure into "outcome unknown" if the request may have run.
    fn unknown_if_sent(&self, refusal: Refusal) -> Refusal {
        let failed = matches!(
            refusal.kind(),
            Kind::BackendFailed | Kind::Timeout | Kind::AnswerCut | Kind::NoServer
        );
        match failed && !refusal.not_run() {
            true => Refusal::new(Kind::OutcomeUnknown, &self.proof),
            false => refusal,
        }
    }

    fn store_out(&self) -> Refusal {
        self.count_claim(ClaimResult::StoreUnavailable);
        Refusal::new(Kind::StoreOut, &self.proof)
    }

    fn count_claim(&self, result: ClaimResult) {
        self.app.shared.metrics.claims.get_or_create(&result.into()).inc();
    }

    fn count_outcome(&self, outcome: RequestOutcome) {
        self.app.shared.metrics.requests.get_or_create(&outcome.into()).inc();
    }
}

/// Handles a repeatable request, which is retried after failures.
async fn call_repeatable(
    call: Arc<ServiceCall>,
    arrival: Arrival,
) -> Result<Response<Body>, Refusal> {
    let mut handle = call.app.shared.router.open(arrival);
    let attempt = |order: SendOrder| {
        let call = call.clone();
        async move {
            let answer = send(&call.app, &order, &call.request, &call.proof).await?;
            match answer.head.status.as_u16() {
                status @ (429 | 502..=504) => Err(Failure::Status(status)),
                _ => Ok(answer),
            }
        }
    };
    let winner = race(&call.app, &mut handle, &call.proof, attempt).await?;
    let (sender, body) = body_channel();
    let mut response = Response::new(body);
    *response.status_mut() = winner.value.head.status;
    for (name, value) in &winner.value.head.headers {
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    tokio::spawn(relay_body(call, handle, winner.order, winner.value, sender));
    Ok(response)
}

/// Relays a body, withholding its last chunk until the request is billed.
async fn relay_body(
    call: Arc<ServiceCall>,
    handle: RequestHandle,
    order: SendOrder,
    mut answer: IncomingResponse,
    sender: mpsc::Sender<BodyFrame>,
) {
    let status = answer.head.status.as_u16();
    let mut withheld: Option<Bytes> = None;
    loop {
        let next = tokio::time::timeout(CHUNK_TIMEOUT, answer.chunk()).await;
        match next {
            Ok(Ok(Some(chunk))) => {
                if let Some(previous) = withheld.replace(chunk)
                    && sender.send(Ok(Frame::data(previous))).await.is_err()
                {
                    return call.count_outcome(RequestOutcome::Disconnected);
                }
            }
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => {
                let failure = if next.is_ok() { Failure::Crashed } else { Failure::Truncated };
                handle.step(Event::Failed(handle.id(), order.attempt, failure));
                let _ = sender.send(Err(BodyError::from("the answer was cut off"))).await;
                return call.count_outcome(RequestOutcome::Truncated);
            }
        }
    }
    let bill = call.bill(status);
    if bill.amount_micro > 0 {
        call.app.shared.bills.make_durable(bill).await;
    }
    if let Some(last) = withheld {
        let _ = sender.send(Ok(Frame::data(last))).await;
    }
    handle.step(Event::Completed(handle.id(), order.attempt, Usage::default()));
    call.count_outcome(RequestOutcome::Answered);
}
