//! Bills.

use config::Name;
use policy::{RequestId, Usage};
use serde::{Deserialize, Serialize};

/// What one request owes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The id under which the request is billed; a repeat has the same.
    pub id: RequestId,
    /// The client account that owes it.
    pub account: Name,
    /// The route.
    pub route: Name,
    /// The version or service that answered.
    pub version: Name,
    /// What the answer used.
    pub usage: Usage,
    /// What is owed, in millionths.
    pub amount_micro: u64,
    /// When the answer ended, in milliseconds since 1970.
    pub at_ms: u64,
}

/// What tokens cost at a price for 1,000 of them, rounded up.
pub fn amount_micro(usage: Usage, cost_micro: u64) -> u64 {
    let tokens = u64::from(usage.prompt_tokens) + u64::from(usage.output_tokens);
    (tokens.saturating_mul(cost_micro)).div_ceil(1_000)
}
