//! The head row and the manifest that it references.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Name, PieceKey};

/// The key of the head row in the table service.
pub const HEAD_KEY: &str = "config/head";

/// The row that references the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Increases by one with every accepted publication.
    pub number: u64,
    /// The hash of the manifest object.
    pub manifest: Name,
    /// The most recent publications, newest first.
    ///
    /// A publisher whose reply was lost looks here for its own publication.
    pub recent: Vec<AcceptedPublication>,
}

impl Head {
    /// The maximum length of [`Head::recent`].
    pub const MAX_RECENT: usize = 64;

    /// The number that a publication was accepted under, if it is among the recent ones.
    pub fn accepted_number(&self, publish_id: &str) -> Option<u64> {
        self.recent
            .iter()
            .find(|publication| *publication.publish_id == *publish_id)
            .map(|publication| publication.number)
    }
}

/// An accepted publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedPublication {
    /// The configuration number that it was accepted under.
    pub number: u64,
    /// The id that the publisher gave it.
    pub publish_id: Name,
}

/// The pieces of the active configuration, by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The entries by piece key.
    pub pieces: BTreeMap<PieceKey, ManifestEntry>,
}

/// A piece of the active configuration, and who published it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestEntry {
    /// The hash of the piece object.
    pub hash: Name,
    /// The hash of the piece as its operator wrote it, without the fields that publishing sets.
    pub source: Name,
    /// The operator who published it.
    pub operator: Name,
    /// When it was published, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The configuration number that it was published under.
    pub number: u64,
}

/// The SHA-256 of `bytes` in lowercase hexadecimal.
pub fn hash_bytes(bytes: &[u8]) -> Name {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
