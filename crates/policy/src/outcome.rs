//! What becomes of attempts: first bytes, progress, ends and failures.

use error::Kind;
use rand::RngExt;

use crate::action::Action;
use crate::balance::Balance;
use crate::core::{Core, Now, Open, Running};
use crate::event::{Attempt, Failure, RequestId, Usage};
use crate::evidence::VersionKey;
use crate::settings::Switches;

/// A request is sent at most this many times in all.
const MOST_ATTEMPTS: Attempt = 6;
/// Answers of a version in roll-out are rated at least this often.
const ROLLOUT_RATED: f64 = 0.5;
/// A first byte is slow if it takes this many times the expected time.
const SLOW_FIRST_BYTE: f64 = 4.0;

impl<B: Balance> Core<B> {
    /// The first attempt to answer wins; the other is dropped.
    pub(crate) fn first_byte(&mut self, id: RequestId, attempt: Attempt, now: Now) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(running) = open.running.iter_mut().find(|r| r.attempt == attempt) else { return };
        running.last = now.mono;
        let running = *running;
        if open.answering.is_some() {
            return;
        }
        open.answering = Some(attempt);
        let prompt = open.arrival.prompt_tokens;
        let key = version_key(open);
        let losers: Vec<Running> =
            open.running.iter().filter(|r| r.attempt != attempt).copied().collect();
        open.running.retain(|r| r.attempt == attempt);
        let pool = open.pool;
        let seconds = now.mono.saturating_sub(running.since).as_secs_f64();
        let expect = &mut self.pools.get_mut(pool).expect;
        let expected = expect.first_byte(prompt);
        expect.learn_first(prompt, seconds);
        let server = self.servers.get_mut(running.server);
        server.pace.observe(seconds, expected, now.mono);
        server.answered();
        let straggler = server.pace.suspect();
        if !straggler {
            let slow = seconds > SLOW_FIRST_BYTE * expected;
            self.evidence.first_byte(&key, now.epoch(), slow);
        }
        for loser in losers {
            self.drop_loser(id, loser, expected, now);
        }
    }

    fn drop_loser(&mut self, id: RequestId, loser: Running, expected: f64, now: Now) {
        self.actions.push(Action::Abort(id, loser.attempt));
        let waited = now.mono.saturating_sub(loser.since).as_secs_f64();
        // A loser's wait is only a lower bound of what it would have taken.
        if waited > expected {
            self.servers.get_mut(loser.server).pace.observe(waited, expected, now.mono);
        }
        if let Some(open) = self.open.remove(&id) {
            self.release(&open, loser.server);
            self.open.insert(id, open);
        }
        self.dispatch_server(loser.server, now);
    }

    /// Learns a server's pace from the growth of an answer.
    pub(crate) fn progress(&mut self, id: RequestId, attempt: Attempt, tokens: u32, now: Now) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(running) = open.running.iter_mut().find(|r| r.attempt == attempt) else { return };
        let seconds = now.mono.saturating_sub(running.last).as_secs_f64();
        running.last = now.mono;
        running.tokens += tokens;
        if tokens == 0 {
            return;
        }
        let place = running.server;
        let each = seconds / f64::from(tokens);
        let expect = &mut self.pools.get_mut(open.pool).expect;
        let expected = expect.token();
        expect.learn_token(each);
        self.servers.get_mut(place).pace.observe(each, expected, now.mono);
    }

    /// Closes a request whose answer is whole.
    pub(crate) fn done(&mut self, id: RequestId, attempt: Attempt, usage: Usage, now: Now) {
        let known = |open: &Open| open.running.iter().any(|r| r.attempt == attempt);
        if !self.open.get(&id).is_some_and(known) {
            return;
        }
        let Some(open) = self.close(id) else { return };
        self.work.learn(&open.arrival, usage);
        self.poison.answered(open.arrival.fingerprint);
        self.pools.get_mut(open.pool).rates[usize::from(open.long)].count();
        let key = version_key(&open);
        self.evidence.outcome(&key, now.epoch(), true);
        self.ask_rating(&open);
        self.judge_version(&key, now);
        self.dispatch_freed(&open, now);
    }

    fn ask_rating(&mut self, open: &Open) {
        let Some(version) = open.route.version(&open.version) else { return };
        let share = match version.rollout {
            Some(_) => open.route.rated.max(ROLLOUT_RATED),
            None => open.route.rated,
        };
        if share > 0.0 && self.rng.random_bool(share) {
            let bucket = crate::work::bucket(open.arrival.prompt_tokens);
            let rate = Action::Rate(open.arrival.id, open.version.clone(), bucket);
            self.actions.push(rate);
        }
    }

    /// Decides what follows a failed attempt: another one, or the final refusal.
    pub(crate) fn failed(&mut self, id: RequestId, attempt: Attempt, failure: Failure, now: Now) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(at) = open.running.iter().position(|r| r.attempt == attempt) else { return };
        let running = open.running.remove(at);
        let place = running.server;
        let key = version_key(open);
        if !matches!(failure, Failure::Forbidden(_)) {
            open.failed.push(place);
        }
        if let Some(open) = self.open.remove(&id) {
            self.release(&open, place);
            self.open.insert(id, open);
        }
        let deaths = self.learn_failure(id, running, failure, &key, now);
        self.decide(id, failure, deaths, now);
        self.judge_version(&key, now);
        self.dispatch_server(place, now);
    }

    /// Notes what the failure says of the server, the version and the request.
    ///
    /// Returns how many servers have died while they ran the request.
    fn learn_failure(
        &mut self,
        id: RequestId,
        running: Running,
        failure: Failure,
        key: &VersionKey,
        now: Now,
    ) -> u32 {
        let place = running.server;
        match failure {
            Failure::Unsent => {
                self.servers.get_mut(place).refused(now.mono);
                0
            }
            Failure::Forbidden(_) => 0,
            Failure::Crashed => {
                self.servers.get_mut(place).refused(now.mono);
                let fingerprint = self.open.get(&id).map(|open| open.arrival.fingerprint);
                fingerprint.map_or(0, |print| self.poison.died(print, now.mono))
            }
            Failure::Silent => {
                let waited = now.mono.saturating_sub(running.since).as_secs_f64();
                let server = self.servers.get_mut(place);
                server.pace.observe(waited, waited / 4.0, now.mono);
                self.evidence.outcome(key, now.epoch(), false);
                0
            }
            Failure::Status(_) | Failure::Mismatch | Failure::Cut => {
                self.evidence.outcome(key, now.epoch(), false);
                0
            }
        }
    }

    fn decide(&mut self, id: RequestId, failure: Failure, deaths: u32, now: Now) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !open.running.is_empty() && open.answering.is_none() {
            return;
        }
        let poison = self.settings.switches.poison;
        if deaths >= 2 && poison {
            return self.refuse(id, Kind::CrashesServers, None);
        }
        if open.answering.is_some() {
            return self.refuse(id, Kind::AnswerCut, None);
        }
        open.suspect |= deaths > 0 && poison;
        let retry = may_retry(open, failure);
        let crashed = deaths > 0;
        let route = open.route.name.clone();
        let switches: Switches = self.settings.switches;
        let free = matches!(failure, Failure::Unsent | Failure::Forbidden(_)) || crashed;
        let paid = retry && (free || !switches.retry_budget || self.retry_budget(&route).spend());
        if !paid {
            return self.refuse(id, failure.kind(), None);
        }
        if let Err(kind) = self.choose_again(id, now) {
            return self.refuse(id, kind, None);
        }
        if !self.place(id, now) {
            self.wait_again(id, failure);
        }
    }

    /// Lets a failed request wait for a server that it has not been tried on.
    fn wait_again(&mut self, id: RequestId, failure: Failure) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let pool = self.pools.get(open.pool);
        let mut places = pool.near.iter().chain(&pool.far);
        let untried = places
            .any(|place| !open.failed.contains(place) && self.servers.get(*place).takes_work());
        if untried || open.suspect {
            return self.enqueue(id);
        }
        let kind = match failure {
            Failure::Unsent | Failure::Forbidden(_) => Kind::NoServer,
            _ => failure.kind(),
        };
        self.refuse(id, kind, None);
    }
}

impl Failure {
    /// The kind of the refusal when no retry is left.
    pub fn kind(self) -> Kind {
        match self {
            Failure::Unsent => Kind::NoServer,
            Failure::Forbidden(kind) => kind,
            Failure::Crashed | Failure::Status(_) | Failure::Mismatch => Kind::BackendFailed,
            Failure::Silent => Kind::Timeout,
            Failure::Cut => Kind::AnswerCut,
        }
    }
}

/// Whether the request may be sent again after the failure.
fn may_retry(open: &Open, failure: Failure) -> bool {
    if open.next > MOST_ATTEMPTS {
        return false;
    }
    match failure {
        Failure::Unsent | Failure::Forbidden(_) => true,
        Failure::Crashed | Failure::Silent | Failure::Mismatch | Failure::Cut => {
            open.route.repeatable
        }
        Failure::Status(status) => open.route.repeatable && (status >= 500 || status == 429),
    }
}

fn version_key(open: &Open) -> VersionKey {
    VersionKey { route: open.route.name.clone(), version: open.version.clone() }
}
