//! A single send of a request to a server.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use config::Name;
use conn::{IncomingResponse, Lease, SendError};
use dispatch::{MonotonicTime, Outcome};
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::arrival::Exchange;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::wire::{Dialect, ForwardInfo, ResponseInfo};

/// Maximum size in bytes of a response that is buffered before it is forwarded.
pub(crate) const MAX_BUFFERED_BODY: usize = 4 << 20;

/// A pooled connection that was idle for less than this is assumed to be alive.
const TRUSTED_IDLE_TIME: Duration = Duration::from_millis(700);
/// If a pooled connection breaks this soon after a send, the server had closed it as idle.
const STALE_CLOSE_WINDOW: Duration = Duration::from_millis(15);
/// A server that has sent nothing for this long is probed with a new connection.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(350);

/// A request in flight at a server. Counted as abandoned if dropped before it is ended.
pub(crate) struct InFlight<D> {
    gateway: Rc<Gateway<D>>,
    pub server: Name,
    pub service: Name,
    pub version: Name,
    pub sent_at: MonotonicTime,
    /// The prompt processing that is still attributed to the server's load.
    prefill: f64,
    ended: bool,
}

impl<D> InFlight<D> {
    /// Adds the request to the load of the server.
    pub fn start(gateway: &Rc<Gateway<D>>, service: &Name, to: &Target) -> Self {
        gateway.fleet.borrow_mut().request_sent(&to.server, to.prefill);
        InFlight {
            gateway: gateway.clone(),
            server: to.server.clone(),
            service: service.clone(),
            version: to.version.clone(),
            prefill: to.prefill,
            sent_at: gateway.now(),
            ended: false,
        }
    }

    /// Removes the prompt processing from the load of the server.
    fn prompt_processed(&mut self) {
        let prefill = std::mem::take(&mut self.prefill);
        self.gateway.fleet.borrow_mut().prefill_done(&self.server, prefill);
    }

    /// Removes the request from the load of the server and records the outcome.
    pub fn end(mut self, outcome: Outcome, first_byte: Option<Duration>) {
        self.count(outcome);
        let bad = outcome == Outcome::Failed;
        if matches!(outcome, Outcome::Success | Outcome::Failed) {
            self.gateway.record_rollout_answer(&self.service, &self.version, bad, first_byte);
        }
    }

    fn count(&mut self, outcome: Outcome) {
        self.ended = true;
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
        self.gateway.fleet.borrow_mut().request_ended(&self.server, outcome, now);
    }
}

impl<D> Drop for InFlight<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.count(Outcome::Abandoned);
        }
    }
}

