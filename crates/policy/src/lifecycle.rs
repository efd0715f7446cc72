//! How requests arrive, are confirmed before a send, and leave.

use std::sync::Arc;

use config::{CutOff, Name, Route, WorkClass};
use error::Kind;

use crate::action::{Action, Confirm};
use crate::balance::Balance;
use crate::core::{Core, Now, Open, Standing, Timer};
use crate::event::{Arrival, RequestId};
use crate::queue::Waiting;

/// The wait to advise when a queue's rate is not known, in milliseconds.
const ADVISE_MS: u64 = 1_000;
/// The least and the longest wait to advise, in milliseconds.
const ADVISE_RANGE_MS: (f64, f64) = (100.0, 30_000.0);

impl<B: Balance> Core<B> {
    /// Admits a request: places it, lets it wait, or refuses it at once.
    pub(crate) fn arrived(&mut self, arrival: Arrival, now: Now) {
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
        if self.settings.switches.poison && self.poison.convicted(arrival.fingerprint) {
            return Err(Kind::CrashesServers);
        }
        let weight = config.accounts.get(&arrival.account).map_or(1.0, |account| account.weight);
        let open = self.opened(arrival, route, weight, now)?;
        let id = open.arrival.id;
        let deadline = now.mono + std::time::Duration::from_millis(open.route.deadline_ms);
        self.timers.push(std::cmp::Reverse((deadline, Timer::Deadline, id)));
        self.hedges.earn();
        self.retry_budget(&open.route.name.clone()).earn();
        self.open.insert(id, open);
        if !self.place(id, now) {
            self.wait_or_refuse(id);
        }
        Ok(())
    }

    fn opened(
        &mut self,
        arrival: Arrival,
        route: Arc<Route>,
        weight: f64,
        now: Now,
    ) -> Result<Open, Kind> {
        let (version, moved) = self.choose_version(&arrival, &route, now)?;
        let long = route.work == WorkClass::Long;
        let work = self.work.estimate(&arrival, route.work);
        let pool = self.pools.ensure(&version, self.settings.switches.fair);
        let suspect = self.settings.switches.poison && self.poison.suspect(arrival.fingerprint);
        Ok(Open {
            arrival,
            route,
            weight,
            version,
            moved,
            pool,
            long,
            work,
            running: Vec::new(),
            next: 1,
            failed: Vec::new(),
            queued: false,
            answering: None,
            suspect,
        })
    }

    /// Chooses the version, or says why none may answer.
    pub(crate) fn choose_version(
        &self,
        arrival: &Arrival,
        route: &Route,
        now: Now,
    ) -> Result<(Name, Option<Name>), Kind> {
        let standing = self.standing(now);
        if standing == Standing::NotReady {
            return Err(Kind::NotReady);
        }
        if standing == Standing::CutOff && route.cut_off == CutOff::Stop {
            return Err(Kind::CutOff);
        }
        let served = |version: &Name| self.has_servers(version);
        // A stale instance only holds the request: it is chosen anew before it is sent.
        let mut context = self.context(route, now);
        if standing == Standing::Stale {
            context.standing = Standing::Fresh;
        }
        let choice = context.choose(arrival, served)?;
        if choice.pinned && !self.has_servers(&choice.version) {
            return Err(Kind::NoServer);
        }
        Ok((choice.version, choice.moved))
    }

    fn has_servers(&self, version: &Name) -> bool {
        let pool = self.pools.find(version);
        pool.is_some_and(|pool| !pool.near.is_empty() || !pool.far.is_empty())
    }

    /// Puts a request into its queue, or refuses it if it can't be answered in time.
    fn wait_or_refuse(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let pool = self.pools.get(open.pool);
        if pool.waiting() >= self.settings.queue_limit {
            return self.refuse(id, Kind::Overloaded, Some(ADVISE_MS));
        }
        let queue = if open.long { &pool.long } else { &pool.short };
        let ahead = queue.ahead(&open.arrival.account) as f64 + 1.0;
        let rate = pool.rates[usize::from(open.long)].per_second();
        if let Some(rate) = rate.filter(|_| self.settings.switches.early) {
            let wait = ahead / rate.max(0.01);
            let left = open.route.deadline_ms as f64 / 1e3;
            let answer = pool.expect.first_byte(open.arrival.prompt_tokens);
            if wait + answer > left {
                return self.refuse(id, Kind::Overloaded, Some(advise(wait, left)));
            }
        }
        self.enqueue(id);
    }

