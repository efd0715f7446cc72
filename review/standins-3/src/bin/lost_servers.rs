//! A quarter of the servers of a service crash at once while they run the same request for many
//! clients of one tenant.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::json;
use standins_3::backend::{Backend, HEARTBEAT, Work};
use standins_3::has_trouble;
use standins_3::http::Connection;
use standins_3::node::Node;
use standins_3::record::Record;
use standins_3::store::Store;

/// Servers of the service for lookups, and how many of them crash: a quarter.
const SERVERS: usize = 12;
const CRASHED: usize = 3;
/// How long the lookup runs that all clients of one tenant send, and any other.
const SAME_TIME: Duration = Duration::from_millis(250);
const OTHER_TIME: Duration = Duration::from_millis(15);
/// Clients of each instance, and how often each of them asks: those of one tenant ask the same,
/// 28 in 100 of the lookups; those of the other ask for something else each time.
const SAME_CLIENTS: usize = 54;
const OTHER_CLIENTS: usize = 141;
const PERIOD: Duration = Duration::from_millis(300);
/// When the servers crash, and for how long they are down.
const CRASH_AT: Duration = Duration::from_secs(3);
const DOWN_TIME: Duration = Duration::from_secs(2);
/// When the day ends.
const LENGTH: Duration = Duration::from_secs(30);
/// The keys of the two tenants.
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];
/// Seconds of one line of the record.
const INTERVAL: u64 = 5;

/// How the requests of one tenant ended, by interval: sent, served and the other statuses.
#[derive(Default)]
struct Tally {
    intervals: BTreeMap<u64, (u64, u64, BTreeMap<u16, u64>)>,
}

impl Tally {
    fn count(&mut self, at: Duration, status: u16) {
        let (sent, served, others) = self.intervals.entry(at.as_secs() / INTERVAL).or_default();
        *sent += 1;
        if status == 200 {
            *served += 1;
        } else {
            *others.entry(status).or_default() += 1;
        }
    }

    fn sum(&self) -> (u64, u64) {
        let all = self.intervals.values();
        all.fold((0, 0), |(sent, served), (s, ok, _)| (sent + s, served + ok))
    }
}

struct Day {
    start: Instant,
    ids: AtomicU64,
    same: Mutex<Tally>,
    others: Mutex<Tally>,
}

impl Day {
    /// Sends the requests of one client, each at its time, until the day ends.
    async fn client(self: Arc<Self>, node: usize, addr: SocketAddr, is_same: bool, offset: Duration) {
        let mut connection = Connection::default();
        let mut next = self.start + offset;
        while next < self.start + LENGTH {
            tokio::time::sleep_until(next.into()).await;
            let sent = self.start.elapsed();
            let id = self.ids.fetch_add(1, Ordering::Relaxed);
            let mut status = self.attempt(&mut connection, node, addr, is_same, id).await;
            // As on the sheets, a client repeats once, after any failure.
            if status != 200 {
                connection = Connection::default();
                status = self.attempt(&mut connection, node, addr, is_same, id).await;
            }
            let tally = if is_same { &self.same } else { &self.others };
            tally.lock().unwrap().count(sent, status);
            next = (next + PERIOD).max(Instant::now());
        }
    }

    /// Sends one attempt; returns the status of the answer, or 0.
    async fn attempt(
        &self,
        connection: &mut Connection,
        node: usize,
        addr: SocketAddr,
        is_same: bool,
        subject: u64,
    ) -> u16 {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (path, key) = match is_same {
            true => ("/slots/free".to_owned(), KEYS[0]),
            false => (format!("/slots/{subject}"), KEYS[1]),
        };
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {node}{id:015x}\r\n\
             X-Deadline-Ms: 4000\r\nX-Credential: {key}\r\n\r\n"
        );
        let answer = connection.send(addr, &request);
        match tokio::time::timeout(Duration::from_secs(4), answer).await {
            Ok(Ok((head, _))) => head.status(),
            _ => {
                *connection = Connection::default();
                0
            }
        }
    }
}

#[tokio::main]
async fn main() {
    let code = match run().await {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case could not run: {error:?}");
            2
        }
    };
    std::process::exit(code);
}

