//! The service that writes halts to the table.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use policy::{HaltKey, HaltReason};
use router::Shared;
use serde_json::json;
use store::{Table, insert};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

use crate::configuration::HALT_PREFIX;

/// The interval between attempts to write pending halts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Writes each halt once, retrying until it succeeds.
///
/// Peers learn of a halt by gossip as well, so they don't depend on the write.
pub struct HaltWriter {
    shared: Shared,
    inbox: Mutex<Option<UnboundedReceiver<(HaltKey, HaltReason)>>>,
    pending: Mutex<Vec<(HaltKey, HaltReason)>>,
}

impl HaltWriter {
    /// The name of the service.
    pub const NAME: &'static str = "halts";

    /// Creates the service, which receives the core's halts through `inbox`.
    pub fn new(shared: Shared, inbox: UnboundedReceiver<(HaltKey, HaltReason)>) -> Self {
        HaltWriter { shared, inbox: Mutex::new(Some(inbox)), pending: Mutex::default() }
    }

    async fn run_loop(&self, stop: CancellationToken) -> Result<()> {
        let Some(mut inbox) = self.inbox.lock().unwrap().take() else { return Ok(()) };
        let mut retry = tokio::time::interval(RETRY_INTERVAL);
        loop {
            tokio::select! {
                halt = inbox.recv() => match halt {
                    Some(halt) => self.enqueue(halt),
                    None => return Ok(()),
                },
                _ = retry.tick() => {}
                () = stop.cancelled() => return Ok(()),
            }
            self.write_pending().await;
        }
    }

    fn enqueue(&self, (key, reason): (HaltKey, HaltReason)) {
        log::warn!("version {} of route {} is halted: {reason:?}", key.version, key.route);
        self.shared.metrics.halts.inc();
        self.pending.lock().unwrap().push((key, reason));
    }

    async fn write_pending(&self) {
        let pending = self.pending.lock().unwrap().clone();
        for (key, reason) in pending {
            let row = format!("{HALT_PREFIX}{}/{}/{}", key.route, key.version, key.generation);
            let value = json!({
                "key": key,
                "verdict": reason,
                "by": self.shared.instance,
                "at_ms": self.shared.router.clock().now().wall_ms,
            });
            // An existing row was written by another instance or by an earlier attempt,
            // so the halt is done even if the insertion was not applied.
            if self.shared.platform.transact(&insert(row, value)).await.is_ok() {
                self.pending.lock().unwrap().retain(|(other, _)| *other != key);
            }
        }
    }
}

impl Service for HaltWriter {
    fn name(&self) -> &'static str {
        HaltWriter::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.run_loop(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        json!({ "waiting": self.pending.lock().unwrap().len() })
    }
}
