//! Requests that an instance with no way, or a narrow one, to the servers hands to another one.
//!
//! The other instance, the helper, handles such a request like one of its own callers, but
//! never hands it on again. It is sent with its caller's headers, over HTTP at the address
//! for messages between instances; the headers of this module are added. The answer says
//! whether a request that was refused may have run, and which server answered.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use conn::Lease;
use dispatch::{HelperCandidate, HelperOutcome};
use error::{Kind, Refusal};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use members::Member;

use crate::arrival::Exchange;
use crate::body::ResponseBody;
use crate::exchange::{Progress, Rejection, respond};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::send::{InFlight, SendOptions, SendResult, Target};
use crate::wire::Dialect;

/// The time that remains until the caller's deadline, in milliseconds. Present on every
/// request that is handed over.
const REMAINING: HeaderName = HeaderName::from_static("lacewingchute-remaining-ms");
/// The number of servers on which the request may have run, so far on a request and in all
/// on its answer.
const ATTEMPTS: HeaderName = HeaderName::from_static("lacewingchute-attempts");
/// The version of the configuration in force at the sender, on a request and on a refusal.
const CONFIG: HeaderName = HeaderName::from_static("lacewingchute-config");
/// The id of the last event that was forwarded to the caller.
const RESUME_AFTER: HeaderName = HeaderName::from_static("lacewingchute-resume-after");
/// The kind of error with which the helper refuses the request.
const REFUSAL: HeaderName = HeaderName::from_static("lacewingchute-refusal");
/// Present if a refused request did not run.
const NOT_RUN: HeaderName = HeaderName::from_static("lacewingchute-not-run");
/// When a refused request may be sent again, in milliseconds.
const RETRY_AFTER: HeaderName = HeaderName::from_static("lacewingchute-retry-after-ms");
/// The server that answered the request.
const SERVER: HeaderName = HeaderName::from_static("lacewingchute-server");

/// Maximum number of helpers that one request is handed to if servers can't be reached.
const MAX_HELPERS: usize = 8;
/// The same if it could also be sent, or rejected, here.
const MAX_DETOURS: usize = 2;
/// Timeout for connecting to a helper: a live one is a round trip away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of requests taken from other instances whose answers have not begun; bounds
/// the memory for their bodies.
const MAX_OPEN: usize = 128;

/// Why a request is handed to another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandoverReason {
    /// No server that may serve it can be reached.
    Lost,
    /// Several servers could not be reached; others were not tried yet.
    Unreachable,
    /// Few servers can be reached, or those have no room.
    Narrow,
}

/// What the instance that handed a request over says about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Handover {
    /// The time that remains until the caller's deadline.
    pub remaining: Duration,
    /// The number of servers on which the request may have run before.
    pub attempts: u32,
    /// The version of its configuration; 0 if it is not known.
    pub config: u64,
    /// The id of the last event that was forwarded to the caller.
    pub resume_after: Option<u64>,
}

impl Handover {
    /// Reads and removes the headers of a request that was handed over.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mut number = |name: &HeaderName| {
            let value = headers.remove(name)?;
            value.to_str().ok()?.parse::<u64>().ok()
        };
        let (remaining, attempts) = (number(&REMAINING), number(&ATTEMPTS));
        let (config, resume_after) = (number(&CONFIG), number(&RESUME_AFTER));
        Some(Handover {
            remaining: Duration::from_millis(remaining?),
            attempts: attempts.and_then(|attempts| u32::try_from(attempts).ok()).unwrap_or(0),
            config: config.unwrap_or(0),
            resume_after,
        })
    }

    /// Whether the sender removes all headers of this module from an answer; earlier builds, which
    /// don't tell their configuration, pass those on that they don't know.
    pub fn removes_all_headers(&self) -> bool {
        self.config > 0
    }
}

/// Whether the response of a helper is its refusal.
pub(crate) fn is_refusal(headers: &HeaderMap) -> bool {
    headers.contains_key(&REFUSAL)
}

