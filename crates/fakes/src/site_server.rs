//! A stand-in for a server of the users' platform, plain or with models.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio_util::sync::CancellationToken;

use crate::http_server::{AnswerBody, Connections, Handler, full, read, serve};

/// Events of a whole stream.
pub const STREAM_EVENTS: u64 = 5;
/// The pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// What a server does with one request instead of answering it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteFault {
    /// Says that it does not run it.
    Reject,
    /// Runs it and breaks the connection.
    Reset,
    /// Runs it and answers another request's id.
    OtherId,
    /// Runs it and breaks off in the middle of the answer.
    Cut,
    /// Runs it and fails with 500.
    Fail,
    /// Runs it and never answers.
    Hang,
    /// Runs it and answers without its seal.
    Unsealed,
    /// Breaks a stream off behind so many events.
    CutAfter(u64),
    /// Breaks a stream off in the middle of the event behind so many.
    TornAfter(u64),
    /// Stops sending behind so many events.
    SilentAfter(u64),
    /// Answers with a model's low opinion of it.
    Unsure,
}

/// A request that came to a server.
#[derive(Debug, Clone)]
pub struct SiteArrival {
    /// The server.
    pub server: String,
    /// The id on the wire.
    pub id: String,
    /// Whether it ran there.
    pub ran: bool,
    /// Method and path.
    pub line: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it came.
    pub at: Instant,
}

/// What came to the servers of a site.
pub type SiteJournal = Arc<Mutex<Vec<SiteArrival>>>;

/// A running server; clones share its state.
#[derive(Clone)]
pub struct SiteServer {
    addr: SocketAddr,
    state: Arc<State>,
    connections: Connections,
    stop: CancellationToken,
}

struct State {
    id: Mutex<String>,
    faults: Mutex<Vec<SiteFault>>,
    always: Mutex<Option<SiteFault>>,
    journal: SiteJournal,
}

impl SiteServer {
    /// Starts a server on a free loopback port.
    pub async fn start(id: &str, journal: SiteJournal, stop: CancellationToken) -> Result<Self> {
        let state = Arc::new(State {
            id: Mutex::new(id.to_owned()),
            faults: Mutex::default(),
            always: Mutex::default(),
            journal,
        });
        let connections = Connections::default();
        let stop = stop.child_token();
        let addr = serve(state.clone(), connections.clone(), stop.clone()).await?;
        Ok(SiteServer { addr, state, connections, stop })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Has the next request meet a fault; faults queue up.
    pub fn fault(&self, fault: SiteFault) {
        self.state.faults.lock().unwrap().push(fault);
    }

    /// Has every request meet a fault.
    pub fn always(&self, fault: Option<SiteFault>) {
        *self.state.always.lock().unwrap() = fault;
    }

    /// Gives the address to another server.
    pub fn become_other(&self, id: &str) {
        *self.state.id.lock().unwrap() = id.to_owned();
    }

    /// Stops listening and answers nothing more, while connections stay open.
    pub fn dark(&self) {
        self.always(Some(SiteFault::Hang));
        self.connections.deafen();
    }

    /// Breaks all connections and stops listening; returns once both are done.
    pub async fn down(&self) {
        self.connections.break_all();
        self.stop.cancel();
        self.connections.ended().await;
    }
}

impl Handler for State {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<AnswerBody>> {
        let head = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let id = head("x-attempt-id").unwrap_or_default();
        let expected = head("x-expect-instance");
        let last: u64 = head("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let own = self.id.lock().unwrap().clone();
        let stream = request.uri().path().starts_with("/chat/");
        let fault = self.next_fault();
        let misdirected = expected.is_some_and(|expected| expected != own);
        let runs = !misdirected && fault != Some(SiteFault::Reject);
        let line = format!("{} {}", request.method(), request.uri());
        let headers = request.headers().clone();
        let body = read(request).await?;
        let arrival = SiteArrival {
            server: own.clone(),
            id: id.clone(),
            ran: runs,
            line,
            headers,
            body,
            at: Instant::now(),
        };
        self.journal.lock().unwrap().push(arrival);
        if misdirected {
            return Some(reply(421, &own, &id, false, full("")));
        }
        match fault {
            Some(SiteFault::Reject) => {
                let mut response = reply(503, &own, &id, false, full(""));
                response.headers_mut().insert("x-not-executed", "1".parse().ok()?);
                Some(response)
            }
            Some(SiteFault::Reset) => None,
            Some(SiteFault::Hang) => std::future::pending().await,
            Some(SiteFault::Fail) => Some(reply(500, &own, &id, true, full("failed"))),
            Some(SiteFault::OtherId) => Some(reply(200, &own, "another", true, full("another's"))),
            Some(SiteFault::Unsealed) => Some(reply(200, &own, &id, false, full("unsealed"))),
            Some(SiteFault::Cut) if !stream => {
                let parts = [Ok(Frame::data(Bytes::from("half")))];
                let broken = [Err(std::io::Error::other("cut on purpose"))];
                let body = StreamBody::new(stream::iter(parts.into_iter().chain(broken)));
                Some(reply(200, &own, &id, true, BodyExt::boxed(body)))
            }
            fault if stream => Some(events(&own, &id, last, fault)),
            _ => Some(reply(200, &own, &id, true, full(format!("{id} done by {own}")))),
        }
    }
}

impl State {
    fn next_fault(&self) -> Option<SiteFault> {
        let mut faults = self.faults.lock().unwrap();
        let queued = (!faults.is_empty()).then(|| faults.remove(0));
        queued.or(*self.always.lock().unwrap())
    }
}

fn reply(
    status: u16,
    server: &str,
    id: &str,
    sealed: bool,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let headers = response.headers_mut();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("x-attempt-id", id);
    set("x-instance-id", server);
    set("x-server-load", "1,0,8,100");
    if sealed {
        set("x-server-seal", &format!("seal.{server}.{id}"));
    }
    response
}

fn events(server: &str, id: &str, last: u64, fault: Option<SiteFault>) -> Response<AnswerBody> {
    let end = match fault {
        Some(
            SiteFault::CutAfter(count)
            | SiteFault::TornAfter(count)
            | SiteFault::SilentAfter(count),
        ) => count,
        Some(SiteFault::Cut) => 0,
        _ => STREAM_EVENTS,
    };
    let event = |number: u64| format!("id: {number}\ndata: piece {number}\n\n");
    let mut parts: Vec<Result<Frame<Bytes>, std::io::Error>> =
        (last + 1..=end).map(|number| Ok(Frame::data(event(number).into()))).collect();
    let cut = Err(std::io::Error::other("cut on purpose"));
    match fault {
        Some(SiteFault::CutAfter(_) | SiteFault::Cut) => parts.push(cut),
        Some(SiteFault::TornAfter(count)) => {
            parts.push(Ok(Frame::data(format!("id: {}\nda", count + 1).into())));
            parts.push(cut);
        }
        _ => {}
    }
    let silent = matches!(fault, Some(SiteFault::SilentAfter(_)));
    let paced = stream::iter(parts).then(|part| async {
        tokio::time::sleep(EVENT_PAUSE).await;
        part
    });
    let body = if silent {
        BodyExt::boxed(StreamBody::new(paced.chain(stream::pending())))
    } else {
        BodyExt::boxed(StreamBody::new(paced))
    };
    let mut response = reply(200, server, id, true, body);
    let confidence = if fault == Some(SiteFault::Unsure) { "5" } else { "95" };
    if let Ok(value) = confidence.parse() {
        response.headers_mut().insert("x-confidence", value);
    }
    response
}
