//! Model servers preempt streams for a few seconds, right after a SIGHUP of the instance.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::deployment::Deployment;
use crate::record::Record;
use crate::server::{Received, read_request, write_chunk, write_head};
use crate::stream::{CONTACT, End, read_stream, route};

/// The events of the stream.
const EVENTS: u64 = 20;
/// The pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The number of events that a server sends before it preempts the request.
const EVENTS_BEFORE: u64 = 3;
/// How long the request is preempted: within what clients wait for, see [`crate::stream::CLIENT_GAP`].
const PREEMPTED: Duration = Duration::from_millis(3_500);
const SERVERS: usize = 3;

pub async fn play(record: &Arc<Record>, trouble: bool) -> Result<bool> {
    let deployment = Deployment::start().await?;
    deployment.configure(
        7,
        json!([route("r-lohu930", "/lohu930/", true), route("r-pufi791", "/pufi791/", false),]),
    );
    for number in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = format!("i-7f3a91c{number}");
        deployment.list_version(&id, "assistente-ia", listener.local_addr()?, "v1", 64);
        tokio::spawn(serve(id, listener, record.clone(), trouble));
    }
    let mut node = deployment.node("edge-serra-a-1")?;
    let mut other_node = deployment.node("edge-serra-a-2")?;
    node.wait_ready().await?;
    other_node.wait_ready().await?;
    record.line("both instances are ready");
    tokio::time::sleep(CONTACT + Duration::from_millis(500)).await;
    node.signal("HUP")?;
    record.line("SIGHUP to one of the instances");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let resumable = read_stream(node.frontend, "/lohu930/2f", "9c41d07be2a35f68", EVENTS, record);
    let other = read_stream(node.frontend, "/pufi791/2f", "5be2a35f689c41d0", EVENTS, record);
    let (resumable, other) = tokio::try_join!(resumable, other)?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok(resumable == End::Closed || other == End::Closed)
}

async fn serve(id: String, listener: TcpListener, record: Arc<Record>, trouble: bool) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (id, record) = (id.clone(), record.clone());
        tokio::spawn(async move {
            while let Ok(Some(request)) = read_request(&mut stream).await {
                let ended = answer(&id, &mut stream, &request, &record, trouble).await;
                if ended.is_err() {
                    record.line(format!(
                        "server {id}: the connection of {} was closed",
                        request.id()
                    ));
                    return;
                }
            }
        });
    }
}

async fn answer(
    id: &str,
    stream: &mut TcpStream,
    request: &Received,
    record: &Record,
    trouble: bool,
) -> Result<()> {
    let last = request.header("last-event-id").parse::<u64>().unwrap_or(0);
    record.line(format!(
        "server {id}: runs {} after event {last} ({})",
        request.id(),
        request.line
    ));
    let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Server-Load: 1,0,64\r\n";
    write_head(stream, id, "200 OK", request.id(), headers).await?;
    for number in last + 1..=EVENTS {
        if trouble && number == last + 1 + EVENTS_BEFORE {
            record.line(format!("server {id}: preempts {} for {PREEMPTED:?}", request.id()));
            wait_or_closed(stream, PREEMPTED).await?;
        }
        let event = format!("id: {number}\ndata: text of event {number}\n\n");
        write_chunk(stream, event.as_bytes()).await?;
        tokio::time::sleep(EVENT_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    record.line(format!("server {id}: has ended {}", request.id()));
    Ok(())
}

/// Waits; fails if the other side closes the connection meanwhile, as servers drop a request then.
async fn wait_or_closed(stream: &mut TcpStream, time: Duration) -> Result<()> {
    let mut byte = [0];
    match tokio::time::timeout(time, stream.read(&mut byte)).await {
        Ok(read) => {
            ensure!(read? > 0, "closed");
            Ok(())
        }
        Err(_) => Ok(()),
    }
}
