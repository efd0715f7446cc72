//! The commands, with one module for each.

pub mod check;
pub mod dump;
pub mod entry;
pub mod node;
mod operator;
pub mod publish;
pub mod statement;
pub mod status;
