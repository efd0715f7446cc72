//! Messages of the membership protocol.

use config::Name;
use serde::{Deserialize, Serialize};

use crate::member::Member;

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A starting instance asks for the members that the receiver knows.
    Hello(Member),
    /// Answer to [`Message::Hello`].
    Welcome {
        /// The sender.
        from: Member,
        /// Live instances, those of the asking instance's domain first.
        members: Vec<Member>,
    },
    /// An instance tells its hub that it is alive.
    Report {
        /// The sender.
        from: Member,
        /// Hash of the roster that the sender last received; 0 if none.
        roster: u64,
    },
    /// A hub tells its domain and other hubs that it is alive.
    Beat {
        /// The hub.
        from: Member,
        /// Hash of the roster of its domain.
        roster: u64,
        /// Its own domain and, to instances of its domain, the other domains.
        domains: Vec<DomainSummary>,
    },
    /// The live instances of a domain, from its hub.
    Roster {
        /// The hub.
        from: Member,
        /// The live instances, including the hub.
        members: Vec<Member>,
    },
    /// The sender shuts down and takes no further part.
    Leave(Member),
}

/// What instances of other domains know of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The domain.
    pub domain: Name,
    /// Number of live instances.
    pub instances: u32,
    /// The first live instances in the succession.
    pub contacts: Vec<Member>,
}
