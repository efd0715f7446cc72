//! Statements: what each client account owes.

use std::collections::BTreeMap;

use config::Name;
use policy::RequestId;
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// What one client account owes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Requests billed.
    pub requests: u64,
    /// Tokens of prompts and answers.
    pub tokens: u64,
    /// The sum, in millionths.
    pub amount_micro: u64,
}

/// What all client accounts owe.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The sums by client account.
    pub accounts: BTreeMap<Name, Line>,
    /// The bills by request, one for each.
    pub bills: BTreeMap<RequestId, Bill>,
    /// Calls that were sent and whose outcome was never recorded.
    pub unresolved: Vec<String>,
}

/// Makes the statement of a set of bills.
///
/// The result depends on the set alone: copies of a bill, and their order, add
/// nothing. Where two bills of one request differ, because a repeat was
/// answered by another instance, the lower amount is owed.
pub fn statement(bills: impl IntoIterator<Item = Bill>) -> Statement {
    let mut statement = Statement::default();
    for bill in bills {
        match statement.bills.get(&bill.id) {
            Some(known) if rank(known) <= rank(&bill) => {}
            _ => {
                statement.bills.insert(bill.id, bill);
            }
        }
    }
    for bill in statement.bills.values() {
        let line = statement.accounts.entry(bill.account.clone()).or_default();
        line.requests += 1;
        line.tokens += u64::from(bill.usage.prompt_tokens) + u64::from(bill.usage.output_tokens);
        line.amount_micro += bill.amount_micro;
    }
    statement
}

fn rank(bill: &Bill) -> (u64, u64, &Name, &Name) {
    (bill.amount_micro, bill.at_ms, &bill.version, &bill.route)
}
