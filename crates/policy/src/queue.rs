//! A queue that shares capacity fairly among client accounts.

use std::collections::{BTreeSet, HashMap, VecDeque};

use config::Name;

use crate::event::RequestId;

/// A request in the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub id: RequestId,
    /// The estimated work of the request.
    pub work: f64,
}

/// A start-time fair queue over client accounts.
///
/// Each account has a virtual time that advances by the work served for it divided by
/// its weight. The account with the lowest virtual time is served next.
#[derive(Debug, Default)]
pub struct FairQueue {
    accounts: HashMap<Name, AccountQueue>,
    /// The accounts with queued requests, by the virtual time of the next one.
    active: BTreeSet<(VirtualTime, Name)>,
    virtual_time: VirtualTime,
    len: usize,
    fair: bool,
}

/// A point in virtual time, in thousandths of a unit of work.
type VirtualTime = u64;

#[derive(Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<QueuedRequest>,
    start: VirtualTime,
    weight: f64,
}

impl FairQueue {
    /// Creates an empty queue. It is first in, first out if `fair` is false.
    pub fn new(fair: bool) -> Self {
        FairQueue { fair, ..FairQueue::default() }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimates how many queued requests would be served before a new request of the
    /// account.
    pub fn position(&self, account: &Name) -> usize {
        if !self.fair {
            return self.len;
        }
        let own = self.accounts.get(account).map_or(0, |queue| queue.waiting.len());
        let active = self.active.len() + usize::from(own == 0);
        self.len.min((own + 1) * active - 1)
    }

    /// Appends a request to the queue of an account.
    pub fn push(&mut self, account: &Name, weight: f64, request: QueuedRequest) {
        let key = self.queue_key(account);
        let queue = self.accounts.entry(key.clone()).or_default();
        queue.weight = weight;
        if queue.waiting.is_empty() {
            queue.start = queue.start.max(self.virtual_time);
            self.active.insert((queue.start, key));
        }
        queue.waiting.push_back(request);
        self.len += 1;
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (start, account) = self.active.pop_first()?;
        let queue = self.accounts.get_mut(&account)?;
        let request = queue.waiting.pop_front()?;
        self.len -= 1;
        self.virtual_time = start;
        queue.start = start + virtual_duration(request.work / queue.weight.max(0.01));
        if queue.waiting.is_empty() {
            self.remove_idle_accounts();
        } else {
            self.active.insert((queue.start, account));
        }
        Some(request)
    }

    /// Returns a request that could not be dispatched to the front of its account's
    /// queue.
    pub fn push_front(&mut self, account: &Name, request: QueuedRequest) {
        let key = self.queue_key(account);
        let queue = self.accounts.entry(key.clone()).or_default();
        if !queue.waiting.is_empty() {
            self.active.remove(&(queue.start, key.clone()));
        }
        queue.start =
            queue.start.saturating_sub(virtual_duration(request.work / queue.weight.max(0.01)));
        queue.waiting.push_front(request);
        self.active.insert((queue.start, key));
        self.len += 1;
    }

    /// Returns the account whose queue holds the account's requests: a single one for all
    /// if the queue is first in, first out.
    fn queue_key(&self, account: &Name) -> Name {
        if self.fair { account.clone() } else { Name::from("") }
    }

    /// Removes accounts that have an empty queue and are not ahead of the current
    /// virtual time, if more than about half of the accounts are idle.
    fn remove_idle_accounts(&mut self) {
        let now = self.virtual_time;
        if self.accounts.len() > 2 * (self.active.len() + 8) {
            self.accounts.retain(|_, queue| !queue.waiting.is_empty() || queue.start > now);
        }
    }
}

/// Converts work, divided by an account's weight, to virtual time.
fn virtual_duration(work: f64) -> VirtualTime {
    (work * 1_000.0) as VirtualTime
}
