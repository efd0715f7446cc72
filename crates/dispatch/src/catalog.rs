//! Routes, services and client accounts of a configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use config::Name;

use crate::cold::ColdStart;

/// A complete configuration and its version.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The services by name.
    pub services: HashMap<Name, Service>,
    /// The client accounts by API key.
    pub keys: HashMap<String, Arc<Account>>,
    /// Whether requests must carry an API key.
    pub requires_key: bool,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// A client account.
#[derive(Debug, PartialEq, Eq)]
pub struct Account {
    /// Name, which is sent to backend servers.
    pub name: Name,
    /// Priority of its requests, 0 highest; overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served; empty for any.
    pub allowed_regions: Vec<Name>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether a route's requests may be retried after they may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream that may be resumed on another server.
    Resumable,
}

/// One route.
#[derive(Debug)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// Path prefix of the route; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry_mode: RetryMode,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Target time for an answer, or for the first event of a stream.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Models that may answer, smallest first; empty if the caller names the model.
    pub models: Vec<Name>,
    /// Services that serve the route, with weights.
    pub targets: Vec<Target>,
    /// Regions in which requests may be served; empty for any.
    pub allowed_regions: Vec<Name>,
}

impl Route {
    /// Returns the service for a random number from 0 to 1, by weight.
    pub fn target(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * f64::from(total);
        for target in self.targets.iter().filter(|target| target.weight > 0) {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|target| target.weight > 0).map(|target| &target.service)
    }

    /// Whether a request may be sent again after it may have run.
    pub fn repeatable(&self) -> bool {
        self.retry_mode != RetryMode::AtMostOnce
    }
}

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Default)]
pub struct Service {
    /// Path of its health check.
    pub health_path: String,
    /// Maximum number of connections one server accepts from all clients together.
    pub max_connections: u32,
    /// The model engine behind the service, if any.
    pub engine: Option<Engine>,
    /// How its servers start; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// A model engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Models that it serves.
    pub models: Vec<EngineModel>,
}

/// A model of an engine.
#[derive(Debug, PartialEq)]
pub struct EngineModel {
    /// The name.
    pub name: Name,
    /// Cost of 1,000 generated tokens.
    pub cost: f64,
}

/// Routes by host, ordered by decreasing prefix length.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Adds a route for a host.
    pub fn add(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
    }

    /// Returns the route with the longest prefix of `path`; a port in `host` is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
