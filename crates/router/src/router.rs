//! The decision core behind a lock, and handles to open requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use policy::{Action, Arrival, Core, Event, HaltKey, HaltReason, RequestId, Settings};
use tokio::sync::mpsc;

use crate::clock::Clock;

/// Passes events to the decision core and delivers its actions to the tasks that
/// perform them.
#[derive(Debug)]
pub struct Router {
    clock: Clock,
    inner: Mutex<Inner>,
    halts: mpsc::UnboundedSender<(HaltKey, HaltReason)>,
}

#[derive(Debug)]
struct Inner {
    core: Core,
    senders: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
}

impl Router {
    /// Creates a router with a new core. Halts requested by the core are sent to
    /// `halts`.
    pub fn new(
        settings: Settings,
        clock: Clock,
        halts: mpsc::UnboundedSender<(HaltKey, HaltReason)>,
    ) -> Self {
        let inner = Inner { core: Core::new(settings), senders: HashMap::new() };
        Router { clock, inner: Mutex::new(inner), halts }
    }

    /// Returns the clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Passes an event to the core and delivers the resulting actions.
    pub fn step(&self, event: Event) {
        let mut inner = self.inner.lock().unwrap();
        let now = self.clock.now();
        let actions = inner.core.step(event, now);
        for action in actions {
            inner.deliver(action, &self.halts);
        }
    }

    /// Opens a request in the core. The handle receives the actions that concern it.
    pub fn open(self: &Arc<Self>, arrival: Arrival) -> RequestHandle {
        let (sender, actions) = mpsc::unbounded_channel();
        let id = arrival.id;
        self.inner.lock().unwrap().senders.insert(id, sender);
        self.step(Event::Arrived(arrival));
        RequestHandle { id, router: self.clone(), actions }
    }

    /// Runs a closure on the core and the current time.
    pub fn with_core<T>(&self, f: impl FnOnce(&mut Core, policy::Now) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        let now = self.clock.now();
        f(&mut inner.core, now)
    }
}

impl Inner {
    fn deliver(&self, action: Action, halts: &mpsc::UnboundedSender<(HaltKey, HaltReason)>) {
        let id = match &action {
            Action::Halt(key, reason) => {
                // The receiver is dropped only when the process exits.
                let _ = halts.send((key.clone(), *reason));
                return;
            }
            Action::Send(send) => send.request,
            Action::Abort(id, _) | Action::Refuse(id, _, _) | Action::Rate(id, _, _) => *id,
        };
        if let Some(sender) = self.senders.get(&id) {
            // If the handle was dropped, the request is already cancelled.
            let _ = sender.send(action);
        }
    }
}

/// A handle to an open request. Dropping it cancels the request.
#[derive(Debug)]
pub struct RequestHandle {
    id: RequestId,
    router: Arc<Router>,
    actions: mpsc::UnboundedReceiver<Action>,
}

impl RequestHandle {
    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the next action for the request.
    pub async fn next(&mut self) -> Option<Action> {
        self.actions.recv().await
    }

    /// Returns the next action if one is available.
    pub fn try_next(&mut self) -> Option<Action> {
        self.actions.try_recv().ok()
    }

    /// Passes an event to the core.
    pub fn step(&self, event: Event) {
        self.router.step(event);
    }

    /// Returns the router that handles the request.
    pub fn router(&self) -> &Arc<Router> {
        &self.router
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.router.step(Event::Cancelled(self.id));
        self.router.inner.lock().unwrap().senders.remove(&self.id);
    }
}
