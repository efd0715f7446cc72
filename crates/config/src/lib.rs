//! Route files, and the validated configuration snapshot that an instance uses.
//!
//! Operators keep TOML files next to each service's code. [`parse`] converts
//! one file into pieces, or reports all errors with their lines and columns.
//! [`Snapshot`] is the complete configuration that is active under one number.

mod check;
mod diff;
mod file;
mod head;
mod model;
mod readable;
mod reference;

pub use check::{Diagnostic, check_all};
pub use diff::{Change, changes};
pub use file::parse;
pub use head::{AcceptedPublication, HEAD_KEY, Head, Manifest, ManifestEntry, hash_bytes};
pub use model::{
    Account, CutOff, Name, OnHalt, Piece, PieceKey, Rollout, Route, RouteKind, Snapshot, Stage,
    Step, Version, WorkClass,
};
pub use readable::{Readable, ReportedEntries, UnreadableEntry, parse_lossy, value_or_null};
pub use reference::{KEYS, KeyDoc, reference_markdown};
