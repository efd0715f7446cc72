//! Scenarios on stand-ins of the users' platform, with the real program.
//!
//! A scenario is a list of lines:
//!
//! - `config N [sizes=none] [drop=PREFIX] [without-key=KEY] [chat=SERVICE] [timeout=MS]`
//!   writes a configuration; `bad-config` writes bytes that can't be read.
//! - `server ID SERVICE [version=V]`, `leave ID`, `gone ID`, `other ID NEW`,
//!   `down ID`, `dark ID`: servers and their entries; `bad-server ID` an unreadable entry.
//! - `fault ID KIND [N]` for the next request, `always ID KIND|none` for all.
//! - `node ID [grace=S] [unread-log]`, `ready ID`, `not-ready ID`, `signal ID NAME`,
//!   `ended ID CODE`, `metric ID NAME VALUE` wait for a process.
//! - `store out|silent|back|compact|break`, `order SERVICE VERSION SECONDS`,
//!   `state SERVICE STATE` waits for a roll-out's state.
//! - `within-order MS` checks the time since the last order, `within-config MS`
//!   that since the last configuration.
//! - `hang-up ID N` sends so many SIGHUPs, each of which writes a line.
//! - `logged ID TEXT` reads a process's log until a line holds a text.
//! - `feeds TABLE N` waits until so many feeds of a table are held open.
//! - `many NODE PATH COUNT` sends requests of which each must be answered.
//! - `load NODE PATH SERVICE STATE` sends requests until a roll-out has a state.
//! - `ask NODE PATH ID [key=K] [deadline=MS] [session=S] [last=N] [method=M]
//!   [body=B] [header=NAME:VALUE]` sends a request; `start` does not wait and
//!   `answer ID` then waits.
//! - `expect STATUS [whole|cut] [body=TEXT] [events=A-B] [retry] [within=MS]`
//!   checks the last answer.
//! - `raw NODE TEXT` sends bytes (`\s`, `\r`, `\n` stand for space and line ends)
//!   and reads until the connection ends; `says TEXT` and `lacks TEXT` check what
//!   came, `answers N` how many answers.
//! - `ran ID N [at=SERVER]`, `came ID N`, `header ID NAME VALUE|-` check what
//!   servers saw.

use std::collections::HashMap;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use fakes::{SiteFault, SiteRequestLog, SiteServer, SiteStore};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::node::{Node, Reply, SPAWNING, exchange, exchange_raw};

/// The longest wait for a roll-out's state.
const STATE_WAIT: Duration = Duration::from_secs(30);
/// Requests of a load that are sent at the same time.
const LOAD_WIDTH: usize = 10;
/// Requests of a load at the most.
const MOST_LOAD: usize = 20_000;
/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Runs one scenario file.
pub fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime
        .block_on(async {
            let stop = CancellationToken::new();
            let mut site = Site::start(stop.clone()).await?;
            for (number, line) in text.lines().enumerate() {
                let words: Vec<&str> = line.split_whitespace().collect();
                if words.first().is_none_or(|word| word.starts_with('#')) {
                    continue;
                }
                site.step(&words).await.with_context(|| format!("line {}: {line}", number + 1))?;
            }
            stop.cancel();
            Ok::<(), anyhow::Error>(())
        })
        .map_err(|error: anyhow::Error| format!("{error:#}"))?;
    Ok(())
}

struct Site {
    store: SiteStore,
    journal: SiteRequestLog,
    servers: HashMap<String, (SiteServer, Value)>,
    nodes: HashMap<String, Node>,
    asked: HashMap<String, JoinHandle<Result<(Reply, Duration)>>>,
    last: Option<(Reply, Duration)>,
    ordered: Option<Instant>,
    configured: Option<Instant>,
    heard: String,
    stop: CancellationToken,
}

