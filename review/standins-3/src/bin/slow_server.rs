//! Servers read the bodies of long requests some seconds late.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde_json::json;
use standins_3::has_trouble;
use standins_3::http::{decode_chunks, read_body, read_head};
use standins_3::node::Node;
use standins_3::record::Record;
use standins_3::store::Store;
use standins_3::{backend, loopback};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long a server leaves the rest of a long body unread.
const READ_PAUSE: Duration = Duration::from_millis(3_300);
/// From which length on a body is long.
const LONG_BODY: usize = 100_000;
/// Bodies of the requests: one in ten is long.
const SMALL_BYTES: usize = 4_000;
const LARGE_BYTES: usize = 400_000;
/// How long a request runs.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Number of servers of each service.
const SERVERS: usize = 4;
/// Number of requests of each kind, one every [`PERIOD`].
const REQUESTS: u64 = 200;
const PERIOD: Duration = Duration::from_millis(150);
/// Number of events of a stream.
const EVENTS: usize = 4;

/// The kinds of request, with their deadlines in ms.
const KINDS: [(&str, u64); 2] = [("summary", 15_000), ("filing", 4_000)];
/// How many of the kinds are sent. The second one is for trials: its deadline is longer than the
/// sheet's 3 s.
const SENT_KINDS: usize = 1;

struct Shared {
    record: Record,
    runs: AtomicU64,
}

async fn serve(server: &str, shared: &Shared, mut stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let length: usize = head.get("content-length").unwrap_or("0").parse()?;
        if length >= LONG_BODY && has_trouble() {
            tokio::time::sleep(READ_PAUSE).await;
        }
        let body = match read_body(&mut stream, &mut buffer, &head).await {
            Ok(body) => body,
            Err(error) => {
                shared.record.line(format!("{server}: {id} its connection breaks off within the body: {error}"));
                return Err(error);
            }
        };
        if id.is_empty() {
            let answer =
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {server}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        shared.runs.fetch_add(1, Ordering::Relaxed);
        if length >= LONG_BODY {
            shared.record.line(format!("{server}: has read {} bytes and runs {id}", body.len()));
        }
        tokio::time::sleep(WORK_TIME).await;
        let lines = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\n");
        if server.starts_with("llm") {
            let lines = format!(
                "{lines}X-Confidence: 100\r\nX-Weight-Versions: 1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(lines.as_bytes()).await?;
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: part\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await?;
        } else {
            let answer = format!("{lines}Content-Length: 5\r\n\r\nfiled");
            stream.write_all(answer.as_bytes()).await?;
        }
    }
    Ok(())
}

async fn start_server(store: &Store, service: &'static str, id: String, shared: Arc<Shared>) -> Result<()> {
    let listener = TcpListener::bind((loopback(), 0)).await?;
    let addr = listener.local_addr()?;
    let entry = move |sequence: u64| {
        json!({ "service": service, "address": addr, "zone": "serra-a", "version": "v1",
            "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": 1 })
    };
    store.put("servers", &id, &entry(1));
    let (store, name) = (store.clone(), id.clone());
    tokio::spawn(async move {
        for sequence in 2.. {
            tokio::time::sleep(backend::HEARTBEAT).await;
            store.put("servers", &name, &entry(sequence));
        }
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (id, shared) = (id.clone(), shared.clone());
            tokio::spawn(async move { drop(serve(&id, &shared, stream).await) });
        }
    });
    Ok(())
}

