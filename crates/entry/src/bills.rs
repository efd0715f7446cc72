//! The service that writes bills to the table.

use std::sync::Arc;

use anyhow::Result;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use router::Shared;
use tokio_util::sync::CancellationToken;

use crate::pacing::flush_interval;

/// Writes own bills, and those of instances that are gone.
pub struct BillWriter {
    shared: Shared,
}

impl BillWriter {
    /// The name of the service.
    pub const NAME: &'static str = "bills";

    /// Makes the service.
    pub fn new(shared: Shared) -> Self {
        BillWriter { shared }
    }

    async fn keep(&self, stop: CancellationToken) -> Result<()> {
        loop {
            let members = self.shared.directory.peers(&self.shared.instance).len() + 1;
            tokio::select! {
                () = tokio::time::sleep(flush_interval(members)) => {}
                () = stop.cancelled() => break,
            }
            self.write().await;
        }
        if !self.shared.bills.flush_all().await {
            log::warn!("the table did not take the last bills; peers hold copies of them");
        }
        Ok(())
    }

    async fn write(&self) {
        let router = &self.shared.router;
        let gone = |name: &str, incarnation: u64| {
            router.with_core(|core, now| core.peer_gone(name, incarnation, now))
        };
        self.shared.bills.adopt(gone, router.clock().now().wall_ms);
        if !self.shared.bills.flush_all().await {
            self.shared.metrics.platform_errors.inc();
        }
        let waiting = self.shared.bills.status().pending;
        self.shared.metrics.bills_waiting.set(waiting as i64);
    }
}

impl Service for BillWriter {
    fn name(&self) -> &'static str {
        BillWriter::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.keep(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.shared.bills.status()).unwrap_or_default()
    }
}
