//! Refusals, and the proof that a refused request was not executed.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::{Execution, Kind};

/// Tracks whether a request has been written to a backend server.
///
/// Every write of the request requires a [`WritePermit`] from its proof.
/// Creating a [`Refusal`] seals the proof, so that no write can follow a
/// refusal that reports the request as not run.
#[derive(Debug, Default)]
pub struct NotRunProof {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    writes: u32,
    sealed: bool,
}

impl NotRunProof {
    /// Creates the proof for a request that has not been written yet.
    pub fn new() -> Self {
        NotRunProof::default()
    }

    /// Grants one write; `None` if the request has been refused.
    pub fn permit_write(&self) -> Option<WritePermit<'_>> {
        let mut state = self.state.lock().unwrap();
        if state.sealed {
            return None;
        }
        state.writes += 1;
        Some(WritePermit { proof: self })
    }

    /// Prevents all later writes; returns `true` if nothing was written before.
    fn seal(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.sealed = true;
        state.writes == 0
    }
}

/// The permission for one write to a backend server.
///
/// The write counts as done unless the permit is canceled.
#[derive(Debug)]
#[must_use]
pub struct WritePermit<'a> {
    proof: &'a NotRunProof,
}

impl WritePermit<'_> {
    /// Withdraws the write, because no byte of the request was sent.
    pub fn cancel(self) {
        self.proof.state.lock().unwrap().writes -= 1;
    }
}

/// The final response to a request that no backend server answered.
#[derive(Debug)]
pub struct Refusal {
    kind: Kind,
    not_run: bool,
    retry_after_ms: Option<u64>,
    detail: Option<String>,
}

impl Refusal {
    /// Refuses the request that `proof` belongs to, and seals the proof against
    /// later writes.
    pub fn new(kind: Kind, proof: &NotRunProof) -> Self {
        let spec = kind.spec();
        let never_written = proof.seal();
        let not_run = never_written && spec.execution != Execution::Possible;
        Refusal { kind, not_run, retry_after_ms: spec.retry_after_ms, detail: None }
    }

    /// Sets the suggested retry delay, in milliseconds. `None` keeps the default
    /// of the error kind.
    pub fn retry_after(mut self, ms: Option<u64>) -> Self {
        self.retry_after_ms = ms.or(self.retry_after_ms);
        self
    }

    /// Adds details about this refusal to its message.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// The error kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Whether the response states that the request was not executed.
    pub fn not_run(&self) -> bool {
        self.not_run
    }

    /// The HTTP status of the response.
    pub fn status(&self) -> u16 {
        self.kind.spec().status
    }

    /// The suggested retry delay in milliseconds, if a retry may help.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// The body of the response.
    pub fn body(&self) -> RefusalBody {
        let spec = self.kind.spec();
        let message = match &self.detail {
            Some(detail) => format!("{} {detail}", spec.message),
            None => spec.message.to_owned(),
        };
        RefusalBody {
            error: RefusalError {
                kind: self.kind,
                code: self.kind,
                message,
                not_run: self.not_run,
                retry_after_ms: self.retry_after_ms,
            },
        }
    }
}

/// The JSON body of a refusal, in the format that OpenAI client libraries expect.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The error object.
    pub error: RefusalError,
}

/// The error object of a refusal.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalError {
    /// The error kind, in the field that OpenAI clients read as `type`.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The same kind, in the field that OpenAI clients read as `code`.
    pub code: Kind,
    /// A human-readable message of one or two sentences.
    pub message: String,
    /// True only if the request was never sent to a backend server.
    pub not_run: bool,
    /// The suggested retry delay in milliseconds.
    pub retry_after_ms: Option<u64>,
}
