//! A stand-in for the platform: table, objects, list, ratings.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde::Deserialize;
use store::{Instance, Page, RatingSample, Row, Transaction, TransactionOutcome};
use tokio_util::sync::CancellationToken;

use crate::http_server::{AnswerBody, Connections, Handler, full, json, read, serve};

/// Rows in one page of a scan.
const PAGE: usize = 500;

/// How the platform misbehaves.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Every call is refused with a failing status.
    pub out: bool,
    /// Every call hangs.
    pub silent: bool,
    /// Every call takes this much longer.
    pub delay: Duration,
    /// The replies to so many writes are lost after they took effect.
    pub lose_replies: u32,
    /// So many writes are let through before the platform goes out.
    pub out_after_writes: Option<u32>,
    /// Writes in a second; more are refused.
    pub write_rate: Option<u32>,
    /// The list keeps what it had when this was set.
    pub frozen_list: bool,
    /// Ratings are out.
    pub ratings_out: bool,
}

/// The running stand-in; clones share its state.
#[derive(Clone)]
pub struct PlatformFake {
    addr: SocketAddr,
    state: Arc<State>,
    stop: CancellationToken,
}

/// The platform as one entry instance reaches it: with addresses of its own
/// for its peers, and faults that concern it alone.
#[derive(Clone)]
pub struct PlatformView {
    addr: SocketAddr,
    view: Arc<View>,
}

struct View {
    state: Arc<State>,
    faults: Mutex<PlatformFaults>,
    addrs: Mutex<HashMap<String, SocketAddr>>,
}

#[derive(Default)]
struct State {
    rows: Mutex<BTreeMap<String, Row>>,
    objects: Mutex<BTreeMap<String, Bytes>>,
    list: Mutex<Vec<Instance>>,
    shown: Mutex<Vec<Instance>>,
    faults: Mutex<PlatformFaults>,
    calls: Mutex<Calls>,
}

#[derive(Default)]
struct Calls {
    reads: u64,
    writes: u64,
    window: Option<(Instant, u32)>,
}

impl PlatformFake {
    /// Starts the stand-in on a free loopback port.
    pub async fn start(stop: CancellationToken) -> Result<Self> {
        let state = Arc::new(State::default());
        let view = Arc::new(View::new(state.clone()));
        let addr = serve(view, Connections::default(), stop.clone()).await?;
        Ok(PlatformFake { addr, state, stop })
    }

    /// Starts another listener on the same state.
    pub async fn view(&self) -> Result<PlatformView> {
        let view = Arc::new(View::new(self.state.clone()));
        let addr = serve(view.clone(), Connections::default(), self.stop.clone()).await?;
        Ok(PlatformView { addr, view })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the list.
    pub fn set_list(&self, list: Vec<Instance>) {
        *self.state.list.lock().unwrap() = list;
    }

    /// Changes the list.
    pub fn change_list(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        change(&mut self.state.list.lock().unwrap());
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.state.faults.lock().unwrap());
    }

    /// The rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let rows = self.state.rows.lock().unwrap();
        rows.values().filter(|row| row.key.starts_with(prefix)).cloned().collect()
    }

    /// Reads and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        let calls = self.state.calls.lock().unwrap();
        (calls.reads, calls.writes)
    }
}

impl PlatformView {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes how the platform misbehaves towards this instance.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.view.faults.lock().unwrap());
    }

    /// Sets the address under which this instance sees another one.
    pub fn set_addr(&self, id: &str, addr: SocketAddr) {
        self.view.addrs.lock().unwrap().insert(id.to_owned(), addr);
    }
}

impl View {
    fn new(state: Arc<State>) -> Self {
        View { state, faults: Mutex::default(), addrs: Mutex::default() }
    }
}

#[derive(Deserialize)]
struct ReadBody {
    keys: Vec<String>,
}

#[derive(Deserialize)]
struct ScanBody {
    prefix: String,
    after: String,
}

impl Handler for View {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<AnswerBody>> {
        for faults in [&self.faults, &self.state.faults] {
            let faults = faults.lock().unwrap().clone();
            tokio::time::sleep(faults.delay).await;
            if faults.silent {
                std::future::pending::<()>().await;
            }
            if faults.out {
                return Some(json(503, &"out"));
            }
        }
        let state = &self.state;
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = read(request).await?;
        match (method, path.as_str()) {
            (Method::POST, "/table/transact") => state.transact(&body, &self.faults),
            (Method::POST, "/table/read") => Some(json(200, &state.read(&body)?)),
            (Method::POST, "/table/scan") => Some(json(200, &state.scan(&body)?)),
            (Method::GET, "/list") => Some(json(200, &self.list())),
            (Method::POST, "/rate") if state.ratings_out() => Some(json(503, &"out")),
            (Method::POST, "/rate") => Some(json(200, &rate(&body)?)),
            (method, path) => Some(state.object(&method, path, body)),
        }
    }
}

