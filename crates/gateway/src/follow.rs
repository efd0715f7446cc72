//! Following tables of the store: by a feed, or by what the domain's reader tells.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{Mono, ReadDuty, ReadStep};
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;

use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::record::record;
use crate::words::{Heard, Known, Missing, words_of};

/// How long a feed of one's own is held open.
const HELD: Duration = Duration::from_secs(25);
/// How long the reader of a domain holds a feed open: its answers, empty ones
/// too, show the others that the store is in touch.
const HELD_FOR_ALL: Duration = Duration::from_millis(700);
/// Changes that come within this time are read together by a domain's reader.
const GATHER_FOR_ALL: Duration = Duration::from_millis(250);
/// The first pause after a call that failed; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause: short enough that changes are in force in time once the store is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How long the follower of one table leaves it to another's to find the store again.
const LEFT_TO_OTHER: Duration = Duration::from_secs(3);
/// How long after an outage others may still read what changed in it.
const UNSETTLED: Duration = Duration::from_secs(1);

/// Why a call to the store has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreFault {
    /// The call was refused with this status and did nothing.
    Refused(u16),
    /// No answer came; a write may have taken effect, or may do so later.
    Unknown(String),
    /// The history that a feed asks for is gone.
    Compacted,
}

impl StoreFault {
    /// The name of the fault in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            StoreFault::Refused(_) => "refused",
            StoreFault::Unknown(_) => "unanswered",
            StoreFault::Compacted => "compacted",
        }
    }
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreFault::Refused(status) => write!(f, "refused with {status}"),
            StoreFault::Unknown(why) => write!(f, "no answer: {why}"),
            StoreFault::Compacted => f.write_str("the history is gone"),
        }
    }
}

/// One row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; `None` if it was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of its last change.
    pub revision: u64,
}

/// Rows as of one revision.
#[derive(Debug)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The newest revision of the store; a feed goes on from here.
    pub revision: u64,
    /// The store's steady clock in milliseconds.
    pub now_ms: u64,
    /// Whether there are more rows.
    pub more: bool,
}

/// Tables that can be read and followed.
pub trait Tables {
    /// Reads a table in whole.
    fn read(&self, table: &str) -> impl Future<Output = Result<Page, StoreFault>>;

    /// Waits so long for changes of a table behind a revision.
    fn feed(
        &self,
        table: &str,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreFault>>;
}

/// What is done with the rows of a table.
pub trait Follower {
    /// Changes that come within this time are read together.
    const GATHER: Duration;

    /// Takes all rows of the table; `after_outage` if calls failed just before.
    fn replace(&mut self, rows: Vec<Row>, after_outage: bool) -> impl Future<Output = ()>;

    /// Takes changed rows.
    fn change(&mut self, rows: Vec<Row>, after_outage: bool) -> impl Future<Output = ()>;
}

/// A store whose tables are followed.
#[derive(Debug)]
pub struct Followed<T> {
    store: T,
    /// The table whose follower looks whether the store is back.
    prober: Cell<Option<&'static str>>,
    back: Notify,
}

impl<T: Tables> Followed<T> {
    /// A store of which no table is followed yet.
    pub fn new(store: T) -> Rc<Self> {
        Rc::new(Followed { store, prober: Cell::default(), back: Notify::new() })
    }

    /// Follows a table until the process ends.
    pub async fn follow<D, F: Follower>(
        self: Rc<Self>,
        gateway: Rc<Gateway<D>>,
        peers: Rc<Peers>,
        table: &'static str,
        follower: F,
    ) {
        let following = Following {
            words: peers.subscribe(table),
            gateway,
            peers,
            followed: self,
            table,
            follower,
            duty: ReadDuty::default(),
            link: Link::default(),
            known: Known::default(),
        };
        following.run().await;
    }

    /// Whether it is left to this table's follower to find the store again.
    fn probes(&self, table: &'static str) -> bool {
        let prober = self.prober.get().unwrap_or(table);
        self.prober.set(Some(prober));
        prober == table
    }

