//! The lifecycle of a request, from its arrival to the response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{
    Admission, AdmissionDecision, AllowedRegions, AnswerTimes, Cascade, Escalation, MonotonicTime,
    Outcome, PaceClass, Placement, PlacementError, PlacementRequest, PromptPartKey, RetryMode,
    Side, Verdict, is_detour_faster, place, prompt_processing_ms,
};
use error::{Kind, NotRunProof, Refusal};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::arrival::{Exchange, admit};
use crate::body::{ResponseBody, refusal_response};
use crate::gateway::{Gateway, Suspect};
use crate::handover::{
    AnswerNote, Handover, HandoverReason, add_refusal_headers, is_final, remove_headers,
};
use crate::metrics::Metrics;
use crate::rollouts::RolloutRequest;
use crate::send::{
    COLD, EVACUATED, InFlight, MAX_BUFFERED_BODY, PendingResponse, SendOptions, SendResult, Target,
};
use crate::wire::Dialect;

/// Number of sends allowed beyond the route's maximum number of attempts, to make up for
/// sends that servers reject without running the request.
const MAX_EXTRA_REJECTIONS: u32 = 2;
/// A silent server is given up after this multiple of the route's target latency, if another one
/// can take the request.
const SILENCE_TIMEOUT_FACTOR: f64 = 2.5;
/// The minimum time before a silent server is given up.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// The share of the target latency that must remain for a retry at another server.
///
/// A typical response takes about this long.
const MIN_RETRY_TIME_SHARE: f64 = 0.3;
/// The share of the target latency after which a server in a load test may begin an answer, by
/// estimate. It is to carry load, but not to keep callers waiting.
const MAX_TEST_WAIT_SHARE: f64 = 0.35;
/// Number of servers that can't be reached after which a request is handed to another
/// instance, although further servers could be tried.
const UNREACHABLE_TO_HAND_OVER: usize = 2;
/// Number of servers that are probed for one to which a request of a silent server could move.
const MAX_SERVERS_TO_REACH: u32 = 3;
/// Number of servers for which a permit is requested for one send.
const MAX_PERMIT_REQUESTS: u32 = 8;
/// The time after which no further server is asked for a permit.
const MAX_PERMIT_TIME: Duration = Duration::from_millis(100);
/// The retry delay suggested for a request that did not run because of a transient failure.
const TRANSIENT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The state of a request across its sends.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Servers that the request was sent to since the model last changed, and unreachable
    /// ones.
    pub tried: Vec<Name>,
    /// Servers that could not be connected to.
    pub unreachable: Vec<Name>,
    /// Other instances that the request was handed to.
    pub helpers: Vec<SocketAddr>,
    /// Why the last of them did not send it.
    pub declined: Option<Rejection>,
    /// The failure that a server answered before the request was sent again. It is passed on if
    /// no better answer follows.
    pub failure: Option<Response<ResponseBody>>,
    /// The target of the next send, if it was chosen before the last one was given up.
    pub next_target: Option<Target>,
    /// The number of sends that reached a server.
    pub sends: u32,
    /// Whether the last send was withheld because of an evacuation or a cold server; the next one
    /// takes its place and is no further retry.
    pub withheld: bool,
    /// When a send was first withheld from a cold server: the time to ask for permits is limited
    /// from then on, so that a request is rejected soon.
    pub cold_since: Option<MonotonicTime>,
    /// The number of sends that may have run.
    pub possible_runs: u32,
    /// The index of the current model among the route's models, smallest first.
    pub model_index: usize,
    /// The id of the last event that was forwarded to the caller.
    pub resume_after: Option<u64>,
    /// How the answer to the current send was rated, if a model rated it.
    pub answer_rating: Option<AnswerRating>,
    /// One log entry for each send.
    pub attempts: Vec<Value>,
}

/// The confidence of a model in its answer, and what was decided on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerRating {
    pub confidence: Option<u8>,
    pub escalation: Escalation,
}

/// Why a request can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub kind: Kind,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// Why no server may serve the request, as in the metrics, if that is so.
    pub unplaced: Option<&'static str>,
}

impl Rejection {
    /// A rejection without a time to come back.
    pub fn of(kind: Kind) -> Self {
        Rejection { kind, retry_after: None, unplaced: None }
    }

