//! Follows tables of the store, either through a feed or through the updates of the
//! domain's reader.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{FeedMode, Mono, ReaderElection};
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;

use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::record::record;
use crate::updates::{KnownRevision, ReceivedUpdate, UpdateEffect, split_updates};

/// How long an instance's own feed is held open.
const FEED_WAIT: Duration = Duration::from_secs(25);
/// How long the reader of a domain holds a feed open. Its answers, including empty
/// ones, show the others that the store is reachable.
const READER_FEED_WAIT: Duration = Duration::from_millis(700);
/// Changes within this time are read together by a domain's reader.
const READER_BATCH_WINDOW: Duration = Duration::from_millis(250);
/// First backoff after a failed call; doubles each time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff, short enough that changes are in force in time once the store is
/// back.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// How long the follower of a table waits for another table's follower to find the
/// store available again.
const PROBE_WAIT: Duration = Duration::from_secs(3);
/// How long after an outage other instances may still be reading the changes made
/// during it.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call was rejected with this status and had no effect.
    Refused(u16),
    /// No answer arrived; a write may have taken effect, or may still do so.
    Unknown(String),
    /// The history requested by a feed has been compacted.
    Compacted,
}

impl StoreError {
    /// Returns the label value in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            StoreError::Refused(_) => "refused",
            StoreError::Unknown(_) => "unanswered",
            StoreError::Compacted => "compacted",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(status) => write!(f, "refused with {status}"),
            StoreError::Unknown(reason) => write!(f, "no answer: {reason}"),
            StoreError::Compacted => f.write_str("the requested history was compacted"),
        }
    }
}

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value; `None` if the row was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of its last change.
    pub revision: u64,
}

/// Rows as of one revision.
#[derive(Debug)]
pub struct Page {
    /// Rows.
    pub rows: Vec<Row>,
    /// Newest revision of the store, from which a feed continues.
    pub revision: u64,
    /// Monotonic clock of the store, in milliseconds.
    pub now_ms: u64,
    /// Whether there are more rows.
    pub more: bool,
}

/// Access to tables that can be read and followed.
pub trait Tables {
    /// Reads a whole table.
    fn read(&self, table: &str) -> impl Future<Output = Result<Page, StoreError>>;

    /// Waits up to `wait` for changes of a table after revision `since`.
    fn feed(
        &self,
        table: &str,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>>;
}

/// Receives the rows of a followed table.
pub trait Follower {
    /// Changes within this time are read together.
    const BATCH_WINDOW: Duration;

    /// Replaces all rows of the table; `after_outage` if calls failed just before.
    fn replace(&mut self, rows: Vec<Row>, after_outage: bool) -> impl Future<Output = ()>;

    /// Applies changed rows.
    fn change(&mut self, rows: Vec<Row>, after_outage: bool) -> impl Future<Output = ()>;
}

/// A store shared by the followers of its tables.
#[derive(Debug)]
pub struct FollowedStore<T> {
    store: T,
    /// Table whose follower probes whether the store is available again.
    prober: Cell<Option<&'static str>>,
    recovered: Notify,
}

impl<T: Tables> FollowedStore<T> {
    /// Creates a store without followers.
    pub fn new(store: T) -> Rc<Self> {
        Rc::new(FollowedStore { store, prober: Cell::default(), recovered: Notify::new() })
    }

    /// Follows a table until the process ends.
    pub async fn follow<D, F: Follower>(
        self: Rc<Self>,
        gateway: Rc<Gateway<D>>,
        peers: Rc<Peers>,
        table: &'static str,
        follower: F,
    ) {
        let task = FollowTask {
            updates: peers.subscribe(table),
            gateway,
            peers,
            shared: self,
            table,
            follower,
            election: ReaderElection::default(),
            health: StoreHealth::default(),
            known: KnownRevision::default(),
        };
        task.run().await;
    }

    /// Whether this table's follower is the one that probes the store; it becomes so
    /// if there is none.
    fn is_prober(&self, table: &'static str) -> bool {
        let prober = self.prober.get().unwrap_or(table);
        self.prober.set(Some(prober));
        prober == table
    }

