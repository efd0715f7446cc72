//! Many clients send large bodies at once, within the limits of the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::client::read_answer;
use crate::deployment::{Deployment, HOST, KEY, plain_route};
use crate::record::Record;
use crate::server::{read_request, write_head};
use crate::stream::CONTACT;

/// `max_body_bytes`: the most that a client may send.
const BODY_BYTES: usize = 4 << 20;
/// What a client sends at a time, and how often: 3 s for a body, so that all clients together
/// need at most two thirds of the link of the machine (1,000 Mbit/s).
const PIECE_BYTES: usize = 64 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(47);
/// The number of clients that come at once, and without the burst. With the largest `burst` of the
/// site file (1.7 times 94.6 requests a second, 3 s), one of nine machines gets 53 requests.
const MANY_CLIENTS: usize = 53;
const FEW_CLIENTS: usize = 12;
/// The time that a server needs for a request.
const WORK: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(20);
/// More answers than this and one in 500 break the rule.
const ALLOWED: usize = 5;
const SERVERS: usize = 2;

pub async fn play(record: &Arc<Record>, trouble: bool) -> Result<bool> {
    let deployment = Deployment::start().await?;
    let mut route = plain_route("r-puxa403", "/puxa403/", "non_idempotent", "agenda-app", 1);
    route["timeout_ms"] = json!(DEADLINE.as_millis() as u64);
    deployment.configure(7, json!([route]));
    for number in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = format!("i-bb0{number}");
        deployment.list_version(&id, "agenda-app", listener.local_addr()?, "v1", 64);
        tokio::spawn(serve(id, listener, record.clone()));
    }
    let mut node = deployment.node("edge-serra-a-1")?;
    node.wait_ready().await?;
    record.line("the instance is ready");
    tokio::time::sleep(CONTACT + Duration::from_millis(500)).await;
    let count = if trouble { MANY_CLIENTS } else { FEW_CLIENTS };
    record.line(format!("{count} clients send {BODY_BYTES} bytes each"));
    let mut clients = JoinSet::new();
    for number in 0..count {
        let (front, record) = (node.frontend, record.clone());
        clients.spawn(async move { send(number, front, &record).await });
    }
    let mut statuses: BTreeMap<(u16, bool), usize> = BTreeMap::new();
    while let Some(answer) = clients.join_next().await {
        *statuses.entry(answer?).or_default() += 1;
    }
    for ((status, is_servers), count) in &statuses {
        let whose = if *is_servers { "a server's" } else { "the instance's own" };
        record.line(format!("{count} requests ended with {status}, {whose}"));
    }
    let is_denial =
        |status: u16| (300..500).contains(&status) && !matches!(status, 408 | 421 | 429);
    let denied = statuses.iter().filter(|((status, own), _)| !own && is_denial(*status));
    let denied: usize = denied.map(|(_, count)| count).sum();
    let allowed = ALLOWED + count / 500;
    record.line(format!(
        "{denied} proper requests ended with a 4xx of the instance, {allowed} allowed"
    ));
    ensure!(statuses.values().sum::<usize>() == count, "not all requests ended");
    Ok(denied > allowed)
}

/// Sends a request with a whole body and returns the status of its answer and whether it is a
/// server's; status 0 without an answer.
async fn send(number: usize, front: SocketAddr, record: &Record) -> (u16, bool) {
    let id = format!("large-{number}");
    let started = Instant::now();
    let asked = tokio::time::timeout(DEADLINE + Duration::from_secs(5), exchange(&id, front)).await;
    let (status, seal, sent) = match asked {
        Ok(Ok((answer, sent))) => (answer.status, answer.seal, sent),
        Ok(Err(error)) => (0, format!("{error:#}"), 0),
        Err(_) => (0, "no answer".to_owned(), 0),
    };
    let took = started.elapsed().as_secs_f64();
    record.note(format!(
        "client: {id}, {sent} bytes of the body sent, after {took:.2} s {status} {seal}"
    ));
    (status, seal.starts_with("i-"))
}

async fn exchange(id: &str, front: SocketAddr) -> Result<(crate::client::Answer, usize)> {
    let (mut reading, mut writing) = TcpStream::connect(front).await?.into_split();
    let head = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         X-Credential: {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let sent = AtomicUsize::new(0);
    let sending = async {
        writing.write_all(head.as_bytes()).await?;
        let piece = vec![b'z'; PIECE_BYTES];
        while sent.load(Ordering::Relaxed) < BODY_BYTES {
            writing.write_all(&piece).await?;
            sent.fetch_add(PIECE_BYTES, Ordering::Relaxed);
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        std::future::pending::<Result<(), std::io::Error>>().await
    };
    tokio::select! {
        biased;
        answer = read_answer(&mut reading) => Ok((answer?, sent.load(Ordering::Relaxed))),
        Err(error) = sending => Err(error.into()),
    }
}

async fn serve(id: String, listener: TcpListener, record: Arc<Record>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (id, record) = (id.clone(), record.clone());
        tokio::spawn(async move {
            while let Ok(Some(request)) = read_request(&mut stream).await {
                record.note(format!("server {id}: runs {}", request.id()));
                tokio::time::sleep(WORK).await;
                let headers = "Content-Length: 2\r\nX-Server-Load: 1,0,64\r\n";
                let head = write_head(&mut stream, &id, "200 OK", request.id(), headers).await;
                if head.is_err() || stream.write_all(b"ok").await.is_err() {
                    return;
                }
            }
        });
    }
}
