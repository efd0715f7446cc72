//! Claims on calls that may run once, as rows of the platform's table.

use std::sync::Arc;
use std::time::Duration;

use ledger::{Bill, ClaimRow, ClaimState, Next, StoredAnswer, next};
use policy::RequestId;
use router::{ClaimFound, Metrics, Shared};
use store::{HttpPlatform, StoreError, Table, insert, replace};

/// The first wait between tries to correct a row in the background.
const CORRECT_FIRST: Duration = Duration::from_millis(250);
/// The longest wait between such tries.
const CORRECT_SLOWEST: Duration = Duration::from_secs(8);
/// For how long that is tried.
const CORRECT_FOR: Duration = Duration::from_secs(600);
/// A write whose reply was lost may still take effect within this time.
const LATE_WRITE: Duration = Duration::from_secs(30);

/// What identifies a call.
#[derive(Debug, Clone)]
pub struct CallId {
    /// The key of the row.
    pub key: String,
    /// The request that makes the attempt.
    pub request: RequestId,
    /// The hash of method, path and body.
    pub body_hash: String,
    /// How long the call may run, in milliseconds.
    pub deadline_ms: u64,
}

/// What came of taking a claim.
pub enum Taken {
    /// The call may be written.
    Held(Box<Claim>),
    /// Another attempt has the claim.
    Other(Next),
    /// The table gave no answer; nothing may be written.
    StoreOut,
}

/// A claim that is held.
///
/// Dropped before the call is written, it is taken back, so that a repeat of
/// the call is not told that it ran.
#[derive(Debug)]
pub struct Claim {
    platform: HttpPlatform,
    metrics: Arc<Metrics>,
    id: CallId,
    row: ClaimRow,
    version: u64,
    written: bool,
}

/// Looks at the row of a call before it is brought to the core.
pub async fn look(shared: &Shared, id: &CallId) -> Result<Next, StoreError> {
    let rows = shared.platform.read(&[&id.key]).await?;
    let now_ms = shared.router.clock().now().wall_ms;
    let row = rows.first().filter(|row| row.version > 0);
    let row = row.and_then(|row| serde_json::from_value(row.value.clone()).ok());
    Ok(next(row.as_ref(), id.request, &id.body_hash, now_ms))
}

/// Inserts the row of a call; a lost reply is settled by asking again.
pub async fn take(shared: &Shared, id: CallId) -> Taken {
    let now_ms = shared.router.clock().now().wall_ms;
    let row = ClaimRow {
        holder: id.request,
        body_hash: id.body_hash.as_str().into(),
        sent_ms: now_ms,
        deadline_ms: id.deadline_ms,
        state: ClaimState::Sent,
    };
    let Ok(value) = serde_json::to_value(&row) else { return Taken::StoreOut };
    let transaction = insert(id.key.as_str(), value);
    let first = shared.platform.transact(&transaction).await;
    let outcome = match first {
        Err(StoreError::Unknown(_)) => shared.platform.transact(&transaction).await,
        Err(StoreError::Refused(_)) => return Taken::StoreOut,
        settled => settled,
    };
    let claim = Claim {
        platform: shared.platform.clone(),
        metrics: shared.metrics.clone(),
        id,
        row,
        version: 0,
        written: false,
    };
    match outcome {
        Ok(outcome) => claim.judge(outcome, now_ms),
        // Dropping the claim takes back what may have been written.
        Err(_) => Taken::StoreOut,
    }
}

impl Claim {
    fn judge(mut self, outcome: store::TransactionOutcome, now_ms: u64) -> Taken {
        let found = outcome.rows.first();
        self.version = found.map_or(0, |row| row.version);
        if outcome.applied {
            return Taken::Held(Box::new(self));
        }
        let row: Option<ClaimRow> =
            found.and_then(|row| serde_json::from_value(row.value.clone()).ok());
        match next(row.as_ref(), self.id.request, &self.id.body_hash, now_ms) {
            Next::Own => Taken::Held(Box::new(self)),
            Next::Claim => Taken::StoreOut,
            other => {
                // The row is another attempt's: there is nothing to take back.
                self.written = true;
                Taken::Other(other)
            }
        }
    }

    /// Notes that the call is about to be written.
    pub fn writing(&mut self) {
        self.written = true;
    }

    /// Notes that no byte of the call was written after all.
    pub fn nothing_written(&mut self) {
        self.written = false;
    }

    /// Records the answer; false if the table did not take it in time.
    ///
    /// It is then tried again in the background.
    pub async fn record(self, answer: StoredAnswer, bill: Bill) -> bool {
        let row = ClaimRow { state: ClaimState::Done(answer, bill), ..self.row.clone() };
        let Ok(value) = serde_json::to_value(&row) else { return false };
        let transaction = replace(self.id.key.as_str(), self.version, Some(value.clone()));
        match self.platform.transact(&transaction).await {
            Ok(outcome) => outcome.applied,
            Err(_) => {
                let platform = self.platform.clone();
                let id = self.id.clone();
                tokio::spawn(async move { correct(&platform, &id, Some(value)).await });
                false
            }
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.written {
            return;
        }
        self.metrics.claims.get_or_create(&ClaimFound::Voided.into()).inc();
        let platform = self.platform.clone();
        let id = self.id.clone();
        tokio::spawn(async move { correct(&platform, &id, None).await });
    }
}

/// Brings a row that this attempt may have written to its right value.
async fn correct(platform: &HttpPlatform, id: &CallId, value: Option<serde_json::Value>) {
    let start = tokio::time::Instant::now();
    let mut wait = CORRECT_FIRST;
    while start.elapsed() < CORRECT_FOR {
        match correct_once(platform, id, value.clone()).await {
            Ok(true) => return,
            Ok(false) if value.is_none() && start.elapsed() >= LATE_WRITE => return,
            Ok(false) | Err(_) => tokio::time::sleep(wait).await,
        }
        wait = (wait * 2).min(CORRECT_SLOWEST);
    }
    log::warn!("gave up correcting the claim of request {}", id.request);
}

/// One try; true if the row is right now, false if it is not there.
async fn correct_once(
    platform: &HttpPlatform,
    id: &CallId,
    value: Option<serde_json::Value>,
) -> Result<bool, StoreError> {
    let rows = platform.read(&[&id.key]).await?;
    let Some(found) = rows.first().filter(|row| row.version > 0) else { return Ok(false) };
    let row: Option<ClaimRow> = serde_json::from_value(found.value.clone()).ok();
    match row {
        Some(row) if row.holder == id.request && row.state == ClaimState::Sent => {
            let transaction = replace(id.key.as_str(), found.version, value);
            platform.transact(&transaction).await.map(|outcome| outcome.applied)
        }
        _ => Ok(true),
    }
}
