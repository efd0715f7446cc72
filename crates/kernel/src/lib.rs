//! The micro-kernel: services with names, started in order and stopped in
//! reverse, with cancellation tokens passed down and a state dump of each.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use futures::future::BoxFuture;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A long-running part of the process.
pub trait Service: Send + Sync + 'static {
    /// The name under which other services find it.
    fn name(&self) -> &'static str;

    /// Does the service's work until `stop` is cancelled, then cleans up.
    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>>;

    /// The service's state, for the dump.
    fn dump(&self) -> serde_json::Value;
}

/// The services of one process.
#[derive(Default)]
pub struct Kernel {
    services: Vec<Arc<dyn Service>>,
    shared: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

impl Kernel {
    /// Makes a kernel with no services.
    pub fn new() -> Self {
        Kernel::default()
    }

    /// Registers a service; services start in the order of registration.
    pub fn register<S: Service>(&mut self, service: Arc<S>) -> Result<()> {
        let name = service.name();
        if self.shared.insert(name, service.clone()).is_some() {
            bail!("two services are named {name}");
        }
        self.services.push(service);
        Ok(())
    }

    /// Finds a service by name; used at start only.
    pub fn find<S: Service>(&self, name: &str) -> Result<Arc<S>> {
        let service = self.shared.get(name).with_context(|| format!("no service {name}"))?;
        let service = service.clone().downcast::<S>();
        service.map_err(|_| anyhow::anyhow!("service {name} is of another type"))
    }

    /// Starts every service.
    pub fn start(self) -> Running {
        let running = Running {
            parts: Mutex::new(Vec::new()),
            services: self.services,
            failed: CancellationToken::new(),
        };
        for service in &running.services {
            running.start_one(service.clone());
        }
        running
    }
}

/// A kernel whose services run.
pub struct Running {
    parts: Mutex<Vec<Part>>,
    services: Vec<Arc<dyn Service>>,
    failed: CancellationToken,
}

struct Part {
    name: &'static str,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Running {
    /// Returns when a service has ended by itself with an error.
    pub async fn failed(&self) {
        self.failed.cancelled().await;
    }

    /// The state of every service, by name.
    pub fn dump(&self) -> serde_json::Value {
        let states = self.services.iter().map(|s| (s.name().to_owned(), s.dump()));
        serde_json::Value::Object(states.collect())
    }

    /// Stops the services in reverse order, each within `limit`.
    ///
    /// Returns the names of those that did not end in time.
    pub async fn stop(&self, limit: Duration) -> Vec<&'static str> {
        let parts = std::mem::take(&mut *self.parts.lock().unwrap());
        let mut late = Vec::new();
        for part in parts.into_iter().rev() {
            part.stop.cancel();
            if tokio::time::timeout(limit, part.tasks.wait()).await.is_err() {
                late.push(part.name);
            }
        }
        late
    }

    fn start_one(&self, service: Arc<dyn Service>) {
        let name = service.name();
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let failed = self.failed.clone();
        let work = service.run(stop.clone());
        tasks.spawn(async move {
            if let Err(error) = work.await {
                log::error!("service {name} failed: {error:#}");
                failed.cancel();
            }
        });
        tasks.close();
        self.parts.lock().unwrap().push(Part { name, stop, tasks });
    }
}