    pub fn new(kind: Kind, retry_after: Duration) -> Self {
        Rejection { retry_after: Some(retry_after), ..Rejection::of(kind) }
    }
}

/// What a search for a server takes into account.
#[derive(Debug, Clone, Copy)]
struct PlaceQuery {
    /// Whether servers for which a permit is needed may be chosen.
    may_ask: bool,
    /// Whether servers count as reachable that this instance can't reach.
    ignore_reach: bool,
}

/// Why a request was not placed.
#[derive(Debug)]
enum Unplaced {
    /// No server may serve the request, for this reason.
    NoServer(&'static str),
    /// All servers that may serve it were tried.
    NoneLeft,
    /// The servers have no room; the caller may come back after this time.
    Rejected(Duration),
}

/// Handles a request of a caller, or one that another instance handed over.
pub(crate) async fn respond<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    request: Request<Incoming>,
    handover: Option<Handover>,
) -> Response<ResponseBody> {
    let is_handover = handover.is_some();
    let arrived = gateway.now();
    gateway.metrics.open_requests.inc();
    let _open = OpenRequestGuard(gateway.clone());
    let (head, body) = request.into_parts();
    let mut id = String::new();
    let admitting = admit(&gateway, head, body, arrived, handover, &mut id);
    let admitted = gateway.cutoff.run_until_cancelled(admitting).await;
    let admitted =
        admitted.unwrap_or_else(|| Err(Refusal::new(Kind::Draining, &NotRunProof::new())));
    let result = match admitted {
        Ok(exchange) => {
            let result = run_until_deadline(&Rc::new(exchange)).await;
            if let Ok(response) = &result {
                let outcome = status_label(response.status().as_u16());
                gateway.metrics.first_byte.observe((gateway.now() - arrived).as_secs_f64());
                Metrics::count(gateway.metrics.requests_by_origin(is_handover), outcome);
            }
            result
        }
        Err(refusal) => Err(refusal),
    };
    result.unwrap_or_else(|refusal| {
        let outcomes = gateway.metrics.requests_by_origin(is_handover);
        Metrics::count(outcomes, refusal.kind().name());
        let config = gateway.catalog().map_or(0, |catalog| catalog.version);
        let fields = || {
            json!({
                "request": id,
                "kind": refusal.kind().name(),
                "not_run": refusal.not_run(),
                "retry_after_ms": refusal.retry_after_ms(),
                "held_ms": (gateway.now() - arrived).as_millis() as u64,
                "config": config,
                "taken_over": is_handover,
            })
        };
        gateway.event_log.write("refused", gateway.now(), fields);
        let mut response = refusal_response(&refusal);
        gateway.dialect.add_refusal_headers(&id, response.headers_mut());
        if is_handover {
            add_refusal_headers(&refusal, config, response.headers_mut());
        }
        response
    })
}

fn status_label(status: u16) -> &'static str {
    match status {
        200..=299 => "answered",
        300..=499 => "answered_4xx",
        _ => "answered_5xx",
    }
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Decrements the number of open requests when dropped.
struct OpenRequestGuard<D>(Rc<Gateway<D>>);

