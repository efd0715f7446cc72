//! The life of one request, from its head to its answer.

use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{
    Admission, AdmissionDecision, Cascade, Outcome, PlacementError, PlacementRequest,
    PromptPartKey, RetryMode, Side, place,
};
use error::{Kind, Refusal};
use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::arrival::{Job, admit};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::reply::{Reply, refused};
use crate::send::{Flight, Head, Order, Sent, Target, WHOLE_LIMIT};
use crate::wire::Dialect;

/// Sends beyond the route's attempts that servers may reject without running.
const EXTRA_REJECTED: u32 = 2;
/// A silent server is left after this many times the route's aim.
const SILENT_AIMS: f64 = 2.5;
/// The shortest time after which a silent server is left.
const LEAST_SILENT: Duration = Duration::from_millis(600);
/// The share of the aim that must be left for another server to be asked: about
/// the time of a usual answer.
const REPEAT_SHARE: f64 = 0.3;
/// How soon a request may come back that a passing fault kept from running.
const SOON: Duration = Duration::from_millis(250);

/// What has become of a request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Servers that had it.
    pub tried: Vec<Name>,
    /// Servers that could not be reached.
    pub unreached: Vec<Name>,
    /// Sends that reached a server.
    pub sends: u32,
    /// Sends that may have run.
    pub runs: u32,
    /// The place of the model among the route's sizes.
    pub model: usize,
    /// The last event that was passed on.
    pub resume_after: Option<u64>,
    /// The sends, for the log.
    pub trail: Vec<Value>,
}

/// Answers one request of a caller.
pub(crate) async fn handle<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    request: Request<Incoming>,
) -> Response<Reply> {
    let arrived = gateway.now();
    gateway.metrics.open.inc();
    let _open = OpenGuard(gateway.clone());
    let (head, body) = request.into_parts();
    let mut id = String::new();
    let answered = match admit(&gateway, head, body, arrived, &mut id).await {
        Ok(job) => {
            let answered = serve(&Rc::new(job)).await;
            if let Ok(response) = &answered {
                gateway.metrics.first_byte.observe((gateway.now() - arrived).as_secs_f64());
                Metrics::count(&gateway.metrics.requests, status_word(response.status().as_u16()));
            }
            answered
        }
        Err(refusal) => Err(refusal),
    };
    answered.unwrap_or_else(|refusal| {
        Metrics::count(&gateway.metrics.requests, refusal.kind().name());
        let fields = || {
            json!({
                "request": id,
                "kind": refusal.kind().name(),
                "not_run": refusal.says_not_run(),
                "retry_after_ms": refusal.retry_after_ms(),
                "held_ms": (gateway.now() - arrived).as_millis() as u64,
                "config": gateway.catalog().map(|catalog| catalog.version),
            })
        };
        gateway.lines.write("refused", gateway.now(), fields);
        let mut response = refused(&refusal);
        gateway.dialect.refuse(&id, response.headers_mut());
        response
    })
}

fn status_word(status: u16) -> &'static str {
    match status {
        200..=299 => "answered",
        300..=499 => "answered_4xx",
        _ => "answered_5xx",
    }
}

struct OpenGuard<D>(Rc<Gateway<D>>);

impl<D> Drop for OpenGuard<D> {
    fn drop(&mut self) {
        self.0.metrics.open.dec();
    }
}

async fn serve<D: Dialect>(job: &Rc<Job<D>>) -> Result<Response<Reply>, Refusal> {
    let mut progress = Progress {
        model: Cascade::first_model(),
        resume_after: job.intake.resume_after,
        ..Progress::default()
    };
    let until = job.gateway.instant(job.deadline);
    let answered = tokio::time::timeout_at(until, job.run(&mut progress)).await;
    let answered = answered.unwrap_or_else(|_| {
        let unsent = Refusal::new(Kind::QueueExpired, &job.proof);
        Err(if unsent.says_not_run() { unsent } else { job.refuse(Kind::Timeout, None) })
    });
    job.log_sends(&progress, answered.as_ref().map(|response| response.status().as_u16()).ok());
    answered
}

