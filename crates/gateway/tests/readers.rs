//! Simulates the instances of a domain that follow one table, under faults, in
//! virtual time.
//!
//! The decisions are made by the production code. The loop around them mirrors that of
//! `follow`, without its waits for the network. `READER_SEEDS=10000` runs more
//! schedules.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::{FeedMode, PollSchedule, PollSituation, PollStep, READER_TIMEOUT, ReaderElection};
use gateway::{KnownRevision, Row, TableUpdate, UpdateEffect, split_updates};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of instances in the domain.
const INSTANCES: usize = 6;
/// Step of virtual time.
const TICK: Duration = Duration::from_millis(10);
/// Length of a schedule, in steps.
const STEPS: u64 = 3_000;
/// How long an answer may be overdue before a poll is repeated.
const ANSWER_PATIENCE: Duration = Duration::from_millis(800);
/// Time after the end of a poll's duration at which it fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval at which a reader reports recent answers of the store.
const ANSWERS_INTERVAL: Duration = Duration::from_millis(250);
/// How long an instance reports that the store has recovered.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(600);
/// Maximum time until a change takes effect at instances that reach the store and each
/// other, as required by users.
const BOUND: Duration = Duration::from_secs(2);
/// Time after a silent outage from which on [`BOUND`] applies: users exempt the first three
/// seconds altogether.
const SILENCE_GRACE: Duration = Duration::from_secs(1);

/// An open poll.
#[derive(Clone, Copy)]
struct Poll {
    since: u64,
    started: Duration,
    wait: Duration,
    /// Whether the store was silent when it was sent, so that it is never answered.
    lost: bool,
}

#[derive(Default)]
struct Instance {
    election: ReaderElection,
    known: KnownRevision,
    rows: BTreeMap<String, Row>,
    /// When the store last answered it.
    answered: Option<Duration>,
    schedule: PollSchedule,
    polls: Vec<Poll>,
    /// Whether the store has not answered since a poll failed or was overdue.
    store_lost: bool,
    /// Until when its updates say that the store has recovered.
    unsettled_until: Duration,
    /// Received updates, and whether their sender precedes this instance.
    inbox: Vec<(TableUpdate, bool)>,
    /// End of a pause, during which it neither runs nor receives.
    paused_until: Duration,
    /// End of a period in which the store rejects its calls.
    refused_until: Duration,
    /// End of a period in which the store does not answer its calls.
    silent_until: Duration,
    /// End of its last fault.
    healthy_since: Duration,
}

