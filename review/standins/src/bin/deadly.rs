//! A request that crashes each server which begins to run it.
//!
//! `deadly FOLDER look|brief`: a plain idempotent request, or a stream.

use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Result, ensure};
use fakes::SiteStore;
use standins::http::{Client, ask_once};
use standins::server::{Crash, Servers, keep_server};
use standins::{CONTACT, Deployment, HOST, KEY, Record, exit_code, has_trouble, limited};
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::sync::CancellationToken;

/// How long the deadly request comes again and again.
const LENGTH: Duration = Duration::from_secs(40);
/// The time between two attempts of its client.
const PAUSE: Duration = Duration::from_millis(1_500);
/// The number of clients at each instance that send other requests.
const CLIENTS: usize = 6;
/// The pause between two of a client's requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
/// The rule: retries that may reach servers later than `contact_ms` after the third crash.
const MOST_RETRIES: usize = 3;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let code = exit_code(runtime.block_on(limited(run())));
    runtime.shutdown_timeout(Duration::from_secs(1));
    code
}

/// Runs the case; returns whether the rule held.
async fn run() -> Result<bool> {
    let mut args = std::env::args().skip(1);
    let folder = args.next().unwrap_or_default();
    let is_stream = args.next().as_deref() == Some("brief");
    let record = Record::create(Path::new(&folder))?;
    let store = SiteStore::start(CancellationToken::new()).await?;
    let at = Deployment::new(store.clone(), 3)?;
    at.configure(7);
    let delay = std::env::var("CRASH_MS").ok().and_then(|ms| ms.parse().ok());
    let crash = match (has_trouble(), is_stream) {
        (false, _) => Crash::Never,
        (true, false) => Crash::After(Duration::from_millis(delay.unwrap_or(1))),
        (true, true) => match delay {
            // For comparison: the server crashes before its first event.
            Some(0) => Crash::After(Duration::from_millis(20)),
            _ => Crash::AfterEvent(Duration::from_millis(delay.unwrap_or(20))),
        },
    };
    let (deadly, mut begun) = unbounded_channel();
    let (crashed, mut crashes) = unbounded_channel();
    let servers = Arc::new(Servers {
        store,
        record: record.clone(),
        crash,
        work: Duration::from_millis(15),
        away: Duration::from_secs(3),
        deadly,
        crashed,
        lost: AtomicU64::new(0),
        born: AtomicU64::new(0),
    });
    let (service, slots) = if is_stream { ("herd", 32) } else { ("desk", 6) };
    for zone in ["almaty-a", "almaty-b", "almaty-c"] {
        for _ in 0..3 {
            let servers = servers.clone();
            tokio::spawn(async move { keep_server(servers, service, zone, slots).await });
        }
    }
    let nodes = at.start().await?;
    record
        .line(format!("instances ready: {:?}", nodes.iter().map(|n| n.pid()).collect::<Vec<_>>()));
    let stop = Arc::new(AtomicBool::new(false));
    let (served, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for (index, node) in nodes.iter().enumerate() {
        for client in 0..CLIENTS {
            let (addr, stop, record) = (node.frontend, stop.clone(), record.clone());
            let (served, failed) = (served.clone(), failed.clone());
            let name = format!("{index}{client}");
            tokio::spawn(async move {
                let mut open = None;
                for number in 0.. {
                    tokio::time::sleep(CLIENT_PAUSE).await;
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    if open.is_none() {
                        open = Client::open(addr).await.ok();
                    }
                    let Some(connection) = &mut open else { continue };
                    let id = format!("b{name}{number:05}");
                    let path = if is_stream { "/brief/" } else { "/look/" };
                    let request = request(&format!("{path}{id}"), &id, is_stream, "");
                    let reply = connection.ask(&request, Duration::from_secs(5)).await;
                    if reply.status == 200 && reply.whole {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        failed.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("client {id}: {} whole {}", reply.status, reply.whole));
                        open = None;
                    }
                }
            });
        }
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    ensure!(served.load(Ordering::Relaxed) > 100, "the deployment does not serve");
    let start = record.now();
    let mut sent = 0u32;
    while record.now() - start < LENGTH {
        let node = &nodes[sent as usize % nodes.len()];
        let id = format!("d{sent:05}");
        let path = if is_stream { "/brief/deadly" } else { "/look/deadly" };
        let request = request(path, &id, is_stream, "the same body");
        record.line(format!("client sends {id} to instance {}", sent as usize % nodes.len() + 1));
        let reply = ask_once(node.frontend, &request, Duration::from_secs(5)).await;
        let text = format!("client {id}: {} whole {}", reply.status, reply.whole);
        record.line(text);
        sent += 1;
        tokio::time::sleep(PAUSE).await;
    }
    stop.store(true, Ordering::Relaxed);
    // The clients' last requests are answered before the instances end.
    tokio::time::sleep(Duration::from_secs(2)).await;
    drop(nodes);
    let mut all_crashes = Vec::new();
    while let Ok(crash) = crashes.try_recv() {
        all_crashes.push(crash);
    }
    let mut runs: HashMap<String, Duration> = HashMap::new();
    while let Ok((at, id)) = begun.try_recv() {
        runs.entry(id).or_insert(at);
    }
    let summary = format!(
        "{sent} attempts of the deadly request, {} crashes, {} other requests were running then; \
         clients' other requests: {} answered, {} not",
        all_crashes.len(),
        servers.lost.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed),
    );
    record.line(&summary);
    println!("{summary}");
    let Some(third) = all_crashes.get(2) else {
        println!("held: fewer than three crashes");
        return Ok(true);
    };
    // A retry counts if it first reached a server after the bound.
    let late = runs.values().filter(|at| **at > third.at + CONTACT).count();
    let text = format!(
        "third crash at {:.3} s; {late} retries reached servers later than {CONTACT:?} after it \
         ({MOST_RETRIES} are allowed)",
        third.at.as_secs_f64()
    );
    record.line(&text);
    println!("{text}");
    Ok(late <= MOST_RETRIES)
}

fn request(path: &str, id: &str, is_stream: bool, body: &str) -> Vec<u8> {
    let (method, more) = match is_stream {
        true => ("POST", "X-Model: m1\r\nX-Token-Count: 900,20\r\nX-Prompt-Prefix: "),
        false => ("GET", ""),
    };
    let prompt = match is_stream {
        true if path.ends_with("/deadly") => "a1:500,b2:300,dead:100\r\n".to_owned(),
        true => format!(
            "a1:500,c3:300,{:x}:100\r\n",
            id.bytes().fold(7u64, |h, b| h * 31 + u64::from(b))
        ),
        false => String::new(),
    };
    let body = if is_stream { body } else { "" };
    let length =
        if is_stream { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n{more}{prompt}\
         X-Deadline-Ms: 4000\r\nX-Credential: {KEY}\r\n{length}\r\n{body}"
    )
    .into_bytes()
}
