//! Log lines on standard error.

use anyhow::Result;
use flexi_logger::{Logger, LoggerHandle};

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
