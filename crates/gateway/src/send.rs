//! A single send of a request to a server.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use config::Name;
use conn::{IncomingResponse, Lease, SendError};
use dispatch::{AnswerTimes, LoadReport, MonotonicTime, Outcome, PaceClass, Route};
use error::Kind;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use tokio::time::Instant;

use crate::arrival::Exchange;
use crate::cold::ColdReason;
use crate::exchange::{Progress, Rejection};
use crate::gateway::{Gateway, LostAnswer, Suspect};
use crate::handover::{AnswerNote, is_refusal, read_refusal};
use crate::metrics::Metrics;
use crate::permits::Permit;
use crate::rollouts::AnswerOrigin;
use crate::wire::{Dialect, ForwardInfo, ResponseInfo};

/// Maximum size in bytes of a response that is buffered before it is forwarded.
pub(crate) const MAX_BUFFERED_BODY: usize = 4 << 20;

/// Why a request was not written to a server that was chosen before its failure domain was
/// evacuated.
pub(crate) const EVACUATED: &str = "evacuated";
/// Why a request was not written to a server that is cold: no permit was issued for it as a cold
/// server, or too long ago.
pub(crate) const COLD: &str = "cold";

/// A pooled connection that was idle for less than this is assumed to be alive.
const TRUSTED_IDLE_TIME: Duration = Duration::from_millis(700);
/// If a pooled connection breaks this soon after a send, the server is assumed to have closed
/// it as idle, if it can be reached.
const STALE_CLOSE_WINDOW: Duration = Duration::from_millis(15);
/// A sound server may send nothing and take no new connections for this long, and go on.
const MIN_SILENCE: Duration = Duration::from_millis(1_300);
/// A server that has sent nothing for this long is probed with a new connection.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(350);

/// An answer that takes this multiple of the time of like ones is as bad as a failed one, unless
/// it waited for a slot.
const SLOW_PACE: f64 = 3.0;

/// A request in flight at a server. Counted as abandoned if dropped before it is ended.
pub(crate) struct InFlight<D> {
    gateway: Rc<Gateway<D>>,
    pub server: Name,
    pub service: Name,
    pub route: Name,
    pub version: Name,
    pub sent_at: MonotonicTime,
    /// The rate limit of the server when the request was sent.
    pub rate_limit: Option<f64>,
    /// The address of the instance that the request was handed to, instead of a server.
    pub helper: Option<SocketAddr>,
    session: Option<u64>,
    /// Whether a server may have crashed of the request before.
    is_suspect: bool,
    permit: Option<Permit>,
    /// The prompt tokens that are still attributed to the server's load.
    prefill_tokens: f64,
    /// Number of slots of the server.
    slots: f64,
    /// Running requests on the server as a fraction of its slots.
    running: f64,
    /// The same with waiting requests.
    load: f64,
    /// Whether the pace of the answer was recorded for a rollout.
    paced: bool,
    /// How many times as long as like ones the answer takes, if that is known.
    pace: Option<f64>,
    /// Whether the answer has begun.
    begun: bool,
    is_stream: bool,
    ended: bool,
}

impl<D> InFlight<D> {
    /// Adds the request to the load of the server.
    pub fn start(
        gateway: &Rc<Gateway<D>>,
        service: &Name,
        route: &Route,
        session: Option<u64>,
        is_suspect: bool,
        target: &mut Target,
    ) -> Self {
        let helper = target.is_helper.then_some(target.addr);
        if let Some(addr) = helper {
            gateway.helpers.borrow_mut().request_sent(addr);
        }
        // The helper records the version of the session.
        let session = session.filter(|_| helper.is_none());
        if let Some(session) = session {
            gateway.begin_session(session, &target.version);
        }
        let now = gateway.now();
        let is_suspect = is_suspect && helper.is_none();
        if helper.is_none() {
            gateway.record_exposure(service, &target.version);
        }
        if is_suspect {
            let mut suspects = gateway.suspects_in_flight.borrow_mut();
            *suspects.entry(target.server.clone()).or_default() += 1;
        }
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.request_sent(&target.server, target.prefill_tokens);
        let server = fleet.get(&target.server);
        let rate_limit = server.and_then(|server| server.rate_limit.rate);
        let load = server.map_or(0.0, |server| server.load_fraction(now));
        let slots = server.map_or(1.0, |server| f64::from(server.info.slots.max(1)));
        InFlight {
            gateway: gateway.clone(),
            server: target.server.clone(),
            service: service.clone(),
            route: route.name.clone(),
            version: target.version.clone(),
            prefill_tokens: target.prefill_tokens,
            sent_at: now,
            rate_limit,
            helper,
            session,
            is_suspect,
            permit: target.permit.take(),
            slots,
            running: load,
            load,
            paced: false,
            pace: None,
            begun: false,
            is_stream: route.stream,
            ended: false,
        }
    }