    /// Puts a request into its queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.queued = true;
        let waiting = Waiting { id, work: open.work };
        let queue = self.pools.get_mut(open.pool).lane(open.long);
        queue.push(&open.arrival.account, open.weight, waiting);
    }

    /// Answers the last question before the request is written.
    ///
    /// Asked after the connection stands, so that a process that was paused
    /// in between does not act on what it knew before.
    pub fn confirm(&self, id: RequestId, server: &str, now: Now) -> Confirm {
        if !self.settings.switches.confirm {
            return Confirm::Go;
        }
        match self.check_send(id, server, now) {
            Ok(()) => Confirm::Go,
            Err(kind) => Confirm::Stop(kind),
        }
    }

    fn check_send(&self, id: RequestId, server: &str, now: Now) -> Result<(), Kind> {
        let open = self.open.get(&id).ok_or(Kind::Timeout)?;
        let config = self.config.as_ref().ok_or(Kind::NotReady)?;
        let route = config.routes.get(&open.route.name).ok_or(Kind::UnknownRoute)?;
        match (self.standing(now), route.cut_off) {
            (Standing::NotReady, _) => return Err(Kind::NotReady),
            (Standing::Stale, _) | (Standing::CutOff, CutOff::Stop) => return Err(Kind::CutOff),
            (Standing::Fresh, _) | (Standing::CutOff, CutOff::ServeStable) => {}
        }
        self.context(route, now).may_send(&open.version, &open.arrival)?;
        if self.settings.switches.poison && self.poison.convicted(open.arrival.fingerprint) {
            return Err(Kind::CrashesServers);
        }
        let ix = self.servers.find(server).ok_or(Kind::NoServer)?;
        self.servers.get(ix).takes_work().then_some(()).ok_or(Kind::NoServer)
    }

    /// Chooses anew for what waits after the configuration or the halts changed.
    pub(crate) fn recheck_waiting(&mut self, now: Now) {
        let waiting: Vec<RequestId> =
            self.open.iter().filter(|(_, open)| open.queued).map(|(id, _)| *id).collect();
        for id in waiting {
            if let Err(kind) = self.choose_again(id, now) {
                self.refuse(id, kind, None);
            }
        }
    }

    /// Chooses the version of an open request again under the present configuration.
    pub(crate) fn choose_again(&mut self, id: RequestId, now: Now) -> Result<(), Kind> {
        let Some(open) = self.open.get(&id) else { return Ok(()) };
        let config = self.config.as_ref().ok_or(Kind::NotReady)?;
        let route = config.routes.get(&open.route.name).ok_or(Kind::UnknownRoute)?.clone();
        if !route.allows(&open.arrival.account) {
            return Err(Kind::NotAllowed);
        }
        let kept = self.context(&route, now).may_send(&open.version, &open.arrival).is_ok();
        let (version, moved) = match kept {
            true => (open.version.clone(), open.moved.clone()),
            false => self.choose_version(&open.arrival, &route, now)?,
        };
        let pool = self.pools.ensure(&version, self.settings.switches.fair);
        let Some(open) = self.open.get_mut(&id) else { return Ok(()) };
        let requeue = open.queued && open.pool != pool;
        open.route = route;
        open.version = version;
        open.moved = moved;
        open.pool = pool;
        if requeue {
            self.enqueue(id);
        }
        Ok(())
    }

    /// Forgets a request whose caller went away.
    pub(crate) fn cancelled(&mut self, id: RequestId, now: Now) {
        if let Some(open) = self.close(id) {
            for running in &open.running {
                self.actions.push(Action::Abort(id, running.attempt));
            }
            self.dispatch_freed(&open, now);
        }
    }

    /// Gives a request its final refusal and drops what runs for it.
    pub(crate) fn refuse(&mut self, id: RequestId, kind: Kind, after_ms: Option<u64>) {
        if let Some(open) = self.close(id) {
            for running in &open.running {
                self.actions.push(Action::Abort(id, running.attempt));
            }
        }
        self.actions.push(Action::Refuse(id, kind, after_ms));
    }

    /// Takes a request out and releases what it holds.
    pub(crate) fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        for running in &open.running {
            self.release(&open, running.server);
        }
        Some(open)
    }
}

/// When to come back: once the queue has drained enough, in milliseconds.
fn advise(wait_s: f64, left_s: f64) -> u64 {
    let over = (wait_s - left_s).max(0.0) + 0.2;
    (over * 1e3).clamp(ADVISE_RANGE_MS.0, ADVISE_RANGE_MS.1) as u64
}
