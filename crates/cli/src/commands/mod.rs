//! The commands, one module each.

pub mod check;
pub mod dump;
pub mod entry;
mod operator;
pub mod publish;
pub mod statement;
pub mod status;