    /// Ends this table's probing, if it was the prober, and wakes the other
    /// followers.
    fn end_probe(&self, table: &'static str) {
        if self.prober.get() == Some(table) {
            self.prober.set(None);
            self.recovered.notify_waiters();
        }
    }
}

/// Task that follows one table.
struct FollowTask<D, T, F> {
    gateway: Rc<Gateway<D>>,
    peers: Rc<Peers>,
    shared: Rc<FollowedStore<T>>,
    table: &'static str,
    follower: F,
    updates: Receiver<ReceivedUpdate>,
    election: ReaderElection,
    health: StoreHealth,
    known: KnownRevision,
}

impl<D, T: Tables, F: Follower> FollowTask<D, T, F> {
    async fn run(mut self) {
        loop {
            match self.shared.store.read(self.table).await {
                Ok(page) => {
                    let outage = self.call_succeeded();
                    self.known = KnownRevision { revision: page.revision, changed: page.revision };
                    // After a full read, updates of others are not needed for a
                    // while.
                    self.election.record_peer_answer(self.gateway.now(), true);
                    self.follower.replace(page.rows, outage).await;
                    self.follow_feed().await;
                }
                Err(error) => self.call_failed(&error).await,
            }
        }
    }

    /// Applies changes until the history is compacted.
    async fn follow_feed(&mut self) {
        let domain = self.gateway.setup.domain.clone();
        loop {
            let (position, instances) = self.peers.group_position(&domain, self.table);
            let mode = self.election.next_mode(position, instances, self.gateway.now());
            let result = match mode {
                FeedMode::OwnFeed => self.request_changes(FEED_WAIT).await,
                FeedMode::ReadForDomain => self.request_changes(READER_FEED_WAIT).await,
                FeedMode::Listen(until) if self.listen(until).await => {
                    self.request_changes(Duration::ZERO).await
                }
                FeedMode::Listen(_) => continue,
            };
            match result {
                Ok(page) => self.apply_page(page, mode).await,
                Err(StoreError::Compacted) => {
                    let calls = &self.gateway.metrics.store_calls;
                    return Metrics::count(calls, StoreError::Compacted.name());
                }
                Err(error) => self.call_failed(&error).await,
            }
        }
    }

    /// Requests changes from the store, and applies updates of others meanwhile.
    async fn request_changes(&mut self, wait: Duration) -> Result<Page, StoreError> {
        let shared = self.shared.clone();
        let call = shared.store.feed(self.table, self.known.revision, wait);
        tokio::pin!(call);
        loop {
            tokio::select! {
                answer = &mut call => return answer,
                Some(received) = self.updates.recv() => self.apply_update(received).await,
            };
        }
    }

    /// Waits until a time or for one update; returns whether rows are missing that
    /// must be read from the store.
    async fn listen(&mut self, until: Mono) -> bool {
        let until = self.gateway.instant(until);
        match tokio::time::timeout_at(until, self.updates.recv()).await {
            Ok(Some(received)) => {
                let behind = self.apply_update(received).await;
                if !behind {
                    self.caught_up_by_peers();
                }
                behind
            }
            Ok(None) | Err(_) => false,
        }
    }

    /// Pauses, and applies updates of others meanwhile.
    async fn pause(&mut self, pause: Duration) {
        let until = tokio::time::Instant::now() + pause;
        while let Ok(Some(received)) = tokio::time::timeout_at(until, self.updates.recv()).await {
            self.apply_update(received).await;
        }
    }

    /// Applies an update of another instance; returns whether rows are missing.
    async fn apply_update(
        &mut self,
        ReceivedUpdate { update, from_earlier }: ReceivedUpdate,
    ) -> bool {
        let now = self.gateway.now();
        self.election.record_peer_answer(
            now.saturating_sub(Duration::from_millis(update.age_ms)),
            from_earlier,
        );
        if update.unsettled {
            self.health.recovered_at = Some(now);
        }
        let effect = self.known.effect_of(&update);
        Metrics::count(&self.gateway.metrics.words, effect.name());
        match effect {
            UpdateEffect::None => false,
            UpdateEffect::Rows(rows) => {
                self.known.advance(&rows, update.known.revision);
                self.follower.change(rows, update.unsettled).await;
                false
            }
            UpdateEffect::Gap => true,
        }
    }