impl<D: Dialect> Job<D> {
    /// Sends the request until a server answers or nothing is left to try.
    async fn run(self: &Rc<Self>, progress: &mut Progress) -> Result<Response<Reply>, Refusal> {
        loop {
            let target = self.choose(progress)?;
            let (sent, flight) = self.send_next(progress, &target).await;
            match sent {
                Sent::NotRun(why) => self.not_run(progress, flight, why),
                Sent::Lost(why) => {
                    self.lost(progress, flight, why);
                    if !self.may_repeat(progress) {
                        let silent = why == "silent";
                        let kind = if silent { Kind::Timeout } else { Kind::BackendFailed };
                        return Err(self.refuse(kind, None));
                    }
                }
                Sent::Head(head) => {
                    if let Some(response) = self.answered(progress, head, flight).await? {
                        return Ok(response);
                    }
                }
            }
        }
    }

    /// Sends to a server, within the budgets.
    pub async fn send_next(&self, progress: &mut Progress, target: &Target) -> (Sent, Flight<D>) {
        let repeats = self.route.repeatable() && progress.runs + 1 < self.route.max_attempts;
        let left = self.deadline.saturating_sub(self.gateway.now());
        let silent = self.route.target_latency.mul_f64(SILENT_AIMS).max(LEAST_SILENT);
        let limit = if repeats { silent.min(left) } else { left };
        let model = self.route.models.get(progress.model);
        let order = Order {
            model: model.map(|model| &**model),
            rank: self.rank(),
            resume_after: progress.resume_after,
            limit,
            may_leave: repeats,
        };
        progress.sends += 1;
        progress.tried.push(target.server.clone());
        self.send(target, &order).await
    }

    fn rank(&self) -> Option<u8> {
        let own = self.account.as_ref().and_then(|account| account.priority);
        let stream = self.route.stream.then_some(self.route.priority);
        own.filter(|_| self.route.stream).or(stream).map(|rank| rank.min(9))
    }

    /// Chooses a server, or refuses.
    pub fn choose(&self, progress: &Progress) -> Result<Target, Refusal> {
        let gateway = &self.gateway;
        let now = gateway.now();
        if gateway.poison.borrow().is_blocked(self.fingerprint) {
            return Err(self.refuse(Kind::CrashesServers, None));
        }
        if progress.sends >= self.route.max_attempts + EXTRA_REJECTED {
            return Err(self.refuse(Kind::Overloaded, Some(SOON)));
        }
        let repeat = progress.sends > 0;
        if repeat && !gateway.budget.borrow_mut().try_take(&self.service, gateway.sharers(), now) {
            Metrics::count(&gateway.metrics.repeats, "no_budget");
            return Err(self.refuse(Kind::Overloaded, Some(SOON)));
        }
        let (version, barred) = match gateway.rollout_side(&self.service, self.intake.session) {
            Some((Side::New, to)) => (Some(to), None),
            Some((Side::Old, to)) => (None, Some(to)),
            None => (None, None),
        };
        let model = self.model(progress);
        let mut ask = PlacementRequest {
            service: &self.service,
            version: version.as_ref(),
            excluded_versions: barred.as_slice(),
            domain: &gateway.setup.domain,
            model,
            work_factor: Cascade::work_factor(progress.model, self.route.models.len()),
            parts: &self.intake.parts,
            tried: &progress.tried,
        };
        let mut fleet = gateway.fleet.borrow_mut();
        let draw = gateway.draw();
        let mut placement = place(&fleet, &ask, draw, now);
        if placement == Err(PlacementError::AllTried) && self.route.repeatable() {
            ask.tried = &progress.unreached;
            placement = place(&fleet, &ask, draw, now);
        }
        let placement = placement.map_err(|why| match why {
            PlacementError::NoServer | PlacementError::AllTried => {
                self.refuse(Kind::NoServer, Some(SOON))
            }
        })?;
        let estimate = Duration::from_secs_f64(placement.estimate_ms / 1e3);
        if let AdmissionDecision::Refuse(after) =
            Admission::decide(estimate, now, self.deadline, draw)
        {
            return Err(self.refuse(Kind::Overloaded, Some(after)));
        }
        for part in &self.intake.parts {
            fleet.mark_cached(&placement.server, PromptPartKey::new(model, part.id), now);
        }
        let info = fleet.get(&placement.server).map(|server| server.info.clone());
        let info = info.ok_or_else(|| self.refuse(Kind::NoServer, Some(SOON)))?;
        drop(fleet);
        if let Some(session) = self.intake.session {
            gateway.sessions.borrow_mut().record(session, &info.version, now);
        }
        let reading = placement.prefill_tokens;
        Ok(Target { server: info.id, version: info.version, addr: info.addr, reading })
    }

