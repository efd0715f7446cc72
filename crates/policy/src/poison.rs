//! Detects requests that crash the servers that run them.

use std::collections::HashMap;
use std::time::Duration;

/// How long a crash is remembered.
const RETENTION: Duration = Duration::from_secs(900);
/// The default number of crashes after which a request is blocked: one crash may be a
/// coincidence, two are unlikely to be.
const CRASHES_TO_BLOCK: u32 = 2;
/// The maximum number of fingerprints to remember.
const MAX_ROWS: usize = 4_096;

/// Counts server crashes by the fingerprint of the requests that were running.
///
/// After a crash, every request that was running on the server is a suspect. A suspect
/// runs again only on a server with no other suspect, so that a second crash blocks the
/// request that caused it and no other.
#[derive(Debug)]
pub struct Poison {
    rows: HashMap<u64, Row>,
    limit: u32,
}

impl Default for Poison {
    fn default() -> Self {
        Poison::new(CRASHES_TO_BLOCK)
    }
}

#[derive(Debug, Clone, Copy)]
struct Row {
    crashes: u32,
    last_crash: Duration,
}

impl Poison {
    /// Creates a tracker that blocks a request after `limit` crashes.
    pub fn new(limit: u32) -> Self {
        Poison { rows: HashMap::new(), limit }
    }

    /// Records that a server crashed while running the fingerprint, and returns the
    /// number of crashes.
    pub fn record_crash(&mut self, fingerprint: u64, now: Duration) -> u32 {
        self.evict_if_full(now);
        let row = self.rows.entry(fingerprint).or_insert(Row { crashes: 0, last_crash: now });
        row.crashes += 1;
        row.last_crash = now;
        row.crashes
    }

    /// Clears the crashes of a fingerprint that was answered, unless it is blocked
    /// already.
    pub fn record_answer(&mut self, fingerprint: u64) {
        let limit = self.limit;
        if self.rows.get(&fingerprint).is_some_and(|row| row.crashes < limit) {
            self.rows.remove(&fingerprint);
        }
    }

    /// Returns whether any server crashed while running the fingerprint.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.rows.get(&fingerprint).is_some_and(|row| row.crashes > 0)
    }

    /// Returns whether the fingerprint is blocked from running again.
    pub fn is_blocked(&self, fingerprint: u64) -> bool {
        self.rows.get(&fingerprint).is_some_and(|row| row.crashes >= self.limit)
    }

    /// Merges a peer's crash count.
    pub fn merge(&mut self, fingerprint: u64, crashes: u32, now: Duration) {
        self.evict_if_full(now);
        let row = self.rows.entry(fingerprint).or_insert(Row { crashes: 0, last_crash: now });
        row.crashes = row.crashes.max(crashes);
    }

    /// Iterates over all fingerprints with their crash counts.
    pub fn rows(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.rows.iter().map(|(fingerprint, row)| (*fingerprint, row.crashes))
    }

    /// Removes fingerprints that no server has crashed on for 15 minutes.
    pub fn expire(&mut self, now: Duration) {
        self.rows.retain(|_, row| now.saturating_sub(row.last_crash) < RETENTION);
    }

    fn evict_if_full(&mut self, now: Duration) {
        if self.rows.len() < MAX_ROWS {
            return;
        }
        self.expire(now);
        if self.rows.len() >= MAX_ROWS
            && let Some(oldest) =
                self.rows.iter().min_by_key(|(_, row)| row.last_crash).map(|r| *r.0)
        {
            self.rows.remove(&oldest);
        }
    }
}
