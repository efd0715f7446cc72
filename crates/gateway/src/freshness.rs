//! How recently each table was confirmed: known to hold what the store holds.

use std::collections::BTreeMap;
use std::time::Duration;

use dispatch::MonotonicTime;
use serde_json::json;

use crate::event_log::log_event;

/// Time without a confirmation after which a table counts as stale.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// When the followed tables were last confirmed by an answer of the store, to this
/// instance or to one that reported it.
#[derive(Debug, Default)]
pub struct Freshness {
    tables: BTreeMap<&'static str, Confirmation>,
}

#[derive(Debug)]
struct Confirmation {
    at: MonotonicTime,
    revision: u64,
    /// Whether the table was logged as stale since then.
    stale: bool,
}

impl Freshness {
    /// Records that at `at` the store held nothing newer than `revision` for a table.
    pub fn confirm(
        &mut self,
        table: &'static str,
        at: MonotonicTime,
        revision: u64,
        now: MonotonicTime,
    ) {
        let entry = self.tables.entry(table);
        let confirmation = entry.or_insert(Confirmation { at, revision, stale: false });
        if at < confirmation.at {
            return;
        }
        if confirmation.stale {
            let stale_ms = now.saturating_sub(confirmation.at).as_millis() as u64;
            let fields = json!({ "table": table, "revision": revision, "stale_ms": stale_ms });
            log_event("table_confirmed", now, fields);
        }
        *confirmation = Confirmation { at, revision, stale: false };
    }

    /// Logs the tables that have become stale.
    pub fn check(&mut self, now: MonotonicTime) {
        for (table, confirmation) in &mut self.tables {
            let age = now.saturating_sub(confirmation.at);
            if age < STALE_AFTER || confirmation.stale {
                continue;
            }
            confirmation.stale = true;
            let (revision, age_ms) = (confirmation.revision, age.as_millis() as u64);
            let fields = json!({ "table": table, "revision": revision, "age_ms": age_ms });
            log_event("table_stale", now, fields);
        }
    }

    /// Returns the tables with the time since their last confirmation.
    pub fn ages(&self, now: MonotonicTime) -> impl Iterator<Item = (&'static str, Duration)> {
        self.tables.iter().map(move |(table, last)| (*table, now.saturating_sub(last.at)))
    }
}
