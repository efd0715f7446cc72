//! What entry instances say to each other, over Cap'n Proto RPC.
//!
//! The RPC library's futures stay on one thread, so [`Handle::start`] runs
//! them on a thread of their own and talks to it through channels.

mod client;
mod codec;
mod handle;
mod server;

#[allow(missing_docs, clippy::all, clippy::unimplemented)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use handle::{Handle, PeerError};
pub use server::{Answer, State};
