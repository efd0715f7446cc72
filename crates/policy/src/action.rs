//! What the decision core asks its shell to do.

use std::net::SocketAddr;

use config::Name;
use error::Kind;

use crate::event::{Attempt, RequestId};
use crate::evidence::{HaltKey, Verdict};

/// One action.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a request to a backend server.
    Send(Send),
    /// Drops an attempt whose answer is no longer wanted.
    Abort(RequestId, Attempt),
    /// Gives a request its final refusal.
    Refuse(RequestId, Kind, Option<u64>),
    /// Writes the halt of a version.
    Halt(HaltKey, Verdict),
    /// Has an answer rated; the number is the request's length class.
    Rate(RequestId, Name, u8),
}

/// One attempt to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Send {
    /// The request.
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: Attempt,
    /// The backend server.
    pub server: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The version that is to answer.
    pub version: Name,
    /// The version that the request's session kept before, if it was moved.
    pub moved: Option<Name>,
    /// Whether the work is short, for the engine's priority.
    pub urgent: bool,
    /// Whether this attempt races another one.
    pub hedge: bool,
}

/// The answer to the last question before the bytes of a request are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirm {
    /// It may be sent.
    Go,
    /// It must not be sent, for this reason.
    Stop(Kind),
}
