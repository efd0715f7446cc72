//! Rate-limited structured logging.

use std::cell::RefCell;
use std::collections::HashMap;

use dispatch::MonotonicTime;
use prometheus_client::metrics::counter::Counter;
use serde_json::{Value, json};

/// Maximum number of lines per second for each kind of event.
const MAX_LINES_PER_SECOND: u32 = 60;

/// Writes structured log lines, each of which describes one event, and limits their rate for
/// each kind of event.
#[derive(Debug, Default)]
pub struct EventLog {
    windows: RefCell<HashMap<&'static str, Window>>,
    dropped: Counter,
}

/// The lines of one kind that were written and dropped in the current second.
#[derive(Debug, Default)]
struct Window {
    second: u64,
    written: u32,
    dropped: u64,
}

impl EventLog {
    /// Creates a log that counts the lines it drops in `dropped`.
    pub fn new(dropped: Counter) -> Self {
        EventLog { windows: RefCell::default(), dropped }
    }

    /// Writes a line unless the limit for its kind has been reached in this second.
    ///
    /// The first line of a later second is preceded by a count of the dropped lines.
    pub fn write(&self, kind: &'static str, now: MonotonicTime, fields: impl FnOnce() -> Value) {
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(kind).or_default();
        if window.second != now.as_secs() {
            if window.dropped > 0 {
                log_event("lines_left_out", now, json!({ "of": kind, "lines": window.dropped }));
            }
            *window = Window { second: now.as_secs(), ..Window::default() };
        }
        if window.written >= MAX_LINES_PER_SECOND {
            window.dropped += 1;
            self.dropped.inc();
            return;
        }
        window.written += 1;
        log_event(kind, now, fields());
    }
}

/// Writes a line for an event without a rate limit.
pub fn log_event(kind: &'static str, now: MonotonicTime, fields: Value) {
    log::info!(target: "record", "{}", format_line(kind, now, fields));
}

fn format_line(kind: &'static str, now: MonotonicTime, fields: Value) -> Value {
    let mut line = json!({ "event": kind, "at_ms": now.as_millis() as u64 });
    if let (Value::Object(line), Value::Object(fields)) = (&mut line, fields) {
        line.extend(fields);
    }
    line
}
