//! Refusals, and the proof of not having run that they carry.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::{Kind, Ran};

/// What is known of one request's having been written to a backend server.
///
/// The function that writes a request takes the proof and can't write without
/// a [`Writing`] from it. A refusal seals the proof first, so that no write
/// can follow a refusal that says "not run".
#[derive(Debug, Default)]
pub struct Proof {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    writes: u32,
    sealed: bool,
}

impl Proof {
    /// Makes the proof of a request that has just arrived.
    pub fn at_arrival() -> Self {
        Proof::default()
    }

    /// Allows one write; `None` once the request is refused.
    pub fn writing(&self) -> Option<Writing<'_>> {
        let mut state = self.state.lock().unwrap();
        if state.sealed {
            return None;
        }
        state.writes += 1;
        Some(Writing { proof: self })
    }

    /// Forbids all later writes; true if there was none.
    fn seal(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.sealed = true;
        state.writes == 0
    }
}

/// A write that is under way; unless it is taken back, it counts for good.
#[derive(Debug)]
#[must_use]
pub struct Writing<'a> {
    proof: &'a Proof,
}

impl Writing<'_> {
    /// Takes the write back, because no byte of the request went out.
    pub fn nothing_written(self) {
        self.proof.state.lock().unwrap().writes -= 1;
    }
}

/// The final answer to a request that is not answered by a backend server.
#[derive(Debug)]
pub struct Refusal {
    kind: Kind,
    not_run: bool,
    retry_after_ms: Option<u64>,
    detail: Option<String>,
}

impl Refusal {
    /// Refuses the request of the proof and seals it against later writes.
    pub fn new(kind: Kind, proof: &Proof) -> Self {
        let row = kind.row();
        let unsent = proof.seal();
        let not_run = unsent && row.ran != Ran::Maybe;
        Refusal { kind, not_run, retry_after_ms: row.retry_after_ms, detail: None }
    }

    /// Sets when the caller should come back, in milliseconds from now.
    pub fn retry_after(mut self, ms: Option<u64>) -> Self {
        self.retry_after_ms = ms.or(self.retry_after_ms);
        self
    }

    /// Adds what is particular to this refusal.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// The kind of the refusal.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Whether the refusal says that the request was not run.
    pub fn says_not_run(&self) -> bool {
        self.not_run
    }

    /// The HTTP status of the answer.
    pub fn status(&self) -> u16 {
        self.kind.row().status
    }

    /// When the caller should come back, in milliseconds, where that helps.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// The body of the answer.
    pub fn body(&self) -> RefusalBody {
        let row = self.kind.row();
        let message = match &self.detail {
            Some(detail) => format!("{} {detail}", row.message),
            None => row.message.to_owned(),
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

/// The JSON body of a refusal, in the shape that OpenAI client libraries read.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The only member.
    pub error: RefusalError,
}

/// What a refusal says.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalError {
    /// The error kind, under the member that OpenAI clients call `type`.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The same kind, under the member that OpenAI clients call `code`.
    pub code: Kind,
    /// One or two sentences for people.
    pub message: String,
    /// True only if no backend server ever saw the request.
    pub not_run: bool,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
