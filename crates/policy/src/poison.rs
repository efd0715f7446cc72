//! Detects poison requests, which crash the servers that run them.

use std::collections::HashMap;
use std::time::Duration;

/// How long a crash is remembered.
const RETENTION: Duration = Duration::from_secs(900);
/// The default number of crashes after which a request is blocked. One crash may be a
/// coincidence, but two are unlikely to be.
pub(crate) const CRASHES_TO_BLOCK: u32 = 2;
/// The maximum number of fingerprints to remember.
const MAX_FINGERPRINTS: usize = 4_096;

/// Counts server crashes by the fingerprint of the requests that were running.
///
/// After a crash, every request that was running on the server is a suspect. A suspect
/// runs again only on a server with no other suspect, so that a second crash blocks the
/// request that caused it and no other. An answer clears a request of the crashes known so far,
/// also when another instance that has not seen the answer reports them again.
#[derive(Debug)]
pub struct Poison {
    crashes: HashMap<u64, CrashRecord>,
    crash_limit: u32,
}

impl Default for Poison {
    fn default() -> Self {
        Poison::new(CRASHES_TO_BLOCK)
    }
}

#[derive(Debug, Clone, Copy)]
struct CrashRecord {
    count: u32,
    /// The number of crashes of which an answer cleared the request.
    cleared: u32,
    last_crash: Duration,
}

impl CrashRecord {
    /// The number of crashes since the last answer.
    fn uncleared(&self) -> u32 {
        self.count.saturating_sub(self.cleared)
    }
}

impl Poison {
    /// Creates a tracker that blocks a request after `crash_limit` crashes.
    pub fn new(crash_limit: u32) -> Self {
        Poison { crashes: HashMap::new(), crash_limit }
    }

    /// Records that a server crashed while running the fingerprint, and returns the
    /// number of crashes since it was last answered.
    pub fn record_crash(&mut self, fingerprint: u64, now: Duration) -> u32 {
        let record = self.record_mut(fingerprint, now);
        record.count += 1;
        record.last_crash = now;
        record.uncleared()
    }

    /// Clears the crashes of a fingerprint that was answered, unless it is blocked
    /// already.
    pub fn record_answer(&mut self, fingerprint: u64) {
        if !self.is_blocked(fingerprint)
            && let Some(record) = self.crashes.get_mut(&fingerprint)
        {
            record.cleared = record.count;
        }
    }

    /// Returns whether any server crashed while running the fingerprint.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|record| record.uncleared() > 0)
    }

    /// Returns whether the fingerprint is blocked from running again.
    pub fn is_blocked(&self, fingerprint: u64) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|record| record.uncleared() >= self.crash_limit)
    }

    /// Merges a peer's crash count.
    pub fn merge(&mut self, fingerprint: u64, crashes: u32, now: Duration) {
        let record = self.record_mut(fingerprint, now);
        record.count = record.count.max(crashes);
    }

    /// Iterates over all suspect fingerprints with their crash counts.
    pub fn crash_counts(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        let suspects = self.crashes.iter().filter(|(_, record)| record.uncleared() > 0);
        suspects.map(|(fingerprint, record)| (*fingerprint, record.count))
    }

    /// Removes fingerprints without a crash within the retention period.
    pub fn expire(&mut self, now: Duration) {
        self.crashes.retain(|_, record| now.saturating_sub(record.last_crash) < RETENTION);
    }

    fn record_mut(&mut self, fingerprint: u64, now: Duration) -> &mut CrashRecord {
        self.evict_if_full(now);
        self.crashes.entry(fingerprint).or_insert(CrashRecord {
            count: 0,
            cleared: 0,
            last_crash: now,
        })
    }

    /// Makes room for another fingerprint by removing expired ones, or else the one with
    /// the oldest crash.
    fn evict_if_full(&mut self, now: Duration) {
        if self.crashes.len() < MAX_FINGERPRINTS {
            return;
        }
        self.expire(now);
        if self.crashes.len() >= MAX_FINGERPRINTS
            && let Some(oldest) =
                self.crashes.iter().min_by_key(|(_, record)| record.last_crash).map(|r| *r.0)
        {
            self.crashes.remove(&oldest);
        }
    }
}
