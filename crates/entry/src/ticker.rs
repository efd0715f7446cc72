//! The service that tells the core that time passes.

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

/// The time between ticks.
const TICK: Duration = Duration::from_millis(25);

/// Drives the core's timers.
pub struct Ticker {
    shared: Shared,
}

impl Ticker {
    /// The name of the service.
    pub const NAME: &'static str = "core";

    /// Makes the service.
    pub fn new(shared: Shared) -> Self {
        Ticker { shared }
    }

    async fn tick(&self, stop: CancellationToken) -> Result<()> {
        let mut interval = tokio::time::interval(TICK);
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
        async move { self.tick(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        let status = self.shared.router.with_core(|core, now| core.status(now));
        serde_json::to_value(status).unwrap_or_default()
    }
}
