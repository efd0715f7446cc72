//! `lacewingchute entry`.

use std::time::Duration;

use anyhow::Context;
use entry::{Entry, SettingsBuilder};
use tokio::signal::unix::{SignalKind, signal};

use crate::args::EntryArgs;
use crate::error::CommandError;
use crate::logs;
use crate::settings::SettingsReader;

/// The shutdown timeout in seconds: minimum, maximum and default.
const DRAIN_S_RANGE: (u64, u64, u64) = (1, 3_600, 60);
/// The body limit in bytes: minimum, maximum and default.
const BODY_LIMIT_RANGE: (u64, u64, u64) =
    (SettingsBuilder::MIN_BODY_LIMIT as u64, 64 << 20, 4 << 20);
/// The log levels, starting with the default.
const LOG_LEVELS: [&str; 5] = ["info", "error", "warn", "debug", "trace"];

/// Runs an entry instance until it is shut down by a signal or a service fails.
pub async fn run(args: EntryArgs) -> Result<(), CommandError> {
    let mut reader = SettingsReader::new();
    let level = reader.choice("log-level", args.log_level.clone(), &LOG_LEVELS);
    let format = reader.choice("log-format", args.log_format.clone(), &["text", "json"]);
    let settings = read_settings(&mut reader, args);
    reader.finish()?;
    let _logger = logs::log_to_stderr(&level, format == "json")?;
    if !settings.disabled.is_empty() || settings.switches != policy::Switches::default() {
        log::warn!("mechanisms are disabled; this instance is for experiments only");
    }
    // Both handlers are installed before startup, so that no signal is missed.
    let mut terminate =
        signal(SignalKind::terminate()).context("failed to install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("failed to install the SIGINT handler")?;
    let entry = Entry::start(settings)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = entry.failed() => {
            entry.drain().await;
            return Err(CommandError::Other(anyhow::anyhow!("a service failed; see the log")));
        }
    }
    tokio::select! {
        completed = entry.drain() => match completed {
            true => Ok(()),
            false => Err(CommandError::Other(anyhow::anyhow!("the shutdown timed out"))),
        },
        _ = terminate.recv() => Err(shutdown_interrupted()),
        _ = interrupt.recv() => Err(shutdown_interrupted()),
    }
}

/// The error if a second signal arrives during the shutdown.
fn shutdown_interrupted() -> CommandError {
    CommandError::Other(anyhow::anyhow!("the shutdown was interrupted by a second signal"))
}

fn read_settings(reader: &mut SettingsReader, args: EntryArgs) -> entry::Settings {
    let instance = read_name(reader, "instance", args.instance);
    let domain = read_name(reader, "domain", args.domain);
    let platform = reader.required_addr("platform", args.platform);
    let token = reader.token(args.token_file);
    let callers = reader.addr("listen", args.listen, "127.0.0.1:8080");
    let peers = reader.addr("peers", args.peers, "127.0.0.1:8081");
    let operators = reader.addr("operators", args.operators, "127.0.0.1:8082");
    if callers == operators && callers.port() != 0 {
        reader.add_error("operators", "must differ from --listen, the address for callers");
    }
    let mut builder = SettingsBuilder::new(instance.into(), domain.into(), platform, token)
        .listen(callers, peers, operators)
        .seeds(reader.addrs("seeds", args.seeds))
        .drain(Duration::from_secs(reader.number("drain-s", args.drain_s, DRAIN_S_RANGE)))
        .body_limit(reader.number("body-limit", args.body_limit, BODY_LIMIT_RANGE) as usize);
    for unknown in builder.disable(&reader.list("without", args.without)) {
        reader.add_error("without", &format!("unknown mechanism {unknown:?}"));
    }
    builder.build()
}

/// Reads a name that is valid as part of a table key.
fn read_name(reader: &mut SettingsReader, flag: &str, value: Option<String>) -> String {
    let name = reader.required(flag, value);
    let is_valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if !name.bytes().all(is_valid) || name.len() > 64 {
        reader.add_error(flag, "use at most 64 letters, digits, '-', '_' and '.'");
    }
    name
}