    /// What the answer is counted by.
    fn origin(&self) -> AnswerOrigin {
        AnswerOrigin {
            service: self.service.clone(),
            route: self.route.clone(),
            version: self.version.clone(),
            server: self.server.clone(),
            running: self.running,
            load: self.load,
        }
    }

    /// Records the load that the server reports with its answer.
    fn record_load(&mut self, report: &LoadReport, status: StatusCode) {
        // A request that failed does not run any more.
        let failed = u32::from(status.is_server_error());
        self.running = f64::from(report.running + failed) / self.slots;
        self.load = f64::from(report.running + report.waiting + failed) / self.slots;
    }

    /// Records for a rollout that a sound answer has begun, once.
    pub fn record_begun(&mut self) {
        if self.begun || self.helper.is_some() {
            return;
        }
        self.begun = true;
        let is_slow =
            !self.is_stream && self.load <= 1.0 && self.pace.is_some_and(|pace| pace >= SLOW_PACE);
        self.gateway.record_route_answer(&self.origin(), is_slow);
    }

    /// How many times as long as like ones the answer takes, and the load of the server, if a
    /// rollout is in progress.
    pub fn pace_and_load(&self) -> Option<(f64, f64)> {
        self.pace.map(|pace| (pace, self.load))
    }

    /// Removes the prompt tokens from the load of the server.
    fn prompt_processed(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        self.gateway.fleet.borrow_mut().prefill_done(&self.server, prefill_tokens);
    }

    /// Records that the server had no room for the request.
    fn record_rejection(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.set_rejected();
        }
        let is_brittle = {
            let fleet = self.gateway.fleet.borrow();
            fleet.get(&self.server).is_some_and(|server| server.is_brittle())
        };
        if is_brittle {
            let reason = if self.permit.is_some() { "permit" } else { "no_permit" };
            Metrics::count(&self.gateway.metrics.brittle_rejections, reason);
        }
        if is_brittle && self.permit.is_none() {
            self.gateway.report_blind_rejection(&self.server);
        }
    }

    /// Whether a permit was issued for the request.
    pub fn has_permit(&self) -> bool {
        self.permit.is_some()
    }

    /// Ends the request. A success or failure also counts in a rollout of the service.
    pub fn end(mut self, outcome: Outcome) {
        self.record_outcome(outcome);
        let failed = outcome == Outcome::Failed;
        // Answers to requests that were handed over count at the other instance.
        if self.helper.is_none() && matches!(outcome, Outcome::Success | Outcome::Failed) {
            self.gateway.record_rollout_answer(&self.origin(), failed);
            match failed {
                true => self.gateway.record_route_answer(&self.origin(), true),
                false => self.record_begun(),
            }
        }
    }

    /// Ends a request whose answer was dropped for that of a larger model. It shows neither
    /// that its version is sound nor that it is slow, so it does not count in a rollout.
    pub fn end_dropped(mut self) {
        self.record_outcome(Outcome::Success);
    }

    /// Compares the pace of the answer with that of like ones, once.
    pub fn compare_pace(&mut self, class: &PaceClass, times: &AnswerTimes) {
        if !self.paced && self.helper.is_none() {
            self.pace = self.gateway.record_rollout_pace(&self.origin(), class, times);
        }
        self.paced = true;
    }

    /// Compares the pace of an answer that has ended, and compares later ones with it.
    pub fn record_pace(&mut self, class: &PaceClass, times: &AnswerTimes) {
        self.compare_pace(class, times);
        if self.helper.is_none() {
            self.gateway.record_reference_pace(&self.service, &self.version, class, times);
        }
    }

    /// Counts the outcome and removes the request from the load of the server.
    fn record_outcome(&mut self, outcome: Outcome) {
        self.ended = true;
        if self.is_suspect {
            let mut suspects = self.gateway.suspects_in_flight.borrow_mut();
            if let Some(count) = suspects.get_mut(&self.server) {
                *count -= 1;
            }
            suspects.retain(|_, count| *count > 0);
        }
        if let Some(session) = self.session {
            self.gateway.end_session(session);
        }
        if let Some(addr) = self.helper {
            return self.gateway.helpers.borrow_mut().request_ended(addr);
        }
        self.prompt_processed();
        let reason = match outcome {
            Outcome::Success => "sound",
            Outcome::Failed => "failed",
            Outcome::Rejected => "rejected",
            Outcome::Unreachable => "unreachable",
            Outcome::Abandoned => "abandoned",
        };
        Metrics::count(&self.gateway.metrics.sends, reason);
        let now = self.gateway.now();
        let is_cold_news =
            self.gateway.fleet.borrow_mut().request_ended(&self.server, outcome, now);
        if is_cold_news {
            self.gateway.record_cold(&self.server, ColdReason::Reachable);
        }
        self.gateway.note_reachability(&self.service);
    }
}

