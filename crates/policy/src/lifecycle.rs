//! Admission, the check before each send, version reselection and removal of requests.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use config::{CutOff, Name, Route, WorkClass};
use error::Kind;

use crate::action::{Action, SendCheck};
use crate::balance::Balancer;
use crate::core::{Core, Freshness, Now, OpenRequest, Timer};
use crate::event::{Arrival, RequestId};
use crate::queue::QueuedRequest;

/// The suggested retry delay when the queue is full, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
/// The margin added to a suggested retry delay, in seconds.
const RETRY_AFTER_MARGIN_S: f64 = 0.2;
/// The minimum and maximum suggested retry delay, in milliseconds.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (100.0, 30_000.0);

impl<B: Balancer> Core<B> {
    /// Handles an arriving request by dispatching, queueing or refusing it.
    pub(crate) fn handle_arrival(&mut self, arrival: Arrival, now: Now) {
        let id = arrival.id;
        match self.admit(arrival, now) {
            Ok(()) => {}
            Err(kind) => self.refuse(id, kind, None),
        }
    }

    fn admit(&mut self, arrival: Arrival, now: Now) -> Result<(), Kind> {
        if self.draining {
            return Err(Kind::Draining);
        }
        let config = self.config.clone().ok_or(Kind::NotReady)?;
        let route = config.routes.get(&arrival.route).ok_or(Kind::UnknownRoute)?.clone();
        if !route.allows(&arrival.account) {
            return Err(Kind::NotAllowed);
        }
        if self.settings.switches.poison && self.poison.is_blocked(arrival.fingerprint) {
            return Err(Kind::CrashesServers);
        }
        let weight = config.accounts.get(&arrival.account).map_or(1.0, |account| account.weight);
        let open = self.new_open_request(arrival, route, weight, now)?;
        let id = open.arrival.id;
        let deadline = now.mono + Duration::from_millis(open.route.deadline_ms);
        self.timers.push(Reverse((deadline, Timer::Deadline, id)));
        self.hedge_budget.deposit();
        self.retry_budget(&open.route.name.clone()).deposit();
        self.open.insert(id, open);
        if !self.try_dispatch(id, now) {
            self.enqueue_or_refuse(id);
        }
        Ok(())
    }

    fn new_open_request(
        &mut self,
        arrival: Arrival,
        route: Arc<Route>,
        weight: f64,
        now: Now,
    ) -> Result<OpenRequest, Kind> {
        let (version, moved_from) = self.choose_version(&arrival, &route, now)?;
        let long = route.work == WorkClass::Long;
        let work = self.work.estimate(&arrival, route.work);
        let pool = self.pools.get_or_create(&version, self.settings.switches.fair);
        let suspect = self.settings.switches.poison && self.poison.is_suspect(arrival.fingerprint);
        Ok(OpenRequest {
            arrival,
            route,
            weight,
            version,
            moved_from,
            pool,
            long,
            work,
            running: Vec::new(),
            next_attempt: 1,
            failed_servers: Vec::new(),
            queued: false,
            answering: None,
            suspect,
        })
    }

    /// Chooses the version to answer a request, or returns the reason why there is
    /// none.
    pub(crate) fn choose_version(
        &self,
        arrival: &Arrival,
        route: &Route,
        now: Now,
    ) -> Result<(Name, Option<Name>), Kind> {
        let freshness = self.freshness(now);
        if freshness == Freshness::NotReady {
            return Err(Kind::NotReady);
        }
        if freshness == Freshness::CutOff && route.cut_off == CutOff::Stop {
            return Err(Kind::CutOff);
        }
        let has_servers = |version: &Name| self.has_servers(version);
        // With a stale configuration the request only waits; its version is selected
        // again before the send.
        let mut selector = self.version_selector(route, now);
        if freshness == Freshness::Stale {
            selector.freshness = Freshness::Fresh;
        }
        let choice = selector.choose(arrival, has_servers)?;
        if choice.pinned && !self.has_servers(&choice.version) {
            return Err(Kind::NoServer);
        }
        Ok((choice.version, choice.moved_from))
    }

    fn has_servers(&self, version: &Name) -> bool {
        let pool = self.pools.find(version);
        pool.is_some_and(|pool| !pool.local.is_empty() || !pool.remote.is_empty())
    }

    /// Queues a request, or refuses it if it cannot be answered before its deadline.
    fn enqueue_or_refuse(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let pool = self.pools.get(open.pool);
        if pool.waiting() >= self.settings.queue_limit {
            return self.refuse(id, Kind::Overloaded, Some(DEFAULT_RETRY_AFTER_MS));
        }
        let queue = if open.long { &pool.long } else { &pool.short };
        let ahead = queue.position(&open.arrival.account) as f64 + 1.0;
        let rate = pool.completion_rates[usize::from(open.long)].per_second();
        if let Some(rate) = rate.filter(|_| self.settings.switches.early) {
            let wait_s = ahead / rate.max(0.01);
            let deadline_s = open.route.deadline_ms as f64 / 1e3;
            let first_byte_s = pool.expected_latency.first_byte(open.arrival.prompt_tokens);
            if wait_s + first_byte_s > deadline_s {
                return self.refuse(id, Kind::Overloaded, Some(retry_after_ms(wait_s, deadline_s)));
            }
        }
        self.enqueue(id);
    }

