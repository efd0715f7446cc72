//! Computes statements of the amounts that client accounts owe.

use std::collections::BTreeMap;

use config::Name;
use policy::RequestId;
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// The total of one client account.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountTotal {
    /// The number of billed requests.
    pub requests: u64,
    /// The number of prompt and output tokens.
    pub tokens: u64,
    /// The amount owed, in millionths of a currency unit.
    pub amount_micro: u64,
}

/// The totals of all client accounts, with the bills behind them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The totals by client account.
    pub accounts: BTreeMap<Name, AccountTotal>,
    /// One bill per request, by request id.
    pub bills: BTreeMap<RequestId, Bill>,
    /// The claim keys of calls that were sent and have no recorded outcome.
    pub unresolved: Vec<String>,
}

/// Computes the statement for a set of bills, without any unresolved calls.
///
/// Duplicate bills and the order of bills do not affect the result. If two
/// bills for one request differ, because a retry was answered by another
/// instance, the one with the lower amount is charged.
pub fn compute_statement(bills: impl IntoIterator<Item = Bill>) -> Statement {
    let mut statement = Statement::default();
    for bill in bills {
        match statement.bills.get(&bill.id) {
            Some(known) if sort_key(known) <= sort_key(&bill) => {}
            _ => {
                statement.bills.insert(bill.id, bill);
            }
        }
    }
    for bill in statement.bills.values() {
        let total = statement.accounts.entry(bill.account.clone()).or_default();
        total.requests += 1;
        total.tokens += u64::from(bill.usage.prompt_tokens) + u64::from(bill.usage.output_tokens);
        total.amount_micro += bill.amount_micro;
    }
    statement
}

/// The sort key of bills for one request. The bill with the smallest key is charged.
fn sort_key(bill: &Bill) -> (u64, u64, &Name, &Name) {
    (bill.amount_micro, bill.at_ms, &bill.version, &bill.route)
}