/// One simulated run.
struct Schedule {
    rng: ChaCha8Rng,
    now: Duration,
    revision: u64,
    rows: BTreeMap<String, Row>,
    /// Revisions of changes and when they were made.
    changed: Vec<(u64, Duration)>,
    instances: Vec<Instance>,
    /// Probability that a datagram is lost.
    loss: f64,
    /// Whether all instances hold polls, as in a small installation.
    all_poll: bool,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let loss = if rng.random_range(0..3) == 0 { 0.05 } else { 0.0 };
        Schedule {
            rng,
            now: Duration::ZERO,
            revision: 0,
            rows: BTreeMap::new(),
            changed: Vec::new(),
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            loss,
            all_poll: seed % 2 == 1,
        }
    }

    fn inject_faults(&mut self) {
        if self.rng.random_range(0..40) == 0 {
            self.revision += self.rng.random_range(1..3);
            let key = format!("k{}", self.rng.random_range(0..5));
            let value = Some(self.revision.to_string().into());
            self.rows.insert(key.clone(), Row { key, value, revision: self.revision });
            self.changed.push((self.revision, self.now));
        }
        if self.rng.random_range(0..120) > 0 {
            return;
        }
        let now = self.now;
        let duration = Duration::from_millis(self.rng.random_range(100..6_000));
        let target = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..6) {
            0 => self.instances[target].paused_until = now + duration,
            1 => self.instances[target] = Instance { healthy_since: now, ..Instance::default() },
            2 => self.instances[target].refused_until = now + duration,
            3 => self
                .instances
                .iter_mut()
                .for_each(|instance| instance.refused_until = now + duration / 3),
            4 => self.instances[target].silent_until = now + duration,
            _ => self
                .instances
                .iter_mut()
                .for_each(|instance| instance.silent_until = now + duration),
        }
        for instance in &mut self.instances {
            instance.healthy_since =
                instance.healthy_since.max(instance.paused_until).max(instance.refused_until);
            if instance.silent_until > now {
                let healthy_since = instance.silent_until + SILENCE_GRACE;
                instance.healthy_since = instance.healthy_since.max(healthy_since);
            }
        }
    }

    fn send(&mut self, from: usize, update: &TableUpdate) {
        for to in (0..INSTANCES).filter(|to| *to != from) {
            if self.rng.random::<f64>() >= self.loss && self.instances[to].paused_until <= self.now
            {
                self.instances[to].inbox.push((update.clone(), from < to));
            }
        }
    }

    fn run_instance(&mut self, index: usize) {
        let now = self.now;
        if self.instances[index].paused_until > now {
            return;
        }
        for (update, from_earlier) in std::mem::take(&mut self.instances[index].inbox) {
            let instance = &mut self.instances[index];
            let age = Duration::from_millis(update.age_ms);
            instance.election.record_peer_answer(now.saturating_sub(age), from_earlier);
            if update.unsettled && instance.unsettled_until <= now {
                instance.schedule.record_outage(now);
                instance.unsettled_until = now + SETTLING_TIME;
            }
            let before = instance.known.revision;
            match instance.known.effect_of(&update) {
                UpdateEffect::None => {}
                UpdateEffect::Rows(rows) => instance.apply(&rows, update.known.revision),
                UpdateEffect::Gap => instance.schedule.catch_up(now),
            }
            if instance.known.changed > before {
                instance.schedule.expect_answer(ANSWER_PATIENCE, now);
            }
        }
        self.instances[index].start_due_polls(index, self.all_poll, now);
        for poll in self.instances[index].polls.clone() {
            let Poll { since, started, wait, lost } = poll;
            let rows: Vec<Row> =
                self.rows.values().filter(|r| r.revision > since).cloned().collect();
            if self.instances[index].refused_until > now
                || lost && now >= started + wait + CALL_TIMEOUT
            {
                self.instances[index].fail(started, now);
            } else if !lost && (!rows.is_empty() || now >= started + wait) {
                return self.answer(index, &rows);
            }
        }
    }

    fn answer(&mut self, index: usize, rows: &[Row]) {
        let (now, revision) = (self.now, self.revision);
        let instance = &mut self.instances[index];
        let before = instance.known.changed;
        instance.polls.clear();
        instance.schedule.record_answer();
        instance.election.record_own_answer(true);
        if std::mem::take(&mut instance.store_lost) {
            instance.unsettled_until = now + SETTLING_TIME;
        }
        let reads = instance.election.next_mode(index, now) == FeedMode::ReadForOthers;
        if reads {
            instance.answered = Some(now);
        }
        if revision > instance.known.revision {
            instance.apply(rows, revision);
            let known = instance.known;
            let unsettled = instance.unsettled_until > now;
            if reads {
                for update in split_updates("t", rows, before, known, unsettled) {
                    self.send(index, &update);
                }
            }
        }
    }

    fn report_answers(&mut self) {
        for index in 0..INSTANCES {
            let instance = &self.instances[index];
            let Some(answered) = instance.answered.filter(|_| instance.paused_until <= self.now)
            else {
                continue;
            };
            let age = self.now.saturating_sub(answered);
            if age < READER_TIMEOUT {
                let known = instance.known;
                let age_ms = age.as_millis() as u64;
                let table = "t".to_owned();
                let (unsettled, changes) = (instance.unsettled_until > self.now, None);
                self.send(index, &TableUpdate { table, known, age_ms, unsettled, changes });
            }
        }
    }

    fn check(&self, seed: u64) {
        // If updates are lost, a change may arrive only with the next update.
        let bound = if self.loss > 0.0 { BOUND + ANSWERS_INTERVAL } else { BOUND };
        for (index, instance) in self.instances.iter().enumerate() {
            let due = |(_, when): &&(u64, Duration)| {
                *when.max(&instance.healthy_since) + bound < self.now
            };
            let due = self.changed.iter().filter(due).map(|(revision, _)| *revision).max();
            let known = instance.known.revision;
            assert!(
                known >= due.unwrap_or(0),
                "seed {seed}, {:?}: instance {index} is at revision {known}, expected {due:?}",
                self.now
            );
            for (key, row) in &self.rows {
                let outdated = row.revision <= known && instance.rows.get(key) != Some(row);
                assert!(
                    !outdated,
                    "seed {seed}, {:?}: instance {index} has no or an outdated row {key}",
                    self.now
                );
            }
        }
    }
}

impl Instance {
    fn start_due_polls(&mut self, index: usize, holds_poll: bool, now: Duration) {
        loop {
            let mode = self.election.next_mode(index, now);
            let situation = PollSituation { mode, holds_poll, patience: ANSWER_PATIENCE, now };
            let wait = match self.schedule.next_step(situation) {
                PollStep::Poll(wait) => wait,
                PollStep::Repeat => {
                    self.store_lost = true;
                    self.election.record_own_answer(false);
                    Duration::ZERO
                }
                PollStep::Replace(wait) => {
                    self.polls.clear();
                    wait
                }
                PollStep::Wait(_) => return,
            };
            let (since, lost) = (self.known.revision, self.silent_until > now);
            self.polls.push(Poll { since, started: now, wait, lost });
        }
    }

    /// Ends the first poll that began at `started`.
    fn fail(&mut self, started: Duration, now: Duration) {
        let failed = self.polls.iter().position(|poll| poll.started == started);
        self.polls.remove(failed.expect("the poll is open"));
        if self.schedule.record_failure() {
            self.store_lost = true;
            self.election.record_own_answer(false);
            self.schedule.pause(now + BACKOFF);
        }
    }

    fn apply(&mut self, rows: &[Row], revision: u64) {
        self.known.advance(rows, revision);
        for row in rows {
            let old = self.rows.insert(row.key.clone(), row.clone());
            assert!(
                old.is_none_or(|old| old.revision <= row.revision),
                "a row was replaced by an older one"
            );
        }
    }
}

#[test]
fn follow_any_schedule_is_in_force_in_time() {
    let seeds = std::env::var("READER_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        let mut schedule = Schedule::new(seed);
        for step in 0..STEPS {
            schedule.now = TICK * step as u32;
            schedule.inject_faults();
            for index in 0..INSTANCES {
                schedule.run_instance(index);
            }
            if schedule.now.as_millis().is_multiple_of(ANSWERS_INTERVAL.as_millis()) {
                schedule.report_answers();
            }
            schedule.check(seed);
        }
    }
}
