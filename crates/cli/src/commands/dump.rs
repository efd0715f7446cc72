//! `lacewingchute dump`.

use anyhow::Context;
use serde_json::Value;

use crate::args::DumpArgs;
use crate::commands::operator;
use crate::error::CommandError;
use crate::settings::SettingsReader;

/// Prints the state of every service, or the metrics.
pub async fn run(args: DumpArgs) -> Result<(), CommandError> {
    let mut reader = SettingsReader::new();
    let token = reader.token(args.token_file);
    let addr = reader.addr("addr", Some(args.addr), "");
    reader.finish()?;
    if args.metrics {
        let body = operator::get(addr, &token, "/metrics").await?;
        print!("{}", String::from_utf8_lossy(&body));
        return Ok(());
    }
    let body = operator::get(addr, &token, "/dump").await?;
    let dump: Value = serde_json::from_slice(&body).context("failed to parse the dump")?;
    println!("{dump:#}");
    Ok(())
}
