//! A small deployment: the store, the server entries and instances of the program.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use fakes::{SiteStore, unique_ip};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard};

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The API key of the client account.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// How long an instance may take to report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The store and what is written to it.
pub struct Deployment {
    pub store: SiteStore,
    _stop: DropGuard,
    sequence: AtomicU64,
    /// The control addresses of the instances so far.
    seeds: Mutex<Vec<SocketAddr>>,
}

impl Deployment {
    /// Starts a store without rows.
    pub async fn start() -> Result<Self> {
        let stop = CancellationToken::new();
        let store = SiteStore::start(stop.clone()).await?;
        Ok(Deployment {
            store,
            _stop: stop.drop_guard(),
            sequence: 1.into(),
            seeds: Default::default(),
        })
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64, routes: Value) {
        self.configure_with(version, routes, 370);
    }

    /// Writes a configuration whose model servers accept so many connections each.
    pub fn configure_with(&self, version: u64, routes: Value, connections: usize) {
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [
                { "name": "assistente-ia", "health_path": "/healthz", "max_connections": connections },
                { "name": "agenda-app", "health_path": "/healthz", "max_connections": 110 },
            ],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": "hule930", "api_keys": [KEY], "priority": 1 }],
        });
        self.store.put("op", "config", config.to_string().as_bytes());
    }

    /// Writes the entry of a server.
    pub fn list_version(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        version: &str,
        slots: u32,
    ) {
        let entry = json!({ "service": service, "address": address, "zone": "serra-a",
            "version": version, "slots": slots, "state": "ready" });
        self.put_entry(id, entry);
    }

    fn put_entry(&self, id: &str, mut entry: Value) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        entry["cold_remaining_ms"] = json!(0);
        entry["sequence"] = json!(sequence);
        entry["born"] = json!(1_790_000_000_000_u64);
        self.store.put("servers", id, entry.to_string().as_bytes());
    }

    /// Starts an instance in the first zone that uses the store directly.
    pub fn node(&self, name: &str) -> Result<Node> {
        self.node_in(name, "serra-a", self.store.addr())
    }

    /// Starts an instance that uses the store at an address.
    pub fn node_in(&self, name: &str, zone: &str, store: SocketAddr) -> Result<Node> {
        let mut seeds = self.seeds.lock().unwrap();
        let node = Node::start(name, zone, store, &seeds)?;
        seeds.push(node.control);
        Ok(node)
    }
}

/// A route whose answers are no streams.
pub fn plain_route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({ "name": name, "host": HOST, "prefix": prefix, "route_kind": kind, "timeout_ms": 2000,
        "target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": attempts,
        "public": false })
}

/// A running instance; its process is killed when this is dropped.
pub struct Node {
    child: Child,
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    control: SocketAddr,
    folder: PathBuf,
}

impl Node {
    fn start(name: &str, zone: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Result<Self> {
        let ip: IpAddr = unique_ip();
        let at = |port| SocketAddr::new(ip, port);
        let (frontend, readiness, control) = (at(8_227), at(8_220), at(8_229));
        let own = [control];
        let settings = json!({
            "node_name": name, "role": "entry", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": zone, "region": "sul-serra",
            "zones": { "serra-a": "sul-serra", "serra-b": "sul-serra" },
            "listen": { "frontend": frontend, "readiness": readiness, "control_plane": control },
            "internal_ports": [7340, 7355], "seed_nodes": if seeds.is_empty() { &own } else { seeds },
            "first_start": true, "fault_counted": false,
            "limits": { "cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 0 },
            "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                "stream", "tenants", "platform", "rollout"],
            "fault_tolerance": { "machines": 2, "zones": 1, "regions": 0 },
            "bounds": { "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
                "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
                "partition_bound_ms": 5000, "strict_revocation": false, "revoke_ms": 5000,
                "retry_budget_ratio": 0.9, "retry_window_s": 10, "retry_slack": 58,
                "exposure_share": 0.15, "exposure_slack": 30, "rollback_ms": 5000,
                "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10, "session_s": 5 },
            "platform": { "address": store, "form": "table", "writes_per_s": 400,
                "reads_per_s": 2000, "tx_ms": 5.0, "commits_per_s": 200, "row_bytes": 65536,
                "cross_partition": false, "history_s": 20 },
        });
        let folder = std::env::temp_dir().join(format!("standins-2-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("settings.json");
        std::fs::write(&path, settings.to_string())?;
        let log = std::fs::File::create(folder.join("log.txt"))?;
        // The command of the deploy file.
        let child = Command::new("target/release/lacewingchute")
            .arg("node")
            .env("LACEWINGCHUTE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .context("target/release/lacewingchute: build it first")?;
        Ok(Node { child, frontend, readiness, control, folder })
    }

    /// Waits until the readiness check answers 200.
    pub async fn wait_ready(&mut self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                bail!("the instance has ended: {status}");
            }
            if readiness(self.readiness).await.unwrap_or(0) == 200 {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("the instance is not ready after {READY_TIMEOUT:?}")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .context("kill")?;
        if !status.success() {
            bail!("kill failed: {status}");
        }
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOG").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

async fn readiness(addr: SocketAddr) -> Result<u16> {
    let mut stream = TcpStream::connect(addr).await?;
    let request = format!("GET /readyz HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
}
