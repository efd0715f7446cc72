//! A backend server that runs requests for a fixed time and can crash.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::http::{Head, read_body, read_head};
use crate::store::Store;

/// How often a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Decides how a server answers a request that it is meant for.
pub trait Answer: Clone + Send + Sync + 'static {
    /// Runs the request and returns the head lines behind the status, and the body.
    fn answer(&self, server: &str, head: &Head) -> impl Future<Output = (u16, String, String)> + Send;
}

/// Answers each request with 200 after a time, and counts the runs.
#[derive(Clone)]
pub struct Work {
    /// How long a request runs.
    pub time: Duration,
    /// A path whose requests take another time.
    pub same_path: Option<(&'static str, Duration)>,
    /// How many requests began to run.
    pub runs: Arc<AtomicU64>,
    /// The servers and ids of the requests that run.
    pub running: Arc<Mutex<Vec<(String, String)>>>,
}

impl Work {
    /// Creates an answer that takes this time.
    pub fn new(time: Duration) -> Self {
        Work { time, same_path: None, runs: Arc::default(), running: Arc::default() }
    }

    /// Returns the ids of the requests that run on a server.
    pub fn running(&self, server: &str) -> Vec<String> {
        let running = self.running.lock().unwrap();
        running.iter().filter(|(name, _)| name == server).map(|(_, id)| id.clone()).collect()
    }
}

impl Answer for Work {
    async fn answer(&self, server: &str, head: &Head) -> (u16, String, String) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        let run = (server.to_owned(), head.get("x-attempt-id").unwrap_or_default().to_owned());
        self.running.lock().unwrap().push(run.clone());
        let special = self.same_path.filter(|(path, _)| *path == head.word(1));
        tokio::time::sleep(special.map_or(self.time, |(_, time)| time)).await;
        self.running.lock().unwrap().retain(|other| *other != run);
        (200, String::new(), format!("answer of {server}"))
    }
}

/// A running server; dropping it is a crash: its connections end and its port is closed.
pub struct Backend {
    /// Its id.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Backend {
    /// Starts a server and writes its entry, again and again until it crashes.
    pub async fn start(
        store: &Store,
        id: &str,
        service: &str,
        slots: u32,
        answer: impl Answer,
    ) -> Result<Self> {
        let listener = TcpListener::bind((crate::loopback(), 0)).await?;
        let addr = listener.local_addr()?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_millis() as u64;
        let mut tasks = JoinSet::new();
        let entry = move |sequence: u64, service: &str| {
            json!({ "service": service, "address": addr, "zone": "serra-a", "version": "v1",
                "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
                "born": born })
        };
        store.put("servers", id, &entry(1, service));
        let (store, name, service) = (store.clone(), id.to_owned(), service.to_owned());
        tasks.spawn(async move {
            for sequence in 2.. {
                tokio::time::sleep(HEARTBEAT).await;
                store.put("servers", &name, &entry(sequence, &service));
            }
        });
        let name = id.to_owned();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let (name, answer) = (name.clone(), answer.clone());
                        connections.spawn(async move {
                            let _ = serve(&name, answer, stream).await;
                        });
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Backend { id: id.to_owned(), addr, _tasks: tasks })
    }
}

async fn serve(server: &str, answer: impl Answer, mut stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        read_body(&mut stream, &mut buffer, &head).await?;
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let (status, lines, body) = if head.word(1) == "/healthz" || id.is_empty() {
            (200, format!("X-Instance-Id: {server}\r\n"), String::new())
        } else if head.get("x-expect-instance").is_some_and(|expected| expected != server) {
            (421, format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n"), String::new())
        } else {
            let (status, lines, body) = answer.answer(server, &head).await;
            (status, format!("X-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\n{lines}"), body)
        };
        let text =
            format!("HTTP/1.1 {status} X\r\n{lines}Content-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).await?;
    }
    Ok(())
}
