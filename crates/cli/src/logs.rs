//! Sets up logging.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};

use anyhow::Result;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use serde_json::json;

/// The maximum number of lines queued for writing; further lines are dropped and counted.
const LINE_QUEUE_CAPACITY: usize = 1_024;
/// The stack size of the writer thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Starts logging to standard error, with each line as a JSON object if `json` is set.
///
/// Libraries log only warnings and errors, so that lines of the info level are limited
/// to the instance's own state changes.
pub fn log_to_stderr(level: &str, json: bool) -> Result<LoggerHandle> {
    let spec = format!(
        "warn, cli={level}, entry={level}, router={level}, caller={level}, kernel={level}, peer={level}, lacewingchute={level}, dropshot=error"
    );
    let format = if json { flexi_logger::json_format } else { flexi_logger::opt_format };
    let logger = Logger::try_with_str(spec)?.log_to_stderr().format(format);
    Ok(logger.start()?)
}

/// Starts logging for an instance on the users' platform, as JSON lines on
/// standard output.
///
/// A dedicated thread writes the lines, so that a blocked standard output does
/// not block the instance.
pub fn log_json_to_stdout() -> Result<LoggerHandle> {
    let logger = Logger::try_with_str("warn, record=info")?;
    Ok(logger.log_to_writer(Box::new(LineWriter::start()?)).start()?)
}

/// Queues lines for the writer thread.
///
/// Lines that do not fit in the queue are dropped. Their number is reported before the
/// next line that is logged.
struct LineWriter {
    lines: SyncSender<String>,
    dropped: AtomicU64,
}

impl LineWriter {
    fn start() -> Result<Self> {
        let (lines, queue) = sync_channel::<String>(LINE_QUEUE_CAPACITY);
        let thread =
            std::thread::Builder::new().name("log".to_owned()).stack_size(WRITER_STACK_BYTES);
        thread.spawn(move || {
            let mut out = std::io::stdout();
            for line in queue {
                // Standard output can't be written, so the error can't be logged either.
                if out.write_all(line.as_bytes()).is_err() {
                    return;
                }
            }
        })?;
        Ok(LineWriter { lines, dropped: AtomicU64::new(0) })
    }

    /// Queues a line, or counts it as dropped if the queue is full.
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
            // The messages of this target are complete JSON objects.
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
