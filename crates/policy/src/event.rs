//! Events that the core handles.

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

/// The id of a request, shared by all its attempts and its bill.
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

/// The number of an attempt within its request, starting at 1.
pub type Attempt = u32;

/// An event for [`Core::step`](crate::Core::step).
#[derive(Debug, Clone)]
pub enum Event {
    /// A new configuration was loaded from the platform.
    ConfigLoaded(Arc<Snapshot>),
    /// The platform's list of backend servers was read.
    ServersListed(Vec<ServerInfo>),
    /// The configuration is confirmed until this monotonic time.
    ConfigConfirmed(Duration),
    /// Neither the platform nor any peer confirmed the configuration.
    ConfirmationFailed,
    /// A request arrived.
    Arrived(Arrival),
    /// The caller of a request disconnected.
    Cancelled(RequestId),
    /// The first byte of an attempt's answer was received.
    FirstByte(RequestId, Attempt),
    /// This many more tokens of an attempt's answer were received.
    Progress(RequestId, Attempt, u32),
    /// An attempt's answer is complete.
    Completed(RequestId, Attempt, Usage),
    /// An attempt failed.
    Failed(RequestId, Attempt, Failure),
    /// A backend server reported its load.
    LoadReported(Name, Report),
    /// A backend server announced that it is leaving.
    ServerLeaving(Name),
    /// The rating service rated an answer.
    AnswerRated(Rating),
    /// A digest was received from a peer.
    DigestReceived(Digest),
    /// A halt of a version was found in the table service.
    VersionHalted(HaltKey),
    /// The instance is shutting down.
    Drain,
    /// A periodic tick, which fires timers and runs periodic updates.
    Tick,
}

/// A newly arrived request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request's id.
    pub id: RequestId,
    /// The route that it names.
    pub route: Name,
    /// The client account that sent it.
    pub account: Name,
    /// The version that the request's session is pinned to, if it has a session.
    pub session: Option<Name>,
    /// The estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The caller's limit on the answer length, in tokens.
    pub max_tokens: Option<u32>,
    /// The hash of account, route and body, which identifies repeated requests.
    pub fingerprint: u64,
    /// The hash of the beginning of the prompt, used for prefix affinity.
    pub prefix: u64,
}

/// The token usage of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The number of output tokens.
    pub output_tokens: u32,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was written, for example because the connection failed.
    Unsent,
    /// The check before the send refused the request; nothing was written.
    SendRefused(Kind),
    /// The connection broke while the request was running.
    Crashed,
    /// The backend server answered with this error status.
    Status(u16),
    /// The answer, or its first byte, did not arrive in time.
    TimedOut,
    /// The answer carried the id of another request.
    Mismatch,
    /// The answer was truncated after part of it had been sent to the caller.
    Truncated,
}

/// A backend server's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// The server's name.
    pub id: Name,
    /// The server's address.
    pub addr: SocketAddr,
    /// The server's failure domain.
    pub domain: Name,
    /// The model versions that the server has loaded, or the services that it provides.
    pub serves: Vec<Name>,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
}

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new requests.
    Live,
    /// The server only finishes the requests that it has.
    Leaving,
}

/// A backend server's delayed report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The number of requests in flight from all entry instances.
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
    /// The prompt length bucket of the request.
    pub bucket: u8,
    /// The rating, from 0 to 1.
    pub score: f64,
}