impl<D: 'static> InFlight<D> {
    /// Ends a request whose answer was lost, unless it has ended. Whether it counts in a rollout
    /// depends on whether the server can still be reached; see [`Gateway::check_after_loss`].
    pub fn record_loss(&mut self, suspect: Option<Suspect>) {
        if !self.ended {
            self.record_outcome(Outcome::Failed);
            self.check_server(suspect, false);
        }
    }

    /// Ends a request whose connection may have been closed because it was idle.
    pub fn end_stale(mut self, suspect: Suspect) {
        self.record_outcome(Outcome::Abandoned);
        self.check_server(Some(suspect), true);
    }

    fn check_server(&self, suspect: Option<Suspect>, was_idle: bool) {
        if self.helper.is_none() {
            let loss = LostAnswer { origin: self.origin(), suspect, was_idle };
            self.gateway.check_after_loss(loss);
        }
    }
}

impl<D> Drop for InFlight<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.record_outcome(Outcome::Abandoned);
        }
    }
}

/// The result of a send. The strings are reasons as they appear in the log.
pub(crate) enum SendResult {
    /// The intended server responded to this request.
    Answered(Box<PendingResponse>),
    /// The request did not run on the server.
    NotRun(&'static str),
    /// The request may have run, but no usable response was received.
    Lost(&'static str),
    /// An instance that the request was handed to did not send it.
    Declined(Rejection),
    /// An instance that the request was handed to gave it up after it may have run.
    GivenUp(Kind),
}

/// A response whose body has not been read yet.
pub(crate) struct PendingResponse {
    pub response: IncomingResponse,
    pub info: ResponseInfo,
    pub status: StatusCode,
    pub first_byte: Duration,
    /// What the helper adds that passes it on, if one does.
    pub note: Option<AnswerNote>,
}

impl<D: Dialect> Exchange<D> {
    /// Sends the request to a server and reads the head of the response.
    pub async fn send(
        &self,
        progress: &Progress,
        target: &mut Target,
        options: &SendOptions<'_>,
    ) -> (SendResult, InFlight<D>) {
        let mut in_flight = InFlight::start(
            &self.gateway,
            &self.service,
            &self.route,
            self.request.session,
            self.is_suspect(),
            target,
        );
        let lease = match self.lease(target).await {
            Ok(lease) => lease,
            Err(error) => {
                log::debug!("{}: failed to connect to {}: {error}", self.request.id, target.server);
                let result = SendResult::NotRun("unreachable");
                if target.is_helper {
                    self.record_help(target.addr, &result);
                }
                return (result, in_flight);
            }
        };
        let permit = in_flight.permit.as_ref();
        let sending = self.send_over(lease, target, options, permit);
        let sending = tokio::time::timeout(options.timeout, sending);
        let may_move = options.may_abandon && !target.is_helper;
        let gives_up = async |finding| match finding {
            ProbeFinding::Refused => {
                may_move && self.reaches_other_server(progress, &target.server).await
            }
            ProbeFinding::Dark => options.may_abandon,
        };
        let unreachable =
            self.gateway.wait_until_unreachable(&target.server, target.addr, gives_up);
        let silent = async {
            loop {
                tokio::time::sleep(options.silence_timeout).await;
                if may_move && self.reaches_other_server(progress, &target.server).await {
                    return;
                }
            }
        };
        let result = tokio::select! {
            biased;
            result = sending => result.unwrap_or(SendResult::Lost("silent")),
            () = unreachable => SendResult::Lost("dark"),
            () = silent => SendResult::Lost("silent"),
        };
        if target.is_helper {
            self.record_help(target.addr, &result);
        }
        if matches!(result, SendResult::Answered(_) | SendResult::Lost(_) | SendResult::GivenUp(_))
        {
            self.record_in_budget(target);
        }
        if let SendResult::Answered(pending) = &result
            && let Some(report) = &pending.info.report
        {
            in_flight.record_load(report, pending.status);
        }
        if let SendResult::NotRun("rejected") = result {
            in_flight.record_rejection();
        }
        match result {
            SendResult::Lost("silent" | "dark") => self.gateway.pool.evict(target.addr),
            _ => in_flight.prompt_processed(),
        }
        (result, in_flight)
    }

    /// Takes a connection from the pool or opens one.
    ///
    /// The server behind a pooled connection may no longer respond. A request that must not
    /// run more than once therefore uses a pooled connection only if it was active recently.
    async fn lease(&self, target: &Target) -> std::io::Result<Lease> {
        if target.is_helper {
            return self.lease_helper(target.addr).await;
        }
        let lease = self.gateway.pool.lease(target.addr).await?;
        let trusted = !lease.reused() || lease.idle() < TRUSTED_IDLE_TIME;
        match self.route.repeatable() || trusted {
            true => Ok(lease),
            false => self.gateway.pool.open(target.addr).await,
        }
    }

    /// Sends the request over a connection and waits for the head of the response.
    ///
    /// Reconnects if a pooled connection turns out to be closed before anything was written.
    async fn send_over(
        &self,
        mut lease: Lease,
        target: &Target,
        options: &SendOptions<'_>,
        permit: Option<&Permit>,
    ) -> SendResult {
        let cold_permit = permit.and_then(Permit::cold_at);
        let mut request = self.build_request(target, options);
        loop {
            let reused = lease.reused();
            if lease.ready().await {
                // The last checks: nothing is awaited between them and the write.
                if !target.is_helper {
                    let fleet = self.gateway.fleet.borrow();
                    if fleet.is_evacuated(&target.domain) {
                        return SendResult::NotRun(EVACUATED);
                    }
                    let now = self.gateway.now();
                    if fleet.get(&target.server).is_some_and(|one| !one.admits(cold_permit, now)) {
                        return SendResult::NotRun(COLD);
                    }
                }
                let Some(permit) = self.proof.permit_write() else {
                    return SendResult::NotRun("refused");
                };
                let sent_at = self.gateway.now();
                match lease.send(request).await {
                    Ok(response) => {
                        let result = self.classify(response, target, sent_at);
                        if matches!(result, SendResult::NotRun(_) | SendResult::Declined(_)) {
                            permit.cancel();
                        }
                        return result;
                    }
                    Err(SendError::Unsent(unsent)) => {
                        permit.cancel();
                        request = *unsent;
                    }
                    Err(SendError::Broken(_))
                        if reused
                            && self.route.repeatable()
                            && self.gateway.now().saturating_sub(sent_at) < STALE_CLOSE_WINDOW =>
                    {
                        return SendResult::Lost("stale");
                    }
                    Err(SendError::Broken(error)) => {
                        log::debug!(
                            "{}: connection to {} broke: {error}",
                            self.request.id,
                            target.server
                        );
                        return SendResult::Lost("broken");
                    }
                }
            }
            if !reused {
                return SendResult::NotRun("closed");
            }
            match self.gateway.pool.open(target.addr).await {
                Ok(new) => lease = new,
                Err(_) => return SendResult::NotRun("unreachable"),
            }
        }
    }

    fn build_request(&self, target: &Target, options: &SendOptions<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = match target.is_helper {
            true => self.handover_headers(options),
            false => self.server_headers(target, options),
        };
        request
    }

    fn server_headers(&self, target: &Target, options: &SendOptions<'_>) -> HeaderMap {
        let now = self.gateway.now();
        let forward = ForwardInfo {
            server: &target.server,
            remaining: self.deadline.saturating_sub(now),
            account: self.account.as_ref().map(|account| &*account.name),
            model: options.model,
            priority: options.priority,
            resume_after: options.resume_after,
        };
        self.gateway.dialect.forward_headers(&self.head.headers, &forward)
    }

    /// Decides whether a response is the intended server's response to this request.
    fn classify(
        &self,
        response: IncomingResponse,
        target: &Target,
        sent_at: MonotonicTime,
    ) -> SendResult {
        let info = self.gateway.dialect.read_response(&response.head);
        // A server may send an earlier response once more. Only the id ties one to its request.
        let is_helpers_refusal = target.is_helper && is_refusal(&response.head.headers);
        match info.id.as_deref() {
            Some(id) if id == self.request.id => {}
            // Instances of earlier builds don't name the request that they refuse.
            None if is_helpers_refusal => {}
            Some(_) => return SendResult::Lost("other_request"),
            None => return SendResult::Lost("not_vouched"),
        }
        if is_helpers_refusal {
            return read_refusal(&response.head.headers, self.config);
        }
        let now = self.gateway.now();
        if let Some(report) = info.report {
            self.gateway.fleet.borrow_mut().set_report(&target.server, report, now);
        }
        let status = response.head.status;
        let mut note = None;
        if target.is_helper {
            note = AnswerNote::read(&response.head.headers);
            if let Some(server) = note.as_ref().and_then(|note| note.server.as_ref()) {
                self.gateway.observe_notices(server, &info, sent_at);
            }
        } else if !info.misdirected {
            self.gateway.observe_notices(&target.server, &info, sent_at);
        }
        if info.misdirected {
            self.gateway.fleet.borrow_mut().mark_displaced(&target.server);
            return SendResult::NotRun("other_server");
        }
        if info.not_run {
            return SendResult::NotRun("rejected");
        }
        if !info.sealed || info.encoded || status.is_informational() {
            return SendResult::Lost("not_vouched");
        }
        let first_byte = now.saturating_sub(sent_at);
        let pending = PendingResponse { response, info, status, first_byte, note };
        SendResult::Answered(Box::new(pending))
    }
}

impl<D: 'static> Gateway<D> {
    /// Probes a silent server at growing intervals and returns once it can't be reached and
    /// `gives_up` says that this is reason enough.
    ///
    /// When a server loses power or its network link, nothing happens on its open
    /// connections, but new connections fail.
    pub(crate) async fn wait_until_unreachable(
        self: &Rc<Self>,
        server: &Name,
        addr: SocketAddr,
        gives_up: impl AsyncFn(ProbeFinding) -> bool,
    ) {
        let silent_since = Instant::now();
        let mut interval = PROBE_AFTER_SILENCE;
        loop {
            tokio::time::sleep(interval).await;
            let Err(error) = self.pool.probe(addr).await else {
                interval *= 2;
                continue;
            };
            self.mark_unreachable(server);
            let finding = match error.kind() {
                ErrorKind::TimedOut if silent_since.elapsed() < MIN_SILENCE => {
                    interval = PROBE_AFTER_SILENCE / 2;
                    continue;
                }
                ErrorKind::TimedOut
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable => ProbeFinding::Dark,
                _ => ProbeFinding::Refused,
            };
            if gives_up(finding).await {
                return;
            }
            interval *= 2;
        }
    }
}

/// What a probe of a silent server shows that can't be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeFinding {
    /// The connection failed at once. The server may be full or leave, and go on with what it has:
    /// had it ended, its open connections would have been reset.
    Refused,
    /// Nothing answers, for longer than a sound server needs.
    Dark,
}

