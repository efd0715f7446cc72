//! The platform's store: rows in tables, read whole or by long polls.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::http::{Handler, Head, serve};

/// How long a call takes, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// A running store; clones share its state.
#[derive(Clone)]
pub struct Store(Arc<State>);

struct State {
    rows: Mutex<Rows>,
    changed: Notify,
    started: Instant,
}

#[derive(Default)]
struct Rows {
    version: u64,
    by_key: BTreeMap<(String, String), (Option<Vec<u8>>, u64)>,
}

impl Store {
    /// Starts the store and returns its address.
    pub async fn start() -> Result<(Self, SocketAddr)> {
        let state =
            State { rows: Mutex::default(), changed: Notify::new(), started: Instant::now() };
        let store = Store(Arc::new(state));
        let addr = serve(store.clone()).await?;
        Ok((store, addr))
    }

    /// Writes a row, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.set(table, key, Some(value.to_string().into_bytes()));
    }

    /// Drops a row.
    pub fn drop_row(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let rows = self.0.rows.lock().unwrap();
        let (value, _) = rows.by_key.get(&(table.to_owned(), key.to_owned()))?;
        serde_json::from_slice(value.as_deref()?).ok()
    }

    fn set(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut rows = self.0.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.by_key.insert((table.to_owned(), key.to_owned()), (value, version));
        drop(rows);
        self.0.changed.notify_waiters();
    }

    fn page(&self, rows: Vec<Value>, version: u64) -> Value {
        let now_ms = self.0.started.elapsed().as_millis() as u64;
        json!({ "rows": rows, "has_more": false, "schema_version": version, "now_ms": now_ms })
    }

    async fn answer(&self, head: &Head, body: &[u8]) -> Result<(u16, Value)> {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let table = query.get("table").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        match path {
            "/rows-get" => {
                let rows = self.0.rows.lock().unwrap();
                let found = rows.by_key.iter().filter(|((name, _), (value, _))| {
                    name == table && value.is_some()
                });
                let found = found.map(row_json).collect();
                Ok((200, self.page(found, rows.version)))
            }
            "/rows-feed" => {
                let until = tokio::time::Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    let changed = self.0.changed.notified();
                    tokio::pin!(changed);
                    changed.as_mut().enable();
                    {
                        let rows = self.0.rows.lock().unwrap();
                        let since = number("since_revision");
                        let mut found: Vec<_> = rows
                            .by_key
                            .iter()
                            .filter(|((name, _), (_, version))| name == table && *version > since)
                            .collect();
                        found.sort_by_key(|(_, (_, version))| *version);
                        if !found.is_empty() || tokio::time::Instant::now() >= until {
                            let found = found.into_iter().map(row_json).collect();
                            return Ok((200, self.page(found, rows.version)));
                        }
                    }
                    let _ = tokio::time::timeout_at(until, changed).await;
                }
            }
            "/rows-tx" => self.transact(&serde_json::from_slice(body)?),
            _ => Ok((404, json!({}))),
        }
    }

    fn transact(&self, tx: &Value) -> Result<(u16, Value)> {
        let entries = |name: &str| tx[name].as_array().cloned().unwrap_or_default();
        let mut rows = self.0.rows.lock().unwrap();
        let mut current = Vec::new();
        let mut holds = true;
        for condition in entries("expected_revision") {
            let row = rows.by_key.get_key_value(&id_of(&condition)?);
            let row = row.filter(|(_, (value, _))| value.is_some());
            let version = row.map_or(0, |(_, (_, version))| *version);
            holds &= condition["schema_version"].as_u64() == Some(version);
            current.extend(row.map(row_json));
        }
        if !holds {
            return Ok((412, self.page(current, rows.version)));
        }
        rows.version += 1;
        let version = rows.version;
        for write in entries("write") {
            let value = STANDARD.decode(write["value"].as_str().context("no value")?)?;
            rows.by_key.insert(id_of(&write)?, (Some(value), version));
        }
        for removed in entries("remove") {
            rows.by_key.insert(id_of(&removed)?, (None, version));
        }
        drop(rows);
        self.0.changed.notify_waiters();
        Ok((200, self.page(Vec::new(), version)))
    }
}

impl Handler for Store {
    async fn handle(&self, head: Head, body: Vec<u8>, stream: &mut TcpStream) -> Result<bool> {
        let (status, value) = self.answer(&head, &body).await?;
        tokio::time::sleep(ANSWER_TIME).await;
        let text = value.to_string();
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        stream.write_all(answer.as_bytes()).await?;
        Ok(true)
    }
}

fn id_of(row: &Value) -> Result<(String, String)> {
    let text = |name: &str| row[name].as_str().map(str::to_owned);
    Ok((text("table").context("no table")?, text("key").context("no key")?))
}

fn row_json(((table, key), (value, version)): (&(String, String), &(Option<Vec<u8>>, u64))) -> Value {
    let value_text = value.as_ref().map(|value| STANDARD.encode(value));
    json!({ "table": table, "part": "", "key": key, "value": value_text,
        "schema_version": version, "deleted": value.is_none() })
}
