//! Membership of the installation, free of I/O: which instances exist, in which failure
//! domain, and which of them are alive.
//!
//! Each failure domain has a *hub*, the first of its live instances in a fixed order.
//! Instances report to their hub and its deputy; the hub tells its domain and the hubs
//! of the other domains what it learned. So an instance sends a bounded number of
//! messages however many instances there are, a hub one for each instance of its domain
//! and a few for each other domain. A hub that falls silent is succeeded by the next
//! instance in the order.
//!
//! [`Membership`] is a state machine: it takes the current time and received messages
//! and returns the messages to send.

mod member;
mod membership;
mod message;
mod roster;

pub use member::Member;
pub use membership::{Coordinator, Envelope, Membership, MembershipBuilder, Role};
pub use message::{DomainSummary, Message};
