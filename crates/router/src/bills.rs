//! Bills that have not been written to the table yet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};

use config::Name;
use ledger::{Batch, Bill, BillBuffer, BillBufferCapacity, BillBufferStatus};
use policy::RequestId;
use store::{HttpPlatform, StoreError, Table, insert};

use crate::directory::Directory;
use crate::metrics::{BillState, Metrics};

/// The age, in milliseconds, at which a peer's copy of a bill is written by its holder
/// even if the instance that made it is still alive. Writing a bill twice has no
/// effect.
const MAX_COPY_AGE_MS: u64 = 60_000;

/// How durably a bill is stored before the last bytes of its answer are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// A peer in the same failure domain and one in another domain hold copies.
    Replicated,
    /// The bill is in the table.
    Stored,
    /// Neither replication nor the write succeeded: only this instance and at most one peer
    /// hold the bill.
    Degraded,
}

/// The bills held by the instance, and the means to replicate and store them.
#[derive(Debug)]
pub struct Bills {
    instance: Name,
    domain: Name,
    buffer: Mutex<BillBuffer>,
    holders: Mutex<HashMap<RequestId, Vec<SocketAddr>>>,
    peers: OnceLock<peer::Handle>,
    directory: Arc<Directory>,
    platform: HttpPlatform,
    metrics: Arc<Metrics>,
}

impl Bills {
    /// Creates an empty set of bills for one incarnation of an instance.
    pub fn new(
        identity: (Name, u64, Name),
        capacity: BillBufferCapacity,
        directory: Arc<Directory>,
        platform: HttpPlatform,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (instance, incarnation, domain) = identity;
        Bills {
            buffer: Mutex::new(BillBuffer::new(instance.clone(), incarnation, capacity)),
            instance,
            domain,
            holders: Mutex::default(),
            peers: OnceLock::new(),
            directory,
            platform,
            metrics,
        }
    }

    /// Sets the handle to reach peers. Called once at startup.
    pub fn set_peers(&self, peers: peer::Handle) {
        let _ = self.peers.set(peers);
    }

    /// Returns whether new requests must be refused because too many bills are
    /// unwritten.
    pub fn is_full(&self) -> bool {
        self.buffer.lock().unwrap().is_full()
    }

    /// Adds a bill without replicating it.
    pub fn add_unreplicated(&self, bill: Bill) {
        self.buffer.lock().unwrap().add(bill);
    }

    /// Adds a bill and replicates it to two peers, or writes it to the table if that
    /// fails. Returns once the bill is safe or both ways have failed.
    pub async fn make_durable(&self, bill: Bill) -> Durability {
        let id = bill.id;
        self.buffer.lock().unwrap().add(bill.clone());
        let bills: Arc<[Bill]> = Arc::from([bill.clone()]);
        let (local, remote) =
            tokio::join!(self.replicate(true, bills.clone()), self.replicate(false, bills));
        let addrs: Vec<SocketAddr> = local.iter().chain(&remote).copied().collect();
        let durability = match (local, remote) {
            (Some(_), Some(_)) => Durability::Replicated,
            _ => match self.flush().await {
                Ok(written) if written.contains(&id) => Durability::Stored,
                _ => Durability::Degraded,
            },
        };
        self.record_holders(id, addrs, durability);
        let state = match durability {
            Durability::Replicated => BillState::Replicated,
            Durability::Stored => BillState::Stored,
            Durability::Degraded => BillState::Degraded,
        };
        self.metrics.bills.get_or_create(&state.into()).inc();
        durability
    }

    fn record_holders(&self, id: RequestId, holders: Vec<SocketAddr>, durability: Durability) {
        if durability == Durability::Stored {
            // The batch was written before the holders were recorded, so release their
            // copies now.
            self.spawn_release(HashMap::from_iter(holders.iter().map(|a| (*a, vec![id]))));
        } else if !holders.is_empty() {
            self.holders.lock().unwrap().insert(id, holders);
        }
    }

