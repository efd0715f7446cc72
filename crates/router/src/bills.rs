//! Bills on their way to the table.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};

use config::Name;
use ledger::{Batch, Bill, Book, BookSize, BookStatus};
use policy::RequestId;
use store::{HttpPlatform, StoreError, Table, insert};

use crate::directory::Directory;
use crate::metrics::{BillState, Metrics};

/// Copies of bills that are this old, in milliseconds, are written by their
/// holder, whether or not the instance that made them is known to be gone:
/// writing twice adds nothing.
const COPY_AGE_MS: u64 = 60_000;

/// Where a bill is before the last bytes of its answer go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Secured {
    /// With a peer of the domain and a peer of another one.
    Peers,
    /// In the table.
    Table,
    /// Only here and with whichever peer could be reached.
    Alone,
}

/// The bills that the instance holds, and the ways to keep them safe.
#[derive(Debug)]
pub struct Bills {
    instance: Name,
    domain: Name,
    book: Mutex<Book>,
    copied: Mutex<HashMap<RequestId, Vec<SocketAddr>>>,
    peers: OnceLock<peer::Handle>,
    directory: Arc<Directory>,
    platform: HttpPlatform,
    metrics: Arc<Metrics>,
}

impl Bills {
    /// The bills of one incarnation of an instance.
    pub fn new(
        identity: (Name, u64, Name),
        size: BookSize,
        directory: Arc<Directory>,
        platform: HttpPlatform,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (instance, incarnation, domain) = identity;
        Bills {
            book: Mutex::new(Book::new(instance.clone(), incarnation, size)),
            instance,
            domain,
            copied: Mutex::default(),
            peers: OnceLock::new(),
            directory,
            platform,
            metrics,
        }
    }

    /// Sets the way to talk to peers; done once at start.
    pub fn connect(&self, peers: peer::Handle) {
        let _ = self.peers.set(peers);
    }

    /// Whether new work must be refused because too many bills wait.
    pub fn full(&self) -> bool {
        self.book.lock().unwrap().full()
    }

    /// Adds a bill without keeping it safe.
    pub fn add_unsecured(&self, bill: Bill) {
        self.book.lock().unwrap().add(bill);
    }

    /// Keeps a bill safe; returns once it is, or once nothing more can be done.
    pub async fn secure(&self, bill: Bill) -> Secured {
        let id = bill.id;
        self.book.lock().unwrap().add(bill.clone());
        let bills: Arc<[Bill]> = Arc::from([bill.clone()]);
        let (inside, outside) =
            tokio::join!(self.hold(true, bills.clone()), self.hold(false, bills));
        let holders: Vec<SocketAddr> = inside.iter().chain(&outside).copied().collect();
        let secured = match (inside, outside) {
            (Some(_), Some(_)) => Secured::Peers,
            _ => match self.flush().await {
                Ok(written) if written.contains(&id) => Secured::Table,
                _ => Secured::Alone,
            },
        };
        self.note_holders(id, holders, secured);
        let state = match secured {
            Secured::Peers => BillState::Held,
            Secured::Table => BillState::Direct,
            Secured::Alone => BillState::Alone,
        };
        self.metrics.bills.get_or_create(&state.into()).inc();
        secured
    }

    fn note_holders(&self, id: RequestId, holders: Vec<SocketAddr>, secured: Secured) {
        if secured == Secured::Table {
            // The batch was written before the holders were noted: release them now.
            self.release_later(HashMap::from_iter(holders.iter().map(|a| (*a, vec![id]))));
        } else if !holders.is_empty() {
            self.copied.lock().unwrap().insert(id, holders);
        }
    }

    /// Has one peer inside or outside the domain hold the bills: the first that does.
    async fn hold(&self, inside: bool, bills: Arc<[Bill]>) -> Option<SocketAddr> {
        let peers = self.peers.get()?;
        let candidates = self.directory.holders(&self.instance, &self.domain, inside);
        for addr in candidates.into_iter().take(2) {
            if let Ok(true) = peers.hold(addr, bills.clone()).await {
                return Some(addr);
            }
        }
        None
    }

    /// Writes one batch; returns the ids that are now in the table.
    pub async fn flush(&self) -> Result<Vec<RequestId>, StoreError> {
        let Some(batch) = self.book.lock().unwrap().batch() else { return Ok(Vec::new()) };
        self.write(&batch).await?;
        let ids = self.book.lock().unwrap().written(batch.sequence);
        let count = ids.len() as u64;
        self.metrics.bills.get_or_create(&BillState::Written.into()).inc_by(count);
        self.release(&ids);
        Ok(batch.bills.iter().map(|bill| bill.id).collect())
    }

    /// Writes batches until none is left; false if the table does not take them.
    pub async fn flush_all(&self) -> bool {
        while self.book.lock().unwrap().waiting() > 0 {
            if self.flush().await.is_err() {
                return false;
            }
        }
        true
    }

    /// A row that exists was written before and its reply was lost.
    async fn write(&self, batch: &Batch) -> Result<(), StoreError> {
        let value = serde_json::to_value(batch).map_err(|e| StoreError::Refused(e.to_string()))?;
        self.platform.transact(&insert(batch.key(), value)).await.map(|_| ())
    }

    fn release(&self, ids: &[RequestId]) {
        let mut by_peer: HashMap<SocketAddr, Vec<RequestId>> = HashMap::new();
        let mut copied = self.copied.lock().unwrap();
        for id in ids {
            for addr in copied.remove(id).unwrap_or_default() {
                by_peer.entry(addr).or_default().push(*id);
            }
        }
        drop(copied);
        self.release_later(by_peer);
    }

    fn release_later(&self, by_peer: HashMap<SocketAddr, Vec<RequestId>>) {
        let Some(peers) = self.peers.get().cloned() else { return };
        for (addr, ids) in by_peer {
            let peers = peers.clone();
            tokio::spawn(async move {
                // A release that is lost leaves a copy that is written once more.
                let _ = peers.release(addr, ids.into()).await;
            });
        }
    }

    /// Holds copies for a peer.
    pub fn hold_for(&self, instance: Name, incarnation: u64, bills: Vec<Bill>) -> bool {
        self.book.lock().unwrap().hold(&instance, incarnation, bills)
    }

    /// Drops copies that a peer released.
    pub fn release_for(&self, instance: &Name, incarnation: u64, ids: &[RequestId]) {
        self.book.lock().unwrap().release(instance, incarnation, ids);
    }

    /// Takes over copies of incarnations that are gone, and copies that are old.
    pub fn adopt(&self, gone: impl Fn(&str, u64) -> bool, wall_ms: u64) {
        let before = wall_ms.saturating_sub(COPY_AGE_MS);
        let count = self.book.lock().unwrap().adopt(|name, inc| gone(name, inc), before);
        if count > 0 {
            log::info!("took over {count} bills of instances that are gone");
            self.metrics.bills.get_or_create(&BillState::Adopted.into()).inc_by(count as u64);
        }
    }

    /// The state, for the dump.
    pub fn status(&self) -> BookStatus {
        self.book.lock().unwrap().status()
    }
}
