//! The memory in which a process holds bytes for others.
//!
//! Whoever holds bytes takes them from one budget and gives them back. When it is used up, holders
//! of little go on. Of the others one at a time goes on, up to the limit of what it reads, and the
//! rest wait without reading from their connections. So the budget is exceeded by what one holder
//! and the small ones have, however many connections there are.
//!
//! A body whose length is known takes the bytes for all of it at once. If each held what has
//! arrived so far, the budget could be used up by bodies none of which can be completed.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// The number of bytes that a holder has without waiting for others.
const SMALL: usize = 32 << 10;

/// A budget of bytes. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Budget>);

#[derive(Debug)]
struct Budget {
    limit: usize,
    used: AtomicUsize,
    released: Notify,
    /// The turn of the one holder that goes on when the budget is used up.
    turn: Arc<Semaphore>,
}

impl Default for MemoryBudget {
    fn default() -> Self {
        MemoryBudget::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// Creates a budget of so many bytes.
    pub fn new(limit: usize) -> Self {
        MemoryBudget(Arc::new(Budget {
            limit,
            used: AtomicUsize::new(0),
            released: Notify::new(),
            turn: Arc::new(Semaphore::new(1)),
        }))
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns a holder of nothing.
    pub fn hold(&self) -> Held {
        Held { budget: self.clone(), bytes: 0, turn: None }
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.used().saturating_add(bytes) <= self.0.limit
    }
}

/// Bytes taken from a budget, which get them back when this is dropped.
pub struct Held {
    budget: MemoryBudget,
    bytes: usize,
    turn: Option<OwnedSemaphorePermit>,
}

impl fmt::Debug for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Held").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl Held {
    /// Takes further bytes, and waits until there are enough or until it is this holder's turn.
    pub async fn grow(&mut self, bytes: usize) {
        while self.bytes + bytes > SMALL && self.turn.is_none() && !self.budget.has_room(bytes) {
            let released = self.budget.0.released.notified();
            tokio::select! {
                turn = self.budget.0.turn.clone().acquire_owned() => self.turn = turn.ok(),
                () = released => {}
            }
        }
        self.budget.0.used.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Appends data to the buffer of a body whose bytes this holds, and takes those that it needs.
    ///
    /// `length` is that of the whole body, if it is known. Its bytes are taken once a part of it
    /// has arrived that is not small.
    pub async fn append(&mut self, buffer: &mut Vec<u8>, data: &[u8], length: Option<usize>) {
        let needed = buffer.len() + data.len();
        let wanted = if needed > SMALL { needed.max(length.unwrap_or(0)) } else { needed };
        if wanted > self.bytes {
            self.grow(wanted - self.bytes).await;
            buffer.reserve_exact(wanted - buffer.len());
        }
        buffer.extend_from_slice(data);
    }

    /// Takes a part of these bytes out, to be given back apart. Ends the turn.
    pub fn split(&mut self, bytes: usize) -> Held {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.turn = None;
        Held { budget: self.budget.clone(), bytes, turn: None }
    }

    /// Gives these bytes back only once the last reference to some data is dropped.
    pub fn keep_with(self, data: Bytes) -> Bytes {
        struct Owner(Bytes, #[expect(dead_code, reason = "dropped with the data")] Held);
        impl AsRef<[u8]> for Owner {
            fn as_ref(&self) -> &[u8] {
                &self.0
            }
        }
        if self.bytes == 0 { data } else { Bytes::from_owner(Owner(data, self)) }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
        // The next one takes the turn, or finds that there is room again.
        self.turn = None;
        self.budget.0.released.notify_waiters();
    }
}