/// The server that a request is sent to, or the instance that it is handed to.
#[derive(Debug)]
pub(crate) struct Target {
    pub server: Name,
    pub version: Name,
    /// The failure domain of the server; empty for an instance.
    pub domain: Name,
    pub addr: std::net::SocketAddr,
    /// Prompt tokens that the server must process, in mid-sized model equivalents.
    pub prefill_tokens: f64,
    /// Whether this is another instance.
    pub is_helper: bool,
    /// The permit, if the server requires one.
    pub permit: Option<Permit>,
}

/// The parameters that differ between the sends of a request.
#[derive(Debug)]
pub(crate) struct SendOptions<'a> {
    /// The model, if the gateway chose it.
    pub model: Option<&'a str>,
    /// The priority in the server's queue, which only streaming routes use.
    pub priority: Option<u8>,
    /// The id of the last event forwarded to the caller, when a stream is resumed.
    pub resume_after: Option<u64>,
    /// The number of servers on which the request may have run before.
    pub possible_runs: u32,
    /// How long to wait for the head of the response.
    pub timeout: Duration,
    /// How long to wait for it if another server can take the request.
    pub silence_timeout: Duration,
    /// Whether to stop waiting earlier if the server is silent or becomes unreachable.
    pub may_abandon: bool,
}
