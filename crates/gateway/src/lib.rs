//! Request forwarding: accepts requests from callers and proxies them to backend servers.
//!
//! An instance serves all requests on a single thread. [`Listener`] accepts the
//! callers' connections. Each request becomes an exchange, which asks the
//! `dispatch` crate for every decision (admission, placement, retries), sends
//! the request to a server and returns the response. [`Gateway`] holds the state
//! that all exchanges share. A [`Dialect`] translates between the headers of a
//! wire format and the types of this crate.

mod arrival;
mod blame;
mod body;
mod cold;
mod deferral;
mod digest;
mod era_support;
mod evacuations;
mod event_log;
mod events;
mod exchange;
mod fetch;
mod follow;
mod freshness;
mod gateway;
mod handover;
mod join;
mod listener;
mod metrics;
mod notices;
mod packed;
mod peers;
mod permits;
mod rate_limits;
mod reachability;
pub mod revision;
mod rollouts;
mod send;
mod server_news;
mod session_sharing;
mod status;
mod stream;
mod table;
mod tables;
mod updates;
mod wire;

pub use blame::{BlockedParts, keep_blocked_parts};
pub use deferral::YieldLabels;
pub use event_log::{EventLog, log_event};
pub use events::{Event, EventReader};
pub use follow::{FollowedStore, UnreadableRows};
pub use freshness::Freshness;
pub use gateway::{DrainSchedule, Gateway, GatewayBuilder, GatewaySettings};
pub use join::{MemberDirectory, join};
pub use listener::{DrainOutcome, Listener};
pub use metrics::Metrics;
pub use packed::{pack, unpack};
pub use peers::Peers;
pub use rollouts::{FinalStateResult, RolloutStore, StoredRollout, run_rollouts};
pub use status::serve_status;
pub use table::{Row, TableCopy, TableDelta};
pub use tables::{Follower, Page, StoreError, Tables};
pub use updates::{Changes, KnownRevision, TableUpdate, UpdateEffect, split_updates};
pub use wire::{Dialect, ForwardInfo, RequestInfo, ResponseInfo};