impl<D> Drop for OpenRequestGuard<D> {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

/// Runs the exchange and ends it with a refusal at the deadline.
async fn run_until_deadline<D: Dialect>(
    exchange: &Rc<Exchange<D>>,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut progress = Progress {
        model_index: Cascade::first_model(),
        resume_after: exchange.request.resume_after,
        possible_runs: exchange.handover.as_ref().map_or(0, |handover| handover.attempts),
        ..Progress::default()
    };
    let until = exchange.gateway.instant(exchange.deadline);
    let running = tokio::time::timeout_at(until, exchange.run(&mut progress));
    let result = match exchange.gateway.cutoff.run_until_cancelled(running).await {
        Some(Ok(result)) => result,
        Some(Err(_)) => {
            let unsent = Refusal::new(Kind::QueueExpired, &exchange.proof);
            Err(if unsent.not_run() { unsent } else { exchange.refusal(Kind::Timeout, None) })
        }
        None => Err(exchange.refusal(Kind::Draining, None)),
    };
    let result = result.or_else(|refusal| progress.failure.take().ok_or(refusal));
    exchange
        .log_request(&progress, result.as_ref().map(|response| response.status().as_u16()).ok());
    result
}

impl<D: Dialect> Exchange<D> {
    /// Sends the request until a server responds or no retry is possible.
    async fn run(
        self: &Rc<Self>,
        progress: &mut Progress,
    ) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let mut target = match progress.next_target.take() {
                Some(target) => target,
                None => self.choose_target(progress).await.map_err(|reason| self.reject(reason))?,
            };
            let (result, in_flight) = self.send_next(progress, &mut target).await;
            match result {
                SendResult::NotRun(reason) => self.record_not_run(progress, in_flight, reason),
                SendResult::Lost(reason) => {
                    if target.is_helper {
                        // How often the other instance sent it is not known.
                        progress.possible_runs = self.route.max_attempts;
                    }
                    self.record_lost(progress, in_flight, reason);
                    if !self.may_retry(progress) {
                        let silent = reason == "silent";
                        let kind = if silent { Kind::Timeout } else { Kind::BackendFailed };
                        return Err(self.refusal(kind, None));
                    }
                }
                SendResult::Declined(reason) => {
                    self.record_declined(progress, in_flight, reason);
                    if is_final(reason.kind) {
                        return Err(self.reject(reason));
                    }
                }
                SendResult::GivenUp(kind) => {
                    progress.possible_runs += 1;
                    self.record_attempt(progress, &in_flight, kind.name());
                    return Err(self.refusal(kind, None));
                }
                SendResult::Answered(pending) => {
                    if let Some(response) =
                        self.accept_response(progress, pending, in_flight).await?
                    {
                        return Ok(response);
                    }
                }
            }
        }
    }

    /// Sends the request to a server.
    ///
    /// If the request could still be retried afterwards, this send is given up when the
    /// server stays silent and another one can take the request, or when it becomes unreachable.
    pub async fn send_next(
        &self,
        progress: &mut Progress,
        target: &mut Target,
    ) -> (SendResult, InFlight<D>) {
        let may_retry =
            self.route.repeatable() && progress.possible_runs + 1 < self.route.max_attempts;
        let remaining = self.deadline.saturating_sub(self.gateway.now());
        let silence_timeout =
            self.route.target_latency.mul_f64(SILENCE_TIMEOUT_FACTOR).max(MIN_SILENCE_TIMEOUT);
        let model = self.route.models.get(progress.model_index);
        let options = SendOptions {
            model: model.map(|model| &**model),
            priority: self.route.stream.then(|| self.priority().min(9)),
            resume_after: progress.resume_after,
            possible_runs: progress.possible_runs,
            timeout: remaining,
            silence_timeout,
            may_abandon: may_retry,
        };
        progress.sends += 1;
        progress.withheld = false;
        match target.is_helper {
            true => progress.helpers.push(target.addr),
            false => progress.tried.push(target.server.clone()),
        }
        self.send(progress, target, &options).await
    }

    /// Whether a connection can be established to another server than this one that could take the
    /// request now.
    pub async fn reaches_other_server(&self, progress: &Progress, server: &Name) -> bool {
        let gateway = &self.gateway;
        for _ in 0..MAX_SERVERS_TO_REACH {
            let Some(server) = self.other_server(progress, server) else { return false };
            let addr = gateway.fleet.borrow().get(&server).map(|server| server.info.addr);
            let Some(addr) = addr else { return false };
            if gateway.pool.probe(addr).await.is_ok() {
                return true;
            }
            gateway.mark_unreachable(&server);
        }
        false
    }

    /// Returns the best other server than this one that the request could be sent to next.
    fn other_server(&self, progress: &Progress, server: &Name) -> Option<Name> {
        if !self.may_send_again(progress) {
            return None;
        }
        let best = self.best_server(progress)?;
        (best.server != *server && !best.unreachable).then_some(best.server)
    }

    /// The priority of the request; the client account's takes precedence over the route's.
    pub fn priority(&self) -> u8 {
        let account_priority = self.account.as_ref().and_then(|account| account.priority);
        account_priority.unwrap_or(self.route.priority)
    }

    /// The regions in which the request may be served.
    pub fn allowed_regions(&self) -> AllowedRegions<'_> {
        let account = self.account.as_ref().map(|account| &*account.allowed_regions);
        AllowedRegions { route: &self.route.allowed_regions, account: account.unwrap_or_default() }
    }

    /// Chooses the server for the next send.
    ///
    /// Rejects the request if it is blocked for crashing servers, if the number of sends or
    /// the retry budget is exhausted, if no server is available, or if the expected wait
    /// exceeds the deadline.
    pub async fn choose_target(&self, progress: &Progress) -> Result<Target, Rejection> {
        self.check_sendable(progress)?;
        self.yield_to_urgent(progress).await?;
        let gateway = &self.gateway;
        let now = gateway.now();
        if progress.sends >= self.max_sends() {
            return Err(Rejection::new(Kind::Overloaded, TRANSIENT_RETRY_AFTER));
        }
        let retry = progress.sends > 0;
        if retry
            && !progress.withheld
            && !gateway.budget.borrow_mut().try_take(&self.service, gateway.members(), now)
        {
            Metrics::count(&gateway.metrics.retries, "no_budget");
            return Err(Rejection::new(Kind::Overloaded, TRANSIENT_RETRY_AFTER));
        }
        if let Some(session) = self.request.session.filter(|_| !retry) {
            gateway.settle_session(&self.service, session).await;
        }
        let asked_since = progress.cold_since.unwrap_or_else(|| gateway.now());
        let mut permit_requests = 0;
        let (placement, permit) = loop {
            let may_ask = permit_requests < MAX_PERMIT_REQUESTS
                && gateway.now().saturating_sub(asked_since) < MAX_PERMIT_TIME;
            let placed = self.place(progress, may_ask);
            match self.handover_reason(progress, &placed) {
                // The instance that handed the request over can ask another one.
                Some(_) if self.handover.is_some() => {
                    return Err(Rejection::new(Kind::NoServer, TRANSIENT_RETRY_AFTER));
                }
                Some(reason) => {
                    if let Some(helper) = self.choose_helper(progress, reason) {
                        return Ok(helper);
                    }
                    if reason == HandoverReason::Lost {
                        return Err(self.lost_rejection(progress));
                    }
                }
                None => {}
            }
            let placement = placed.map_err(|reason| match reason {
                Unplaced::NoServer(reason) => Rejection {
                    unplaced: Some(reason),
                    ..Rejection::new(Kind::NoServer, TRANSIENT_RETRY_AFTER)
                },
                Unplaced::NoneLeft => Rejection::new(Kind::NoServer, TRANSIENT_RETRY_AFTER),
                Unplaced::Rejected(after) => Rejection::new(Kind::Overloaded, after),
            })?;
            if !placement.needs_permit {
                break (placement, None);
            }
            permit_requests += 1;
            let permit = gateway.take_permit(&placement.server, self.priority()).await;
            if permit.is_some() {
                break (placement, permit);
            }
        };
        let now = gateway.now();
        let mut fleet = gateway.fleet.borrow_mut();
        let model = self.model(progress);
        for part in &self.request.prompt_parts {
            fleet.mark_cached(&placement.server, PromptPartKey::new(model, part.id), now);
        }
        let info = fleet.get(&placement.server).map(|server| server.info.clone());
        let info = info.ok_or(Rejection::new(Kind::NoServer, TRANSIENT_RETRY_AFTER))?;
        drop(fleet);
        let prefill_tokens = placement.prefill_tokens;
        Ok(Target {
            server: info.id,
            version: info.version,
            domain: info.domain,
            addr: info.addr,
            prefill_tokens,
            permit,
            is_helper: false,
        })
    }

    /// The number of sends after which the request is rejected.
    fn max_sends(&self) -> u32 {
        self.route.max_attempts + MAX_EXTRA_REJECTIONS
    }

    /// Whether the number of sends and the retry budget allow a further send.
    fn may_send_again(&self, progress: &Progress) -> bool {
        let gateway = &self.gateway;
        let mut budget = gateway.budget.borrow_mut();
        progress.sends < self.max_sends()
            && budget.remaining(&self.service, gateway.members(), gateway.now()) >= 1.0
    }

    /// Rejects the request if it is blocked for crashing servers, or if the instance shuts down
    /// too soon for it.
    pub fn check_sendable(&self, progress: &Progress) -> Result<(), Rejection> {
        let gateway = &self.gateway;
        if gateway.poison.borrow().is_blocked(self.fingerprint) || !self.may_send_prompt(progress) {
            return Err(Rejection::of(Kind::CrashesServers));
        }
        if progress.possible_runs == 0 && gateway.refuses_while_draining(self.deadline) {
            return Err(Rejection::of(Kind::Draining));
        }
        Ok(())
    }

    /// Why the request is better sent by another instance, if it is.
    fn handover_reason(
        &self,
        progress: &Progress,
        placed: &Result<Placement, Unplaced>,
    ) -> Option<HandoverReason> {
        let gateway = &self.gateway;
        let own_ms = match placed {
            Ok(placement) if placement.unreachable => return Some(HandoverReason::Lost),
            Err(Unplaced::NoneLeft) if !progress.unreachable.is_empty() => {
                return Some(HandoverReason::Lost);
            }
            Err(Unplaced::NoServer(_) | Unplaced::NoneLeft) => return None,
            Err(Unplaced::Rejected(_)) => None,
            Ok(placement) => Some(placement.estimate_ms),
        };
        if progress.unreachable.len() >= UNREACHABLE_TO_HAND_OVER {
            return Some(HandoverReason::Unreachable);
        }
        if gateway.probed_servers.borrow().is_empty() {
            return None;
        }
        let reach = gateway.fleet.borrow().reach(&self.service);
        if self.handover.is_some() && !reach.is_narrow() {
            return None;
        }
        let whole_ms = if reach.is_narrow() { self.estimate_if_reached(progress) } else { None };
        is_detour_faster(reach, own_ms, whole_ms).then_some(HandoverReason::Narrow)
    }

    /// Why a request is rejected whose servers can't be reached, here or by the instances that
    /// were asked.
    fn lost_rejection(&self, progress: &Progress) -> Rejection {
        let declined = progress.declined.filter(|declined| declined.kind != Kind::NotReady);
        declined.unwrap_or(Rejection::new(Kind::NoServer, TRANSIENT_RETRY_AFTER))
    }

    /// Returns the estimated time to the first byte, in ms, if all servers were reached.
    fn estimate_if_reached(&self, progress: &Progress) -> Option<f64> {
        let query = PlaceQuery { may_ask: false, ignore_reach: true };
        self.find_server(progress, query).ok().map(|placement| placement.estimate_ms)
    }

    /// Returns the best server for the request now, whether or not it may be in time.
    pub fn best_server(&self, progress: &Progress) -> Option<Placement> {
        let query = PlaceQuery { may_ask: true, ignore_reach: false };
        self.find_server(progress, query).ok()
    }

    /// Chooses a server for the request.
    fn find_server(
        &self,
        progress: &Progress,
        query: PlaceQuery,
    ) -> Result<Placement, PlacementError> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let work_factor = Cascade::work_factor(progress.model_index, self.route.models.len());
        let choice = gateway.rollout_choice(&RolloutRequest {
            service: &self.service,
            route: &self.route.name,
            session: self.request.session,
            prompt_ms: prompt_processing_ms(&self.request.prompt_parts, work_factor),
        });
        let test_server = choice.as_ref().and_then(|choice| choice.test_server.clone());
        let (version, excluded) = match choice {
            Some(choice) if choice.side == Side::New => (Some(choice.to), Vec::new()),
            Some(choice) => (None, [choice.rolled_back, vec![choice.to]].concat()),
            None => (None, gateway.fleet.borrow().unknown_versions(&self.service, now)),
        };
        let mut wanted = PlacementRequest {
            service: &self.service,
            version: version.as_ref(),
            server: None,
            excluded_versions: &excluded,
            domain: &gateway.settings.domain,
            model: self.model(progress),
            work_factor,
            parts: &self.request.prompt_parts,
            tried: &progress.tried,
            priority: self.priority(),
            may_ask: query.may_ask,
            ignore_reach: query.ignore_reach,
            regions: self.allowed_regions(),
        };
        let fleet = gateway.fleet.borrow();
        let random = gateway.random();
        if self.is_suspect() {
            // Alone on its server it crashes no other suspect, and none crashes it.
            let suspects = gateway.suspects_in_flight.borrow();
            let avoided: Vec<Name> =
                progress.tried.iter().chain(suspects.keys()).cloned().collect();
            let apart = PlacementRequest { tried: &avoided, ..wanted };
            if let Ok(placement) = place(&fleet, &apart, random, now)
                && !placement.unreachable
            {
                return Ok(placement);
            }
        } else if let Some(server) = &test_server {
            let on_server = PlacementRequest {
                version: None,
                server: Some(server),
                excluded_versions: &[],
                ..wanted
            };
            let max_wait = self.route.target_latency.mul_f64(MAX_TEST_WAIT_SHARE);
            if let Ok(placement) = place(&fleet, &on_server, random, now)
                && !placement.unreachable
                && !placement.needs_permit
                && placement.estimate_ms <= max_wait.as_secs_f64() * 1e3
            {
                return Ok(placement);
            }
        }
        let is_none_left = |placement: &Result<Placement, PlacementError>| {
            matches!(placement, Err(PlacementError::AllTried | PlacementError::Full(_)))
        };
        let mut placement = place(&fleet, &wanted, random, now);
        if is_none_left(&placement)
            && self.route.repeatable()
            && let Some(last) = progress.tried.last()
        {
            // A repeatable request may return to a server that it was already sent to, and to the
            // last one only if there is no other.
            let avoided = [&progress.unreachable[..], std::slice::from_ref(last)].concat();
            placement = place(&fleet, &PlacementRequest { tried: &avoided, ..wanted }, random, now);
            if is_none_left(&placement) {
                wanted.tried = &progress.unreachable;
                placement = place(&fleet, &wanted, random, now);
            }
        }
        placement
    }

    /// Places the request; `may_ask` if servers for which a permit is needed may be chosen.
    fn place(&self, progress: &Progress, may_ask: bool) -> Result<Placement, Unplaced> {
        let now = self.gateway.now();
        let random = self.gateway.random();
        let placement = self.find_server(progress, PlaceQuery { may_ask, ignore_reach: false });
        let placement = placement.map_err(|reason| match reason {
            PlacementError::NoServer => Unplaced::NoServer("not_listed"),
            PlacementError::Evacuated => Unplaced::NoServer("evacuated"),
            PlacementError::OutsideRegions => Unplaced::NoServer("region"),
            PlacementError::AllTried => Unplaced::NoneLeft,
            PlacementError::Full(until) => {
                Unplaced::Rejected(Admission::retry_after(until.saturating_sub(now), random))
            }
        })?;
        let estimate = Duration::from_secs_f64(placement.estimate_ms / 1e3);
        match Admission::decide(estimate, now, self.deadline, random) {
            AdmissionDecision::Admit => Ok(placement),
            AdmissionDecision::Reject(after) => Err(Unplaced::Rejected(after)),
        }
    }

    /// Whether the prompt may go to another server. One that may crash servers goes to one
    /// only.
    fn may_send_prompt(&self, progress: &Progress) -> bool {
        match self.gateway.judge_prompt(&self.request.prompt_parts) {
            Verdict::Clear => true,
            Verdict::Suspect => progress.possible_runs == 0 || progress.resume_after.is_some(),
            Verdict::Blocked => false,
        }
    }

    /// Whether a server may have crashed of the request before.
    pub fn is_suspect(&self) -> bool {
        self.gateway.poison.borrow().is_suspect(self.fingerprint)
    }

    /// The request, if a server that lost the answer for this reason may have crashed of it.
    pub fn suspect_after(&self, reason: &str) -> Option<Suspect> {
        let may_be_crash = matches!(reason, "broken" | "stale" | "cut" | "closed" | "torn_event");
        may_be_crash.then(|| Suspect {
            fingerprint: self.fingerprint,
            prompt: self.request.prompt_parts.clone(),
        })
    }

    /// Records that the answer is complete: its server has survived the request.
    pub fn record_survived(&self) {
        self.gateway.poison.borrow_mut().record_answer(self.fingerprint);
        self.gateway.clear_prompt(&self.request.prompt_parts);
    }

    fn model<'a>(&'a self, progress: &Progress) -> &'a str {
        let chosen = self.route.models.get(progress.model_index);
        chosen.or(self.request.model.as_ref()).map_or("", |model| &**model)
    }

    /// The answers that those of this request are compared with.
    pub fn pace_class(&self, progress: &Progress) -> PaceClass {
        PaceClass { route: self.route.name.clone(), model: self.model(progress).into() }
    }

    fn reject(&self, reason: Rejection) -> Refusal {
        if let Some(reason) = reason.unplaced {
            Metrics::count(&self.gateway.metrics.unplaced, reason);
        }
        self.refusal(reason.kind, reason.retry_after)
    }

    fn refusal(&self, kind: Kind, after: Option<Duration>) -> Refusal {
        Refusal::new(kind, &self.proof).retry_after(after.map(|after| after.as_millis() as u64))
    }

    /// Records that another instance did not send the request.
    pub fn record_declined(
        &self,
        progress: &mut Progress,
        in_flight: InFlight<D>,
        reason: Rejection,
    ) {
        self.record_attempt(progress, &in_flight, reason.kind.name());
        progress.sends -= 1;
        progress.declined = Some(reason);
        in_flight.end(Outcome::Rejected);
    }

    /// Records a send that did not run.
    ///
    /// One that was withheld because of an evacuation or for want of a permit for a cold server
    /// doesn't count as a send, and says nothing about the server.
    pub fn record_not_run(
        &self,
        progress: &mut Progress,
        in_flight: InFlight<D>,
        reason: &'static str,
    ) {
        self.record_attempt(progress, &in_flight, reason);
        if matches!(reason, EVACUATED | COLD) {
            progress.sends -= 1;
            progress.tried.pop();
            progress.withheld = true;
            if reason == COLD {
                progress.cold_since.get_or_insert(in_flight.sent_at);
            }
            Metrics::count(&self.gateway.metrics.retries, reason);
            return in_flight.end(Outcome::Abandoned);
        }
        let outcome = match reason {
            "unreachable" | "closed" => Outcome::Unreachable,
            _ => Outcome::Rejected,
        };
        if outcome == Outcome::Unreachable {
            progress.sends -= 1;
            if in_flight.helper.is_none() {
                progress.unreachable.push(in_flight.server.clone());
                self.gateway.mark_unreachable(&in_flight.server);
            }
        }
        in_flight.end(outcome);
    }

    /// Records a send that may have run but yielded no usable response.
    pub fn record_lost(
        &self,
        progress: &mut Progress,
        mut in_flight: InFlight<D>,
        reason: &'static str,
    ) {
        progress.possible_runs += 1;
        self.record_attempt(progress, &in_flight, reason);
        match self.suspect_after(reason) {
            Some(suspect) if reason == "stale" => in_flight.end_stale(suspect),
            suspect => in_flight.record_loss(suspect),
        }
    }

    /// Whether a request that may have run may be retried.
    fn may_retry(&self, progress: &Progress) -> bool {
        self.route.repeatable() && progress.possible_runs < self.route.max_attempts
    }

    /// Processes a response. Returns `None` if the request should be retried.
    async fn accept_response(
        self: &Rc<Self>,
        progress: &mut Progress,
        pending: Box<PendingResponse>,
        mut in_flight: InFlight<D>,
    ) -> Result<Option<Response<ResponseBody>>, Refusal> {
        self.count_runs(progress, &pending);
        if self.route.stream && pending.status.is_success() {
            return self.start_stream(progress, pending, in_flight).await;
        }
        let PendingResponse { response, info, status, .. } = *pending;
        let headers = response.head.headers.clone();
        let body = match response.collect(MAX_BUFFERED_BODY).await {
            Ok(Some(body)) => body,
            Ok(None) | Err(_) => {
                // `record_lost` counts this send again.
                progress.possible_runs = progress.possible_runs.saturating_sub(1);
                self.check_broken_help(&in_flight);
                self.record_lost(progress, in_flight, "cut");
                if self.may_retry(progress) {
                    return Ok(None);
                }
                return Err(self.refusal(Kind::BackendFailed, None));
            }
        };
        self.record_survived();
        let failed = status.is_server_error();
        let server = in_flight.server.clone();
        if !failed {
            let whole = Some(self.gateway.now().saturating_sub(in_flight.sent_at));
            let slowdown = info.report.map(|report| report.slowdown);
            let times = AnswerTimes { whole, slowdown, ..AnswerTimes::default() };
            in_flight.record_pace(&self.pace_class(progress), &times);
        }
        self.record_attempt(progress, &in_flight, if failed { "failed" } else { "answered" });
        in_flight.end(if failed { Outcome::Failed } else { Outcome::Success });
        let mut response = Response::new(ResponseBody::full(body));
        *response.status_mut() = status;
        *response.headers_mut() = self.response_headers(progress, server, &headers);
        if failed && self.may_retry(progress) && self.has_time_to_retry() {
            Metrics::count(&self.gateway.metrics.retries, "failed");
            progress.failure = Some(response);
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Counts the servers on which an answered request may have run.
    pub fn count_runs(&self, progress: &mut Progress, pending: &PendingResponse) {
        let attempts = pending.note.as_ref().map(|note| note.attempts);
        progress.possible_runs = attempts.unwrap_or(progress.possible_runs + 1);
    }

    /// Returns the headers of the response of a server to the caller, or to the instance that
    /// handed the request over.
    pub fn response_headers(
        &self,
        progress: &Progress,
        server: Name,
        headers: &HeaderMap,
    ) -> HeaderMap {
        let mut headers = self.gateway.dialect.response_headers(headers);
        remove_headers(&mut headers);
        if let Some(handover) = &self.handover {
            let server = handover.removes_all_headers().then_some(server);
            AnswerNote { attempts: progress.possible_runs, server }.add_headers(&mut headers);
        }
        headers
    }

    /// Whether enough time remains for another server to respond.
    pub fn has_time_to_retry(&self) -> bool {
        let remaining = self.deadline.saturating_sub(self.gateway.now());
        remaining > self.route.target_latency.mul_f64(MIN_RETRY_TIME_SHARE)
    }

    /// Whether the stream may be resumed at another server.
    pub fn may_resume(&self, progress: &Progress) -> bool {
        self.route.retry_mode == RetryMode::Resumable && self.may_retry(progress)
    }

    /// Adds the result of a send to the log entries of the request.
    pub fn record_attempt(
        &self,
        progress: &mut Progress,
        in_flight: &InFlight<D>,
        result: &'static str,
    ) {
        let now = self.gateway.now();
        let mut entry = json!({
            "server": &*in_flight.server,
            "version": &*in_flight.version,
            "model": self.model(progress),
            "how": result,
            "after_ms": in_flight.sent_at.saturating_sub(self.arrived).as_millis() as u64,
            "took_ms": now.saturating_sub(in_flight.sent_at).as_millis() as u64,
        });
        if let Some(rate) = in_flight.rate_limit {
            entry["limit"] = json!(rate);
        }
        if let Some((pace, load)) = in_flight.pace_and_load() {
            entry["pace"] = json!(rounded(pace));
            entry["load"] = json!(rounded(load));
        }
        if let Some(rating) = progress.answer_rating.take() {
            entry["confidence"] = json!(rating.confidence);
            if let Escalation::Keep(reason) = rating.escalation {
                entry["kept"] = json!(reason.name());
            }
        }
        if in_flight.has_permit() {
            entry["permit"] = json!(true);
        }
        if in_flight.helper.is_some() {
            entry["handed_over"] = json!(true);
        }
        progress.attempts.push(entry);
    }

    /// Writes the log line of the request.
    pub fn log_request(&self, progress: &Progress, status: Option<u16>) {
        let gateway = &self.gateway;
        gateway.event_log.write("request", gateway.now(), || {
            json!({
                "request": self.request.id,
                "route": &*self.route.name,
                "service": &*self.service,
                "account": self.account.as_ref().map(|account| &*account.name),
                "config": self.config,
                "status": status,
                "taken_over": self.handover.is_some(),
                "sends": progress.attempts,
                "passed_on": progress.resume_after,
                "took_ms": gateway.now().saturating_sub(self.arrived).as_millis() as u64,
            })
        });
    }
}
