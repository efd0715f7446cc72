//! The bills that an instance holds in memory: its own, and copies for its peers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use config::Name;
use policy::RequestId;
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// The maximum number of bills in one row of the table.
const MAX_BATCH_BILLS: usize = 200;

/// A batch of bills that is written to one row of the table.
///
/// The key is fixed when the batch is created, so that writing the batch twice has no
/// further effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The instance that writes the batch.
    pub instance: Name,
    /// The instance's incarnation.
    pub incarnation: u64,
    /// The number of the batch within the incarnation, starting at 1.
    pub sequence: u64,
    /// The bills in the batch.
    pub bills: Vec<Bill>,
}

impl Batch {
    /// The table key of the batch.
    pub fn key(&self) -> String {
        format!("bill/{}/{:016x}/{:08}", self.instance, self.incarnation, self.sequence)
    }
}

/// The maximum number of bills that an instance holds.
#[derive(Debug, Clone, Copy)]
pub struct BillBufferCapacity {
    /// Own bills. New requests are refused when this limit is reached.
    pub own: usize,
    /// Copies for peers. Copies that would exceed this limit are refused.
    pub copies: usize,
}

/// Bills that an instance holds until they are known to be in the table.
#[derive(Debug)]
pub struct BillBuffer {
    instance: Name,
    incarnation: u64,
    capacity: BillBufferCapacity,
    pending: VecDeque<Bill>,
    /// The batch that is being written. Kept until the write is confirmed, because a
    /// write without a reply is repeated with the same key.
    in_flight: Option<Batch>,
    sequence: u64,
    /// Copies for peers, by the instance and incarnation that created the bills.
    copies: HashMap<(Name, u64), BTreeMap<RequestId, Bill>>,
    copy_count: usize,
}

/// The numbers of held bills and written batches, for the status dump.
#[derive(Debug, Serialize)]
pub struct BillBufferStatus {
    /// Own bills that are not known to be in the table.
    pub pending: usize,
    /// Copies of peers' bills.
    pub copies: usize,
    /// Batches created in this incarnation.
    pub batches: u64,
}

impl BillBuffer {
    /// Creates an empty buffer for one incarnation of an instance.
    pub fn new(instance: Name, incarnation: u64, capacity: BillBufferCapacity) -> Self {
        BillBuffer {
            instance,
            incarnation,
            capacity,
            pending: VecDeque::new(),
            in_flight: None,
            sequence: 0,
            copies: HashMap::new(),
            copy_count: 0,
        }
    }

    /// Adds one of the instance's own bills.
    pub fn add(&mut self, bill: Bill) {
        self.pending.push_back(bill);
    }

    /// Whether the limit on own bills is reached. New requests must be refused then.
    pub fn is_full(&self) -> bool {
        self.pending_count() >= self.capacity.own
    }

    /// The number of own bills that are not known to be in the table.
    pub fn pending_count(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |batch| batch.bills.len())
    }

    /// The batch to write next, which stays the same until [`Self::confirm_written`].
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.in_flight.is_none() && !self.pending.is_empty() {
            let count = self.pending.len().min(MAX_BATCH_BILLS);
            self.sequence += 1;
            self.in_flight = Some(Batch {
                instance: self.instance.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                bills: self.pending.drain(..count).collect(),
            });
        }
        self.in_flight.clone()
    }

    /// Confirms that the batch is in the table, and returns the ids of its bills.
    pub fn confirm_written(&mut self, sequence: u64) -> Vec<RequestId> {
        match self.in_flight.take_if(|batch| batch.sequence == sequence) {
            Some(batch) => batch.bills.iter().map(|bill| bill.id).collect(),
            None => Vec::new(),
        }
    }

    /// Stores copies of a peer's bills. Returns false if they would exceed the limit.
    pub fn hold_copies(&mut self, instance: &Name, incarnation: u64, bills: Vec<Bill>) -> bool {
        if self.copy_count + bills.len() > self.capacity.copies {
            return false;
        }
        let copies = self.copies.entry((instance.clone(), incarnation)).or_default();
        for bill in bills {
            if copies.insert(bill.id, bill).is_none() {
                self.copy_count += 1;
            }
        }
        true
    }

    /// Removes copies of bills that the peer has written to the table.
    pub fn release_copies(&mut self, instance: &Name, incarnation: u64, ids: &[RequestId]) {
        let owner = (instance.clone(), incarnation);
        let Some(copies) = self.copies.get_mut(&owner) else { return };
        for id in ids {
            if copies.remove(id).is_some() {
                self.copy_count -= 1;
            }
        }
        if copies.is_empty() {
            self.copies.remove(&owner);
        }
    }

    /// Turns copies into own bills, which this instance writes to the table.
    ///
    /// Adopts the copies of ended incarnations, and those of answers that ended before
    /// `before_ms`.
    ///
    /// Returns the number of adopted copies.
    pub fn adopt_copies(
        &mut self,
        has_ended: impl Fn(&Name, u64) -> bool,
        before_ms: u64,
    ) -> usize {
        let mut adopted = Vec::new();
        for ((name, incarnation), copies) in &mut self.copies {
            let ended = has_ended(name, *incarnation);
            adopted.extend(copies.extract_if(.., |_, bill| ended || bill.at_ms < before_ms));
        }
        self.copies.retain(|_, copies| !copies.is_empty());
        self.copy_count -= adopted.len();
        let count = adopted.len();
        self.pending.extend(adopted.into_iter().map(|(_, bill)| bill));
        count
    }

    /// The numbers of held bills and written batches, for the status dump.
    pub fn status(&self) -> BillBufferStatus {
        BillBufferStatus {
            pending: self.pending_count(),
            copies: self.copy_count,
            batches: self.sequence,
        }
    }
}