    /// Adds a request to its queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.queued = true;
        let waiting = QueuedRequest { id, work: open.work };
        let queue = self.pools.get_mut(open.pool).queue(open.long);
        queue.push(&open.arrival.account, open.weight, waiting);
    }

    /// Decides whether a request may still be sent to a server.
    ///
    /// The caller asks after the connection is established, immediately before it
    /// writes the request, so that a process that was paused in between does not act on
    /// outdated state.
    pub fn check_before_send(&self, id: RequestId, server: &str, now: Now) -> SendCheck {
        if !self.settings.switches.confirm {
            return SendCheck::Proceed;
        }
        match self.check_send(id, server, now) {
            Ok(()) => SendCheck::Proceed,
            Err(kind) => SendCheck::Refuse(kind),
        }
    }

    fn check_send(&self, id: RequestId, server: &str, now: Now) -> Result<(), Kind> {
        let open = self.open.get(&id).ok_or(Kind::Timeout)?;
        let config = self.config.as_ref().ok_or(Kind::NotReady)?;
        let route = config.routes.get(&open.route.name).ok_or(Kind::UnknownRoute)?;
        match (self.freshness(now), route.cut_off) {
            (Freshness::NotReady, _) => return Err(Kind::NotReady),
            (Freshness::Stale, _) | (Freshness::CutOff, CutOff::Stop) => return Err(Kind::CutOff),
            (Freshness::Fresh, _) | (Freshness::CutOff, CutOff::ServeStable) => {}
        }
        self.version_selector(route, now).may_send(&open.version, &open.arrival)?;
        if self.settings.switches.poison && self.poison.is_blocked(open.arrival.fingerprint) {
            return Err(Kind::CrashesServers);
        }
        let ix = self.servers.find(server).ok_or(Kind::NoServer)?;
        self.servers.get(ix).takes_work().then_some(()).ok_or(Kind::NoServer)
    }

    /// Selects versions again for all queued requests after the configuration or the
    /// halts changed.
    pub(crate) fn reselect_queued(&mut self, now: Now) {
        let waiting: Vec<RequestId> =
            self.open.iter().filter(|(_, open)| open.queued).map(|(id, _)| *id).collect();
        for id in waiting {
            if let Err(kind) = self.reselect_version(id, now) {
                self.refuse(id, kind, None);
            }
        }
    }

    /// Selects the version of an open request again under the current configuration.
    pub(crate) fn reselect_version(&mut self, id: RequestId, now: Now) -> Result<(), Kind> {
        let Some(open) = self.open.get(&id) else { return Ok(()) };
        let config = self.config.as_ref().ok_or(Kind::NotReady)?;
        let route = config.routes.get(&open.route.name).ok_or(Kind::UnknownRoute)?.clone();
        if !route.allows(&open.arrival.account) {
            return Err(Kind::NotAllowed);
        }
        let kept =
            self.version_selector(&route, now).may_send(&open.version, &open.arrival).is_ok();
        let (version, moved_from) = match kept {
            true => (open.version.clone(), open.moved_from.clone()),
            false => self.choose_version(&open.arrival, &route, now)?,
        };
        let pool = self.pools.get_or_create(&version, self.settings.switches.fair);
        let Some(open) = self.open.get_mut(&id) else { return Ok(()) };
        let requeue = open.queued && open.pool != pool;
        open.route = route;
        open.version = version;
        open.moved_from = moved_from;
        open.pool = pool;
        if requeue {
            self.enqueue(id);
        }
        Ok(())
    }

    /// Removes a request whose caller disconnected.
    pub(crate) fn handle_cancellation(&mut self, id: RequestId, now: Now) {
        if let Some(open) = self.close(id) {
            for running in &open.running {
                self.actions.push(Action::Abort(id, running.attempt));
            }
            self.dispatch_freed(&open, now);
        }
    }

    /// Refuses a request and aborts its running attempts.
    pub(crate) fn refuse(&mut self, id: RequestId, kind: Kind, retry_after_ms: Option<u64>) {
        if let Some(open) = self.close(id) {
            for running in &open.running {
                self.actions.push(Action::Abort(id, running.attempt));
            }
        }
        self.actions.push(Action::Refuse(id, kind, retry_after_ms));
    }

    /// Removes a request and releases the slots that it occupies.
    pub(crate) fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        for running in &open.running {
            self.release_slot(&open, running.server);
        }
        Some(open)
    }
}

/// Returns the retry delay, in milliseconds, after which the queue should be short
/// enough to answer in time.
fn retry_after_ms(wait_s: f64, deadline_s: f64) -> u64 {
    let excess_s = (wait_s - deadline_s).max(0.0) + RETRY_AFTER_MARGIN_S;
    (excess_s * 1e3).clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1) as u64
}
