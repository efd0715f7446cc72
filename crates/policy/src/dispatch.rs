//! Dispatches arriving and queued requests to servers.

use std::cmp::Reverse;
use std::time::Duration;

use config::CutOff;
use error::Kind;
use rand::RngExt;

use crate::action::{Action, SendOrder};
use crate::balance::{Balancer, Candidate};
use crate::core::{Core, Freshness, Now, OpenRequest, RunningAttempt, Timer};
use crate::event::RequestId;
use crate::servers::ServerIx;

/// The maximum number of servers to examine when no sampled one has capacity.
const MAX_SCANNED: usize = 32;
/// Long work is dispatched before short work while it occupies less than this share of
/// the slots.
const LONG_WORK_RESERVE: f64 = 0.25;
/// The minimum delay before a hedge is sent, in seconds.
const MIN_HEDGE_DELAY_S: f64 = 0.05;
/// The maximum number of concurrent attempts of one request.
const MAX_CONCURRENT_ATTEMPTS: usize = 2;

impl<B: Balancer> Core<B> {
    /// Sends the request to a server with capacity. Returns false if the request must
    /// wait.
    pub(crate) fn try_dispatch(&mut self, id: RequestId, now: Now) -> bool {
        let Some(open) = self.open.get(&id) else { return true };
        if self.must_wait(open, now) {
            return false;
        }
        // Fall back to other failure domains if no local server has capacity.
        let chosen =
            self.choose_server(id, true, now).or_else(|| self.choose_server(id, false, now));
        match chosen {
            Some(server) => {
                self.start_attempt(id, server, false, now);
                true
            }
            None => false,
        }
    }

    /// Returns whether the request must wait until the configuration is confirmed.
    fn must_wait(&self, open: &OpenRequest, now: Now) -> bool {
        match self.freshness(now) {
            Freshness::Stale => self.settings.switches.confirm,
            Freshness::CutOff => open.route.cut_off == CutOff::Stop,
            Freshness::Fresh | Freshness::NotReady => false,
        }
    }

    /// Samples candidates and lets the balancer choose one.
    fn choose_server(&mut self, id: RequestId, local: bool, now: Now) -> Option<ServerIx> {
        let open = self.open.get(&id)?;
        let pool = self.pools.get(open.pool);
        let indices = if local { &pool.local } else { &pool.remote };
        if indices.is_empty() {
            return None;
        }
        let count = indices.len();
        let affine_ix = self
            .settings
            .switches
            .affinity
            .then(|| indices[(open.arrival.prefix % count as u64) as usize]);
        let start = self.rng.random_range(0..count);
        let sample_size = B::SAMPLE_SIZE.min(count);
        let mut candidates: Vec<Candidate> = Vec::with_capacity(sample_size.min(count));
        let mut probe = None;
        let step = coprime_step(count, self.rng.random_range(0..count));
        for offset in 0..count.min(sample_size.max(MAX_SCANNED)) {
            if candidates.len() >= sample_size || (offset >= sample_size && !candidates.is_empty())
            {
                break;
            }
            let server_ix = indices[(start + offset * step) % count];
            match self.eligibility(open, server_ix, now) {
                Eligibility::Yes(mut candidate) => {
                    candidate.prefix_affine = Some(server_ix) == affine_ix;
                    candidates.push(candidate);
                }
                Eligibility::Probe => probe = Some(server_ix),
                Eligibility::No => {}
            }
        }
        if let Some(server_ix) = affine_ix
            && !candidates.iter().any(|c| c.ix == server_ix)
            && let Eligibility::Yes(mut candidate) = self.eligibility(open, server_ix, now)
        {
            candidate.prefix_affine = true;
            candidates.push(candidate);
        }
        if let Some(server_ix) = probe
            && self.servers.get_mut(server_ix).latency.take_probe(now.mono)
        {
            return Some(server_ix);
        }
        if candidates.is_empty() {
            return None;
        }
        Some(self.balancer.choose(&candidates, &mut self.rng))
    }

