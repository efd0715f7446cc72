//! Communication between entry instances over Cap'n Proto RPC.
//!
//! The futures of the RPC library are not `Send`, so [`Handle::start`] runs them
//! on a dedicated thread and communicates with it through channels.

mod client;
mod codec;
mod handle;
mod server;

#[allow(missing_docs, clippy::all, clippy::unimplemented)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use handle::{Handle, PeerError};
pub use server::{PeerState, RequestHandler};
