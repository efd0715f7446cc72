//! Faults with their places, and the checks over the whole configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use crate::{Name, Piece, PieceKey};

/// One fault of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file, or the piece for a fault of the whole.
    pub path: String,
    /// The line, from 1; 0 for a fault of the whole.
    pub line: usize,
    /// The column in characters, from 1; 0 for a fault of the whole.
    pub column: usize,
    /// What is wrong.
    pub what: String,
    /// How to mend it.
    pub mend: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}:{}: ", self.path, self.line, self.column)?;
        } else {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.what, self.mend)
    }
}

/// The text of a file, for turning spans into places.
pub(crate) struct Source<'a> {
    pub path: &'a str,
    pub text: &'a str,
}

impl Source<'_> {
    pub fn fault(&self, span: Range<usize>, what: String, mend: &str) -> Fault {
        let (line, column) = self.place(span.start);
        Fault { path: self.path.to_owned(), line, column, what, mend: mend.to_owned() }
    }

    pub fn syntax(&self, error: &toml::de::Error) -> Fault {
        let what = error.message().replace('\n', ", ");
        let mend = "correct the key or value here; docs/ROUTES.md lists every key";
        self.fault(error.span().unwrap_or(0..0), what, mend)
    }

    fn place(&self, at: usize) -> (usize, usize) {
        let before = &self.text[..at.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |i| i + 1);
        (line, before[start..].chars().count() + 1)
    }
}

/// Checks what can only be seen over all pieces together.
///
/// Names must be known across pieces, and an API key belongs to one account.
pub fn check_whole(pieces: &BTreeMap<PieceKey, Piece>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut owners: BTreeMap<&Name, &Name> = BTreeMap::new();
    for (key, piece) in pieces {
        match piece {
            Piece::Route(route) => {
                let own = route.versions.iter().filter_map(|v| v.accounts.as_ref());
                for account in route.accounts.iter().chain(own.flatten()) {
                    if !pieces.contains_key(&PieceKey::Account(account.clone())) {
                        let what = format!("there is no account {account}");
                        faults.push(whole(key, what, "publish the account first, or correct it"));
                    }
                }
            }
            Piece::Account(account) => {
                for hash in &account.keys {
                    if let Some(other) = owners.insert(hash, &account.name) {
                        let what = format!("account {other} has the same API key");
                        faults.push(whole(key, what, "give each account keys of its own"));
                    }
                }
            }
        }
    }
    faults
}

fn whole(key: &PieceKey, what: String, mend: &str) -> Fault {
    Fault { path: key.to_string(), line: 0, column: 0, what, mend: mend.to_owned() }
}
