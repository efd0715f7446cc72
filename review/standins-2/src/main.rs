//! Stand-ins of the cases of the second review: clients, servers and the store around
//! instances of the program that run as separate processes.
//!
//! `standins-2 CASE FOLDER on|off` plays a case with or without its disruption and writes
//! `record.txt` into its folder. It exits with 1 if the rule was broken, with 0 if it held and with
//! 2 if the case could not run.

#![recursion_limit = "256"]

mod client;
mod deployment;
mod full_server;
mod large_bodies;
mod record;
mod server;
mod lost_completion;
mod preempted;
mod store_proxy;
mod stream;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};

use crate::record::Record;

/// The maximum duration of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    match tokio::time::timeout(TIME_LIMIT, run()).await {
        Ok(Ok(broken)) => ExitCode::from(u8::from(broken)),
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error:#}");
            ExitCode::from(2)
        }
        Err(_) => {
            eprintln!("the case could not run: it took longer than {TIME_LIMIT:?}");
            ExitCode::from(2)
        }
    }
}

/// Plays the case that the arguments name; returns whether the rule was broken.
async fn run() -> Result<bool> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, disruption] = &arguments[..] else {
        bail!("usage: standins-2 CASE FOLDER on|off");
    };
    let trouble = match disruption.as_str() {
        "on" => true,
        "off" => false,
        _ => bail!("the disruption is on or off, not {disruption:?}"),
    };
    let record =
        Arc::new(Record::create(&Path::new(folder).join("record.txt")).context("record.txt")?);
    record.line(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let result = match case.as_str() {
        "alone" => full_server::play_alone(&record, trouble).await,
        "full-server" => full_server::play(&record, trouble).await,
        "large-bodies" => large_bodies::play(&record, trouble).await,
        "lost-completion" => lost_completion::play(&record, trouble).await,
        "preempted" => preempted::play(&record, trouble).await,
        _ => bail!("there is no case {case:?}"),
    };
    match &result {
        Ok(true) => record.line("result: the rule was broken"),
        Ok(false) => record.line("result: the rule held"),
        Err(error) => record.line(format!("result: could not run: {error:#}")),
    }
    result
}
