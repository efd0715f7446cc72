//! Requests that crash the servers that run them.

use std::collections::HashMap;
use std::time::Duration;

/// How long a death is remembered.
const MEMORY: Duration = Duration::from_secs(900);
/// A request is stopped after it was running on this many servers when they
/// died, unless another number is set: one death can be chance, two hardly.
const DEATHS_TO_STOP: u32 = 2;
/// How many fingerprints are remembered.
const MOST_ROWS: usize = 4_096;

/// Deaths of servers by the fingerprint of what they ran.
///
/// After one death every request that ran there is a suspect and is run again
/// on a server with no other suspect, so that a second death convicts the
/// request that caused it and no other.
#[derive(Debug)]
pub struct Poison {
    rows: HashMap<u64, Row>,
    limit: u32,
}

impl Default for Poison {
    fn default() -> Self {
        Poison::new(DEATHS_TO_STOP)
    }
}

#[derive(Debug, Clone, Copy)]
struct Row {
    deaths: u32,
    seen: Duration,
}

impl Poison {
    /// Stops a request after so many deaths.
    pub fn new(limit: u32) -> Self {
        Poison { rows: HashMap::new(), limit }
    }

    /// Notes that a server died while it ran the fingerprint; returns the deaths.
    pub fn died(&mut self, fingerprint: u64, now: Duration) -> u32 {
        self.make_room(now);
        let row = self.rows.entry(fingerprint).or_insert(Row { deaths: 0, seen: now });
        row.deaths += 1;
        row.seen = now;
        row.deaths
    }

    /// Notes that the fingerprint was answered; a conviction stays.
    pub fn answered(&mut self, fingerprint: u64) {
        let limit = self.limit;
        if self.rows.get(&fingerprint).is_some_and(|row| row.deaths < limit) {
            self.rows.remove(&fingerprint);
        }
    }

    /// Whether the fingerprint ran on one server that died.
    pub fn suspect(&self, fingerprint: u64) -> bool {
        self.rows.get(&fingerprint).is_some_and(|row| row.deaths > 0)
    }

    /// Whether the fingerprint may not run again.
    pub fn convicted(&self, fingerprint: u64) -> bool {
        self.rows.get(&fingerprint).is_some_and(|row| row.deaths >= self.limit)
    }

    /// Takes over what a peer knows.
    pub fn merge(&mut self, fingerprint: u64, deaths: u32, now: Duration) {
        self.make_room(now);
        let row = self.rows.entry(fingerprint).or_insert(Row { deaths: 0, seen: now });
        row.deaths = row.deaths.max(deaths);
    }

    /// All fingerprints with their deaths.
    pub fn rows(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.rows.iter().map(|(fingerprint, row)| (*fingerprint, row.deaths))
    }

    /// Forgets old deaths.
    pub fn expire(&mut self, now: Duration) {
        self.rows.retain(|_, row| now.saturating_sub(row.seen) < MEMORY);
    }

    fn make_room(&mut self, now: Duration) {
        if self.rows.len() < MOST_ROWS {
            return;
        }
        self.expire(now);
        if self.rows.len() >= MOST_ROWS
            && let Some(oldest) = self.rows.iter().min_by_key(|(_, row)| row.seen).map(|r| *r.0)
        {
            self.rows.remove(&oldest);
        }
    }
}
