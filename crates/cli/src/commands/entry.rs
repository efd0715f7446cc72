//! `lacewingchute entry`.

use std::time::Duration;

use anyhow::Context;
use entry::{Entry, SettingsBuilder};
use tokio::signal::unix::{SignalKind, signal};

use crate::args::EntryArgs;
use crate::failure::Failure;
use crate::logs;
use crate::settings::Reader;

/// The shutdown's bound in seconds: least, most and default.
const DRAIN_S: (u64, u64, u64) = (1, 3_600, 60);
/// The body limit in bytes: least, most and default.
const BODY: (u64, u64, u64) = (SettingsBuilder::MIN_BODY_LIMIT as u64, 64 << 20, 4 << 20);
/// The levels of log lines, the default first.
const LEVELS: [&str; 5] = ["info", "error", "warn", "debug", "trace"];

/// Runs an entry instance.
pub async fn run(args: EntryArgs) -> Result<(), Failure> {
    let mut reader = Reader::new();
    let level = reader.word("log-level", args.log_level.clone(), &LEVELS);
    let format = reader.word("log-format", args.log_format.clone(), &["text", "json"]);
    let settings = settings(&mut reader, args);
    reader.finish()?;
    let _logger = logs::start(&level, format == "json")?;
    if !settings.disabled.is_empty() || settings.switches != policy::Switches::default() {
        log::warn!("mechanisms are switched off: this instance is for experiments only");
    }
    // Both are watched from the start, so that none is missed.
    let mut terminate = signal(SignalKind::terminate()).context("watching SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("watching SIGINT")?;
    let entry = Entry::start(settings)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = entry.failed() => {
            entry.drain().await;
            return Err(Failure::Other(anyhow::anyhow!("a service failed; see the log")));
        }
    }
    tokio::select! {
        whole = entry.drain() => match whole {
            true => Ok(()),
            false => Err(Failure::Other(anyhow::anyhow!("the shutdown's bound was reached"))),
        },
        _ = terminate.recv() => Err(at_once()),
        _ = interrupt.recv() => Err(at_once()),
    }
}

fn at_once() -> Failure {
    Failure::Other(anyhow::anyhow!("ended at once by a second signal"))
}

fn settings(reader: &mut Reader, args: EntryArgs) -> entry::Settings {
    let instance = name(reader, "instance", args.instance);
    let domain = name(reader, "domain", args.domain);
    let platform = reader.required_addr("platform", args.platform);
    let token = reader.token(args.token_file);
    let callers = reader.addr("listen", args.listen, "127.0.0.1:8080");
    let peers = reader.addr("peers", args.peers, "127.0.0.1:8081");
    let operators = reader.addr("operators", args.operators, "127.0.0.1:8082");
    if callers == operators && callers.port() != 0 {
        reader.fault("operators", "it is the callers' address; operators need one of their own");
    }
    let mut builder = SettingsBuilder::new(instance.into(), domain.into(), platform, token)
        .listen(callers, peers, operators)
        .seeds(reader.addrs("seeds", args.seeds))
        .drain(Duration::from_secs(reader.number("drain-s", args.drain_s, DRAIN_S)))
        .body_limit(reader.number("body-limit", args.body_limit, BODY) as usize);
    for unknown in builder.disable(&reader.list("without", args.without)) {
        reader.fault("without", &format!("there is no mechanism {unknown:?}"));
    }
    builder.build()
}

/// A name that may stand in keys of the table.
fn name(reader: &mut Reader, flag: &str, given: Option<String>) -> String {
    let name = reader.required(flag, given);
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if !name.bytes().all(plain) || name.len() > 64 {
        reader.fault(flag, "use up to 64 letters, digits, '-', '_' and '.'");
    }
    name
}
