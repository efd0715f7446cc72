//! The decisions of the forwarding path, without I/O.
//!
//! Every function takes the time and an explicit picture of routes and
//! servers. What each module decides, and the load it answers:
//!
//! - [`Admission`]: which requests are turned away, and until when (more work
//!   than the servers can finish in time);
//! - [`place()`]: which server gets a request (uneven servers, stale reports,
//!   prompts that share parts);
//! - [`Cascade`]: which model answers first, and when a larger one answers
//!   instead;
//! - [`RetryBudget`]: whether a request may be sent again;
//! - [`Rollout`]: which version of a service gets a request;
//! - [`ReadDuty`]: which instance reads the store for its domain.

mod admit;
mod budget;
mod cascade;
mod catalog;
mod fleet;
mod place;
mod reading;
mod rollout;
mod sessions;

pub use admit::{Admission, Verdict};
pub use budget::RetryBudget;
pub use cascade::{Cascade, Doubt, Pressure};
pub use catalog::{
    Account, Catalog, Engine, EngineModel, Limits, Repeat, Route, RouteTable, Service, Target,
};
pub use fleet::{Fleet, Outcome, PartKey, Report, Server, ServerInfo, Work};
pub use place::{Ask, NoPlace, Part, Placement, place};
pub use reading::{ReadDuty, ReadStep, WORD_COUNTS, read_group};
pub use rollout::{Decision, Order, Phase, Rollout, RolloutState, Sample, Side, Tally, may_try};
pub use sessions::Sessions;

/// Monotonic time since the start of the process.
pub type Mono = std::time::Duration;
