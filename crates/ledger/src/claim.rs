//! Claims: the rows that let a call which may not be repeated run at most once.
//!
//! One row per client account and idempotency key. It is inserted as `sent`
//! only when a server is chosen and a connection to it stands, right before
//! the call is written; a second write records the answer.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use config::{Name, hash_bytes};
use policy::RequestId;
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// The row of one call in the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that holds the claim.
    pub holder: RequestId,
    /// The hash of the call's method, path and body.
    pub body_hash: Name,
    /// When the call was sent, in milliseconds since 1970.
    pub sent_ms: u64,
    /// How long it may run, in milliseconds.
    pub deadline_ms: u64,
    /// What is known of it.
    pub state: ClaimState,
}

/// What is known of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It was sent, or is about to be; it must never be sent again.
    Sent,
    /// It was answered.
    Done(StoredAnswer, Bill),
}

/// An answer as it is kept for repeats of the call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header, if there was one.
    pub content_type: Option<String>,
    /// The body in base64.
    body: String,
}

impl StoredAnswer {
    /// Keeps an answer.
    pub fn new(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        StoredAnswer { status, content_type, body: STANDARD.encode(body) }
    }

    /// The body, byte for byte; `None` if the row is damaged.
    pub fn body(&self) -> Option<Vec<u8>> {
        STANDARD.decode(&self.body).ok()
    }
}

/// What to do about a call, given its row.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// There is no claim: the call may be claimed and sent.
    Claim,
    /// The claim is this attempt's own: the reply to the write was lost.
    Own,
    /// The call was answered: give the stored answer.
    Replay(StoredAnswer),
    /// Another attempt is still within its time.
    InProgress,
    /// The call was sent and its time is over without an answer.
    Unknown,
    /// The key was used for another call.
    Reused,
}

/// Decides what an attempt does about a call; it never runs one that was sent.
pub fn next(row: Option<&ClaimRow>, attempt: RequestId, body_hash: &str, now_ms: u64) -> Next {
    let Some(row) = row else { return Next::Claim };
    if *row.body_hash != *body_hash {
        return Next::Reused;
    }
    match &row.state {
        ClaimState::Done(answer, _) => Next::Replay(answer.clone()),
        ClaimState::Sent if row.holder == attempt => Next::Own,
        ClaimState::Sent if now_ms < row.sent_ms.saturating_add(row.deadline_ms) => {
            Next::InProgress
        }
        ClaimState::Sent => Next::Unknown,
    }
}

/// The table key of a claim; the idempotency key itself is not in it.
pub fn claim_key(account: &str, idempotency_key: &str) -> String {
    format!("claim/{account}/{}", hash_bytes(idempotency_key.as_bytes()))
}
