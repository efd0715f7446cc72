//! A booking service: every call that reaches it takes effect.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::http_server::{AnswerBody, Connections, Handler, json, read, serve};
use crate::journal::{Journal, JournalEntry};

/// How a booking service misbehaves.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Every call takes this much longer, after it took effect.
    pub delay: Duration,
    /// The replies to so many calls are lost after they took effect.
    pub lose_replies: u32,
    /// It accepts calls, lets them take effect, and never answers.
    pub silent: bool,
    /// It refuses calls with this status before they take effect.
    pub status: Option<u16>,
    /// Answers carry another request's id.
    pub cross_ids: bool,
}

/// A running booking service; clones share its state.
#[derive(Clone)]
pub struct BookingService {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    id: String,
    faults: Mutex<ServiceFaults>,
    booked: AtomicU64,
    journal: Journal,
    connections: Connections,
}

impl BookingService {
    /// Starts a service on a free loopback port.
    pub async fn start(id: &str, journal: Journal, stop: CancellationToken) -> Result<Self> {
        let connections = Connections::default();
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            faults: Mutex::default(),
            booked: AtomicU64::new(0),
            journal,
            connections: connections.clone(),
        });
        let addr = serve(Arc::new(Served(inner.clone())), connections, stop).await?;
        Ok(BookingService { addr, inner })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.inner.faults.lock().unwrap());
    }

    /// Breaks all connections and stays down until [`BookingService::revive`].
    pub fn kill(&self) {
        self.inner.connections.break_all();
    }

    /// Comes back after [`BookingService::kill`].
    pub fn revive(&self) {
        self.inner.connections.admit();
    }
}

struct Served(Arc<Inner>);

impl Handler for Served {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<AnswerBody>> {
        let inner = &self.0;
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (id, account) = (header("x-request-id"), header("x-client-account"));
        let what = request.uri().path().to_owned();
        let body = read(request).await?;
        let faults = inner.faults.lock().unwrap().clone();
        if let Some(status) = faults.status {
            return Some(with_id(json(status, &"told to refuse"), &id));
        }
        let entry = JournalEntry {
            server: inner.id.clone(),
            id: id.clone(),
            what,
            account,
            body,
            whole: false,
            tokens: 0,
        };
        let place = inner.journal.begin(entry);
        let number = inner.booked.fetch_add(1, Ordering::SeqCst) + 1;
        tokio::time::sleep(faults.delay).await;
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if inner.loses_reply() {
            return None;
        }
        inner.journal.whole(place, 0);
        let answer = json(201, &json!({ "booking": format!("{}-{number}", inner.id) }));
        let id = if faults.cross_ids { "crossed" } else { &id };
        Some(with_id(answer, id))
    }
}

impl Inner {
    fn loses_reply(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let loses = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        loses
    }
}

fn with_id(mut response: Response<AnswerBody>, id: &str) -> Response<AnswerBody> {
    if let Ok(value) = http::HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}
