//! A proxy in front of the store that loses the answer to one write.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anyhow::{Context, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::record::Record;
use crate::server::{parse_head, read_head};

/// Decides by the body of a write whether its answer is lost.
pub type Loses = fn(&str) -> bool;

/// Whether an answer is still to be lost; shared by the proxies of all instances.
pub type Pending = Arc<AtomicBool>;

/// Starts a proxy and returns its address.
pub async fn start(
    store: SocketAddr,
    name: &'static str,
    loses: Loses,
    pending: Pending,
    record: Arc<Record>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (pending, record) = (pending.clone(), record.clone());
            tokio::spawn(async move {
                // An error means that one of the sides closed the connection.
                let _ = forward(stream, store, name, loses, &pending, &record).await;
            });
        }
    });
    Ok(addr)
}

/// Forwards the calls of a connection one after the other.
async fn forward(
    mut caller: TcpStream,
    store: SocketAddr,
    name: &str,
    loses: Loses,
    pending: &AtomicBool,
    record: &Record,
) -> Result<()> {
    let mut upstream = TcpStream::connect(store).await?;
    while let Some((head, body)) = read_message(&mut caller).await? {
        upstream.write_all(head.as_bytes()).await?;
        upstream.write_all(&body).await?;
        let mut closed = [0];
        let answer = tokio::select! {
            answer = read_message(&mut upstream) => answer?,
            // The caller sends nothing more before the answer.
            _ = caller.read(&mut closed) => return Ok(()),
        };
        let (answer_head, answer_body) = answer.context("the store closed the connection")?;
        let text = String::from_utf8_lossy(&body);
        let is_done = head.starts_with("POST /rows-tx") && answer_head.starts_with("HTTP/1.1 200");
        if is_done && loses(&text) && pending.swap(false, Ordering::SeqCst) {
            record.line(format!("store: done, but the answer to {name} is lost: {text}"));
            // The connection delivers nothing further.
            while caller.read(&mut closed).await? > 0 {}
            return Ok(());
        }
        caller.write_all(answer_head.as_bytes()).await?;
        caller.write_all(&answer_body).await?;
    }
    Ok(())
}

/// Reads a request or a response whose body has a length.
async fn read_message(stream: &mut TcpStream) -> Result<Option<(String, Vec<u8>)>> {
    let Some((head, mut body)) = read_head(stream).await? else { return Ok(None) };
    let (_, headers) = parse_head(&head);
    let length = headers.get("content-length").map_or(Ok(0), |text| text.parse::<usize>())?;
    while body.len() < length {
        let mut part = vec![0; 16 << 10];
        let read = stream.read(&mut part).await?;
        anyhow::ensure!(read > 0, "a message broke off");
        body.extend_from_slice(&part[..read]);
    }
    Ok(Some((head, body)))
}
