//! Callers, each of which sends one request after the other and checks every response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fakes::STREAM_EVENTS;
use http_body_util::Full;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use crate::node::{Reply, exchange_on};
use crate::testbed::Testbed;

/// The `x-deadline-ms` of every request.
const DEADLINE_MS: u64 = 3_000;
/// The time after the deadline at which a caller gives up on a response.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);

/// The outcome of a request, as its caller observed it.
#[derive(Debug)]
pub struct Outcome {
    pub id: String,
    /// The path prefix, which selects the route.
    pub prefix: &'static str,
    pub sent_at: Instant,
    /// The status; 0 if there was no response.
    pub status: u16,
    /// What is wrong with the response, if anything.
    pub violation: Option<String>,
}

/// Sends requests until `stop` is cancelled.
pub async fn run(testbed: Arc<Testbed>, number: u64, mut rng: ChaCha8Rng, stop: CancellationToken) {
    let pool = conn::Pool::new();
    let mut count = 0;
    while !stop.is_cancelled() {
        count += 1;
        let id = format!("c{number}-{count}");
        let prefix = ["/once/", "/look/", "/chat/"][rng.random_range(0..3)];
        let addr = {
            let addrs = testbed.addrs.lock().unwrap();
            addrs[rng.random_range(0..addrs.len())]
        };
        let method = if prefix == "/once/" { "POST" } else { "GET" };
        let body = if prefix == "/once/" { Bytes::from(id.clone()) } else { Bytes::new() };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("{prefix}{id}"))
            .header("host", "site.test")
            .header("x-attempt-id", &id)
            .header("x-deadline-ms", DEADLINE_MS)
            .header("x-credential", "key-ana")
            .body(Full::new(body));
        let Ok(request) = request else { continue };
        let sent_at = Instant::now();
        let limit = Duration::from_millis(DEADLINE_MS) + RESPONSE_MARGIN;
        let response = tokio::time::timeout(limit, exchange_on(&pool, addr, request)).await;
        let (status, violation) = match response {
            Ok(Ok(reply)) => (reply.status, find_violation(&id, prefix, &reply)),
            // The instance was down, or was stopped while it handled the request.
            Ok(Err(_)) | Err(_) => (0, None),
        };
        testbed.outcomes.lock().unwrap().push(Outcome { id, prefix, sent_at, status, violation });
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Returns what is wrong with a response, judged by its headers and body alone.
fn find_violation(id: &str, prefix: &str, reply: &Reply) -> Option<String> {
    if reply.status != 200 {
        return None;
    }
    let header = |name: &str| reply.headers.get(name).and_then(|value| value.to_str().ok());
    let body = String::from_utf8_lossy(&reply.body);
    if header("x-attempt-id") != Some(id) || header("x-server-seal").is_none() {
        return Some(format!(
            "the response belongs to another request or has no seal: {:?}",
            reply.headers
        ));
    }
    if prefix != "/chat/" {
        let expected = format!("{id} done by ");
        return (reply.complete && !body.starts_with(&expected))
            .then(|| format!("the body is {body:?}"));
    }
    let ids: Vec<u64> =
        body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let ordered = ids.iter().enumerate().all(|(index, id)| *id == index as u64 + 1);
    if !ordered {
        return Some(format!("the events are {ids:?}"));
    }
    let has_all = ids.len() as u64 == STREAM_EVENTS;
    (reply.complete && !has_all)
        .then(|| format!("the stream ended regularly after the events {ids:?}"))
}
