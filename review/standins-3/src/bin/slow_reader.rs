//! An instance gets SIGTERM while two clients read their answers slowly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use standins_3::http::{Handler, Head, decode_chunks, read_head, serve};
use standins_3::node::Node;
use standins_3::record::Record;
use standins_3::store::Store;
use standins_3::{has_trouble, loopback};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of events of a stream and size of one.
const EVENTS: usize = 64;
const EVENT_BYTES: usize = 6_000;
/// Pause between two events at the server.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// Size of the answer to a booking.
const BOOKING_BYTES: usize = 300_000;
/// What the client of the stream reads at once, and how often.
const CLIENT_CHUNK: usize = 8_000;
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
/// How long the client of the booking reads nothing behind the head. Then it reads on at once.
const BOOKING_STALL: Duration = Duration::from_secs(4);
/// The segment size of an ordinary path; that of the loopback interface is 64 KB.
const SEGMENT_BYTES: u32 = 1_460;
/// The client's receive buffer.
const RECEIVE_BYTES: usize = 4 << 10;
/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

#[derive(Clone)]
struct Server {
    id: &'static str,
    record: Arc<Record>,
}

impl Handler for Server {
    async fn handle(&self, head: Head, _: Vec<u8>, stream: &mut TcpStream) -> Result<bool> {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if head.word(1) == "/healthz" || id.is_empty() {
            let answer = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            stream.write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        if head.get("x-expect-instance") != Some(self.id) {
            let answer = format!(
                "HTTP/1.1 421 X\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        self.record.line(format!("server {}: runs {id}", self.id));
        let common = format!("X-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\nX-Server-Load: 1,0,8\r\n");
        if self.id == "desk-1" {
            let answer = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {BOOKING_BYTES}\r\n\r\n");
            stream.write_all(answer.as_bytes()).await?;
            stream.write_all(&booking()).await?;
        } else {
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{common}X-Confidence: 100\r\nX-Weight-Versions: 1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).await?;
            for number in 1..=EVENTS {
                let event = event(number);
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
                tokio::time::sleep(EVENT_PAUSE).await;
            }
            stream.write_all(b"0\r\n\r\n").await?;
        }
        self.record.line(format!("server {}: has sent the whole answer to {id}", self.id));
        Ok(true)
    }
}

fn booking() -> Vec<u8> {
    (0..BOOKING_BYTES).map(|index| b'a' + (index % 26) as u8).collect()
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES))
}

fn stream_body() -> Vec<u8> {
    (1..=EVENTS).flat_map(|number| event(number).into_bytes()).collect()
}

/// Connects as a client on an ordinary path does.
async fn connect(addr: SocketAddr) -> Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.connect(&addr.into())?;
    socket.set_nonblocking(true)?;
    Ok(TcpStream::from_std(socket.into())?)
}

/// Sends a request and reads the answer slowly; returns whether it is complete.
async fn ask(record: Arc<Record>, addr: SocketAddr, path: &str, id: &str) -> Result<bool> {
    let mut stream = connect(addr).await?;
    let prompt = if path.starts_with("/quote") {
        "X-Model: *\r\nX-Token-Count: 826,400\r\nX-Prompt-Prefix: 5c1e07a2:198,e4402b7d:628\r\nSession: s-1\r\n"
    } else {
        ""
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n{prompt}\
         X-Deadline-Ms: 20000\r\nX-Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).await?;
    record.line(format!("client: sent {id}"));
    let sent = Instant::now();
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer).await?.context("no answer")?;
    let is_booking = path.starts_with("/book");
    if is_booking {
        tokio::time::sleep(BOOKING_STALL).await;
    }
    let ended = loop {
        if !is_booking {
            tokio::time::sleep(CLIENT_PAUSE).await;
        }
        let mut chunk = [0; CLIENT_CHUNK];
        match stream.read(&mut chunk).await {
            Ok(0) => break "closed".to_owned(),
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
            Err(error) => break error.to_string(),
        }
        if is_complete(&head, &buffer).1 {
            break "kept".to_owned();
        }
    };
    let (body, complete) = is_complete(&head, &buffer);
    let expected = if path.starts_with("/quote") { stream_body() } else { booking() };
    let whole = complete && body == expected;
    record.line(format!(
        "client: {id}: status {}, {} of {} bytes, {}, connection {ended}, after {:.2} s",
        head.status(),
        body.len(),
        expected.len(),
        if whole { "whole" } else { "NOT WHOLE" },
        sent.elapsed().as_secs_f64()
    ));
    Ok(whole)
}

fn is_complete(head: &Head, bytes: &[u8]) -> (Vec<u8>, bool) {
    match head.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => (bytes.to_vec(), bytes.len() == length),
        None => decode_chunks(bytes),
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
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({ "name": prefix.trim_matches('/'), "host": "ficu95.example", "prefix": prefix,
            "route_kind": kind, "timeout_ms": 20000, "target_latency_ms": 1000, "priority": 0,
            "service": service, "max_attempts": attempts, "public": false })
    };
    let mut quote = route("/quote/", "streaming", "llm", 3);
    quote["sizes"] = json!(["m0"]);
    quote["session_affinity"] = json!(true);
    quote["stream_resume"] = json!(true);
    quote["gap_target_ms"] = json!(800);
    store.put(
        "op",
        "config",
        &json!({ "version": 7, "routes": [quote, route("/book/", "non_idempotent", "desk", 1)],
            "services": [
                { "name": "llm", "health_path": "/healthz", "max_connections": 370,
                  "engine": { "slots": 64, "kv_capacity": 786898, "models": [{ "name": "m0", "cost": 0.017 }] } },
                { "name": "desk", "health_path": "/healthz", "max_connections": 110 }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1 }] }),
    );
    for (id, service) in [("llm-1", "llm"), ("desk-1", "desk")] {
        let addr = serve(Server { id, record: record.clone() }).await?;
        store.put(
            "servers",
            id,
            &json!({ "service": service, "address": addr, "zone": "serra-a", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1 }),
        );
    }
    let mut node = Node::start("node-1", store_addr)?;
    node.wait_ready().await?;
    record.line(format!("instance at {} is ready", loopback()));
    let (addr, first, second) = (node.frontend, record.clone(), record.clone());
    let quote = tokio::spawn(async move { ask(first, addr, "/quote/2f", "quote-1").await });
    let book = tokio::spawn(async move { ask(second, addr, "/book/2f", "book-1").await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut killed = None;
    if has_trouble() {
        node.signal("TERM")?;
        record.line("instance: SIGTERM");
        let at = Instant::now();
        while at.elapsed() < GRACE && !node.has_ended() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        record.line(format!(
            "instance: {} {:.2} s after SIGTERM; the grace period is {} s",
            if node.has_ended() { "ended by itself" } else { "still runs, is killed" },
            at.elapsed().as_secs_f64(),
            GRACE.as_secs()
        ));
        killed = Some(node.log());
    }
    let (quote, book) = (quote.await??, book.await??);
    if let Some(log) = killed {
        for line in log.lines().filter(|line| line.contains("drain") || line.contains("request")) {
            record.line(format!("log: {line}"));
        }
    }
    record.line(format!("LOST {}", if quote && book { "held" } else { "is broken" }));
    Ok(quote && book)
}
