//! Whether a request takes the way through another instance.
//!
//! Designed for instances that lose their links to most servers of a service while others
//! reach them: what is left can't carry the callers of such an instance, although the service
//! has room.

use crate::fleet::Reach;

/// Time that the way through another instance must save, in ms: a hop there and back, and the
/// work of the other instance.
const DETOUR_COST_MS: f64 = 25.0;

/// Whether the way through another instance is probably faster.
///
/// `own_ms` is the estimated time to the first byte over the own way; `None` if the servers
/// that are reached have no room. `whole_ms` is the same if all servers were reached.
pub fn is_detour_faster(reach: Reach, own_ms: Option<f64>, whole_ms: Option<f64>) -> bool {
    match (own_ms, whole_ms) {
        // Another instance may reach servers with room.
        (None, _) => reach.reached < reach.listed,
        (Some(own_ms), Some(whole_ms)) => reach.is_narrow() && own_ms > whole_ms + DETOUR_COST_MS,
        (Some(_), None) => false,
    }
}
