//! A fake of the store of the users' platform: tables whose changes are read by long polling.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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

use crate::http_server::{
    Connections, Handler, ResponseBody, json_response, json_text_response, read_body, serve,
};
use crate::odd_rows::insert_entries;

/// Faults to inject into the store.
#[derive(Debug, Clone, Default)]
pub struct SiteStoreFaults {
    /// Every call fails with status 503.
    pub unavailable: bool,
    /// No call is answered that is open meanwhile, also not later.
    pub hang: bool,
    /// How long each answer takes.
    pub delay: Duration,
    /// The number of upcoming writes that are handled without a reply: their connections
    /// are closed instead.
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
    tables: Mutex<Tables>,
    /// Notified after every change of a row.
    changed: Notify,
    faults: Mutex<SiteStoreFaults>,
    /// The number of times that it stopped answering.
    hangs: AtomicU64,
    started: Instant,
}

#[derive(Default)]
struct Tables {
    /// Rises each time that the store comes back from an older copy.
    era: u64,
    /// The copy: the revision and the rows.
    copy: (u64, BTreeMap<(String, String), Row>),
    /// The revision of the last write.
    revision: u64,
    /// The oldest revision that a feed can start from.
    compacted_revision: u64,
    /// The rows by table and key.
    rows: BTreeMap<(String, String), Row>,
    /// Rows that can't be read, in JSON, which all pages of a table contain.
    unreadable: HashMap<String, Vec<String>>,
    /// The number of calls by path.
    calls: HashMap<String, u64>,
    /// The number of open feeds by table.
    open_feeds: HashMap<String, usize>,
}

#[derive(Clone)]
struct Row {
    /// `None` once the row is deleted; a feed reports the deletion.
    value: Option<Vec<u8>>,
    revision: u64,
}

impl SiteStore {
    /// Starts the store on a free loopback port.
    pub async fn start(stop: CancellationToken) -> Result<Self> {
        let state = Arc::new(State {
            tables: Mutex::default(),
            changed: Notify::new(),
            faults: Mutex::default(),
            hangs: AtomicU64::default(),
            started: Instant::now(),
        });
        let connections = Connections::default();
        let addr = serve(state.clone(), connections.clone(), stop).await?;
        Ok(SiteStore { addr, state, connections })
    }

    /// The address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.state.set(table, key, Some(value.to_vec()));
    }

    /// Adds rows in JSON to all pages of a table, whether they can be read or not.
    pub fn add_unreadable(&self, table: &str, rows: Vec<String>) {
        let mut tables = self.state.tables.lock().unwrap();
        tables.unreadable.entry(table.to_owned()).or_default().extend(rows);
        drop(tables);
        self.state.changed.notify_waiters();
    }

    /// Deletes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.set(table, key, None);
    }

    /// The value of a row, if there is one.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let tables = self.state.tables.lock().unwrap();
        tables.rows.get(&(table.to_owned(), key.to_owned()))?.value.clone()
    }

    /// Discards the history: feeds from an older revision fail with status 410.
    pub fn compact(&self) {
        let mut tables = self.state.tables.lock().unwrap();
        tables.compacted_revision = tables.revision;
    }

    /// Keeps a copy of all rows for [`SiteStore::revert`].
    pub fn take_copy(&self) {
        let mut tables = self.state.tables.lock().unwrap();
        tables.copy = (tables.revision, tables.rows.clone());
    }

    /// Comes back from the copy: what was written since is lost, and revisions are given out
    /// again.
    pub fn revert(&self) {
        self.revert_rows();
        self.close_connections();
    }

    /// The same, but connections and calls stay open.
    pub fn revert_rows(&self) {
        let mut tables = self.state.tables.lock().unwrap();
        tables.era += 1;
        (tables.revision, tables.rows) = tables.copy.clone();
        tables.compacted_revision = tables.revision;
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut SiteStoreFaults)) {
        let mut faults = self.state.faults.lock().unwrap();
        let was_hanging = faults.hang;
        change(&mut faults);
        if faults.hang && !was_hanging {
            self.state.hangs.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Closes all open connections and accepts new ones.
    pub fn close_connections(&self) {
        self.connections.close_all();
        self.connections.stop_refusing();
    }

    /// The number of open feeds of a table.
    pub fn open_feeds(&self, table: &str) -> usize {
        self.state.tables.lock().unwrap().open_feeds.get(table).copied().unwrap_or(0)
    }

    /// The number of calls so far, by path.
    pub fn all_calls(&self) -> HashMap<String, u64> {
        self.state.tables.lock().unwrap().calls.clone()
    }

    /// The number of calls to a path so far.
    pub fn calls(&self, path: &str) -> u64 {
        self.state.tables.lock().unwrap().calls.get(path).copied().unwrap_or(0)
    }
}

impl Handler for State {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let hangs = self.hangs.load(Ordering::Relaxed);
        let mut response = self.respond(request).await?;
        let delay = self.faults.lock().unwrap().delay;
        tokio::time::sleep(delay).await;
        if self.hangs.load(Ordering::Relaxed) > hangs {
            std::future::pending::<()>().await;
        }
        let era = self.tables.lock().unwrap().era;
        if era > 0 {
            response.headers_mut().insert("store-era", era.into());
        }
        Some(response)
    }
}

