//! Placing requests on servers, from arrival and from the queues.

use std::cmp::Reverse;
use std::time::Duration;

use config::CutOff;
use error::Kind;
use rand::RngExt;

use crate::action::{Action, Send};
use crate::balance::{Balance, Candidate};
use crate::core::{Core, Now, Open, Running, Standing, Timer};
use crate::event::RequestId;
use crate::servers::ServerIx;

/// How many servers are looked at when no drawn one has room.
const SCAN: usize = 32;
/// Long work below this part of the slots goes before short work.
const LONG_RESERVE: f64 = 0.25;
/// The shortest wait before a hedge.
const SHORTEST_HEDGE_S: f64 = 0.05;
/// A request is on at most this many servers at a time.
const MOST_RUNNING: usize = 2;

impl<B: Balance> Core<B> {
    /// Sends the request to a server if one has room; false if it must wait.
    pub(crate) fn place(&mut self, id: RequestId, now: Now) -> bool {
        let Some(open) = self.open.get(&id) else { return true };
        if self.holds(open, now) {
            return false;
        }
        // Other domains help when no server of the own one has room.
        let chosen = self.pick(id, true, now).or_else(|| self.pick(id, false, now));
        match chosen {
            Some(server) => {
                self.send(id, server, false, now);
                true
            }
            None => false,
        }
    }

    /// Whether the request waits for a try to confirm the configuration.
    fn holds(&self, open: &Open, now: Now) -> bool {
        match self.standing(now) {
            Standing::Stale => self.settings.switches.confirm,
            Standing::CutOff => open.route.cut_off == CutOff::Stop,
            Standing::Fresh | Standing::NotReady => false,
        }
    }

    /// Draws candidates and lets the balance choose one.
    fn pick(&mut self, id: RequestId, near: bool, now: Now) -> Option<ServerIx> {
        let open = self.open.get(&id)?;
        let pool = self.pools.get(open.pool);
        let places = if near { &pool.near } else { &pool.far };
        if places.is_empty() {
            return None;
        }
        let count = places.len();
        let affine = self
            .settings
            .switches
            .affinity
            .then(|| places[(open.arrival.prefix % count as u64) as usize]);
        let start = self.rng.random_range(0..count);
        let draws = B::DRAW.min(count);
        let mut candidates: Vec<Candidate> = Vec::with_capacity(draws.min(count));
        let mut probe = None;
        let step = coprime_step(count, self.rng.random_range(0..count));
        for turn in 0..count.min(draws.max(SCAN)) {
            if candidates.len() >= draws || (turn >= draws && !candidates.is_empty()) {
                break;
            }
            let place = places[(start + turn * step) % count];
            match self.candidate(open, place, now) {
                Eligible::Yes(mut candidate) => {
                    candidate.affine = Some(place) == affine;
                    candidates.push(candidate);
                }
                Eligible::Probe => probe = Some(place),
                Eligible::No => {}
            }
        }
        if let Some(place) = affine
            && !candidates.iter().any(|c| c.ix == place)
            && let Eligible::Yes(mut candidate) = self.candidate(open, place, now)
        {
            candidate.affine = true;
            candidates.push(candidate);
        }
        if let Some(place) = probe
            && self.servers.get_mut(place).pace.take_probe(now.mono)
        {
            return Some(place);
        }
        if candidates.is_empty() {
            return None;
        }
        Some(self.balance.choose(&candidates, &mut self.rng))
    }

    fn candidate(&self, open: &Open, place: ServerIx, now: Now) -> Eligible {
        let server = self.servers.get(place);
        if !server.up(now.mono) || open.failed.contains(&place) {
            return Eligible::No;
        }
        if open.running.iter().any(|running| running.server == place) {
            return Eligible::No;
        }
        if open.suspect && !server.free_of_suspects(now.mono) {
            return Eligible::No;
        }
        let bounded = open.long && self.settings.switches.lanes;
        if B::QUEUES && !server.has_room(bounded, self.sharers, now.mono) {
            return Eligible::No;
        }
        if self.settings.switches.stragglers && server.pace.suspect() {
            let probes = open.route.repeatable && !open.long && server.in_flight == 0;
            return if probes { Eligible::Probe } else { Eligible::No };
        }
        Eligible::Yes(Candidate {
            ix: place,
            in_flight: f64::from(server.in_flight) + server.external(now.mono),
            work: server.work + server.external(now.mono) * open.work,
            weight: server.pace.weight(),
            ratio: server.pace.ratio(),
            slots: server.info.slots,
            affine: false,
        })
    }