    fn model<'a>(&'a self, progress: &Progress) -> &'a str {
        let chosen = self.route.models.get(progress.model);
        chosen.or(self.intake.model.as_ref()).map_or("", |model| &**model)
    }

    fn refuse(&self, kind: Kind, after: Option<Duration>) -> Refusal {
        Refusal::new(kind, &self.proof).retry_after(after.map(|after| after.as_millis() as u64))
    }

    /// Notes a send that did not run.
    pub fn not_run(&self, progress: &mut Progress, flight: Flight<D>, why: &'static str) {
        self.trail(progress, &flight, why);
        let outcome = match why {
            "unreachable" | "closed" => Outcome::Unreachable,
            _ => Outcome::Rejected,
        };
        if outcome == Outcome::Unreachable {
            progress.sends -= 1;
            progress.unreached.push(flight.server.clone());
        }
        flight.end(outcome, None);
    }

    /// Notes a send whose answer is lost.
    pub fn lost(&self, progress: &mut Progress, flight: Flight<D>, why: &'static str) {
        progress.runs += 1;
        self.trail(progress, &flight, why);
        if why == "broken" {
            self.gateway.broke_off(self.fingerprint, &flight.server);
        }
        // An idle server's closed connection says nothing of the server.
        let outcome = if why == "stale" { Outcome::Abandoned } else { Outcome::Failed };
        flight.end(outcome, None);
    }

    /// Whether a request that may have run may be sent again.
    fn may_repeat(&self, progress: &Progress) -> bool {
        self.route.repeatable() && progress.runs < self.route.max_attempts
    }

    /// Takes the head of an answer; `None` if the request is to be sent again.
    async fn answered(
        self: &Rc<Self>,
        progress: &mut Progress,
        head: Box<Head>,
        flight: Flight<D>,
    ) -> Result<Option<Response<Reply>>, Refusal> {
        progress.runs += 1;
        if self.route.stream && head.status.is_success() {
            return self.stream(progress, head, flight).await;
        }
        let Head { answer, status, first_byte, .. } = *head;
        let headers = answer.head.headers.clone();
        let body = match answer.collect(WHOLE_LIMIT).await {
            Ok(Some(body)) => body,
            Ok(None) | Err(_) => {
                progress.runs -= 1;
                self.lost(progress, flight, "cut");
                if self.may_repeat(progress) {
                    return Ok(None);
                }
                return Err(self.refuse(Kind::BackendFailed, None));
            }
        };
        self.gateway.poison.borrow_mut().record_answer(self.fingerprint);
        let failed = status.is_server_error();
        self.trail(progress, &flight, if failed { "failed" } else { "answered" });
        let outcome = if failed { Outcome::Failed } else { Outcome::Success };
        flight.end(outcome, Some(first_byte));
        if failed && self.may_repeat(progress) && self.time_to_repeat() {
            Metrics::count(&self.gateway.metrics.repeats, "failed");
            return Ok(None);
        }
        let mut response = Response::new(Reply::whole(body));
        *response.status_mut() = status;
        *response.headers_mut() = self.gateway.dialect.back(&headers);
        Ok(Some(response))
    }

    /// Whether enough time is left for another server to answer.
    pub fn time_to_repeat(&self) -> bool {
        let left = self.deadline.saturating_sub(self.gateway.now());
        left > self.route.target_latency.mul_f64(REPEAT_SHARE)
    }

    /// Whether the caller's stream may go on at another server.
    pub fn may_resume(&self, progress: &Progress) -> bool {
        self.route.retry_mode == RetryMode::Resumable && self.may_repeat(progress)
    }

    pub fn trail(&self, progress: &mut Progress, flight: &Flight<D>, how: &'static str) {
        let now = self.gateway.now();
        progress.trail.push(json!({
            "server": &*flight.server,
            "version": &*flight.version,
            "model": self.model(progress),
            "how": how,
            "after_ms": flight.since.saturating_sub(self.arrived).as_millis() as u64,
            "took_ms": now.saturating_sub(flight.since).as_millis() as u64,
        }));
    }

    pub fn log_sends(&self, progress: &Progress, status: Option<u16>) {
        let gateway = &self.gateway;
        gateway.lines.write("request", gateway.now(), || {
            json!({
                "request": self.intake.id,
                "route": &*self.route.name,
                "service": &*self.service,
                "account": self.account.as_ref().map(|account| &*account.name),
                "config": gateway.catalog().map(|catalog| catalog.version),
                "status": status,
                "sends": progress.trail,
                "passed_on": progress.resume_after,
                "took_ms": gateway.now().saturating_sub(self.arrived).as_millis() as u64,
            })
        });
    }
}
