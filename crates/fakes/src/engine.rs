//! A fake model engine with batching: a limited number of requests runs at a time, and the
//! time for each token grows with the size of the batch.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use serde_json::{Value, json};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use crate::http_server::{Connections, Handler, ResponseBody, full_body, read_body, serve};
use crate::request_log::{RecordedRequest, RequestLog};

/// An engine crashes when a request body contains this text.
const CRASH_PROMPT: &str = "crash-the-engine";
/// The number of characters of the last message that an answer repeats.
const ECHO_CHARS: usize = 48;
/// The time after which a crashed engine accepts connections again.
const CRASH_DOWNTIME: Duration = Duration::from_millis(400);

/// The properties of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The id under which the platform lists the engine.
    pub id: String,
    /// The maximum batch size: further requests wait.
    pub slots: u32,
    /// The time for one token in a batch of one.
    pub token_time: Duration,
    /// The fraction of `token_time` that each further request in the batch adds to it.
    pub batch_slowdown: f64,
    /// The quality that the platform rates its answers with.
    pub quality: f64,
}

impl EngineSettings {
    /// Settings of a fast engine for tests.
    pub fn fast(id: &str, quality: f64) -> Self {
        EngineSettings {
            id: id.to_owned(),
            slots: 8,
            token_time: Duration::from_micros(500),
            batch_slowdown: 0.02,
            quality,
        }
    }
}

/// Faults to inject into an engine.
#[derive(Debug, Clone)]
pub struct EngineFaults {
    /// The factor by which the time for each token is multiplied.
    pub slowdown: f64,
    /// The quality of the answers, if it differs from that of the settings.
    pub quality: Option<f64>,
    /// The error status that every request is answered with.
    pub status: Option<u16>,
    /// The number of tokens after which streams are cut; for other requests, the connection
    /// is closed without a response.
    pub cut_after: Option<u32>,
    /// Streams end without a connection error, but also without the end marker `[DONE]`.
    pub no_end_marker: bool,
    /// Responses carry the id of another request.
    pub wrong_id: bool,
    /// Requests are accepted and never answered.
    pub hang: bool,
    /// Responses carry `x-leaving`.
    pub leaving: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        EngineFaults {
            slowdown: 1.0,
            quality: None,
            status: None,
            cut_after: None,
            no_end_marker: false,
            wrong_id: false,
            hang: false,
            leaving: false,
        }
    }
}

/// A running engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    settings: EngineSettings,
    faults: Mutex<EngineFaults>,
    slots: Arc<Semaphore>,
    batch_size: AtomicU32,
    request_log: RequestLog,
    connections: Connections,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(
        settings: EngineSettings,
        request_log: RequestLog,
        stop: CancellationToken,
    ) -> Result<Self> {
        let connections = Connections::default();
        let inner = Arc::new(Inner {
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            settings,
            faults: Mutex::default(),
            batch_size: AtomicU32::new(0),
            request_log,
            connections: connections.clone(),
        });
        let addr = serve(Arc::new(EngineHandler(inner.clone())), connections, stop).await?;
        Ok(Engine { addr, inner })
    }

    /// The address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.inner.faults.lock().unwrap());
    }

    /// Closes all connections and refuses new ones until [`Engine::accept_connections`].
    pub fn refuse_connections(&self) {
        self.inner.connections.close_all();
    }

    /// Accepts connections again after [`Engine::refuse_connections`].
    pub fn accept_connections(&self) {
        self.inner.connections.stop_refusing();
    }

    /// The number of requests in the current batch.
    pub fn running(&self) -> u32 {
        self.inner.batch_size.load(Ordering::SeqCst)
    }
}

/// A parsed chat request, with the faults that apply to it.
struct Job {
    id: String,
    version: String,
    prompt_tokens: u32,
    completion_tokens: u32,
    stream: bool,
    quality: f64,
    echo: String,
    log_index: usize,
    faults: EngineFaults,
}

struct EngineHandler(Arc<Inner>);

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        let inner = &self.0;
        let id = request.headers().get("x-request-id")?.to_str().ok()?.to_owned();
        let body = read_body(request).await?;
        let faults = inner.faults.lock().unwrap().clone();
        let job = inner.record_job(id, &body, faults)?;
        if String::from_utf8_lossy(&body).contains(CRASH_PROMPT) {
            inner.crash();
            return None;
        }
        if job.faults.hang {
            std::future::pending::<()>().await;
        }
        if let Some(status) = job.faults.status {
            return Some(job.response(status, full_body("{\"error\":\"injected fault\"}")));
        }
        let permit = inner.slots.clone().acquire_owned().await.ok()?;
        let slot = BatchSlot::new(inner.clone(), permit);
        match job.stream {
            true => Some(inner.respond_stream(job, slot)),
            false => inner.respond_json(job, slot).await,
        }
    }
}

/// A slot in the batch, freed when dropped.
struct BatchSlot {
    inner: Arc<Inner>,
    _permit: OwnedSemaphorePermit,
}

