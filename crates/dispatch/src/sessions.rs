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
}

impl Sessions {
    /// Remembers a session for `keep` after its last request.
    pub fn new(keep: Duration) -> Self {
        Sessions { keep, rows: HashMap::new() }
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
    }
}
