//! Cold backend servers: those that accept few requests for some time after their start.
//!
//! Designed for servers that all instances find attractive at the same moment, since they are
//! idle, and that fail when they receive more than they accept from all instances together.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;
use crate::rate_limit::Refill;

/// Extension of a cold time that counts as news, and the least by which a report of another
/// instance extends it. Reports become older on their way; without this threshold, instances that
/// repeat them to each other would extend a cold time without end.
const NOTABLE_EXTENSION: Duration = Duration::from_millis(250);
/// Age up to which a report tells of a new cause. It covers the repetition after 250 ms; older
/// reports may have travelled in circles.
const FRESH_TIME: Duration = Duration::from_millis(500);
/// Usual time between the decision on a permit and the arrival of its request, in seconds. With
/// [`MAX_PERMIT_AGE`] instead, nine coordinators of parts of a domain would issue less than nine
/// tenths of the rate.
const PERMIT_DELAY_S: f64 = 0.05;
/// Longest time between a request for a permit and the write of the request it is for. Connecting
/// anew may take 250 ms, after which the server may have restarted.
pub(crate) const MAX_PERMIT_AGE: Duration = Duration::from_millis(150);
/// Part of the rate at which permits are issued if the full rate would leave no room for one
/// accumulated permit.
const MIN_USED_FRACTION: f64 = 0.92;
/// Largest time for which permits accumulate, in seconds. It is half as long as for servers that
/// limit their rate, since what is still reserved for urgent requests when a cold time of 3 s ends
/// must be less than a tenth of it.
const ACCUMULATION_S: f64 = 0.25;
/// Lowest rate at which permits are issued, in requests per second; avoids endless times.
const MIN_RATE: f64 = 1e-3;
/// Longest time for which a server is cold, whatever its entry or a report says.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);
/// Maximum number of servers whose cold time is remembered while they are not listed.
const MAX_EARLY: usize = 4_096;

/// How the servers of a service start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long a server is cold after its start.
    pub time: Duration,
    /// Requests per second that a cold server accepts from all instances together.
    pub rate: f64,
}

/// By how much a cold server may receive more than its rate in any one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Factor of the rate.
    pub overrun: f64,
    /// Number of requests in addition.
    pub slack: f64,
}

impl Default for ColdLimit {
    fn default() -> Self {
        ColdLimit { overrun: 1.0, slack: 0.0 }
    }
}

impl ColdLimit {
    /// Returns how permits are issued for a server that accepts `rate` requests per second, by a
    /// coordinator that issues `share` of them.
    ///
    /// The permits of any one second, with those issued 50 ms before it, stay within
    /// the limit, unless it has no room for one accumulated permit.
    pub fn refill(&self, rate: f64, share: f64) -> Refill {
        let room = |part: f64| {
            self.overrun * rate + self.slack - part * rate * (1.0 + PERMIT_DELAY_S) - 1.0 / share
        };
        let part = if room(1.0) >= 0.0 { 1.0 } else { MIN_USED_FRACTION };
        let rate = rate * share;
        let accumulated = (room(part) * share).clamp(0.0, rate * ACCUMULATION_S);
        Refill { rate: (rate * part).max(MIN_RATE), capacity: 1.0 + accumulated }
    }
}

/// The time for which a server is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ColdTime {
    /// Since when it is known to be cold without interruption.
    pub since: MonotonicTime,
    /// Until when it is cold.
    pub until: MonotonicTime,
}

impl ColdTime {
    /// Makes the server cold for `time` from `now` on, unless it is for longer. Returns whether
    /// this is news.
    pub fn extend(&mut self, time: Duration, now: MonotonicTime) -> bool {
        let until = now + time.min(MAX_COLD_TIME);
        if until <= now || until <= self.until {
            return false;
        }
        let is_news = self.until <= now || until - self.until > NOTABLE_EXTENSION;
        if self.until <= now {
            self.since = now;
        }
        self.until = until;
        is_news
    }

    /// Applies what another instance knows, unless it differs by no more than reports are delayed.
    /// Returns whether this is news.
    ///
    /// Unless the report is as long as the time after a start, so that its cause is new, it neither
    /// extends a known time beyond that of one cause nor repeats one that ended lately.
    pub fn merge(&mut self, time: Duration, start: Option<Duration>, now: MonotonicTime) -> bool {
        let time = match start.filter(|start| !is_fresh(time, *start)) {
            Some(start) if self.ended_lately(start, now) => return false,
            Some(start) => self.limit(time, start, now),
            None => time,
        };
        now + time > self.until.max(now) + NOTABLE_EXTENSION && self.extend(time, now)
    }

