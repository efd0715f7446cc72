//! Responses that the instance builds itself.

use bytes::Bytes;
use dropshot::Body;
use error::Refusal;
use http::{HeaderValue, Response, StatusCode};
use serde_json::json;

use crate::request::Caller;

/// The wait before a retry in milliseconds; `retry-after` gives it in seconds.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Builds a plain text response.
pub fn text(status: u16, text: &'static str) -> Response<Body> {
    with_body(status, "text/plain", Bytes::from_static(text.as_bytes()))
}

/// Builds a response with a body of the given content type.
pub fn with_body(status: u16, content_type: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// Builds the response for a refusal.
pub fn refusal(refusal: &Refusal) -> Response<Body> {
    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
    let mut response = with_body(refusal.status(), "application/json", body.into());
    if let Some(ms) = refusal.retry_after_ms() {
        let headers = response.headers_mut();
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(ms));
    }
    response
}

/// Lists the model routes that the account may use, in the OpenAI format.
pub fn models(caller: &Caller) -> Response<Body> {
    let routes = caller.config.routes.values().filter(|route| route.allows(&caller.account.name));
    let models = routes.filter(|route| route.kind == config::RouteKind::Model);
    let data: Vec<serde_json::Value> = models
        .map(|r| json!({ "id": r.name, "object": "model", "created": 0, "owned_by": "lacewingchute" }))
        .collect();
    let body = json!({ "object": "list", "data": data }).to_string();
    with_body(200, "application/json", body.into())
}