async fn run() -> Result<bool> {
    let record = Arc::new(Record::create()?);
    let (store, store_addr) = Store::start().await?;
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32, public: bool| {
        json!({ "name": prefix.trim_matches('/'), "host": "ficu95.example", "prefix": prefix,
            "route_kind": kind, "timeout_ms": 4000, "target_latency_ms": 300, "priority": 0,
            "service": service, "max_attempts": attempts, "public": public })
    };
    store.put(
        "op",
        "config",
        &json!({ "version": 7,
            "routes": [route("/slots/", "idempotent", "plan", 3, false)],
            "services": [{ "name": "plan", "health_path": "/healthz", "max_connections": 370 }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": "hule930", "api_keys": [KEYS[0]], "priority": 1 },
                { "name": "meda271", "api_keys": [KEYS[1]], "priority": 1 }] }),
    );
    let work = Work { same_path: Some(("/slots/free", SAME_TIME)), ..Work::new(OTHER_TIME) };
    let mut plan = Vec::new();
    for number in 1..=SERVERS {
        let id = format!("plan-{number}");
        plan.push(Backend::start(&store, &id, "plan", 10, work.clone()).await?);
    }
    let nodes = Node::start_all(&["node-1", "node-2"], store_addr)?;
    for node in &nodes {
        node.wait_ready().await?;
    }
    record.line(format!("{} instances are ready", nodes.len()));
    let day = Arc::new(Day {
        start: Instant::now(),
        ids: AtomicU64::new(1),
        same: Mutex::default(),
        others: Mutex::default(),
    });
    let mut clients = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        for (count, is_same) in [(SAME_CLIENTS, true), (OTHER_CLIENTS, false)] {
            for number in 0..count {
                let offset = PERIOD * number as u32 / count as u32;
                let client = day.clone().client(index + 1, node.frontend, is_same, offset);
                clients.push(tokio::spawn(client));
            }
        }
    }
    tokio::time::sleep_until((day.start + CRASH_AT).into()).await;
    if has_trouble() {
        let crashed: Vec<Backend> = plan.drain(..CRASHED).collect();
        let ids: Vec<String> = crashed.iter().map(|server| server.id.clone()).collect();
        for id in &ids {
            let runs = work.running(id);
            let of = |node: &str| runs.iter().filter(|id| id.starts_with(node)).count();
            record.line(format!("{id} runs {} lookups of node-1 and {} of node-2", of("1"), of("2")));
        }
        drop(crashed);
        record.line(format!("{} crash; {} servers of plan run on", ids.join(", "), plan.len()));
        tokio::time::sleep(DOWN_TIME).await;
        for number in 1..=CRASHED {
            let id = format!("plan-{}", SERVERS + number);
            plan.push(Backend::start(&store, &id, "plan", 10, work.clone()).await?);
        }
        record.line(format!("{CRASHED} servers have started again under new ids"));
        tokio::time::sleep(HEARTBEAT * 3 - DOWN_TIME).await;
        ids.iter().for_each(|id| store.drop_row("servers", id));
        record.line("the entries of the crashed servers are dropped after three heartbeats");
    }
    for client in clients {
        client.await?;
    }
    let (same, others) = (day.same.lock().unwrap(), day.others.lock().unwrap());
    for (name, tally) in [("tenant hule930 (the same lookup)", &same), ("tenant meda271 (others)", &others)] {
        for (interval, (sent, served, others)) in &tally.intervals {
            let (from, to) = (interval * INTERVAL, (interval + 1) * INTERVAL);
            record.line(format!("{name} {from} to {to} s: {sent} sent, {served} served, other statuses {others:?}"));
        }
    }
    for node in &nodes {
        for line in node.log().lines().filter(|line| line.contains("server_died")) {
            record.line(format!("log: {line}"));
        }
    }
    let (sent, served) = same.sum();
    let (others_sent, others_served) = others.sum();
    let share = served as f64 / sent as f64;
    let all = (served + others_served) as f64 / (sent + others_sent) as f64;
    let hot = sent as f64 / (sent + others_sent) as f64;
    record.line(format!("{hot:.3} of the lookups are the same one"));
    record.line(format!("served: {share:.3} of those of hule930, {all:.3} of all requests"));
    let held = share >= all / 4.0;
    record.line(format!("Starved {}", if held { "held" } else { "is broken" }));
    Ok(held)
}
