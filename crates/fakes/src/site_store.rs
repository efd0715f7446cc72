//! A stand-in for the store of the users' platform: tables with feeds.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::http_server::{AnswerBody, Connections, Handler, json as answer, read, serve};

/// How the store misbehaves.
#[derive(Debug, Clone, Default)]
pub struct SiteStoreFaults {
    /// Answers 503 to everything.
    pub out: bool,
    /// Answers nothing.
    pub silent: bool,
    /// Does so many writes without answering.
    pub lose_replies: u32,
}

/// A running store; clones share its state.
#[derive(Clone)]
pub struct SiteStore {
    addr: SocketAddr,
    state: Arc<State>,
    connections: Connections,
}

struct State {
    rows: Mutex<Rows>,
    changed: Notify,
    faults: Mutex<SiteStoreFaults>,
    started: Instant,
}

#[derive(Default)]
struct Rows {
    revision: u64,
    compacted: u64,
    rows: BTreeMap<(String, String), Row>,
    calls: HashMap<String, u64>,
    feeds: HashMap<String, usize>,
}

struct Row {
    value: Option<Vec<u8>>,
    revision: u64,
}

impl SiteStore {
    /// Starts the store on a free loopback port.
    pub async fn start(stop: CancellationToken) -> Result<Self> {
        let state = Arc::new(State {
            rows: Mutex::default(),
            changed: Notify::new(),
            faults: Mutex::default(),
            started: Instant::now(),
        });
        let connections = Connections::default();
        let addr = serve(state.clone(), connections.clone(), stop).await?;
        Ok(SiteStore { addr, state, connections })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.state.set(table, key, Some(value.to_vec()));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.set(table, key, None);
    }

    /// The value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.state.rows.lock().unwrap();
        rows.rows.get(&(table.to_owned(), key.to_owned()))?.value.clone()
    }

    /// Forgets the history; feeds from before answer 410.
    pub fn compact(&self) {
        let mut rows = self.state.rows.lock().unwrap();
        rows.compacted = rows.revision;
    }

    /// Changes how the store misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut SiteStoreFaults)) {
        change(&mut self.state.faults.lock().unwrap());
    }

    /// Breaks all open connections.
    pub fn break_connections(&self) {
        self.connections.break_all();
        self.connections.admit();
    }

    /// How many feeds of a table are held open.
    pub fn open_feeds(&self, table: &str) -> usize {
        self.state.rows.lock().unwrap().feeds.get(table).copied().unwrap_or(0)
    }

    /// How many calls came to a path.
    pub fn calls(&self, path: &str) -> u64 {
        self.state.rows.lock().unwrap().calls.get(path).copied().unwrap_or(0)
    }
}

impl Handler for State {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<AnswerBody>> {
        let path = request.uri().path().to_owned();
        *self.rows.lock().unwrap().calls.entry(path.clone()).or_default() += 1;
        let faults = self.faults.lock().unwrap().clone();
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if faults.out {
            return Some(answer(503, &json!({})));
        }
        let query = query(request.uri().query().unwrap_or_default());
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/rows-get") => Some(answer(200, &self.get_rows(&query))),
            (Method::GET, "/rows-feed") => Some(self.feed(&query).await),
            (Method::POST, "/rows-tx") => {
                let body = read(request).await?;
                let (status, value) = self.transact(&body)?;
                let mut faults = self.faults.lock().unwrap();
                if faults.lose_replies > 0 {
                    faults.lose_replies -= 1;
                    return None;
                }
                Some(answer(status, &value))
            }
            _ => Some(answer(404, &json!({}))),
        }
    }
}

impl State {
    fn set(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut rows = self.rows.lock().unwrap();
        rows.revision += 1;
        let revision = rows.revision;
        rows.rows.insert((table.to_owned(), key.to_owned()), Row { value, revision });
        drop(rows);
        self.changed.notify_waiters();
    }

