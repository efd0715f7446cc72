//! A fake backend server of the users' platform, for plain requests and model streams.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::http_server::{
    Connections, Handler, ResponseBody, accept_connections, full_body, read_body, serve,
};

/// The number of events in a complete stream.
pub const STREAM_EVENTS: u64 = 5;
/// The pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// The number of events in a stream of long ones.
const LONG_EVENTS: u64 = 80;

/// How much longer a slow server takes between two events.
const SLOW_FACTOR: u32 = 8;
/// How long a server runs a request before it crashes of it.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// How long a server is down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(300);

/// What a server does instead of answering a request normally.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteFault {
    /// Answers 503 with `x-not-executed`, and does not execute the request.
    Reject,
    /// Answers 503 with `x-not-executed` and a `retry-after` of so many milliseconds, and does
    /// not execute the request.
    RejectFor(u64),
    /// Executes the request and answers with the rejection of another one, as if an earlier
    /// response was written once more.
    RejectOther,
    /// Executes the request and answers with a rejection that names no request.
    RejectUnnamed,
    /// Executes the request and adds headers of the protocol between instances to its answer.
    InternalHeaders,
    /// Executes the request and closes the connection without a response.
    Reset,
    /// Executes the request and answers with the id of another request.
    WrongId,
    /// Executes the request and closes the connection in the middle of the response body.
    /// A stream is cut before its first event.
    Cut,
    /// Executes the request and answers 500.
    Fail,
    /// Executes the request and never answers.
    Hang,
    /// Executes the request and answers without `x-server-seal`.
    Unsealed,
    /// Closes the connection after the given event of a stream.
    CutAfter(u64),
    /// Closes the connection in the middle of the event after the given one.
    CutWithinEventAfter(u64),
    /// Sends nothing more after the given event of a stream, and keeps the connection open.
    StallAfter(u64),
    /// Executes the request and answers 200 with the text of an error, which is no event stream.
    ErrorText,
    /// Executes the request and answers with an event stream that holds an error only.
    ErrorEvent,
    /// Executes the request and answers with an event stream that holds the head and the text of
    /// an error response.
    ErrorHead,
    /// Answers with a stream of many long events.
    LongEvents,
    /// Answers with a low value of `x-confidence`.
    LowConfidence,
    /// Takes several times as long between the events of a stream.
    Slow,
    /// Sends nothing for a time after the first event of each run of a stream, and then goes on.
    Pause(Duration),
}

/// The capacity of a server that is brittle: it crashes if it has to reject too many requests.
#[derive(Debug, Clone, Copy)]
pub struct BrittleCapacity {
    /// The number of requests that it runs at a time; it rejects further ones.
    pub slots: usize,
    /// How long each request takes.
    pub work: Duration,
    /// The number of rejections in a second that it survives, which it names in
    /// `server-brittle`.
    pub max_rejections: usize,
}

/// The slots of a server; further requests wait.
#[derive(Debug, Clone)]
struct Slots {
    free: Arc<Semaphore>,
    count: usize,
    /// How long each request takes.
    work: Duration,
    /// Whether requests that arrive while half of the slots are in use fail.
    fails_under_load: bool,
}

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct SiteRequest {
    /// The id of the server.
    pub server: String,
    /// The value of `x-attempt-id`.
    pub id: String,
    /// Whether the server executed it.
    pub executed: bool,
    /// The method and the URI.
    pub request_line: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time at which its body was complete.
    pub received_at: Instant,
}

/// The requests that reached the servers of a site, in order of arrival.
pub type SiteRequestLog = Arc<Mutex<Vec<SiteRequest>>>;

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
    /// Faults for the next requests, one each, in order.
    queued_faults: Mutex<Vec<SiteFault>>,
    /// The fault for requests that no queued fault applies to.
    default_fault: Mutex<Option<SiteFault>>,
    /// The id of a prompt part that makes the server crash.
    deadly_part: Mutex<Option<String>>,
    /// The prefix of the paths whose requests make the server crash, and the number of events
    /// after which it does.
    deadly_prefix: Mutex<Option<(String, u64)>>,
    /// The prefix of the paths whose requests fail.
    failing_prefix: Mutex<Option<String>>,
    /// The value of `server-limit` in all responses.
    rate_limit: Mutex<Option<String>>,
    /// Whether all responses say that the server leaves.
    leaving: AtomicBool,
    capacity: Mutex<Option<BrittleCapacity>>,
    /// The slots of a server that runs few requests at a time.
    slots: Mutex<Option<Slots>>,
    /// The number of requests that run or wait and count towards the capacity.
    running: AtomicUsize,
    /// When requests were rejected in the last second.
    rejections: Mutex<Vec<Instant>>,
    crash: Arc<Crash>,
    request_log: SiteRequestLog,
}

