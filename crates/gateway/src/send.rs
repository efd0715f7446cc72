//! One send of a request to one server.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use config::Name;
use conn::{IncomingResponse, Lease, SendError};
use dispatch::{Mono, Outcome};
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::arrival::Job;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::wire::{Dialect, Facts, Forward};

/// The longest answer that is read whole before it is passed on, in bytes.
pub(crate) const WHOLE_LIMIT: usize = 4 << 20;

/// A connection that was used so short a time ago is taken for alive.
const PROVEN_FOR: Duration = Duration::from_millis(700);
/// A kept connection that breaks so soon was closed by an idle server.
const STALE_WITHIN: Duration = Duration::from_millis(15);

/// A server from which nothing comes for so long is tried by a new connection.
const DARK_AFTER: Duration = Duration::from_millis(350);

/// A request in flight at a server; counts as abandoned unless it is ended.
pub(crate) struct Flight<D> {
    gateway: Rc<Gateway<D>>,
    pub server: Name,
    pub service: Name,
    pub version: Name,
    pub since: Mono,
    reading: f64,
    ended: bool,
}

impl<D> Flight<D> {
    /// Counts the request in.
    pub fn begin(gateway: &Rc<Gateway<D>>, service: &Name, to: &Target) -> Self {
        gateway.fleet.borrow_mut().request_sent(&to.server, to.reading);
        Flight {
            gateway: gateway.clone(),
            server: to.server.clone(),
            service: service.clone(),
            version: to.version.clone(),
            reading: to.reading,
            since: gateway.now(),
            ended: false,
        }
    }

    /// Notes that the prompt is read.
    fn began(&mut self) {
        let reading = std::mem::take(&mut self.reading);
        self.gateway.fleet.borrow_mut().prefill_done(&self.server, reading);
    }

    /// Counts the request out.
    pub fn end(mut self, outcome: Outcome, first_byte: Option<Duration>) {
        self.count(outcome);
        let bad = outcome == Outcome::Failed;
        if matches!(outcome, Outcome::Success | Outcome::Failed) {
            self.gateway.record_rollout_answer(&self.service, &self.version, bad, first_byte);
        }
    }

    fn count(&mut self, outcome: Outcome) {
        self.ended = true;
        self.began();
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

impl<D> Drop for Flight<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.count(Outcome::Abandoned);
        }
    }
}

