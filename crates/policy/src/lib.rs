//! The decision core: a deterministic state machine without I/O.
//!
//! [`Core::step`] takes an event and the time and returns actions. It opens no
//! socket, reads no clock and draws from one seeded generator, so that tests
//! and experiments in virtual time run the code that serves.

mod action;
mod balance;
mod budget;
mod core;
mod dispatch;
mod event;
mod evidence;
mod fresh;
mod hash;
mod lifecycle;
mod outcome;
mod pace;
mod peers;
mod poison;
mod pools;
mod quality;
mod queue;
mod servers;
mod settings;
mod versions;
mod work;

pub use crate::core::{Core, GRANT, Now, Standing, Status};
pub use action::{Action, Confirm, Send};
pub use balance::{Balance, Candidate, LeastInFlight, LeastWork, RandomOfTwo, RoundRobin};
pub use budget::Budget;
pub use event::{
    Arrival, Attempt, Event, Failure, Rating, Report, RequestId, ServerInfo, ServerState, Usage,
};
pub use evidence::{EPOCH_MS, EvidenceRow, HaltKey, Tally, Verdict, VersionKey, judge};
pub use hash::{hash_parts, hash_unit, mix, rendezvous};
pub use peers::{Digest, LoadHint, Member, PoisonRow};
pub use poison::Poison;
pub use quality::QualityRow;
pub use queue::{FairQueue, Waiting};
pub use settings::{Selection, Settings, Switches};
