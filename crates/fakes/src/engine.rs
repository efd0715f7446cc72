//! A model engine that batches: slots in flight, and a time for each token
//! that grows with the batch.

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

use crate::http_server::{AnswerBody, Connections, Handler, full, read, serve};
use crate::journal::{Journal, JournalEntry};

/// A prompt that contains this crashes the engine.
const CRASH_WORD: &str = "crash-the-engine";
/// Characters of the prompt that an answer repeats.
const ECHO: usize = 48;
/// How long a crashed engine stays down.
const DOWN: Duration = Duration::from_millis(400);

/// What an engine is.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The engine's name.
    pub id: String,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// The time for one token of a batch of one.
    pub token: Duration,
    /// What one more request in the batch adds to that time, as a share.
    pub crowding: f64,
    /// The quality that its answers have.
    pub quality: f64,
}

impl EngineSettings {
    /// A fast engine for tests.
    pub fn quick(id: &str, quality: f64) -> Self {
        EngineSettings {
            id: id.to_owned(),
            slots: 8,
            token: Duration::from_micros(500),
            crowding: 0.02,
            quality,
        }
    }
}

/// How an engine misbehaves.
#[derive(Debug, Clone)]
pub struct EngineFaults {
    /// Everything takes this many times as long.
    pub slow: f64,
    /// The quality of its answers, if not the usual one.
    pub quality: Option<f64>,
    /// It answers with this failing status.
    pub status: Option<u16>,
    /// Streams break off after so many tokens.
    pub cut_after: Option<u32>,
    /// Streams end without an end marker, as if they were whole.
    pub no_end_marker: bool,
    /// Answers carry another request's id.
    pub cross_ids: bool,
    /// It accepts requests and never answers.
    pub silent: bool,
    /// Its answers say that it is leaving.
    pub leaving: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        EngineFaults {
            slow: 1.0,
            quality: None,
            status: None,
            cut_after: None,
            no_end_marker: false,
            cross_ids: false,
            silent: false,
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
    batch: AtomicU32,
    journal: Journal,
    connections: Connections,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(
        settings: EngineSettings,
        journal: Journal,
        stop: CancellationToken,
    ) -> Result<Self> {
        let connections = Connections::default();
        let inner = Arc::new(Inner {
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            settings,
            faults: Mutex::default(),
            batch: AtomicU32::new(0),
            journal,
            connections: connections.clone(),
        });
        let addr = serve(Arc::new(Served(inner.clone())), connections, stop).await?;
        Ok(Engine { addr, inner })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.inner.faults.lock().unwrap());
    }

    /// Breaks all connections and stays down until [`Engine::revive`].
    pub fn kill(&self) {
        self.inner.connections.break_all();
    }

    /// Comes back after [`Engine::kill`].
    pub fn revive(&self) {
        self.inner.connections.admit();
    }

    /// Requests that it runs now.
    pub fn running(&self) -> u32 {
        self.inner.batch.load(Ordering::SeqCst)
    }
}

/// A request that an engine runs.
struct Job {
    id: String,
    version: String,
    prompt_tokens: u32,
    tokens: u32,
    stream: bool,
    quality: f64,
    echo: String,
    place: usize,
    faults: EngineFaults,
}

struct Served(Arc<Inner>);

impl Handler for Served {
    async fn handle(&self, request: Request<Incoming>) -> Option<Response<AnswerBody>> {
        let inner = &self.0;
        let id = request.headers().get("x-request-id")?.to_str().ok()?.to_owned();
        let body = read(request).await?;
        let faults = inner.faults.lock().unwrap().clone();
        let job = inner.job(id, &body, faults)?;
        if String::from_utf8_lossy(&body).contains(CRASH_WORD) {
            inner.crash();
            return None;
        }
        if job.faults.silent {
            std::future::pending::<()>().await;
        }
        if let Some(status) = job.faults.status {
            return Some(job.head(status, full("{\"error\":\"told to fail\"}")));
        }
        let permit = inner.slots.clone().acquire_owned().await.ok()?;
        let batch = InBatch::enter(inner.clone(), permit);
        match job.stream {
            true => Some(inner.stream(job, batch)),
            false => inner.whole(job, batch).await,
        }
    }
}

/// A place in the batch, left when dropped.
struct InBatch {
    inner: Arc<Inner>,
    _permit: OwnedSemaphorePermit,
}

impl InBatch {
    fn enter(inner: Arc<Inner>, permit: OwnedSemaphorePermit) -> Self {
        inner.batch.fetch_add(1, Ordering::SeqCst);
        InBatch { inner, _permit: permit }
    }
}

