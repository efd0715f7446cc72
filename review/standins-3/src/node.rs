//! Starts the program as the deploy file does, and sends it signals.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use serde_json::json;

use crate::{free_port, http, loopback};

/// A running process of the program; it is killed when this is dropped.
pub struct Node {
    child: Child,
    directory: PathBuf,
    /// The address for clients.
    pub frontend: SocketAddr,
    /// The address of the readiness check.
    pub readiness: SocketAddr,
}

impl Node {
    /// Starts the program with settings like those of a small deployment.
    pub fn start(name: &str, store: SocketAddr) -> Result<Self> {
        let control = SocketAddr::new(loopback(), free_port());
        Node::start_among(name, store, control, &[control])
    }

    /// Starts several instances that know each other.
    pub fn start_all(names: &[&str], store: SocketAddr) -> Result<Vec<Self>> {
        let seeds: Vec<_> =
            names.iter().map(|_| SocketAddr::new(loopback(), free_port())).collect();
        let start = |(name, control): (&&str, &SocketAddr)| {
            Node::start_among(name, store, *control, &seeds)
        };
        names.iter().zip(&seeds).map(start).collect()
    }

    fn start_among(
        name: &str,
        store: SocketAddr,
        control: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<Self> {
        let at = |port| SocketAddr::new(loopback(), port);
        let (frontend, readiness) = (at(free_port()), at(free_port()));
        let internal = free_port();
        let settings = json!({
            "node_name": name, "role": "entry", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": loopback(), "zone": "serra-a",
            "region": "sul-serra", "zones": { "serra-a": "sul-serra" },
            "listen": { "frontend": frontend, "readiness": readiness, "control_plane": control },
            "internal_ports": [internal, internal], "seed_nodes": seeds,
            "first_start": true, "fault_counted": false,
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
            "platform": { "address": store, "form": "table", "writes_per_s": 400,
                "reads_per_s": 2000, "tx_ms": 5.0, "commits_per_s": 200, "row_bytes": 65536,
                "cross_partition": false, "history_s": 20, "blob_bytes": 8388608,
                "blob_ms": 25.0, "blob_per_s": 80.0 },
        });
        let directory =
            std::env::temp_dir().join(format!("lacewingchute-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let path = directory.join("local.yaml");
        std::fs::write(&path, settings.to_string())?;
        let log = std::fs::File::create(directory.join("log"))?;
        let child = Command::new("target/release/lacewingchute")
            .arg("node")
            .env("LACEWINGCHUTE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .context("starting target/release/lacewingchute; is it built?")?;
        Ok(Node { child, directory, frontend, readiness })
    }

    /// Waits until the readiness check says 200.
    pub async fn wait_ready(&self) -> Result<()> {
        for _ in 0..500 {
            if let Ok((200, _)) = http::get(self.readiness, "/readyz").await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("the program does not get ready: {}", self.log())
    }

    /// Returns what the process wrote.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status =
            Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status()?;
        if !status.success() {
            bail!("the signal {name} could not be sent");
        }
        Ok(())
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
