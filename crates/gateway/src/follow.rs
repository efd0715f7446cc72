//! Follows tables of the store, either through a long-polled feed or through the updates
//! of the instance that reads for all.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{FeedMode, MonotonicTime, ReaderElection};
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;

use crate::event_log::log_event;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::table::{Row, TableCopy, TableDelta};
use crate::tables::{Follower, Page, StoreError, Tables};
use crate::updates::{KnownRevision, ReceivedUpdate, TableUpdate, UpdateEffect, split_updates};

/// Maximum duration of a long poll for this instance's own feed.
const FEED_WAIT: Duration = Duration::from_secs(25);
/// Maximum duration of a long poll by the reader of a domain. Its answers, including
/// empty ones, show the others that the store is reachable.
const READER_FEED_WAIT: Duration = Duration::from_millis(700);
/// How long a domain's reader pauses after changes, so that further ones are read
/// together.
const READER_BATCH_WINDOW: Duration = Duration::from_millis(250);
/// First backoff after a failed call; doubles each time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff, short enough that changes take effect in time once the store is
/// available again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum backoff of an instance whose hub calls the store as well.
const MAX_BACKOFF_BEHIND_HUB: Duration = Duration::from_secs(6);
/// How long the follower of a table waits for another table's follower to find the
/// store available again.
const PROBE_WAIT: Duration = Duration::from_secs(3);
/// How long after its start an instance looks for another that has a table before it
/// reads the store, unless the whole installation starts for the first time.
const PEER_PATIENCE: Duration = Duration::from_millis(20);
/// How long it waits before it asks others again meanwhile.
const PEER_RETRY: Duration = Duration::from_millis(8);
/// How long a starting instance waits for news of a table before it asks others again.
const LOAD_RETRY: Duration = Duration::from_millis(250);
/// How long after its start an instance that knows few others waits before it reads a
/// table: others may not have been heard from yet.
const MIN_LOAD_DELAY: Duration = Duration::from_millis(600);
/// Interval at which a listening instance checks whether it is its turn to read.
const ROLE_CHECK: Duration = Duration::from_millis(300);
/// How long after an outage other instances may still be reading the changes made
/// during it.
const SETTLING_TIME: Duration = Duration::from_secs(1);

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
        peers.tables.borrow_mut().insert(table, TableCopy::default());
        let task = FollowTask {
            updates: peers.subscribe(table),
            gateway,
            peers,
            shared: self,
            table,
            follower,
            election: ReaderElection::default(),
            health: StoreHealth::default(),
        };
        task.run().await;
    }

    /// Whether this table's follower is the one that probes the store; if there is none,
    /// it becomes the prober.
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
}

impl<D, T: Tables, F: Follower> FollowTask<D, T, F> {
    async fn run(mut self) {
        if self.peers.first_start {
            self.peers.joined().await;
            // Counts as an answer to another instance: the one whose turn it is to read
            // gets the time to do so.
            self.election.record_peer_answer(self.gateway.now(), true);
        }
        self.load().await;
        loop {
            self.follow_feed().await;
            while !self.read_table().await {}
        }
    }

    /// Loads the whole table: from another instance or else from the store.
    ///
    /// At the first start of the installation the instance whose turn it is reads for
    /// all. Later, callers are waiting, so that an instance which finds no other that
    /// has the table reads at once.
    async fn load(&mut self) {
        let mut source = None;
        loop {
            if let Some(delta) = self.fetch(source).await {
                self.log_loaded("peer", delta.known.revision, delta.rows.len());
                return self.apply_delta(delta).await;
            }
            let now = self.gateway.now();
            if !self.peers.first_start {
                if now >= PEER_PATIENCE && self.read_table().await {
                    return;
                }
                source = self.next_sender(PEER_RETRY).await;
                continue;
            }
            let (position, instances) = self.peers.reader_position(self.table, now);
            match self.election.next_mode(position, instances, now) {
                FeedMode::Listen(_) => source = self.next_sender(LOAD_RETRY).await,
                FeedMode::OwnFeed if now < MIN_LOAD_DELAY => {
                    source = self.next_sender(LOAD_RETRY).await;
                }
                FeedMode::OwnFeed | FeedMode::ReadForOthers if self.read_table().await => return,
                FeedMode::OwnFeed | FeedMode::ReadForOthers => {}
            }
        }
    }

