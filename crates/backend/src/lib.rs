//! The side towards backend servers: sending, checking and reading answers.

mod chat;
mod send;
mod sse;

pub use chat::{ChatRequest, WholeAnswer, whole_answer};
pub use send::{Backends, LEAVING_HEADER, REQUEST_ID_HEADER};
pub use sse::{SseEvent, SsePart, SseReader};
