//! Ids of requests and bills.

use policy::{RequestId, hash_parts};

/// A new request id: the time in its upper bits, so that ids sort by it.
pub fn new_id(wall_ms: u64) -> RequestId {
    let random = u128::from(rand::random::<u64>()) << 16 | u128::from(rand::random::<u16>());
    RequestId((u128::from(wall_ms) << 80) | random)
}

/// The id under which a request with an idempotency key is billed.
///
/// A repeat on any instance has the same id; another body has another one.
pub fn bill_id(account: &str, key: &str, body: &[u8]) -> RequestId {
    let part =
        |salt: &[u8]| u128::from(hash_parts(&[salt, account.as_bytes(), key.as_bytes(), body]));
    RequestId(part(b"high") << 64 | part(b"low"))
}
