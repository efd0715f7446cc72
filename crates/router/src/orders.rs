//! The decision core behind a lock, and the tickets of open requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use policy::{Action, Arrival, Core, Event, HaltKey, RequestId, Settings, Verdict};
use tokio::sync::mpsc;

use crate::clock::Clock;

/// Carries events to the decision core and its actions to whom they concern.
#[derive(Debug)]
pub struct Router {
    clock: Clock,
    inner: Mutex<Inner>,
    halts: mpsc::UnboundedSender<(HaltKey, Verdict)>,
}

#[derive(Debug)]
struct Inner {
    core: Core,
    waiters: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
}

impl Router {
    /// A router with a new core; halts that the core asks for go to `halts`.
    pub fn new(
        settings: Settings,
        clock: Clock,
        halts: mpsc::UnboundedSender<(HaltKey, Verdict)>,
    ) -> Self {
        let inner = Inner { core: Core::new(settings), waiters: HashMap::new() };
        Router { clock, inner: Mutex::new(inner), halts }
    }

    /// The clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Gives the core an event and delivers what it asks for.
    pub fn step(&self, event: Event) {
        let mut inner = self.inner.lock().unwrap();
        let now = self.clock.now();
        let actions = inner.core.step(event, now);
        for action in actions {
            inner.deliver(action, &self.halts);
        }
    }

    /// Brings a request to the core; the ticket receives what becomes of it.
    pub fn open(self: &Arc<Self>, arrival: Arrival) -> Ticket {
        let (sender, orders) = mpsc::unbounded_channel();
        let id = arrival.id;
        self.inner.lock().unwrap().waiters.insert(id, sender);
        self.step(Event::Arrived(arrival));
        Ticket { id, router: self.clone(), orders }
    }

    /// Reads or asks the core without giving it an event.
    pub fn with_core<T>(&self, ask: impl FnOnce(&mut Core, policy::Now) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        let now = self.clock.now();
        ask(&mut inner.core, now)
    }
}

impl Inner {
    fn deliver(&self, action: Action, halts: &mpsc::UnboundedSender<(HaltKey, Verdict)>) {
        let id = match &action {
            Action::Halt(key, verdict) => {
                // The receiver is gone only when the process ends.
                let _ = halts.send((key.clone(), *verdict));
                return;
            }
            Action::Send(send) => send.request,
            Action::Abort(id, _) | Action::Refuse(id, _, _) | Action::Rate(id, _, _) => *id,
        };
        if let Some(waiter) = self.waiters.get(&id) {
            // A waiter that is gone has cancelled its request.
            let _ = waiter.send(action);
        }
    }
}

/// The hold on one open request; dropping it cancels the request.
#[derive(Debug)]
pub struct Ticket {
    id: RequestId,
    router: Arc<Router>,
    orders: mpsc::UnboundedReceiver<Action>,
}

impl Ticket {
    /// The id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The next thing to do.
    pub async fn next(&mut self) -> Option<Action> {
        self.orders.recv().await
    }

    /// The next thing to do, if it is already there.
    pub fn try_next(&mut self) -> Option<Action> {
        self.orders.try_recv().ok()
    }

    /// Tells the core what happened.
    pub fn step(&self, event: Event) {
        self.router.step(event);
    }

    /// The router that the request was brought to.
    pub fn router(&self) -> &Arc<Router> {
        &self.router
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.router.step(Event::Cancelled(self.id));
        self.router.inner.lock().unwrap().waiters.remove(&self.id);
    }
}
