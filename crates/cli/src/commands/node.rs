//! `lacewingchute node`.

use crate::error::CommandError;
use crate::logs;

/// Runs an instance on the users' platform, with the settings file that the platform provides.
pub fn run() -> Result<(), CommandError> {
    let _logger = logs::log_json_to_stdout()?;
    // A single thread is used, because an instance gets a fraction of a core and little memory.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, platform::run())?)
}