impl SiteServer {
    /// Starts a server on a free loopback port.
    pub async fn start(
        id: &str,
        request_log: SiteRequestLog,
        stop: CancellationToken,
    ) -> Result<Self> {
        let state = Arc::new(State {
            id: Mutex::new(id.to_owned()),
            queued_faults: Mutex::default(),
            default_fault: Mutex::default(),
            deadly_part: Mutex::default(),
            deadly_prefix: Mutex::default(),
            failing_prefix: Mutex::default(),
            rate_limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            capacity: Mutex::default(),
            slots: Mutex::default(),
            running: AtomicUsize::new(0),
            rejections: Mutex::default(),
            crash: Arc::default(),
            request_log,
        });
        let connections = Connections::default();
        let stop = stop.child_token();
        let addr = serve(state.clone(), connections.clone(), stop.clone()).await?;
        tokio::spawn(restart_after_crashes(addr, state.clone(), connections.clone(), stop.clone()));
        Ok(SiteServer { addr, state, connections, stop })
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Queues a fault for one request.
    pub fn queue_fault(&self, fault: SiteFault) {
        self.state.queued_faults.lock().unwrap().push(fault);
    }

    /// Removes all queued faults and the one for every request.
    pub fn clear_faults(&self) {
        self.state.queued_faults.lock().unwrap().clear();
        self.set_default_fault(None);
    }

    /// Sets the fault for every request that no queued fault applies to.
    pub fn set_default_fault(&self, fault: Option<SiteFault>) {
        *self.state.default_fault.lock().unwrap() = fault;
    }

    /// Makes the server crash for a moment of each request whose prompt has this part.
    pub fn set_deadly_part(&self, part: &str) {
        *self.state.deadly_part.lock().unwrap() = Some(part.to_owned());
    }

    /// Makes the server crash for a moment of each request whose path has this prefix: after so
    /// many events of a stream, or at once if there are none.
    pub fn set_deadly_prefix(&self, prefix: &str, events: u64) {
        *self.state.deadly_prefix.lock().unwrap() = Some((prefix.to_owned(), events));
    }

    /// Makes all requests whose path has this prefix fail.
    pub fn set_failing_prefix(&self, prefix: &str) {
        *self.state.failing_prefix.lock().unwrap() = Some(prefix.to_owned());
    }

    /// Sets the value of `server-limit` in all responses from now on.
    pub fn set_rate_limit(&self, limit: Option<&str>) {
        *self.state.rate_limit.lock().unwrap() = limit.map(str::to_owned);
    }

    /// Makes all responses say that the server leaves.
    pub fn announce_leaving(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Makes the server brittle, or sound if there is no capacity.
    pub fn set_brittle(&self, capacity: Option<BrittleCapacity>) {
        *self.state.capacity.lock().unwrap() = capacity;
    }

    /// Has the server run so many requests at a time, each for `work`; further ones wait.
    pub fn set_slots(&self, count: usize, work: Duration) {
        let free = Arc::new(Semaphore::new(count));
        let slots = Slots { free, count, work, fails_under_load: false };
        *self.state.slots.lock().unwrap() = Some(slots);
    }

    /// Has a server with slots fail the requests that arrive while half of them are in use.
    pub fn fail_under_load(&self) {
        if let Some(slots) = &mut *self.state.slots.lock().unwrap() {
            slots.fails_under_load = true;
        }
    }

    /// How often the server has crashed.
    pub fn crashes(&self) -> u64 {
        self.state.crash.count.load(Ordering::Relaxed)
    }

    /// Changes the id, as if another server had taken over the address.
    pub fn set_id(&self, id: &str) {
        *self.state.id.lock().unwrap() = id.to_owned();
    }

    /// Closes the listener and answers nothing more, but keeps connections open.
    pub fn stop_responding(&self) {
        self.set_default_fault(Some(SiteFault::Hang));
        self.connections.stop_listening();
    }

    /// Closes all connections and the listener, and waits until they are closed.
    pub async fn shut_down(&self) {
        self.connections.close_all();
        self.stop.cancel();
        self.connections.closed().await;
    }
}

/// Closes the server and serves again at the same address, each time that it crashes.
async fn restart_after_crashes(
    addr: SocketAddr,
    state: Arc<State>,
    connections: Connections,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = state.crash.due.notified() => {}
            () = stop.cancelled() => return,
        }
        connections.crash();
        tokio::time::sleep(CRASH_DOWNTIME).await;
        let Ok(listener) = TcpListener::bind(addr).await else { return };
        connections.reopen();
        accept_connections(listener, state.clone(), connections.clone(), stop.clone());
    }
}