    /// Waits for an update from an instance that knows the table, and returns its
    /// sender; `None` after some time without one.
    async fn next_sender(&mut self, patience: Duration) -> Option<SocketAddr> {
        let until = tokio::time::Instant::now() + patience;
        loop {
            let received = tokio::time::timeout_at(until, self.updates.recv()).await.ok()??;
            self.record_reader(&received);
            if received.update.known.revision > 0 {
                return Some(received.from);
            }
        }
    }

    /// Reads the whole table from the store; returns whether this succeeded.
    async fn read_table(&mut self) -> bool {
        self.health.called_at = self.gateway.now();
        let page = match self.shared.store.read(self.table).await {
            Ok(page) => page,
            Err(error) => {
                self.call_failed(&error).await;
                return false;
            }
        };
        let outage = self.call_succeeded();
        let now = self.gateway.now();
        let known = KnownRevision { revision: page.revision, changed: page.revision };
        self.log_loaded("store", page.revision, page.rows.len());
        self.replace(page.rows, known, outage).await;
        self.confirm(now);
        // An instance that starts later reads for itself only.
        let is_reader = self.peers.first_start || self.peers.is_hub(now);
        self.peers.record_answer(self.table, now, self.health.is_settling(now), is_reader);
        if is_reader {
            let announcement = TableUpdate::announce(self.table, known, outage);
            self.peers.send_updates(vec![announcement], true, now).await;
        }
        true
    }

    fn log_loaded(&self, source: &str, revision: u64, rows: usize) {
        let fields =
            json!({ "table": self.table, "source": source, "revision": revision, "rows": rows });
        log_event("table_loaded", self.gateway.now(), fields);
    }

    /// Replaces all rows.
    async fn replace(&mut self, rows: Vec<Row>, known: KnownRevision, after_outage: bool) {
        if let Some(copy) = self.peers.tables.borrow_mut().get_mut(self.table) {
            copy.replace(&rows, known);
        }
        self.follower.replace(rows, after_outage).await;
    }

    /// Applies changed rows up to a revision.
    async fn change(&mut self, rows: Vec<Row>, revision: u64, after_outage: bool) {
        if let Some(copy) = self.peers.tables.borrow_mut().get_mut(self.table) {
            copy.change(&rows, revision);
        }
        if !rows.is_empty() {
            self.follower.change(rows, after_outage).await;
        }
    }

    /// Records that the table holds what the store held at `at`.
    fn confirm(&self, at: MonotonicTime) {
        let (revision, now) = (self.known().revision, self.gateway.now());
        self.gateway.freshness.borrow_mut().confirm(self.table, at, revision, now);
    }

    /// The revision up to which the table is known.
    fn known(&self) -> KnownRevision {
        self.peers.known(self.table)
    }

    /// Fetches what changed from another instance.
    async fn fetch(&mut self, source: Option<SocketAddr>) -> Option<TableDelta> {
        let (peers, gateway) = (self.peers.clone(), self.gateway.clone());
        let (since, now) = (self.known().revision, gateway.now());
        let fetching = peers.fetch(&gateway.pool, self.table, since, source, now);
        tokio::pin!(fetching);
        let delta = loop {
            tokio::select! {
                delta = &mut fetching => break delta,
                Some(received) = self.updates.recv() => {
                    self.record_reader(&received);
                }
            }
        };
        let how = if delta.is_some() { "fetched" } else { "not_fetched" };
        Metrics::count(&self.gateway.metrics.table_updates, how);
        delta
    }

    /// Applies what was fetched, and passes it on if this instance is a hub.
    async fn apply_delta(&mut self, delta: TableDelta) {
        let TableDelta { known, unsettled, complete, rows } = delta;
        if known.revision <= self.known().revision {
            return;
        }
        if unsettled {
            self.health.recovered_at = Some(self.gateway.now());
        }
        if complete {
            self.replace(rows, known, unsettled).await;
        } else {
            self.change(rows, known.revision, unsettled).await;
        }
        let announcement = TableUpdate::announce(self.table, self.known(), unsettled);
        self.pass_on(vec![announcement]).await;
    }

