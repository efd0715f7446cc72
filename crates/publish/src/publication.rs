//! One publication, from the head row that it starts from to the one it writes.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config::{
    AcceptedPublication, Change, Diagnostic, HEAD_KEY, Head, Manifest, ManifestEntry, Name, Piece,
    PieceKey, changes, check_all, hash_bytes,
};
use store::{ObjectStore, Row, StoreError, Table, replace};

use crate::prepare::{Acceptance, bytes, complete, source_hash};

/// Tries to write the head row before a publication gives up.
const MOST_TRIES: u32 = 50;
/// The wait before a call to the platform is made again.
const RETRY: Duration = Duration::from_millis(200);

/// What an operator wants to put in force.
#[derive(Debug, Clone)]
pub struct Publication {
    /// Who publishes.
    pub operator: Name,
    /// The id of the publication, unique among all.
    pub id: Name,
    /// The pieces of the operator's files.
    pub pieces: BTreeMap<PieceKey, Piece>,
    /// Pieces to take out.
    pub removed: Vec<PieceKey>,
    /// The number that the files were written against, if the operator says so.
    pub base: Option<u64>,
    /// Versions, as `ROUTE/VERSION`, that start anew although they did not change.
    pub renew: Vec<String>,
}

/// What came of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The number that is in force.
    pub number: u64,
    /// What changed; nothing if the files are in force already.
    pub changes: Vec<Change>,
}

/// Another operator's change to a piece that the publication changes too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The piece.
    pub key: PieceKey,
    /// Who changed it.
    pub operator: Name,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// The number that the change was accepted under.
    pub number: u64,
}

/// Why a publication was not accepted.
#[derive(Debug)]
pub enum PublishError {
    /// The configuration as a whole would have faults.
    Faults(Vec<Diagnostic>),
    /// Other operators changed the same pieces.
    Conflicts(Vec<Conflict>),
    /// The platform did not answer for long.
    Platform(StoreError),
    /// The platform holds something that can't be read.
    Damaged(String),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::Faults(faults) => {
                let faults: Vec<String> = faults.iter().map(Diagnostic::to_string).collect();
                f.write_str(&faults.join("\n"))
            }
            PublishError::Conflicts(conflicts) => {
                let lines = conflicts.iter().map(|c| {
                    let Conflict { key, operator, at_ms, number } = c;
                    format!("{key} was changed by {operator} under number {number} at {at_ms} ms")
                });
                f.write_str(&lines.collect::<Vec<String>>().join("\n"))
            }
            PublishError::Platform(error) => error.fmt(f),
            PublishError::Damaged(what) => write!(f, "the platform's {what} can't be read"),
        }
    }
}

impl std::error::Error for PublishError {}

impl From<StoreError> for PublishError {
    fn from(error: StoreError) -> Self {
        PublishError::Platform(error)
    }
}

/// The head row with what it points to.
#[derive(Debug, Clone, Default)]
pub struct Current {
    /// The version of the row, for the condition of the next write.
    pub version: u64,
    /// The head; `None` before the first publication.
    pub head: Option<Head>,
    /// The manifest.
    pub manifest: Manifest,
}

impl Current {
    fn number(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.number)
    }
}

/// What a publication would do to the current configuration.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The number that is in force.
    pub number: u64,
    /// What would change.
    pub changes: Vec<Change>,
    /// What stands against it.
    pub conflicts: Vec<Conflict>,
}

/// Reads the head row and its manifest.
pub async fn read_head<P: Table + ObjectStore>(platform: &P) -> Result<Current, PublishError> {
    let rows = platform.read(&[HEAD_KEY]).await?;
    match rows.into_iter().find(|row| row.version > 0) {
        Some(row) => resolve(platform, row).await,
        None => Ok(Current::default()),
    }
}

async fn resolve<P: ObjectStore>(platform: &P, row: Row) -> Result<Current, PublishError> {
    let damaged = |what: &str| PublishError::Damaged(what.to_owned());
    let head: Head = serde_json::from_value(row.value).map_err(|_| damaged("head row"))?;
    let manifest = platform.get(&head.manifest).await?.ok_or_else(|| damaged("manifest"))?;
    let manifest = serde_json::from_slice(&manifest).map_err(|_| damaged("manifest"))?;
    Ok(Current { version: row.version, head: Some(head), manifest })
}

