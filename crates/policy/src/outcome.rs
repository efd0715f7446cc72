//! Handles the outcome of attempts: first bytes, progress, completion and failure.

use error::Kind;
use rand::RngExt;

use crate::action::Action;
use crate::balance::Balancer;
use crate::core::{Core, Now, OpenRequest, RunningAttempt};
use crate::event::{Attempt, Failure, RequestId, Usage};
use crate::evidence::VersionKey;
use crate::poison::CRASHES_TO_BLOCK;

/// The maximum number of attempts per request.
const MAX_ATTEMPTS: Attempt = 6;
/// The minimum share of a version's answers to rate during its rollout.
const MIN_ROLLOUT_RATING_RATIO: f64 = 0.5;
/// A first byte is slow if it takes longer than this multiple of the expected time.
const SLOW_FIRST_BYTE_RATIO: f64 = 4.0;
/// An attempt without a first byte before its timeout counts as this multiple of the
/// expected time.
const TIMEOUT_LATENCY_RATIO: f64 = 4.0;

impl<B: Balancer> Core<B> {
    /// Records the first byte of an attempt. The first attempt to answer wins and the
    /// others are aborted.
    pub(crate) fn handle_first_byte(&mut self, id: RequestId, attempt: Attempt, now: Now) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(running) = open.running.iter_mut().find(|r| r.attempt == attempt) else { return };
        running.last_progress = now.mono;
        let running = *running;
        if open.answering.is_some() {
            return;
        }
        open.answering = Some(attempt);
        let prompt = open.arrival.prompt_tokens;
        let key = version_key(open);
        let losers: Vec<RunningAttempt> =
            open.running.iter().filter(|r| r.attempt != attempt).copied().collect();
        open.running.retain(|r| r.attempt == attempt);
        let pool = open.pool;
        let seconds = now.mono.saturating_sub(running.sent_at).as_secs_f64();
        let expected_latency = &mut self.pools.get_mut(pool).expected_latency;
        let expected = expected_latency.first_byte(prompt);
        expected_latency.record_first_byte(prompt, seconds);
        let server = self.servers.get_mut(running.server);
        server.latency.observe(seconds, expected, now.mono);
        server.reset_backoff();
        let outlier = server.latency.is_outlier();
        if !outlier {
            let slow = seconds > SLOW_FIRST_BYTE_RATIO * expected;
            self.evidence.record_first_byte(&key, now.epoch(), slow);
        }
        for loser in losers {
            self.abort_loser(id, loser, expected, now);
        }
    }

    /// Aborts an attempt that another one of the same request overtook.
    fn abort_loser(&mut self, id: RequestId, loser: RunningAttempt, expected: f64, now: Now) {
        self.actions.push(Action::Abort(id, loser.attempt));
        let waited = now.mono.saturating_sub(loser.sent_at).as_secs_f64();
        // The time waited is only a lower bound of the server's latency, so it is used
        // only if it already exceeds the expected time.
        if waited > expected {
            self.servers.get_mut(loser.server).latency.observe(waited, expected, now.mono);
        }
        if let Some(open) = self.open.remove(&id) {
            self.release_slot(&open, loser.server);
            self.open.insert(id, open);
        }
        self.dispatch_server(loser.server, now);
    }

    /// Updates the latency of a server and its pool with the time per token.
    pub(crate) fn handle_progress(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        tokens: u32,
        now: Now,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(running) = open.running.iter_mut().find(|r| r.attempt == attempt) else { return };
        let seconds = now.mono.saturating_sub(running.last_progress).as_secs_f64();
        running.last_progress = now.mono;
        running.tokens += tokens;
        if tokens == 0 {
            return;
        }
        let server_ix = running.server;
        let seconds_per_token = seconds / f64::from(tokens);
        let expected_latency = &mut self.pools.get_mut(open.pool).expected_latency;
        let expected = expected_latency.token();
        expected_latency.record_token(seconds_per_token);
        self.servers.get_mut(server_ix).latency.observe(seconds_per_token, expected, now.mono);
    }

    /// Closes a request whose answer is complete.
    pub(crate) fn handle_completion(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        usage: Usage,
        now: Now,
    ) {
        let known = |open: &OpenRequest| open.running.iter().any(|r| r.attempt == attempt);
        if !self.open.get(&id).is_some_and(known) {
            return;
        }
        let Some(open) = self.close(id) else { return };
        self.work.record_answer(&open.arrival, usage);
        self.poison.record_answer(open.arrival.fingerprint);
        self.pools.get_mut(open.pool).completion_rates[usize::from(open.long)].record_completion();
        let key = version_key(&open);
        self.evidence.record_outcome(&key, now.epoch(), true);
        self.maybe_request_rating(&open);
        self.evaluate_version(&key, now);
        self.dispatch_freed(&open, now);
    }

    /// Requests a rating of the answer with the probability that the route sets, or with a
    /// higher one for a version in rollout.
    fn maybe_request_rating(&mut self, open: &OpenRequest) {
        let Some(version) = open.route.version(&open.version) else { return };
        let share = match version.rollout {
            Some(_) => open.route.rated.max(MIN_ROLLOUT_RATING_RATIO),
            None => open.route.rated,
        };
        if share > 0.0 && self.rng.random_bool(share) {
            let bucket = crate::work::bucket(open.arrival.prompt_tokens);
            let rate = Action::Rate(open.arrival.id, open.version.clone(), bucket);
            self.actions.push(rate);
        }
    }

    /// Handles a failed attempt by sending another one or refusing the request.
    pub(crate) fn handle_failure(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        failure: Failure,
        now: Now,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(position) = open.running.iter().position(|r| r.attempt == attempt) else { return };
        let running = open.running.remove(position);
        let server_ix = running.server;
        let key = version_key(open);
        if !matches!(failure, Failure::SendRefused(_)) {
            open.failed_servers.push(server_ix);
        }
        if let Some(open) = self.open.remove(&id) {
            self.release_slot(&open, server_ix);
            self.open.insert(id, open);
        }
        let crashes = self.record_failure(id, running, failure, &key, now);
        self.retry_or_refuse(id, failure, crashes, now);
        self.evaluate_version(&key, now);
        self.dispatch_server(server_ix, now);
    }

    /// Records what the failure indicates about the server, the version and the
    /// request.
    ///
    /// Returns how many servers have crashed while running the request.
    fn record_failure(
        &mut self,
        id: RequestId,
        running: RunningAttempt,
        failure: Failure,
        key: &VersionKey,
        now: Now,
    ) -> u32 {
        let server_ix = running.server;
        match failure {
            Failure::Unsent => {
                self.servers.get_mut(server_ix).record_connection_failure(now.mono);
                0
            }
            Failure::SendRefused(_) => 0,
            Failure::Crashed => {
                self.servers.get_mut(server_ix).record_connection_failure(now.mono);
                let fingerprint = self.open.get(&id).map(|open| open.arrival.fingerprint);
                fingerprint.map_or(0, |fingerprint| self.poison.record_crash(fingerprint, now.mono))
            }
            Failure::TimedOut => {
                let waited = now.mono.saturating_sub(running.sent_at).as_secs_f64();
                let server = self.servers.get_mut(server_ix);
                server.latency.observe(waited, waited / TIMEOUT_LATENCY_RATIO, now.mono);
                self.evidence.record_outcome(key, now.epoch(), false);
                0
            }
            Failure::Status(_) | Failure::Mismatch | Failure::Truncated => {
                self.evidence.record_outcome(key, now.epoch(), false);
                0
            }
        }
    }

    /// Sends or queues the request again if the failure, the retry budget and the
    /// configuration permit it, and refuses it otherwise.
    ///
    /// Retries after an attempt that was not sent or that crashed its server are exempt
    /// from the budget.
    fn retry_or_refuse(&mut self, id: RequestId, failure: Failure, crashes: u32, now: Now) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !open.running.is_empty() && open.answering.is_none() {
            return;
        }
        let poison = self.settings.switches.poison;
        if crashes >= CRASHES_TO_BLOCK && poison {
            return self.refuse(id, Kind::CrashesServers, None);
        }
        if open.answering.is_some() {
            return self.refuse(id, Kind::AnswerCut, None);
        }
        open.suspect |= crashes > 0 && poison;
        let retry = may_retry(open, failure);
        let crashed = crashes > 0;
        let route = open.route.name.clone();
        let budgeted = self.settings.switches.retry_budget;
        let exempt = matches!(failure, Failure::Unsent | Failure::SendRefused(_)) || crashed;
        let allowed = retry && (exempt || !budgeted || self.retry_budget(&route).try_withdraw());
        if !allowed {
            return self.refuse(id, failure.kind(), None);
        }
        if let Err(kind) = self.reselect_version(id, now) {
            return self.refuse(id, kind, None);
        }
        if !self.try_dispatch(id, now) {
            self.requeue_or_refuse(id, failure);
        }
    }

    /// Queues a failed request if there is a server that it has not been tried on or if
    /// it is a suspect, and refuses it otherwise.
    fn requeue_or_refuse(&mut self, id: RequestId, failure: Failure) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let pool = self.pools.get(open.pool);
        let mut indices = pool.local.iter().chain(&pool.remote);
        let untried = indices.any(|server_ix| {
            !open.failed_servers.contains(server_ix) && self.servers.get(*server_ix).takes_work()
        });
        if untried || open.suspect {
            return self.enqueue(id);
        }
        let kind = match failure {
            Failure::Unsent | Failure::SendRefused(_) => Kind::NoServer,
            _ => failure.kind(),
        };
        self.refuse(id, kind, None);
    }
}

impl Failure {
    /// Returns the error kind to refuse the request with when it cannot be retried.
    pub fn kind(self) -> Kind {
        match self {
            Failure::Unsent => Kind::NoServer,
            Failure::SendRefused(kind) => kind,
            Failure::Crashed | Failure::Status(_) | Failure::Mismatch => Kind::BackendFailed,
            Failure::TimedOut => Kind::Timeout,
            Failure::Truncated => Kind::AnswerCut,
        }
    }
}

/// Returns whether the request may be sent again after the failure.
fn may_retry(open: &OpenRequest, failure: Failure) -> bool {
    if open.next_attempt > MAX_ATTEMPTS {
        return false;
    }
    match failure {
        Failure::Unsent | Failure::SendRefused(_) => true,
        Failure::Crashed | Failure::TimedOut | Failure::Mismatch | Failure::Truncated => {
            open.route.repeatable
        }
        Failure::Status(status) => open.route.repeatable && (status >= 500 || status == 429),
    }
}

fn version_key(open: &OpenRequest) -> VersionKey {
    VersionKey { route: open.route.name.clone(), version: open.version.clone() }
}
