//! The run of one seed: its instances, fakes and callers, and the checks at the end.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Result, bail, ensure};
use fakes::{Relay, SiteRequest, SiteRequestLog, SiteServer, SiteStore};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::caller::{self, Outcome};
use crate::faults;
use crate::node::{Node, NodeBuilder};

/// How long faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(6);
/// How long callers keep sending requests after the last fault has ended.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2_500);
/// The number of concurrent callers.
const CALLERS: u64 = 12;
/// A number of instances so low that each one reads the store itself.
const FEW_INSTANCES: usize = 3;
/// A number of instances so high that one reads the store for all.
const MANY_INSTANCES: usize = 7;
/// The first seed that is run with [`MANY_INSTANCES`].
const FIRST_SEED_WITH_MANY_INSTANCES: u64 = 1_000;
/// The service of plain servers.
const PLAIN_SERVICE: &str = "desk";
/// The slots of a plain server.
pub const PLAIN_SLOTS: usize = 2;
/// How often servers may crash since they had to reject requests: the users' bound for so few.
const MAX_CRASHES: u64 = 2;
/// The setting `grace_s`: how long an instance may take to finish after a SIGTERM.
pub const GRACE_S: f64 = 4.0;
/// How long a retired server may still receive requests: the users' platform allows 2 s,
/// and 0.5 s is added because the machine may be busy.
const RETIREMENT_MARGIN: Duration = Duration::from_millis(2_500);

/// The state that callers and fault injection share.
pub struct Testbed {
    pub instance_count: usize,
    pub store: SiteStore,
    pub store_relay: Relay,
    pub request_log: SiteRequestLog,
    pub servers: Mutex<Vec<Server>>,
    /// The instances; `None` while one is being restarted.
    pub nodes: tokio::sync::Mutex<Vec<Option<Node>>>,
    /// The frontend addresses of the instances.
    pub addrs: Mutex<Vec<SocketAddr>>,
    pub outcomes: Mutex<Vec<Outcome>>,
    /// When servers were marked as draining, by server id.
    pub retired_at: Mutex<HashMap<String, Instant>>,
    /// The servers that were marked as draining, and whether their entries were removed.
    pub retired: Mutex<Vec<(Server, bool)>>,
    /// The newest configuration.
    pub config_version: AtomicU64,
    /// When the last fault of the store ended.
    pub store_healthy_since: Mutex<Instant>,
    pub stop: CancellationToken,
}

/// A server and the relay in front of it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub server: SiteServer,
    pub relay: Relay,
}

impl Testbed {
    /// Starts and lists a server.
    pub async fn add_server(&self, id: &str, service: &'static str) -> Result<()> {
        let server = SiteServer::start(id, self.request_log.clone(), self.stop.clone()).await?;
        let relay = Relay::start(server.addr(), self.stop.clone()).await?;
        let added = Server { id: id.to_owned(), service, server, relay };
        self.list(&added, "ready");
        self.servers.lock().unwrap().push(added);
        Ok(())
    }

    /// Writes a server's list entry to the store.
    pub fn list(&self, server: &Server, state: &str) {
        let slots = if server.service == PLAIN_SERVICE { PLAIN_SLOTS } else { 8 };
        let entry = json!({ "service": server.service, "address": server.relay.addr(),
            "zone": "z1", "version": "v1", "slots": slots, "state": state,
            "cold_remaining_ms": 0, "sequence": 1, "born": 1 });
        self.store.put("servers", &server.id, entry.to_string().as_bytes());
    }

    /// The plain servers that are not retired.
    pub fn plain_servers(&self) -> Vec<SiteServer> {
        let servers = self.servers.lock().unwrap();
        let plain = servers.iter().filter(|server| server.service == PLAIN_SERVICE);
        plain.map(|server| server.server.clone()).collect()
    }

    /// Writes the newest configuration and all entries of servers again.
    pub fn write_again(&self) {
        self.configure(self.config_version.load(Ordering::Relaxed));
        for server in self.servers.lock().unwrap().iter() {
            self.list(server, "ready");
        }
        for (server, is_removed) in self.retired.lock().unwrap().iter() {
            match is_removed {
                true => self.store.remove("servers", &server.id),
                false => self.list(server, "draining"),
            }
        }
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64) {
        self.config_version.store(version, Ordering::Relaxed);
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({ "name": prefix, "host": "site.test", "prefix": prefix, "route_kind": kind,
                "timeout_ms": 4000, "target_latency_ms": 300, "service": service,
                "max_attempts": attempts, "stream_resume": kind == "streaming" })
        };
        let config = json!({ "version": version,
            "routes": [route("/chat/", "streaming", "llm", 3),
                route("/once/", "non_idempotent", "desk", 1),
                route("/look/", "idempotent", "desk", 2)],
            "services": [], "tenants": [{ "name": "ana", "api_keys": ["key-ana"] }] });
        self.store.put("op", "config", config.to_string().as_bytes());
    }

    /// Starts the instance with the given index and waits until it is ready.
    pub async fn start_node(&self, index: usize) -> Result<()> {
        let node = NodeBuilder::new(&format!("n{index}"), self.store_relay.addr())
            .grace_s(GRACE_S)
            .start()?;
        node.wait_ready(true).await?;
        self.addrs.lock().unwrap()[index] = node.frontend;
        self.nodes.lock().await[index] = Some(node);
        Ok(())
    }
}

