//! Error kinds, the responses that they produce, and the proof that a refused
//! request was not executed.

mod kind;
mod refusal;

pub use kind::{ErrorSpec, Execution, Kind};
pub use refusal::{NotRunProof, Refusal, RefusalBody, RefusalError, WritePermit};
