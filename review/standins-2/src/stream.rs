//! Streaming routes, and a client that reads a stream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::client::ChunkedBody;
use crate::deployment::{HOST, KEY};
use crate::record::Record;
use crate::server::{parse_head, read_head};

/// The client abandons a stream after a gap of this length: four times the target latency of
/// the route, which is the longest of the three that the pages name.
pub const CLIENT_GAP: Duration = Duration::from_secs(8);
/// `contact_ms`: there is no disruption for this long before the requests.
pub const CONTACT: Duration = Duration::from_secs(3);

/// A route whose streams may be resumed at another server or not.
pub fn route(name: &str, prefix: &str, resumable: bool) -> Value {
    let mut route = json!({ "name": name, "host": HOST, "prefix": prefix,
        "route_kind": "streaming", "timeout_ms": 25000, "target_latency_ms": 2000, "priority": 1,
        "service": "assistente-ia", "max_attempts": 3, "public": false,
        "session_affinity": true, "gap_target_ms": 800 });
    if resumable {
        route["stream_resume"] = json!(true);
    }
    route
}

/// How a stream ended for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Complete,
    /// The connection was closed before the end of the answer.
    Closed,
    /// The client lost patience.
    Abandoned,
}

/// Sends a request and reads its stream as a client does.
pub async fn read_stream(
    front: SocketAddr,
    path: &str,
    id: &str,
    events: u64,
    record: &Record,
) -> Result<End> {
    let mut stream = TcpStream::connect(front).await?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: daka510000\r\n\
         X-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n\
         X-Deadline-Ms: 25000\r\nX-Credential: {KEY}\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await?;
    let sent_at = Instant::now();
    record.line(format!("client: sent {id} to {path} with a deadline of 25 s"));
    let (head, rest) = read_head(&mut stream).await?.context("no answer")?;
    record.line(format!("client: {id} got {}", parse_head(&head).0));
    ensure!(head.starts_with("HTTP/1.1 200"), "not answered with 200");
    let mut body = ChunkedBody::default();
    body.push(&rest);
    let mut longest_gap = Duration::ZERO;
    let end = loop {
        if body.complete {
            break End::Complete;
        }
        let waiting = Instant::now();
        let mut bytes = vec![0; 4_096];
        match tokio::time::timeout(CLIENT_GAP, stream.read(&mut bytes)).await {
            Ok(Ok(0) | Err(_)) => break End::Closed,
            Ok(Ok(read)) => body.push(&bytes[..read]),
            Err(_) => break End::Abandoned,
        }
        longest_gap = longest_gap.max(waiting.elapsed());
    };
    let received = String::from_utf8_lossy(&body.body).matches("id: ").count();
    record.line(format!(
        "client: {id} ended ({end:?}) after {:.2} s with {received} of {events} events; the longest \
         gap was {:.2} s",
        sent_at.elapsed().as_secs_f64(),
        longest_gap.as_secs_f64()
    ));
    Ok(end)
}