    /// Applies an answer of the store, and forwards it if this instance reads for its
    /// domain.
    async fn apply_page(&mut self, page: Page, mode: FeedMode) {
        let now = self.gateway.now();
        let recovered = self.call_succeeded();
        let outage = recovered || (mode != FeedMode::ReadForDomain && self.health.is_settling(now));
        let before = self.known;
        let has_rows = !page.rows.is_empty();
        // Updates that arrived meanwhile may be newer.
        if page.revision > before.revision {
            self.known.advance(&page.rows, page.revision);
            let updates = match mode {
                FeedMode::ReadForDomain => {
                    split_updates(self.table, &page.rows, before.changed, self.known, outage)
                }
                FeedMode::OwnFeed | FeedMode::Listen(_) => Vec::new(),
            };
            if has_rows {
                self.follower.change(page.rows, outage).await;
            }
            self.peers.send_updates(&self.gateway.setup.domain, updates).await;
        }
        let window = match mode {
            FeedMode::OwnFeed => F::BATCH_WINDOW,
            FeedMode::ReadForDomain => {
                self.peers.record_answer(self.table, self.known, now, self.health.is_settling(now));
                READER_BATCH_WINDOW
            }
            FeedMode::Listen(_) => return,
        };
        if has_rows {
            self.pause(window).await;
        }
    }

    /// Handles a failed call: records it and backs off.
    async fn call_failed(&mut self, error: &StoreError) {
        if self.health.failures == 0 {
            let fields = json!({ "table": self.table, "why": error.to_string() });
            record("store_lost", self.gateway.now(), fields);
        }
        Metrics::count(&self.gateway.metrics.store_calls, error.name());
        self.election.record_own_answer(false);
        let pause = (MIN_BACKOFF * 2u32.pow(self.health.failures.min(4))).min(MAX_BACKOFF);
        self.health.failures += 1;
        if self.shared.is_prober(self.table) {
            self.pause(pause.mul_f64(0.5 + self.gateway.draw() / 2.0)).await;
        } else {
            let shared = self.shared.clone();
            tokio::select! {
                () = shared.recovered.notified() => {}
                () = self.pause(PROBE_WAIT) => {}
            }
        }
    }

    /// Handles a successful call; returns whether the calls before it had failed.
    fn call_succeeded(&mut self) -> bool {
        let outage = self.health.failures > 0;
        if outage {
            let fields = json!({ "table": self.table, "failures": self.health.failures });
            record("store_regained", self.gateway.now(), fields);
            self.health.recovered_at = Some(self.gateway.now());
        }
        Metrics::count(&self.gateway.metrics.store_calls, "answered");
        self.health.failures = 0;
        self.election.record_own_answer(true);
        self.shared.end_probe(self.table);
        outage
    }

    /// Records that other instances of the domain have kept this one up to date.
    fn caught_up_by_peers(&mut self) {
        if self.health.failures > 0 {
            let fields = json!({ "table": self.table, "failures": self.health.failures });
            record("store_told_by_peers", self.gateway.now(), fields);
        }
        self.health.failures = 0;
        self.shared.end_probe(self.table);
    }
}

/// Health of the calls to the store.
#[derive(Debug, Default)]
struct StoreHealth {
    failures: u32,
    recovered_at: Option<Mono>,
}

impl StoreHealth {
    /// Whether the store recovered only a moment ago.
    fn is_settling(&self, now: Mono) -> bool {
        self.recovered_at.is_some_and(|at| now.saturating_sub(at) < SETTLING_TIME)
    }
}

/// Rows that were logged as unreadable, so that each is logged once per revision.
#[derive(Debug, Default)]
pub struct UnreadableRows {
    rows: BTreeMap<String, u64>,
}

impl UnreadableRows {
    /// Logs an unreadable row, once per revision.
    pub fn log_once<D>(&mut self, gateway: &Gateway<D>, row: &Row, reason: &dyn fmt::Display) {
        if self.rows.insert(row.key.clone(), row.revision) != Some(row.revision) {
            let fields =
                json!({ "key": row.key, "revision": row.revision, "why": reason.to_string() });
            gateway.lines.write("row_unreadable", gateway.now(), || fields);
        }
    }
}
