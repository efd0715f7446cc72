//! Follows tables of the store, through polls and through the updates of the instance that
//! reads for all.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{FeedMode, MonotonicTime, PollSchedule, PollSituation, PollStep, ReaderElection};
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;
use tokio::task::JoinSet;

use crate::event_log::log_event;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::revision::{era, number};
use crate::table::{Row, TableCopy, TableDelta};
use crate::tables::{Follower, Page, StoreError, Tables};
use crate::updates::{KnownRevision, ReceivedUpdate, TableUpdate, UpdateEffect, split_updates};

/// How long the reader pauses after changes, so that further ones are read together.
const READER_BATCH_WINDOW: Duration = Duration::from_millis(250);
/// First backoff after a failed call; doubles each time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff, short enough that changes take effect in time once the store is
/// available again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum backoff of an instance that leaves it to others to find the store available again.
const MAX_BACKOFF_BEHIND_OTHERS: Duration = Duration::from_secs(6);
/// How long the store may take to answer, beyond the duration of a poll, before the poll is
/// repeated.
const ANSWER_PATIENCE: Duration = Duration::from_millis(800);
/// The same for the read of a whole table.
const READ_PATIENCE: Duration = Duration::from_millis(1_200);
/// How long the follower of a table waits for another table's follower to find the
/// store available again. Parts of the store may recover at different times.
const PROBE_WAIT: Duration = Duration::from_millis(1_500);
/// How long after its start an instance looks for another that has a table before it
/// reads the store, unless the whole installation starts for the first time.
const PEER_PATIENCE: Duration = Duration::from_millis(20);
/// How long it waits before it asks others again meanwhile.
const PEER_RETRY: Duration = Duration::from_millis(8);
/// How long a starting instance waits for news of a table before it asks others again.
const LOAD_RETRY: Duration = Duration::from_millis(250);
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

impl<T: Tables + 'static> FollowedStore<T> {
    /// Creates a store without followers.
    pub fn new(store: T) -> Rc<Self> {
        Rc::new(FollowedStore { store, prober: Cell::default(), recovered: Notify::new() })
    }

    /// Follows a table until the process ends.
    pub async fn follow<D: 'static, F: Follower>(
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
            schedule: PollSchedule::default(),
            polls: JoinSet::new(),
            needs_read: false,
            history_losses: 0,
            fetches: JoinSet::new(),
            health: StoreHealth::default(),
            reads_for_others: false,
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

/// Answer of the store to a poll.
enum Answer {
    /// The whole table.
    Table(Page),
    /// What changed.
    Changes(Page),
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
    schedule: PollSchedule,
    /// The open polls.
    polls: JoinSet<Result<Answer, StoreError>>,
    /// Whether the next poll reads the whole table, as its history is not available.
    needs_read: bool,
    /// How often the history was lost since the last answer that continued it.
    history_losses: u32,
    /// The open fetch from another instance, if there is one.
    fetches: JoinSet<Option<TableDelta>>,
    health: StoreHealth,
    /// Whether it reads the table for others, as last logged.
    reads_for_others: bool,
}

impl<D: 'static, T: Tables + 'static, F: Follower> FollowTask<D, T, F> {
    async fn run(mut self) {
        if self.peers.first_start {
            self.peers.joined().await;
            // Counts as an answer to another instance: the one whose turn it is to read
            // gets the time to do so.
            self.election.record_peer_answer(self.gateway.now(), true);
        }
        self.load().await;
        self.follow_changes().await;
    }

