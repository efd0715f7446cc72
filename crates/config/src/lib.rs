//! Route files, and the checked snapshot that an instance works from.
//!
//! Operators write TOML files beside each service's code. [`parse`] turns one
//! file into pieces and names every fault with its line and column;
//! [`Snapshot`] is the whole of what is in force under one number.

mod check;
mod diff;
mod file;
mod head;
mod model;
mod reference;

pub use check::{Fault, check_whole};
pub use diff::{Change, changes};
pub use file::parse;
pub use head::{Entry, HEAD_KEY, Head, Manifest, Past, hash_bytes};
pub use model::{
    Account, CutOff, Name, OnHalt, Piece, PieceKey, Rollout, Route, RouteKind, Snapshot, Stage,
    Step, Version, WorkClass,
};
pub use reference::{KEYS, KeyDoc, reference_markdown};