/// The result of a send. The strings are the reasons that are logged with the send.
pub(crate) enum SendResult {
    /// The intended server responded to this request.
    Answered(Box<PendingResponse>),
    /// The request did not run on the server.
    NotRun(&'static str),
    /// The request may have run, but no usable response was received.
    Lost(&'static str),
}

/// A response whose body has not been read yet.
pub(crate) struct PendingResponse {
    pub response: IncomingResponse,
    pub info: ResponseInfo,
    pub status: StatusCode,
    pub first_byte: Duration,
}

impl<D: Dialect> Exchange<D> {
    /// Sends the request to a server and reads the head of the response.
    pub async fn send(&self, to: &Target, options: &SendOptions<'_>) -> (SendResult, InFlight<D>) {
        let mut flight = InFlight::start(&self.gateway, &self.service, to);
        let lease = match self.lease(to).await {
            Ok(lease) => lease,
            Err(error) => {
                log::debug!("{}: failed to connect to {}: {error}", self.request.id, to.server);
                return (SendResult::NotRun("unreachable"), flight);
            }
        };
        let writing = tokio::time::timeout(options.limit, self.write(lease, to, options));
        let result = tokio::select! {
            biased;
            result = writing => result.unwrap_or(SendResult::Lost("silent")),
            () = self.gateway.wait_until_unreachable(to.addr), if options.may_abandon => {
                SendResult::Lost("dark")
            }
        };
        match result {
            SendResult::Lost("silent" | "dark") => self.gateway.pool.evict(to.addr),
            _ => flight.prompt_processed(),
        }
        (result, flight)
    }

    /// Takes a connection from the pool or opens one.
    ///
    /// A pooled connection may lead to a server that no longer responds. For a
    /// request that must not run more than once, it is therefore used only if it
    /// was active recently.
    async fn lease(&self, to: &Target) -> std::io::Result<Lease> {
        let lease = self.gateway.pool.lease(to.addr).await?;
        let trusted = !lease.reused() || lease.idle() < TRUSTED_IDLE_TIME;
        match self.route.repeatable() || trusted {
            true => Ok(lease),
            false => self.gateway.pool.open(to.addr).await,
        }
    }

    /// Writes the request, reconnecting if a pooled connection turns out to be closed
    /// before anything was written.
    async fn write(&self, mut lease: Lease, to: &Target, options: &SendOptions<'_>) -> SendResult {
        let mut request = self.build_request(to, options);
        loop {
            let reused = lease.reused();
            if lease.ready().await {
                let Some(permit) = self.proof.permit_write() else {
                    return SendResult::NotRun("refused");
                };
                let sent_at = self.gateway.now();
                match lease.send(request).await {
                    Ok(response) => {
                        let result = self.classify(response, to, sent_at);
                        if matches!(result, SendResult::NotRun(_)) {
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
                            to.server
                        );
                        return SendResult::Lost("broken");
                    }
                }
            }
            if !reused {
                return SendResult::NotRun("closed");
            }
            match self.gateway.pool.open(to.addr).await {
                Ok(new) => lease = new,
                Err(_) => return SendResult::NotRun("unreachable"),
            }
        }
    }

    fn build_request(&self, to: &Target, options: &SendOptions<'_>) -> Request<Full<Bytes>> {
        let now = self.gateway.now();
        let forward = ForwardInfo {
            server: &to.server,
            remaining: self.deadline.saturating_sub(now),
            account: self.account.as_ref().map(|account| &*account.name),
            model: options.model,
            priority: options.priority,
            resume_after: options.resume_after,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.gateway.dialect.forward_headers(&self.head.headers, &forward);
        request
    }

    /// Decides whether a response is the intended server's response to this request.
    fn classify(
        &self,
        response: IncomingResponse,
        to: &Target,
        sent_at: MonotonicTime,
    ) -> SendResult {
        let info = self.gateway.dialect.read_response(&response.head);
        let now = self.gateway.now();
        if let Some(report) = info.report {
            self.gateway.fleet.borrow_mut().set_report(&to.server, report, now);
        }
        let status = response.head.status;
        let is_ours = info.id.as_deref().is_none_or(|id| id == self.request.id);
        if !is_ours {
            return SendResult::Lost("other_request");
        }
        if info.misdirected {
            self.gateway.fleet.borrow_mut().mark_leaving(&to.server);
            return SendResult::NotRun("other_server");
        }
        if info.not_run {
            return SendResult::NotRun("rejected");
        }
        if info.id.is_none() || !info.sealed || info.encoded || status.is_informational() {
            return SendResult::Lost("not_vouched");
        }
        let first_byte = now.saturating_sub(sent_at);
        SendResult::Answered(Box::new(PendingResponse { response, info, status, first_byte }))
    }
}

impl<D> Gateway<D> {
    /// Probes a silent server at growing intervals and returns once it can't be reached.
    ///
    /// When a server loses power or its network link, nothing happens on its open
    /// connections, but new connections fail.
    pub(crate) async fn wait_until_unreachable(&self, addr: std::net::SocketAddr) {
        let mut interval = PROBE_AFTER_SILENCE;
        loop {
            tokio::time::sleep(interval).await;
            if self.pool.probe(addr).await.is_err() {
                return;
            }
            interval *= 2;
        }
    }
}

/// The server that a request is sent to.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub server: Name,
    pub version: Name,
    pub addr: std::net::SocketAddr,
    /// The prompt processing that the server has to do, in tokens of a medium-sized model.
    pub prefill: f64,
}

/// The parameters that differ between the sends of a request.
#[derive(Debug)]
pub(crate) struct SendOptions<'a> {
    pub model: Option<&'a str>,
    pub priority: Option<u8>,
    pub resume_after: Option<u64>,
    pub limit: Duration,
    /// Whether the send may be abandoned for another server if this one becomes unreachable.
    pub may_abandon: bool,
}
