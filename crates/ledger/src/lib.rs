//! Claims on calls that may run once, bills, and statements.
//!
//! Everything here is pure: the callers carry rows to and from the table.

mod bill;
mod book;
mod claim;
mod statement;

pub use bill::{Bill, amount_micro};
pub use book::{Batch, Book, BookSize, BookStatus};
pub use claim::{ClaimRow, ClaimState, Next, StoredAnswer, claim_key, next};
pub use statement::{Line, Statement, statement};
