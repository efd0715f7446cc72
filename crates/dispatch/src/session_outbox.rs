//! Sessions that wait to be told to other instances.

use std::time::Duration;

use config::Name;

use crate::MonotonicTime;

/// How long after a session was sent it is sent again, since datagrams can be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of sessions kept to be sent, and to be sent again.
const MAX_QUEUED: usize = 20_000;

/// Sessions for one group of instances. Each is sent twice.
#[derive(Debug, Default)]
pub struct SessionOutbox {
    fresh: Vec<(u64, Name)>,
    /// Sessions that were sent once, with the time.
    sent: Vec<(MonotonicTime, u64, Name)>,
}

impl SessionOutbox {
    /// Adds sessions, with the versions that they last ran on. Returns how many were dropped
    /// because there are too many.
    pub fn add(&mut self, sessions: &[(u64, Name)]) -> usize {
        let free = MAX_QUEUED.saturating_sub(self.fresh.len()).min(sessions.len());
        self.fresh.extend_from_slice(&sessions[..free]);
        sessions.len() - free
    }

    /// Takes the sessions that are to be sent now.
    ///
    /// A session that is taken for the second time follows its first copy, so that of two
    /// versions the later one arrives last.
    pub fn take(&mut self, now: MonotonicTime) -> Vec<(u64, Name)> {
        let due = self.sent.partition_point(|(at, ..)| now.saturating_sub(*at) >= REPEAT_DELAY);
        let mut sessions: Vec<(u64, Name)> =
            self.sent.drain(..due).map(|(_, session, version)| (session, version)).collect();
        let free = MAX_QUEUED.saturating_sub(self.sent.len());
        let fresh = std::mem::take(&mut self.fresh);
        let repeated = fresh.iter().take(free);
        self.sent.extend(repeated.map(|(session, version)| (now, *session, version.clone())));
        sessions.extend(fresh);
        sessions
    }

    /// Forgets all sessions.
    pub fn clear(&mut self) {
        self.fresh.clear();
        self.sent.clear();
    }
}