    /// Notes that this table's follower looks no more whether the store is back.
    fn done(&self, table: &'static str) {
        if self.prober.get() == Some(table) {
            self.prober.set(None);
            self.back.notify_waiters();
        }
    }
}

/// A table that is followed.
struct Following<D, T, F> {
    gateway: Rc<Gateway<D>>,
    peers: Rc<Peers>,
    followed: Rc<Followed<T>>,
    table: &'static str,
    follower: F,
    words: Receiver<Heard>,
    duty: ReadDuty,
    link: Link,
    known: Known,
}

impl<D, T: Tables, F: Follower> Following<D, T, F> {
    async fn run(mut self) {
        loop {
            match self.followed.store.read(self.table).await {
                Ok(page) => {
                    let outage = self.regained();
                    self.known = Known { revision: page.revision, changed: page.revision };
                    // What was just read needs no other's word for a while.
                    self.duty.heard(self.gateway.now(), true);
                    self.follower.replace(page.rows, outage).await;
                    self.until_compacted().await;
                }
                Err(fault) => self.lost(&fault).await,
            }
        }
    }

    /// Takes changes until the history is gone.
    async fn until_compacted(&mut self) {
        let domain = self.gateway.setup.domain.clone();
        loop {
            let (place, instances) = self.peers.place_near(&domain, self.table);
            let step = self.duty.step(place, instances, self.gateway.now());
            let asked = match step {
                ReadStep::Hold => self.ask(HELD).await,
                ReadStep::Read => self.ask(HELD_FOR_ALL).await,
                ReadStep::Listen(until) if self.listen(until).await => {
                    self.ask(Duration::ZERO).await
                }
                ReadStep::Listen(_) => continue,
            };
            match asked {
                Ok(page) => self.changed(page, step).await,
                Err(StoreFault::Compacted) => {
                    let calls = &self.gateway.metrics.store_calls;
                    return Metrics::count(calls, StoreFault::Compacted.name());
                }
                Err(fault) => self.lost(&fault).await,
            }
        }
    }

    /// Asks for changes; takes meanwhile what others tell.
    async fn ask(&mut self, wait: Duration) -> Result<Page, StoreFault> {
        let followed = self.followed.clone();
        let asking = followed.store.feed(self.table, self.known.revision, wait);
        tokio::pin!(asking);
        loop {
            tokio::select! {
                answer = &mut asking => return answer,
                Some(heard) = self.words.recv() => self.take(heard).await,
            };
        }
    }

    /// Listens until a moment, or until something is missing; returns whether it is.
    async fn listen(&mut self, until: Mono) -> bool {
        let until = self.gateway.instant(until);
        match tokio::time::timeout_at(until, self.words.recv()).await {
            Ok(Some(heard)) => {
                let behind = self.take(heard).await;
                if !behind {
                    self.told();
                }
                behind
            }
            Ok(None) | Err(_) => false,
        }
    }

    /// Pauses; takes meanwhile what others tell.
    async fn pause(&mut self, pause: Duration) {
        let until = tokio::time::Instant::now() + pause;
        while let Ok(Some(heard)) = tokio::time::timeout_at(until, self.words.recv()).await {
            self.take(heard).await;
        }
    }

    /// Takes what another instance read; returns whether something is missing.
    async fn take(&mut self, Heard { word, before }: Heard) -> bool {
        let now = self.gateway.now();
        self.duty.heard(now.saturating_sub(Duration::from_millis(word.age_ms)), before);
        if word.unsettled {
            self.link.regained = Some(now);
        }
        let missing = self.known.missing(&word);
        Metrics::count(&self.gateway.metrics.words, missing.name());
        match missing {
            Missing::Nothing => false,
            Missing::Told(rows) => {
                self.known.advance(&rows, word.known.revision);
                self.follower.change(rows, word.unsettled).await;
                false
            }
            Missing::Untold => true,
        }
    }

