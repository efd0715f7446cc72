//! `lacewingchute node`.

use crate::failure::Failure;
use crate::logs;

/// Runs an instance on the users' platform, by the settings file it names.
pub fn run() -> Result<(), Failure> {
    let _logger = logs::start_records()?;
    // One thread: the instances have a part of one core, and little memory.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, platform::run())?)
}
