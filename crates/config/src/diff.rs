//! Computes the changes between two sets of pieces.

use std::collections::BTreeMap;

use crate::{Name, PieceKey};

/// What a publication does to one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The piece is new.
    Added(PieceKey, Name),
    /// The piece is replaced.
    Replaced(PieceKey, Name),
    /// The piece is removed.
    Removed(PieceKey),
}

impl Change {
    /// The key of the changed piece.
    pub fn key(&self) -> &PieceKey {
        match self {
            Change::Added(key, _) | Change::Replaced(key, _) | Change::Removed(key) => key,
        }
    }
}

/// Computes the changes that add all of `new` to `old` and remove `removed`.
///
/// Both maps go from piece key to content hash. Pieces that are neither in
/// `new` nor in `removed` are left unchanged.
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
    let existing = removed.iter().filter(|key| old.contains_key(key));
    changes.extend(existing.map(|key| Change::Removed(key.clone())));
    changes
}
