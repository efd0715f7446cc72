//! The shared state of one instance and its builder.

use std::net::SocketAddr;
use std::sync::Arc;

use config::Name;
use ledger::BillBufferCapacity;
use policy::{HaltKey, HaltReason, Settings, Switches};
use store::HttpPlatform;
use tokio::sync::mpsc;

use crate::bills::Bills;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::metrics::Metrics;
use crate::router::Router;

/// State shared by all parts of an entry instance.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The instance's id.
    pub instance: Name,
    /// The instance's incarnation.
    pub incarnation: u64,
    /// The instance's failure domain.
    pub domain: Name,
    /// The router, which holds the decision core.
    pub router: Arc<Router>,
    /// The bills.
    pub bills: Arc<Bills>,
    /// The directory of instances and servers.
    pub directory: Arc<Directory>,
    /// The client of the platform.
    pub platform: HttpPlatform,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// Builds the shared state.
#[derive(Debug)]
pub struct SharedBuilder {
    instance: Name,
    domain: Name,
    platform: SocketAddr,
    seeds: Vec<SocketAddr>,
    capacity: BillBufferCapacity,
    switches: Switches,
}

impl SharedBuilder {
    /// Creates a builder from the instance's identity and the platform's address.
    pub fn new(instance: Name, domain: Name, platform: SocketAddr) -> Self {
        SharedBuilder {
            instance,
            domain,
            platform,
            seeds: Vec::new(),
            capacity: BillBufferCapacity { own: 20_000, copies: 40_000 },
            switches: Switches::default(),
        }
    }

    /// Sets the peers to contact until the platform's list is available.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the maximum number of bills that the instance may hold.
    pub fn capacity(mut self, capacity: BillBufferCapacity) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets which optional mechanisms of the core are enabled.
    pub fn switches(mut self, switches: Switches) -> Self {
        self.switches = switches;
        self
    }

    /// Builds the shared state. Halts requested by the core are sent to `halts`.
    pub fn build(self, halts: mpsc::UnboundedSender<(HaltKey, HaltReason)>) -> Shared {
        let clock = Clock::start();
        // The wall clock orders the incarnations of one instance.
        let incarnation = clock.now().wall_ms;
        let settings = Settings::new(self.instance.clone(), self.domain.clone(), rand::random())
            .incarnation(incarnation)
            .switches(self.switches);
        let metrics = Arc::new(Metrics::new());
        let directory = Arc::new(Directory::new(self.seeds));
        let platform = HttpPlatform::new(self.platform);
        let identity = (self.instance.clone(), incarnation, self.domain.clone());
        let bills = Bills::new(
            identity,
            self.capacity,
            directory.clone(),
            platform.clone(),
            metrics.clone(),
        );
        Shared {
            instance: self.instance,
            incarnation,
            domain: self.domain,
            router: Arc::new(Router::new(settings, clock, halts)),
            bills: Arc::new(bills),
            directory,
            platform,
            metrics,
        }
    }
}
