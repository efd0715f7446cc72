//! Manages the lifecycle of a process's named services.
//!
//! Services start in the order of their registration and stop in reverse
//! order, each through its own cancellation token. Every service can dump its
//! state.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use futures::future::BoxFuture;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A long-running component of the process.
pub trait Service: Send + Sync + 'static {
    /// The unique name, by which other services look it up.
    fn name(&self) -> &'static str;

    /// Runs the service until `stop` is cancelled, then cleans up.
    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>>;

    /// The state of the service, for the operators' dump.
    fn dump(&self) -> serde_json::Value;
}

/// The registered services of a process.
#[derive(Default)]
pub struct Kernel {
    services: Vec<Arc<dyn Service>>,
    by_name: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Kernel::default()
    }

    /// Registers a service; services start in the order of registration.
    pub fn register<S: Service>(&mut self, service: Arc<S>) -> Result<()> {
        let name = service.name();
        if self.by_name.insert(name, service.clone()).is_some() {
            bail!("a service named {name} is already registered");
        }
        self.services.push(service);
        Ok(())
    }

    /// Looks up a service by name. Used during startup only.
    pub fn find<S: Service>(&self, name: &str) -> Result<Arc<S>> {
        let service =
            self.by_name.get(name).with_context(|| format!("there is no service named {name}"))?;
        let service = service.clone().downcast::<S>();
        service.map_err(|_| anyhow::anyhow!("service {name} has a different type"))
    }

    /// Starts all services.
    pub fn start(self) -> RunningServices {
        let running = RunningServices {
            running: Mutex::new(Vec::new()),
            services: self.services,
            failed: CancellationToken::new(),
        };
        for service in &running.services {
            running.start_one(service.clone());
        }
        running
    }
}

/// The running services of a process.
pub struct RunningServices {
    running: Mutex<Vec<RunningService>>,
    services: Vec<Arc<dyn Service>>,
    failed: CancellationToken,
}

struct RunningService {
    name: &'static str,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl RunningServices {
    /// Waits until a service fails.
    pub async fn failed(&self) {
        self.failed.cancelled().await;
    }

    /// The state of all services, by name.
    pub fn dump(&self) -> serde_json::Value {
        let states = self.services.iter().map(|s| (s.name().to_owned(), s.dump()));
        serde_json::Value::Object(states.collect())
    }

    /// Stops the services in reverse order, waiting up to `timeout` for each.
    ///
    /// Returns the names of the services that did not stop in time.
    pub async fn stop(&self, timeout: Duration) -> Vec<&'static str> {
        let services = std::mem::take(&mut *self.running.lock().unwrap());
        let mut timed_out = Vec::new();
        for service in services.into_iter().rev() {
            service.stop.cancel();
            if tokio::time::timeout(timeout, service.tasks.wait()).await.is_err() {
                timed_out.push(service.name);
            }
        }
        timed_out
    }

    fn start_one(&self, service: Arc<dyn Service>) {
        let name = service.name();
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let failed = self.failed.clone();
        let run = service.run(stop.clone());
        tasks.spawn(async move {
            if let Err(error) = run.await {
                log::error!("service {name} failed: {error:#}");
                failed.cancel();
            }
        });
        tasks.close();
        self.running.lock().unwrap().push(RunningService { name, stop, tasks });
    }
}