impl View {
    /// The list with this instance's addresses of the others.
    fn list(&self) -> Vec<Instance> {
        let mut list = self.state.list();
        let addrs = self.addrs.lock().unwrap();
        for instance in &mut list {
            if let Some(addr) = addrs.get(&*instance.id) {
                instance.addr = *addr;
            }
        }
        list
    }
}

impl State {
    fn transact(&self, body: &[u8], own: &Mutex<PlatformFaults>) -> Option<Response<AnswerBody>> {
        if !self.admit_write() {
            return Some(json(429, &"too many writes"));
        }
        let transaction: Transaction = serde_json::from_slice(body).ok()?;
        let outcome = self.apply(transaction);
        let lost = [own, &self.faults].map(|faults| after_write(&mut faults.lock().unwrap()));
        if lost.contains(&true) {
            return None;
        }
        Some(json(200, &outcome))
    }

    fn ratings_out(&self) -> bool {
        self.faults.lock().unwrap().ratings_out
    }

    fn admit_write(&self) -> bool {
        let rate = self.faults.lock().unwrap().write_rate;
        let mut calls = self.calls.lock().unwrap();
        calls.writes += 1;
        let Some(rate) = rate else { return true };
        let now = Instant::now();
        let (start, count) = calls.window.unwrap_or((now, 0));
        let fresh = now.duration_since(start) >= Duration::from_secs(1);
        let (start, count) = if fresh { (now, 0) } else { (start, count) };
        calls.window = Some((start, count + 1));
        count < rate
    }

    fn apply(&self, transaction: Transaction) -> TransactionOutcome {
        let mut rows = self.rows.lock().unwrap();
        let version =
            |rows: &BTreeMap<String, Row>, key: &str| rows.get(key).map_or(0, |r| r.version);
        let applied = transaction.conditions.iter().all(|c| version(&rows, &c.key) == c.version);
        if applied {
            for write in transaction.writes {
                let version = version(&rows, &write.key) + 1;
                match write.value {
                    Some(value) => {
                        let row = Row { key: write.key.clone(), version, value };
                        rows.insert(write.key, row);
                    }
                    None => {
                        rows.remove(&write.key);
                    }
                }
            }
        }
        let after = transaction.conditions.iter().map(|c| row_or_none(&rows, &c.key));
        TransactionOutcome { applied, rows: after.collect() }
    }

    fn read(&self, body: &[u8]) -> Option<Vec<Row>> {
        self.calls.lock().unwrap().reads += 1;
        let body: ReadBody = serde_json::from_slice(body).ok()?;
        let rows = self.rows.lock().unwrap();
        Some(body.keys.iter().map(|key| row_or_none(&rows, key)).collect())
    }

    fn scan(&self, body: &[u8]) -> Option<Page> {
        self.calls.lock().unwrap().reads += 1;
        let body: ScanBody = serde_json::from_slice(body).ok()?;
        let rows = self.rows.lock().unwrap();
        let mut found =
            rows.values().filter(|row| row.key.starts_with(&body.prefix) && row.key > body.after);
        let page: Vec<Row> = found.by_ref().take(PAGE).cloned().collect();
        Some(Page { rows: page, more: found.next().is_some() })
    }

    fn list(&self) -> Vec<Instance> {
        let mut shown = self.shown.lock().unwrap();
        if !self.faults.lock().unwrap().frozen_list {
            *shown = self.list.lock().unwrap().clone();
        }
        shown.clone()
    }

    fn object(&self, method: &Method, path: &str, body: Bytes) -> Response<AnswerBody> {
        let Some(hash) = path.strip_prefix("/objects/") else { return json(404, &"no such path") };
        let mut objects = self.objects.lock().unwrap();
        match *method {
            Method::PUT => {
                objects.insert(hash.to_owned(), body);
                json(200, &())
            }
            _ => match objects.get(hash) {
                Some(body) => Response::new(full(body.clone())),
                None => json(404, &"no such object"),
            },
        }
    }
}

/// What a write that took effect sets off; true if its reply is lost.
fn after_write(faults: &mut PlatformFaults) -> bool {
    if let Some(left) = &mut faults.out_after_writes {
        *left = left.saturating_sub(1);
        if *left == 0 {
            faults.out_after_writes = None;
            faults.out = true;
        }
    }
    let lost = faults.lose_replies > 0;
    faults.lose_replies = faults.lose_replies.saturating_sub(1);
    lost
}

fn row_or_none(rows: &BTreeMap<String, Row>, key: &str) -> Row {
    let none = || Row { key: key.to_owned(), version: 0, value: serde_json::Value::Null };
    rows.get(key).cloned().unwrap_or_else(none)
}

/// Reads the quality that a fake engine wrote into its answer.
fn rate(body: &[u8]) -> Option<f64> {
    let sample: RatingSample = serde_json::from_slice(body).ok()?;
    let mark = sample.answer.split_once("quality=")?.1;
    let digits: String = mark.chars().take_while(|c| c.is_ascii_digit() || *c == '.').collect();
    digits.trim_end_matches('.').parse().ok()
}
