//! Claims on non-idempotent calls, bills, and statements.
//!
//! The crate performs no I/O. Its callers read and write the rows of the table.

mod bill;
mod buffer;
mod claim;
mod statement;

pub use bill::{Bill, amount_micro};
pub use buffer::{Batch, BillBuffer, BillBufferCapacity, BillBufferStatus};
pub use claim::{ClaimDecision, ClaimRow, ClaimState, StoredAnswer, claim_key, decide_claim};
pub use statement::{AccountTotal, Statement, compute_statement};
