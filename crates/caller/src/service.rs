//! Calls of plain services, repeatable or not.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::{Name, Route, RouteKind, hash_bytes};
use conn::IncomingResponse;
use dropshot::{Body, StreamingBody};
use error::{Kind, Refusal};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response};
use hyper::body::Frame;
use ledger::{Bill, Next, StoredAnswer, claim_key};
use policy::{Arrival, Event, Failure, RequestId, Send, Usage, hash_parts};
use router::{ClaimFound, End, Ticket, bill_id, new_id};
use tokio::sync::mpsc;

use crate::answer;
use crate::attempt::{Call, SharedProof, confirm, note_leaving, request, send, wire_id};
use crate::claims::{self, CallId, Claim, Taken};
use crate::intake::{self, Caller};
use crate::listener::App;
use crate::pump::{BodyError, Part, body};
use crate::race::race;

/// The longest answer of a call that may not be repeated, in bytes.
const STORED_LIMIT: usize = 256 << 10;
/// What a claim's time is longer than the route's deadline, in milliseconds.
const CLAIM_MARGIN_MS: u64 = 2_000;
/// How long a service may take for the next bytes of an answer.
const NEXT_LIMIT: Duration = Duration::from_secs(20);
/// The header that marks a stored answer.
const REPLAYED_HEADER: &str = "x-replayed";
/// The header that tells a service who calls.
const ACCOUNT_HEADER: &str = "x-client-account";
/// Headers that concern one connection, or that the instance sets itself.
const OWN_HEADERS: [&str; 10] = [
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

/// The head of a call.
pub struct Head {
    /// The route's name.
    pub route: String,
    /// The method.
    pub method: Method,
    /// Path and query at the service.
    pub target: String,
    /// The caller's headers.
    pub headers: HeaderMap,
}

/// What every step of a call uses.
struct Service {
    app: Arc<App>,
    account: Name,
    route: Arc<Route>,
    call: Call,
    bill_id: RequestId,
    proof: SharedProof,
}

/// Answers a call, or refuses it.
pub async fn call(
    app: &Arc<App>,
    head: Head,
    body: StreamingBody,
    proof: SharedProof,
) -> Result<Response<Body>, Refusal> {
    let caller = intake::authenticate(app, &head.headers, &proof)?;
    let route = find_route(&caller, &head.route, &proof)?;
    let once = !route.repeatable && !head.method.is_safe();
    let key = intake::idempotency_key(&head.headers, &proof)?;
    if once && key.is_none() {
        return Err(Refusal::new(Kind::KeyMissing, &proof));
    }
    let bytes = intake::read_body(app, body, &proof).await?;
    if app.shared.bills.full() {
        return Err(Refusal::new(Kind::BillsFull, &proof));
    }
    let account = caller.account.name.clone();
    let id = new_id(app.shared.router.clock().now().wall_ms);
    let print = [head.method.as_str().as_bytes(), head.target.as_bytes(), &bytes].concat();
    let arrival = arrival(id, &account, &route, &print);
    let service = Service {
        bill_id: key.as_deref().map_or(id, |key| bill_id(&account, key, &print)),
        call: outgoing(&account, &route, head, bytes.into()),
        app: app.clone(),
        account,
        route,
        proof,
    };
    match key {
        Some(key) if once => {
            let id = CallId {
                key: claim_key(&service.account, &key),
                request: id,
                body_hash: hash_bytes(&print).to_string(),
                deadline_ms: service.route.deadline_ms + CLAIM_MARGIN_MS,
            };
            call_once(Arc::new(service), arrival, id).await
        }
        _ => call_repeatable(Arc::new(service), arrival).await,
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

fn arrival(id: RequestId, account: &Name, route: &Route, print: &[u8]) -> Arrival {
    Arrival {
        id,
        route: route.name.clone(),
        account: account.clone(),
        session: None,
        prompt_tokens: 0,
        max_tokens: Some(0),
        fingerprint: hash_parts(&[account.as_bytes(), route.name.as_bytes(), print]),
        prefix: hash_parts(&[route.name.as_bytes()]),
    }
}

fn outgoing(account: &Name, route: &Route, head: Head, body: Bytes) -> Call {
    let mut headers = head.headers;
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    if let Ok(value) = HeaderValue::from_str(account) {
        headers.insert(HeaderName::from_static(ACCOUNT_HEADER), value);
    }
    let limit = Duration::from_millis(route.first_byte_ms);
    Call { method: head.method, target: head.target, headers, body, limit }
}

/// What an attempt of a call that may run once brings.
enum Once {
    /// The answer, recorded.
    Answered(StoredAnswer),
    /// Another attempt has the claim.
    Other(Next),
    /// The claim could not be made.
    StoreOut,
}

async fn call_once(
    service: Arc<Service>,
    arrival: Arrival,
    id: CallId,
) -> Result<Response<Body>, Refusal> {
    let shared = &service.app.shared;
    if service.app.claims {
        match claims::look(shared, &id).await {
            Ok(Next::Claim | Next::Own) => {}
            Ok(other) => return service.conclude(other),
            Err(_) => return Err(service.store_out()),
        }
    }
    let mut ticket = shared.router.open(arrival);
    let attempt = |order: Send| {
        let (service, id) = (service.clone(), id.clone());
        async move { service.attempt_once(&order, id).await }
    };
    let raced = race(&service.app, &mut ticket, &service.proof, attempt).await;
    let winner = raced.map_err(|refusal| service.after_sending(refusal))?;
    match winner.value {
        Once::Answered(answer) => {
            let number = winner.order.attempt;
            ticket.step(Event::Done(ticket.id(), number, Usage::default()));
            service.count(End::Answered);
            service.stored(&answer, false)
        }
        Once::Other(next) => service.conclude(next),
        Once::StoreOut => Err(service.store_out()),
    }
}

impl Service {
    /// Proves a connection, claims the call, writes it, and records the answer.
    async fn attempt_once(&self, order: &Send, id: CallId) -> Result<Once, Failure> {
        let app = &self.app;
        let lease = app.backends.connect(order.addr).await?;
        let request = request(order, &self.call)?;
        if !app.claims {
            let answer = self.write(lease, request, order).await?;
            return Ok(Once::Answered(self.collect(answer).await?));
        }
        let mut claim = match claims::take(&app.shared, id).await {
            Taken::Held(claim) => *claim,
            Taken::Other(next) => return Ok(Once::Other(next)),
            Taken::StoreOut => return Ok(Once::StoreOut),
        };
        self.found(ClaimFound::Claimed);
        claim.writing();
        let answer = match self.write(lease, request, order).await {
            Ok(answer) => answer,
            Err(failure) => {
                if matches!(failure, Failure::Unsent | Failure::Forbidden(_)) {
                    claim.nothing_written();
                }
                return Err(failure);
            }
        };
        note_leaving(app, order, &answer);
        let answer = self.collect(answer).await?;
        self.record(claim, &answer).await;
        Ok(Once::Answered(answer))
    }

    async fn write(
        &self,
        lease: conn::Lease,
        request: conn::Request,
        order: &Send,
    ) -> Result<IncomingResponse, Failure> {
        let confirm = || confirm(&self.app, order);
        let (id, limit) = (wire_id(order), self.call.limit);
        self.app.backends.send(lease, request, id, &self.proof, confirm, limit).await
    }

    async fn collect(&self, answer: IncomingResponse) -> Result<StoredAnswer, Failure> {
        let status = answer.head.status.as_u16();
        let content_type = answer.head.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = tokio::time::timeout(NEXT_LIMIT, answer.collect(STORED_LIMIT)).await;
        let body = body.map_err(|_| Failure::Silent)?.map_err(|_| Failure::Crashed)?;
        let body = body.ok_or(Failure::Cut)?;
        Ok(StoredAnswer::new(status, content_type, &body))
    }

    /// Records the answer in the claim; the bill is in the same row.
    async fn record(&self, claim: Claim, answer: &StoredAnswer) {
        let bill = self.bill(answer.status);
        if !claim.record(answer.clone(), bill.clone()).await && bill.amount_micro > 0 {
            self.app.shared.bills.secure(bill).await;
        }
    }

    /// The charge of a call: failed calls owe nothing.
    fn bill(&self, status: u16) -> Bill {
        let owed = (200..300).contains(&status);
        let version = self.route.versions.first();
        Bill {
            id: self.bill_id,
            account: self.account.clone(),
            route: self.route.name.clone(),
            version: version.map_or_else(|| self.route.name.clone(), |v| v.name.clone()),
            usage: Usage::default(),
            amount_micro: if owed { self.route.price_micro } else { 0 },
            at_ms: self.app.shared.router.clock().now().wall_ms,
        }
    }

    /// The answer to a call whose claim another attempt has.
    fn conclude(&self, next: Next) -> Result<Response<Body>, Refusal> {
        let refuse = |kind, found| {
            self.found(found);
            Err(Refusal::new(kind, &self.proof))
        };
        match next {
            Next::Replay(answer) => {
                self.found(ClaimFound::Replayed);
                self.count(End::Answered);
                self.stored(&answer, true)
            }
            Next::Reused => refuse(Kind::KeyReused, ClaimFound::Reused),
            Next::InProgress => refuse(Kind::InProgress, ClaimFound::InProgress),
            Next::Unknown | Next::Claim | Next::Own => {
                refuse(Kind::OutcomeUnknown, ClaimFound::Unknown)
            }
        }
    }

    fn stored(&self, answer: &StoredAnswer, replayed: bool) -> Result<Response<Body>, Refusal> {
        let Some(body) = answer.body() else {
            return Err(Refusal::new(Kind::OutcomeUnknown, &self.proof));
        };
        let content_type = answer.content_type.as_deref().unwrap_or("application/octet-stream");
        let mut response = answer::bytes(answer.status, content_type, body.into());
        if replayed {
            response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        Ok(response)
    }

    /// A call that was written and not answered has an unknown outcome.
    fn after_sending(&self, refusal: Refusal) -> Refusal {
        let failed = matches!(
            refusal.kind(),
            Kind::BackendFailed | Kind::Timeout | Kind::AnswerCut | Kind::NoServer
        );
        match failed && !refusal.says_not_run() {
            true => Refusal::new(Kind::OutcomeUnknown, &self.proof),
            false => refusal,
        }
    }

    fn store_out(&self) -> Refusal {
        self.found(ClaimFound::StoreOut);
        Refusal::new(Kind::StoreOut, &self.proof)
    }

    fn found(&self, found: ClaimFound) {
        self.app.shared.metrics.claims.get_or_create(&found.into()).inc();
    }

    fn count(&self, end: End) {
        self.app.shared.metrics.requests.get_or_create(&end.into()).inc();
    }
}

async fn call_repeatable(
    service: Arc<Service>,
    arrival: Arrival,
) -> Result<Response<Body>, Refusal> {
    let mut ticket = service.app.shared.router.open(arrival);
    let attempt = |order: Send| {
        let service = service.clone();
        async move {
            let answer = send(&service.app, &order, &service.call, &service.proof).await?;
            match answer.head.status.as_u16() {
                status @ (429 | 502..=504) => Err(Failure::Status(status)),
                _ => Ok(answer),
            }
        }
    };
    let winner = race(&service.app, &mut ticket, &service.proof, attempt).await?;
    let (sender, body) = body();
    let mut response = Response::new(body);
    *response.status_mut() = winner.value.head.status;
    for (name, value) in &winner.value.head.headers {
        if !OWN_HEADERS.contains(&name.as_str()) {
            response.headers_mut().append(name, value.clone());
        }
    }
    tokio::spawn(pass_on(service, ticket, winner.order, winner.value, sender));
    Ok(response)
}

/// Passes a body on, holding its last part back until the call is billed.
async fn pass_on(
    service: Arc<Service>,
    ticket: Ticket,
    order: Send,
    mut answer: IncomingResponse,
    sender: mpsc::Sender<Part>,
) {
    let status = answer.head.status.as_u16();
    let mut held: Option<Bytes> = None;
    loop {
        let next = tokio::time::timeout(NEXT_LIMIT, answer.chunk()).await;
        match next {
            Ok(Ok(Some(chunk))) => {
                if let Some(part) = held.replace(chunk)
                    && sender.send(Ok(Frame::data(part))).await.is_err()
                {
                    return service.count(End::Gone);
                }
            }
            Ok(Ok(None)) => break,
            Ok(Err(_)) | Err(_) => {
                let failure = if next.is_ok() { Failure::Crashed } else { Failure::Cut };
                ticket.step(Event::Failed(ticket.id(), order.attempt, failure));
                let _ = sender.send(Err(BodyError::from("the answer was cut"))).await;
                return service.count(End::Cut);
            }
        }
    }
    let bill = service.bill(status);
    if bill.amount_micro > 0 {
        service.app.shared.bills.secure(bill).await;
    }
    if let Some(part) = held {
        let _ = sender.send(Ok(Frame::data(part))).await;
    }
    ticket.step(Event::Done(ticket.id(), order.attempt, Usage::default()));
    service.count(End::Answered);
}
