//! Forwarding of requests to the servers of their routes.
//!
//! One process serves on one thread. [`Front`] takes callers' connections,
//! an exchange carries each request through the decisions of the `dispatch`
//! crate to servers and back, and [`Gateway`] holds what all of them share.
//! A [`Dialect`] says how requests and answers are spelled on the wire.

mod arrival;
mod digest;
mod events;
mod exchange;
mod follow;
mod front;
mod gateway;
mod metrics;
mod packed;
mod peers;
mod ready;
mod record;
mod reply;
mod rollouts;
mod send;
mod stream;
mod updates;
mod wire;

pub use events::{Event, EventReader};
pub use follow::{FollowedStore, Follower, Page, Row, StoreError, Tables, UnreadableRows};
pub use front::{Drained, Front};
pub use gateway::{Gateway, GatewayBuilder, Leaving, Setup};
pub use metrics::Metrics;
pub use packed::{pack, unpack};
pub use peers::Peers;
pub use ready::serve_status;
pub use record::{Budgeted, record};
pub use rollouts::{RolloutStore, SettleResult, run_rollouts};
pub use updates::{Changes, KnownRevision, TableUpdate, UpdateEffect, WireRow, split_updates};
pub use wire::{Dialect, Facts, Forward, Intake};