/// What came of a send.
pub(crate) enum Sent {
    /// The head of the server's own answer to this request.
    Head(Box<Head>),
    /// The request did not run there.
    NotRun(&'static str),
    /// The request may have run; no answer can be had.
    Lost(&'static str),
}

/// The head of an answer, with its body still to be read.
pub(crate) struct Head {
    pub answer: IncomingResponse,
    pub facts: Facts,
    pub status: StatusCode,
    pub first_byte: Duration,
}

impl<D: Dialect> Job<D> {
    /// Sends the request to a server and reads the head of the answer.
    ///
    /// Returns with the flight where the server had the request.
    pub async fn send(&self, to: &Target, order: &Order<'_>) -> (Sent, Flight<D>) {
        let mut flight = Flight::begin(&self.gateway, &self.service, to);
        let lease = match self.lease(to).await {
            Ok(lease) => lease,
            Err(error) => {
                log::debug!("{}: no connection to {}: {error}", self.intake.id, to.server);
                return (Sent::NotRun("unreachable"), flight);
            }
        };
        let writing = tokio::time::timeout(order.limit, self.write(lease, to, order));
        let sent = tokio::select! {
            biased;
            sent = writing => sent.unwrap_or(Sent::Lost("silent")),
            () = self.gateway.dark(to.addr), if order.may_leave => Sent::Lost("dark"),
        };
        match sent {
            Sent::Lost("silent" | "dark") => self.gateway.pool.evict(to.addr),
            _ => flight.began(),
        }
        (sent, flight)
    }

    /// A connection: one that was used just now, or a new one, where the request
    /// may run once only, since a kept one can have gone silent.
    async fn lease(&self, to: &Target) -> std::io::Result<Lease> {
        let lease = self.gateway.pool.lease(to.addr).await?;
        let proven = !lease.reused() || lease.idle() < PROVEN_FOR;
        match self.route.repeatable() || proven {
            true => Ok(lease),
            false => self.gateway.pool.open(to.addr).await,
        }
    }

    async fn write(&self, mut lease: Lease, to: &Target, order: &Order<'_>) -> Sent {
        let mut request = self.request(to, order);
        loop {
            let reused = lease.reused();
            if lease.ready().await {
                let Some(permit) = self.proof.permit_write() else {
                    return Sent::NotRun("refused");
                };
                let since = self.gateway.now();
                match lease.send(request).await {
                    Ok(answer) => {
                        let sent = self.classify(answer, to, since);
                        if matches!(sent, Sent::NotRun(_)) {
                            permit.cancel();
                        }
                        return sent;
                    }
                    Err(SendError::Unsent(unsent)) => {
                        permit.cancel();
                        request = *unsent;
                    }
                    Err(SendError::Broken(_))
                        if reused
                            && self.route.repeatable()
                            && self.gateway.now().saturating_sub(since) < STALE_WITHIN =>
                    {
                        return Sent::Lost("stale");
                    }
                    Err(SendError::Broken(error)) => {
                        log::debug!("{}: {} broke off: {error}", self.intake.id, to.server);
                        return Sent::Lost("broken");
                    }
                }
            }
            if !reused {
                return Sent::NotRun("closed");
            }
            match self.gateway.pool.open(to.addr).await {
                Ok(new) => lease = new,
                Err(_) => return Sent::NotRun("unreachable"),
            }
        }
    }

    fn request(&self, to: &Target, order: &Order<'_>) -> Request<Full<Bytes>> {
        let now = self.gateway.now();
        let forward = Forward {
            server: &to.server,
            left: self.deadline.saturating_sub(now),
            account: self.account.as_ref().map(|account| &*account.name),
            model: order.model,
            rank: order.rank,
            resume_after: order.resume_after,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.gateway.dialect.forward(&self.head.headers, &forward);
        request
    }

    /// Tells the server's own answer to this request from anything else.
    fn classify(&self, answer: IncomingResponse, to: &Target, since: Mono) -> Sent {
        let facts = self.gateway.dialect.answer(&answer.head);
        let now = self.gateway.now();
        if let Some(report) = facts.report {
            self.gateway.fleet.borrow_mut().set_report(&to.server, report, now);
        }
        let status = answer.head.status;
        let own = facts.id.as_deref().is_none_or(|id| id == self.intake.id);
        if !own {
            return Sent::Lost("other_request");
        }
        if facts.misdirected {
            self.gateway.fleet.borrow_mut().mark_leaving(&to.server);
            return Sent::NotRun("other_server");
        }
        if facts.not_run {
            return Sent::NotRun("rejected");
        }
        if facts.id.is_none() || !facts.sealed || facts.encoded || status.is_informational() {
            return Sent::Lost("not_vouched");
        }
        let first_byte = now.saturating_sub(since);
        Sent::Head(Box::new(Head { answer, facts, status, first_byte }))
    }
}

impl<D> Gateway<D> {
    /// Returns when a server from which nothing comes can't be connected to.
    ///
    /// An open connection to a server that lost its power or its link shows
    /// nothing; a new one does.
    pub(crate) async fn dark(&self, addr: std::net::SocketAddr) {
        let mut pause = DARK_AFTER;
        loop {
            tokio::time::sleep(pause).await;
            if self.pool.probe(addr).await.is_err() {
                return;
            }
            pause *= 2;
        }
    }
}

/// Where a send goes.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub server: Name,
    pub version: Name,
    pub addr: std::net::SocketAddr,
    /// What the server will have to read of the prompt.
    pub reading: f64,
}

/// What differs between the sends of one request.
#[derive(Debug)]
pub(crate) struct Order<'a> {
    pub model: Option<&'a str>,
    pub rank: Option<u8>,
    pub resume_after: Option<u64>,
    pub limit: Duration,
    /// Whether another server may be asked if this one goes dark.
    pub may_leave: bool,
}
