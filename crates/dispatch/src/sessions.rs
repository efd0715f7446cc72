//! Remembers which version each session last ran on.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;

/// Maximum number of sessions kept.
const MAX_SESSIONS: usize = 20_000;
/// Maximum time until a request's version is known to all instances. A report is not
/// newer than what an instance saw itself within this time.
const SHARING_DELAY: Duration = Duration::from_millis(1_500);
/// Part of the time to live after which a session with an open request is shared again.
const RESHARING_FRACTION: f64 = 0.3;

/// Versions of recent sessions.
#[derive(Debug)]
pub struct Sessions {
    ttl: Duration,
    sessions: HashMap<u64, Session>,
    sharing: bool,
    /// Sessions that have not been shared with other instances yet.
    pending: Vec<(u64, Name)>,
    /// When sessions with open requests were last shared.
    reshared_at: MonotonicTime,
}

/// What is known of a session.
#[derive(Debug)]
struct Session {
    version: Name,
    /// When its last request began or ended, or was reported by another instance.
    last: MonotonicTime,
    /// Requests of this instance that are open.
    open: u32,
}

impl Sessions {
    /// Creates an empty map that keeps a session for `ttl` after its last request.
    pub fn new(ttl: Duration) -> Self {
        Sessions {
            ttl,
            sessions: HashMap::new(),
            sharing: false,
            pending: Vec::new(),
            reshared_at: MonotonicTime::ZERO,
        }
    }

    /// Returns the version that the session last ran on.
    pub fn version(&self, session: u64, now: MonotonicTime) -> Option<&Name> {
        let known = self.sessions.get(&session)?;
        self.is_recent(known, now).then_some(&known.version)
    }

    /// Returns all sessions within the time to live, with the versions that they last ran on.
    pub fn recent(&self, now: MonotonicTime) -> Vec<(u64, Name)> {
        let recent = self.sessions.iter().filter(|(_, known)| self.is_recent(known, now));
        recent.map(|(session, known)| (*session, known.version.clone())).collect()
    }

    /// Whether there are sessions that have not been taken to be shared.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn is_recent(&self, session: &Session, now: MonotonicTime) -> bool {
        session.open > 0 || now.saturating_sub(session.last) <= self.ttl
    }

    /// Records that a request of the session begins on a version.
    pub fn begin(&mut self, session: u64, version: &Name, now: MonotonicTime) {
        if let Some(known) = self.insert(session, version, now) {
            known.open += 1;
        }
        self.share(session, version);
    }

    /// Records that a request of the session has ended.
    pub fn end(&mut self, session: u64, now: MonotonicTime) {
        let Some(known) = self.sessions.get_mut(&session) else { return };
        known.open = known.open.saturating_sub(1);
        known.last = now;
        let version = known.version.clone();
        self.share(session, &version);
    }

    /// Sets the version of a session; `None` if there are too many.
    fn insert(&mut self, session: u64, version: &Name, now: MonotonicTime) -> Option<&mut Session> {
        if self.sessions.len() >= MAX_SESSIONS {
            let ttl = self.ttl;
            self.sessions
                .retain(|_, known| known.open > 0 || now.saturating_sub(known.last) <= ttl);
        }
        if self.sessions.len() >= MAX_SESSIONS && !self.sessions.contains_key(&session) {
            return None;
        }
        let new = Session { version: version.clone(), last: now, open: 0 };
        let known = self.sessions.entry(session).or_insert(new);
        known.version = version.clone();
        known.last = now;
        Some(known)
    }

    fn share(&mut self, session: u64, version: &Name) {
        if self.sharing && self.pending.len() < MAX_SESSIONS {
            self.pending.push((session, version.clone()));
        }
    }

    /// Records a session reported by another instance, unless it ran on another version here
    /// so lately that the report may be older.
    pub fn merge(&mut self, session: u64, version: &Name, now: MonotonicTime) {
        let is_newer_here = self.sessions.get(&session).is_some_and(|known| {
            known.version != *version
                && (known.open > 0 || now.saturating_sub(known.last) < SHARING_DELAY)
        });
        if !is_newer_here {
            self.insert(session, version, now);
        }
    }

    /// Enables collecting sessions to share with other instances during a rollout.
    ///
    /// When sharing starts, all sessions within the time to live become pending.
    pub fn set_sharing(&mut self, sharing: bool, now: MonotonicTime) {
        if sharing && !self.sharing {
            self.pending = self.recent(now);
            self.reshared_at = now;
        }
        self.sharing = sharing;
        if !sharing {
            self.pending.clear();
        }
    }

    /// Takes the sessions that have not been shared with other instances yet. Those with open
    /// requests are shared again before they expire there.
    pub fn take_pending(&mut self, now: MonotonicTime) -> Vec<(u64, Name)> {
        if self.sharing
            && now.saturating_sub(self.reshared_at) >= self.ttl.mul_f64(RESHARING_FRACTION)
        {
            self.reshared_at = now;
            let open = self.sessions.iter().filter(|(_, known)| known.open > 0);
            self.pending.extend(open.map(|(session, known)| (*session, known.version.clone())));
        }
        std::mem::take(&mut self.pending)
    }
}
