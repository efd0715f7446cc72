//! Instances of earlier builds that do not know eras of the store.
//!
//! Such an instance knows revisions by their number alone. It is told numbers, as it would read
//! them from the store, and what it tells is not compared with revisions of a later era.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use conn::Pool;
use http::{HeaderMap, HeaderName};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::digest::{Digest, RouteReport};
use crate::fetch::fetch_table;
use crate::gateway::Gateway;
use crate::peers::{Message, Peers};
use crate::revision::{era, number, revision};
use crate::table::{Row, TableDelta};
use crate::updates::{KnownRevision, TableUpdate};

/// Present on requests for tables and on their answers if the sender knows eras.
pub(crate) const ERAS: HeaderName = HeaderName::from_static("lacewingchute-eras");

/// How long an instance that seems not to know eras is not asked again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of instances remembered.
const MAX_REMEMBERED: usize = 4_096;
/// A revision after which no rows are returned.
const NO_ROWS: u64 = u64::MAX;

/// Which of the other instances know eras.
#[derive(Debug, Default)]
pub(crate) struct EraSupport {
    processes: RefCell<HashMap<Process, Support>>,
    /// Notified when there are instances to ask.
    asked: Notify,
}

/// A process of another instance: its address and incarnation.
pub(crate) type Process = (SocketAddr, u64);

#[derive(Debug, Clone, Copy, Default)]
struct Support {
    /// Whether it knows eras; `None` before it answered.
    supported: Option<bool>,
    /// When it was last asked.
    asked_at: Option<Instant>,
}

impl Support {
    fn is_due(&self) -> bool {
        self.supported != Some(true)
            && self.asked_at.is_none_or(|at| at.elapsed() >= RECHECK_INTERVAL)
    }
}

/// The receivers of a message that names revisions.
#[derive(Debug, Default)]
pub(crate) struct Receivers {
    /// Those that know eras.
    pub supporting: Vec<SocketAddr>,
    /// Those that know numbers only.
    pub others: Vec<SocketAddr>,
}

impl EraSupport {
    /// Records whether a process knows eras.
    pub fn record(&self, process: Process, supported: bool) {
        let mut processes = self.processes.borrow_mut();
        if processes.len() >= MAX_REMEMBERED {
            processes.clear();
        }
        processes.entry(process).or_default().supported = Some(supported);
    }

    /// Divides receivers by whether they know eras. Those of which this is not known are left
    /// out and asked. One that says that it does not is asked again: it may not have noticed
    /// a new era yet.
    pub fn divide(&self, receivers: &[Process]) -> Receivers {
        let mut divided = Receivers::default();
        let processes = self.processes.borrow();
        for process in receivers {
            let support = processes.get(process).copied().unwrap_or_default();
            match support.supported {
                Some(true) => divided.supporting.push(process.0),
                Some(false) => divided.others.push(process.0),
                None => {}
            }
            if support.is_due() {
                self.asked.notify_one();
            }
        }
        divided
    }

    /// Returns those of these processes that are to be asked now.
    fn take_due(&self, candidates: Vec<Process>) -> Vec<Process> {
        let mut processes = self.processes.borrow_mut();
        let mut due = candidates;
        due.retain(|process| {
            let support = processes.entry(*process).or_default();
            let is_due = support.is_due();
            if is_due {
                support.asked_at = Some(Instant::now());
            }
            is_due
        });
        due
    }
}

impl Peers {
    /// Asks other instances whether they know eras, until the process ends.
    pub(crate) async fn learn_era_support<D: 'static>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            self.era_support.asked.notified().await;
            let now = gateway.now();
            let receivers = {
                let membership = self.membership();
                let mut receivers = membership.neighbours(now);
                receivers.extend(membership.foreign_hubs(now));
                receivers.extend(membership.uplinks(now));
                receivers
            };
            let Some(table) = self.tables.borrow().keys().next().copied() else { continue };
            for process in self.era_support.take_due(self.processes(&receivers)) {
                let (peers, gateway) = (self.clone(), gateway.clone());
                tokio::task::spawn_local(async move {
                    match ask_support(&gateway.pool, process.0, table).await {
                        Ok(supported) => peers.era_support.record(process, supported),
                        Err(error) => {
                            log::debug!("cannot ask {} for its era: {error:#}", process.0);
                        }
                    }
                });
            }
        }
    }

    /// Returns the processes that are at these addresses, as far as is known.
    pub(crate) fn processes(&self, addrs: &[SocketAddr]) -> Vec<Process> {
        let membership = self.membership();
        addrs.iter().map(|addr| (*addr, membership.incarnation(addr))).collect()
    }
}

