//! Diagnostics with source positions, and checks across all pieces of a configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use crate::{Name, Piece, PieceKey};

/// An error in the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file, or the piece key for an error found across pieces.
    pub path: String,
    /// The 1-based line; 0 for an error found across pieces.
    pub line: usize,
    /// The 1-based column in characters; 0 for an error found across pieces.
    pub column: usize,
    /// A description of the error.
    pub message: String,
    /// How to fix it.
    pub hint: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}:{}: ", self.path, self.line, self.column)?;
        } else {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.message, self.hint)
    }
}

/// The text of a file, used to convert byte spans to lines and columns.
pub(crate) struct Source<'a> {
    pub path: &'a str,
    pub text: &'a str,
}

impl Source<'_> {
    pub fn diagnostic(&self, span: Range<usize>, message: String, hint: &str) -> Diagnostic {
        let (line, column) = self.position(span.start);
        Diagnostic { path: self.path.to_owned(), line, column, message, hint: hint.to_owned() }
    }

    pub fn syntax_error(&self, error: &toml::de::Error) -> Diagnostic {
        let message = error.message().replace('\n', ", ");
        let hint = "fix the key or value here; `lacewingchute check --reference` lists every key";
        self.diagnostic(error.span().unwrap_or(0..0), message, hint)
    }

    /// The 1-based line and column of a byte offset.
    fn position(&self, offset: usize) -> (usize, usize) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |i| i + 1);
        (line, before[start..].chars().count() + 1)
    }
}

/// Checks the constraints that span pieces.
///
/// Every account that a route names must exist, and an API key must belong to
/// one account only.
pub fn check_all(pieces: &BTreeMap<PieceKey, Piece>) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    let mut owners: BTreeMap<&Name, &Name> = BTreeMap::new();
    for (key, piece) in pieces {
        match piece {
            Piece::Route(route) => {
                let version_accounts = route.versions.iter().filter_map(|v| v.accounts.as_ref());
                for account in route.accounts.iter().chain(version_accounts.flatten()) {
                    if !pieces.contains_key(&PieceKey::Account(account.clone())) {
                        let message = format!("account {account} does not exist");
                        diagnostics.push(cross_piece_error(
                            key,
                            message,
                            "publish the account first, or fix the name",
                        ));
                    }
                }
            }
            Piece::Account(account) => {
                for hash in &account.keys {
                    if let Some(other) = owners.insert(hash, &account.name) {
                        let message = format!("account {other} uses the same API key");
                        diagnostics.push(cross_piece_error(
                            key,
                            message,
                            "give each account its own keys",
                        ));
                    }
                }
            }
        }
    }
    diagnostics
}

fn cross_piece_error(key: &PieceKey, message: String, hint: &str) -> Diagnostic {
    Diagnostic { path: key.to_string(), line: 0, column: 0, message, hint: hint.to_owned() }
}
