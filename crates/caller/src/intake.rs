//! What is read and checked of a request before it is brought to the core.

use std::sync::Arc;

use config::{Account, Name, Snapshot, hash_bytes};
use dropshot::StreamingBody;
use error::{Kind, NotRunProof, Refusal};
use futures::{StreamExt, pin_mut};
use http::HeaderMap;

use crate::listener::App;

/// The header that carries the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
const LONGEST_KEY: usize = 256;
/// The header that carries the version of a session.
pub const SESSION_HEADER: &str = "x-session-token";

/// Who calls, under which configuration.
pub struct Caller {
    /// The client account.
    pub account: Arc<Account>,
    /// The configuration by which it was recognized.
    pub config: Arc<Snapshot>,
}

/// Recognizes the client account by its API key.
pub fn authenticate(
    app: &App,
    headers: &HeaderMap,
    proof: &NotRunProof,
) -> Result<Caller, Refusal> {
    let config = app.shared.router.with_core(|core, _| core.config().cloned());
    let config = config.ok_or_else(|| Refusal::new(Kind::NotReady, proof))?;
    let header = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    // Keys are found by their hash, so no comparison depends on the key's own bytes.
    let account = key.and_then(|key| config.keys.get(&hash_bytes(key.trim().as_bytes())));
    match account.cloned() {
        Some(account) => Ok(Caller { account, config }),
        None => Err(Refusal::new(Kind::UnknownKey, proof)),
    }
}

/// The idempotency key, if there is one.
pub fn idempotency_key(
    headers: &HeaderMap,
    proof: &NotRunProof,
) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= LONGEST_KEY => Ok(Some(key.to_owned())),
        _ => {
            let detail = "It must have 1 to 256 printable ASCII characters.";
            Err(Refusal::new(Kind::KeyMissing, proof).detail(detail))
        }
    }
}

/// The version that the session token names, if the token is of this route.
pub fn session(headers: &HeaderMap, route: &str) -> Option<Name> {
    let token = headers.get(SESSION_HEADER)?.to_str().ok()?;
    let (of, version) = token.split_once('/')?;
    (of == route && !version.is_empty()).then(|| Name::from(version))
}

/// The session token of a version.
pub fn session_token(route: &str, version: &str) -> String {
    format!("{route}/{version}")
}

/// Reads the body up to the limit.
pub async fn read_body(
    app: &App,
    body: StreamingBody,
    proof: &NotRunProof,
) -> Result<Vec<u8>, Refusal> {
    let stream = body.into_stream();
    pin_mut!(stream);
    let mut whole = Vec::new();
    loop {
        let part = match tokio::time::timeout(app.body_wait, stream.next()).await {
            Ok(Some(part)) => part,
            Ok(None) => return Ok(whole),
            Err(_) => return Err(Refusal::new(Kind::BodyCut, proof)),
        };
        match part {
            Ok(bytes) if whole.len() + bytes.len() <= app.body_limit => {
                whole.extend_from_slice(&bytes);
            }
            Ok(_) => return Err(too_large(app, proof)),
            Err(error) if is_too_large(&error) => return Err(too_large(app, proof)),
            Err(_) => return Err(Refusal::new(Kind::BodyCut, proof)),
        }
    }
}

fn too_large(app: &App, proof: &NotRunProof) -> Refusal {
    let detail = format!("The limit is {} bytes.", app.body_limit);
    Refusal::new(Kind::BodyTooLarge, proof).detail(detail)
}

fn is_too_large(error: &dropshot::HttpError) -> bool {
    error.status_code.as_u16() == 413 || error.internal_message.contains("maximum size")
}
