//! A fake platform: the transactional table, the object store, the list of instances and
//! servers, and the ratings.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde::Deserialize;
use store::{ListEntry, Page, RatingSample, Row, Transaction, TransactionOutcome};
use tokio_util::sync::CancellationToken;

use crate::http_server::{
    Connections, Handler, ResponseBody, full_body, json_response, json_text_response, read_body,
    serve,
};
use crate::odd_rows::insert_entries;

/// The maximum number of rows in one page of a scan.
const SCAN_PAGE_ROWS: usize = 500;

/// Faults to inject into the platform.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Every call fails with status 503.
    pub unavailable: bool,
    /// No call is answered.
    pub hang: bool,
    /// The delay before a call is handled.
    pub delay: Duration,
    /// The number of upcoming writes that are handled without a reply: their connections
    /// are closed instead.
    pub lose_replies: u32,
    /// The number of writes that are still handled before the platform becomes unavailable.
    pub unavailable_after_writes: Option<u32>,
    /// The number of writes accepted per second; more fail with status 429.
    pub max_writes_per_second: Option<u32>,
    /// Changes to the list are hidden: calls get the list that was served last before this
    /// was set.
    pub frozen_list: bool,
    /// Rating calls fail with status 503.
    pub ratings_unavailable: bool,
}

/// A running fake platform; clones share its state.
#[derive(Clone)]
pub struct PlatformFake {
    addr: SocketAddr,
    state: Arc<State>,
    stop: CancellationToken,
}

/// The platform as seen by one entry instance: with its own addresses for its peers,
/// and with faults that affect only this instance.
#[derive(Clone)]
pub struct PlatformView {
    addr: SocketAddr,
    view: Arc<ViewHandler>,
}

struct ViewHandler {
    state: Arc<State>,
    faults: Mutex<PlatformFaults>,
    /// Addresses that replace those of the list, by instance id.
    addrs: Mutex<HashMap<String, SocketAddr>>,
}

#[derive(Default)]
struct State {
    rows: Mutex<BTreeMap<String, Row>>,
    objects: Mutex<BTreeMap<String, Bytes>>,
    list: Mutex<Vec<ListEntry>>,
    /// The list as it was last served.
    served_list: Mutex<Vec<ListEntry>>,
    faults: Mutex<PlatformFaults>,
    /// Entries that can't be read, in JSON, which the list and all pages of a scan contain.
    unreadable: Mutex<Vec<String>>,
    calls: Mutex<Calls>,
}

#[derive(Default)]
struct Calls {
    reads: u64,
    writes: u64,
    /// The start of the current one-second window and the writes in it.
    window: Option<(Instant, u32)>,
}

impl PlatformFake {
    /// Starts the platform on a free loopback port.
    pub async fn start(stop: CancellationToken) -> Result<Self> {
        let state = Arc::new(State::default());
        let view = Arc::new(ViewHandler::new(state.clone()));
        let addr = serve(view, Connections::default(), stop.clone()).await?;
        Ok(PlatformFake { addr, state, stop })
    }

    /// Starts another listener on the same state, for one entry instance.
    pub async fn view(&self) -> Result<PlatformView> {
        let view = Arc::new(ViewHandler::new(self.state.clone()));
        let addr = serve(view.clone(), Connections::default(), self.stop.clone()).await?;
        Ok(PlatformView { addr, view })
    }

    /// The address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the list of instances and servers.
    pub fn set_list(&self, list: Vec<ListEntry>) {
        *self.state.list.lock().unwrap() = list;
    }

    /// Changes the list of instances and servers.
    pub fn change_list(&self, change: impl FnOnce(&mut Vec<ListEntry>)) {
        change(&mut self.state.list.lock().unwrap());
    }

    /// Changes the faults that affect all instances.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.state.faults.lock().unwrap());
    }

    /// Adds entries in JSON to the list and to all pages of a scan, whether they can be read or
    /// not.
    pub fn add_unreadable(&self, entries: Vec<String>) {
        self.state.unreadable.lock().unwrap().extend(entries);
    }

    /// Writes a row of the table.
    pub fn put(&self, key: &str, value: serde_json::Value) {
        let mut rows = self.state.rows.lock().unwrap();
        let version = rows.get(key).map_or(0, |row| row.version) + 1;
        rows.insert(key.to_owned(), Row { key: key.to_owned(), version, value });
    }

    /// The rows of the table whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let rows = self.state.rows.lock().unwrap();
        rows.values().filter(|row| row.key.starts_with(prefix)).cloned().collect()
    }

    /// The numbers of reads and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        let calls = self.state.calls.lock().unwrap();
        (calls.reads, calls.writes)
    }
}

impl PlatformView {
    /// The address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the faults that affect only this instance.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.view.faults.lock().unwrap());
    }

    /// Sets the address that this instance's list contains for instance `id`.
    pub fn set_addr(&self, id: &str, addr: SocketAddr) {
        self.view.addrs.lock().unwrap().insert(id.to_owned(), addr);
    }
}

