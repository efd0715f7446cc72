//! `lacewingchute status`.

use anyhow::Context;
use serde_json::Value;

use crate::args::StatusArgs;
use crate::commands::operator;
use crate::failure::Failure;
use crate::settings::Reader;

/// Prints the summary of an instance.
pub async fn run(args: StatusArgs) -> Result<(), Failure> {
    let mut reader = Reader::new();
    let token = reader.token(args.token_file);
    let addr = reader.addr("addr", Some(args.addr), "");
    reader.finish()?;
    let body = operator::get(addr, &token, "/status").await?;
    let status: Value = serde_json::from_slice(&body).context("reading the summary")?;
    if args.json {
        println!("{status}");
        return Ok(());
    }
    let Value::Object(rows) = status else { return Ok(()) };
    for (name, value) in rows {
        let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        println!("{name:<16} {text}");
    }
    Ok(())
}
