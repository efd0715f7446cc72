//! A local deployment to try: stand-ins, three entry instances, the example
//! routes, and a few requests of each kind.

mod client;

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Result, bail};
use argh::FromArgs;
use client::{Client, Reply};
use entry::{Entry, SettingsBuilder};
use fakes::{DOMAINS, Deployment};
use ledger::{Batch, Bill, ClaimRow, ClaimState, statement};
use publish::Publication;
use tokio_util::sync::CancellationToken;

/// The operators' token of the demo.
const TOKEN: &str = "demo-operators-token";
/// The time of one token at the demo's engines.
const ENGINE_TOKEN: Duration = Duration::from_millis(10);
/// The longest wait for an instance to be ready, in tries.
const READY_TRIES: u32 = 500;
/// The wait between such tries.
const READY_WAIT: Duration = Duration::from_millis(20);

/// Starts a local deployment and sends it a few requests.
#[derive(Debug, FromArgs)]
struct Args {
    /// keep serving until interrupted
    #[argh(switch)]
    stay: bool,

    /// folder with the route files (default examples)
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    routes: PathBuf,

    /// port of the first instance's callers (default: any free one)
    #[argh(option, default = "0")]
    port: u16,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let _logger = flexi_logger::Logger::try_with_str("warn")?.log_to_stderr().start()?;
    let stop = CancellationToken::new();
    let deployment = Deployment::start(ENGINE_TOKEN, stop.clone()).await?;
    publish_routes(&deployment, &args.routes).await?;
    let entries = start_entries(&deployment, args.port)?;
    let clients: Vec<Client> = entries.iter().map(|entry| Client::new(entry.callers())).collect();
    for client in &clients {
        until_ready(client).await?;
    }
    try_requests(&clients).await?;
    if args.stay {
        stay(&entries).await?;
    }
    for entry in entries {
        entry.drain().await;
    }
    show_bills(&deployment)?;
    stop.cancel();
    Ok(())
}

async fn publish_routes(deployment: &Deployment, routes: &PathBuf) -> Result<()> {
    let collected = match publish::collect(std::slice::from_ref(routes)) {
        Ok(collected) => collected,
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
            bail!("{}", lines.join("\n"));
        }
    };
    let publication = Publication {
        operator: "demo".into(),
        id: "demo-1".into(),
        pieces: collected.pieces,
        removed: Vec::new(),
        base: None,
        renew: Vec::new(),
    };
    let platform = store::HttpPlatform::new(deployment.platform.addr());
    let published = publish::publish(&platform, &publication).await?;
    println!("published {} pieces as number {}", published.changes.len(), published.number);
    Ok(())
}

fn start_entries(deployment: &Deployment, port: u16) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for (number, domain) in DOMAINS.iter().enumerate() {
        let id = format!("entry-{}", number + 1);
        let port = if number == 0 { port } else { 0 };
        let any = ([127, 0, 0, 1], 0).into();
        let platform = deployment.platform.addr();
        let settings =
            SettingsBuilder::new(id.as_str().into(), (*domain).into(), platform, TOKEN.to_owned())
                .listen(([127, 0, 0, 1], port).into(), any, any)
                .drain(Duration::from_secs(5))
                .build();
        let entry = Entry::start(settings)?;
        deployment.list_entry(&id, entry.peers(), domain);
        println!("{id} in {domain} listens for callers on http://{}", entry.callers());
        entries.push(entry);
    }
    Ok(entries)
}

async fn until_ready(client: &Client) -> Result<()> {
    for _ in 0..READY_TRIES {
        if client.get("/ready", "").await.is_ok_and(|reply| reply.status == 200) {
            return Ok(());
        }
        tokio::time::sleep(READY_WAIT).await;
    }
    bail!("an instance did not become ready")
}

async fn try_requests(clients: &[Client]) -> Result<()> {
    let tag =
        r#"{"model":"tag","max_tokens":4,"messages":[{"role":"user","content":"a dull knife"}]}"#;
    let reply = clients[0].post("/v1/chat/completions", "key-bento", &[], tag).await?;
    show("a tag", &reply);

    let chat = r#"{"model":"chat","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"which walk?"}]}"#;
    let first = clients[0].post("/v1/chat/completions", "key-guides", &[], chat).await?;
    show("a streamed chat", &first);
    let session = first.header("x-session-token").unwrap_or_default();
    let headers = [("x-session-token", session.as_str())];
    let next = clients[1].post("/v1/chat/completions", "key-guides", &headers, chat).await?;
    println!(
        "the same session at another instance: {}",
        next.header("x-model-version").unwrap_or_default()
    );

    let key = [("idempotency-key", "visit-117")];
    let booking = r#"{"visit":"bento, friday"}"#;
    let first = clients[0].post("/services/booking/visits", "key-bento", &key, booking).await?;
    show("a booking", &first);
    let again = clients[2].post("/services/booking/visits", "key-bento", &key, booking).await?;
    show("the same booking at another instance", &again);
    if first.body != again.body {
        bail!("the repeated booking had another answer");
    }
    Ok(())
}

fn show(what: &str, reply: &Reply) {
    println!("\n{what}: status {}\n{}", reply.status, reply.body.trim_end());
}

async fn stay(entries: &[Entry]) -> Result<()> {
    println!("\nserving until interrupted; try:");
    println!(
        "  curl -s http://{}/v1/chat/completions -H 'authorization: Bearer key-bento' \\\n    -d '{{\"model\":\"tag\",\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        entries[0].callers()
    );
    println!("  operators: http://{} with the token {TOKEN}", entries[0].operators());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn show_bills(deployment: &Deployment) -> Result<()> {
    let mut bills: Vec<Bill> = Vec::new();
    for row in deployment.platform.rows("bill/") {
        let batch: Batch = serde_json::from_value(row.value)?;
        bills.extend(batch.bills);
    }
    for row in deployment.platform.rows("claim/") {
        let claim: ClaimRow = serde_json::from_value(row.value)?;
        if let ClaimState::Done(_, bill) = claim.state {
            bills.push(bill);
        }
    }
    println!("\nbilled:");
    for (account, line) in statement(bills).accounts {
        let amount = line.amount_micro as f64 / 1e6;
        println!("  {account}: {} requests, {} tokens, {amount:.6}", line.requests, line.tokens);
    }
    Ok(())
}
