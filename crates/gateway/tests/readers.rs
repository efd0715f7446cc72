//! Simulates the instances of a domain that follow one table, under faults, in
//! virtual time.
//!
//! The decisions are made by the production code. The loop around them mirrors that of
//! `follow`, without its waits for the network. `READER_SEEDS=10000` runs more
//! schedules.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::{FeedMode, READER_TIMEOUT, ReaderElection};
use gateway::{KnownRevision, Row, TableUpdate, UpdateEffect, split_updates};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of instances in the domain.
const INSTANCES: usize = 6;
/// Step of virtual time.
const TICK: Duration = Duration::from_millis(10);
/// Length of a schedule, in steps.
const STEPS: u64 = 3_000;
/// Maximum duration of a long poll by the reader.
const FEED_WAIT: Duration = Duration::from_millis(700);
/// Interval at which a reader reports recent answers of the store.
const ANSWERS_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed call.
const BACKOFF: Duration = Duration::from_millis(600);
/// Maximum time until a change takes effect at instances that reach the store and each
/// other, as required by users.
const BOUND: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Instance {
    election: ReaderElection,
    known: KnownRevision,
    rows: BTreeMap<String, Row>,
    /// When the store last answered it.
    answered: Option<Duration>,
    /// Revision from which its open call reads, and when the call began.
    call: Option<(u64, Duration)>,
    wait_until: Duration,
    /// Received updates, and whether their sender precedes this instance.
    inbox: Vec<(TableUpdate, bool)>,
    /// End of a pause, during which it neither runs nor receives.
    paused_until: Duration,
    /// End of a period in which the store rejects its calls.
    refused_until: Duration,
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
        match self.rng.random_range(0..4) {
            0 => self.instances[target].paused_until = now + duration,
            1 => self.instances[target] = Instance { healthy_since: now, ..Instance::default() },
            2 => self.instances[target].refused_until = now + duration,
            _ => self
                .instances
                .iter_mut()
                .for_each(|instance| instance.refused_until = now + duration / 3),
        }
        for instance in &mut self.instances {
            instance.healthy_since =
                instance.healthy_since.max(instance.paused_until).max(instance.refused_until);
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
        let mut behind = false;
        for (update, from_earlier) in std::mem::take(&mut self.instances[index].inbox) {
            let instance = &mut self.instances[index];
            let age = Duration::from_millis(update.age_ms);
            instance.election.record_peer_answer(now.saturating_sub(age), from_earlier);
            match instance.known.effect_of(&update) {
                UpdateEffect::None => {}
                UpdateEffect::Rows(rows) => instance.apply(&rows, update.known.revision),
                UpdateEffect::Gap => behind = true,
            }
        }
        if self.instances[index].wait_until > now && !behind {
            return;
        }
        let instance = &mut self.instances[index];
        let (since, started) = match instance.call {
            Some(call) => call,
            None => match instance.election.next_mode(index, INSTANCES, now) {
                FeedMode::Listen(until) if !behind => {
                    instance.wait_until = until.min(now + TICK);
                    return;
                }
                FeedMode::Listen(_) | FeedMode::OwnFeed => {
                    (instance.known.revision, now.saturating_sub(FEED_WAIT))
                }
                FeedMode::ReadForOthers => (instance.known.revision, now),
            },
        };
        if instance.refused_until > now {
            instance.election.record_own_answer(false);
            (instance.call, instance.wait_until) = (None, now + BACKOFF);
            return;
        }
        instance.call = Some((since, started));
        let rows: Vec<Row> = self.rows.values().filter(|r| r.revision > since).cloned().collect();
        if !rows.is_empty() || now >= started + FEED_WAIT {
            self.answer(index, &rows);
        }
    }

    fn answer(&mut self, index: usize, rows: &[Row]) {
        let (now, revision) = (self.now, self.revision);
        let instance = &mut self.instances[index];
        let before = instance.known.changed;
        instance.call = None;
        instance.election.record_own_answer(true);
        instance.answered = Some(now);
        if revision > instance.known.revision {
            instance.apply(rows, revision);
            let known = instance.known;
            for update in split_updates("t", rows, before, known, false) {
                self.send(index, &update);
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
                let (unsettled, changes) = (false, None);
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
