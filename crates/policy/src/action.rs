//! Actions that the core asks its caller to perform.

use std::net::SocketAddr;

use config::Name;
use error::Kind;

use crate::event::{Attempt, RequestId};
use crate::evidence::{HaltKey, HaltReason};

/// An action for the caller of [`Core::step`](crate::Core::step) to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a request to a backend server.
    Send(SendOrder),
    /// Cancels an attempt whose answer is no longer needed.
    Abort(RequestId, Attempt),
    /// Refuses a request. The last field is the retry delay to suggest, in
    /// milliseconds.
    Refuse(RequestId, Kind, Option<u64>),
    /// Persists the halt of a version.
    Halt(HaltKey, HaltReason),
    /// Requests a rating of the answer given by a version. The last field is the prompt
    /// length bucket.
    Rate(RequestId, Name, u8),
}

/// The order to send one attempt of a request to a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct SendOrder {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// The backend server.
    pub server: Name,
    /// The server's address.
    pub addr: SocketAddr,
    /// The version that should answer.
    pub version: Name,
    /// The version that the session was pinned to before, if the session was moved.
    pub moved_from: Option<Name>,
    /// Whether the engine should run the request with high priority, as it does short
    /// work.
    pub high_priority: bool,
    /// Whether this attempt is a hedge that runs in parallel with another one.
    pub hedge: bool,
}

/// The result of the final check before the bytes of a request are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCheck {
    /// The request may be sent.
    Proceed,
    /// The request must not be sent, for the given reason.
    Refuse(Kind),
}