/// Runs a seed and checks what callers and servers observed.
pub async fn run_seed(seed: u64) -> Result<String> {
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    let store = SiteStore::start(stop.clone()).await?;
    let instance_count =
        if seed < FIRST_SEED_WITH_MANY_INSTANCES { FEW_INSTANCES } else { MANY_INSTANCES };
    let testbed = Arc::new(Testbed {
        instance_count,
        store_relay: Relay::start(store.addr(), stop.clone()).await?,
        store,
        request_log: Arc::new(Mutex::new(Vec::new())),
        servers: Mutex::default(),
        nodes: tokio::sync::Mutex::new((0..instance_count).map(|_| None).collect()),
        addrs: Mutex::new(vec![([127, 0, 0, 1], 1).into(); instance_count]),
        outcomes: Mutex::default(),
        retired_at: Mutex::default(),
        retired: Mutex::default(),
        config_version: AtomicU64::new(0),
        store_healthy_since: Mutex::new(Instant::now()),
        stop: stop.clone(),
    });
    testbed.configure(1);
    for (number, service) in ["llm", "llm", "llm", "llm", "desk", "desk", "desk"].iter().enumerate()
    {
        testbed.add_server(&format!("s{number}"), service).await?;
    }
    for index in 0..instance_count {
        testbed.start_node(index).await?;
    }
    let stop_callers = CancellationToken::new();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number);
            tokio::spawn(caller::run(testbed.clone(), number, rng, stop_callers.clone()))
        })
        .collect();
    faults::run(&testbed, ChaCha8Rng::seed_from_u64(seed), FAULT_PERIOD).await?;
    let faults_ended = Instant::now();
    tokio::time::sleep(RECOVERY_PERIOD).await;
    stop_callers.cancel();
    for caller in callers {
        caller.await?;
    }
    check(&testbed, faults_ended)
}

/// Checks the outcomes at the callers against the requests that servers received.
fn check(testbed: &Testbed, faults_ended: Instant) -> Result<String> {
    let outcomes = testbed.outcomes.lock().unwrap();
    let request_log = testbed.request_log.lock().unwrap();
    let mut executions: HashMap<&str, u32> = HashMap::new();
    for request in request_log.iter().filter(|request| request.executed) {
        *executions.entry(&request.id).or_default() += 1;
    }
    let sent: HashSet<&str> = outcomes.iter().map(|outcome| &*outcome.id).collect();
    for outcome in outcomes.iter() {
        let executed = executions.get(&*outcome.id).copied().unwrap_or(0);
        if let Some(violation) = &outcome.violation {
            bail!("{} ({}): {violation}", outcome.id, outcome.prefix);
        }
        if outcome.prefix == "/once/" {
            ensure!(executed <= 1, "{} was executed {executed} times", outcome.id);
            let refused = matches!(outcome.status, 408 | 421 | 429 | 503);
            ensure!(
                !refused || executed == 0,
                "{} was refused with {} but executed",
                outcome.id,
                outcome.status
            );
        }
        let denied =
            (400..500).contains(&outcome.status) && !matches!(outcome.status, 408 | 421 | 429);
        ensure!(!denied, "{} was denied with {}", outcome.id, outcome.status);
    }
    for request in request_log.iter() {
        let known = sent.contains(&*request.id) || request.id.starts_with('c');
        ensure!(known, "a server received the unknown request {:?}", request.id);
        let account = request.headers.get("x-tenant").and_then(|name| name.to_str().ok());
        ensure!(account == Some("ana"), "{} was sent for the account {account:?}", request.id);
        ensure!(
            !request.headers.contains_key("x-credential"),
            "{} was sent with the caller's key",
            request.id
        );
    }
    check_retired_servers(testbed, &request_log)?;
    let crashes: u64 = testbed.plain_servers().iter().map(SiteServer::crashes).sum();
    ensure!(crashes <= MAX_CRASHES, "servers crashed {crashes} times as they had to reject");
    let recovered =
        outcomes.iter().filter(|outcome| outcome.sent_at > faults_ended + RECOVERY_PERIOD / 2);
    let mut statuses: HashMap<(&str, u16), u32> = HashMap::new();
    for outcome in recovered {
        *statuses.entry((outcome.prefix, outcome.status)).or_default() += 1;
    }
    let all: u32 = statuses.values().sum();
    let answered = statuses.iter().filter(|((_, status), _)| *status == 200);
    let answered: u32 = answered.map(|(_, count)| count).sum();
    ensure!(answered * 10 >= all * 8, "after the faults, requests ended with {statuses:?}");
    let answered = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    Ok(format!(
        "{} requests, {answered} answered, {} received by servers, {crashes} crashes",
        outcomes.len(),
        request_log.len()
    ))
}

/// Checks that retired servers execute no requests after [`RETIREMENT_MARGIN`]. The time
/// starts no earlier than the end of the last fault of the store, as instances can't learn
/// of the retirement before.
fn check_retired_servers(testbed: &Testbed, requests: &[SiteRequest]) -> Result<()> {
    let retired_at = testbed.retired_at.lock().unwrap();
    let store_healthy_since = *testbed.store_healthy_since.lock().unwrap();
    for request in requests.iter().filter(|request| request.executed) {
        if let Some(retired_at) = retired_at.get(&request.server) {
            let latest = (*retired_at).max(store_healthy_since) + RETIREMENT_MARGIN;
            ensure!(
                request.received_at <= latest,
                "{} was executed by {}, which was retired before",
                request.id,
                request.server
            );
        }
    }
    Ok(())
}
