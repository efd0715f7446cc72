//! A fake booking service, which executes every call that reaches it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::http_server::{Connections, Handler, ResponseBody, json_response, read_body, serve};
use crate::request_log::{RecordedRequest, RequestLog};

/// Faults to inject into a booking service.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// The delay between the execution of a call and its response.
    pub delay: Duration,
    /// The number of upcoming calls that are executed without a reply: their connections are
    /// closed instead.
    pub lose_replies: u32,
    /// Calls are executed and never answered.
    pub hang: bool,
    /// The status with which calls are refused, without being executed.
    pub status: Option<u16>,
    /// Responses carry the id of another request.
    pub wrong_id: bool,
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
    booking_count: AtomicU64,
    request_log: RequestLog,
    connections: Connections,
}

impl BookingService {
    /// Starts a service on a free loopback port.
    pub async fn start(id: &str, request_log: RequestLog, stop: CancellationToken) -> Result<Self> {
        let connections = Connections::default();
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            faults: Mutex::default(),
            booking_count: AtomicU64::new(0),
            request_log,
            connections: connections.clone(),
        });
        let addr = serve(Arc::new(ServiceHandler(inner.clone())), connections, stop).await?;
        Ok(BookingService { addr, inner })
    }

    /// The address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut self.inner.faults.lock().unwrap());
    }

    /// Closes all connections and refuses new ones until
    /// [`BookingService::accept_connections`].
    pub fn refuse_connections(&self) {
        self.inner.connections.close_all();
    }

    /// Accepts connections again after [`BookingService::refuse_connections`].
    pub fn accept_connections(&self) {
        self.inner.connections.stop_refusing();
    }
}

struct ServiceHandler(Arc<Inner>);

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let inner = &self.0;
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let (id, account) = (header("x-request-id"), header("x-client-account"));
        let path = request.uri().path().to_owned();
        let body = read_body(request).await?;
        let faults = inner.faults.lock().unwrap().clone();
        if let Some(status) = faults.status {
            return Some(with_request_id(json_response(status, &"injected fault"), &id));
        }
        let recorded = RecordedRequest {
            server: inner.id.clone(),
            id: id.clone(),
            target: path,
            account,
            body,
            complete: false,
            tokens: 0,
        };
        let index = inner.request_log.record(recorded);
        let number = inner.booking_count.fetch_add(1, Ordering::SeqCst) + 1;
        tokio::time::sleep(faults.delay).await;
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if inner.loses_reply() {
            return None;
        }
        inner.request_log.mark_complete(index, 0);
        let response = json_response(201, &json!({ "booking": format!("{}-{number}", inner.id) }));
        let id = if faults.wrong_id { "crossed" } else { &id };
        Some(with_request_id(response, id))
    }
}

impl Inner {
    /// Returns whether this reply is to be lost, and counts it.
    fn loses_reply(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let lost = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        lost
    }
}

fn with_request_id(mut response: Response<ResponseBody>, id: &str) -> Response<ResponseBody> {
    if let Ok(value) = http::HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}