impl ViewHandler {
    fn new(state: Arc<State>) -> Self {
        ViewHandler { state, faults: Mutex::default(), addrs: Mutex::default() }
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

impl Handler for ViewHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        for faults in [&self.faults, &self.state.faults] {
            let faults = faults.lock().unwrap().clone();
            tokio::time::sleep(faults.delay).await;
            if faults.hang {
                std::future::pending::<()>().await;
            }
            if faults.unavailable {
                return Some(json_response(503, &"out"));
            }
        }
        let state = &self.state;
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let body = read_body(request).await?;
        match (method, path.as_str()) {
            (Method::POST, "/table/transact") => state.transact(&body, &self.faults),
            (Method::POST, "/table/read") => Some(json_response(200, &state.read(&body)?)),
            (Method::POST, "/table/scan") => Some(state.list_response(&state.scan(&body)?)),
            (Method::GET, "/list") => Some(state.list_response(&self.list())),
            (Method::POST, "/rate") if state.ratings_unavailable() => {
                Some(json_response(503, &"out"))
            }
            (Method::POST, "/rate") => Some(json_response(200, &rate(&body)?)),
            (method, path) => Some(state.object(&method, path, body)),
        }
    }
}

impl ViewHandler {
    /// The list, with the addresses that this instance is to use for its peers.
    fn list(&self) -> Vec<ListEntry> {
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
    fn transact(
        &self,
        body: &[u8],
        view_faults: &Mutex<PlatformFaults>,
    ) -> Option<Response<ResponseBody>> {
        if !self.admit_write() {
            return Some(json_response(429, &"too many writes"));
        }
        let transaction: Transaction = serde_json::from_slice(body).ok()?;
        let outcome = self.apply(transaction);
        let lost = [view_faults, &self.faults]
            .map(|faults| update_after_write(&mut faults.lock().unwrap()));
        if lost.contains(&true) {
            return None;
        }
        Some(json_response(200, &outcome))
    }

    /// A response with a list, to which the unreadable entries are added.
    fn list_response(&self, value: &impl serde::Serialize) -> Response<ResponseBody> {
        let text = serde_json::to_string(value).unwrap_or_default();
        let text = insert_entries(&text, "[", &self.unreadable.lock().unwrap());
        json_text_response(text)
    }

    fn ratings_unavailable(&self) -> bool {
        self.faults.lock().unwrap().ratings_unavailable
    }

    /// Counts a write; returns false if it exceeds the rate limit.
    fn admit_write(&self) -> bool {
        let limit = self.faults.lock().unwrap().max_writes_per_second;
        let mut calls = self.calls.lock().unwrap();
        calls.writes += 1;
        let Some(limit) = limit else { return true };
        let now = Instant::now();
        let (start, count) = calls.window.unwrap_or((now, 0));
        let expired = now.duration_since(start) >= Duration::from_secs(1);
        let (start, count) = if expired { (now, 0) } else { (start, count) };
        calls.window = Some((start, count + 1));
        count < limit
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
        let after = transaction.conditions.iter().map(|c| row_or_absent(&rows, &c.key));
        TransactionOutcome { applied, rows: after.collect() }
    }

    fn read(&self, body: &[u8]) -> Option<Vec<Row>> {
        self.calls.lock().unwrap().reads += 1;
        let body: ReadBody = serde_json::from_slice(body).ok()?;
        let rows = self.rows.lock().unwrap();
        Some(body.keys.iter().map(|key| row_or_absent(&rows, key)).collect())
    }

    fn scan(&self, body: &[u8]) -> Option<Page> {
        self.calls.lock().unwrap().reads += 1;
        let body: ScanBody = serde_json::from_slice(body).ok()?;
        let rows = self.rows.lock().unwrap();
        let mut matching =
            rows.values().filter(|row| row.key.starts_with(&body.prefix) && row.key > body.after);
        let page: Vec<Row> = matching.by_ref().take(SCAN_PAGE_ROWS).cloned().collect();
        Some(Page { rows: page, more: matching.next().is_some() })
    }

    fn list(&self) -> Vec<ListEntry> {
        let mut served = self.served_list.lock().unwrap();
        if !self.faults.lock().unwrap().frozen_list {
            *served = self.list.lock().unwrap().clone();
        }
        served.clone()
    }

    fn object(&self, method: &Method, path: &str, body: Bytes) -> Response<ResponseBody> {
        let Some(hash) = path.strip_prefix("/objects/") else {
            return json_response(404, &"no such path");
        };
        let mut objects = self.objects.lock().unwrap();
        match *method {
            Method::PUT => {
                objects.insert(hash.to_owned(), body);
                json_response(200, &())
            }
            _ => match objects.get(hash) {
                Some(body) => Response::new(full_body(body.clone())),
                None => json_response(404, &"no such object"),
            },
        }
    }
}

/// Updates the faults after a write was handled; returns true if its reply is to be lost.
fn update_after_write(faults: &mut PlatformFaults) -> bool {
    if let Some(left) = &mut faults.unavailable_after_writes {
        *left = left.saturating_sub(1);
        if *left == 0 {
            faults.unavailable_after_writes = None;
            faults.unavailable = true;
        }
    }
    let lost = faults.lose_replies > 0;
    faults.lose_replies = faults.lose_replies.saturating_sub(1);
    lost
}

/// The row with `key`, or one with version 0 if there is none.
fn row_or_absent(rows: &BTreeMap<String, Row>, key: &str) -> Row {
    let absent = || Row { key: key.to_owned(), version: 0, value: serde_json::Value::Null };
    rows.get(key).cloned().unwrap_or_else(absent)
}

/// Rates an answer with the quality that a fake engine wrote into its text; `None` if there
/// is none.
fn rate(body: &[u8]) -> Option<f64> {
    let sample: RatingSample = serde_json::from_slice(body).ok()?;
    let quality = sample.answer.split_once("quality=")?.1;
    let digits: String = quality.chars().take_while(|c| c.is_ascii_digit() || *c == '.').collect();
    digits.trim_end_matches('.').parse().ok()
}
