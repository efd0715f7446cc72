//! Claims on non-idempotent calls, bills, and statements.
//!
//! The crate performs no I/O: its users read and write the rows of the table.

mod bill;
mod book;
mod claim;
mod statement;

pub use bill::{Bill, amount_micro};
pub use book::{Batch, Book, BookSize, BookStatus};
pub use claim::{ClaimDecision, ClaimRow, ClaimState, StoredAnswer, claim_key, decide};
pub use statement::{AccountTotal, Statement, statement};
