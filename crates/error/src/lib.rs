//! The closed list of error kinds, what each means to a caller, and the proof
//! that a refused request was not run.

mod kind;
mod refusal;

pub use kind::{Kind, Ran, Row};
pub use refusal::{Proof, Refusal, RefusalBody, RefusalError, Writing};