impl BatchSlot {
    fn new(inner: Arc<Inner>, permit: OwnedSemaphorePermit) -> Self {
        inner.batch_size.fetch_add(1, Ordering::SeqCst);
        BatchSlot { inner, _permit: permit }
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.inner.batch_size.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Inner {
    /// Parses and records a request; `None` if it isn't a chat request.
    fn record_job(&self, id: String, body: &Bytes, faults: EngineFaults) -> Option<Job> {
        let request: Value = serde_json::from_slice(body).ok()?;
        let prompt_bytes: usize = request["messages"]
            .as_array()?
            .iter()
            .map(|message| message["content"].as_str().unwrap_or("").len())
            .sum();
        let version = request["model"].as_str()?.to_owned();
        let last_message = request["messages"].as_array()?.last()?;
        let echo =
            last_message["content"].as_str().unwrap_or("").chars().take(ECHO_CHARS).collect();
        let log_index = self.request_log.record(RecordedRequest {
            server: self.settings.id.clone(),
            id: id.clone(),
            target: version.clone(),
            account: String::new(),
            body: body.clone(),
            complete: false,
            tokens: 0,
        });
        Some(Job {
            id,
            version,
            prompt_tokens: prompt_bytes.div_ceil(4) as u32,
            completion_tokens: request["max_tokens"].as_u64().unwrap_or(20) as u32,
            stream: request["stream"].as_bool().unwrap_or(false),
            echo,
            quality: faults.quality.unwrap_or(self.settings.quality),
            log_index,
            faults,
        })
    }

    /// The time for one token at the current batch size.
    fn token_time(&self) -> Duration {
        let others = self.batch_size.load(Ordering::SeqCst).saturating_sub(1);
        let slowdown = self.faults.lock().unwrap().slowdown;
        self.settings
            .token_time
            .mul_f64(slowdown * (1.0 + self.settings.batch_slowdown * f64::from(others)))
    }

    async fn respond_json(&self, job: Job, _slot: BatchSlot) -> Option<Response<ResponseBody>> {
        for _ in 0..job.completion_tokens {
            tokio::time::sleep(self.token_time()).await;
        }
        if job.faults.cut_after.is_some() {
            return None;
        }
        self.request_log
            .mark_complete(job.log_index, u64::from(job.prompt_tokens + job.completion_tokens));
        let body = json!({
            "id": format!("chat-{}", job.id),
            "object": "chat.completion",
            "model": job.version,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": job.answer_text() },
                "finish_reason": "stop",
            }],
            "usage": job.usage(),
        });
        Some(job.response(200, full_body(body.to_string())))
    }

    fn respond_stream(self: &Arc<Self>, job: Job, slot: BatchSlot) -> Response<ResponseBody> {
        let (sender, receiver) = mpsc::channel(4);
        let mut response = job.response(200, StreamedBody(receiver).boxed());
        let content_type = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
        tokio::spawn(self.clone().write_stream(job, slot, sender));
        response
    }

    async fn write_stream(self: Arc<Self>, job: Job, _slot: BatchSlot, sender: FrameSender) {
        for number in 0..job.completion_tokens {
            tokio::time::sleep(self.token_time()).await;
            if job.faults.cut_after.is_some_and(|after| number >= after) {
                let _ = sender
                    .send(Err(std::io::Error::other("injected fault: connection closed")))
                    .await;
                return;
            }
            let text =
                if number == 0 { job.answer_text() } else { format!(" {}-{number}", job.id) };
            if send_event(&sender, &job.chunk(json!({ "content": text }), Value::Null))
                .await
                .is_err()
            {
                return;
            }
        }
        let _ = send_event(&sender, &job.chunk(json!({}), json!("stop"))).await;
        let usage = json!({ "choices": [], "usage": job.usage() });
        let _ = send_event(&sender, &usage).await;
        if !job.faults.no_end_marker {
            self.request_log
                .mark_complete(job.log_index, u64::from(job.prompt_tokens + job.completion_tokens));
            let _ = sender.send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")))).await;
        }
    }

    /// Closes all connections, and accepts new ones again after [`CRASH_DOWNTIME`].
    fn crash(self: &Arc<Self>) {
        self.connections.close_all();
        let connections = self.connections.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_DOWNTIME).await;
            connections.stop_refusing();
        });
    }
}

type FrameResult = Result<Frame<Bytes>, std::io::Error>;
type FrameSender = mpsc::Sender<FrameResult>;

async fn send_event(
    sender: &FrameSender,
    value: &Value,
) -> Result<(), mpsc::error::SendError<FrameResult>> {
    sender.send(Ok(Frame::data(Bytes::from(format!("data: {value}\n\n"))))).await
}

/// A response body whose frames are sent through a channel.
struct StreamedBody(mpsc::Receiver<FrameResult>);

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<FrameResult>> {
        self.0.poll_recv(context)
    }
}

impl Job {
    /// The text of the answer. The fake platform reads the quality from it to rate the answer.
    fn answer_text(&self) -> String {
        format!("answer {} quality={:.3} to {} ", self.id, self.quality, self.echo)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        })
    }

    fn chunk(&self, delta: Value, finish_reason: Value) -> Value {
        json!({
            "id": format!("chat-{}", self.id),
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        })
    }

    fn response(&self, status: u16, body: ResponseBody) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
        let id = if self.faults.wrong_id { "crossed".to_owned() } else { self.id.clone() };
        let mut set = |name: &'static str, value: &str| {
            if let Ok(value) = http::HeaderValue::from_str(value) {
                response.headers_mut().insert(name, value);
            }
        };
        set("x-request-id", &id);
        set("content-type", "application/json");
        if self.faults.leaving {
            set("x-leaving", "true");
        }
        response
    }
}
