//! Tests of connections that nobody uses: servers accept a limited number.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use conn::Pool;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A server that counts its open connections.
struct Server {
    addr: SocketAddr,
    open: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server that answers with further headers.
    async fn start(headers: &'static str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let open = Arc::new(AtomicUsize::new(0));
        let count = open.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let count = count.clone();
                count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    answer_all(stream, headers).await;
                    count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Server { addr, open }
    }

    fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until no connection is open, for so long at most, and returns how many still are.
    async fn open_after(&self, time: Duration) -> usize {
        let started = Instant::now();
        while self.open() > 0 && started.elapsed() < time {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.open()
    }
}

/// Answers requests without a body until the connection is closed.
async fn answer_all(mut stream: TcpStream, headers: &str) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.is_ok_and(|length| length > 0) {
        if received.ends_with(b"\r\n\r\n") {
            received.clear();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{headers}\r\n");
            if stream.write_all(head.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Sends requests at once, each over a connection of its own.
async fn send(pool: &Pool, addr: SocketAddr, count: usize) {
    let mut leases = Vec::new();
    for _ in 0..count {
        leases.push(pool.open(addr).await.unwrap());
    }
    for lease in leases {
        let request = http::Request::builder().uri("/").header("host", "site.test");
        let request = request.body(Full::new(Bytes::new())).unwrap();
        let response = lease.send(request).await.unwrap();
        response.collect(0).await.unwrap();
    }
}

/// Guards against probes that fill a server up with idle connections.
#[tokio::test]
async fn probe_leaves_no_connection_open() {
    let server = Server::start("").await;
    let pool = Pool::new();
    for _ in 0..30 {
        pool.probe(server.addr).await.unwrap();
    }
    assert_eq!(server.open_after(Duration::from_millis(200)).await, 0);
}

/// Guards against connections that stay open for as long as nobody asks for one.
#[tokio::test]
async fn idle_connections_are_closed_without_further_requests() {
    for (headers, time) in [("", 1_500), ("keep-alive: timeout=5\r\n", 3_500)] {
        let server = Server::start(headers).await;
        let pool = Pool::new();
        send(&pool, server.addr, 30).await;
        assert_eq!(server.open(), 30, "none is kept for later requests");
        assert_eq!(server.open_after(Duration::from_millis(time)).await, 0, "{headers:?}");
        send(&pool, server.addr, 1).await;
        assert_eq!(server.open_after(Duration::from_millis(time)).await, 0, "{headers:?}, again");
    }
}

#[tokio::test]
async fn idle_connections_in_use_stay_open() {
    let server = Server::start("keep-alive: timeout=5\r\n").await;
    let pool = Pool::new();
    send(&pool, server.addr, 1).await;
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_millis(600)).await;
        let lease = pool.lease(server.addr).await.unwrap();
        assert!(lease.reused());
        let request = http::Request::builder().uri("/").header("host", "site.test");
        let response = lease.send(request.body(Full::new(Bytes::new())).unwrap()).await.unwrap();
        response.collect(0).await.unwrap();
    }
}
