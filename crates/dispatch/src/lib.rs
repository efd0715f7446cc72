//! Forwarding decisions, free of I/O.
//!
//! Every function takes the current time and the state of routes and servers as
//! arguments.
//! The modules decide (in parentheses, the conditions they are designed for):
//!
//! - [`Admission`]: which requests are rejected, and when callers may retry (load
//!   that exceeds what the servers finish in time);
//! - [`Yielding`]: which requests wait so that more urgent ones don't wait behind them (bursts
//!   of long prompts of low priority);
//! - [`place()`]: which server gets a request (uneven servers, stale load reports,
//!   prompts that share parts);
//! - [`Regions`]: which servers and instances may get a request (data that must stay in a region);
//! - [`Cascade`]: which model answers first, and when a larger one is asked instead;
//! - [`RunSize`]: what a better answer is worth against the run of a larger model (requests
//!   whose lengths differ by a factor of a hundred);
//! - [`RetryBudget`]: whether a request may be sent again;
//! - [`Blame`]: which parts of prompts are kept from the servers (requests that crash
//!   each server which answers them);
//! - [`PermitIssuer`]: whether a request may go to a server that limits its rate (limits
//!   that all instances share);
//! - [`ColdLimit`]: how many permits a cold server's coordinator issues (servers that accept few
//!   requests after their start);
//! - [`Brittleness`]: which servers are brittle (services whose servers become so together,
//!   of which an instance hears from few);
//! - [`SlotIssuer`]: whether a request may go to a brittle server (slots that all instances
//!   share);
//! - [`Helpers`]: which instance sends a request on behalf of this one (links to the
//!   servers that this instance lost and others have);
//! - [`Rollout`]: which version of a service gets a request;
//! - [`TestServer`]: which requests load a server of a new version before all requests shift
//!   to it (versions that are bad only under load);
//! - [`find_regression()`]: whether a new version fails more often (versions that fail on some
//!   routes or under load only);
//! - [`PaceByLoad`]: whether a new version is slow (servers of which some are idle);
//! - [`PaceReference`]: whether an answer of a new version is slow (versions that begin
//!   their answers in time and then are several times slower);
//! - [`ReaderElection`]: which instance reads the store for the others;
//! - [`PollSchedule`]: when an instance polls the store, and again if an answer is lost.

mod admission;
mod blame;
mod brittleness;
mod budget;
mod cascade;
mod catalog;
mod cold;
mod deferral;
mod detour;
mod fleet;
mod helpers;
mod load_test;
mod pace;
mod pace_by_load;
mod place;
mod poll_schedule;
mod rate_limit;
mod reader_election;
mod regions;
mod regression;
mod rollout;
mod route_stats;
mod run_value;
mod session_outbox;
mod sessions;
mod slots;

pub use admission::{Admission, AdmissionDecision};
pub use blame::{
    Blame, BlameChange, BlameReport, BlockReport, CrashedRequest, MergeOutcome, Verdict,
};
pub use brittleness::{BrittleNotice, Brittleness};
pub use budget::RetryBudget;
pub use cascade::{Cascade, Escalation, EscalationContext, KeepReason, Pressure};
pub use catalog::{
    Account, Catalog, Engine, EngineModel, Limits, RetryMode, Route, RouteTable, Service, Target,
};
pub use cold::{ColdLimit, ColdNotice, ColdStart};
pub use deferral::{
    AdmitReason, Arrival, BacklogBounds, ServerBacklog, Ticket, YieldDecision, YieldRequest,
    Yielding,
};
pub use detour::is_detour_faster;
pub use fleet::{Fleet, LoadReport, Outcome, PromptPartKey, Reach, Server, ServerInfo, ServerLoad};
pub use helpers::{HelperCandidate, HelperOutcome, Helpers};
pub use load_test::{Exposure, ExposureLimit, RouteTime, TestRequest, TestServer, test_server};
pub use pace::{AnswerTimes, PaceClass, PaceReference, StreamPace};
pub use pace_by_load::{PaceByLoad, PaceComparison};
pub use place::{
    Placement, PlacementError, PlacementRequest, PromptPart, place, prompt_processing_ms,
};
pub use poll_schedule::{PollSchedule, PollSituation, PollStep, READER_POLL_WAIT};
pub use rate_limit::{PermitDecision, PermitIssuer, RateLimit, RateNotice, Refill};
pub use reader_election::{FeedMode, READER_TIMEOUT, ReaderElection};
pub use regions::{AllowedRegions, Regions};
pub use regression::{Regression, failure_evidence, find_regression, pooled_evidence};
pub use rollout::{
    Decision, LoadTest, Phase, Rollout, RolloutOrder, RolloutState, RolloutStats, Sample, Side,
    in_canary,
};
pub use route_stats::{Counts, RolloutAnswer, RouteDetails, RouteStats, ServerCounts};
pub use run_value::RunSize;
pub use session_outbox::SessionOutbox;
pub use sessions::Sessions;
pub use slots::{SlotIssuer, SlotRequest, SlotUse};

/// Monotonic time since the start of the process.
pub type MonotonicTime = std::time::Duration;