/// Says what the publication would do now.
pub fn plan(publication: &Publication, current: &Current, base: u64) -> Plan {
    let pieces = current.manifest.pieces.iter();
    let old = pieces.map(|(key, entry)| (key.clone(), entry.source.clone())).collect();
    let pieces = publication.pieces.iter();
    let new = pieces.map(|(key, piece)| (key.clone(), source_hash(piece))).collect();
    let mut changes = changes(&old, &new, &publication.removed);
    add_renewed(&mut changes, publication, &new);
    let later = changes.iter().filter_map(|change| {
        let key = change.key();
        let entry = current.manifest.pieces.get(key).filter(|entry| entry.number > base)?;
        Some(Conflict {
            key: key.clone(),
            operator: entry.operator.clone(),
            at_ms: entry.at_ms,
            number: entry.number,
        })
    });
    Plan { number: current.number(), conflicts: later.collect(), changes }
}

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

/// Puts the publication in force.
///
/// Changes of other operators to other pieces are merged; a change to the same
/// piece since the base is a conflict. A reply that is lost is settled by
/// looking for the publication's id in the head row.
pub async fn publish<P: Table + ObjectStore>(
    platform: &P,
    publication: &Publication,
) -> Result<Published, PublishError> {
    let mut base = publication.base;
    let mut lost = None;
    for _ in 0..MOST_TRIES {
        let current = match read_head(platform).await {
            Ok(current) => current,
            Err(PublishError::Platform(error)) => {
                lost = Some(error);
                tokio::time::sleep(RETRY).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        let accepted = current.head.as_ref().and_then(|head| head.accepted_number(&publication.id));
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
        match write(platform, publication, &current, &plan).await {
            Ok(Some(number)) => return Ok(Published { number, changes: plan.changes }),
            Ok(None) => {}
            Err(PublishError::Platform(error)) => {
                lost = Some(error);
                tokio::time::sleep(RETRY).await;
            }
            Err(error) => return Err(error),
        }
    }
    let raced = || StoreError::Refused("other publications kept coming first".to_owned());
    Err(PublishError::Platform(lost.unwrap_or_else(raced)))
}

/// Writes the objects and swaps the head row; `None` if another one came first.
async fn write<P: Table + ObjectStore>(
    platform: &P,
    publication: &Publication,
    current: &Current,
    plan: &Plan,
) -> Result<Option<u64>, PublishError> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now = Acceptance { number: plan.number + 1, at_ms: wall.as_millis() as u64 };
    let mut pieces = fetch_pieces(platform, &current.manifest).await?;
    let mut manifest = current.manifest.clone();
    for change in &plan.changes {
        let key = change.key();
        let Some(written) = publication.pieces.get(key) else {
            manifest.pieces.remove(key);
            pieces.remove(key);
            continue;
        };
        let piece = complete(written, pieces.get(key), now, &publication.renew);
        let body = bytes(&piece);
        let entry = ManifestEntry {
            hash: hash_bytes(&body),
            source: source_hash(written),
            operator: publication.operator.clone(),
            at_ms: now.at_ms,
            number: now.number,
        };
        platform.put(&entry.hash, body.into()).await?;
        manifest.pieces.insert(key.clone(), entry);
        pieces.insert(key.clone(), piece);
    }
    let faults = check_all(&pieces);
    if !faults.is_empty() {
        return Err(PublishError::Faults(faults));
    }
    swap(platform, publication, current, &manifest, now).await
}

async fn swap<P: Table + ObjectStore>(
    platform: &P,
    publication: &Publication,
    current: &Current,
    manifest: &Manifest,
    now: Acceptance,
) -> Result<Option<u64>, PublishError> {
    let body = serde_json::to_vec(manifest).unwrap_or_default();
    let hash = hash_bytes(&body);
    platform.put(&hash, body.into()).await?;
    let past = AcceptedPublication { number: now.number, publish_id: publication.id.clone() };
    let before = current.head.iter().flat_map(|head| head.recent.iter().cloned());
    let recent = std::iter::once(past).chain(before).take(Head::MAX_RECENT).collect();
    let head = Head { number: now.number, manifest: hash, recent };
    let value = serde_json::to_value(&head).unwrap_or_default();
    let outcome = platform.transact(&replace(HEAD_KEY, current.version, Some(value))).await?;
    Ok(outcome.applied.then_some(now.number))
}

async fn fetch_pieces<P: ObjectStore>(
    platform: &P,
    manifest: &Manifest,
) -> Result<BTreeMap<PieceKey, Piece>, PublishError> {
    let mut pieces = BTreeMap::new();
    for (key, entry) in &manifest.pieces {
        let damaged = || PublishError::Damaged(format!("object of {key}"));
        let body = platform.get(&entry.hash).await?.ok_or_else(damaged)?;
        pieces.insert(key.clone(), serde_json::from_slice(&body).map_err(|_| damaged())?);
    }
    Ok(pieces)
}
