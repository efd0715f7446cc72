//! What happens to the decision core.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use config::{Name, Snapshot};
use error::Kind;
use serde::{Deserialize, Serialize};

use crate::evidence::HaltKey;
use crate::peers::Digest;

/// The id of a request, the same for every attempt and for the bill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(RequestId)
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for RequestId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// The number of an attempt within its request, from 1.
pub type Attempt = u32;

/// One event.
#[derive(Debug, Clone)]
pub enum Event {
    /// A configuration was accepted by the platform.
    Configured(Arc<Snapshot>),
    /// The list of backend servers was read.
    Listed(Vec<ServerInfo>),
    /// The configuration is confirmed up to this monotonic time.
    Confirmed(Duration),
    /// Neither the platform nor any peer confirmed the configuration.
    Unconfirmed,
    /// A request arrived.
    Arrived(Arrival),
    /// The caller of a request went away.
    Cancelled(RequestId),
    /// The first byte of an attempt's answer came.
    FirstByte(RequestId, Attempt),
    /// An attempt's answer grew by this many tokens.
    Progress(RequestId, Attempt, u32),
    /// An attempt's answer is whole.
    Done(RequestId, Attempt, Usage),
    /// An attempt failed.
    Failed(RequestId, Attempt, Failure),
    /// A backend server reported its load.
    Reported(Name, Report),
    /// A backend server said that it is leaving.
    Leaving(Name),
    /// The rating service rated an answer.
    Rated(Rating),
    /// A peer's digest came.
    Merged(Digest),
    /// A halt was found in the table.
    Halted(HaltKey),
    /// The instance shuts down.
    Drain,
    /// Time passed.
    Tick,
}

/// A request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request's id.
    pub id: RequestId,
    /// The route that it names.
    pub route: Name,
    /// The client account that sent it.
    pub account: Name,
    /// The version of its session, if it carries one.
    pub session: Option<Name>,
    /// The length of the prompt in tokens, estimated.
    pub prompt_tokens: u32,
    /// The longest answer that the caller wants, in tokens.
    pub max_tokens: Option<u32>,
    /// The hash of account, route and body, by which repeats are known.
    pub fingerprint: u64,
    /// The hash of the start of the prompt, for prefix affinity.
    pub prefix: u64,
}

/// What an answer used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was written.
    Unsent,
    /// The last check before the send said no; nothing was written.
    Forbidden(Kind),
    /// The connection broke while the request ran.
    Crashed,
    /// The backend server answered with this failing status.
    Status(u16),
    /// No first byte came in time.
    Silent,
    /// The answer carried another request's id.
    Mismatch,
    /// The answer was cut after bytes of it had reached the caller.
    Cut,
}

/// A backend server, as the platform's list has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// The server's name.
    pub id: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The failure domain that it stands in.
    pub domain: Name,
    /// The model versions that it has loaded, or the services that it is.
    pub serves: Vec<Name>,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It does.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// A backend server's report of its own load, which comes late.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests in flight from all entry instances.
    pub in_flight: u32,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
}

/// A rating of one answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Rating {
    /// The route of the request.
    pub route: Name,
    /// The version that answered.
    pub version: Name,
    /// The length class of the request.
    pub bucket: u8,
    /// The rating, from 0 to 1.
    pub score: f64,
}
