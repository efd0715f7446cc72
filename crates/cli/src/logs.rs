//! Log lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};

use anyhow::Result;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use serde_json::json;

/// Lines that wait to be written at the most; more are dropped and counted.
const LINES_AHEAD: usize = 1_024;
/// Bytes of stack of the thread that writes lines.
const LOG_STACK: usize = 64 << 10;

/// Starts logging; `json` writes each line as a JSON object.
///
/// Libraries log from warnings on, so that lines stand for changes of state.
pub fn start(level: &str, json: bool) -> Result<LoggerHandle> {
    let spec = format!(
        "warn, cli={level}, entry={level}, router={level}, caller={level}, kernel={level}, peer={level}, lacewingchute={level}, dropshot=error"
    );
    let format = if json { flexi_logger::json_format } else { flexi_logger::opt_format };
    let logger = Logger::try_with_str(spec)?.log_to_stderr().format(format);
    Ok(logger.start()?)
}

/// Starts logging for a process on the users' platform: JSON lines on standard
/// output, written by a thread of their own, so that a reader that does not
/// read delays nothing.
pub fn start_records() -> Result<LoggerHandle> {
    let logger = Logger::try_with_str("warn, record=info")?;
    Ok(logger.log_to_writer(Box::new(LineWriter::start()?)).start()?)
}

/// Hands lines to a thread that writes them; drops and counts what it can't take.
struct LineWriter {
    lines: SyncSender<String>,
    dropped: AtomicU64,
}

impl LineWriter {
    fn start() -> Result<Self> {
        let (lines, inbox) = sync_channel::<String>(LINES_AHEAD);
        let thread = std::thread::Builder::new().name("log".to_owned()).stack_size(LOG_STACK);
        thread.spawn(move || {
            let mut out = std::io::stdout();
            for line in inbox {
                // Nobody reads the log any more, so there is nobody to tell.
                if out.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        })?;
        Ok(LineWriter { lines, dropped: AtomicU64::new(0) })
    }

    fn send(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for LineWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.send(format!("{}\n", json!({ "event": "lines_dropped", "lines": dropped })));
        }
        let line = match record.target() {
            "record" => record.args().to_string(),
            target => json!({
                "event": "log",
                "level": record.level().as_str(),
                "target": target,
                "message": record.args().to_string(),
            })
            .to_string(),
        };
        self.send(format!("{line}\n"));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}