    /// Records the attempt and asks for it to be sent.
    pub(crate) fn send(&mut self, id: RequestId, place: ServerIx, hedge: bool, now: Now) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.queued = false;
        let attempt = open.next;
        open.next += 1;
        let since = now.mono;
        open.running.push(Running { attempt, server: place, since, last: since, tokens: 0 });
        let server = self.servers.get_mut(place);
        if server.in_flight == 0 {
            server.pace.begin(now.mono);
        }
        server.in_flight += 1;
        server.work += open.work;
        if open.long {
            server.long += 1;
            self.pools.get_mut(open.pool).long_in_flight += 1;
        }
        if open.suspect {
            server.suspect = Some(id);
        }
        let action = Send {
            request: id,
            attempt,
            server: server.info.id.clone(),
            addr: server.info.addr,
            version: open.version.clone(),
            moved: open.moved.clone(),
            urgent: !open.long,
            hedge,
        };
        self.actions.push(Action::Send(action));
        if open.route.repeatable && !hedge && self.settings.switches.hedge {
            let expect = &self.pools.get(open.pool).expect;
            let late = expect.late_first_byte(open.arrival.prompt_tokens).max(SHORTEST_HEDGE_S);
            let due = now.mono + Duration::from_secs_f64(late);
            self.timers.push(Reverse((due, Timer::Late, id)));
        }
    }

    /// Releases the server's slot that an attempt held.
    pub(crate) fn release(&mut self, open: &Open, place: ServerIx) {
        let server = self.servers.get_mut(place);
        server.in_flight = server.in_flight.saturating_sub(1);
        server.work = (server.work - open.work).max(0.0);
        if server.in_flight == 0 {
            server.work = 0.0;
        }
        if open.long {
            server.long = server.long.saturating_sub(1);
            let pool = self.pools.get_mut(open.pool);
            pool.long_in_flight = pool.long_in_flight.saturating_sub(1);
        }
        if server.suspect == Some(open.arrival.id) {
            server.suspect = None;
        }
    }

    /// Serves the queues of the servers that a request has left.
    pub(crate) fn dispatch_freed(&mut self, open: &Open, now: Now) {
        for running in &open.running {
            self.dispatch_server(running.server, now);
        }
    }

    /// Serves the queues of the pools that a server belongs to.
    pub(crate) fn dispatch_server(&mut self, place: ServerIx, now: Now) {
        for turn in 0..self.servers.get(place).pools.len() {
            let pool = self.servers.get(place).pools[turn];
            self.dispatch_pool(pool, now);
        }
    }

    /// Serves all queues.
    pub(crate) fn dispatch_all(&mut self, now: Now) {
        for pool in 0..self.pools.len() {
            self.dispatch_pool(pool, now);
        }
    }

    fn dispatch_pool(&mut self, ix: usize, now: Now) {
        for long in self.lane_order(ix) {
            while self.dispatch_one(ix, long, now) {}
        }
    }

    /// Long work goes first while it has less than its reserve.
    fn lane_order(&self, ix: usize) -> [bool; 2] {
        let pool = self.pools.get(ix);
        let reserve = f64::from(pool.slots) * LONG_RESERVE / f64::from(self.sharers.max(1));
        let owed = f64::from(pool.long_in_flight) < reserve;
        let first = owed && self.settings.switches.lanes;
        [first, !first]
    }

    /// Places the next request of a lane; false if none could be placed.
    fn dispatch_one(&mut self, ix: usize, long: bool, now: Now) -> bool {
        let Some(waiting) = self.pools.get_mut(ix).lane(long).pop() else { return false };
        let id = waiting.id;
        let queued = self.open.get(&id).is_some_and(|open| open.queued && open.pool == ix);
        if !queued {
            return true;
        }
        if self.standing(now) != Standing::Stale
            && let Err(kind) = self.choose_again(id, now)
        {
            self.refuse(id, kind, None);
            return true;
        }
        if self.open.get(&id).is_some_and(|open| open.pool != ix) {
            return true;
        }
        if self.place(id, now) {
            return true;
        }
        if let Some(open) = self.open.get(&id) {
            let account = open.arrival.account.clone();
            self.pools.get_mut(ix).lane(long).put_back(&account, waiting);
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
                Timer::Deadline => self.expired(id, now),
                Timer::Late => self.late(id, now),
            }
        }
    }

    fn expired(&mut self, id: RequestId, now: Now) {
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

    /// Sends a second attempt for a request whose first byte is late.
    fn late(&mut self, id: RequestId, now: Now) {
        let Some(open) = self.open.get(&id) else { return };
        let waits = open.answering.is_none() && !open.running.is_empty();
        if !waits || open.running.len() >= MOST_RUNNING || open.suspect {
            return;
        }
        let Some(server) = self.pick(id, true, now).or_else(|| self.pick(id, false, now)) else {
            return;
        };
        if self.hedges.spend() {
            self.send(id, server, true, now);
        }
    }
}

enum Eligible {
    Yes(Candidate),
    Probe,
    No,
}

/// A step that visits every one of `count` places in turn.
fn coprime_step(count: usize, seed: usize) -> usize {
    let coprime = |step: &usize| gcd(*step, count) == 1;
    (seed.max(1)..=count).find(coprime).unwrap_or(1)
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}
