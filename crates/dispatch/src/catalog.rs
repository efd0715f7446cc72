//! Routes, services and client accounts of one configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use config::Name;

/// A whole configuration under its version.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The services by name.
    pub services: HashMap<Name, Service>,
    /// The client accounts by API key.
    pub keys: HashMap<String, Arc<Account>>,
    /// Whether requests need a key at all.
    pub keyed: bool,
    /// The bounds on what a caller may send.
    pub limits: Limits,
}

/// A client account.
#[derive(Debug, PartialEq, Eq)]
pub struct Account {
    /// The name, which servers are told.
    pub name: Name,
    /// The rank of its requests, 0 first; overrides the route's.
    pub rank: Option<u8>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long an idle connection is kept.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { header_bytes: 16 << 10, body_bytes: 4 << 20, idle: Duration::from_secs(15) }
    }
}

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream that may go on at another server.
    Resumable,
}

/// One route.
#[derive(Debug)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The prefix of the paths that belong to it; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub aim: Duration,
    /// The rank, 0 first.
    pub rank: u8,
    /// To how many servers one request may be sent.
    pub attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// The models that may answer, smallest first; empty where the caller names one.
    pub sizes: Vec<Name>,
    /// The services that serve it, with weights.
    pub targets: Vec<Target>,
}

impl Route {
    /// The service for a draw from 0 to 1.
    pub fn target(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in self.targets.iter().filter(|target| target.weight > 0) {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|target| target.weight > 0).map(|target| &target.service)
    }

    /// Whether a request may run again after it may have run.
    pub fn repeatable(&self) -> bool {
        self.repeat != Repeat::Once
    }
}

/// A service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// The weight among the route's services.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Default)]
pub struct Service {
    /// The path of its health check.
    pub health: String,
    /// Connections that one server takes from all callers.
    pub connections: u32,
    /// What runs there, if it is a model engine.
    pub engine: Option<Engine>,
}

/// A model engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Memory in tokens.
    pub memory: u64,
    /// Models, with what they cost.
    pub models: Vec<EngineModel>,
}

/// A model of an engine.
#[derive(Debug, PartialEq)]
pub struct EngineModel {
    /// The name.
    pub name: Name,
    /// The cost of 1,000 generated tokens.
    pub cost: f64,
}

/// Routes by host, the longest prefix of each first.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Adds a route of a host.
    pub fn add(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// The route with the longest prefix of the path; a port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