    /// Limits a time that another instance reports to that of one cause.
    pub fn limit(&self, time: Duration, start: Duration, now: MonotonicTime) -> Duration {
        let is_known = now < self.until || self.ended_lately(start, now);
        let rest = (self.since + start + NOTABLE_EXTENSION).saturating_sub(now);
        if is_known { time.min(rest) } else { time }
    }

    fn ended_lately(&self, start: Duration, now: MonotonicTime) -> bool {
        self.until > MonotonicTime::ZERO && self.until <= now && now < self.until + start
    }
}

/// Whether the cause of a cold time is new, given what remains of it.
pub(crate) fn is_fresh(remaining: Duration, start: Duration) -> bool {
    remaining + FRESH_TIME >= start
}

/// What an instance knows about a cold server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdNotice {
    /// Start time of the incarnation, in Unix milliseconds.
    pub started_at_ms: u64,
    /// How long it remains cold.
    pub remaining: Duration,
}

/// What is known of an incarnation that is not listed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EarlyCold {
    /// Its start time, in Unix milliseconds.
    pub started_at_ms: u64,
    /// How long it is cold.
    pub time: ColdTime,
    /// Whether it was listed before.
    pub was_listed: bool,
    /// Whether it was unreachable when it was last listed.
    pub unreachable: bool,
}

/// Services with cold servers, and what is known of servers whose entries were not read yet.
#[derive(Debug, Default)]
pub(crate) struct ColdServers {
    starts: HashMap<Name, ColdStart>,
    /// What is known of incarnations that are not listed yet or no longer.
    early: HashMap<Name, EarlyCold>,
    /// Servers that were cold when last checked.
    known: HashSet<Name>,
}

impl ColdServers {
    /// Replaces the services with cold servers.
    pub fn set_starts(&mut self, starts: HashMap<Name, ColdStart>) {
        self.starts = starts;
    }

    /// Returns how the servers of a service start; `None` if they are never cold.
    pub fn start(&self, service: &str) -> Option<ColdStart> {
        self.starts.get(service).copied()
    }

    /// Records that a server is cold; returns whether it was not known to be.
    pub fn remember(&mut self, id: &Name) -> bool {
        !self.known.contains(id) && self.known.insert(id.clone())
    }

    /// Returns the servers that were cold when last checked.
    pub fn known(&self) -> &HashSet<Name> {
        &self.known
    }

    /// Forgets and returns the servers that are no longer cold.
    pub fn take_warm(&mut self, is_cold: impl Fn(&Name) -> bool) -> Vec<Name> {
        self.known.extract_if(|id| !is_cold(id)).collect()
    }

    /// Records what another instance knows of an incarnation that is not listed here.
    pub fn merge_early(&mut self, id: &Name, notice: ColdNotice, now: MonotonicTime) {
        if self.early.len() >= MAX_EARLY {
            self.early.retain(|_, early| now < early.time.until);
        }
        if self.early.len() >= MAX_EARLY && !self.early.contains_key(id) {
            return;
        }
        let early = self.early.entry(id.clone()).or_default();
        if notice.started_at_ms > early.started_at_ms {
            *early = EarlyCold { started_at_ms: notice.started_at_ms, ..EarlyCold::default() };
        }
        if notice.started_at_ms == early.started_at_ms {
            // The service is not known.
            early.time.merge(notice.remaining, None, now);
        }
    }

    /// Records what is known of a server that is no longer listed: it may be listed again.
    pub fn remember_removed(&mut self, id: &Name, early: EarlyCold) {
        if self.early.len() >= MAX_EARLY {
            // They are cold if they are listed again, as they count as new.
            self.early.retain(|_, early| !early.was_listed);
        }
        let is_newer = |known: &EarlyCold| known.started_at_ms > early.started_at_ms;
        if self.early.len() < MAX_EARLY && !self.early.get(id).is_some_and(is_newer) {
            self.early.insert(id.clone(), early);
        }
    }

    /// Forgets and returns what is known of a server that is listed now, unless that is about a
    /// later incarnation.
    pub fn take_early(&mut self, id: &str, started_at_ms: u64) -> Option<EarlyCold> {
        let early = self.early.get(id).filter(|early| early.started_at_ms <= started_at_ms)?;
        let early = *early;
        self.early.remove(id);
        Some(early)
    }
}
