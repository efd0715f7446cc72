//! Deferral of requests before their first send: the wait, its log line and its metrics.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use dispatch::{
    AdmitReason, MonotonicTime, ServerBacklog, Ticket, YieldDecision, YieldRequest, Yielding,
};
use error::Kind;
use prometheus_client::encoding::EncodeLabelSet;
use serde_json::json;
use tokio::sync::Notify;

use crate::arrival::{Exchange, head_bytes};
use crate::exchange::{Progress, Rejection};
use crate::wire::Dialect;

/// Maximum number of requests that wait.
const MAX_REQUESTS: usize = 128;
/// Maximum size of the requests that wait: an eighth of what the default memory limit leaves for
/// bodies and events.
const MAX_BYTES: usize = 8 << 20;
/// Lowest priority that metrics tell apart.
const MAX_PRIORITY_LABEL: u8 = 9;

/// The label set of the counter of requests that yielded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct YieldLabels {
    /// How the wait ended, one of a fixed set of strings.
    pub decision: &'static str,
    /// The priority of the request, at most 9.
    pub priority: u8,
}

/// The requests that wait for their first send.
#[derive(Debug)]
pub(crate) struct DeferredRequests {
    pub yielding: RefCell<Yielding>,
    /// Notified when a request must be reviewed at once.
    reviews: RefCell<HashMap<Ticket, Rc<Notify>>>,
}

impl Default for DeferredRequests {
    fn default() -> Self {
        let yielding = RefCell::new(Yielding::new(MAX_REQUESTS, MAX_BYTES));
        DeferredRequests { yielding, reviews: RefCell::default() }
    }
}

/// A wait. Dropping it gives up the request's place and records how the wait ended.
struct Wait<'a, D> {
    exchange: &'a Exchange<D>,
    ticket: Option<Ticket>,
    priority: u8,
    since: MonotonicTime,
    /// The best server as of the last decision.
    server: ServerBacklog,
    /// How the wait ended; `None` if the request did not yield.
    end: Option<&'static str>,
}

impl<D> Drop for Wait<'_, D> {
    fn drop(&mut self) {
        let gateway = &self.exchange.gateway;
        if let Some(ticket) = self.ticket {
            let mut yielding = gateway.deferred.yielding.borrow_mut();
            yielding.leave(ticket);
            gateway.metrics.waiting_requests.set(yielding.len() as i64);
            gateway.deferred.reviews.borrow_mut().remove(&ticket);
        }
        let Some(decision) = self.end else { return };
        let labels = YieldLabels { decision, priority: self.priority.min(MAX_PRIORITY_LABEL) };
        gateway.metrics.yielded.get_or_create(&labels).inc();
        gateway.event_log.write("yielded", gateway.now(), || {
            json!({
                "request": self.exchange.request.id,
                "decision": decision,
                "priority": self.priority,
                "work_ms": self.server.work.as_millis() as u64,
                "backlog_ms": self.server.ahead.as_millis() as u64,
                "waited_ms": gateway.now().saturating_sub(self.since).as_millis() as u64,
            })
        });
    }
}

impl<D: Dialect> Exchange<D> {
    /// Waits before the first send while more urgent requests would wait behind this one.
    pub async fn yield_to_urgent(&self, progress: &Progress) -> Result<(), Rejection> {
        let gateway = &self.gateway;
        let is_first = progress.sends == 0
            && progress.attempts.is_empty()
            && progress.resume_after.is_none()
            && self.handover.is_none();
        if !is_first || !self.route.stream || self.request.prompt_parts.is_empty() {
            return Ok(());
        }
        let request = self.yield_request();
        if gateway.is_draining() || !gateway.deferred.yielding.borrow().concerns(&request) {
            return Ok(());
        }
        let Some(server) = self.backlog(progress, &request) else { return Ok(()) };
        let (since, draw) = (gateway.now(), gateway.random());
        let arrival = gateway.deferred.yielding.borrow_mut().arrive(&request, server, since, draw);
        let priority = request.priority;
        let (ticket, mut decision) = (arrival.ticket, arrival.decision);
        let mut wait = Wait { exchange: self, ticket, priority, since, server, end: None };
        let review = Rc::new(Notify::new());
        if let Some(ticket) = ticket {
            let mut reviews = gateway.deferred.reviews.borrow_mut();
            let displaced = arrival.displaced.iter();
            displaced.filter_map(|other| reviews.get(other)).for_each(|one| one.notify_one());
            reviews.insert(ticket, review.clone());
            wait.end = Some("abandoned");
            let waiting = gateway.deferred.yielding.borrow().len();
            gateway.metrics.waiting_requests.set(waiting as i64);
        }
        loop {
            match decision {
                YieldDecision::Admit(reason) => {
                    let is_full = reason == AdmitReason::QueueFull;
                    wait.end = (ticket.is_some() || is_full).then(|| reason_label(reason));
                    return Ok(());
                }
                // Another instance may have room, so the request is placed as usual: this hands it
                // over or rejects it.
                YieldDecision::Reject(_) if self.may_detour() => {
                    wait.end = ticket.is_some().then_some("wait_over");
                    return Ok(());
                }
                YieldDecision::Reject(after) => {
                    wait.end = Some("rejected");
                    return Err(Rejection::new(Kind::Overloaded, after));
                }
                YieldDecision::Defer(pause) => {
                    // A timeout means that the next review is due.
                    tokio::time::timeout(pause, review.notified()).await.ok();
                }
            }
            self.check_sendable(progress)?;
            let (now, draw) = (gateway.now(), gateway.random());
            decision = match (self.backlog(progress, &request), ticket) {
                (Some(server), Some(ticket)) if !gateway.is_draining() => {
                    wait.server = server;
                    let mut yielding = gateway.deferred.yielding.borrow_mut();
                    yielding.review(ticket, &request, server, now, draw)
                }
                _ => YieldDecision::Admit(AdmitReason::WaitOver),
            };
        }
    }

    fn yield_request(&self) -> YieldRequest<'_> {
        YieldRequest {
            service: &self.service,
            account: self.account.as_ref().map(|account| &account.name),
            priority: self.priority(),
            target_latency: self.route.target_latency,
            arrived: self.arrived,
            deadline: self.deadline,
            bytes: head_bytes(&self.head) + self.body.len(),
        }
    }

    /// Whether some servers of the service can't be reached from here, so that another instance may
    /// have room.
    fn may_detour(&self) -> bool {
        let gateway = &self.gateway;
        let reach = gateway.fleet.borrow().reach(&self.service);
        !gateway.probed_servers.borrow().is_empty() && reach.reached < reach.listed
    }

    /// Returns the backlog of the best server; `None` if the request is not placed here as usual:
    /// no server may serve it, or another instance may reach a better one.
    fn backlog(&self, progress: &Progress, request: &YieldRequest) -> Option<ServerBacklog> {
        let gateway = &self.gateway;
        let placement = self.best_server(progress)?;
        let fleet = gateway.fleet.borrow();
        let is_cut =
            !gateway.probed_servers.borrow().is_empty() && fleet.reach(&self.service).is_narrow();
        if placement.unreachable || is_cut {
            return None;
        }
        let mut yielding = gateway.deferred.yielding.borrow_mut();
        yielding.backlog(request, &fleet, &placement, gateway.now())
    }
}

fn reason_label(reason: AdmitReason) -> &'static str {
    match reason {
        AdmitReason::Room => "room",
        AdmitReason::WaitOver => "wait_over",
        AdmitReason::QueueFull => "queue_full",
    }
}