impl Handler for State {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let capacity = *self.capacity.lock().unwrap();
        let slots = self.slots.lock().unwrap().clone();
        let mut response = match (capacity, slots) {
            (None, None) => self.respond(request).await?,
            (None, Some(slots)) => self.respond_in_turn(&slots, request).await?,
            (Some(capacity), _) => self.respond_within(capacity, request).await?,
        };
        let headers = response.headers_mut();
        if let Some(limit) = &*self.rate_limit.lock().unwrap() {
            headers.insert("server-limit", limit.parse().ok()?);
        }
        if self.leaving.load(Ordering::Relaxed) {
            headers.insert("server-leaving", "1".parse().ok()?);
        }
        if let Some(capacity) = capacity {
            headers.insert("server-brittle", capacity.max_rejections.into());
        }
        Some(response)
    }
}

impl State {
    /// Responds once a slot is free.
    async fn respond_in_turn(
        &self,
        slots: &Slots,
        request: Request<Incoming>,
    ) -> Option<Response<ResponseBody>> {
        let running = self.running.load(Ordering::SeqCst);
        if slots.fails_under_load && 2 * running >= slots.count {
            let mut response = self.respond_with(request, Some(SiteFault::Fail)).await?;
            let load = slots.load(running).parse().ok()?;
            response.headers_mut().insert("x-server-load", load);
            return Some(response);
        }
        let _running = Running::start(&self.running);
        let _slot = slots.free.acquire().await.ok()?;
        tokio::time::sleep(slots.work).await;
        let mut response = self.respond(request).await?;
        let load = slots.load(self.running.load(Ordering::SeqCst)).parse().ok()?;
        response.headers_mut().insert("x-server-load", load);
        Some(response)
    }

    /// Responds if there is room, and otherwise rejects the request and crashes if that happens
    /// too often.
    async fn respond_within(
        &self,
        capacity: BrittleCapacity,
        request: Request<Incoming>,
    ) -> Option<Response<ResponseBody>> {
        let _running = Running::start(&self.running);
        if self.running.load(Ordering::SeqCst) <= capacity.slots {
            tokio::time::sleep(capacity.work).await;
            return self.respond(request).await;
        }
        let rejections = {
            let mut rejections = self.rejections.lock().unwrap();
            rejections.retain(|at| at.elapsed() < Duration::from_secs(1));
            rejections.push(Instant::now());
            rejections.len()
        };
        if rejections > capacity.max_rejections {
            self.rejections.lock().unwrap().clear();
            return self.crash.now().await;
        }
        let id = request.headers().get("x-attempt-id")?.to_str().ok()?.to_owned();
        let server = self.id.lock().unwrap().clone();
        read_body(request).await?;
        rejection(&server, &id)
    }

    async fn respond(&self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let fails = {
            let prefix = self.failing_prefix.lock().unwrap();
            prefix.as_deref().is_some_and(|prefix| request.uri().path().starts_with(prefix))
        };
        let fault = if fails { Some(SiteFault::Fail) } else { self.next_fault() };
        self.respond_with(request, fault).await
    }