/// Sends one attempt; returns the status and whether the answer is complete.
async fn attempt(addr: SocketAddr, kind: usize, id: &str, bytes: usize) -> Result<(u16, bool)> {
    let (name, deadline) = KINDS[kind];
    let prompt = match name {
        "summary" => format!(
            "X-Model: *\r\nX-Token-Count: {},64\r\nX-Prompt-Prefix: 5c1e07a2:198,{id}:{}\r\n",
            198 + bytes / 4,
            bytes / 4
        ),
        _ => String::new(),
    };
    let head = format!(
        "POST /{name}/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n{prompt}\
         X-Deadline-Ms: {deadline}\r\nX-Credential: n2ctnfzs989anu6wsjnb\r\n\
         Content-Length: {bytes}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; bytes]).await?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer).await?.context("closed without an answer")?;
    if head.get("content-length").is_some() {
        read_body(&mut stream, &mut buffer, &head).await?;
        return Ok((head.status(), true));
    }
    while !decode_chunks(&buffer).1 {
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok((head.status(), false));
        }
    }
    Ok((head.status(), true))
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
    let shared = Arc::new(Shared { record: Record::create()?, runs: AtomicU64::new(0) });
    let (store, store_addr) = Store::start().await?;
    store.put(
        "op",
        "config",
        &json!({ "version": 7,
            "routes": [
                { "name": "summary", "host": "ficu95.example", "prefix": "/summary/",
                  "route_kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 2000,
                  "priority": 1, "sizes": ["m0"], "service": "llm", "max_attempts": 3,
                  "public": false, "session_affinity": true, "stream_resume": true,
                  "gap_target_ms": 800 },
                { "name": "filing", "host": "ficu95.example", "prefix": "/filing/",
                  "route_kind": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 300,
                  "priority": 0, "service": "desk", "max_attempts": 1, "public": false }],
            "services": [
                { "name": "llm", "health_path": "/healthz", "max_connections": 370,
                  "engine": { "slots": 64, "kv_capacity": 786898,
                      "models": [{ "name": "m0", "cost": 0.017 }] } },
                { "name": "desk", "health_path": "/healthz", "max_connections": 110 }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1 }] }),
    );
    for number in 1..=SERVERS {
        start_server(&store, "llm", format!("llm-{number}"), shared.clone()).await?;
        start_server(&store, "desk", format!("desk-{number}"), shared.clone()).await?;
    }
    let node = Node::start("node-1", store_addr)?;
    node.wait_ready().await?;
    shared.record.line("the instance is ready");
    let kinds = if std::env::var("FILINGS").is_ok() { KINDS.len() } else { SENT_KINDS };
    let mut clients = Vec::new();
    for number in 1..=REQUESTS {
        for kind in 0..kinds {
            let client = request(shared.clone(), node.frontend, kind, number);
            clients.push(tokio::spawn(client));
        }
        tokio::time::sleep(PERIOD).await;
    }
    let mut tallies = vec![[0.0_f64; 4]; kinds];
    for client in clients {
        let (kind, is_large, is_served) = client.await?;
        let [sent, served, large, served_large] = &mut tallies[kind];
        *sent += 1.0;
        *served += f64::from(u8::from(is_served));
        *large += f64::from(u8::from(is_large));
        *served_large += f64::from(u8::from(is_large && is_served));
    }
    let mut held = true;
    for ((name, _), [sent, served, large, served_large]) in KINDS.iter().zip(tallies) {
        let (share, all) = (served_large / large, served / sent);
        shared.record.line(format!(
            "{name}: {served_large} of {large} long ones served ({share:.2}), {served} of {sent} in all ({all:.2})"
        ));
        held &= share >= all / 2.0;
    }
    shared.record.line(format!("Sizes {}", if held { "held" } else { "is broken" }));
    Ok(held)
}

/// Sends one request, of which one in ten is long; returns its kind, whether it is long and
/// whether it was served.
async fn request(
    shared: Arc<Shared>,
    addr: SocketAddr,
    kind: usize,
    number: u64,
) -> (usize, bool, bool) {
    let (name, deadline) = KINDS[kind];
    let is_large = number % 10 == 0;
    let bytes = if is_large { LARGE_BYTES } else { SMALL_BYTES };
    let id = format!("{kind}{number:015x}");
    let sent = Instant::now();
    let answer = attempt(addr, kind, &id, bytes);
    let (status, is_whole) = match tokio::time::timeout(Duration::from_millis(deadline), answer).await {
        Ok(Ok(answer)) => answer,
        _ => (0, false),
    };
    let is_served = status == 200 && is_whole;
    if is_large || !is_served {
        let took = sent.elapsed().as_secs_f64();
        shared.record.line(format!("client: {name} {id}, {bytes} bytes: {status} after {took:.2} s"));
    }
    (kind, is_large, is_served)
}