    /// Asks up to two peers, in the instance's failure domain or outside it, to hold
    /// the bills. Returns the first that accepts.
    async fn replicate(&self, local: bool, bills: Arc<[Bill]>) -> Option<SocketAddr> {
        let peers = self.peers.get()?;
        let candidates = self.directory.holders(&self.instance, &self.domain, local);
        for addr in candidates.into_iter().take(2) {
            if let Ok(true) = peers.hold(addr, bills.clone()).await {
                return Some(addr);
            }
        }
        None
    }

    /// Writes one batch to the table and returns the ids of its bills.
    pub async fn flush(&self) -> Result<Vec<RequestId>, StoreError> {
        let Some(batch) = self.buffer.lock().unwrap().next_batch() else { return Ok(Vec::new()) };
        self.write(&batch).await?;
        let ids = self.buffer.lock().unwrap().confirm_written(batch.sequence);
        let count = ids.len() as u64;
        self.metrics.bills.get_or_create(&BillState::Written.into()).inc_by(count);
        self.release_copies(&ids);
        Ok(batch.bills.iter().map(|bill| bill.id).collect())
    }

    /// Writes batches until none is left. Returns false if a write fails.
    pub async fn flush_all(&self) -> bool {
        while self.buffer.lock().unwrap().pending_count() > 0 {
            if self.flush().await.is_err() {
                return false;
            }
        }
        true
    }

    /// Inserts a batch. If the row exists already, an earlier write succeeded and its
    /// reply was lost.
    async fn write(&self, batch: &Batch) -> Result<(), StoreError> {
        let value = serde_json::to_value(batch).map_err(|e| StoreError::Refused(e.to_string()))?;
        self.platform.transact(&insert(batch.key(), value)).await.map(|_| ())
    }

    fn release_copies(&self, ids: &[RequestId]) {
        let mut by_peer: HashMap<SocketAddr, Vec<RequestId>> = HashMap::new();
        let mut holders = self.holders.lock().unwrap();
        for id in ids {
            for addr in holders.remove(id).unwrap_or_default() {
                by_peer.entry(addr).or_default().push(*id);
            }
        }
        drop(holders);
        self.spawn_release(by_peer);
    }

    fn spawn_release(&self, by_peer: HashMap<SocketAddr, Vec<RequestId>>) {
        let Some(peers) = self.peers.get().cloned() else { return };
        for (addr, ids) in by_peer {
            let peers = peers.clone();
            tokio::spawn(async move {
                // If the release is lost, the peer writes its copy again, which has no
                // effect.
                let _ = peers.release(addr, ids.into()).await;
            });
        }
    }

    /// Stores copies of bills for a peer. Returns whether there was room for them.
    pub fn hold_for(&self, instance: Name, incarnation: u64, bills: Vec<Bill>) -> bool {
        self.buffer.lock().unwrap().hold_copies(&instance, incarnation, bills)
    }

    /// Deletes copies that a peer has released.
    pub fn release_for(&self, instance: &Name, incarnation: u64, ids: &[RequestId]) {
        self.buffer.lock().unwrap().release_copies(instance, incarnation, ids);
    }

    /// Adopts copies whose incarnation has ended or that exceed the maximum age.
    pub fn adopt(&self, has_ended: impl Fn(&str, u64) -> bool, wall_ms: u64) {
        let before = wall_ms.saturating_sub(MAX_COPY_AGE_MS);
        let count =
            self.buffer.lock().unwrap().adopt_copies(|name, inc| has_ended(name, inc), before);
        if count > 0 {
            log::info!("adopted {count} bills held as copies for other instances");
            self.metrics.bills.get_or_create(&BillState::Adopted.into()).inc_by(count as u64);
        }
    }

    /// Returns the state of the bills for the status dump.
    pub fn status(&self) -> BillBufferStatus {
        self.buffer.lock().unwrap().status()
    }
}
