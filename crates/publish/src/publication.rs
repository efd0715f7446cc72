//! Plans a publication against the current configuration, and commits it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::{
    AcceptedPublication, Change, Diagnostic, HEAD_KEY, Head, Manifest, ManifestEntry, Name, Piece,
    PieceKey, changes, check_all, hash_bytes,
};
use store::{ObjectStore, Row, StoreError, Table, replace};

use crate::prepare::{Acceptance, assign_fields, serialize, source_hash};

/// The maximum number of attempts to commit a publication.
const MAX_ATTEMPTS: u32 = 50;
/// The delay before the next attempt after a platform error.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A set of changes that an operator publishes.
#[derive(Debug, Clone)]
pub struct Publication {
    /// The name of the operator, which conflicts of other operators report.
    pub operator: Name,
    /// The globally unique id of the publication.
    pub id: Name,
    /// The pieces in the operator's route files.
    pub pieces: BTreeMap<PieceKey, Piece>,
    /// The keys of pieces to remove.
    pub removed: Vec<PieceKey>,
    /// The configuration number that the files are based on, if the operator gave one.
    pub base: Option<u64>,
    /// Versions that get a new generation even if they are unchanged, as `ROUTE/VERSION`.
    pub renew: Vec<String>,
}

/// The result of a successful publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The configuration number that it was accepted under, or the active one if
    /// nothing changed.
    pub number: u64,
    /// The changes; empty if the files were already active.
    pub changes: Vec<Change>,
}

/// A change by another operator to a piece that the publication also changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The key of the piece.
    pub key: PieceKey,
    /// The operator who changed it.
    pub operator: Name,
    /// When it was changed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The configuration number that the change was accepted under.
    pub number: u64,
}

/// The reason why a publication was not accepted.
#[derive(Debug)]
pub enum PublishError {
    /// The resulting configuration would be invalid.
    Invalid(Vec<Diagnostic>),
    /// Other operators have changed the same pieces.
    Conflicts(Vec<Conflict>),
    /// Calls to the platform failed, or other publications were committed first in
    /// every attempt.
    Platform(StoreError),
    /// Data stored on the platform is missing or can't be decoded.
    Corrupt(String),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Invalid(diagnostics) => {
                let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            PublishError::Conflicts(conflicts) => {
                let lines = conflicts.iter().map(|c| {
                    let Conflict { key, operator, at_ms, number } = c;
                    format!(
                        "{key} was changed by {operator} in configuration {number} at Unix time {at_ms} ms"
                    )
                });
                f.write_str(&lines.collect::<Vec<String>>().join("\n"))
            }
            PublishError::Platform(error) => error.fmt(f),
            PublishError::Corrupt(what) => {
                write!(f, "the {what} stored on the platform is missing or corrupt")
            }
        }
    }
}

impl std::error::Error for PublishError {}

impl From<StoreError> for PublishError {
    fn from(error: StoreError) -> Self {
        PublishError::Platform(error)
    }
}

/// The head row and the manifest that it references.
#[derive(Debug, Clone, Default)]
pub struct Current {
    /// The version of the row; the precondition of the next write.
    pub version: u64,
    /// The head; `None` before the first publication.
    pub head: Option<Head>,
    /// The manifest; empty before the first publication.
    pub manifest: Manifest,
}

impl Current {
    fn number(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.number)
    }
}

/// The effects of a publication on the current configuration.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The active configuration number.
    pub number: u64,
    /// The changes to make.
    pub changes: Vec<Change>,
    /// Conflicting changes by other operators.
    pub conflicts: Vec<Conflict>,
}

/// Reads the head row and its manifest.
pub async fn read_head<P: Table + ObjectStore>(platform: &P) -> Result<Current, PublishError> {
    let rows = platform.read(&[HEAD_KEY]).await?;
    match rows.into_iter().find(|row| row.version > 0) {
        Some(row) => load_manifest(platform, row).await,
        None => Ok(Current::default()),
    }
}

/// Decodes the head row and fetches the manifest that it references.
async fn load_manifest<P: ObjectStore>(platform: &P, row: Row) -> Result<Current, PublishError> {
    let corrupt = |what: &str| PublishError::Corrupt(what.to_owned());
    let head: Head = serde_json::from_value(row.value).map_err(|_| corrupt("head row"))?;
    let manifest = platform.get(&head.manifest).await?.ok_or_else(|| corrupt("manifest"))?;
    let manifest = serde_json::from_slice(&manifest).map_err(|_| corrupt("manifest"))?;
    Ok(Current { version: row.version, head: Some(head), manifest })
}

/// Computes the changes of a publication, and its conflicts with changes made after `base`.
pub fn plan(publication: &Publication, current: &Current, base: u64) -> Plan {
    let pieces = current.manifest.pieces.iter();
    let old = pieces.map(|(key, entry)| (key.clone(), entry.source.clone())).collect();
    let pieces = publication.pieces.iter();
    let new = pieces.map(|(key, piece)| (key.clone(), source_hash(piece))).collect();
    let mut changes = changes(&old, &new, &publication.removed);
    add_renewed(&mut changes, publication, &new);
    let conflicts = changes.iter().filter_map(|change| {
        let key = change.key();
        let entry = current.manifest.pieces.get(key).filter(|entry| entry.number > base)?;
        Some(Conflict {
            key: key.clone(),
            operator: entry.operator.clone(),
            at_ms: entry.at_ms,
            number: entry.number,
        })
    });
    Plan { number: current.number(), conflicts: conflicts.collect(), changes }
}

