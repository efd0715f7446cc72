//! A request that crashes each server which begins to run it, and instances that are all killed
//! now and then.
//!
//! `forgotten FOLDER`

use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Result, ensure};
use fakes::SiteStore;
use standins::http::ask_once;
use standins::server::{Crash, Servers, keep_server};
use standins::{CONTACT, Deployment, HOST, KEY, Record, exit_code, has_trouble, limited};
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::sync::CancellationToken;

/// How long the deadly request comes again and again.
const LENGTH: Duration = Duration::from_secs(70);
/// The time between two attempts of its client.
const PAUSE: Duration = Duration::from_millis(2_000);
/// When all instances are killed, from the first attempt on.
const KILLS: [Duration; 2] = [Duration::from_secs(20), Duration::from_secs(45)];
/// How long it takes until a killed process is started again.
const DOWN: Duration = Duration::from_millis(1_000);
/// The rule: retries that may reach servers later than `contact_ms` after the third crash.
const MOST_RETRIES: usize = 3;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let code = exit_code(runtime.block_on(limited(run())));
    runtime.shutdown_timeout(Duration::from_secs(1));
    code
}

/// Runs the case; returns whether the rule held.
async fn run() -> Result<bool> {
    let folder = std::env::args().nth(1).unwrap_or_default();
    let record = Record::create(Path::new(&folder))?;
    let store = SiteStore::start(CancellationToken::new()).await?;
    let at = Deployment::new(store.clone(), 3)?;
    at.configure(7);
    let (deadly, mut begun) = unbounded_channel();
    let (crashed, mut crashes) = unbounded_channel();
    let servers = Arc::new(Servers {
        store,
        record: record.clone(),
        crash: Crash::After(Duration::from_millis(40)),
        work: Duration::from_millis(15),
        away: Duration::from_secs(3),
        deadly,
        crashed,
        lost: AtomicU64::new(0),
        born: AtomicU64::new(0),
    });
    for zone in ["almaty-a", "almaty-b", "almaty-c"] {
        for _ in 0..2 {
            let servers = servers.clone();
            tokio::spawn(async move { keep_server(servers, "desk", zone, 6).await });
        }
    }
    let mut nodes = at.start().await?;
    record.line("instances ready");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let start = record.now();
    let mut kills = KILLS.into_iter().filter(|_| has_trouble()).peekable();
    // Attempts of the deadly request that were sent when no machine had been disturbed for
    // `contact_ms`.
    let mut in_touch = HashMap::new();
    let mut disturbed = Duration::ZERO;
    let mut sent = 0usize;
    while record.now() - start < LENGTH {
        if kills.next_if(|at| record.now() - start >= *at).is_some() {
            record.line("all instances are killed");
            drop(nodes);
            tokio::time::sleep(DOWN).await;
            nodes = at.restart().await?;
            disturbed = record.line("all instances are ready again");
            let plain = request("/hold/plain", &format!("p{sent:05}"));
            let reply = ask_once(nodes[0].frontend, &plain, Duration::from_secs(2)).await;
            record.line(format!("a plain request: {} whole {}", reply.status, reply.whole));
            ensure!(reply.status == 200, "the deployment does not serve");
            // All machines are in touch again.
            tokio::time::sleep(CONTACT + Duration::from_millis(500)).await;
        }
        let index = sent % nodes.len();
        let id = format!("d{sent:05}");
        let at = record.line(format!("client sends {id} to instance {}", index + 1));
        in_touch.insert(id.clone(), disturbed.is_zero() || at > disturbed + CONTACT);
        let request = request("/hold/deadly", &id);
        let reply = ask_once(nodes[index].frontend, &request, Duration::from_secs(2)).await;
        record.line(format!("client {id}: {} whole {}", reply.status, reply.whole));
        sent += 1;
        tokio::time::sleep(PAUSE).await;
    }
    drop(nodes);
    let mut all_crashes = Vec::new();
    while let Ok(crash) = crashes.try_recv() {
        all_crashes.push(crash);
    }
    let mut runs: HashMap<String, Duration> = HashMap::new();
    while let Ok((at, id)) = begun.try_recv() {
        runs.entry(id).or_insert(at);
    }
    let summary = format!(
        "{sent} attempts of the deadly request, {} crashes, {} other requests were running then",
        all_crashes.len(),
        servers.lost.load(Ordering::Relaxed),
    );
    record.line(&summary);
    println!("{summary}");
    let Some(third) = all_crashes.get(2) else {
        println!("held: fewer than three crashes");
        return Ok(true);
    };
    let is_late = |(id, at): &(&String, &Duration)| {
        **at > third.at + CONTACT && in_touch.get(*id).copied().unwrap_or(false)
    };
    let late = runs.iter().filter(is_late).count();
    let text = format!(
        "third crash at {:.3} s; {late} retries reached servers later than {CONTACT:?} after it, \
         sent by machines in touch ({MOST_RETRIES} are allowed)",
        third.at.as_secs_f64()
    );
    record.line(&text);
    println!("{text}");
    Ok(late <= MOST_RETRIES)
}

fn request(path: &str, id: &str) -> Vec<u8> {
    let body = "the same body";
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
         X-Credential: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