/// Reads the refusal of a helper; `config` is the version of this instance's configuration.
///
/// This instance has accepted the request. A helper that finds fault with the request or its
/// route is right only if it knows a newer configuration.
pub(crate) fn read_refusal(headers: &HeaderMap, config: u64) -> SendResult {
    let name = headers.get(&REFUSAL).and_then(|value| value.to_str().ok());
    let kind = Kind::ALL.into_iter().find(|kind| Some(kind.name()) == name);
    let kind = kind.unwrap_or(Kind::BackendFailed);
    if !headers.contains_key(&NOT_RUN) {
        return SendResult::GivenUp(kind);
    }
    let number = |name: &HeaderName| headers.get(name)?.to_str().ok()?.parse().ok();
    let is_newer = number(&CONFIG).is_some_and(|helper_config| helper_config > config);
    let kind = match kind {
        // The way to the helper broke: the caller's body is whole.
        Kind::BodyCut => Kind::NotReady,
        _ if is_final(kind) && !is_newer => Kind::NotReady,
        _ => kind,
    };
    let retry_after = number(&RETRY_AFTER).map(Duration::from_millis);
    SendResult::Declined(Rejection { retry_after, ..Rejection::of(kind) })
}

/// Whether a helper refuses for a reason that lies in the request or the configuration, so that
/// no other one need be asked.
pub(crate) fn is_final(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::UnknownKey
            | Kind::UnknownRoute
            | Kind::NotAllowed
            | Kind::BodyTooLarge
            | Kind::HeadTooLarge
    )
}

/// Whether a helper that refuses for this reason reaches no server either, or is not ready to
/// serve.
fn is_lost(kind: Kind) -> bool {
    matches!(kind, Kind::NoServer | Kind::NotReady | Kind::Draining)
}

/// What a helper adds to an answer that it passes on.
#[derive(Debug)]
pub(crate) struct AnswerNote {
    /// The number of servers on which the request may have run when its answer began.
    pub attempts: u32,
    /// The server that answered, if both builds know this header.
    pub server: Option<Name>,
}

impl AnswerNote {
    /// Reads the headers of an answer that a helper passes on.
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let attempts = headers.get(&ATTEMPTS)?.to_str().ok()?.parse().ok()?;
        let server = headers.get(&SERVER).and_then(|value| value.to_str().ok()).map(Name::from);
        Some(AnswerNote { attempts, server })
    }

    /// Adds the headers to an answer for the instance that handed the request over.
    pub fn add_headers(&self, headers: &mut HeaderMap) {
        headers.insert(ATTEMPTS, self.attempts.into());
        let server = self.server.as_ref().and_then(|server| HeaderValue::from_str(server).ok());
        if let Some(server) = server {
            headers.insert(SERVER, server);
        }
    }
}

/// Removes the headers of this module, which a server must not set.
pub(crate) fn remove_headers(headers: &mut HeaderMap) {
    let names = [REMAINING, ATTEMPTS, CONFIG, RESUME_AFTER, REFUSAL, NOT_RUN, RETRY_AFTER, SERVER];
    for name in &names {
        headers.remove(name);
    }
}

/// Adds the headers by which the other instance recognizes a refusal; `config` is the version of
/// this instance's configuration.
pub(crate) fn add_refusal_headers(refusal: &Refusal, config: u64, headers: &mut HeaderMap) {
    headers.insert(CONFIG, config.into());
    headers.insert(REFUSAL, HeaderValue::from_static(refusal.kind().name()));
    if refusal.not_run() {
        headers.insert(NOT_RUN, HeaderValue::from_static("1"));
    }
    if let Some(ms) = refusal.retry_after_ms() {
        headers.insert(RETRY_AFTER, ms.into());
    }
}

/// Handles a request that another instance hands over, and returns any other one.
pub(crate) async fn take_over<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    mut request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Request<Incoming>> {
    let Some(handover) = Handover::take(request.headers_mut()) else { return Err(request) };
    let _open = OpenHandover::new(&gateway);
    Ok(respond(gateway.clone(), request, Some(handover)).await)
}

/// Counts a request that was handed over until its answer begins.
struct OpenHandover<'a, D>(&'a Gateway<D>);

impl<'a, D> OpenHandover<'a, D> {
    fn new(gateway: &'a Gateway<D>) -> Self {
        gateway.open_handovers.update(|open| open + 1);
        OpenHandover(gateway)
    }
}

impl<D> Drop for OpenHandover<'_, D> {
    fn drop(&mut self) {
        self.0.open_handovers.update(|open| open - 1);
    }
}

impl<D> Gateway<D> {
    /// Whether this instance takes no further request from others.
    pub(crate) fn is_helping_enough(&self) -> bool {
        self.open_handovers.get() > MAX_OPEN
    }
}