    async fn respond_with(
        &self,
        request: Request<Incoming>,
        fault: Option<SiteFault>,
    ) -> Option<Response<ResponseBody>> {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let id = header("x-attempt-id").unwrap_or_default();
        let expected = header("x-expect-instance");
        let last_event: u64 =
            header("last-event-id").and_then(|number| number.parse().ok()).unwrap_or(0);
        let server = self.id.lock().unwrap().clone();
        let is_stream = request.uri().path().starts_with("/chat/");
        let misdirected = expected.is_some_and(|expected| expected != server);
        let rejects = matches!(fault, Some(SiteFault::Reject | SiteFault::RejectFor(_)));
        let executed = !misdirected && !rejects;
        let request_line = format!("{} {}", request.method(), request.uri());
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let body = read_body(request).await?;
        let recorded = SiteRequest {
            server: server.clone(),
            id: id.clone(),
            executed,
            request_line,
            headers,
            body,
            received_at: Instant::now(),
        };
        let prompt = recorded.headers.get("x-prompt-prefix").and_then(|value| value.to_str().ok());
        let is_deadly = self.is_deadly(prompt.unwrap_or_default());
        let deadly_prefix = self.deadly_prefix.lock().unwrap().clone();
        let deadly_path = deadly_prefix.filter(|(prefix, _)| path.starts_with(prefix));
        self.request_log.lock().unwrap().push(recorded);
        if misdirected {
            return Some(reply(421, &server, &id, false, full_body("")));
        }
        if is_deadly {
            tokio::time::sleep(CRASH_DELAY).await;
            return self.crash.now().await;
        }
        match deadly_path {
            Some((_, 0)) => return self.crash.now().await,
            Some((_, events)) => {
                let crash = self.crash.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(CRASH_DELAY + EVENT_PAUSE * events as u32).await;
                    crash.now::<()>().await
                });
                let fault = Some(SiteFault::StallAfter(last_event + events));
                return Some(event_stream(&server, &id, last_event, fault));
            }
            None => {}
        }
        match fault {
            Some(SiteFault::Reject) => rejection(&server, &id),
            Some(SiteFault::RejectFor(ms)) => {
                let mut response = rejection(&server, &id)?;
                let seconds = (ms as f64 / 1e3).to_string();
                response.headers_mut().insert("retry-after", seconds.parse().ok()?);
                Some(response)
            }
            Some(SiteFault::RejectOther) => rejection(&server, "another"),
            Some(SiteFault::RejectUnnamed) => {
                let mut response = rejection(&server, &id)?;
                response.headers_mut().remove("x-attempt-id");
                Some(response)
            }
            Some(SiteFault::InternalHeaders) => {
                let mut response = reply(200, &server, &id, true, full_body("done"));
                let names =
                    ["refusal", "not-run", "retry-after-ms", "attempts", "config", "server"];
                let values = ["no_server", "1", "1", "0", "99", "other"];
                for (name, value) in names.into_iter().zip(values) {
                    let name = format!("lacewingchute-{name}");
                    let name: http::HeaderName = name.parse().ok()?;
                    response.headers_mut().insert(name, value.parse().ok()?);
                }
                Some(response)
            }
            Some(SiteFault::Reset) => None,
            Some(SiteFault::Hang) => std::future::pending().await,
            Some(SiteFault::Fail) => Some(reply(500, &server, &id, true, full_body("failed"))),
            Some(SiteFault::WrongId) => {
                Some(reply(200, &server, "another", true, full_body("another's")))
            }
            Some(SiteFault::Unsealed) => {
                Some(reply(200, &server, &id, false, full_body("unsealed")))
            }
            Some(SiteFault::Cut) if !is_stream => {
                let frames = [Ok(Frame::data(Bytes::from("half")))];
                let error = [Err(std::io::Error::other("injected fault: connection closed"))];
                let body = StreamBody::new(stream::iter(frames.into_iter().chain(error)));
                Some(reply(200, &server, &id, true, BodyExt::boxed(body)))
            }
            Some(SiteFault::ErrorText) => {
                let mut response = reply(200, &server, &id, true, full_body("overloaded\n\n"));
                let plain = http::HeaderValue::from_static("text/plain");
                response.headers_mut().insert(http::header::CONTENT_TYPE, plain);
                Some(response)
            }
            Some(SiteFault::ErrorEvent) => {
                let event = "event: error\ndata: overloaded\n\n";
                Some(stream_reply(&server, &id, full_body(event)))
            }
            Some(SiteFault::ErrorHead) => {
                let text = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 10\r\n\r\noverloaded\n\n";
                Some(stream_reply(&server, &id, full_body(text)))
            }
            Some(SiteFault::LongEvents) => {
                let event =
                    |number: u64| format!("id: {number}\ndata: {}\n\n", "x".repeat(1 << 18));
                let frames = (last_event + 1..=LONG_EVENTS)
                    .map(move |number| Ok::<_, std::io::Error>(Frame::data(event(number).into())));
                let body = BodyExt::boxed(StreamBody::new(stream::iter(frames)));
                Some(stream_reply(&server, &id, body))
            }
            fault if is_stream => Some(event_stream(&server, &id, last_event, fault)),
            _ => Some(reply(200, &server, &id, true, full_body(format!("{id} done by {server}")))),
        }
    }

    /// Whether a prompt has the part that makes the server crash.
    fn is_deadly(&self, prompt: &str) -> bool {
        let deadly = self.deadly_part.lock().unwrap();
        let ids = prompt.split(',').filter_map(|part| Some(part.split_once(':')?.0));
        deadly.as_deref().is_some_and(|deadly| ids.into_iter().any(|id| id == deadly))
    }

    /// Removes and returns the first queued fault, or returns the default fault.
    fn next_fault(&self) -> Option<SiteFault> {
        let mut faults = self.queued_faults.lock().unwrap();
        let queued = (!faults.is_empty()).then(|| faults.remove(0));
        queued.or(*self.default_fault.lock().unwrap())
    }
}

