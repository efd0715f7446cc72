//! One seed: its processes, stand-ins and callers, and what is checked at the end.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Result, bail, ensure};
use fakes::{Relay, SiteRequestLog, SiteServer, SiteStore};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::caller::{self, Seen};
use crate::faults;
use crate::node::Node;

/// How long callers and faults go on.
const LENGTH: Duration = Duration::from_secs(6);
/// How long callers go on after the last fault has been healed.
const CALM: Duration = Duration::from_millis(2_500);
/// Callers at the same time.
const CALLERS: u64 = 12;
/// Processes of the product: each follows the store by itself.
const FEW: usize = 3;
/// So many that one reads the store for all.
const MANY: usize = 7;
/// From this seed on there are many.
const MANY_FROM: u64 = 1_000;
/// The grace of a SIGTERM in seconds.
pub const GRACE_S: f64 = 4.0;
/// Work that reaches a server so long after its entry has gone is late: the
/// bound of the users' platform, and half a second for a busy machine.
const LEFT_FOR: Duration = Duration::from_millis(2_500);

/// What callers and faults share.
pub struct World {
    pub size: usize,
    pub store: SiteStore,
    pub store_relay: Relay,
    pub journal: SiteRequestLog,
    pub servers: Mutex<Vec<Server>>,
    pub nodes: tokio::sync::Mutex<Vec<Option<Node>>>,
    pub addrs: Mutex<Vec<SocketAddr>>,
    pub seen: Mutex<Vec<Seen>>,
    pub left: Mutex<HashMap<String, Instant>>,
    pub store_sound: Mutex<Instant>,
    pub stop: CancellationToken,
}

/// A server with the relay before it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub server: SiteServer,
    pub relay: Relay,
}

impl World {
    /// Starts and lists a server.
    pub async fn add_server(&self, id: &str, service: &'static str) -> Result<()> {
        let server = SiteServer::start(id, self.journal.clone(), self.stop.clone()).await?;
        let relay = Relay::start(server.addr(), self.stop.clone()).await?;
        let added = Server { id: id.to_owned(), service, server, relay };
        self.list(&added, "ready");
        self.servers.lock().unwrap().push(added);
        Ok(())
    }

    /// Writes a server's entry.
    pub fn list(&self, server: &Server, state: &str) {
        let entry = json!({ "service": server.service, "address": server.relay.addr(),
            "zone": "z1", "version": "v1", "slots": 8, "state": state,
            "cold_remaining_ms": 0, "sequence": 1, "born": 1 });
        self.store.put("servers", &server.id, entry.to_string().as_bytes());
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64) {
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

    /// Starts a process in place of another; returns once it is ready.
    pub async fn start_node(&self, place: usize) -> Result<()> {
        let node =
            Node::start(&format!("n{place}"), self.store_relay.addr(), GRACE_S, Stdio::null())?;
        node.until_ready(true).await?;
        self.addrs.lock().unwrap()[place] = node.callers;
        self.nodes.lock().await[place] = Some(node);
        Ok(())
    }
}

/// Plays a seed and checks what was seen.
pub async fn play(seed: u64) -> Result<String> {
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    let store = SiteStore::start(stop.clone()).await?;
    let size = if seed < MANY_FROM { FEW } else { MANY };
    let world = Arc::new(World {
        size,
        store_relay: Relay::start(store.addr(), stop.clone()).await?,
        store,
        journal: Arc::new(Mutex::new(Vec::new())),
        servers: Mutex::default(),
        nodes: tokio::sync::Mutex::new((0..size).map(|_| None).collect()),
        addrs: Mutex::new(vec![([127, 0, 0, 1], 1).into(); size]),
        seen: Mutex::default(),
        left: Mutex::default(),
        store_sound: Mutex::new(Instant::now()),
        stop: stop.clone(),
    });
    world.configure(1);
    for (number, service) in ["llm", "llm", "llm", "llm", "desk", "desk", "desk"].iter().enumerate()
    {
        world.add_server(&format!("s{number}"), service).await?;
    }
    for place in 0..size {
        world.start_node(place).await?;
    }
    let calling = CancellationToken::new();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + number);
            tokio::spawn(caller::run(world.clone(), number, rng, calling.clone()))
        })
        .collect();
    faults::run(&world, ChaCha8Rng::seed_from_u64(seed), LENGTH).await?;
    let healed = Instant::now();
    tokio::time::sleep(CALM).await;
    calling.cancel();
    for caller in callers {
        caller.await?;
    }
    check(&world, healed)
}

fn check(world: &World, healed: Instant) -> Result<String> {
    let seen = world.seen.lock().unwrap();
    let journal = world.journal.lock().unwrap();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for arrival in journal.iter().filter(|arrival| arrival.executed) {
        *runs.entry(&arrival.id).or_default() += 1;
    }
    let sent: HashSet<&str> = seen.iter().map(|seen| &*seen.id).collect();
    for seen in seen.iter() {
        let ran = runs.get(&*seen.id).copied().unwrap_or(0);
        if let Some(fault) = &seen.fault {
            bail!("{} ({}): {fault}", seen.id, seen.path);
        }
        if seen.path == "/once/" {
            ensure!(ran <= 1, "{} ran {ran} times", seen.id);
            let refused = matches!(seen.status, 408 | 421 | 429 | 503);
            ensure!(!refused || ran == 0, "{} was refused with {} and ran", seen.id, seen.status);
        }
        let denied = (400..500).contains(&seen.status) && !matches!(seen.status, 408 | 421 | 429);
        ensure!(!denied, "{} was denied with {}", seen.id, seen.status);
    }
    for arrival in journal.iter() {
        let known = sent.contains(&*arrival.id) || arrival.id.starts_with('c');
        ensure!(known, "a server got the request {:?}", arrival.id);
        let account = arrival.headers.get("x-tenant").and_then(|name| name.to_str().ok());
        ensure!(account == Some("ana"), "{} came for {account:?}", arrival.id);
        ensure!(!arrival.headers.contains_key("x-credential"), "{} came with its key", arrival.id);
    }
    late_work(world, &journal)?;
    let calm = seen.iter().filter(|seen| seen.sent > healed + CALM / 2);
    let mut calm_ends: HashMap<(&str, u16), u32> = HashMap::new();
    for seen in calm {
        *calm_ends.entry((seen.path, seen.status)).or_default() += 1;
    }
    let all: u32 = calm_ends.values().sum();
    let whole = calm_ends.iter().filter(|((_, status), _)| *status == 200);
    let whole: u32 = whole.map(|(_, count)| count).sum();
    ensure!(whole * 10 >= all * 8, "after the faults requests ended {calm_ends:?}");
    let served = seen.iter().filter(|seen| seen.status == 200).count();
    Ok(format!("{} requests, {served} answered, {} arrivals", seen.len(), journal.len()))
}

/// No work for servers that left, as long as the store was sound.
fn late_work(world: &World, journal: &[fakes::SiteRequest]) -> Result<()> {
    let left = world.left.lock().unwrap();
    let sound = *world.store_sound.lock().unwrap();
    for arrival in journal.iter().filter(|arrival| arrival.executed) {
        if let Some(since) = left.get(&arrival.server) {
            let known = (*since).max(sound) + LEFT_FOR;
            ensure!(
                arrival.received_at <= known,
                "{} ran at {}, which had left",
                arrival.id,
                arrival.server
            );
        }
    }
    Ok(())
}
