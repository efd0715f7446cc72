//! Which version each session ran on last.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::Mono;

/// Sessions that are remembered at the most.
const MOST: usize = 20_000;

/// The versions of recent sessions.
#[derive(Debug)]
pub struct Sessions {
    keep: Duration,
    rows: HashMap<u64, (Name, Mono)>,
    watched: bool,
    untold: Vec<(u64, Name)>,
}

impl Sessions {
    /// Remembers a session for `keep` after its last request.
    pub fn new(keep: Duration) -> Self {
        Sessions { keep, rows: HashMap::new(), watched: false, untold: Vec::new() }
    }

    /// The version that the session is kept on.
    pub fn version(&self, session: u64, now: Mono) -> Option<&Name> {
        let (version, last) = self.rows.get(&session)?;
        (now.saturating_sub(*last) <= self.keep).then_some(version)
    }

    /// Notes that the session runs, or has just ended, on a version.
    pub fn note(&mut self, session: u64, version: &Name, now: Mono) {
        if self.rows.len() >= MOST {
            let keep = self.keep;
            self.rows.retain(|_, (_, last)| now.saturating_sub(*last) <= keep);
        }
        if self.rows.len() < MOST {
            self.rows.insert(session, (version.clone(), now));
        }
        if self.watched && self.untold.len() < MOST {
            self.untold.push((session, version.clone()));
        }
    }

    /// Notes what another instance tells of a session, unless it ran here later.
    pub fn merge(&mut self, session: u64, version: &Name, now: Mono) {
        if self.version(session, now).is_none() && self.rows.len() < MOST {
            self.rows.insert(session, (version.clone(), now));
        }
    }

    /// Collects sessions for other instances while versions change.
    ///
    /// When it begins, all that are remembered are to be told.
    pub fn watch(&mut self, watched: bool, now: Mono) {
        if watched && !self.watched {
            let keep = self.keep;
            let recent = self.rows.iter().filter(|(_, row)| now.saturating_sub(row.1) <= keep);
            self.untold = recent.map(|(session, row)| (*session, row.0.clone())).collect();
        }
        self.watched = watched;
        if !watched {
            self.untold.clear();
        }
    }

    /// Takes the sessions that other instances were not told of.
    pub fn take_untold(&mut self) -> Vec<(u64, Name)> {
        std::mem::take(&mut self.untold)
    }
}
