//! What a wire format has to tell the gateway, and the gateway it.

use std::time::Duration;

use config::Name;
use dispatch::{LoadReport, PromptPart};
use error::Kind;
use http::HeaderMap;

/// What a request says of itself beside method, path and body.
#[derive(Debug, Default)]
pub struct Intake {
    /// The id of this try of the caller.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The API key.
    pub key: Option<String>,
    /// The model that the caller names.
    pub model: Option<Name>,
    /// The prompt's parts in order.
    pub parts: Vec<PromptPart>,
    /// The most tokens that may be generated.
    pub output: u32,
    /// A hash of the session that the request belongs to.
    pub session: Option<u64>,
    /// The last event that the caller has of the same stream.
    pub resume_after: Option<u64>,
}

/// What the gateway decided about one send.
#[derive(Debug)]
pub struct Forward<'a> {
    /// The server that is meant; any other must not run the request.
    pub server: &'a str,
    /// What is left of the time.
    pub left: Duration,
    /// The client account.
    pub account: Option<&'a str>,
    /// The model, where the gateway chose it.
    pub model: Option<&'a str>,
    /// The rank at the server, 0 first.
    pub rank: Option<u8>,
    /// The last event that was passed on of the same stream.
    pub resume_after: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Debug, Default)]
pub struct Facts {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the server vouches for it.
    pub sealed: bool,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether another server than the one meant has the address.
    pub misdirected: bool,
    /// The server's load.
    pub report: Option<LoadReport>,
    /// The model's opinion of the answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the body is encoded, which nobody asked for.
    pub encoded: bool,
}

/// How requests and answers are spelled on the wire.
pub trait Dialect: 'static {
    /// Reads what a request's head says.
    fn intake(&self, head: &http::request::Parts) -> Result<Intake, Kind>;

    /// The headers of a request to a server.
    fn forward(&self, headers: &HeaderMap, forward: &Forward) -> HeaderMap;

    /// Reads what the head of an answer says.
    fn answer(&self, head: &http::response::Parts) -> Facts;

    /// The headers of an answer that go back to the caller.
    fn back(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds what a refusal carries beside its status and body.
    fn refuse(&self, id: &str, headers: &mut HeaderMap);
}
