//! The bills that an instance holds: its own and copies of its peers'.

use std::collections::{BTreeMap, HashMap, VecDeque};

use config::Name;
use policy::RequestId;
use serde::{Deserialize, Serialize};

use crate::bill::Bill;

/// Bills in one row of the table.
const BATCH: usize = 200;

/// A batch of bills on its way to the table.
///
/// Its key is fixed when it is made, so that writing it twice changes nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The instance that writes it.
    pub instance: Name,
    /// The instance's incarnation.
    pub incarnation: u64,
    /// The batch's number within the incarnation.
    pub sequence: u64,
    /// The bills.
    pub bills: Vec<Bill>,
}

impl Batch {
    /// The key of the row.
    pub fn key(&self) -> String {
        format!("bill/{}/{:016x}/{:08}", self.instance, self.incarnation, self.sequence)
    }
}

/// How many bills an instance may hold.
#[derive(Debug, Clone, Copy)]
pub struct BookSize {
    /// Own bills; at this number new work is refused.
    pub own: usize,
    /// Copies for peers; beyond this number copies are refused.
    pub copies: usize,
}

/// All bills that an instance holds and that are not known to be in the table.
#[derive(Debug)]
pub struct Book {
    instance: Name,
    incarnation: u64,
    size: BookSize,
    pending: VecDeque<Bill>,
    flight: Option<Batch>,
    sequence: u64,
    copies: HashMap<(Name, u64), BTreeMap<RequestId, Bill>>,
    copied: usize,
}

/// The state of the book, for the dump.
#[derive(Debug, Serialize)]
pub struct BookStatus {
    /// Own bills that wait for the table.
    pub pending: usize,
    /// Copies held for peers.
    pub copies: usize,
    /// Batches written so far.
    pub batches: u64,
}

impl Book {
    /// An empty book of one incarnation of an instance.
    pub fn new(instance: Name, incarnation: u64, size: BookSize) -> Self {
        Book {
            instance,
            incarnation,
            size,
            pending: VecDeque::new(),
            flight: None,
            sequence: 0,
            copies: HashMap::new(),
            copied: 0,
        }
    }

    /// Adds a bill of the instance's own.
    pub fn add(&mut self, bill: Bill) {
        self.pending.push_back(bill);
    }

    /// Whether so many bills wait that new work must be refused.
    pub fn full(&self) -> bool {
        self.waiting() >= self.size.own
    }

    /// Own bills that are not known to be in the table.
    pub fn waiting(&self) -> usize {
        self.pending.len() + self.flight.as_ref().map_or(0, |batch| batch.bills.len())
    }

    /// The batch to write; the same one until it is known to be written.
    pub fn batch(&mut self) -> Option<Batch> {
        if self.flight.is_none() && !self.pending.is_empty() {
            let count = self.pending.len().min(BATCH);
            self.sequence += 1;
            self.flight = Some(Batch {
                instance: self.instance.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                bills: self.pending.drain(..count).collect(),
            });
        }
        self.flight.clone()
    }

    /// Notes that the batch is in the table; returns the ids that it held.
    pub fn written(&mut self, sequence: u64) -> Vec<RequestId> {
        match self.flight.take_if(|batch| batch.sequence == sequence) {
            Some(batch) => batch.bills.iter().map(|bill| bill.id).collect(),
            None => Vec::new(),
        }
    }

    /// Holds copies for a peer; false if there is no room for them.
    pub fn hold(&mut self, instance: &Name, incarnation: u64, bills: Vec<Bill>) -> bool {
        if self.copied + bills.len() > self.size.copies {
            return false;
        }
        let copies = self.copies.entry((instance.clone(), incarnation)).or_default();
        for bill in bills {
            if copies.insert(bill.id, bill).is_none() {
                self.copied += 1;
            }
        }
        true
    }

    /// Drops copies whose bills are in the table.
    pub fn release(&mut self, instance: &Name, incarnation: u64, ids: &[RequestId]) {
        let holder = (instance.clone(), incarnation);
        let Some(copies) = self.copies.get_mut(&holder) else { return };
        for id in ids {
            if copies.remove(id).is_some() {
                self.copied -= 1;
            }
        }
        if copies.is_empty() {
            self.copies.remove(&holder);
        }
    }

    /// Takes over copies, as bills to write: those of incarnations that are
    /// gone, and those of answers that ended before `before_ms`.
    ///
    /// Returns how many there were.
    pub fn adopt(&mut self, gone: impl Fn(&Name, u64) -> bool, before_ms: u64) -> usize {
        let mut adopted = Vec::new();
        for ((name, incarnation), copies) in &mut self.copies {
            let gone = gone(name, *incarnation);
            adopted.extend(copies.extract_if(.., |_, bill| gone || bill.at_ms < before_ms));
        }
        self.copies.retain(|_, copies| !copies.is_empty());
        self.copied -= adopted.len();
        let count = adopted.len();
        self.pending.extend(adopted.into_iter().map(|(_, bill)| bill));
        count
    }

    /// The state, for the dump.
    pub fn status(&self) -> BookStatus {
        BookStatus { pending: self.waiting(), copies: self.copied, batches: self.sequence }
    }
}