    fn get_rows(&self, query: &HashMap<String, String>) -> Value {
        let rows = self.rows.lock().unwrap();
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let held = rows
            .rows
            .iter()
            .filter(|((name, key), row)| *name == table && *key >= from && row.value.is_some());
        let held: Vec<Value> = held.map(|((_, key), row)| shown(&table, key, row)).collect();
        json!({ "rows": held, "has_more": false, "schema_version": rows.revision,
            "now_ms": self.started.elapsed().as_millis() as u64 })
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<AnswerBody> {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let until = tokio::time::Instant::now() + Duration::from_millis(number("wait_ms"));
        let _held = HeldFeed::new(self, &table);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(answer) = self.changes(&table, number("since_revision")) {
                return answer;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                let rows = self.rows.lock().unwrap();
                return answer(200, &json!({ "rows": [], "schema_version": rows.revision }));
            }
        }
    }

    fn changes(&self, table: &str, since: u64) -> Option<Response<AnswerBody>> {
        let rows = self.rows.lock().unwrap();
        if since < rows.compacted {
            return Some(answer(410, &json!({})));
        }
        let changed =
            rows.rows.iter().filter(|((name, _), row)| name == table && row.revision > since);
        let mut changed: Vec<(&String, &Row)> = changed.map(|((_, key), row)| (key, row)).collect();
        changed.sort_by_key(|(_, row)| row.revision);
        if changed.is_empty() {
            return None;
        }
        let shown: Vec<Value> =
            changed.into_iter().map(|(key, row)| shown(table, key, row)).collect();
        Some(answer(200, &json!({ "rows": shown, "schema_version": rows.revision })))
    }

    fn transact(&self, body: &[u8]) -> Option<(u16, Value)> {
        let tx: Value = serde_json::from_slice(body).ok()?;
        let mut rows = self.rows.lock().unwrap();
        let empty = Vec::new();
        let mut conflicts = Vec::new();
        let mut holds = true;
        for condition in tx["expected_revision"].as_array().unwrap_or(&empty) {
            let (table, key) = place(condition)?;
            let row = rows.rows.get(&(table.clone(), key.clone()));
            let row = row.filter(|row| row.value.is_some());
            let revision = row.map_or(0, |row| row.revision);
            holds &= Some(revision) == condition["schema_version"].as_u64();
            conflicts.extend(row.map(|row| shown(&table, &key, row)));
        }
        if !holds {
            return Some((412, json!({ "rows": conflicts })));
        }
        rows.revision += 1;
        let revision = rows.revision;
        for write in tx["write"].as_array().unwrap_or(&empty) {
            let value = STANDARD.decode(write["value"].as_str()?).ok();
            rows.rows.insert(place(write)?, Row { value, revision });
        }
        drop(rows);
        self.changed.notify_waiters();
        Some((200, json!({ "schema_version": revision })))
    }
}

/// A feed that is held open.
struct HeldFeed<'a> {
    state: &'a State,
    table: &'a str,
}

impl<'a> HeldFeed<'a> {
    fn new(state: &'a State, table: &'a str) -> Self {
        *state.rows.lock().unwrap().feeds.entry(table.to_owned()).or_default() += 1;
        HeldFeed { state, table }
    }
}

impl Drop for HeldFeed<'_> {
    fn drop(&mut self) {
        if let Some(feeds) = self.state.rows.lock().unwrap().feeds.get_mut(self.table) {
            *feeds -= 1;
        }
    }
}

fn place(row: &Value) -> Option<(String, String)> {
    Some((row["table"].as_str()?.to_owned(), row["key"].as_str()?.to_owned()))
}

fn shown(table: &str, key: &str, row: &Row) -> Value {
    let value = row.value.as_ref().map(|value| STANDARD.encode(value));
    json!({ "table": table, "part": "", "key": key, "value": value,
        "schema_version": row.revision, "deleted": row.value.is_none() })
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