impl State {
    async fn respond(&self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let path = request.uri().path().to_owned();
        *self.tables.lock().unwrap().calls.entry(path.clone()).or_default() += 1;
        let faults = self.faults.lock().unwrap().clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.unavailable {
            return Some(json_response(503, &json!({})));
        }
        let query = parse_query(request.uri().query().unwrap_or_default());
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/rows-get") => {
                let table = query.get("table").map(String::as_str).unwrap_or_default();
                Some(self.page_response(table, &self.get_rows(&query)))
            }
            (Method::GET, "/rows-feed") => Some(self.feed(&query).await),
            (Method::POST, "/rows-tx") => {
                let body = read_body(request).await?;
                let (status, value) = self.transact(&body)?;
                let mut faults = self.faults.lock().unwrap();
                if faults.lose_replies > 0 {
                    faults.lose_replies -= 1;
                    return None;
                }
                Some(json_response(status, &value))
            }
            _ => Some(json_response(404, &json!({}))),
        }
    }

    fn set(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut tables = self.tables.lock().unwrap();
        tables.revision += 1;
        let revision = tables.revision;
        tables.rows.insert((table.to_owned(), key.to_owned()), Row { value, revision });
        drop(tables);
        self.changed.notify_waiters();
    }

    fn get_rows(&self, query: &HashMap<String, String>) -> Value {
        let tables = self.tables.lock().unwrap();
        let table = query.get("table").cloned().unwrap_or_default();
        let from = query.get("from").cloned().unwrap_or_default();
        let found = tables
            .rows
            .iter()
            .filter(|((name, key), row)| *name == table && *key >= from && row.value.is_some());
        let found: Vec<Value> = found.map(|((_, key), row)| row_json(&table, key, row)).collect();
        json!({ "rows": found, "has_more": false, "schema_version": tables.revision,
            "now_ms": self.started.elapsed().as_millis() as u64 })
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<ResponseBody> {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(number("wait_ms"));
        let _open = OpenFeed::new(self, &table);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(response) = self.changes_since(&table, number("since_revision")) {
                return response;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                let revision = self.tables.lock().unwrap().revision;
                return json_response(200, &json!({ "rows": [], "schema_version": revision }));
            }
        }
    }

    /// The changes of a table after a revision, or status 410 if that revision is compacted;
    /// `None` if there are no changes yet.
    fn changes_since(&self, table: &str, since: u64) -> Option<Response<ResponseBody>> {
        let tables = self.tables.lock().unwrap();
        if since < tables.compacted_revision || since > tables.revision {
            return Some(json_response(410, &json!({})));
        }
        let changed =
            tables.rows.iter().filter(|((name, _), row)| name == table && row.revision > since);
        let mut changed: Vec<(&String, &Row)> = changed.map(|((_, key), row)| (key, row)).collect();
        changed.sort_by_key(|(_, row)| row.revision);
        if changed.is_empty() {
            return None;
        }
        let found: Vec<Value> =
            changed.into_iter().map(|(key, row)| row_json(table, key, row)).collect();
        let page = json!({ "rows": found, "schema_version": tables.revision });
        drop(tables);
        Some(self.page_response(table, &page))
    }

    /// A response with rows of a table.
    fn page_response(&self, table: &str, page: &Value) -> Response<ResponseBody> {
        let tables = self.tables.lock().unwrap();
        let unreadable = tables.unreadable.get(table).map_or(&[][..], Vec::as_slice);
        let text = insert_entries(&page.to_string(), "\"rows\":[", unreadable);
        json_text_response(text)
    }

    /// Applies a transaction if its conditions hold, and returns the status and the body of
    /// the response; `None` if the transaction can't be parsed.
    fn transact(&self, body: &[u8]) -> Option<(u16, Value)> {
        let tx: Value = serde_json::from_slice(body).ok()?;
        let mut tables = self.tables.lock().unwrap();
        let empty = Vec::new();
        let mut conflicts = Vec::new();
        let mut conditions_hold = true;
        for condition in tx["expected_revision"].as_array().unwrap_or(&empty) {
            let (table, key) = row_id(condition)?;
            let row = tables.rows.get(&(table.clone(), key.clone()));
            let row = row.filter(|row| row.value.is_some());
            let revision = row.map_or(0, |row| row.revision);
            conditions_hold &= Some(revision) == condition["schema_version"].as_u64();
            conflicts.extend(row.map(|row| row_json(&table, &key, row)));
        }
        if !conditions_hold {
            return Some((412, json!({ "rows": conflicts })));
        }
        tables.revision += 1;
        let revision = tables.revision;
        for write in tx["write"].as_array().unwrap_or(&empty) {
            let value = STANDARD.decode(write["value"].as_str()?).ok();
            tables.rows.insert(row_id(write)?, Row { value, revision });
        }
        for removed in tx["remove"].as_array().unwrap_or(&empty) {
            if let Some(row) = tables.rows.get_mut(&row_id(removed)?) {
                *row = Row { value: None, revision };
            }
        }
        drop(tables);
        self.changed.notify_waiters();
        Some((200, json!({ "schema_version": revision })))
    }
}

/// Counts a feed as open until it is dropped.
struct OpenFeed<'a> {
    state: &'a State,
    table: &'a str,
}

impl<'a> OpenFeed<'a> {
    fn new(state: &'a State, table: &'a str) -> Self {
        *state.tables.lock().unwrap().open_feeds.entry(table.to_owned()).or_default() += 1;
        OpenFeed { state, table }
    }
}

impl Drop for OpenFeed<'_> {
    fn drop(&mut self) {
        if let Some(feeds) = self.state.tables.lock().unwrap().open_feeds.get_mut(self.table) {
            *feeds -= 1;
        }
    }
}

/// The table and key that a condition or a write names.
fn row_id(row: &Value) -> Option<(String, String)> {
    Some((row["table"].as_str()?.to_owned(), row["key"].as_str()?.to_owned()))
}

fn row_json(table: &str, key: &str, row: &Row) -> Value {
    let value = row.value.as_ref().map(|value| STANDARD.encode(value));
    json!({ "table": table, "part": "", "key": key, "value": value,
        "schema_version": row.revision, "deleted": row.value.is_none() })
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
