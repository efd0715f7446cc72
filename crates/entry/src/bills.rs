//! The service that writes bills to the table.

use std::sync::Arc;

use anyhow::Result;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use router::Shared;
use tokio_util::sync::CancellationToken;

use crate::pacing::flush_interval;

/// Writes the instance's own bills, and those of instances that no longer run.
pub struct BillWriter {
    shared: Shared,
}

impl BillWriter {
    /// The name of the service.
    pub const NAME: &'static str = "bills";

    /// Creates the service.
    pub fn new(shared: Shared) -> Self {
        BillWriter { shared }
    }

    async fn run_loop(&self, stop: CancellationToken) -> Result<()> {
        loop {
            let members = self.shared.directory.peers(&self.shared.instance).len() + 1;
            tokio::select! {
                () = tokio::time::sleep(flush_interval(members)) => {}
                () = stop.cancelled() => break,
            }
            self.flush().await;
        }
        if !self.shared.bills.flush_all().await {
            log::warn!("could not write the last bills to the table; peers hold copies of them");
        }
        Ok(())
    }

    /// Adopts the bills of instances that no longer run, and writes all pending bills.
    async fn flush(&self) {
        let router = &self.shared.router;
        let is_gone = |name: &str, incarnation: u64| {
            router.with_core(|core, now| core.peer_incarnation_ended(name, incarnation, now))
        };
        self.shared.bills.adopt(is_gone, router.clock().now().wall_ms);
        if !self.shared.bills.flush_all().await {
            self.shared.metrics.platform_errors.inc();
        }
        let pending = self.shared.bills.status().pending;
        self.shared.metrics.bills_waiting.set(pending as i64);
    }
}

impl Service for BillWriter {
    fn name(&self) -> &'static str {
        BillWriter::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.run_loop(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.shared.bills.status()).unwrap_or_default()
    }
}
