//! Generates the ids of requests and bills.

use policy::{RequestId, hash_parts};

/// Generates a request id. The upper bits hold the wall-clock time, so that ids sort by
/// creation time.
pub fn new_id(wall_ms: u64) -> RequestId {
    let random = u128::from(rand::random::<u64>()) << 16 | u128::from(rand::random::<u16>());
    RequestId((u128::from(wall_ms) << 80) | random)
}

/// Returns the id under which a request with an idempotency key is billed.
///
/// A repeated request has the same id on every instance; a request with another body
/// has a different one.
pub fn bill_id(account: &str, key: &str, body: &[u8]) -> RequestId {
    let part =
        |salt: &[u8]| u128::from(hash_parts(&[salt, account.as_bytes(), key.as_bytes(), body]));
    RequestId(part(b"high") << 64 | part(b"low"))
}
