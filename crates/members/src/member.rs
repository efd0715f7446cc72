//! An instance as the others know it.

use std::cmp::Reverse;
use std::net::SocketAddr;

use config::Name;
use policy::hash_parts;
use serde::{Deserialize, Serialize};

/// An instance as the others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address for messages between instances.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Random number drawn at the start of the process; tells a restarted process, or
    /// another instance at a reused address, from its predecessor.
    pub incarnation: u64,
    /// Bandwidth of the instance's link, in Mbit/s. Hubs are chosen by it, since they
    /// send a message to each instance of their domain.
    pub link_mbps: u32,
}

/// Sort key of the succession within a failure domain; every instance computes the same
/// one. The widest links come first.
pub(crate) type SuccessionKey = (Reverse<u32>, u64, SocketAddr);

impl Member {
    /// Returns the sort key of the succession.
    pub(crate) fn succession_key(&self) -> SuccessionKey {
        let hash = hash_parts(&[self.addr.to_string().as_bytes()]);
        (Reverse(self.link_mbps), hash, self.addr)
    }
}
