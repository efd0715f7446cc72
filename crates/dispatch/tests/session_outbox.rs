//! Tests of how sessions reach other instances, one after the other and in installations of
//! many instances that lose datagrams.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::at;
use config::Name;
use dispatch::{Rollout, RolloutOrder, RolloutState, SessionOutbox, Sessions, Side};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn sessions(numbers: std::ops::Range<u64>) -> Vec<(u64, Name)> {
    numbers.map(|number| (number, "v1".into())).collect()
}

#[test]
fn take_sends_each_session_twice() {
    let mut outbox = SessionOutbox::default();
    assert_eq!(outbox.add(&sessions(0..3)), 0);
    assert_eq!(outbox.take(at(0)).len(), 3);
    assert!(outbox.take(at(40)).is_empty());
    assert_eq!(outbox.take(at(260)).len(), 3);
    assert!(outbox.take(at(900)).is_empty());
}

#[test]
fn take_many_sessions_loses_none() {
    let mut outbox = SessionOutbox::default();
    outbox.add(&sessions(0..600));
    outbox.add(&sessions(600..1_200));
    assert_eq!(outbox.take(at(0)), sessions(0..1_200));
}

#[test]
fn add_too_many_sessions_are_counted() {
    let mut outbox = SessionOutbox::default();
    assert_eq!(outbox.add(&sessions(0..20_500)), 500);
}

/// A session and when its next request arrives.
struct Caller {
    session: u64,
    requests_left: u32,
    next_at: Duration,
    /// The version of its last request.
    last: Option<Side>,
    /// Where its next request waits, if it does, and until when at most.
    waiting: Option<(usize, Duration)>,
}

/// A message on its way.
struct Message {
    arrives_at: Duration,
    to: usize,
    from_domain: usize,
    told: Rc<[(u64, Name)]>,
}

/// Instances of several failure domains that tell each other of sessions as in production:
/// an instance its hub, a hub its domain and the other hubs, each message after a pause.
struct Installation {
    rng: ChaCha8Rng,
    domains: usize,
    loss: f64,
    sessions: Vec<Sessions>,
    to_hubs: Vec<SessionOutbox>,
    to_domain: Vec<SessionOutbox>,
    /// When each instance sends next, as timers are not in step.
    send_at: Vec<Duration>,
    messages: Vec<Message>,
    rollouts: Vec<Rollout>,
}

const PAUSE: Duration = Duration::from_millis(25);
/// How long a request of an unknown session waits while the canary starts.
const SETTLING: Duration = Duration::from_millis(300);
const TTL: Duration = Duration::from_millis(8_500);

impl Installation {
    fn new(seed: u64, instances: usize, domains: usize, loss: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let order = |learned_ms: u64| RolloutOrder {
            service: "llm".into(),
            to: "v2".into(),
            duration: Duration::from_secs(24),
            started_at: at(10_000 + learned_ms),
            before_start: Duration::ZERO,
            revision: 1,
        };
        Installation {
            domains,
            loss,
            sessions: (0..instances).map(|_| Sessions::new(TTL)).collect(),
            to_hubs: (0..instances).map(|_| SessionOutbox::default()).collect(),
            to_domain: (0..instances).map(|_| SessionOutbox::default()).collect(),
            send_at: (0..instances).map(|_| rng.random_range(Duration::ZERO..PAUSE)).collect(),
            messages: Vec::new(),
            rollouts: (0..instances)
                .map(|_| Rollout::new(order(rng.random_range(0..300))))
                .collect(),
            rng,
        }
    }

    /// Instances are dealt to the domains in turn; the first of each is its hub.
    fn domain(&self, instance: usize) -> usize {
        instance % self.domains
    }

    fn is_hub(&self, instance: usize) -> bool {
        instance < self.domains
    }

    fn send(&mut self, from: usize, to: Vec<usize>, told: Vec<(u64, Name)>, now: Duration) {
        if told.is_empty() {
            return;
        }
        let told: Rc<[(u64, Name)]> = told.into();
        for to in to {
            if !self.rng.random_bool(self.loss) {
                let delay = Duration::from_millis(self.rng.random_range(1..20));
                self.messages.push(Message {
                    arrives_at: now + delay,
                    to,
                    from_domain: self.domain(from),
                    told: told.clone(),
                });
            }
        }
    }

