//! Servers begin to answer before they have read a long body, and read on some seconds later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde_json::json;
use standins_3::http::{decode_chunks, read_body, read_head};
use standins_3::node::Node;
use standins_3::record::Record;
use standins_3::store::Store;
use standins_3::{backend, has_trouble, loopback};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long a server leaves the rest of a body unread after it began to answer.
const READ_PAUSE: Duration = Duration::from_millis(4_000);
/// Size of a body.
const BODY_BYTES: usize = 400_000;
/// Number of events of a stream, and the pause between two; a stream takes 6 s.
const EVENTS: usize = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Number of servers, and of streams on each route.
const SERVERS: usize = 4;
const STREAMS: usize = 8;
/// Time from the SIGHUP to the first request, and between two requests.
const AFTER_SIGNAL: Duration = Duration::from_millis(200);
const PERIOD: Duration = Duration::from_millis(100);
/// The routes: the first one may not be sent again.
const ROUTES: [(&str, bool); 2] = [("draft", false), ("summary", true)];

async fn serve(server: &str, record: &Record, mut stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if id.is_empty() {
            let answer =
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {server}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        record.line(format!("{server}: runs {id}"));
        let resumed: usize = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let (mut input, mut output) = stream.split();
        let pause = if has_trouble() { READ_PAUSE } else { Duration::ZERO };
        let reading = async {
            tokio::time::sleep(pause).await;
            read_body(&mut input, &mut buffer, &head).await.map(|body| body.len())
        };
        let writing = async {
            let lines = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\n\
                 X-Confidence: 100\r\nX-Weight-Versions: 1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            output.write_all(lines.as_bytes()).await?;
            for number in resumed + 1..=EVENTS {
                let event = format!("id: {number}\ndata: part {number}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                output.write_all(chunk.as_bytes()).await?;
                tokio::time::sleep(EVENT_PAUSE).await;
            }
            output.write_all(b"0\r\n\r\n").await?;
            Ok::<_, anyhow::Error>(())
        };
        match tokio::try_join!(reading, writing) {
            Ok((bytes, ())) => record.line(format!("{server}: has read {bytes} bytes of {id} and sent all")),
            Err(error) => {
                record.line(format!("{server}: the connection of {id} breaks off: {error}"));
                return Err(error);
            }
        }
    }
    Ok(())
}

async fn start_server(store: &Store, id: String, record: Arc<Record>) -> Result<()> {
    let listener = TcpListener::bind((loopback(), 0)).await?;
    let addr = listener.local_addr()?;
    let entry = move |sequence: u64| {
        json!({ "service": "llm", "address": addr, "zone": "serra-a", "version": "v1",
            "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": 1 })
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
            let (id, record) = (id.clone(), record.clone());
            tokio::spawn(async move { drop(serve(&id, &record, stream).await) });
        }
    });
    Ok(())
}

/// Sends a request and reads its stream; returns the status, the events and whether the stream is
/// complete.
async fn ask(addr: SocketAddr, route: &str, id: &str) -> Result<(u16, usize, bool)> {
    let head = format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Model: *\r\nX-Token-Count: 100198,64\r\nX-Prompt-Prefix: 5c1e07a2:198,{id}:100000\r\n\
         X-Deadline-Ms: 20000\r\nX-Credential: n2ctnfzs989anu6wsjnb\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; BODY_BYTES]).await?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer).await?.context("closed without an answer")?;
    if head.get("content-length").is_some() {
        read_body(&mut stream, &mut buffer, &head).await?;
        return Ok((head.status(), 0, true));
    }
    loop {
        let (body, is_whole) = decode_chunks(&buffer);
        let events = body.windows(2).filter(|two| two == b"\n\n").count();
        if is_whole {
            return Ok((head.status(), events, true));
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
            return Ok((head.status(), events, false));
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
    let route = |(name, resume): &(&str, bool)| {
        json!({ "name": name, "host": "ficu95.example", "prefix": format!("/{name}/"),
            "route_kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 1000,
            "priority": 1, "sizes": ["m0"], "service": "llm", "max_attempts": 3, "public": false,
            "session_affinity": true, "stream_resume": resume, "gap_target_ms": 800 })
    };
    store.put(
        "op",
        "config",
        &json!({ "version": 7, "routes": ROUTES.iter().map(route).collect::<Vec<_>>(),
            "services": [
                { "name": "llm", "health_path": "/healthz", "max_connections": 370,
                  "engine": { "slots": 64, "kv_capacity": 786898,
                      "models": [{ "name": "m0", "cost": 0.017 }] } }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1 }] }),
    );
    for number in 1..=SERVERS {
        start_server(&store, format!("llm-{number}"), record.clone()).await?;
    }
    // One of two instances gets the signal, and serves the streams.
    let nodes = Node::start_all(&["node-1", "node-2"], store_addr)?;
    for node in &nodes {
        node.wait_ready().await?;
    }
    let node = &nodes[0];
    record.line("two instances are ready");
    tokio::time::sleep(Duration::from_secs(4)).await;
    node.signal("HUP")?;
    record.line("node-1: SIGHUP");
    tokio::time::sleep(AFTER_SIGNAL).await;
    let mut clients = Vec::new();
    for number in 1..=STREAMS {
        for (route, (name, _)) in ROUTES.iter().enumerate() {
            let (addr, record) = (node.frontend, record.clone());
            clients.push(tokio::spawn(async move {
                let id = format!("{route}{number:015x}");
                let sent = Instant::now();
                let answer = ask(addr, name, &id).await;
                let took = sent.elapsed().as_secs_f64();
                let is_cut = match &answer {
                    Ok((status, events, is_whole)) => {
                        let end = if *is_whole { "complete" } else { "CUT" };
                        record.line(format!(
                            "client: {name} {id}: {status}, {events} of {EVENTS} events, {end}, after {took:.2} s"
                        ));
                        !is_whole
                    }
                    Err(error) => {
                        record.line(format!("client: {name} {id}: {error} after {took:.2} s"));
                        true
                    }
                };
                (route, is_cut)
            }));
        }
        tokio::time::sleep(PERIOD).await;
    }
    let mut cut = [0; ROUTES.len()];
    for client in clients {
        let (route, is_cut) = client.await?;
        cut[route] += usize::from(is_cut);
    }
    for ((name, resume), cut) in ROUTES.iter().zip(cut) {
        record.line(format!("{name} (stream_resume {resume}): {cut} of {STREAMS} streams cut"));
    }
    let held = cut.iter().sum::<usize>() == 0;
    record.line(format!("LOST {}", if held { "held" } else { "is broken" }));
    Ok(held)
}