/// Asks an instance for the rows of a table after a revision that does not exist.
async fn ask_support(pool: &Pool, addr: SocketAddr, table: &str) -> Result<bool> {
    let (headers, delta) = fetch_table(pool, addr, table, NO_ROWS).await?;
    Ok(supports_eras(&headers) || era(delta.known.revision) > 0)
}

/// Whether the sender of a request or answer knows eras, by its headers.
pub(crate) fn supports_eras(headers: &HeaderMap) -> bool {
    headers.contains_key(ERAS)
}

/// Whether two revisions are the same, one of which may come from an instance that knows no
/// eras.
pub(crate) fn is_same_revision(a: u64, b: u64) -> bool {
    a == b || (era(a) == 0 || era(b) == 0) && number(a) == number(b)
}

/// Messages and tables as instances that know no eras are told them.
pub(crate) trait WithoutEras {
    /// Returns the same with the numbers of the revisions.
    fn without_eras(self) -> Self;
}

impl WithoutEras for KnownRevision {
    fn without_eras(self) -> Self {
        // The last change of an earlier era lies before all of this one.
        let is_current = era(self.changed) == era(self.revision);
        let changed = if is_current { number(self.changed) } else { 0 };
        KnownRevision { revision: number(self.revision), changed }
    }
}

impl WithoutEras for Row {
    fn without_eras(self) -> Self {
        Row { revision: number(self.revision), ..self }
    }
}

impl WithoutEras for TableUpdate {
    fn without_eras(mut self) -> Self {
        // Changes since a revision of an earlier era are not all changes since any number.
        let is_current = |before: u64| era(before) == era(self.known.revision);
        self.changes = self.changes.filter(|changes| is_current(changes.before));
        if let Some(changes) = &mut self.changes {
            changes.before = number(changes.before);
            let rows = std::mem::take(&mut changes.rows).into_iter();
            changes.rows = rows.map(WithoutEras::without_eras).collect();
        }
        self.known = self.known.without_eras();
        self
    }
}

impl WithoutEras for TableDelta {
    fn without_eras(self) -> Self {
        let rows = self.rows.into_iter().map(WithoutEras::without_eras).collect();
        TableDelta { known: self.known.without_eras(), rows, ..self }
    }
}

impl WithoutEras for Digest {
    fn without_eras(mut self) -> Self {
        self.change_revisions(number);
        self
    }
}

impl<T> WithoutEras for RouteReport<T> {
    fn without_eras(mut self) -> Self {
        self.change_revision(number);
        self
    }
}

impl Message {
    /// Returns the message for instances that know no eras; `None` if it names no revision.
    pub(crate) fn without_eras(&self) -> Option<Message> {
        match self {
            Message::Update(update) => Some(Message::Update(update.clone().without_eras())),
            Message::Digest(digest) if digest.names_revisions() => {
                Some(Message::Digest(digest.clone().without_eras()))
            }
            Message::Routes(report) => Some(Message::Routes(report.clone().without_eras())),
            Message::RouteDetails(report) => {
                Some(Message::RouteDetails(report.clone().without_eras()))
            }
            Message::Digest(_)
            | Message::Membership(_)
            | Message::Loads(_)
            | Message::Blame(_)
            | Message::RateLimits(_)
            | Message::PermitRequest(_)
            | Message::PermitReply(_)
            | Message::PermitRelease(_)
            | Message::ServerReports(_)
            | Message::SlotUses(_)
            | Message::ColdServers(_)
            | Message::ColdRequest(_) => None,
        }
    }
}

/// Returns the revision with a number that an instance without eras names, in the era of a
/// table.
pub(crate) fn in_era_of(table: KnownRevision, since: u64) -> u64 {
    if since == 0 { 0 } else { revision(era(table.revision), since) }
}
