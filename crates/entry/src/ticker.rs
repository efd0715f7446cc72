//! The service that drives the core's timers.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use policy::Event;
use router::Shared;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

/// The interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Sends tick events to the core, and updates the gauge of open requests.
pub struct Ticker {
    shared: Shared,
}

impl Ticker {
    /// The name of the service.
    pub const NAME: &'static str = "core";

    /// Creates the service.
    pub fn new(shared: Shared) -> Self {
        Ticker { shared }
    }

    async fn run_loop(&self, stop: CancellationToken) -> Result<()> {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = stop.cancelled() => return Ok(()),
            }
            self.shared.router.step(Event::Tick);
            let open = self.shared.router.with_core(|core, _| core.open_requests());
            self.shared.metrics.open.set(open as i64);
        }
    }
}

impl Service for Ticker {
    fn name(&self) -> &'static str {
        Ticker::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.run_loop(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        let status = self.shared.router.with_core(|core, now| core.status(now));
        serde_json::to_value(status).unwrap_or_default()
    }
}
