//! Servers that have reached their maximum number of connections reset further ones, while streams
//! with pauses run on them, right after a SIGHUP of the instances. In one case other callers take
//! the connections, in the other one the instances themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::deployment::Deployment;
use crate::record::Record;
use crate::server::{Received, read_request, write_chunk, write_head};
use crate::stream::{CONTACT, End, read_stream, route};

/// The events of a stream.
const EVENTS: u64 = 12;
/// The pause between two events: within `gap_target_ms` (800 ms), so that the stream is on time.
const EVENT_PAUSE: Duration = Duration::from_millis(600);
/// The maximum number of connections of a server, as on the sheet of the site.
const MAX_CONNECTIONS: usize = 370;
/// When other callers have taken the remaining connections, after the streams have begun.
const FULL_AFTER: Duration = Duration::from_millis(100);
const SERVERS: usize = 2;
/// The slots of a server, as on the sheet of the site.
const SLOTS: u32 = 64;
/// A server closes a connection that has been idle for this long, and says so.
const IDLE: Duration = Duration::from_secs(5);
/// The instances of the site, and the streams that each of them serves at a time.
const INSTANCES: usize = 9;
const STREAMS: usize = 12;
/// The instances that get a SIGHUP: a share of 0.6 of them at most. Only their streams are judged.
const SIGNALLED: usize = 5;
/// The events of the streams of the instances that fill up the servers themselves.
const MORE_EVENTS: u64 = 20;
/// A pause in which the instances open no connections.
const SHORT_PAUSE: Duration = Duration::from_millis(200);

/// What a server sends in answer to a request.
#[derive(Debug, Clone, Copy)]
struct StreamShape {
    events: u64,
    pause: Duration,
}

/// Other callers take the remaining connections of the servers.
pub async fn play(record: &Arc<Record>, trouble: bool) -> Result<bool> {
    let deployment = Deployment::start().await?;
    let shape = StreamShape { events: EVENTS, pause: EVENT_PAUSE };
    let servers = start_servers(&deployment, shape, record).await?;
    let mut node = deployment.node("edge-serra-a-1")?;
    let mut other_node = deployment.node("edge-serra-a-2")?;
    node.wait_ready().await?;
    other_node.wait_ready().await?;
    record.line("both instances are ready");
    tokio::time::sleep(CONTACT + Duration::from_millis(500)).await;
    node.signal("HUP")?;
    record.line("SIGHUP to one of the instances");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let front = node.frontend;
    let resumable = read_stream(front, "/lohu930/2f", "9c41d07be2a35f68", EVENTS, record);
    let other = read_stream(front, "/pufi791/2f", "5be2a35f689c41d0", EVENTS, record);
    let filling = async {
        tokio::time::sleep(FULL_AFTER).await;
        Ok(if trouble { fill(&servers, record).await } else { Vec::new() })
    };
    let (resumable, other, _others) = tokio::try_join!(resumable, other, filling)?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok(resumable == End::Closed || other == End::Closed)
}

/// All instances of the site serve streams with pauses that are on time.
pub async fn play_alone(record: &Arc<Record>, trouble: bool) -> Result<bool> {
    let deployment = Deployment::start().await?;
    let pause = if trouble { EVENT_PAUSE } else { SHORT_PAUSE };
    let shape = StreamShape { events: MORE_EVENTS, pause };
    start_servers(&deployment, shape, record).await?;
    let mut nodes = Vec::new();
    for number in 0..INSTANCES {
        let zone = ["serra-a", "serra-b"][number % 2];
        let store = deployment.store.addr();
        nodes.push(deployment.node_in(&format!("edge-{zone}-{number}"), zone, store)?);
    }
    for node in &mut nodes {
        node.wait_ready().await?;
    }
    record.line(format!("{INSTANCES} instances are ready"));
    tokio::time::sleep(CONTACT + Duration::from_millis(500)).await;
    for node in &nodes[..SIGNALLED] {
        node.signal("HUP")?;
    }
    record.line(format!("SIGHUP to {SIGNALLED} of the instances"));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut streams = JoinSet::new();
    for (number, node) in nodes.iter().enumerate() {
        for stream in 0..STREAMS {
            let (front, record) = (node.frontend, record.clone());
            let (path, kind) = match stream % 2 {
                0 => ("/lohu930/2f", "resumable"),
                _ => ("/pufi791/2f", "other"),
            };
            let id = format!("{kind}-{number}-{stream}");
            let judged = number < SIGNALLED;
            streams.spawn(async move {
                (judged, kind, read_stream(front, path, &id, MORE_EVENTS, &record).await)
            });
        }
    }
    let mut ends: BTreeMap<(bool, &str, End), usize> = BTreeMap::new();
    while let Some(stream) = streams.join_next().await {
        let (judged, kind, end) = stream?;
        *ends.entry((judged, kind, end?)).or_default() += 1;
    }
    for ((judged, kind, end), count) in &ends {
        let instances = if *judged { "with SIGHUP" } else { "without, not judged" };
        record.line(format!("{kind} streams of instances {instances}: {count} ended {end:?}"));
    }
    Ok(ends.keys().any(|(judged, _, end)| *judged && *end == End::Closed))
}