impl Site {
    async fn start(stop: CancellationToken) -> Result<Site> {
        Ok(Site {
            store: SiteStore::start(stop.clone()).await?,
            journal: Arc::new(Mutex::new(Vec::new())),
            servers: HashMap::new(),
            nodes: HashMap::new(),
            asked: HashMap::new(),
            last: None,
            ordered: None,
            configured: None,
            heard: String::new(),
            stop,
        })
    }

    async fn step(&mut self, words: &[&str]) -> Result<()> {
        let options = Options(words);
        match *words {
            ["config", number, ..] => self.config(number.parse()?, &options),
            ["bad-config"] => self.store.put("op", "config", b"{\"version\": \"seven\"}"),
            ["server", id, service, ..] => self.server(id, service, &options).await?,
            ["bad-server", id] => self.store.put("servers", id, b"{\"service\": 7}"),
            ["leave", id] => self.change(id, "state", "draining")?,
            ["gone", id] => self.store.remove("servers", id),
            ["back", id] => self.list(id)?,
            ["other", id, new] => self.find(id)?.set_id(new),
            ["down", id] => {
                let server = self.find(id)?;
                tokio::task::block_in_place(|| {
                    let _closing = SPAWNING.write().unwrap();
                    Handle::current().block_on(server.shut_down());
                });
            }
            ["dark", id] => self.find(id)?.stop_responding(),
            ["fault", id, kind, ..] => self.find(id)?.queue_fault(fault(kind, words.get(3))?),
            ["always", id, "none"] => self.find(id)?.set_default_fault(None),
            ["always", id, kind, ..] => {
                self.find(id)?.set_default_fault(Some(fault(kind, words.get(3))?))
            }
            ["node", id, ..] => {
                let grace = options.get("grace").unwrap_or("8").parse()?;
                // A pipe that nobody reads fills up.
                let log = if options.has("unread-log") { Stdio::piped() } else { Stdio::null() };
                let node = Node::start(id, self.store.addr(), grace, log)?;
                self.nodes.insert(id.into(), node);
            }
            ["many", node, path, count] => self.many(node, path, count.parse()?).await?,
            ["ready", id] => self.node(id)?.until_ready(true).await?,
            ["not-ready", id] => self.node(id)?.until_ready(false).await?,
            ["signal", id, name] => self.node(id)?.signal(name)?,
            ["ended", id, code] => {
                let node = self.nodes.get_mut(id).context("no such node")?;
                let ended = node.until_ended().await?;
                ensure!(ended == code.parse::<i32>()?, "it ended with {ended}");
            }
            ["metric", id, name, value] => self.node(id)?.until_metric(name, value).await?,
            ["store", how] => self.store_is(how)?,
            ["order", service, version, seconds] => {
                let order = json!({ "service": service, "to": version, "duration_s": seconds.parse::<f64>()? });
                self.store.put("op", &format!("rollout/{service}"), order.to_string().as_bytes());
                self.ordered = Some(Instant::now());
            }
            ["within-order", ms] => {
                let since = self.ordered.context("nothing was ordered")?.elapsed();
                ensure!(since <= Duration::from_millis(ms.parse()?), "it took {since:?}");
            }
            ["hang-up", id, count] => {
                for _ in 0..count.parse::<u32>()? {
                    self.node(id)?.signal("HUP")?;
                }
            }
            ["logged", id, text] => {
                let node = self.nodes.get_mut(id).context("no such node")?;
                node.until_logged(text).await?;
            }
            ["within-config", ms] => {
                let since = self.configured.context("nothing was configured")?.elapsed();
                ensure!(since <= Duration::from_millis(ms.parse()?), "it took {since:?}");
            }
            ["feeds", table, count] => self.until_feeds(table, count.parse()?).await?,
            ["state", service, state] => self.until_state(service, state).await?,
            ["load", node, path, service, state] => {
                self.load(node, path, service, state).await?;
            }
            ["ask", node, path, id, ..] => {
                self.ask(node, path, id, &options)?;
                self.answer(id).await?;
            }
            ["start", node, path, id, ..] => self.ask(node, path, id, &options)?,
            ["answer", id] => self.answer(id).await?,
            ["abort", id] => {
                self.asked.remove(id).context("nothing was asked under this id")?.abort();
            }
            ["expect", status, ..] => self.expect(status.parse()?, &options)?,
            ["raw", node, text] => {
                let addr = self.node(node)?.callers;
                self.heard = exchange_raw(addr, &unescape(text)).await?;
            }
            ["says", text] => {
                ensure!(self.heard.contains(&unescape(text)), "it was {:?}", self.heard);
            }
            ["lacks", text] => {
                ensure!(!self.heard.contains(&unescape(text)), "it was {:?}", self.heard);
            }
            ["answers", count] => {
                let found = self.heard.matches("HTTP/1.1 ").count();
                ensure!(found == count.parse::<usize>()?, "it was {:?}", self.heard);
            }
            ["ran", id, count, ..] => {
                let at = options.get("at");
                let ran = |a: &fakes::SiteRequest| a.executed && at.is_none_or(|at| a.server == at);
                self.count(id, count.parse()?, ran)?;
            }
            ["came", id, count] => self.until_came(id, count.parse()?).await?,
            ["header", id, name, value] => self.header(id, name, value)?,
            _ => bail!("there is no such step"),
        }
        Ok(())
    }