impl Drop for InBatch {
    fn drop(&mut self) {
        self.inner.batch.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Inner {
    fn job(&self, id: String, body: &Bytes, faults: EngineFaults) -> Option<Job> {
        let request: Value = serde_json::from_slice(body).ok()?;
        let prompt: usize = request["messages"]
            .as_array()?
            .iter()
            .map(|message| message["content"].as_str().unwrap_or("").len())
            .sum();
        let version = request["model"].as_str()?.to_owned();
        let last = request["messages"].as_array()?.last()?;
        let echo = last["content"].as_str().unwrap_or("").chars().take(ECHO).collect();
        let place = self.journal.begin(JournalEntry {
            server: self.settings.id.clone(),
            id: id.clone(),
            what: version.clone(),
            account: String::new(),
            body: body.clone(),
            whole: false,
            tokens: 0,
        });
        Some(Job {
            id,
            version,
            prompt_tokens: prompt.div_ceil(4) as u32,
            tokens: request["max_tokens"].as_u64().unwrap_or(20) as u32,
            stream: request["stream"].as_bool().unwrap_or(false),
            echo,
            quality: faults.quality.unwrap_or(self.settings.quality),
            place,
            faults,
        })
    }

    /// The time for one token in the present batch.
    fn token_time(&self) -> Duration {
        let others = self.batch.load(Ordering::SeqCst).saturating_sub(1);
        let slow = self.faults.lock().unwrap().slow;
        self.settings.token.mul_f64(slow * (1.0 + self.settings.crowding * f64::from(others)))
    }

    async fn whole(&self, job: Job, _batch: InBatch) -> Option<Response<AnswerBody>> {
        for _ in 0..job.tokens {
            tokio::time::sleep(self.token_time()).await;
        }
        if job.faults.cut_after.is_some() {
            return None;
        }
        self.journal.whole(job.place, u64::from(job.prompt_tokens + job.tokens));
        let body = json!({
            "id": format!("chat-{}", job.id),
            "object": "chat.completion",
            "model": job.version,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": job.text() },
                "finish_reason": "stop",
            }],
            "usage": job.usage(),
        });
        Some(job.head(200, full(body.to_string())))
    }

    fn stream(self: &Arc<Self>, job: Job, batch: InBatch) -> Response<AnswerBody> {
        let (sender, receiver) = mpsc::channel(4);
        let mut response = job.head(200, Parts(receiver).boxed());
        let kind = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        tokio::spawn(self.clone().write_stream(job, batch, sender));
        response
    }

    async fn write_stream(self: Arc<Self>, job: Job, _batch: InBatch, sender: Sender) {
        for number in 0..job.tokens {
            tokio::time::sleep(self.token_time()).await;
            if job.faults.cut_after.is_some_and(|after| number >= after) {
                let _ = sender.send(Err(std::io::Error::other("cut on purpose"))).await;
                return;
            }
            let text = if number == 0 { job.text() } else { format!(" {}-{number}", job.id) };
            if send(&sender, &job.chunk(json!({ "content": text }), Value::Null)).await.is_err() {
                return;
            }
        }
        let _ = send(&sender, &job.chunk(json!({}), json!("stop"))).await;
        let usage = json!({ "choices": [], "usage": job.usage() });
        let _ = send(&sender, &usage).await;
        if !job.faults.no_end_marker {
            self.journal.whole(job.place, u64::from(job.prompt_tokens + job.tokens));
            let _ = sender.send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")))).await;
        }
    }

    /// Breaks all connections, and comes back after a while.
    fn crash(self: &Arc<Self>) {
        self.connections.break_all();
        let connections = self.connections.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DOWN).await;
            connections.admit();
        });
    }
}

type Part = Result<Frame<Bytes>, std::io::Error>;
type Sender = mpsc::Sender<Part>;

async fn send(sender: &Sender, value: &Value) -> Result<(), mpsc::error::SendError<Part>> {
    sender.send(Ok(Frame::data(Bytes::from(format!("data: {value}\n\n"))))).await
}

/// The receiving side of a streamed answer.
struct Parts(mpsc::Receiver<Part>);

impl hyper::body::Body for Parts {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Part>> {
        self.0.poll_recv(context)
    }
}

impl Job {
    fn text(&self) -> String {
        format!("answer {} quality={:.3} to {} ", self.id, self.quality, self.echo)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        })
    }

    fn chunk(&self, delta: Value, finish: Value) -> Value {
        json!({
            "id": format!("chat-{}", self.id),
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        })
    }

    fn head(&self, status: u16, body: AnswerBody) -> Response<AnswerBody> {
        let mut response = Response::new(body);
        *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
        let id = if self.faults.cross_ids { "crossed".to_owned() } else { self.id.clone() };
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
