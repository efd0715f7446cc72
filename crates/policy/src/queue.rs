//! A queue that is fair to client accounts by work.

use std::collections::{BTreeSet, HashMap, VecDeque};

use config::Name;

use crate::event::RequestId;

/// One waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    /// The request.
    pub id: RequestId,
    /// Its estimated work.
    pub work: f64,
}

/// Start-time fair queueing over client accounts.
///
/// Each account has a virtual time that grows by the work it was served
/// divided by its weight; the account furthest behind is served next.
#[derive(Debug, Default)]
pub struct FairQueue {
    accounts: HashMap<Name, Line>,
    order: BTreeSet<(Ticks, Name)>,
    virtual_time: Ticks,
    len: usize,
    fair: bool,
}

/// Virtual time in thousandths of a work unit.
type Ticks = u64;

#[derive(Debug, Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    start: Ticks,
    weight: f64,
}

impl FairQueue {
    /// An empty queue; without `fair` it is first in, first out.
    pub fn new(fair: bool) -> Self {
        FairQueue { fair, ..FairQueue::default() }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many requests are served before a new one of the account.
    pub fn ahead(&self, account: &Name) -> usize {
        if !self.fair {
            return self.len;
        }
        let own = self.accounts.get(account).map_or(0, |line| line.waiting.len());
        let active = self.order.len() + usize::from(own == 0);
        self.len.min((own + 1) * active - 1)
    }

    /// Adds a request of an account.
    pub fn push(&mut self, account: &Name, weight: f64, waiting: Waiting) {
        let key = if self.fair { account.clone() } else { Name::from("") };
        let line = self.accounts.entry(key.clone()).or_default();
        line.weight = weight;
        if line.waiting.is_empty() {
            line.start = line.start.max(self.virtual_time);
            self.order.insert((line.start, key));
        }
        line.waiting.push_back(waiting);
        self.len += 1;
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (start, account) = self.order.pop_first()?;
        let line = self.accounts.get_mut(&account)?;
        let waiting = line.waiting.pop_front()?;
        self.len -= 1;
        self.virtual_time = start;
        line.start = start + ticks(waiting.work / line.weight.max(0.01));
        if line.waiting.is_empty() {
            self.forget_idle();
        } else {
            self.order.insert((line.start, account));
        }
        Some(waiting)
    }

    /// Puts a request back that could not be placed, before its account's others.
    pub fn put_back(&mut self, account: &Name, waiting: Waiting) {
        let key = if self.fair { account.clone() } else { Name::from("") };
        let line = self.accounts.entry(key.clone()).or_default();
        if !line.waiting.is_empty() {
            self.order.remove(&(line.start, key.clone()));
        }
        line.start = line.start.saturating_sub(ticks(waiting.work / line.weight.max(0.01)));
        line.waiting.push_front(waiting);
        self.order.insert((line.start, key));
        self.len += 1;
    }

    /// Drops accounts that wait for nothing and are not ahead of their time.
    fn forget_idle(&mut self) {
        let now = self.virtual_time;
        if self.accounts.len() > 2 * (self.order.len() + 8) {
            self.accounts.retain(|_, line| !line.waiting.is_empty() || line.start > now);
        }
    }
}

fn ticks(work: f64) -> Ticks {
    (work * 1_000.0) as Ticks
}
