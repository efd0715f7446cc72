//! The difference between two sets of pieces.

use std::collections::BTreeMap;

use crate::{Name, PieceKey};

/// What a publication does to one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The piece is new.
    Added(PieceKey, Name),
    /// The piece is replaced.
    Replaced(PieceKey, Name),
    /// The piece is taken out.
    Removed(PieceKey),
}

impl Change {
    /// The piece that changes.
    pub fn key(&self) -> &PieceKey {
        match self {
            Change::Added(key, _) | Change::Replaced(key, _) | Change::Removed(key) => key,
        }
    }
}

/// The changes that turn `old` into one that has all of `new` and none of `removed`.
///
/// Both maps go from piece key to content hash. Pieces that `new` does not
/// mention stay as they are.
pub fn changes(
    old: &BTreeMap<PieceKey, Name>,
    new: &BTreeMap<PieceKey, Name>,
    removed: &[PieceKey],
) -> Vec<Change> {
    let mut changes = Vec::new();
    for (key, hash) in new {
        match old.get(key) {
            None => changes.push(Change::Added(key.clone(), hash.clone())),
            Some(before) if before != hash => {
                changes.push(Change::Replaced(key.clone(), hash.clone()));
            }
            Some(_) => {}
        }
    }
    let gone = removed.iter().filter(|key| old.contains_key(key));
    changes.extend(gone.map(|key| Change::Removed(key.clone())));
    changes
}