/// Adds the unchanged routes that have a version to renew to `changes`.
fn add_renewed(
    changes: &mut Vec<Change>,
    publication: &Publication,
    new: &BTreeMap<PieceKey, Name>,
) {
    for renewed in &publication.renew {
        let Some((route, _)) = renewed.split_once('/') else { continue };
        let key = PieceKey::Route(route.into());
        let changed = changes.iter().any(|change| *change.key() == key);
        if let Some(hash) = new.get(&key).filter(|_| !changed) {
            changes.push(Change::Replaced(key, hash.clone()));
        }
    }
}

/// Commits the publication, which makes it part of the active configuration.
///
/// Changes by other operators to other pieces are kept. A change to the same
/// piece since the base is a conflict. If the reply to a write is lost, the
/// publication's id in the head row shows whether it was applied.
pub async fn publish<P: Table + ObjectStore>(
    platform: &P,
    publication: &Publication,
) -> Result<Published, PublishError> {
    let mut base = publication.base;
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        let current = match read_head(platform).await {
            Ok(current) => current,
            Err(PublishError::Platform(error)) => {
                last_error = Some(error);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        let accepted = current.head.as_ref().and_then(|head| head.accepted_number(&publication.id));
        // The base stays the same in all attempts, so that changes committed since the
        // first one are detected as conflicts.
        let base = *base.get_or_insert(current.number());
        let plan = plan(publication, &current, base);
        if let Some(number) = accepted {
            return Ok(Published { number, changes: plan.changes });
        }
        if plan.changes.is_empty() {
            return Ok(Published { number: plan.number, changes: Vec::new() });
        }
        if !plan.conflicts.is_empty() {
            return Err(PublishError::Conflicts(plan.conflicts));
        }
        match commit(platform, publication, &current, &plan).await {
            Ok(Some(number)) => return Ok(Published { number, changes: plan.changes }),
            Ok(None) => {}
            Err(PublishError::Platform(error)) => {
                last_error = Some(error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
    }
    let contention = || {
        StoreError::Refused(format!(
            "other publications were committed first in {MAX_ATTEMPTS} attempts"
        ))
    };
    Err(PublishError::Platform(last_error.unwrap_or_else(contention)))
}

/// Writes the objects, and then replaces the head row that makes them active.
///
/// Returns `None` if another publication replaced the head row first.
async fn commit<P: Table + ObjectStore>(
    platform: &P,
    publication: &Publication,
    current: &Current,
    plan: &Plan,
) -> Result<Option<u64>, PublishError> {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let acceptance = Acceptance { number: plan.number + 1, at_ms: unix_time.as_millis() as u64 };
    let mut pieces = fetch_pieces(platform, &current.manifest).await?;
    let mut manifest = current.manifest.clone();
    for change in &plan.changes {
        let key = change.key();
        let Some(source) = publication.pieces.get(key) else {
            manifest.pieces.remove(key);
            pieces.remove(key);
            continue;
        };
        let piece = assign_fields(source, pieces.get(key), acceptance, &publication.renew);
        let body = serialize(&piece);
        let entry = ManifestEntry {
            hash: hash_bytes(&body),
            source: source_hash(source),
            operator: publication.operator.clone(),
            at_ms: acceptance.at_ms,
            number: acceptance.number,
        };
        platform.put(&entry.hash, body.into()).await?;
        manifest.pieces.insert(key.clone(), entry);
        pieces.insert(key.clone(), piece);
    }
    let diagnostics = check_all(&pieces);
    if !diagnostics.is_empty() {
        return Err(PublishError::Invalid(diagnostics));
    }
    replace_head(platform, publication, current, &manifest, acceptance).await
}

/// Writes the manifest, and replaces the head row if it still has the version that was read.
async fn replace_head<P: Table + ObjectStore>(
    platform: &P,
    publication: &Publication,
    current: &Current,
    manifest: &Manifest,
    acceptance: Acceptance,
) -> Result<Option<u64>, PublishError> {
    let body = serde_json::to_vec(manifest).unwrap_or_default();
    let hash = hash_bytes(&body);
    platform.put(&hash, body.into()).await?;
    let accepted =
        AcceptedPublication { number: acceptance.number, publish_id: publication.id.clone() };
    let previous = current.head.iter().flat_map(|head| head.recent.iter().cloned());
    let recent = std::iter::once(accepted).chain(previous).take(Head::MAX_RECENT).collect();
    let head = Head { number: acceptance.number, manifest: hash, recent };
    let value = serde_json::to_value(&head).unwrap_or_default();
    let outcome = platform.transact(&replace(HEAD_KEY, current.version, Some(value))).await?;
    Ok(outcome.applied.then_some(acceptance.number))
}

/// Reads all pieces of a manifest from the object store.
async fn fetch_pieces<P: ObjectStore>(
    platform: &P,
    manifest: &Manifest,
) -> Result<BTreeMap<PieceKey, Piece>, PublishError> {
    let mut pieces = BTreeMap::new();
    for (key, entry) in &manifest.pieces {
        let corrupt = || PublishError::Corrupt(format!("object of {key}"));
        let body = platform.get(&entry.hash).await?.ok_or_else(corrupt)?;
        pieces.insert(key.clone(), serde_json::from_slice(&body).map_err(|_| corrupt())?);
    }
    Ok(pieces)
}
