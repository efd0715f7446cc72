//! Which instance reads a table of the store for its failure domain.
//!
//! The load it answers: many instances that all ask the store for the same
//! changes, so that calls and bytes grow with instances times changes. One
//! reads for all and passes on what it reads; the next in the order takes over
//! when word of it is missing.

use std::time::Duration;

use crate::Mono;

/// From so many instances in a domain on, one reads for all: below, held feeds
/// of their own cost fewer calls than the reader's short ones.
const SHARED_FROM: usize = 4;
/// How long word counts that the store has answered: the reader's held call,
/// its pause and two datagrams lost.
pub const WORD_COUNTS: Duration = Duration::from_millis(1_150);
/// How much longer each next instance in the order waits before it reads too.
const STAGGER: Duration = Duration::from_millis(100);
/// The place in the order from which the wait grows no more.
const LAST_STAGGER: u32 = 4;

/// Instances for which one reads: it tells each change to each of them over a
/// link of a few megabits a second, so that a larger domain has several readers.
const GROUP: usize = 24;

/// The group of an instance in a domain of so many, by a hash of its address.
pub fn read_group(hash: u64, instances: usize) -> usize {
    let groups = instances.div_ceil(GROUP).max(1);
    (hash % groups as u64) as usize
}

/// What an instance does next to learn of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// Hold a feed of its own.
    Hold,
    /// Read for the domain, with short calls, and pass on what comes.
    Read,
    /// Listen to the reader until this moment.
    Listen(Mono),
}

/// Whether this instance reads a table for its domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadDuty {
    heard: Option<Mono>,
    reading: bool,
    failing: bool,
}

impl ReadDuty {
    /// Takes word that another instance had an answer of the store at a moment;
    /// `before` if it comes before this one in the order.
    ///
    /// Of two that read, the first in the order goes on.
    pub fn heard(&mut self, answered: Mono, before: bool) {
        if before || !self.reading {
            self.heard = self.heard.max(Some(answered));
        }
    }

    /// Notes whether the store answers this instance.
    pub fn answered(&mut self, answered: bool) {
        self.failing = !answered;
    }

    /// What to do now, by the place in the order of the domain's instances.
    pub fn step(&mut self, place: usize, instances: usize, now: Mono) -> ReadStep {
        let step = self.choose(place, instances, now);
        self.reading = step == ReadStep::Read && !self.failing;
        step
    }

    fn choose(&self, place: usize, instances: usize, now: Mono) -> ReadStep {
        if instances < SHARED_FROM {
            return ReadStep::Hold;
        }
        if place == 0 && !self.failing {
            return ReadStep::Read;
        }
        let later = STAGGER * u32::try_from(place).map_or(LAST_STAGGER, |n| n.min(LAST_STAGGER));
        match self.heard.map(|answered| answered + WORD_COUNTS + later) {
            Some(until) if until > now => ReadStep::Listen(until),
            _ => ReadStep::Read,
        }
    }
}
