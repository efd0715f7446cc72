//! Bodies of answers to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use error::Refusal;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer ended before it was whole; the connection is closed without its end.
#[derive(Debug)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer ended before it was whole")
    }
}

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Reply {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Parts(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Reply {
    /// A body of these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes: Bytes = bytes.into();
        Reply::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Reply::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Reply::Parts(parts) => {
                parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Reply::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Reply::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Reply::Parts(_) => SizeHint::default(),
        }
    }
}

/// The answer of a refusal.
///
/// A status that promises "not run" is sent only with the proof of it.
pub fn refused(refusal: &Refusal) -> Response<Reply> {
    let status = match refusal.status() {
        429 | 503 if !refusal.says_not_run() => 502,
        422 => 502,
        status => status,
    };
    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
    let mut response = Response::new(Reply::whole(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let (429 | 503, Some(ms)) = (status, refusal.retry_after_ms())
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", ms as f64 / 1e3))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
