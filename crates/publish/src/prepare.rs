//! Sets the fields of pieces that publishing assigns: version generations and rollout start times.

use config::{Piece, Route, Version, hash_bytes};

/// The configuration number and time under which a publication is accepted.
#[derive(Debug, Clone, Copy)]
pub struct Acceptance {
    /// The configuration number in the head row.
    pub number: u64,
    /// The time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The hash of a piece as its operator wrote it, before [`assign_fields`] sets any.
pub fn source_hash(piece: &Piece) -> config::Name {
    hash_bytes(&serialize(piece))
}

/// Serializes a piece for the object store.
pub fn serialize(piece: &Piece) -> Vec<u8> {
    // Serialization cannot fail: pieces contain no maps with keys that are invalid in JSON.
    serde_json::to_vec(piece).unwrap_or_default()
}

/// Sets the generations and rollout start times of a piece that replaces `old`.
///
/// An unchanged version keeps its generation, and therefore its halts. A rollout
/// with unchanged steps keeps its start time. Versions in `renew` get new values.
pub fn assign_fields(
    piece: &Piece,
    old: Option<&Piece>,
    acceptance: Acceptance,
    renew: &[String],
) -> Piece {
    let Piece::Route(route) = piece else { return piece.clone() };
    let old = match old {
        Some(Piece::Route(old)) => Some(old),
        Some(Piece::Account(_)) | None => None,
    };
    let mut route = route.clone();
    let name = route.name.clone();
    for version in &mut route.versions {
        let renewed = renew.contains(&format!("{name}/{}", version.name));
        assign_version_fields(version, old, acceptance, renewed);
    }
    Piece::Route(route)
}

fn assign_version_fields(
    version: &mut Version,
    old: Option<&Route>,
    acceptance: Acceptance,
    renewed: bool,
) {
    let previous = old.and_then(|route| route.version(&version.name));
    let same_steps = |previous: &&Version| match (&previous.rollout, &version.rollout) {
        (Some(old), Some(new)) => old.steps == new.steps,
        _ => false,
    };
    let same_rollout = previous.filter(same_steps).and_then(|previous| previous.rollout.as_ref());
    let start_ms =
        same_rollout.filter(|_| !renewed).map_or(acceptance.at_ms, |rollout| rollout.start_ms);
    if let Some(rollout) = &mut version.rollout {
        rollout.start_ms = start_ms;
    }
    // The generation is set to the previous one before the comparison, so that it does
    // not count as a change.
    version.generation = previous.map_or(acceptance.number, |previous| previous.generation);
    if renewed || previous.is_none_or(|previous| previous != version) {
        version.generation = acceptance.number;
    }
}
