//! Stand-ins of the platform, its servers and its clients for the cases of the review.

#![recursion_limit = "256"]

pub mod http;
pub mod server;

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use fakes::{SiteStore, unique_ip};
use serde_json::{Value, json};

use crate::http::ask_once;

/// `contact_ms` of the small deployments.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// The host of all routes.
pub const HOST: &str = "site.test";
/// The API key of the only tenant.
pub const KEY: &str = "key-of-ana";

/// The longest time that a case takes.
const LIMIT: Duration = Duration::from_secs(110);

/// Runs a case for at most [`LIMIT`].
pub async fn limited(case: impl Future<Output = Result<bool>>) -> Result<bool> {
    tokio::time::timeout(LIMIT, case).await.context("the case took too long")?
}

/// The exit code of a case: whether the rule held, or that the case could not run.
pub fn exit_code(result: Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Writes to `record.txt` in a folder.
    pub fn create(folder: &Path) -> Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line and returns the time that it bears.
    pub fn line(&self, text: impl Display) -> Duration {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", now.as_secs_f64());
        now
    }
}

/// Whether the run is to have the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A running instance of the product; killed when this is dropped.
pub struct Node {
    child: Child,
    /// The address for clients.
    pub frontend: SocketAddr,
    readiness: SocketAddr,
}

impl Node {
    /// Starts an instance with the command of the deploy file, in the repository's root. The
    /// others name it as a seed by its address `ip`.
    pub fn start(
        name: &str,
        zone: &str,
        ip: IpAddr,
        first_start: bool,
        at: &Deployment,
    ) -> Result<Self> {
        let addr = |port| SocketAddr::new(ip, port);
        let seeds: Vec<SocketAddr> =
            at.ips.iter().take(3).map(|ip| SocketAddr::new(*ip, 8_229)).collect();
        let settings = json!({
            "node_name": name, "role": "entry", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": zone, "region": "almaty",
            "zones": { "almaty-a": "almaty", "almaty-b": "almaty", "almaty-c": "almaty" },
            "listen": { "frontend": addr(8_227), "readiness": addr(8_220),
                "control_plane": addr(8_229) },
            "internal_ports": [7_340, 7_355], "seed_nodes": seeds,
            "first_start": first_start, "fault_counted": false,
            "limits": { "cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 0 },
            "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                "stream", "tenants", "platform", "rollout"],
            "fault_tolerance": { "machines": 2, "zones": 1, "regions": 0 },
            "bounds": { "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
                "config_apply_ms": 2000, "rollback_slack_ms": 250, "partition_bound_ms": 5000,
                "strict_revocation": false, "revoke_ms": 5000, "retry_budget_ratio": 0.9,
                "retry_window_s": 10, "retry_slack": 58, "exposure_share": 0.15,
                "exposure_slack": 30, "rollback_ms": 5000, "recovery_s": 12, "pass_ms": 120,
                "reuse_window_s": 10, "session_s": 5 },
            "platform": { "address": at.store.addr(), "form": "table", "writes_per_s": 400,
                "reads_per_s": 2000, "tx_ms": 5.0, "commits_per_s": 200, "row_bytes": 65536,
                "cross_partition": false, "history_s": 20, "blob_bytes": 8388608,
                "blob_ms": 25.0, "blob_per_s": 80.0 },
        });
        let path = at.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let log = File::create(at.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/lacewingchute")
            .arg("node")
            .env("LACEWINGCHUTE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .context("starting target/release/lacewingchute")?;
        Ok(Node { child, frontend: addr(8_227), readiness: addr(8_220) })
    }

    /// The id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the platform would send clients here.
    pub async fn is_ready(&self) -> bool {
        let request = format!("GET /readyz HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
        ask_once(self.readiness, request.as_bytes(), Duration::from_secs(1)).await.status == 200
    }

    /// Waits until the instance is ready.
    pub async fn wait_ready(&self) -> Result<()> {
        for _ in 0..500 {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("an instance is not ready")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A deployment: the store, and the addresses of the instances.
pub struct Deployment {
    /// The platform's store: the project's own stand-in.
    pub store: SiteStore,
    /// The addresses of the instances.
    pub ips: Vec<IpAddr>,
    /// A temporary folder.
    pub folder: PathBuf,
}

impl Deployment {
    /// A store and `count` addresses for instances.
    pub fn new(store: SiteStore, count: usize) -> Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Deployment { store, ips: (0..count).map(|_| unique_ip()).collect(), folder })
    }

    /// Starts the instances, in three zones, and waits until they are ready.
    pub async fn start(&self) -> Result<Vec<Node>> {
        self.start_all(true).await
    }

    /// Starts them again after all were killed.
    pub async fn restart(&self) -> Result<Vec<Node>> {
        self.start_all(false).await
    }

    async fn start_all(&self, first_start: bool) -> Result<Vec<Node>> {
        let zones = ["almaty-a", "almaty-b", "almaty-c"];
        let start = |(index, ip): (usize, &IpAddr)| {
            let name = format!("edge-{}", index + 1);
            Node::start(&name, zones[index % 3], *ip, first_start, self)
        };
        let nodes: Vec<Node> = self.ips.iter().enumerate().map(start).collect::<Result<_>>()?;
        for node in &nodes {
            node.wait_ready().await?;
        }
        Ok(nodes)
    }

    /// Writes a configuration with the routes that all cases use.
    pub fn configure(&self, version: u64) {
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32, timeout: u32| {
            json!({ "name": prefix.trim_matches('/'), "host": HOST, "prefix": prefix,
                "route_kind": kind, "timeout_ms": timeout, "target_latency_ms": 100,
                "priority": 2, "service": service, "max_attempts": attempts, "public": false })
        };
        let mut stream = route("/brief/", "streaming", "herd", 3, 20_000);
        stream["stream_resume"] = json!(true);
        stream["gap_target_ms"] = json!(600);
        stream["target_latency_ms"] = json!(2_000);
        stream["session_affinity"] = json!(true);
        let config: Value = json!({
            "version": version,
            "routes": [stream, route("/hold/", "non_idempotent", "desk", 1, 1_000),
                route("/look/", "idempotent", "desk", 2, 1_000)],
            "services": [
                { "name": "desk", "health_path": "/healthz", "max_connections": 110 },
                { "name": "herd", "health_path": "/healthz", "max_connections": 250,
                  "engine": { "slots": 32, "kv_capacity": 752_474,
                    "models": [{ "name": "m1", "cost": 0.12 }] } }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": "ana", "api_keys": [KEY], "priority": 1 }],
        });
        self.store.put("op", "config", config.to_string().as_bytes());
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