    /// Takes what the store answered, and tells it if this instance reads for all.
    async fn changed(&mut self, page: Page, step: ReadStep) {
        let now = self.gateway.now();
        let regained = self.regained();
        let outage = regained || (step != ReadStep::Read && self.link.unsettled(now));
        let before = self.known;
        let any = !page.rows.is_empty();
        // What others told meanwhile can be newer.
        if page.revision > before.revision {
            self.known.advance(&page.rows, page.revision);
            let words = match step {
                ReadStep::Read => {
                    words_of(self.table, &page.rows, before.changed, self.known, outage)
                }
                ReadStep::Hold | ReadStep::Listen(_) => Vec::new(),
            };
            if any {
                self.follower.change(page.rows, outage).await;
            }
            self.peers.tell_words(&self.gateway.setup.domain, words).await;
        }
        let gather = match step {
            ReadStep::Hold => F::GATHER,
            ReadStep::Read => {
                self.peers.answered(self.table, self.known, now, self.link.unsettled(now));
                GATHER_FOR_ALL
            }
            ReadStep::Listen(_) => return,
        };
        if any {
            self.pause(gather).await;
        }
    }

    /// Notes a call that failed, and pauses.
    async fn lost(&mut self, fault: &StoreFault) {
        if self.link.failures == 0 {
            let fields = json!({ "table": self.table, "why": fault.to_string() });
            record("store_lost", self.gateway.now(), fields);
        }
        Metrics::count(&self.gateway.metrics.store_calls, fault.name());
        self.duty.answered(false);
        let pause = (FIRST_PAUSE * 2u32.pow(self.link.failures.min(4))).min(LONGEST_PAUSE);
        self.link.failures += 1;
        if self.followed.probes(self.table) {
            self.pause(pause.mul_f64(0.5 + self.gateway.random() / 2.0)).await;
        } else {
            let followed = self.followed.clone();
            tokio::select! {
                () = followed.back.notified() => {}
                () = self.pause(LEFT_TO_OTHER) => {}
            }
        }
    }

    /// Notes a call that got through; returns whether those before had failed.
    fn regained(&mut self) -> bool {
        let outage = self.link.failures > 0;
        if outage {
            let fields = json!({ "table": self.table, "failures": self.link.failures });
            record("store_regained", self.gateway.now(), fields);
            self.link.regained = Some(self.gateway.now());
        }
        Metrics::count(&self.gateway.metrics.store_calls, "answered");
        self.link.failures = 0;
        self.duty.answered(true);
        self.followed.done(self.table);
        outage
    }

    /// Notes that others of the domain tell what the store holds.
    fn told(&mut self) {
        if self.link.failures > 0 {
            let fields = json!({ "table": self.table, "failures": self.link.failures });
            record("store_told_by_peers", self.gateway.now(), fields);
        }
        self.link.failures = 0;
        self.followed.done(self.table);
    }
}

/// Whether calls get through.
#[derive(Debug, Default)]
struct Link {
    failures: u32,
    regained: Option<Mono>,
}

impl Link {
    /// Whether the store was regained just now.
    fn unsettled(&self, now: Mono) -> bool {
        self.regained.is_some_and(|at| now.saturating_sub(at) < UNSETTLED)
    }
}

/// Rows that were logged as unreadable, so that each is logged once.
#[derive(Debug, Default)]
pub struct Unreadable {
    rows: BTreeMap<String, u64>,
}

impl Unreadable {
    /// Logs a row that can't be read, once for each revision.
    pub fn note<D>(&mut self, gateway: &Gateway<D>, row: &Row, why: &dyn fmt::Display) {
        if self.rows.insert(row.key.clone(), row.revision) != Some(row.revision) {
            let fields =
                json!({ "key": row.key, "revision": row.revision, "why": why.to_string() });
            gateway.event_log.write("row_unreadable", gateway.now(), || fields);
        }
    }
}
