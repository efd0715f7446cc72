//! The service that writes halts to the table.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use policy::{HaltKey, Verdict};
use router::Shared;
use serde_json::json;
use store::{Table, insert};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

use crate::configuration::HALT_PREFIX;

/// The wait between tries to write a halt.
const RETRY: Duration = Duration::from_secs(1);

/// Writes each halt once; peers learn of it by gossip in the meantime.
pub struct HaltWriter {
    shared: Shared,
    inbox: Mutex<Option<UnboundedReceiver<(HaltKey, Verdict)>>>,
    waiting: Mutex<Vec<(HaltKey, Verdict)>>,
}

impl HaltWriter {
    /// The name of the service.
    pub const NAME: &'static str = "halts";

    /// Makes the service; the core's halts come through `inbox`.
    pub fn new(shared: Shared, inbox: UnboundedReceiver<(HaltKey, Verdict)>) -> Self {
        HaltWriter { shared, inbox: Mutex::new(Some(inbox)), waiting: Mutex::default() }
    }

    async fn keep(&self, stop: CancellationToken) -> Result<()> {
        let Some(mut inbox) = self.inbox.lock().unwrap().take() else { return Ok(()) };
        let mut retry = tokio::time::interval(RETRY);
        loop {
            tokio::select! {
                halt = inbox.recv() => match halt {
                    Some(halt) => self.note(halt),
                    None => return Ok(()),
                },
                _ = retry.tick() => {}
                () = stop.cancelled() => return Ok(()),
            }
            self.write_waiting().await;
        }
    }

    fn note(&self, (key, verdict): (HaltKey, Verdict)) {
        log::warn!("version {} of route {} is halted: {verdict:?}", key.version, key.route);
        self.shared.metrics.halts.inc();
        self.waiting.lock().unwrap().push((key, verdict));
    }

    async fn write_waiting(&self) {
        let waiting = self.waiting.lock().unwrap().clone();
        for (key, verdict) in waiting {
            let row = format!("{HALT_PREFIX}{}/{}/{}", key.route, key.version, key.generation);
            let value = json!({
                "key": key,
                "verdict": verdict,
                "by": self.shared.instance,
                "at_ms": self.shared.router.clock().now().wall_ms,
            });
            // A row that exists was written by another instance, or by this one before.
            if self.shared.platform.transact(&insert(row, value)).await.is_ok() {
                self.waiting.lock().unwrap().retain(|(other, _)| *other != key);
            }
        }
    }
}

impl Service for HaltWriter {
    fn name(&self) -> &'static str {
        HaltWriter::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.keep(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        json!({ "waiting": self.waiting.lock().unwrap().len() })
    }
}