/// Writes the configuration, and starts and lists the servers.
async fn start_servers(
    deployment: &Deployment,
    shape: StreamShape,
    record: &Arc<Record>,
) -> Result<Vec<SocketAddr>> {
    deployment.configure_with(
        7,
        json!([route("r-lohu930", "/lohu930/", true), route("r-pufi791", "/pufi791/", false)]),
        MAX_CONNECTIONS,
    );
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (id, addr) = (format!("i-7f3a91c{number}"), listener.local_addr()?);
        deployment.list_version(&id, "assistente-ia", addr, "v1", SLOTS);
        tokio::spawn(serve(id, addr, listener, shape, record.clone()));
        servers.push(addr);
    }
    Ok(servers)
}

/// Takes the remaining connections of the servers for streams of other callers.
async fn fill(servers: &[SocketAddr], record: &Record) -> Vec<TcpStream> {
    let mut held = Vec::new();
    for addr in servers {
        for number in 0..MAX_CONNECTIONS {
            let Ok(mut stream) = TcpStream::connect(addr).await else { break };
            let request = format!(
                "POST /other/ HTTP/1.1\r\nHost: {addr}\r\nX-Attempt-Id: other-{number}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
            held.push(stream);
        }
    }
    record.line(format!("other callers: hold {} connections to the servers", held.len()));
    held
}

/// Accepts as many connections as the server may have; further ones are reset, as nothing listens
/// at the address meanwhile.
async fn serve(
    id: String,
    addr: SocketAddr,
    listener: TcpListener,
    shape: StreamShape,
    record: Arc<Record>,
) {
    let (open, mut changed) = watch::channel(0_usize);
    let open = Arc::new(open);
    let mut listening = Some(listener);
    loop {
        let is_full = *changed.borrow_and_update() >= MAX_CONNECTIONS;
        if is_full && listening.take().is_some() {
            record.line(format!(
                "server {id}: has {MAX_CONNECTIONS} connections, resets further ones"
            ));
        }
        if !is_full && listening.is_none() {
            listening = TcpListener::bind(addr).await.ok();
            record.line(format!("server {id}: accepts connections again"));
        }
        let accepting = async {
            match &listening {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        let accepted = tokio::select! {
            accepted = accepting => accepted,
            _ = changed.changed() => continue,
        };
        let Ok((mut stream, _)) = accepted else { continue };
        open.send_modify(|open| *open += 1);
        let (id, record, open) = (id.clone(), record.clone(), open.clone());
        tokio::spawn(async move {
            // An idle connection is closed after the time-out.
            while let Ok(Ok(Some(request))) =
                tokio::time::timeout(IDLE, read_request(&mut stream)).await
            {
                if answer(&id, &mut stream, &request, shape, &record).await.is_err() {
                    let request = request.id();
                    record.note(format!("server {id}: the connection of {request} was closed"));
                    break;
                }
            }
            drop(stream);
            open.send_modify(|open| *open -= 1);
        });
    }
}

async fn answer(
    id: &str,
    stream: &mut TcpStream,
    request: &Received,
    shape: StreamShape,
    record: &Record,
) -> Result<()> {
    let last = request.header("last-event-id").parse::<u64>().unwrap_or(0);
    let run = format!("server {id}: runs {} after event {last} ({})", request.id(), request.line);
    match shape.events == MORE_EVENTS || request.id().starts_with("other-") {
        true => _ = record.note(run),
        false => record.line(run),
    }
    let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Keep-Alive: timeout=5\r\nX-Server-Load: 1,0,64\r\n";
    write_head(stream, id, "200 OK", request.id(), headers).await?;
    for number in last + 1..=shape.events {
        let event = format!("id: {number}\ndata: text of event {number}\n\n");
        write_chunk(stream, event.as_bytes()).await?;
        tokio::time::sleep(shape.pause).await;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    record.note(format!("server {id}: has ended {}", request.id()));
    Ok(())
}
