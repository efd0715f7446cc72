//! The interface between the gateway and a wire format.

use std::time::Duration;

use config::Name;
use dispatch::{LoadReport, PromptPart, RateNotice};
use error::Kind;
use http::HeaderMap;

/// Metadata read from the headers of a caller's request.
#[derive(Debug, Default)]
pub struct RequestInfo {
    /// The id that the caller gave this attempt. Responses repeat it.
    pub id: String,
    /// How long the caller is willing to wait for the response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The model that the caller asked for.
    pub model: Option<Name>,
    /// The parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// The caller's estimate of the number of tokens to generate.
    pub length_hint: Option<u32>,
    /// A hash of the session id.
    pub session: Option<u64>,
    /// The id of the last event that the caller received, when it resumes a stream.
    pub resume_after: Option<u64>,
}

/// Metadata that the gateway adds to a request when it sends it to a server.
#[derive(Debug)]
pub struct ForwardInfo<'a> {
    /// The id of the intended server. Any other server must reject the request.
    pub server: &'a str,
    /// The time remaining until the deadline.
    pub remaining: Duration,
    /// The caller's client account.
    pub account: Option<&'a str>,
    /// The model, if the gateway chose it.
    pub model: Option<&'a str>,
    /// The priority in the server's queue, where 0 is served first.
    pub priority: Option<u8>,
    /// The id of the last event forwarded to the caller, when a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Metadata read from the headers of a server's response.
#[derive(Debug, Default)]
pub struct ResponseInfo {
    /// The id of the request that this response belongs to.
    pub id: Option<String>,
    /// Whether the response carries the seal with which a server confirms that the response
    /// is its own.
    pub sealed: bool,
    /// Whether the server states that it did not execute the request.
    pub not_run: bool,
    /// Whether a server other than the intended one responded, because it now has the address.
    pub misdirected: bool,
    /// The load that the server reports.
    pub report: Option<LoadReport>,
    /// Whether the server says that it shuts down.
    pub leaving: bool,
    /// How long a server that rejected the request wants no more from this instance.
    pub pause: Option<Duration>,
    /// Whether what the server says about either can't be read.
    pub invalid_notice: bool,
    /// Number of rejections in a second that the server survives, if it says that it is
    /// brittle: having to reject more makes it crash.
    pub max_rejections: Option<u32>,
    /// What the server says about the rate of requests that it takes.
    pub rate: RateNotice,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the body has a content encoding. The gateway never asks for one.
    pub encoded: bool,
}

/// Translates between HTTP headers and the gateway's types.
pub trait Dialect: 'static {
    /// Parses the headers of a caller's request.
    fn read_request(&self, head: &http::request::Parts) -> Result<RequestInfo, Kind>;

    /// Builds the headers of a request to a server from those of the caller's request.
    fn forward_headers(&self, headers: &HeaderMap, forward: &ForwardInfo) -> HeaderMap;

    /// Selects the headers of a caller's request that another instance needs to handle it.
    fn handover_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Parses the headers of a server's response.
    fn read_response(&self, head: &http::response::Parts) -> ResponseInfo;

    /// Selects the response headers that are returned to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds headers to a response with which the gateway refuses a request.
    fn add_refusal_headers(&self, id: &str, headers: &mut HeaderMap);
}
