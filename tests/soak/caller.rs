//! Callers: each sends one request after the other and checks every answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fakes::STREAM_EVENTS;
use http_body_util::Full;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use crate::node::{Reply, exchange_on};
use crate::world::World;

/// The patience of a caller in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// How much longer an answer may take before it counts as none.
const MARGIN: Duration = Duration::from_secs(5);

/// What became of a request.
#[derive(Debug)]
pub struct Seen {
    pub id: String,
    pub path: &'static str,
    pub sent: Instant,
    pub status: u16,
    /// What was wrong with the answer.
    pub fault: Option<String>,
}

/// Sends requests until it is told to end.
pub async fn run(world: Arc<World>, number: u64, mut rng: ChaCha8Rng, stop: CancellationToken) {
    let pool = conn::Pool::new();
    let mut count = 0;
    while !stop.is_cancelled() {
        count += 1;
        let id = format!("c{number}-{count}");
        let path = ["/once/", "/look/", "/chat/"][rng.random_range(0..3)];
        let addr = {
            let addrs = world.addrs.lock().unwrap();
            addrs[rng.random_range(0..addrs.len())]
        };
        let method = if path == "/once/" { "POST" } else { "GET" };
        let body = if path == "/once/" { Bytes::from(id.clone()) } else { Bytes::new() };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{path}{id}"))
            .header("host", "site.test")
            .header("x-attempt-id", &id)
            .header("x-deadline-ms", DEADLINE_MS)
            .header("x-credential", "key-ana")
            .body(Full::new(body));
        let Ok(request) = request else { continue };
        let sent = Instant::now();
        let limit = Duration::from_millis(DEADLINE_MS) + MARGIN;
        let answer = tokio::time::timeout(limit, exchange_on(&pool, addr, request)).await;
        let (status, fault) = match answer {
            Ok(Ok(reply)) => (reply.status, fault(&id, path, &reply)),
            // The process was away, or was stopped while it had the request.
            Ok(Err(_)) | Err(_) => (0, None),
        };
        world.seen.lock().unwrap().push(Seen { id, path, sent, status, fault });
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// What is wrong with an answer, by its own bytes.
fn fault(id: &str, path: &str, reply: &Reply) -> Option<String> {
    if reply.status != 200 {
        return None;
    }
    let header = |name: &str| reply.headers.get(name).and_then(|value| value.to_str().ok());
    let body = String::from_utf8_lossy(&reply.body);
    if header("x-attempt-id") != Some(id) || header("x-server-seal").is_none() {
        return Some(format!("the answer is not its own: {:?}", reply.headers));
    }
    if path != "/chat/" {
        let own = format!("{id} done by ");
        return (reply.whole && !body.starts_with(&own)).then(|| format!("the body is {body:?}"));
    }
    let ids: Vec<u64> =
        body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let ordered = ids.iter().enumerate().all(|(place, id)| *id == place as u64 + 1);
    if !ordered {
        return Some(format!("the events are {ids:?}"));
    }
    let whole = ids.len() as u64 == STREAM_EVENTS;
    (reply.whole && !whole).then(|| format!("it ends as whole with {ids:?}"))
}
