//! What publishing adds to pieces: generations and starts of roll-outs.

use config::{Piece, Route, Version, hash_bytes};

/// Where a publication stands: the number and the time that it is accepted under.
#[derive(Debug, Clone, Copy)]
pub struct Acceptance {
    /// The number of the head row.
    pub number: u64,
    /// The time in milliseconds since 1970.
    pub at_ms: u64,
}

/// The hash of a piece as its operator wrote it.
pub fn source_hash(piece: &Piece) -> config::Name {
    hash_bytes(&bytes(piece))
}

/// The content of a piece's object.
pub fn bytes(piece: &Piece) -> Vec<u8> {
    // Pieces have no maps with keys that JSON can't hold.
    serde_json::to_vec(piece).unwrap_or_default()
}

/// Completes a piece that replaces `old`.
///
/// A version that did not change keeps its generation, and with it its halts;
/// a roll-out whose steps did not change keeps its start.
pub fn complete(piece: &Piece, old: Option<&Piece>, now: Acceptance, renew: &[String]) -> Piece {
    let Piece::Route(route) = piece else { return piece.clone() };
    let old = match old {
        Some(Piece::Route(old)) => Some(old),
        Some(Piece::Account(_)) | None => None,
    };
    let mut route = route.clone();
    let name = route.name.clone();
    for version in &mut route.versions {
        let renewed = renew.contains(&format!("{name}/{}", version.name));
        complete_version(version, old, now, renewed);
    }
    Piece::Route(route)
}

fn complete_version(version: &mut Version, old: Option<&Route>, now: Acceptance, renewed: bool) {
    let before = old.and_then(|route| route.version(&version.name));
    let same_steps = |before: &&Version| match (&before.rollout, &version.rollout) {
        (Some(old), Some(new)) => old.steps == new.steps,
        _ => false,
    };
    let kept_start = before.filter(same_steps).and_then(|before| before.rollout.as_ref());
    let start_ms = kept_start.filter(|_| !renewed).map_or(now.at_ms, |rollout| rollout.start_ms);
    if let Some(rollout) = &mut version.rollout {
        rollout.start_ms = start_ms;
    }
    let generation = before.map_or(now.number, |before| before.generation);
    version.generation = generation;
    if renewed || before.is_none_or(|before| before != version) {
        version.generation = now.number;
    }
}
