//! Instances of a domain that follow one table, under faults, in virtual time.
//!
//! The decisions are the product's; the loop around them is that of `follow`,
//! without its waits for the network. `READER_SEEDS=10000` plays more schedules.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::{FeedMode, READER_TIMEOUT, ReaderElection};
use gateway::{Known, Missing, Row, Word, words_of};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Instances in the domain.
const INSTANCES: usize = 6;
/// One step of virtual time.
const TICK: Duration = Duration::from_millis(10);
/// How long a schedule lasts, in steps.
const STEPS: u64 = 3_000;
/// How long the reader's call is held.
const HELD: Duration = Duration::from_millis(700);
/// How often words are told again.
const TOLD_EVERY: Duration = Duration::from_millis(250);
/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(600);
/// Changes are in force within this time at instances that reach the store and
/// each other, which is the users' bound.
const BOUND: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Instance {
    duty: ReaderElection,
    known: Known,
    rows: BTreeMap<String, Row>,
    answered: Option<Duration>,
    asking: Option<(u64, Duration)>,
    until: Duration,
    /// Words, and whether their teller comes before this one.
    inbox: Vec<(Word, bool)>,
    /// Until when it neither runs nor hears.
    frozen: Duration,
    /// Until when the store does not answer it.
    refused: Duration,
    /// Since when nothing is wrong with it.
    well: Duration,
}

struct Schedule {
    rng: ChaCha8Rng,
    now: Duration,
    revision: u64,
    rows: BTreeMap<String, Row>,
    changed: Vec<(u64, Duration)>,
    instances: Vec<Instance>,
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

    fn faults(&mut self) {
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
        let lasts = Duration::from_millis(self.rng.random_range(100..6_000));
        let who = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..4) {
            0 => self.instances[who].frozen = now + lasts,
            1 => self.instances[who] = Instance { well: now, ..Instance::default() },
            2 => self.instances[who].refused = now + lasts,
            _ => self.instances.iter_mut().for_each(|one| one.refused = now + lasts / 3),
        }
        for one in &mut self.instances {
            one.well = one.well.max(one.frozen).max(one.refused);
        }
    }

    fn tell(&mut self, from: usize, word: &Word) {
        for to in (0..INSTANCES).filter(|to| *to != from) {
            if self.rng.random::<f64>() >= self.loss && self.instances[to].frozen <= self.now {
                self.instances[to].inbox.push((word.clone(), from < to));
            }
        }
    }

    fn run_one(&mut self, at: usize) {
        let now = self.now;
        if self.instances[at].frozen > now {
            return;
        }
        let mut behind = false;
        for (word, before) in std::mem::take(&mut self.instances[at].inbox) {
            let one = &mut self.instances[at];
            let age = Duration::from_millis(word.age_ms);
            one.duty.record_peer_answer(now.saturating_sub(age), before);
            match one.known.missing(&word) {
                Missing::Nothing => {}
                Missing::Told(rows) => one.take(&rows, word.known.revision),
                Missing::Untold => behind = true,
            }
        }
        if self.instances[at].until > now && !behind {
            return;
        }
        let one = &mut self.instances[at];
        let (since, begun) = match one.asking {
            Some(asking) => asking,
            None => match one.duty.next_mode(at, INSTANCES, now) {
                FeedMode::Listen(until) if !behind => {
                    one.until = until.min(now + TICK);
                    return;
                }
                FeedMode::Listen(_) | FeedMode::OwnFeed => {
                    (one.known.revision, now.saturating_sub(HELD))
                }
                FeedMode::ReadForDomain => (one.known.revision, now),
            },
        };
        if one.refused > now {
            one.duty.record_own_answer(false);
            (one.asking, one.until) = (None, now + PAUSE);
            return;
        }
        one.asking = Some((since, begun));
        let rows: Vec<Row> = self.rows.values().filter(|r| r.revision > since).cloned().collect();
        if !rows.is_empty() || now >= begun + HELD {
            self.answer(at, &rows);
        }
    }

    fn answer(&mut self, at: usize, rows: &[Row]) {
        let (now, revision) = (self.now, self.revision);
        let one = &mut self.instances[at];
        let before = one.known.changed;
        one.asking = None;
        one.duty.record_own_answer(true);
        one.answered = Some(now);
        if revision > one.known.revision {
            one.take(rows, revision);
            let known = one.known;
            for word in words_of("t", rows, before, known, false) {
                self.tell(at, &word);
            }
        }
    }

    fn tell_again(&mut self) {
        for at in 0..INSTANCES {
            let one = &self.instances[at];
            let Some(answered) = one.answered.filter(|_| one.frozen <= self.now) else { continue };
            let age = self.now.saturating_sub(answered);
            if age < READER_TIMEOUT {
                let known = one.known;
                let age_ms = age.as_millis() as u64;
                let table = "t".to_owned();
                let (unsettled, changes) = (false, None);
                self.tell(at, &Word { table, known, age_ms, unsettled, changes });
            }
        }
    }

    fn check(&self, seed: u64) {
        // With words lost a change may be told by the next word only.
        let bound = if self.loss > 0.0 { BOUND + TOLD_EVERY } else { BOUND };
        for (at, one) in self.instances.iter().enumerate() {
            let due = |(_, when): &&(u64, Duration)| *when.max(&one.well) + bound < self.now;
            let due = self.changed.iter().filter(due).map(|(revision, _)| *revision).max();
            let known = one.known.revision;
            assert!(
                known >= due.unwrap_or(0),
                "seed {seed}, {:?}: instance {at} knows {known}, not {due:?}",
                self.now
            );
            for (key, row) in &self.rows {
                let missed = row.revision <= known && one.rows.get(key) != Some(row);
                assert!(!missed, "seed {seed}, {:?}: instance {at} misses {key}", self.now);
            }
        }
    }
}

impl Instance {
    fn take(&mut self, rows: &[Row], revision: u64) {
        self.known.advance(rows, revision);
        for row in rows {
            let old = self.rows.insert(row.key.clone(), row.clone());
            assert!(old.is_none_or(|old| old.revision <= row.revision), "a row went back");
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
            schedule.faults();
            for at in 0..INSTANCES {
                schedule.run_one(at);
            }
            if schedule.now.as_millis().is_multiple_of(TOLD_EVERY.as_millis()) {
                schedule.tell_again();
            }
            schedule.check(seed);
        }
    }
}
