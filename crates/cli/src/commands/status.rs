//! `lacewingchute status`.

use anyhow::Context;
use serde_json::Value;

use crate::args::StatusArgs;
use crate::commands::operator;
use crate::error::CommandError;
use crate::settings::SettingsReader;

/// Prints a summary of an instance's state.
pub async fn run(args: StatusArgs) -> Result<(), CommandError> {
    let mut reader = SettingsReader::new();
    let token = reader.token(args.token_file);
    let addr = reader.addr("addr", Some(args.addr), "");
    reader.finish()?;
    let body = operator::get(addr, &token, "/status").await?;
    let status: Value = serde_json::from_slice(&body).context("failed to parse the status")?;
    if args.json {
        println!("{status}");
        return Ok(());
    }
    let Value::Object(fields) = status else { return Ok(()) };
    for (name, value) in fields {
        let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        println!("{name:<16} {text}");
    }
    Ok(())
}