    /// Loads the whole table from another instance, or has the first poll read it.
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
            let patience = self.load_delay();
            if patience.is_zero() {
                return self.restart(self.gateway.now());
            }
            source = self.next_sender(patience.max(PEER_RETRY)).await;
        }
    }

    /// How long to look for another instance that has the table before this one reads the
    /// store.
    fn load_delay(&mut self) -> Duration {
        let now = self.gateway.now();
        if !self.peers.first_start {
            return if now < PEER_PATIENCE { PEER_RETRY } else { Duration::ZERO };
        }
        let position = self.peers.reader_position(self.table, now);
        match self.election.next_mode(position, now) {
            FeedMode::Listen(_) => LOAD_RETRY,
            FeedMode::ReadForOthers => Duration::ZERO,
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

    /// Applies the whole table as read from the store.
    async fn apply_table(&mut self, page: Page) {
        self.drop_polls();
        let mut outage = self.call_succeeded();
        // Updates applied during the call may be newer than its answer.
        if page.revision < self.known().revision {
            return;
        }
        let now = self.gateway.now();
        let known = KnownRevision { revision: page.revision, changed: page.revision };
        if self.record_era(page.revision) {
            // The servers' entries are written again, as after an outage.
            self.health.recovered_at = Some(now);
            outage = true;
        }
        // An instance that starts later reads for itself only.
        let is_reader = self.peers.is_hub(now)
            || match self.known().revision {
                0 => self.peers.first_start,
                _ => self.situation(now).mode == FeedMode::ReadForOthers,
            };
        self.log_loaded("store", page.revision, page.rows.len());
        self.replace(page.rows, known, outage).await;
        self.confirm(now);
        self.peers.record_answer(self.table, now, self.health.is_settling(now), is_reader);
        if is_reader {
            let announcement = TableUpdate::announce(self.table, known, outage);
            self.peers.send_updates(vec![announcement], true, now).await;
        }
    }

    /// Logs that the store came back from an older copy, if a new revision shows it; returns
    /// whether it does.
    fn record_era(&self, new: u64) -> bool {
        let known = self.known().revision;
        if known == 0 || era(new) <= era(known) {
            return false;
        }
        let fields = json!({
            "table": self.table,
            "era": era(new),
            "revision": number(new),
            "known_era": era(known),
            "known_revision": number(known),
        });
        log_event("store_reverted", self.gateway.now(), fields);
        self.gateway.metrics.store_era.set(era(new) as i64);
        true
    }

    fn log_loaded(&self, source: &str, revision: u64, rows: usize) {
        let fields = json!({
            "table": self.table,
            "source": source,
            "era": era(revision),
            "revision": number(revision),
            "rows": rows,
        });
        log_event("table_loaded", self.gateway.now(), fields);
    }

    /// Replaces all rows.
    async fn replace(&mut self, rows: Vec<Row>, known: KnownRevision, after_outage: bool) {
        self.needs_read = false;
        if let Some(copy) = self.peers.tables.borrow_mut().get_mut(self.table) {
            copy.replace(&rows, known);
        }
        self.follower.replace(rows, after_outage).await;
    }

    /// Applies changed rows up to a revision.
    async fn change(&mut self, rows: Vec<Row>, revision: u64, after_outage: bool) {
        self.needs_read = false;
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
        self.count_fetch(delta.is_some());
        delta
    }

    /// Applies what was fetched, and passes it on if this instance is a hub.
    async fn apply_delta(&mut self, delta: TableDelta) {
        let TableDelta { known, unsettled, complete, rows } = delta;
        if known.revision <= self.known().revision {
            return;
        }
        self.record_era(known.revision);
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

    /// Applies changes until the process ends.
    async fn follow_changes(&mut self) {
        let shared = self.shared.clone();
        loop {
            if !self.needs_read
                && !self.polls.is_empty()
                && !shared.store.continues(self.known().revision)
            {
                self.restart(self.gateway.now());
            }
            let wake_at = self.start_due_polls();
            tokio::select! {
                Some(poll) = self.polls.join_next() => match poll {
                    Ok(Ok(Answer::Table(page))) => self.apply_table(page).await,
                    Ok(Ok(Answer::Changes(page))) => self.apply_page(page).await,
                    Ok(Err(StoreError::Compacted)) => self.record_history_loss(),
                    Ok(Err(error)) => self.poll_failed(&error),
                    Err(error) => log::debug!("poll of table {} ended: {error}", self.table),
                },
                Some(fetched) = self.fetches.join_next() => {
                    self.apply_fetched(fetched.unwrap_or_default()).await;
                }
                Some(received) = self.updates.recv() => self.follow_update(received).await,
                () = shared.recovered.notified() => self.schedule.limit_pause(self.gateway.now()),
                () = tokio::time::sleep_until(self.gateway.instant(wake_at)) => {}
            }
        }
    }

    /// Records that the history of the table is not available, so that it must be read whole.
    fn record_history_loss(&mut self) {
        let calls = &self.gateway.metrics.store_calls;
        Metrics::count(calls, StoreError::Compacted.name());
        let backoff = match self.history_losses {
            0 => Duration::ZERO,
            losses => (MIN_BACKOFF * 2u32.pow(losses.min(6))).min(MAX_BACKOFF),
        };
        self.history_losses += 1;
        self.restart(self.gateway.now() + backoff);
    }

    /// Abandons the open polls and has the whole table read, no earlier than `at`.
    fn restart(&mut self, at: MonotonicTime) {
        self.needs_read = true;
        self.drop_polls();
        self.schedule.catch_up(at);
    }

    /// Starts the polls that are due, and returns when to look again.
    fn start_due_polls(&mut self) -> MonotonicTime {
        loop {
            let now = self.gateway.now();
            let situation = self.situation(now);
            if !self.relies_on_others(now) {
                // The pause may have begun when it did.
                self.schedule.limit_pause(now + PROBE_WAIT);
            }
            match self.schedule.next_step(situation) {
                PollStep::Poll(wait) => {
                    self.health.called_at = now;
                    self.start_poll(wait);
                }
                PollStep::Repeat => {
                    self.record_overdue();
                    self.shared.store.reconnect();
                    self.start_poll(Duration::ZERO);
                }
                PollStep::Replace(wait) => {
                    Metrics::count(&self.gateway.metrics.store_calls, "overdue");
                    self.polls = JoinSet::new();
                    self.shared.store.reconnect();
                    self.health.called_at = now;
                    self.start_poll(wait);
                }
                // A change of role is noticed in time.
                PollStep::Wait(until) => return until.min(now + ROLE_CHECK),
            }
        }
    }

    fn situation(&mut self, now: MonotonicTime) -> PollSituation {
        let position = self.peers.reader_position(self.table, now);
        let patience = match self.needs_read {
            _ if self.relies_on_others(now) => MAX_BACKOFF_BEHIND_OTHERS,
            true => READ_PATIENCE,
            false => ANSWER_PATIENCE,
        };
        let mode = self.election.next_mode(position, now);
        self.log_role(mode == FeedMode::ReadForOthers, position, now);
        PollSituation { mode, holds_poll: self.peers.holds_poll(now), patience, now }
    }

    /// Whether it is left to other instances to find an unavailable store available again.
    fn relies_on_others(&self, now: MonotonicTime) -> bool {
        // Callers wait until an instance that starts has the table.
        self.known().revision > 0 && self.peers.relies_on_others(now)
    }

    /// Logs when this instance begins or ceases to read the table for others.
    fn log_role(&mut self, reads: bool, position: usize, now: MonotonicTime) {
        if std::mem::replace(&mut self.reads_for_others, reads) == reads {
            return;
        }
        let fields = json!({
            "table": self.table,
            "role": if reads { "reads" } else { "listens" },
            "position": position,
            "hub": self.peers.is_hub(now),
        });
        self.gateway.event_log.write("table_role", now, || fields);
    }

    fn start_poll(&mut self, wait: Duration) {
        let (shared, table, since) = (self.shared.clone(), self.table, self.known().revision);
        if self.needs_read {
            self.polls
                .spawn_local(async move { shared.store.read(table).await.map(Answer::Table) });
        } else {
            self.polls.spawn_local(async move {
                shared.store.feed(table, since, wait).await.map(Answer::Changes)
            });
        }
    }

    /// Abandons the open polls.
    fn drop_polls(&mut self) {
        self.polls = JoinSet::new();
        self.schedule.record_answer();
    }

    /// Fetches what is missing from another instance, unless a fetch is open.
    fn start_fetch(&mut self, source: SocketAddr) {
        if !self.fetches.is_empty() {
            return;
        }
        let (peers, gateway, table) = (self.peers.clone(), self.gateway.clone(), self.table);
        let (since, now) = (self.known().revision, gateway.now());
        self.fetches.spawn_local(async move {
            peers.fetch(&gateway.pool, table, since, Some(source), now).await
        });
    }

    /// Applies what was fetched. If that is nothing, asks the store.
    async fn apply_fetched(&mut self, delta: Option<TableDelta>) {
        self.count_fetch(delta.is_some());
        match delta {
            Some(delta) => self.apply_delta(delta).await,
            None => self.schedule.catch_up(self.gateway.now()),
        }
    }

    fn count_fetch(&self, found: bool) {
        let how = if found { "fetched" } else { "not_fetched" };
        Metrics::count(&self.gateway.metrics.table_updates, how);
    }

    /// Applies an update of another instance, and fetches the rows that it lacks.
    async fn follow_update(&mut self, received: ReceivedUpdate) {
        // It was told in an earlier era, or by an instance that knows no eras, and says nothing
        // about this one.
        if era(received.update.known.revision) < era(self.known().revision) {
            return Metrics::count(&self.gateway.metrics.table_updates, "earlier_era");
        }
        let now = self.gateway.now();
        let (unsettled, was_settling) = (received.update.unsettled, self.health.is_settling(now));
        let before = self.known().revision;
        let source = self.apply_update(received).await;
        if unsettled && !was_settling {
            self.schedule.record_outage(now);
        }
        if source.is_some() || self.known().changed > before {
            self.schedule.expect_answer(ANSWER_PATIENCE, now);
        }
        match source {
            Some(source) => self.start_fetch(source),
            None if self.situation(now).mode != FeedMode::ReadForOthers => {
                self.reset_failures_after_update();
            }
            None => {}
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
    async fn apply_page(&mut self, page: Page) {
        self.drop_polls();
        self.history_losses = 0;
        let now = self.gateway.now();
        let recovered = self.call_succeeded();
        let is_reader = self.situation(now).mode == FeedMode::ReadForOthers;
        let outage = recovered || (!is_reader && self.health.is_settling(now));
        let before = self.known();
        let has_rows = !page.rows.is_empty();
        // Updates applied during the call may be newer than its answer.
        if page.revision > before.revision {
            self.change(page.rows.clone(), page.revision, outage).await;
            let updates =
                split_updates(self.table, &page.rows, before.changed, self.known(), outage);
            // Hubs pass changes on to instances that the store turns away.
            if is_reader || self.peers.is_hub(now) {
                self.peers.send_updates(updates, true, now).await;
            } else {
                self.peers.send_updates_to_hub(updates, now).await;
            }
        }
        self.confirm(now);
        if is_reader {
            self.peers.record_answer(self.table, now, self.health.is_settling(now), true);
        }
        if has_rows {
            let window = if is_reader { READER_BATCH_WINDOW } else { F::BATCH_WINDOW };
            self.schedule.pause(now + window);
        }
    }

    /// Handles a poll that failed.
    fn poll_failed(&mut self, error: &StoreError) {
        if self.schedule.record_failure() {
            self.call_failed(error);
        } else {
            Metrics::count(&self.gateway.metrics.store_calls, error.name());
        }
    }

    /// Records that the answer of the store is overdue.
    fn record_overdue(&mut self) {
        if self.health.failures == 0 {
            self.log_store_lost(&"the answer is overdue");
        }
        Metrics::count(&self.gateway.metrics.store_calls, "overdue");
        self.election.record_own_answer(false);
        self.health.failures += 1;
    }

    fn log_store_lost(&self, reason: &dyn fmt::Display) {
        let now = self.gateway.now();
        let pending = now.saturating_sub(self.health.called_at);
        let fields = json!({
            "table": self.table,
            "why": reason.to_string(),
            "pending_ms": pending.as_millis() as u64,
            "revision": number(self.known().revision),
        });
        log_event("store_lost", now, fields);
    }

    /// Handles a failed call: pauses for a backoff, or until the prober finds the store
    /// available again.
    fn call_failed(&mut self, error: &StoreError) {
        if self.health.failures == 0 {
            self.log_store_lost(error);
        }
        Metrics::count(&self.gateway.metrics.store_calls, error.name());
        self.election.record_own_answer(false);
        let now = self.gateway.now();
        let max_backoff = match self.relies_on_others(now) {
            true => MAX_BACKOFF_BEHIND_OTHERS,
            false => MAX_BACKOFF,
        };
        let backoff = (MIN_BACKOFF * 2u32.pow(self.health.failures.min(6))).min(max_backoff);
        self.health.failures += 1;
        let pause = match self.shared.is_prober(self.table) {
            true => backoff.mul_f64(0.5 + self.gateway.random() / 2.0),
            false => PROBE_WAIT,
        };
        match self.needs_read {
            true => self.schedule.catch_up(now + pause),
            false => self.schedule.pause(now + pause),
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

/// Maximum number of unreadable rows that are remembered; further ones are not logged.
const MAX_UNREADABLE: usize = 1_000;

/// Rows that were logged as unreadable, so that each is logged once per revision.
#[derive(Debug, Default)]
pub struct UnreadableRows {
    /// Logged revisions by key.
    rows: BTreeMap<String, u64>,
}

impl UnreadableRows {
    /// Logs an unreadable row, once per revision.
    pub fn log_once<D>(&mut self, gateway: &Gateway<D>, row: &Row, reason: &dyn fmt::Display) {
        if self.rows.len() >= MAX_UNREADABLE && !self.rows.contains_key(&row.key) {
            return;
        }
        if self.rows.insert(row.key.clone(), row.revision) != Some(row.revision) {
            let fields =
                json!({ "key": row.key, "revision": row.revision, "why": reason.to_string() });
            gateway.event_log.write("row_unreadable", gateway.now(), || fields);
        }
    }
}