    fn config(&mut self, version: u64, options: &Options) {
        let timeout = options.get("timeout").and_then(|ms| ms.parse().ok()).unwrap_or(5_000);
        let chat = options.get("chat").unwrap_or("llm");
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({ "name": prefix, "host": "site.test", "prefix": prefix, "route_kind": kind,
                "timeout_ms": timeout, "target_latency_ms": 400, "priority": 1,
                "service": service, "max_attempts": attempts, "public": prefix == "/open/" })
        };
        let mut stream = route("/chat/", "streaming", chat, 3);
        stream["stream_resume"] = json!(true);
        if options.get("sizes") != Some("none") {
            stream["sizes"] = json!(["small", "large"]);
        }
        let mut routes = vec![
            stream,
            route("/once/", "non_idempotent", "desk", 1),
            route("/look/", "idempotent", "desk", 2),
            route("/open/", "idempotent", "desk", 2),
            route("/look/deep/", "idempotent", "deep", 2),
        ];
        routes.retain(|route| options.get("drop").is_none_or(|drop| route["prefix"] != drop));
        let without = options.get("without-key");
        let keys = ["key-ana", "key-ana-2"].into_iter().filter(|key| Some(*key) != without);
        let config = json!({
            "version": version, "routes": routes,
            "services": [{ "name": "llm", "health_path": "/healthz" }, { "name": "desk" }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
            "tenants": [{ "name": "ana", "api_keys": keys.collect::<Vec<_>>(), "priority": 1 }],
        });
        self.store.put("op", "config", config.to_string().as_bytes());
        self.configured = Some(Instant::now());
    }

