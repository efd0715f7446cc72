//! Answers that the instance makes itself.

use bytes::Bytes;
use dropshot::Body;
use error::Refusal;
use http::{HeaderValue, Response, StatusCode};
use serde_json::json;

use crate::intake::Caller;

/// The header that gives the wait in milliseconds; `retry-after` has seconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// A plain text.
pub fn text(status: u16, text: &'static str) -> Response<Body> {
    bytes(status, "text/plain", Bytes::from_static(text.as_bytes()))
}

/// A body of a type.
pub fn bytes(status: u16, content_type: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// The answer of a refusal.
pub fn refusal(refusal: &Refusal) -> Response<Body> {
    let body = serde_json::to_vec(&refusal.body()).unwrap_or_default();
    let mut response = bytes(refusal.status(), "application/json", body.into());
    if let Some(ms) = refusal.retry_after_ms() {
        let headers = response.headers_mut();
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        headers.insert(RETRY_AFTER_MS, HeaderValue::from(ms));
    }
    response
}

/// The routes that an account may use, in the shape of the models list.
pub fn models(caller: &Caller) -> Response<Body> {
    let routes = caller.config.routes.values().filter(|route| route.allows(&caller.account.name));
    let models = routes.filter(|route| route.kind == config::RouteKind::Model);
    let data: Vec<serde_json::Value> = models
        .map(|r| json!({ "id": r.name, "object": "model", "created": 0, "owned_by": "lacewingchute" }))
        .collect();
    let body = json!({ "object": "list", "data": data }).to_string();
    bytes(200, "application/json", body.into())
}
