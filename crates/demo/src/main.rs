//! Runs a local deployment for demonstration: simulated backend servers and platform,
//! three entry instances, the example routes, and a few requests of each kind.

mod client;

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Result, bail};
use argh::FromArgs;
use client::{Client, Response};
use entry::{Entry, SettingsBuilder};
use fakes::{DOMAINS, Deployment};
use ledger::{Batch, Bill, ClaimRow, ClaimState, compute_statement};
use publish::Publication;
use tokio_util::sync::CancellationToken;

/// The operators' token.
const OPERATORS_TOKEN: &str = "demo-operators-token";
/// The time that a simulated engine takes to generate one token.
const ENGINE_TOKEN_DURATION: Duration = Duration::from_millis(10);
/// The maximum number of times that an instance is polled until it is ready.
const MAX_READY_POLLS: u32 = 500;
/// The interval between these polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a local deployment and sends it a few requests.
#[derive(Debug, FromArgs)]
struct Args {
    /// keep serving until interrupted
    #[argh(switch)]
    stay: bool,

    /// folder with the route files (default examples)
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    routes: PathBuf,

    /// port for callers of the first instance (default: any free port)
    #[argh(option, default = "0")]
    port: u16,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let _logger = flexi_logger::Logger::try_with_str("warn")?.log_to_stderr().start()?;
    let stop = CancellationToken::new();
    let deployment = Deployment::start(ENGINE_TOKEN_DURATION, stop.clone()).await?;
    publish_routes(&deployment, &args.routes).await?;
    let entries = start_entries(&deployment, args.port)?;
    let clients: Vec<Client> = entries.iter().map(|entry| Client::new(entry.callers())).collect();
    for client in &clients {
        wait_until_ready(client).await?;
    }
    send_example_requests(&clients).await?;
    if args.stay {
        serve_until_interrupted(&entries).await?;
    }
    for entry in entries {
        entry.drain().await;
    }
    print_statement(&deployment)?;
    stop.cancel();
    Ok(())
}

/// Publishes the route files in a folder.
async fn publish_routes(deployment: &Deployment, routes: &PathBuf) -> Result<()> {
    let collected = match publish::collect(std::slice::from_ref(routes)) {
        Ok(collected) => collected,
        Err(diagnostics) => {
            let lines: Vec<String> =
                diagnostics.iter().map(|diagnostic| diagnostic.to_string()).collect();
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
    println!("published {} pieces as configuration {}", published.changes.len(), published.number);
    Ok(())
}

/// Starts one entry instance in each failure domain.
fn start_entries(deployment: &Deployment, port: u16) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for (index, domain) in DOMAINS.iter().enumerate() {
        let id = format!("entry-{}", index + 1);
        let port = if index == 0 { port } else { 0 };
        let any_port = ([127, 0, 0, 1], 0).into();
        let platform = deployment.platform.addr();
        let settings = SettingsBuilder::new(
            id.as_str().into(),
            (*domain).into(),
            platform,
            OPERATORS_TOKEN.to_owned(),
        )
        .listen(([127, 0, 0, 1], port).into(), any_port, any_port)
        .drain(Duration::from_secs(5))
        .build();
        let entry = Entry::start(settings)?;
        deployment.list_entry(&id, entry.peers(), domain);
        println!("{id} in {domain} listens for callers on http://{}", entry.callers());
        entries.push(entry);
    }
    Ok(entries)
}

async fn wait_until_ready(client: &Client) -> Result<()> {
    for _ in 0..MAX_READY_POLLS {
        if client.get("/ready", "").await.is_ok_and(|response| response.status == 200) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    bail!("an instance did not become ready after {MAX_READY_POLLS} polls")
}

/// Sends an unstreamed and a streamed request to models, continues the session at another
/// instance, and repeats a non-idempotent call at another instance.
async fn send_example_requests(clients: &[Client]) -> Result<()> {
    let tag =
        r#"{"model":"tag","max_tokens":4,"messages":[{"role":"user","content":"a dull knife"}]}"#;
    let response = clients[0].post("/v1/chat/completions", "key-bento", &[], tag).await?;
    print_response("a tag", &response);

    let chat = r#"{"model":"chat","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"which walk?"}]}"#;
    let first = clients[0].post("/v1/chat/completions", "key-guides", &[], chat).await?;
    print_response("a streamed chat", &first);
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
    print_response("a booking", &first);
    let again = clients[2].post("/services/booking/visits", "key-bento", &key, booking).await?;
    print_response("the same booking at another instance", &again);
    if first.body != again.body {
        bail!("the repeated booking got a different response");
    }
    Ok(())
}

fn print_response(description: &str, response: &Response) {
    println!("\n{description}: status {}\n{}", response.status, response.body.trim_end());
}

async fn serve_until_interrupted(entries: &[Entry]) -> Result<()> {
    println!("\nserving until interrupted; try:");
    println!(
        "  curl -s http://{}/v1/chat/completions -H 'authorization: Bearer key-bento' \\\n    -d '{{\"model\":\"tag\",\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        entries[0].callers()
    );
    println!("  operators: http://{} with the token {OPERATORS_TOKEN}", entries[0].operators());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Prints the amounts that the client accounts owe, computed from all bills and claims.
fn print_statement(deployment: &Deployment) -> Result<()> {
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
    for (account, total) in compute_statement(bills).accounts {
        let amount = total.amount_micro as f64 / 1e6;
        println!("  {account}: {} requests, {} tokens, {amount:.6}", total.requests, total.tokens);
    }
    Ok(())
}
