//! A stand-in of a backend server.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use fakes::{SiteStore, unique_ip};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

use crate::Record;
use crate::http::{Head, Reader};

/// `heartbeat_ms` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// The number of events of a whole stream.
pub const EVENTS: u64 = 20;

/// When a server crashes that runs a request whose path ends with `/deadly`.
#[derive(Debug, Clone, Copy)]
pub enum Crash {
    /// Not at all.
    Never,
    /// This long after it began to run the request.
    After(Duration),
    /// This long after its first event, with which it began to run the request.
    AfterEvent(Duration),
}

/// A crash: when, and of which client attempt.
#[derive(Debug, Clone)]
pub struct Crashed {
    pub at: Duration,
    pub attempt: String,
}

/// What the servers of a deployment share.
pub struct Servers {
    pub store: SiteStore,
    pub record: Record,
    pub crash: Crash,
    /// How long the work on a plain request takes.
    pub work: Duration,
    /// How long a crashed server is away.
    pub away: Duration,
    /// Receives (time, attempt id) of each deadly request that a server begins to run.
    pub deadly: UnboundedSender<(Duration, String)>,
    /// Receives each crash.
    pub crashed: UnboundedSender<Crashed>,
    /// Requests that were running, other than the deadly one, on servers that crashed.
    pub lost: AtomicU64,
    pub born: AtomicU64,
}

/// One start of a server.
struct Incarnation {
    id: String,
    end: CancellationToken,
    running: AtomicUsize,
}

/// Keeps a server running: starts it at an address of its own, and again, with a new id, some
/// time after each crash.
pub async fn keep_server(
    servers: Arc<Servers>,
    service: &'static str,
    zone: &'static str,
    slots: u32,
) -> Result<()> {
    let ip = unique_ip();
    let mut port = 0;
    loop {
        let listener = bind(ip, port).await?;
        let addr = listener.local_addr()?;
        port = addr.port();
        let number = servers.born.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("i-{service}-{number:04}");
        let born = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
        let entry = json!({ "service": service, "address": addr, "zone": zone, "version": "v1",
            "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": born });
        servers.store.put("servers", &id, entry.to_string().as_bytes());
        servers.record.line(format!("server {id} starts at {addr}"));
        let incarnation = Arc::new(Incarnation {
            id: id.clone(),
            end: CancellationToken::new(),
            running: AtomicUsize::new(0),
        });
        serve(&servers, &incarnation, listener).await;
        // The entry of a server that says nothing is removed after three heartbeats.
        let (store, gone) = (servers.store.clone(), id.clone());
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT * 3).await;
            store.remove("servers", &gone);
        });
        tokio::time::sleep(servers.away).await;
    }
}

async fn bind(ip: IpAddr, port: u16) -> Result<TcpListener> {
    let mut result = TcpListener::bind(SocketAddr::new(ip, port)).await;
    for _ in 0..50 {
        if result.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        result = TcpListener::bind(SocketAddr::new(ip, port)).await;
    }
    Ok(result?)
}

/// Serves until the server crashes, which closes its listener and all of its connections.
async fn serve(servers: &Arc<Servers>, incarnation: &Arc<Incarnation>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = incarnation.end.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (servers, incarnation) = (servers.clone(), incarnation.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = serve_connection(&servers, &incarnation, stream) => {}
                () = incarnation.end.cancelled() => {}
            }
        });
    }
}

async fn serve_connection(
    servers: &Arc<Servers>,
    incarnation: &Arc<Incarnation>,
    stream: TcpStream,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut reader = Reader::new(read);
    loop {
        let head = reader.head().await?;
        reader.body(&head, |_| {}).await?;
        let (id, path) = (head.get("x-attempt-id").to_owned(), head.second().to_owned());
        let expected = head.get("x-expect-instance");
        if !expected.is_empty() && expected != incarnation.id {
            let response = reply_head(421, incarnation, &id, "Content-Length: 0\r\n");
            write.write_all(response.as_bytes()).await?;
            continue;
        }
        let is_deadly = path.ends_with("/deadly");
        if is_deadly {
            let at = servers.record.line(format!("server {} begins to run {id}", incarnation.id));
            let _ = servers.deadly.send((at, id.clone()));
        }
        incarnation.running.fetch_add(1, Ordering::SeqCst);
        let answered = match path.starts_with("/brief/") {
            true => stream_events(servers, incarnation, &head, is_deadly, &mut write).await,
            false => answer(servers, incarnation, &id, is_deadly, &mut write).await,
        };
        incarnation.running.fetch_sub(1, Ordering::SeqCst);
        answered?;
    }
}

fn reply_head(status: u16, incarnation: &Incarnation, id: &str, more: &str) -> String {
    let server = &incarnation.id;
    let seal = if status == 421 { "" } else { "X-Server-Seal: 3e1b.07\r\n" };
    let load = format!("{},0,6,100", incarnation.running.load(Ordering::SeqCst));
    format!(
        "HTTP/1.1 {status} -\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {server}\r\n{seal}\
         X-Server-Load: {load}\r\nKeep-Alive: timeout=5\r\n{more}\r\n"
    )
}

/// Ends the process that this server stands for.
fn crash(servers: &Servers, incarnation: &Incarnation, id: &str) {
    let others = incarnation.running.load(Ordering::SeqCst).saturating_sub(1) as u64;
    servers.lost.fetch_add(others, Ordering::Relaxed);
    let text = format!("server {} crashes of {id}; {others} others were running", incarnation.id);
    let at = servers.record.line(text);
    let _ = servers.crashed.send(Crashed { at, attempt: id.to_owned() });
    incarnation.end.cancel();
}

async fn answer(
    servers: &Servers,
    incarnation: &Incarnation,
    id: &str,
    is_deadly: bool,
    write: &mut (impl AsyncWriteExt + Unpin),
) -> Result<()> {
    if let (true, Crash::After(time)) = (is_deadly, servers.crash) {
        tokio::time::sleep(time).await;
        crash(servers, incarnation, id);
        return std::future::pending().await;
    }
    tokio::time::sleep(servers.work).await;
    let body = format!("{id} done by {}", incarnation.id);
    let head = reply_head(200, incarnation, id, &format!("Content-Length: {}\r\n", body.len()));
    write.write_all(format!("{head}{body}").as_bytes()).await?;
    Ok(())
}

async fn stream_events(
    servers: &Servers,
    incarnation: &Incarnation,
    request: &Head,
    is_deadly: bool,
    write: &mut (impl AsyncWriteExt + Unpin),
) -> Result<()> {
    let id = request.get("x-attempt-id");
    let last: u64 = request.get("last-event-id").parse().unwrap_or(0);
    tokio::time::sleep(servers.work).await;
    if let (true, Crash::After(time)) = (is_deadly, servers.crash) {
        tokio::time::sleep(time).await;
        crash(servers, incarnation, id);
        return std::future::pending().await;
    }
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    write.write_all(reply_head(200, incarnation, id, more).as_bytes()).await?;
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        write.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        if let (true, Crash::AfterEvent(time)) = (is_deadly, servers.crash) {
            tokio::time::sleep(time).await;
            crash(servers, incarnation, id);
            return std::future::pending().await;
        }
        tokio::time::sleep(EVENT_PAUSE).await;
    }
    write.write_all(b"0\r\n\r\n").await?;
    Ok(())
}
