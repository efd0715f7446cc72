//! Bodies of the responses sent to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use error::Refusal;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The response ended before it was complete.
///
/// When a body returns this error, hyper closes the connection without terminating the
/// message, so that the caller can tell that the response is incomplete.
#[derive(Debug)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response ended before it was complete")
    }
}

impl std::error::Error for Truncated {}

impl From<Infallible> for Truncated {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body.
    Full(Option<Bytes>),
    /// A body that is sent chunk by chunk as it arrives. It is truncated unless its sender says
    /// that it is complete.
    Stream(mpsc::Receiver<Chunk>),
}

/// A part of a body that is sent as it arrives.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes: Bytes = bytes.into();
        ResponseBody::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Stream(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// Builds the response for a refused request.
///
/// A status of 429 or 503 promises that the request did not run, so it is sent only if the
/// refusal proves that. Otherwise, 502 is sent. 422 is always replaced by 502.
pub fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let status = match refusal.status() {
        429 | 503 if !refusal.not_run() => 502,
        422 => 502,
        status => status,
    };
    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
    let mut response = Response::new(ResponseBody::full(body));
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
