//! The listener for callers, and the handling of their requests from arrival
//! to the end of the response.

mod attempt;
mod chat;
mod claims;
mod listener;
mod relay;
mod request;
mod response;
mod race;
mod service;

pub use listener::{App, Listener};