impl Slots {
    /// The value of `x-server-load` while so many requests run or wait.
    fn load(&self, all: usize) -> String {
        let running = all.min(self.count);
        format!("{running},{},{},100", all - running, self.count)
    }
}

/// Makes a server crash.
#[derive(Debug, Default)]
struct Crash {
    due: Notify,
    count: AtomicU64,
}

impl Crash {
    /// Crashes the server; never returns, as its requests end with it.
    async fn now<T>(&self) -> T {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.due.notify_one();
        std::future::pending().await
    }
}

/// Counts a request while it runs.
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    fn start(running: &'a AtomicUsize) -> Self {
        running.fetch_add(1, Ordering::SeqCst);
        Running(running)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The response to a request that was not executed.
fn rejection(server: &str, id: &str) -> Option<Response<ResponseBody>> {
    let mut response = reply(503, server, id, false, full_body(""));
    response.headers_mut().insert("x-not-executed", "1".parse().ok()?);
    Some(response)
}

/// A response with the headers that the platform requires; `sealed` adds `x-server-seal`.
fn reply(
    status: u16,
    server: &str,
    id: &str,
    sealed: bool,
    body: ResponseBody,
) -> Response<ResponseBody> {
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

/// A response that is an event stream.
fn stream_reply(server: &str, id: &str, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = reply(200, server, id, true, body);
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// A stream of the events after `last_event`, up to the one at which `fault` applies.
fn event_stream(
    server: &str,
    id: &str,
    last_event: u64,
    fault: Option<SiteFault>,
) -> Response<ResponseBody> {
    let end = match fault {
        Some(
            SiteFault::CutAfter(count)
            | SiteFault::CutWithinEventAfter(count)
            | SiteFault::StallAfter(count),
        ) => count,
        Some(SiteFault::Cut) => 0,
        _ => STREAM_EVENTS,
    };
    let event = |number: u64| format!("id: {number}\ndata: piece {number}\n\n");
    let mut frames: Vec<Result<Frame<Bytes>, std::io::Error>> =
        (last_event + 1..=end).map(|number| Ok(Frame::data(event(number).into()))).collect();
    let injected_error = Err(std::io::Error::other("injected fault: connection closed"));
    match fault {
        Some(SiteFault::CutAfter(_) | SiteFault::Cut) => frames.push(injected_error),
        Some(SiteFault::CutWithinEventAfter(count)) => {
            frames.push(Ok(Frame::data(format!("id: {}\nda", count + 1).into())));
            frames.push(injected_error);
        }
        _ => {}
    }
    let stalls = matches!(fault, Some(SiteFault::StallAfter(_)));
    let slow = fault == Some(SiteFault::Slow);
    let pause = if slow { EVENT_PAUSE * SLOW_FACTOR } else { EVENT_PAUSE };
    let paced = stream::iter(frames).enumerate().then(move |(index, frame)| async move {
        let pause = match (index, fault) {
            (0, _) => EVENT_PAUSE,
            (1, Some(SiteFault::Pause(time))) => time,
            _ => pause,
        };
        tokio::time::sleep(pause).await;
        frame
    });
    let body = if stalls {
        BodyExt::boxed(StreamBody::new(paced.chain(stream::pending())))
    } else {
        BodyExt::boxed(StreamBody::new(paced))
    };
    let mut response = stream_reply(server, id, body);
    let confidence = if fault == Some(SiteFault::LowConfidence) { "5" } else { "95" };
    if let Ok(value) = confidence.parse() {
        response.headers_mut().insert("x-confidence", value);
    }
    response
}
