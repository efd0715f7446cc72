//! `lacewingchute statement`.

use ledger::{Batch, Bill, ClaimRow, ClaimState, Statement, compute_statement};
use serde::de::DeserializeOwned;
use store::{HttpPlatform, Row, Table};

use crate::args::StatementArgs;
use crate::error::CommandError;
use crate::settings::SettingsReader;

/// Prints the amounts that client accounts owe.
pub async fn run(args: StatementArgs) -> Result<(), CommandError> {
    let mut reader = SettingsReader::new();
    let addr = reader.required_addr("platform", args.platform);
    reader.finish()?;
    let platform = HttpPlatform::new(addr);
    let batches = platform.scan_all("bill/").await?;
    let claims = platform.scan_all("claim/").await?;
    let statement = statement_from_rows(&batches, &claims);
    if args.json {
        println!("{}", serde_json::to_string(&statement)?);
        return Ok(());
    }
    println!("{:<24} {:>10} {:>12} {:>14}", "account", "requests", "tokens", "amount");
    for (account, total) in &statement.accounts {
        let amount = total.amount_micro as f64 / 1e6;
        println!("{account:<24} {:>10} {:>12} {amount:>14.6}", total.requests, total.tokens);
    }
    if !statement.unresolved.is_empty() {
        println!("{} calls have no recorded outcome:", statement.unresolved.len());
        for key in &statement.unresolved {
            println!("  {key}");
        }
    }
    Ok(())
}

/// Computes the statement from the rows of bill batches and claims. Rows that can't be read are
/// named on standard error.
fn statement_from_rows(batches: &[Row], claims: &[Row]) -> Statement {
    let mut bills: Vec<Bill> = Vec::new();
    let mut unresolved = Vec::new();
    for batch in batches.iter().filter_map(read_row::<Batch>) {
        bills.extend(batch.bills);
    }
    for row in claims {
        let Some(claim) = read_row::<ClaimRow>(row) else { continue };
        match claim.state {
            // Calls without a charge are recorded with an amount of 0.
            ClaimState::Done(_, bill) if bill.amount_micro > 0 => bills.push(bill),
            ClaimState::Done(..) => {}
            ClaimState::Sent => unresolved.push(row.key.clone()),
        }
    }
    Statement { unresolved, ..compute_statement(bills) }
}

fn read_row<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match serde_json::from_value(row.value.clone()) {
        Ok(value) => Some(value),
        Err(error) => {
            eprintln!("row {} can't be read and is left out: {error}", row.key);
            None
        }
    }
}
