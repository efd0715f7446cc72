//! Request routing decisions as a state machine without I/O.
//!
//! [`Core::step`] takes an event and the current time and returns actions. It performs
//! no I/O, reads no clock, and draws random numbers from a single seeded generator, so
//! tests and simulations in virtual time run the same code as production.
//!
//! The iteration order of its hash maps is not seeded, so two runs with the same events
//! and the same seed can order queued requests and draw random numbers differently.

mod action;
mod balance;
mod budget;
mod core;
mod dispatch;
mod event;
mod evidence;
mod hash;
mod latency;
mod lease;
mod lifecycle;
mod outcome;
mod peers;
mod poison;
mod pools;
mod quality;
mod queue;
mod servers;
mod settings;
mod versions;
mod work;

pub use crate::core::{CONFIRMATION_TTL, Core, Freshness, Now, Status};
pub use action::{Action, SendCheck, SendOrder};
pub use balance::{Balancer, Candidate, LeastInFlight, LeastWork, PowerOfTwoChoices, RoundRobin};
pub use budget::Budget;
pub use event::{
    Arrival, Attempt, Event, Failure, Rating, Report, RequestId, ServerInfo, ServerState, Usage,
};
pub use evidence::{EPOCH_MS, EvidenceRow, HaltKey, HaltReason, Tally, VersionKey, evaluate};
pub use hash::{hash_parts, hash_unit, mix, rendezvous};
pub use peers::{Digest, LoadHint, Member, PoisonRow};
pub use poison::Poison;
pub use quality::QualityRow;
pub use queue::{FairQueue, QueuedRequest};
pub use settings::{Selection, Settings, Switches};