impl<D: Dialect> Exchange<D> {
    /// Chooses an instance to hand the request to.
    pub fn choose_helper(&self, progress: &Progress, reason: HandoverReason) -> Option<Target> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let (most, is_full) = match reason {
            HandoverReason::Lost | HandoverReason::Unreachable => (MAX_HELPERS, false),
            HandoverReason::Narrow => {
                (MAX_DETOURS, gateway.helpers.borrow().is_full(&self.service, now))
            }
        };
        // A helper that reaches servers decides as for its own callers.
        let was_rejected =
            progress.declined.is_some_and(|declined| declined.kind == Kind::Overloaded);
        let was_tried = was_rejected || progress.helpers.len() >= most;
        if self.handover.is_some() || is_full || was_tried {
            return None;
        }
        let peers = gateway.peers()?;
        let candidates: Vec<HelperCandidate> = {
            let membership = peers.membership();
            let fleet = gateway.fleet.borrow();
            let (regions, allowed) = (fleet.regions(), self.allowed_regions());
            let live = membership.live_instances(now);
            let live = live.filter(|member| regions.allows_helper(&member.domain, allowed));
            let candidate = |member: &Member| HelperCandidate {
                addr: member.addr,
                local: member.domain == gateway.settings.domain,
            };
            live.map(candidate).collect()
        };
        let mut helpers = gateway.helpers.borrow_mut();
        helpers.forget_idle(now);
        let draw = gateway.random();
        let addr = helpers.choose(&candidates, &self.service, &progress.helpers, draw, now)?;
        Some(Target {
            server: addr.to_string().into(),
            version: Name::from(""),
            domain: Name::from(""),
            addr,
            prefill_tokens: 0.0,
            is_helper: true,
            permit: None,
        })
    }

    /// Takes a pooled connection to a helper or opens one.
    pub(crate) async fn lease_helper(&self, addr: SocketAddr) -> std::io::Result<Lease> {
        let pool = &self.gateway.pool;
        let leasing = async {
            match self.route.repeatable() {
                true => pool.lease(addr).await,
                false => pool.open(addr).await,
            }
        };
        let leased = tokio::time::timeout(CONNECT_TIMEOUT, leasing).await;
        leased.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    /// Returns the headers of the request to a helper.
    pub(crate) fn handover_headers(&self, options: &SendOptions<'_>) -> HeaderMap {
        let mut headers = self.gateway.dialect.handover_headers(&self.head.headers);
        let remaining = self.deadline.saturating_sub(self.gateway.now());
        headers.insert(REMAINING, (remaining.as_millis() as u64).into());
        headers.insert(ATTEMPTS, options.possible_runs.into());
        headers.insert(CONFIG, self.config.into());
        if let Some(event) = options.resume_after {
            headers.insert(RESUME_AFTER, event.into());
        }
        headers
    }

    /// Records how a helper answered.
    pub(crate) fn record_help(&self, addr: SocketAddr, result: &SendResult) {
        let (outcome, name) = match result {
            SendResult::Answered(_) | SendResult::GivenUp(_) => {
                (HelperOutcome::Answered, "answered")
            }
            SendResult::Declined(rejection) if is_lost(rejection.kind) => {
                (HelperOutcome::Lost, "lost")
            }
            SendResult::Declined(rejection) if rejection.kind == Kind::Overloaded => {
                (HelperOutcome::Full, "full")
            }
            SendResult::Declined(_) => (HelperOutcome::Declined, "declined"),
            SendResult::NotRun(_) | SendResult::Lost(_) => (HelperOutcome::Failed, "failed"),
        };
        Metrics::count(&self.gateway.metrics.handed_over, name);
        let now = self.gateway.now();
        self.gateway.helpers.borrow_mut().record_outcome(addr, &self.service, outcome, now);
    }

    /// Has a request that was handed over count in the retry budget of the instance that sends
    /// it, which may have to send it again. It counts where it arrived until then.
    pub(crate) fn record_in_budget(&self, target: &Target) {
        let now = self.gateway.now();
        let mut budget = self.gateway.budget.borrow_mut();
        match target.is_helper {
            true if self.is_counted.replace(false) => {
                budget.withdraw_request(&self.service, now);
            }
            false if !self.is_counted.replace(true) => budget.record_request(&self.service, now),
            _ => {}
        }
    }

    /// Checks whether a helper is gone, if it passed on an answer that broke off. If it can be
    /// connected to, its server broke off.
    pub(crate) fn check_broken_help(self: &Rc<Self>, in_flight: &InFlight<D>) {
        let Some(addr) = in_flight.helper else { return };
        let exchange = self.clone();
        tokio::task::spawn_local(async move {
            if exchange.gateway.pool.probe(addr).await.is_err() {
                exchange.record_help(addr, &SendResult::Lost("cut"));
            }
        });
    }
}
