//! Remembers which version each session last ran on.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::Mono;

/// Maximum number of sessions kept.
const MAX_SESSIONS: usize = 20_000;

/// Versions of recent sessions.
#[derive(Debug)]
pub struct Sessions {
    ttl: Duration,
    sessions: HashMap<u64, (Name, Mono)>,
    sharing: bool,
    pending: Vec<(u64, Name)>,
}

impl Sessions {
    /// Creates a table that keeps a session for `ttl` after its last request.
    pub fn new(ttl: Duration) -> Self {
        Sessions { ttl, sessions: HashMap::new(), sharing: false, pending: Vec::new() }
    }

    /// Returns the version that the session last ran on.
    pub fn version(&self, session: u64, now: Mono) -> Option<&Name> {
        let (version, last) = self.sessions.get(&session)?;
        (now.saturating_sub(*last) <= self.ttl).then_some(version)
    }

    /// Records that the session runs, or has just finished, on a version.
    pub fn record(&mut self, session: u64, version: &Name, now: Mono) {
        if self.sessions.len() >= MAX_SESSIONS {
            let ttl = self.ttl;
            self.sessions.retain(|_, (_, last)| now.saturating_sub(*last) <= ttl);
        }
        if self.sessions.len() < MAX_SESSIONS {
            self.sessions.insert(session, (version.clone(), now));
        }
        if self.sharing && self.pending.len() < MAX_SESSIONS {
            self.pending.push((session, version.clone()));
        }
    }

    /// Records a session reported by another instance, unless a live local entry
    /// exists.
    pub fn merge(&mut self, session: u64, version: &Name, now: Mono) {
        if self.version(session, now).is_none() && self.sessions.len() < MAX_SESSIONS {
            self.sessions.insert(session, (version.clone(), now));
        }
    }

    /// Enables collecting sessions to share with other instances during a rollout.
    ///
    /// When sharing starts, all sessions within the time to live become pending.
    pub fn set_sharing(&mut self, sharing: bool, now: Mono) {
        if sharing && !self.sharing {
            let ttl = self.ttl;
            let recent =
                self.sessions.iter().filter(|(_, entry)| now.saturating_sub(entry.1) <= ttl);
            self.pending = recent.map(|(session, entry)| (*session, entry.0.clone())).collect();
        }
        self.sharing = sharing;
        if !sharing {
            self.pending.clear();
        }
    }

    /// Takes the sessions that have not been shared with other instances yet.
    pub fn take_pending(&mut self) -> Vec<(u64, Name)> {
        std::mem::take(&mut self.pending)
    }
}
