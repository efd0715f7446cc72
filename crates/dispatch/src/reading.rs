//! Elects the instance that reads a table of the store for its failure domain.
//!
//! If every instance asked the store for the same changes, calls and bytes would grow
//! with instances times changes. Instead one instance reads for all and forwards what
//! it reads; the next in the order takes over when its updates stop.

use std::time::Duration;

use crate::Mono;

/// Number of instances in a domain from which on one reads for all. With fewer, a
/// held feed for each costs fewer calls than the reader's short ones.
const MIN_SHARED_INSTANCES: usize = 4;
/// How long a reported answer of the store keeps others from reading: the reader's
/// held call, its pause and two lost datagrams.
pub const READER_TIMEOUT: Duration = Duration::from_millis(1_150);
/// Additional delay before each next instance in the order starts to read.
const STAGGER: Duration = Duration::from_millis(100);
/// Position in the order after which the delay no longer grows.
const MAX_STAGGER_STEPS: u32 = 4;

/// Maximum number of instances for which one reads. The reader sends each change to
/// each of them over a link of a few megabits per second, so a larger domain has
/// several readers.
const MAX_GROUP_SIZE: usize = 24;

/// Returns the reader group of an instance in a domain of `instances`, by a hash of
/// its address.
pub fn reader_group(hash: u64, instances: usize) -> usize {
    let groups = instances.div_ceil(MAX_GROUP_SIZE).max(1);
    (hash % groups as u64) as usize
}

/// How an instance learns of changes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedMode {
    /// Hold a feed of its own open.
    OwnFeed,
    /// Read for the domain with short calls and forward the changes.
    ReadForDomain,
    /// Listen to the reader until this time.
    Listen(Mono),
}

/// Election state of one instance for one table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReaderElection {
    last_answer: Option<Mono>,
    reading: bool,
    failing: bool,
}

impl ReaderElection {
    /// Records that another instance had an answer of the store at `answered`;
    /// `earlier` if that instance comes before this one in the order.
    ///
    /// Of two instances that both read, the earlier one continues.
    pub fn record_peer_answer(&mut self, answered: Mono, earlier: bool) {
        if earlier || !self.reading {
            self.last_answer = self.last_answer.max(Some(answered));
        }
    }

    /// Records whether the store answers this instance.
    pub fn record_own_answer(&mut self, answered: bool) {
        self.failing = !answered;
    }

    /// Returns what to do now, given this instance's position in the order of the
    /// domain's instances.
    pub fn next_mode(&mut self, position: usize, instances: usize, now: Mono) -> FeedMode {
        let mode = self.choose(position, instances, now);
        self.reading = mode == FeedMode::ReadForDomain && !self.failing;
        mode
    }

    fn choose(&self, position: usize, instances: usize, now: Mono) -> FeedMode {
        if instances < MIN_SHARED_INSTANCES {
            return FeedMode::OwnFeed;
        }
        if position == 0 && !self.failing {
            return FeedMode::ReadForDomain;
        }
        let delay = STAGGER
            * u32::try_from(position).map_or(MAX_STAGGER_STEPS, |n| n.min(MAX_STAGGER_STEPS));
        match self.last_answer.map(|answered| answered + READER_TIMEOUT + delay) {
            Some(until) if until > now => FeedMode::Listen(until),
            _ => FeedMode::ReadForDomain,
        }
    }
}
