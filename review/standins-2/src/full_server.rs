//! Servers that have reached their maximum number of connections reset further ones, while streams
//! with pauses run on them, right after a SIGHUP of the instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::deployment::Deployment;
use crate::record::Record;
use crate::server::{Received, read_request, write_chunk, write_head};
use crate::stream::{CONTACT, End, read_stream, route};

/// The events of a stream.
const EVENTS: u64 = 12;
/// The pause between two events: within `gap_target_ms` (800 ms), so that the stream is on time.
const EVENT_PAUSE: Duration = Duration::from_millis(600);
/// The maximum number of connections of a server, as on the sheet of the site.
const MAX_CONNECTIONS: usize = 370;
/// When other callers have taken the remaining connections, after the streams have begun.
const FULL_AFTER: Duration = Duration::from_millis(100);
const SERVERS: usize = 2;

pub async fn play(record: &Arc<Record>, trouble: bool) -> Result<bool> {
    let deployment = Deployment::start().await?;
    deployment.configure_with(
        7,
        json!([route("r-lohu930", "/lohu930/", true), route("r-pufi791", "/pufi791/", false),]),
        MAX_CONNECTIONS,
    );
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (id, addr) = (format!("i-7f3a91c{number}"), listener.local_addr()?);
        deployment.list_version(&id, "assistente-ia", addr, "v1");
        tokio::spawn(serve(id, addr, listener, record.clone()));
        servers.push(addr);
    }
    let mut node = deployment.node("edge-serra-a-1")?;
    node.wait_ready().await?;
    record.line("the instance is ready");
    tokio::time::sleep(CONTACT + Duration::from_millis(500)).await;
    node.signal("HUP")?;
    record.line("SIGHUP to the instance");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let front = node.frontend;
    let resumable = read_stream(front, "/lohu930/2f", "9c41d07be2a35f68", EVENTS, record);
    let other = read_stream(front, "/pufi791/2f", "5be2a35f689c41d0", EVENTS, record);
    let filling = async {
        tokio::time::sleep(FULL_AFTER).await;
        Ok(if trouble { fill(&servers, record).await } else { Vec::new() })
    };
    let (resumable, other, _others) = tokio::try_join!(resumable, other, filling)?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok(resumable == End::Closed || other == End::Closed)
}

/// Takes the remaining connections of the servers for streams of other callers.
async fn fill(servers: &[SocketAddr], record: &Record) -> Vec<TcpStream> {
    let mut held = Vec::new();
    for addr in servers {
        for number in 0..MAX_CONNECTIONS {
            let Ok(mut stream) = TcpStream::connect(addr).await else { break };
            let request = format!(
                "POST /other/ HTTP/1.1\r\nHost: {addr}\r\nX-Attempt-Id: other-{number}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
            held.push(stream);
        }
    }
    record.line(format!("other callers: hold {} connections to the servers", held.len()));
    held
}

/// Accepts as many connections as the server may have; further ones are reset, as nothing listens
/// at the address meanwhile.
async fn serve(id: String, addr: SocketAddr, listener: TcpListener, record: Arc<Record>) {
    let (open, mut changed) = watch::channel(0_usize);
    let open = Arc::new(open);
    let mut listening = Some(listener);
    loop {
        let is_full = *changed.borrow_and_update() >= MAX_CONNECTIONS;
        if is_full && listening.take().is_some() {
            record.line(format!(
                "server {id}: has {MAX_CONNECTIONS} connections, resets further ones"
            ));
        }
        if !is_full && listening.is_none() {
            listening = TcpListener::bind(addr).await.ok();
            record.line(format!("server {id}: accepts connections again"));
        }
        let accepting = async {
            match &listening {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        let accepted = tokio::select! {
            accepted = accepting => accepted,
            _ = changed.changed() => continue,
        };
        let Ok((mut stream, _)) = accepted else { continue };
        open.send_modify(|open| *open += 1);
        let (id, record, open) = (id.clone(), record.clone(), open.clone());
        tokio::spawn(async move {
            while let Ok(Some(request)) = read_request(&mut stream).await {
                if answer(&id, &mut stream, &request, &record).await.is_err() {
                    let request = request.id();
                    record.note(format!("server {id}: the connection of {request} was closed"));
                    break;
                }
            }
            drop(stream);
            open.send_modify(|open| *open -= 1);
        });
    }
}

async fn answer(
    id: &str,
    stream: &mut TcpStream,
    request: &Received,
    record: &Record,
) -> Result<()> {
    let last = request.header("last-event-id").parse::<u64>().unwrap_or(0);
    let run = format!("server {id}: runs {} after event {last} ({})", request.id(), request.line);
    match request.id().starts_with("other") {
        true => _ = record.note(run),
        false => record.line(run),
    }
    let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Server-Load: 1,0,64\r\n";
    write_head(stream, id, "200 OK", request.id(), headers).await?;
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: text of event {number}\n\n");
        write_chunk(stream, event.as_bytes()).await?;
        tokio::time::sleep(EVENT_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    record.note(format!("server {id}: has ended {}", request.id()));
    Ok(())
}
