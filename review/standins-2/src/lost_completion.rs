//! The store performs the write that completes a rollout, and its answer is lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::client::ask;
use crate::deployment::{Deployment, HOST, KEY, plain_route};
use crate::record::Record;
use crate::server::{read_request, write_head};
use crate::store_proxy;

/// How long the operator gives the rollout; the site file has up to 16 s.
const DURATION: Duration = Duration::from_secs(3);
/// How long after the order the new version turns bad: `gap_s` of the site file.
const BAD_AFTER: Duration = Duration::from_secs(3);
/// The share of the requests that the bad version fails: every second one.
const BAD_EVERY: u64 = 2;
/// The time that a server needs for a request.
const WORK: Duration = Duration::from_millis(60);
/// The pause between two requests of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(80);
/// `contact_ms`: what is judged begins this long after the disruption.
const CONTACT: Duration = Duration::from_secs(3);
/// How long requests are judged.
const JUDGED: Duration = Duration::from_secs(10);
/// The most that a missed completion may take before the case is given up.
const MOST: Duration = Duration::from_secs(30);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request as a client saw it end.
#[derive(Debug, Clone, Copy)]
struct Ended {
    route: Route,
    sent_at: Instant,
    status: u16,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Route {
    /// In the first configuration.
    First,
    /// Added by a later one.
    Added,
}

pub async fn play(record: &Arc<Record>, trouble: bool) -> Result<bool> {
    let deployment = Arc::new(Deployment::start().await?);
    let first = plain_route("r-cufi504", "/cufi504/", "idempotent", "assistente-ia", 2);
    let added = plain_route("r-puxa403", "/puxa403/", "non_idempotent", "agenda-app", 1);
    deployment.configure(7, json!([first]));

    let is_bad = Arc::new(AtomicBool::new(false));
    let mut old_servers = Vec::new();
    for (id, service, version) in [
        ("i-aa01", "assistente-ia", "v1"),
        ("i-aa02", "assistente-ia", "v1"),
        ("i-bb01", "agenda-app", "v1"),
        ("i-bb02", "agenda-app", "v1"),
    ] {
        let server = Server::start(&deployment, id, service, version, is_bad.clone()).await?;
        if service == "agenda-app" {
            old_servers.push(server);
        }
    }

    let pending = Arc::new(AtomicBool::new(trouble));
    let mut nodes = Vec::new();
    for (name, zone) in [("edge-serra-a-1", "serra-a"), ("edge-serra-b-1", "serra-b")] {
        let store = store_proxy::start(
            deployment.store.addr(),
            name,
            |write| write.contains(&completed_value()),
            pending.clone(),
            record.clone(),
        );
        nodes.push(deployment.node_in(name, zone, store.await?)?);
    }
    for node in &mut nodes {
        node.wait_ready().await?;
    }
    record.line("both instances are ready");
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.configure(8, json!([first, added]));
    record.line("operator: configuration 8 adds the route r-puxa403 of agenda-app");
    tokio::time::sleep(Duration::from_millis(2_500)).await;

    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let stop = CancellationToken::new();
    for (route, clients) in [(Route::First, 2), (Route::Added, 6)] {
        for client in 0..clients {
            let front = nodes[client % nodes.len()].frontend;
            tokio::spawn(run_client(
                client,
                route,
                front,
                record.clone(),
                ended.clone(),
                stop.clone(),
            ));
        }
    }
    let _stop = stop.drop_guard();
    tokio::time::sleep(Duration::from_secs(2)).await;

    for id in ["i-cc01", "i-cc02"] {
        // They run until the end of the case.
        std::mem::forget(Server::start(&deployment, id, "agenda-app", "v2", is_bad.clone()).await?);
    }
    let order = json!({ "service": "agenda-app", "to": "v2", "duration_s": DURATION.as_secs() });
    let ordered_at = Instant::now();
    deployment.store.put("op", "rollout/agenda-app", order.to_string().as_bytes());
    record.line(format!("operator: orders agenda-app to v2 within {DURATION:?}"));

    let until = Instant::now() + MOST;
    let completed_at = loop {
        ensure!(Instant::now() < until, "the rollout has no final state after {MOST:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
        let Some(status) = deployment.store.get("status", "rollout/agenda-app") else { continue };
        let status: Value = serde_json::from_slice(&status)?;
        if status["to"] == "v2" && status["state"] == "completed" {
            break Instant::now();
        }
        ensure!(
            status["state"] != "rolled_back",
            "the rollout was rolled back before it completed"
        );
    };
    record.line("operator: reads completed for v2, and stops the servers of v1");
    for server in old_servers {
        server.stop(&deployment);
    }
    let bad_at = ordered_at + BAD_AFTER;
    ensure!(completed_at < bad_at, "the rollout completed after the version should turn bad");
    tokio::time::sleep_until(bad_at.into()).await;
    is_bad.store(true, Ordering::SeqCst);
    record.line(format!("servers: v2 turns bad, it fails one of {BAD_EVERY} requests"));
    // An answer that is lost is noticed within seconds; the core is unstable until then.
    tokio::time::sleep(Duration::from_secs(3) + CONTACT).await;
    let judged_from = Instant::now();
    record.line("steady state: the requests from here on are judged");
    tokio::time::sleep(JUDGED).await;
    let judged_to = Instant::now();
    tokio::time::sleep(Duration::from_millis(500)).await;

    let status = deployment.store.get("status", "rollout/agenda-app").unwrap_or_default();
    record
        .line(format!("store: status/rollout/agenda-app is {}", String::from_utf8_lossy(&status)));
    let ended = ended.lock().unwrap().clone();
    let before: Vec<Ended> =
        ended.iter().copied().filter(|one| one.sent_at < completed_at).collect();
    let judged: Vec<Ended> = ended
        .iter()
        .copied()
        .filter(|one| (judged_from..judged_to).contains(&one.sent_at))
        .collect();
    for (name, requests) in [("before the completion", &before), ("judged", &judged)] {
        for route in [Route::First, Route::Added] {
            record.line(format!("{name}, {route:?} route: {}", statuses(requests, route)));
        }
    }
    let (first, added) = (served(&judged, Route::First), served(&judged, Route::Added));
    ensure!(first.0 >= 20 && added.0 >= 20, "too few requests: {first:?} and {added:?}");
    let share = |(all, served): (usize, usize)| served as f64 / all as f64;
    record.line(format!(
        "served: {:.2} of the requests on the first route, {:.2} of those on the added one",
        share(first),
        share(added)
    ));
    Ok(share(added) < share(first) / 4.0)
}

/// What a write of the final state contains: the value is in base64, of which every four
/// characters hold three bytes.
fn completed_value() -> String {
    STANDARD.encode(&br#"{"state":"completed""#[..18])
}

fn served(requests: &[Ended], route: Route) -> (usize, usize) {
    let of_route = requests.iter().filter(|one| one.route == route);
    (of_route.clone().count(), of_route.filter(|one| one.status == 200).count())
}

fn statuses(requests: &[Ended], route: Route) -> String {
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for one in requests.iter().filter(|one| one.route == route) {
        *counts.entry(one.status).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    let counts = counts.iter().map(|(status, count)| format!("{count} x {status}"));
    counts.collect::<Vec<_>>().join(", ")
}

/// Sends requests, each on a new connection, until the case ends.
async fn run_client(
    client: usize,
    route: Route,
    front: SocketAddr,
    record: Arc<Record>,
    ended: Arc<Mutex<Vec<Ended>>>,
    stop: CancellationToken,
) {
    let mut number = 0;
    while !stop.is_cancelled() {
        let sent_at = Instant::now();
        let id = format!("{route:?}-{client}-{number}");
        number += 1;
        let line = match route {
            Route::First => "GET /cufi504/2f",
            Route::Added => "POST /puxa403/2f",
        };
        let request = format!(
            "{line} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\
             X-Credential: {KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        let asked = tokio::time::timeout(Duration::from_secs(4), ask(front, &request)).await;
        let (status, seal) = match asked {
            Ok(Ok(answer)) => (answer.status, answer.seal),
            Ok(Err(error)) => (0, format!("{error:#}")),
            Err(_) => (0, "deadline".to_owned()),
        };
        let took = sent_at.elapsed().as_millis();
        record.note(format!("client: {id} sent to {front}, after {took} ms {status} {seal}"));
        ended.lock().unwrap().push(Ended { route, sent_at, status });
        tokio::time::sleep(CLIENT_PAUSE).await;
    }
}

/// A server of a version.
struct Server {
    id: String,
    stop: CancellationToken,
}

impl Server {
    /// Starts a server, lists it and writes its entry again at each heartbeat.
    async fn start(
        deployment: &Arc<Deployment>,
        id: &str,
        service: &'static str,
        version: &'static str,
        is_bad: Arc<AtomicBool>,
    ) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let stop = CancellationToken::new();
        let count = Arc::new(AtomicU64::new(0));
        let accepting = {
            let (id, stop) = (id.to_owned(), stop.clone());
            async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    let (id, stop, is_bad, count) =
                        (id.clone(), stop.clone(), is_bad.clone(), count.clone());
                    tokio::spawn(stop.run_until_cancelled_owned(async move {
                        while let Ok(Some(request)) = read_request(&mut stream).await {
                            tokio::time::sleep(WORK).await;
                            let number = count.fetch_add(1, Ordering::Relaxed);
                            let fails = version == "v2"
                                && is_bad.load(Ordering::SeqCst)
                                && number % BAD_EVERY == 0;
                            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
                            let headers = "Content-Length: 2\r\nX-Server-Load: 1,0,6\r\n";
                            let head =
                                write_head(&mut stream, &id, status, request.id(), headers).await;
                            if head.is_err() || stream.write_all(b"ok").await.is_err() {
                                return;
                            }
                        }
                    }));
                }
            }
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        let beating = {
            let (deployment, id) = (deployment.clone(), id.to_owned());
            async move {
                loop {
                    deployment.list_version(&id, service, addr, version, 6);
                    tokio::time::sleep(HEARTBEAT).await;
                }
            }
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(beating));
        Ok(Server { id: id.to_owned(), stop })
    }

    /// Stops the server at once, without draining, and removes its entry.
    fn stop(self, deployment: &Deployment) {
        self.stop.cancel();
        deployment.store.remove("servers", &self.id);
    }
}
