//! Claims on non-repeatable requests, stored as rows of the platform's table.

use std::sync::Arc;
use std::time::Duration;

use ledger::{Bill, ClaimDecision, ClaimRow, ClaimState, StoredAnswer, decide_claim};
use policy::RequestId;
use router::{ClaimResult, Metrics, Shared};
use store::{HttpPlatform, StoreError, Table, insert, replace};

/// The initial backoff between attempts to repair a row in the background.
const REPAIR_INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The maximum backoff between attempts to repair a row.
const REPAIR_MAX_BACKOFF: Duration = Duration::from_secs(8);
/// How long repairing a row is attempted.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(600);
/// How long a write whose reply was lost may still take effect.
const LATE_WRITE_WINDOW: Duration = Duration::from_secs(30);

/// The parameters of a claim on a non-repeatable request.
#[derive(Debug, Clone)]
pub struct ClaimParams {
    /// The key of the claim's row.
    pub key: String,
    /// The id of the request, which identifies it as the holder of the claim.
    pub holder: RequestId,
    /// The hash of the method, path and body.
    pub body_hash: String,
    /// How long the request may run, in milliseconds.
    pub deadline_ms: u64,
}

/// The result of acquiring a claim.
pub enum Acquired {
    /// The claim is held, so the request may be sent.
    Held(Box<Claim>),
    /// Another request holds or held the claim.
    Other(ClaimDecision),
    /// The table was unavailable, so the request must not be sent.
    StoreUnavailable,
}

/// A claim held by this request.
///
/// Dropping it before the request is sent deletes the row, so that a repeat of
/// the request is not treated as if the request had run.
#[derive(Debug)]
pub struct Claim {
    platform: HttpPlatform,
    metrics: Arc<Metrics>,
    params: ClaimParams,
    row: ClaimRow,
    version: u64,
    request_sent: bool,
}

/// Reads the claim's row, before the request is submitted to the core.
pub async fn lookup(shared: &Shared, params: &ClaimParams) -> Result<ClaimDecision, StoreError> {
    let rows = shared.platform.read(&[&params.key]).await?;
    let now_ms = shared.router.clock().now().wall_ms;
    let row = rows.first().filter(|row| row.version > 0);
    let row = row.and_then(|row| serde_json::from_value(row.value.clone()).ok());
    Ok(decide_claim(row.as_ref(), params.holder, &params.body_hash, now_ms))
}

/// Acquires a claim by inserting its row.
///
/// If the reply is lost, the insertion is sent once more; its result shows
/// whether the first one took effect.
pub async fn acquire(shared: &Shared, params: ClaimParams) -> Acquired {
    let now_ms = shared.router.clock().now().wall_ms;
    let row = ClaimRow {
        holder: params.holder,
        body_hash: params.body_hash.as_str().into(),
        sent_ms: now_ms,
        deadline_ms: params.deadline_ms,
        state: ClaimState::Sent,
    };
    let Ok(value) = serde_json::to_value(&row) else { return Acquired::StoreUnavailable };
    let transaction = insert(params.key.as_str(), value);
    let first = shared.platform.transact(&transaction).await;
    let outcome = match first {
        Err(StoreError::Unknown(_)) => shared.platform.transact(&transaction).await,
        Err(StoreError::Refused(_)) => return Acquired::StoreUnavailable,
        known => known,
    };
    let claim = Claim {
        platform: shared.platform.clone(),
        metrics: shared.metrics.clone(),
        params,
        row,
        version: 0,
        request_sent: false,
    };
    match outcome {
        Ok(outcome) => claim.resolve(outcome, now_ms),
        // Dropping the claim deletes the row if it was written after all.
        Err(_) => Acquired::StoreUnavailable,
    }
}

impl Claim {
    /// Determines who holds the claim after the insertion.
    fn resolve(mut self, outcome: store::TransactionOutcome, now_ms: u64) -> Acquired {
        let found = outcome.rows.first();
        self.version = found.map_or(0, |row| row.version);
        if outcome.applied {
            return Acquired::Held(Box::new(self));
        }
        let row: Option<ClaimRow> =
            found.and_then(|row| serde_json::from_value(row.value.clone()).ok());
        match decide_claim(row.as_ref(), self.params.holder, &self.params.body_hash, now_ms) {
            ClaimDecision::AlreadyHeld => Acquired::Held(Box::new(self)),
            ClaimDecision::Claim => Acquired::StoreUnavailable,
            other => {
                // The row belongs to another request, so dropping must not delete it.
                self.request_sent = true;
                Acquired::Other(other)
            }
        }
    }

    /// Marks the request as sent, right before it is written.
    pub fn mark_sent(&mut self) {
        self.request_sent = true;
    }

    /// Marks the request as not sent, if no byte of it was written after all.
    pub fn mark_unsent(&mut self) {
        self.request_sent = false;
    }

    /// Stores the answer and the bill in the claim's row.
    ///
    /// Returns whether the row was written. If the call failed, writing it
    /// is retried in the background.
    pub async fn record(self, answer: StoredAnswer, bill: Bill) -> bool {
        let row = ClaimRow { state: ClaimState::Done(answer, bill), ..self.row.clone() };
        let Ok(value) = serde_json::to_value(&row) else { return false };
        let transaction = replace(self.params.key.as_str(), self.version, Some(value.clone()));
        match self.platform.transact(&transaction).await {
            Ok(outcome) => outcome.applied,
            Err(_) => {
                let platform = self.platform.clone();
                let params = self.params.clone();
                tokio::spawn(async move { repair(&platform, &params, Some(value)).await });
                false
            }
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.request_sent {
            return;
        }
        self.metrics.claims.get_or_create(&ClaimResult::Withdrawn.into()).inc();
        let platform = self.platform.clone();
        let params = self.params.clone();
        tokio::spawn(async move { repair(&platform, &params, None).await });
    }
}

/// Sets a row that this request may have written to `value`, retrying on errors.
///
/// Without a value the row is deleted. If it does not exist, that is checked
/// again until [`LATE_WRITE_WINDOW`] is over, since the insertion may still
/// take effect.
async fn repair(platform: &HttpPlatform, params: &ClaimParams, value: Option<serde_json::Value>) {
    let start = tokio::time::Instant::now();
    let mut backoff = REPAIR_INITIAL_BACKOFF;
    while start.elapsed() < REPAIR_TIMEOUT {
        match repair_once(platform, params, value.clone()).await {
            Ok(true) => return,
            Ok(false) if value.is_none() && start.elapsed() >= LATE_WRITE_WINDOW => return,
            Ok(false) | Err(_) => tokio::time::sleep(backoff).await,
        }
        backoff = (backoff * 2).min(REPAIR_MAX_BACKOFF);
    }
    log::warn!(
        "could not repair the claim row of request {} within {REPAIR_TIMEOUT:?}",
        params.holder
    );
}

/// Attempts a repair once.
///
/// Returns true if the row needs no further repair, and false if it is missing
/// or changed meanwhile.
async fn repair_once(
    platform: &HttpPlatform,
    params: &ClaimParams,
    value: Option<serde_json::Value>,
) -> Result<bool, StoreError> {
    let rows = platform.read(&[&params.key]).await?;
    let Some(found) = rows.first().filter(|row| row.version > 0) else { return Ok(false) };
    let row: Option<ClaimRow> = serde_json::from_value(found.value.clone()).ok();
    match row {
        Some(row) if row.holder == params.holder && row.state == ClaimState::Sent => {
            let transaction = replace(params.key.as_str(), found.version, value);
            platform.transact(&transaction).await.map(|outcome| outcome.applied)
        }
        _ => Ok(true),
    }
}