    async fn server(&mut self, id: &str, service: &str, options: &Options<'_>) -> Result<()> {
        let server = SiteServer::start(id, self.journal.clone(), self.stop.clone()).await?;
        let entry = json!({ "service": service, "address": server.addr(), "zone": "z1",
            "version": options.get("version").unwrap_or("v1"), "slots": 8, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": 1000 });
        self.servers.insert(id.to_owned(), (server, entry));
        self.list(id)
    }

    fn list(&self, id: &str) -> Result<()> {
        let (_, entry) = self.servers.get(id).context("no such server")?;
        self.store.put("servers", id, entry.to_string().as_bytes());
        Ok(())
    }

    fn change(&mut self, id: &str, field: &str, value: &str) -> Result<()> {
        let (_, entry) = self.servers.get_mut(id).context("no such server")?;
        entry[field] = json!(value);
        self.list(id)
    }

    fn find(&self, id: &str) -> Result<&SiteServer> {
        self.servers.get(id).map(|(server, _)| server).context("no such server")
    }

    fn node(&self, id: &str) -> Result<&Node> {
        self.nodes.get(id).context("no such node")
    }

    fn store_is(&self, how: &str) -> Result<()> {
        match how {
            "out" => self.store.set_faults(|faults| faults.unavailable = true),
            "silent" => self.store.set_faults(|faults| faults.hang = true),
            "back" => {
                self.store.set_faults(|faults| (faults.unavailable, faults.hang) = (false, false))
            }
            "lose-reply" => self.store.set_faults(|faults| faults.lose_replies += 1),
            "compact" => self.store.compact(),
            "break" => self.store.close_connections(),
            _ => bail!("the store can't be that"),
        }
        Ok(())
    }

    async fn until_feeds(&self, table: &str, count: usize) -> Result<()> {
        let start = Instant::now();
        while self.store.open_feeds(table) != count {
            let open = self.store.open_feeds(table);
            ensure!(start.elapsed() < STATE_WAIT, "{open} feeds of {table} are open");
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    fn state(&self, service: &str) -> Value {
        let row = self.store.get("status", &format!("rollout/{service}"));
        row.and_then(|row| serde_json::from_slice(&row).ok()).unwrap_or_default()
    }

    async fn until_state(&self, service: &str, state: &str) -> Result<()> {
        let start = Instant::now();
        loop {
            let row = self.state(service);
            if row["state"] == state {
                return Ok(());
            }
            ensure!(start.elapsed() < STATE_WAIT, "the state is {row}");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Sends requests of ever new sessions until a roll-out has a state.
    async fn load(&mut self, node: &str, path: &str, service: &str, state: &str) -> Result<()> {
        let mut number = 0;
        while self.state(service)["state"] != state {
            ensure!(number < MOST_LOAD, "the state is {}", self.state(service));
            for _ in 0..LOAD_WIDTH {
                number += 1;
                let (id, session) = (format!("load-{number}"), format!("session=s{number}"));
                self.ask(node, path, &id, &Options(&[&session]))?;
            }
            for number in number - LOAD_WIDTH + 1..=number {
                self.answer(&format!("load-{number}")).await?;
            }
        }
        Ok(())
    }

    /// Sends requests one after the other; each must be answered.
    async fn many(&mut self, node: &str, path: &str, count: usize) -> Result<()> {
        for number in 0..count {
            // A long id makes long lines, which fill the pipe of a log soon.
            let id = format!("many-{number}-{}", "x".repeat(4_000));
            self.ask(node, path, &id, &Options(&[]))?;
            self.answer(&id).await?;
            self.expect(200, &Options(&["whole"]))?;
        }
        Ok(())
    }

    fn ask(&mut self, node: &str, path: &str, id: &str, options: &Options) -> Result<()> {
        let addr = self.node(node)?.callers;
        let method =
            options.get("method").unwrap_or(if path.contains("once") { "POST" } else { "GET" });
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", options.get("host").unwrap_or("site.test"))
            .header("x-attempt-id", id)
            .header("x-deadline-ms", options.get("deadline").unwrap_or("5000"));
        match options.get("key") {
            Some("none") => {}
            key => request = request.header("x-credential", key.unwrap_or("key-ana")),
        }
        if path.contains("/chat/") {
            request = request
                .header("x-model", "*")
                .header("x-token-count", "100,10")
                .header("x-prompt-prefix", "a:50,b:50");
        }
        for (option, name) in [("session", "session"), ("last", "last-event-id")] {
            if let Some(value) = options.get(option) {
                request = request.header(name, value);
            }
        }
        if let Some((name, value)) = options.get("header").and_then(|pair| pair.split_once(':')) {
            request = request.header(name, value);
        }
        let body = options.get("body").unwrap_or_default().to_owned();
        let body = match options.get("size") {
            Some(size) => "x".repeat(size.parse()?),
            None => body,
        };
        let request = request.body(Full::from(body))?;
        let started = Instant::now();
        let asking = async move { Ok((exchange(addr, request).await?, started.elapsed())) };
        self.asked.insert(id.to_owned(), tokio::spawn(asking));
        Ok(())
    }

    async fn answer(&mut self, id: &str) -> Result<()> {
        let asked = self.asked.remove(id).context("nothing was asked under this id")?;
        self.last = Some(asked.await??);
        Ok(())
    }

    fn expect(&self, status: u16, options: &Options) -> Result<()> {
        let (reply, took) = self.last.as_ref().context("nothing was answered")?;
        let body = String::from_utf8_lossy(&reply.body);
        ensure!(reply.status == status, "{} came with {body}", reply.status);
        ensure!(!options.has("whole") || reply.whole, "the body was cut: {body}");
        ensure!(!options.has("cut") || !reply.whole, "the body was whole: {body}");
        let retry = reply.headers.contains_key("retry-after");
        ensure!(!options.has("retry") || retry, "no time to come back was given");
        if let Some(part) = options.get("body") {
            ensure!(body.contains(part), "the body was {body}");
        }
        if let Some((first, last)) = options.get("events").and_then(|range| range.split_once('-')) {
            let numbers: Vec<u64> =
                body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
            let expected: Vec<u64> = (first.parse()?..=last.parse()?).collect();
            ensure!(numbers == expected, "the events were {numbers:?}");
        }
        if let Some(within) = options.get("within") {
            ensure!(*took <= Duration::from_millis(within.parse()?), "it took {took:?}");
        }
        Ok(())
    }

    fn count(
        &self,
        id: &str,
        count: usize,
        counts: impl Fn(&fakes::SiteRequest) -> bool,
    ) -> Result<()> {
        let journal = self.journal.lock().unwrap();
        let found: Vec<&fakes::SiteRequest> =
            journal.iter().filter(|arrival| arrival.id == id && counts(arrival)).collect();
        ensure!(found.len() == count, "it was {} times: {found:?}", found.len());
        Ok(())
    }

    async fn until_came(&self, id: &str, count: usize) -> Result<()> {
        let start = Instant::now();
        while let Err(error) = self.count(id, count, |_| true) {
            if start.elapsed() > STATE_WAIT {
                return Err(error);
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    fn header(&self, id: &str, name: &str, value: &str) -> Result<()> {
        let journal = self.journal.lock().unwrap();
        let arrival = journal.iter().rfind(|arrival| arrival.id == id);
        let arrival = arrival.context("the request did not come")?;
        let found = arrival.headers.get(name).and_then(|found| found.to_str().ok());
        let expected = (value != "-").then_some(value);
        ensure!(found == expected, "it was {found:?}");
        Ok(())
    }
}

fn fault(kind: &str, count: Option<&&str>) -> Result<SiteFault> {
    let count = count.and_then(|count| count.parse().ok()).unwrap_or(2);
    Ok(match kind {
        "reject" => SiteFault::Reject,
        "reset" => SiteFault::Reset,
        "other-id" => SiteFault::WrongId,
        "cut" => SiteFault::Cut,
        "fail" => SiteFault::Fail,
        "hang" => SiteFault::Hang,
        "unsealed" => SiteFault::Unsealed,
        "cut-after" => SiteFault::CutAfter(count),
        "torn-after" => SiteFault::CutWithinEventAfter(count),
        "silent-after" => SiteFault::StallAfter(count),
        "unsure" => SiteFault::LowConfidence,
        _ => bail!("there is no such fault"),
    })
}

fn unescape(text: &str) -> String {
    text.replace("\\s", " ").replace("\\r", "\r").replace("\\n", "\n")
}

/// Words of a line of the form `name=value`, and plain words.
struct Options<'a>(&'a [&'a str]);

impl<'a> Options<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find_map(|word| word.split_once('=').filter(|(n, _)| *n == name))
            .map(|(_, v)| v)
    }

    fn has(&self, word: &str) -> bool {
        self.0.contains(&word)
    }
}
