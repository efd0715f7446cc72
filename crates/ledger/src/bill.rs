//! Bills for single requests, and their amounts.

use config::Name;
use policy::{RequestId, Usage};
use serde::{Deserialize, Serialize};

/// The charge for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The id of the request. Retries of a request have the same id.
    pub id: RequestId,
    /// The client account that is charged.
    pub account: Name,
    /// The route.
    pub route: Name,
    /// The version or service that answered.
    pub version: Name,
    /// The tokens that the request used.
    pub usage: Usage,
    /// The amount charged, in millionths of a currency unit.
    pub amount_micro: u64,
    /// When the answer ended, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Computes the amount for `usage` at `cost_micro` per 1,000 tokens, rounded up.
pub fn amount_micro(usage: Usage, cost_micro: u64) -> u64 {
    let tokens = u64::from(usage.prompt_tokens) + u64::from(usage.output_tokens);
    (tokens.saturating_mul(cost_micro)).div_ceil(1_000)
}
