//! The side towards callers: the listener, and what carries a request from
//! its arrival to the end of its answer.

mod answer;
mod attempt;
mod chat;
mod claims;
mod intake;
mod listener;
mod pump;
mod race;
mod service;

pub use listener::{App, Listener};
