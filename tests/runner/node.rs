//! A process of the product, started by its settings file.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use http_body_util::Full;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The longest wait for a condition, in looks.
const LOOKS: u32 = 1_500;
/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// Read-locked while a process is spawned, write-locked while a stand-in closes its
/// listener. Until a child has executed its program it holds copies of all sockets,
/// so that a connection to the closed listener would be accepted and then reset.
pub static SPAWNING: RwLock<()> = RwLock::new(());

/// A running process; killed when dropped.
pub struct Node {
    child: Child,
    /// Where it takes callers.
    pub callers: SocketAddr,
    status: SocketAddr,
    settings: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

/// What one request brought.
#[derive(Debug)]
pub struct Reply {
    /// The status; 0 if the connection ended without one.
    pub status: u16,
    /// Whether the body was whole.
    pub whole: bool,
    /// The body.
    pub body: Vec<u8>,
    /// The headers.
    pub headers: http::HeaderMap,
}

impl Node {
    /// Starts a process whose log goes to `log`.
    pub fn start(name: &str, store: SocketAddr, grace_s: f64, log: Stdio) -> Result<Node> {
        let ip = own_ip();
        let at = |port| SocketAddr::new(ip, port);
        let (callers, status, peers) = (at(7_001), at(7_002), at(7_003));
        let settings = json!({
            "node_name": name,
            "ip": ip,
            "zone": "z1",
            "listen": { "frontend": callers, "readiness": status },
            "internal_ports": [peers.port(), peers.port()],
            "platform": { "address": store },
            "bounds": {
                "grace_s": grace_s, "retry_budget_ratio": 0.9, "retry_window_s": 10,
                "retry_slack": 58, "session_s": 5,
            },
            "unknown": { "field": [1, 2] },
        });
        let file = format!("lacewingchute-{}-{ip}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings.to_string())?;
        let mut program = Command::new(env!("CARGO_BIN_EXE_lacewingchute"));
        program.arg("node").env("LACEWINGCHUTE_CONFIG", &path);
        program.stdout(log).stderr(Stdio::null());
        let child = spawn(&mut program).context("starting the program")?;
        Ok(Node { child, callers, status, settings: path, lines: Arc::default() })
    }

    /// Waits until it says that it is ready, or that it is not.
    pub async fn until_ready(&self, ready: bool) -> Result<()> {
        let expected = if ready { 200 } else { 503 };
        for _ in 0..LOOKS {
            let status = get(self.status, "/readyz").await.map(|reply| reply.status);
            if status.ok() == Some(expected) {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        bail!("it does not answer {expected} to the readiness check")
    }

    /// Waits until a metric has a value.
    pub async fn until_metric(&self, name: &str, value: &str) -> Result<()> {
        let line = format!("lacewingchute_{name} {value}");
        let mut seen = String::new();
        for _ in 0..LOOKS {
            if let Ok(reply) = get(self.status, "/metrics").await {
                seen = String::from_utf8_lossy(&reply.body).into_owned();
                if seen.lines().any(|other| other == line) {
                    return Ok(());
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        bail!("{line:?} does not come; the metrics are:\n{seen}")
    }

    /// Reads the log until a line holds a text; a line is written for every look.
    pub async fn until_logged(&mut self, text: &str) -> Result<()> {
        if let Some(out) = self.child.stdout.take() {
            let lines = self.lines.clone();
            std::thread::spawn(move || {
                // The log ends with the process.
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    lines.lock().unwrap().push(line);
                }
            });
        }
        for _ in 0..LOOKS {
            if self.lines.lock().unwrap().iter().any(|line| line.contains(text)) {
                return Ok(());
            }
            self.signal("HUP")?;
            tokio::time::sleep(LOOK).await;
        }
        bail!("no line holds {text:?}")
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.id().to_string();
        let done = spawn(Command::new("kill").args([&format!("-{name}"), &id]))?.wait()?;
        if done.success() { Ok(()) } else { bail!("kill -{name} failed") }
    }

    /// Waits until it has ended by itself; returns its exit code.
    pub async fn until_ended(&mut self) -> Result<i32> {
        for _ in 0..LOOKS {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(LOOK).await;
        }
        bail!("it does not end")
    }
}

/// Spawns a process; returns once it has executed its program.
fn spawn(program: &mut Command) -> std::io::Result<Child> {
    let _spawning = SPAWNING.read().unwrap();
    program.spawn()
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

async fn get(addr: SocketAddr, path: &str) -> Result<Reply> {
    let request = http::Request::get(path).header("host", "status").body(Full::default())?;
    exchange(addr, request).await
}

/// Sends one request on a new connection and reads the answer.
pub async fn exchange(addr: SocketAddr, request: conn::Request) -> Result<Reply> {
    exchange_on(&conn::Pool::new(), addr, request).await
}

/// Sends one request on a connection of a pool and reads the answer.
pub async fn exchange_on(
    pool: &conn::Pool,
    addr: SocketAddr,
    request: conn::Request,
) -> Result<Reply> {
    let lease = pool.lease(addr).await?;
    let Ok(mut answer) = lease.send(request).await else {
        return Ok(Reply {
            status: 0,
            whole: false,
            body: Vec::new(),
            headers: http::HeaderMap::new(),
        });
    };
    let (status, headers) = (answer.head.status.as_u16(), answer.head.headers.clone());
    let mut body = Vec::new();
    let whole = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Ok(Reply { status, whole, body, headers })
}

/// A loopback address that no other process of any test has: a free port could
/// be taken by another test before the process has it.
fn own_ip() -> IpAddr {
    static STARTED: AtomicU16 = AtomicU16::new(1);
    let [high, low] = STARTED.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let test = std::process::id() % 200 + 20;
    Ipv4Addr::new(127, test as u8, high, low).into()
}

/// Sends bytes on a new connection and reads until it ends.
pub async fn exchange_raw(addr: SocketAddr, text: &str) -> Result<String> {
    let mut stream = tokio::net::TcpStream::connect(addr).await?;
    stream.write_all(text.as_bytes()).await?;
    let mut heard = Vec::new();
    let reading = stream.read_to_end(&mut heard);
    let ended = tokio::time::timeout(LOOK * LOOKS, reading).await;
    // A connection that is reset has said what it had to say.
    let _ = ended.context("the connection does not end")?;
    Ok(String::from_utf8_lossy(&heard).into_owned())
}