    fn send_due(&mut self, now: Duration) {
        for instance in 0..self.sessions.len() {
            if now < self.send_at[instance] {
                continue;
            }
            self.send_at[instance] = now + PAUSE;
            let is_ordered = now >= self.rollouts[instance].order.started_at;
            self.sessions[instance].set_sharing(is_ordered, now);
            let own = self.sessions[instance].take_pending(now);
            self.to_hubs[instance].add(&own);
            let hubs: Vec<usize> = match self.is_hub(instance) {
                true => (0..self.domains).filter(|hub| *hub != instance).collect(),
                false => vec![self.domain(instance)],
            };
            if self.is_hub(instance) {
                self.to_domain[instance].add(&own);
                let domain = (instance + self.domains..self.sessions.len()).step_by(self.domains);
                let told = self.to_domain[instance].take(now);
                self.send(instance, domain.collect(), told, now);
            }
            let told = self.to_hubs[instance].take(now);
            self.send(instance, hubs, told, now);
        }
    }

    fn receive_due(&mut self, now: Duration) {
        let due = self.messages.extract_if(.., |message| message.arrives_at <= now);
        for Message { to, from_domain, told, .. } in due.collect::<Vec<_>>() {
            for (session, version) in told.iter() {
                self.sessions[to].merge(*session, version, now);
            }
            if self.is_hub(to) {
                self.to_domain[to].add(&told);
                if from_domain == self.domain(to) {
                    self.to_hubs[to].add(&told);
                }
            }
        }
    }

    fn is_settling(&self, session: u64, instance: usize, now: Duration) -> bool {
        let known = self.sessions[instance].version(session, now);
        now >= self.rollouts[instance].order.started_at
            && self.rollouts[instance].is_settling(0.0, known, now)
    }

    /// Handles a request of a session; returns the version that it runs on.
    fn handle(&mut self, session: u64, instance: usize, now: Duration) -> Side {
        let known = self.sessions[instance].version(session, now);
        let rollout = &self.rollouts[instance];
        let is_ordered = now >= rollout.order.started_at;
        // All of these sessions are in the canary.
        let side = if is_ordered { rollout.side(0.0, known, now) } else { Side::Old };
        let version: Name = if side == Side::New { "v2".into() } else { "v1".into() };
        self.sessions[instance].begin(session, &version, now);
        self.sessions[instance].end(session, now);
        side
    }

    /// Plays the first half of a rollout; returns how many requests changed the version.
    fn changes(mut self, callers: usize) -> usize {
        assert_eq!(self.rollouts[0].state, RolloutState::InProgress);
        let mut next_session = 0;
        let mut new_caller = |rng: &mut ChaCha8Rng, now: Duration| {
            next_session += 1;
            let requests_left = rng.random_range(2..8);
            let next_at = now + Duration::from_millis(rng.random_range(0..1_000));
            Caller { session: next_session, requests_left, next_at, last: None, waiting: None }
        };
        let mut all: Vec<Caller> =
            (0..callers).map(|_| new_caller(&mut self.rng, Duration::ZERO)).collect();
        let mut changes = 0;
        let mut now = Duration::ZERO;
        while now < at(22_000) {
            self.receive_due(now);
            self.send_due(now);
            for caller in &mut all {
                if caller.next_at > now {
                    continue;
                }
                let arrival = (self.rng.random_range(0..self.sessions.len()), now + SETTLING);
                let (instance, wait_until) = *caller.waiting.get_or_insert(arrival);
                if now < wait_until && self.is_settling(caller.session, instance, now) {
                    continue;
                }
                caller.waiting = None;
                let side = self.handle(caller.session, instance, now);
                changes += usize::from(caller.last.is_some_and(|last| last != side));
                caller.last = Some(side);
                caller.requests_left -= 1;
                // Most callers go on at once, some after seconds.
                let pause = if self.rng.random_bool(0.7) { 50..800 } else { 800..7_000 };
                caller.next_at = now + Duration::from_millis(self.rng.random_range(pause));
                if caller.requests_left == 0 {
                    *caller = new_caller(&mut self.rng, now);
                }
            }
            now += Duration::from_millis(10);
        }
        changes
    }
}

/// The users' rule allows three changes; the callers of the canary are a tenth of all.
///
/// `SESSION_SEEDS` sets the number of seeds; with more than one, larger installations are played
/// too.
#[test]
fn take_many_instances_keep_the_versions_of_sessions() {
    let seeds = std::env::var("SESSION_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = seeds.unwrap_or(1);
    let mut sizes = vec![(9, 4), (85, 3)];
    if seeds > 1 {
        sizes.extend([(195, 6), (590, 8)]);
    }
    for (instances, domains) in sizes {
        for seed in 0..seeds {
            let changes = Installation::new(seed, instances, domains, 0.03).changes(60);
            assert!(changes <= 3, "{changes} changes, {instances} instances, seed {seed}");
        }
    }
}