    /// Returns whether a request may run on a server now.
    fn eligibility(&self, open: &OpenRequest, server_ix: ServerIx, now: Now) -> Eligibility {
        let server = self.servers.get(server_ix);
        if !server.is_available(now.mono) || open.failed_servers.contains(&server_ix) {
            return Eligibility::No;
        }
        if open.running.iter().any(|running| running.server == server_ix) {
            return Eligibility::No;
        }
        if open.suspect && !server.can_run_suspect(now.mono) {
            return Eligibility::No;
        }
        let limit_long = open.long && self.settings.switches.lanes;
        if B::QUEUES_WHEN_FULL && !server.has_capacity(limit_long, self.domain_instances, now.mono)
        {
            return Eligibility::No;
        }
        if self.settings.switches.stragglers && server.latency.is_outlier() {
            let may_probe = open.route.repeatable && !open.long && server.in_flight == 0;
            return if may_probe { Eligibility::Probe } else { Eligibility::No };
        }
        Eligibility::Yes(Candidate {
            ix: server_ix,
            in_flight: f64::from(server.in_flight) + server.others_in_flight(now.mono),
            work: server.work + server.others_in_flight(now.mono) * open.work,
            weight: server.latency.weight(),
            latency_ratio: server.latency.ratio(),
            slots: server.info.slots,
            prefix_affine: false,
        })
    }

    /// Records a new attempt, emits the action to send it, and schedules its hedge.
    pub(crate) fn start_attempt(
        &mut self,
        id: RequestId,
        server_ix: ServerIx,
        hedge: bool,
        now: Now,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.queued = false;
        let attempt = open.next_attempt;
        open.next_attempt += 1;
        let sent_at = now.mono;
        open.running.push(RunningAttempt {
            attempt,
            server: server_ix,
            sent_at,
            last_progress: sent_at,
            tokens: 0,
        });
        let server = self.servers.get_mut(server_ix);
        if server.in_flight == 0 {
            server.latency.request_started(now.mono);
        }
        server.in_flight += 1;
        server.work += open.work;
        if open.long {
            server.long_in_flight += 1;
            self.pools.get_mut(open.pool).long_in_flight += 1;
        }
        if open.suspect {
            server.suspect = Some(id);
        }
        let order = SendOrder {
            request: id,
            attempt,
            server: server.info.id.clone(),
            addr: server.info.addr,
            version: open.version.clone(),
            moved_from: open.moved_from.clone(),
            high_priority: !open.long,
            hedge,
        };
        self.actions.push(Action::Send(order));
        if open.route.repeatable && !hedge && self.settings.switches.hedge {
            let latency = &self.pools.get(open.pool).expected_latency;
            let hedge_delay_s =
                latency.late_first_byte(open.arrival.prompt_tokens).max(MIN_HEDGE_DELAY_S);
            let due = now.mono + Duration::from_secs_f64(hedge_delay_s);
            self.timers.push(Reverse((due, Timer::Hedge, id)));
        }
    }

    /// Releases the server slot that an attempt occupied.
    pub(crate) fn release_slot(&mut self, open: &OpenRequest, server_ix: ServerIx) {
        let server = self.servers.get_mut(server_ix);
        server.in_flight = server.in_flight.saturating_sub(1);
        server.work = (server.work - open.work).max(0.0);
        if server.in_flight == 0 {
            server.work = 0.0;
        }
        if open.long {
            server.long_in_flight = server.long_in_flight.saturating_sub(1);
            let pool = self.pools.get_mut(open.pool);
            pool.long_in_flight = pool.long_in_flight.saturating_sub(1);
        }
        if server.suspect == Some(open.arrival.id) {
            server.suspect = None;
        }
    }

    /// Dispatches queued requests to the servers that a closed request occupied.
    pub(crate) fn dispatch_freed(&mut self, open: &OpenRequest, now: Now) {
        for running in &open.running {
            self.dispatch_server(running.server, now);
        }
    }

    /// Dispatches queued requests of all pools that a server belongs to.
    pub(crate) fn dispatch_server(&mut self, server_ix: ServerIx, now: Now) {
        for offset in 0..self.servers.get(server_ix).pools.len() {
            let pool = self.servers.get(server_ix).pools[offset];
            self.dispatch_pool(pool, now);
        }
    }