    /// Sends updates to the instances of the domain if this instance is its hub.
    async fn pass_on(&self, updates: Vec<TableUpdate>) {
        let now = self.gateway.now();
        if self.peers.is_hub(now) {
            self.peers.send_updates(updates, false, now).await;
        }
    }

    /// Applies changes until the history needed to continue has been compacted.
    async fn follow_feed(&mut self) {
        loop {
            let now = self.gateway.now();
            let (position, instances) = self.peers.reader_position(self.table, now);
            let mode = self.election.next_mode(position, instances, now);
            let result = match mode {
                FeedMode::OwnFeed => self.request_changes(FEED_WAIT).await,
                FeedMode::ReadForOthers => self.request_changes(READER_FEED_WAIT).await,
                FeedMode::Listen(until) => match self.listen(until).await {
                    Some(source) => match self.fetch(Some(source)).await {
                        Some(delta) => {
                            self.apply_delta(delta).await;
                            continue;
                        }
                        None => self.request_changes(Duration::ZERO).await,
                    },
                    None => continue,
                },
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

    /// Requests changes from the store and applies updates of other instances until the
    /// answer arrives.
    async fn request_changes(&mut self, wait: Duration) -> Result<Page, StoreError> {
        let shared = self.shared.clone();
        self.health.called_at = self.gateway.now();
        let call = shared.store.feed(self.table, self.known().revision, wait);
        tokio::pin!(call);
        loop {
            tokio::select! {
                answer = &mut call => return answer,
                Some(received) = self.updates.recv() => {
                    self.apply_update(received).await;
                }
            };
        }
    }

    /// Waits for one update, at most until a time; returns its sender if rows are
    /// missing.
    async fn listen(&mut self, until: MonotonicTime) -> Option<SocketAddr> {
        // A change of role is noticed in time.
        let until = self.gateway.instant(until.min(self.gateway.now() + ROLE_CHECK));
        let received = tokio::time::timeout_at(until, self.updates.recv()).await.ok()??;
        let source = self.apply_update(received).await;
        if source.is_none() {
            self.reset_failures_after_update();
        }
        source
    }

    /// Pauses and applies updates of other instances meanwhile. While the store does not
    /// answer, fetches what they announce.
    async fn pause(&mut self, pause: Duration) {
        let until = tokio::time::Instant::now() + pause;
        while let Ok(Some(received)) = tokio::time::timeout_at(until, self.updates.recv()).await {
            let source = self.apply_update(received).await;
            if source.is_some()
                && self.health.failures > 0
                && let Some(delta) = self.fetch(source).await
            {
                self.apply_delta(delta).await;
            }
        }
    }

    /// Records what an update says of the instance that reads the table; returns when the
    /// store answered that instance.
    fn record_reader(&mut self, received: &ReceivedUpdate) -> MonotonicTime {
        let now = self.gateway.now();
        let answered = now.saturating_sub(Duration::from_millis(received.update.age_ms));
        self.election.record_peer_answer(answered, received.from_earlier);
        if received.from_outside {
            self.peers.record_answer(self.table, answered, received.update.unsettled, false);
        }
        answered
    }

    /// Applies an update of another instance; returns its sender if rows are missing.
    async fn apply_update(&mut self, received: ReceivedUpdate) -> Option<SocketAddr> {
        let answered = self.record_reader(&received);
        let ReceivedUpdate { update, from, .. } = received;
        if update.unsettled {
            self.health.recovered_at = Some(self.gateway.now());
        }
        let before = self.known();
        let effect = match self.peers.tables.borrow_mut().get_mut(self.table) {
            Some(copy) => copy.known.effect_of(&update),
            None => UpdateEffect::None,
        };
        Metrics::count(&self.gateway.metrics.table_updates, effect.name());
        match effect {
            UpdateEffect::None => {
                self.confirm(answered);
                None
            }
            UpdateEffect::Rows(rows) => {
                self.change(rows.clone(), update.known.revision, update.unsettled).await;
                self.confirm(answered);
                let (known, unsettled) = (self.known(), update.unsettled);
                let updates = split_updates(self.table, &rows, before.changed, known, unsettled);
                self.pass_on(updates).await;
                None
            }
            UpdateEffect::Gap => Some(from),
        }
    }

    /// Applies an answer of the store and forwards it if this instance reads for others.
    async fn apply_page(&mut self, page: Page, mode: FeedMode) {
        let now = self.gateway.now();
        let recovered = self.call_succeeded();
        let outage = recovered || (mode != FeedMode::ReadForOthers && self.health.is_settling(now));
        let before = self.known();
        let has_rows = !page.rows.is_empty();
        // Updates applied during the call may be newer than its answer.
        if page.revision > before.revision {
            self.change(page.rows.clone(), page.revision, outage).await;
            let updates =
                split_updates(self.table, &page.rows, before.changed, self.known(), outage);
            // Where each instance has a feed, hubs pass changes on to instances that the
            // store turns away.
            if mode == FeedMode::ReadForOthers || self.peers.is_hub(now) {
                self.peers.send_updates(updates, true, now).await;
            } else if mode == FeedMode::OwnFeed {
                self.peers.send_updates_to_hub(updates, now).await;
            }
        }
        self.confirm(now);
        let window = match mode {
            FeedMode::OwnFeed => F::BATCH_WINDOW,
            FeedMode::ReadForOthers => {
                self.peers.record_answer(self.table, now, self.health.is_settling(now), true);
                READER_BATCH_WINDOW
            }
            FeedMode::Listen(_) => return,
        };
        if has_rows {
            self.pause(window).await;
        }
    }

    /// Handles a failed call: records it and backs off, or waits for the prober.
    async fn call_failed(&mut self, error: &StoreError) {
        if self.health.failures == 0 {
            let now = self.gateway.now();
            let pending = now.saturating_sub(self.health.called_at);
            let fields = json!({
                "table": self.table,
                "why": error.to_string(),
                "pending_ms": pending.as_millis() as u64,
                "revision": self.known().revision,
            });
            log_event("store_lost", now, fields);
        }
        Metrics::count(&self.gateway.metrics.store_calls, error.name());
        self.election.record_own_answer(false);
        let max_backoff = match self.peers.relies_on_hub(self.table, self.gateway.now()) {
            true => MAX_BACKOFF_BEHIND_HUB,
            false => MAX_BACKOFF,
        };
        let pause = (MIN_BACKOFF * 2u32.pow(self.health.failures.min(6))).min(max_backoff);
        self.health.failures += 1;
        if self.shared.is_prober(self.table) {
            self.pause(pause.mul_f64(0.5 + self.gateway.random() / 2.0)).await;
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
            log_event("store_regained", self.gateway.now(), fields);
            self.health.recovered_at = Some(self.gateway.now());
        }
        Metrics::count(&self.gateway.metrics.store_calls, "answered");
        self.health.failures = 0;
        self.election.record_own_answer(true);
        self.shared.end_probe(self.table);
        outage
    }

    /// Resets the count of failed calls, since an update of another instance has brought
    /// this one up to date.
    fn reset_failures_after_update(&mut self) {
        if self.health.failures > 0 {
            let fields = json!({ "table": self.table, "failures": self.health.failures });
            log_event("store_told_by_peers", self.gateway.now(), fields);
        }
        self.health.failures = 0;
        self.shared.end_probe(self.table);
    }
}

/// Health of the calls to the store.
#[derive(Debug, Default)]
struct StoreHealth {
    /// Number of consecutive failed calls.
    failures: u32,
    /// When the last call began.
    called_at: MonotonicTime,
    /// When the store last became available again.
    recovered_at: Option<MonotonicTime>,
}

impl StoreHealth {
    /// Whether the store recovered less than [`SETTLING_TIME`] ago.
    fn is_settling(&self, now: MonotonicTime) -> bool {
        self.recovered_at.is_some_and(|at| now.saturating_sub(at) < SETTLING_TIME)
    }
}

/// Rows that were logged as unreadable, so that each is logged once per revision.
#[derive(Debug, Default)]
pub struct UnreadableRows {
    /// Logged revisions by key.
    rows: BTreeMap<String, u64>,
}

impl UnreadableRows {
    /// Logs an unreadable row, once per revision.
    pub fn log_once<D>(&mut self, gateway: &Gateway<D>, row: &Row, reason: &dyn fmt::Display) {
        if self.rows.insert(row.key.clone(), row.revision) != Some(row.revision) {
            let fields =
                json!({ "key": row.key, "revision": row.revision, "why": reason.to_string() });
            gateway.event_log.write("row_unreadable", gateway.now(), || fields);
        }
    }
}
