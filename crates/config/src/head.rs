//! The head row and the manifest that it points to.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Name, PieceKey};

/// The key of the head row in the table service.
pub const HEAD_KEY: &str = "config/head";

/// The row that says which configuration is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with every accepted publication.
    pub number: u64,
    /// The hash of the manifest object.
    pub manifest: Name,
    /// The latest publications, newest first, by which a lost reply is settled.
    pub recent: Vec<Past>,
}

impl Head {
    /// How many publications the head row remembers.
    pub const REMEMBERED: usize = 64;

    /// The number that a publication was accepted under, if it is remembered.
    pub fn accepted(&self, publish_id: &str) -> Option<u64> {
        self.recent.iter().find(|past| *past.publish_id == *publish_id).map(|past| past.number)
    }
}

/// An accepted publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The number that it was accepted under.
    pub number: u64,
    /// Its id.
    pub publish_id: Name,
}

/// All pieces in force, by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The entries by piece key.
    pub pieces: BTreeMap<PieceKey, Entry>,
}

/// One piece in force and who put it there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The hash of the piece object.
    pub hash: Name,
    /// The hash of the piece as its operator wrote it, without what publishing adds.
    pub source: Name,
    /// The operator who published it.
    pub operator: Name,
    /// When it was published, in milliseconds since 1970.
    pub at_ms: u64,
    /// The number of the head row that put it in force.
    pub number: u64,
}

/// The SHA-256 of `bytes` in lower-case hexadecimal.
pub fn hash_bytes(bytes: &[u8]) -> Name {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
