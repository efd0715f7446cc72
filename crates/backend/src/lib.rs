//! A client for backend servers that sends requests and parses responses.

mod chat;
mod send;
mod sse;

pub use chat::{ChatRequest, Completion, parse_completion};
pub use send::{BackendClient, LEAVING_HEADER, REQUEST_ID_HEADER};
pub use sse::{SseEvent, SseParser, SsePayload};
