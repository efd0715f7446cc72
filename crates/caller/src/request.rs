//! Authenticates callers, and reads headers and bodies of their requests.

use std::sync::Arc;

use config::{Account, Name, Snapshot, hash_bytes};
use dropshot::StreamingBody;
use error::{Kind, NotRunProof, Refusal};
use futures::{StreamExt, pin_mut};
use http::HeaderMap;

use crate::listener::App;

/// The header that carries the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// The header that carries the session token.
pub const SESSION_HEADER: &str = "x-session-token";

/// An authenticated caller.
pub struct Caller {
    /// The client account.
    pub account: Arc<Account>,
    /// The configuration under which it was authenticated.
    pub config: Arc<Snapshot>,
}

/// Finds the client account of a request by its API key.
pub fn authenticate(
    app: &App,
    headers: &HeaderMap,
    proof: &NotRunProof,
) -> Result<Caller, Refusal> {
    let config = app.shared.router.with_core(|core, _| core.config().cloned());
    let config = config.ok_or_else(|| Refusal::new(Kind::NotReady, proof))?;
    let header = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    // The lookup is by the key's hash, so its timing does not depend on the key's bytes.
    let account = key.and_then(|key| config.keys.get(&hash_bytes(key.trim().as_bytes())));
    match account.cloned() {
        Some(account) => Ok(Caller { account, config }),
        None => Err(Refusal::new(Kind::UnknownKey, proof)),
    }
}

/// Returns the idempotency key, if the request has one.
pub fn idempotency_key(
    headers: &HeaderMap,
    proof: &NotRunProof,
) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(Some(key.to_owned()))
        }
        _ => {
            let detail = "It must have 1 to 256 printable ASCII characters.";
            Err(Refusal::new(Kind::KeyMissing, proof).detail(detail))
        }
    }
}

/// Returns the version that the session token names, if the token belongs to `route`.
pub fn session_version(headers: &HeaderMap, route: &str) -> Option<Name> {
    let token = headers.get(SESSION_HEADER)?.to_str().ok()?;
    let (token_route, version) = token.split_once('/')?;
    (token_route == route && !version.is_empty()).then(|| Name::from(version))
}

/// Builds the session token for a version of a route.
pub fn session_token(route: &str, version: &str) -> String {
    format!("{route}/{version}")
}

/// Reads the body, up to the body limit.
pub async fn read_body(
    app: &App,
    stream: StreamingBody,
    proof: &NotRunProof,
) -> Result<Vec<u8>, Refusal> {
    let stream = stream.into_stream();
    pin_mut!(stream);
    let mut body = Vec::new();
    loop {
        let chunk = match tokio::time::timeout(app.body_read_timeout, stream.next()).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Ok(body),
            Err(_) => return Err(Refusal::new(Kind::BodyCut, proof)),
        };
        match chunk {
            Ok(bytes) if body.len() + bytes.len() <= app.max_body_bytes => {
                body.extend_from_slice(&bytes);
            }
            Ok(_) => return Err(too_large(app, proof)),
            Err(error) if is_too_large(&error) => return Err(too_large(app, proof)),
            Err(_) => return Err(Refusal::new(Kind::BodyCut, proof)),
        }
    }
}

fn too_large(app: &App, proof: &NotRunProof) -> Refusal {
    let detail = format!("The limit is {} bytes.", app.max_body_bytes);
    Refusal::new(Kind::BodyTooLarge, proof).detail(detail)
}

fn is_too_large(error: &dropshot::HttpError) -> bool {
    error.status_code.as_u16() == 413 || error.internal_message.contains("maximum size")
}