    /// Dispatches queued requests of all pools.
    pub(crate) fn dispatch_all(&mut self, now: Now) {
        for pool in 0..self.pools.len() {
            self.dispatch_pool(pool, now);
        }
    }

    fn dispatch_pool(&mut self, ix: usize, now: Now) {
        for long in self.queue_order(ix) {
            while self.dispatch_one(ix, long, now) {}
        }
    }

    /// Returns the order in which to serve the queues; `true` stands for long work.
    /// Long work goes first while it occupies less than its reserve.
    fn queue_order(&self, ix: usize) -> [bool; 2] {
        let pool = self.pools.get(ix);
        let reserve =
            f64::from(pool.slots) * LONG_WORK_RESERVE / f64::from(self.domain_instances.max(1));
        let below_reserve = f64::from(pool.long_in_flight) < reserve;
        let first = below_reserve && self.settings.switches.lanes;
        [first, !first]
    }

    /// Dispatches the next request of one queue. Returns false if the queue is empty or
    /// the request must keep waiting.
    fn dispatch_one(&mut self, ix: usize, long: bool, now: Now) -> bool {
        let Some(request) = self.pools.get_mut(ix).queue(long).pop() else { return false };
        let id = request.id;
        let queued = self.open.get(&id).is_some_and(|open| open.queued && open.pool == ix);
        if !queued {
            return true;
        }
        if self.freshness(now) != Freshness::Stale
            && let Err(kind) = self.reselect_version(id, now)
        {
            self.refuse(id, kind, None);
            return true;
        }
        if self.open.get(&id).is_some_and(|open| open.pool != ix) {
            return true;
        }
        if self.try_dispatch(id, now) {
            return true;
        }
        if let Some(open) = self.open.get(&id) {
            let account = open.arrival.account.clone();
            self.pools.get_mut(ix).queue(long).push_front(&account, request);
        }
        false
    }

    /// Fires the timers that are due.
    pub(crate) fn fire_timers(&mut self, now: Now) {
        while let Some(Reverse((due, _, _))) = self.timers.peek() {
            if *due > now.mono {
                break;
            }
            let Some(Reverse((_, timer, id))) = self.timers.pop() else { break };
            match timer {
                Timer::Deadline => self.handle_deadline(id, now),
                Timer::Hedge => self.try_hedge(id, now),
            }
        }
    }

    /// Refuses a request whose answer has not begun by its deadline.
    fn handle_deadline(&mut self, id: RequestId, now: Now) {
        let Some(open) = self.open.get(&id) else { return };
        if open.answering.is_some() {
            return;
        }
        let kind = if open.running.is_empty() { Kind::QueueExpired } else { Kind::Timeout };
        let servers: Vec<ServerIx> = open.running.iter().map(|running| running.server).collect();
        self.refuse(id, kind, None);
        for server in servers {
            self.dispatch_server(server, now);
        }
    }

    /// Starts a second attempt of a request whose first byte is late, if a server has
    /// capacity and the hedge budget permits it.
    fn try_hedge(&mut self, id: RequestId, now: Now) {
        let Some(open) = self.open.get(&id) else { return };
        let is_waiting = open.answering.is_none() && !open.running.is_empty();
        if !is_waiting || open.running.len() >= MAX_CONCURRENT_ATTEMPTS || open.suspect {
            return;
        }
        let Some(server) =
            self.choose_server(id, true, now).or_else(|| self.choose_server(id, false, now))
        else {
            return;
        };
        if self.hedge_budget.try_withdraw() {
            self.start_attempt(id, server, true, now);
        }
    }
}

/// Whether a request may run on a server.
enum Eligibility {
    /// It may.
    Yes(Candidate),
    /// The server is an outlier, and the request may be its next probe.
    Probe,
    /// It may not.
    No,
}

/// Returns a step that visits all of `count` indices modulo `count`.
fn coprime_step(count: usize, seed: usize) -> usize {
    let coprime = |step: &usize| gcd(*step, count) == 1;
    (seed.max(1)..=count).find(coprime).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}
