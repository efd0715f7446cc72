//! Claims, the table rows that make a non-idempotent call run at most once.
//!
//! There is one row per client account and idempotency key. It is inserted
//! with state `sent` once a server has been chosen and a connection to it is
//! open, immediately before the call is written. A second write records the
//! answer.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use config::{Name, hash_bytes};
use policy::RequestId;
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// The claim row of one call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The attempt that inserted the row.
    pub holder: RequestId,
    /// The hash of the call's method, path and body.
    pub body_hash: Name,
    /// When the call was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// The time limit of the call, in milliseconds after `sent_ms`.
    pub deadline_ms: u64,
    /// The recorded state of the call.
    pub state: ClaimState,
}

/// The recorded state of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The call was sent or is about to be, and must not be sent again.
    Sent,
    /// The call was answered.
    Done(StoredAnswer, Bill),
}

/// An answer that is stored to be replayed to retries of the call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `content-type` header, if present.
    pub content_type: Option<String>,
    /// The body, encoded as base64.
    body: String,
}

impl StoredAnswer {
    /// Creates a stored answer, encoding the body.
    pub fn new(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        StoredAnswer { status, content_type, body: STANDARD.encode(body) }
    }

    /// Decodes the body; `None` if the stored base64 is invalid.
    pub fn body(&self) -> Option<Vec<u8>> {
        STANDARD.decode(&self.body).ok()
    }
}

/// How an attempt proceeds with a call, depending on the call's claim row.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimDecision {
    /// There is no claim, so the call may be claimed and sent.
    Claim,
    /// This attempt already holds the claim: the reply to its insert was lost.
    AlreadyHeld,
    /// The call was answered, so the stored answer is returned.
    Replay(StoredAnswer),
    /// Another attempt was sent, and its time limit has not passed.
    InProgress,
    /// The call was sent, and its time limit passed without a recorded answer.
    OutcomeUnknown,
    /// The idempotency key was used for a call with other content.
    KeyReused,
}

/// Decides how an attempt proceeds with a call. A call that was sent is never sent again.
pub fn decide_claim(
    row: Option<&ClaimRow>,
    attempt: RequestId,
    body_hash: &str,
    now_ms: u64,
) -> ClaimDecision {
    let Some(row) = row else { return ClaimDecision::Claim };
    if *row.body_hash != *body_hash {
        return ClaimDecision::KeyReused;
    }
    match &row.state {
        ClaimState::Done(answer, _) => ClaimDecision::Replay(answer.clone()),
        ClaimState::Sent if row.holder == attempt => ClaimDecision::AlreadyHeld,
        ClaimState::Sent if now_ms < row.sent_ms.saturating_add(row.deadline_ms) => {
            ClaimDecision::InProgress
        }
        ClaimState::Sent => ClaimDecision::OutcomeUnknown,
    }
}

/// The table key of a claim. It contains a hash of the idempotency key, not the key itself.
pub fn claim_key(account: &str, idempotency_key: &str) -> String {
    format!("claim/{account}/{}", hash_bytes(idempotency_key.as_bytes()))
}
