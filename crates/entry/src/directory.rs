//! The service that reads the platform's list of instances and servers.

use std::sync::Arc;

use anyhow::Result;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use policy::Event;
use router::Shared;
use serde_json::json;
use store::InstanceList;
use tokio_util::sync::CancellationToken;

use crate::pacing::poll_interval;

/// Keeps the directory up to date with the platform's list.
pub struct ListReader {
    shared: Shared,
}

impl ListReader {
    /// The name of the service.
    pub const NAME: &'static str = "directory";

    /// Creates the service.
    pub fn new(shared: Shared) -> Self {
        ListReader { shared }
    }

    async fn run_loop(&self, stop: CancellationToken) -> Result<()> {
        loop {
            match self.shared.platform.list().await {
                Ok(list) => {
                    self.shared.directory.update(list);
                    self.shared.router.step(Event::ServersListed(self.shared.directory.servers()));
                }
                // The last list stays in use while the platform is unavailable.
                Err(_) => {
                    self.shared.metrics.platform_errors.inc();
                }
            }
            let members = self.shared.directory.peers(&self.shared.instance).len() + 1;
            tokio::select! {
                () = tokio::time::sleep(poll_interval(members)) => {}
                () = stop.cancelled() => return Ok(()),
            }
        }
    }
}

impl Service for ListReader {
    fn name(&self) -> &'static str {
        ListReader::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.run_loop(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        json!({ "list": &*self.shared.directory.list() })
    }
}
