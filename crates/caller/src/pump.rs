//! Passing an engine's answer on, and billing it before its last bytes.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use backend::{SseEvent, SseParser, SsePayload};
use bytes::Bytes;
use conn::IncomingResponse;
use dropshot::Body;
use error::{Kind, Refusal};
use http::Response;
use hyper::body::Frame;
use ledger::{Bill, amount_micro};
use policy::{Action, Event, Failure, Rating, Send, Usage};
use router::{End, Ticket};
use store::{Ratings, Sample};
use tokio::sync::mpsc;

use crate::answer;
use crate::attempt::SharedProof;
use crate::chat::Chat;
use crate::listener::App;

/// How long an engine may take for the next bytes of an answer it has begun.
const NEXT_LIMIT: Duration = Duration::from_secs(20);
/// Parts of an answer that wait for a slow caller.
const BACKLOG: usize = 16;
/// The core is told of an answer's growth at most this often.
const PROGRESS_EVERY: Duration = Duration::from_millis(200);
/// The longest answer whose text is kept for rating, in bytes.
const RATED_TEXT: usize = 16 << 10;
/// The longest answer that is read for its usage, in bytes.
const JSON_LIMIT: usize = 8 << 20;

/// The error that breaks off a caller's connection, so that a cut answer
/// can't be taken for a whole one.
pub type BodyError = Box<dyn std::error::Error + std::marker::Send + Sync>;
/// A part of a body, or the error that breaks it off.
pub type Part = Result<Frame<Bytes>, BodyError>;

/// What the end of an answer needs.
pub struct Pump {
    /// The listener's context.
    pub app: Arc<App>,
    /// The hold on the request.
    pub ticket: Ticket,
    /// The chat.
    pub chat: Arc<Chat>,
    /// The order that the answering attempt carried out.
    pub order: Send,
    /// The proof of the request.
    pub proof: SharedProof,
}

/// How the engine's stream went.
enum StreamEnd {
    /// It was whole; the end marker is still to be passed on.
    Whole(Bytes),
    /// It broke off.
    Cut(Failure),
    /// The caller went away.
    Gone,
}

/// What has come of a stream.
#[derive(Default)]
struct Progress {
    text: String,
    deltas: u32,
    unreported: u32,
    reported: Option<Instant>,
    usage: Option<Usage>,
    finished: bool,
}

/// Starts passing a streamed answer on.
pub fn start_stream(
    pump: Pump,
    answer: IncomingResponse,
    reader: SseParser,
    events: Vec<SseEvent>,
) -> Response<Body> {
    let (sender, body) = body();
    tokio::spawn(pump.stream(answer, reader, events, sender));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
    response
}

/// Passes an answer on that is not streamed.
pub async fn start_json(
    pump: Pump,
    answer: IncomingResponse,
    bytes: Vec<u8>,
    ended: bool,
) -> Result<Response<Body>, Refusal> {
    if !ended {
        let (sender, body) = body();
        tokio::spawn(pump.long_json(answer, bytes, sender));
        let mut response = Response::new(body);
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(http::header::CONTENT_TYPE, json);
        return Ok(response);
    }
    let Some(whole) = backend::parse_completion(&bytes) else {
        return Err(Refusal::new(Kind::AnswerCut, &pump.proof));
    };
    pump.finish(whole.usage, whole.text).await;
    Ok(answer::bytes(200, "application/json", bytes.into()))
}

/// A body that is filled through a channel.
pub fn body() -> (mpsc::Sender<Part>, Body) {
    let (sender, parts) = mpsc::channel::<Part>(BACKLOG);
    (sender, Body::wrap(ChannelBody { parts }))
}

/// The receiving side of a body's channel.
struct ChannelBody {
    parts: mpsc::Receiver<Part>,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Part>> {
        self.parts.poll_recv(context)
    }
}

impl Pump {
    /// Passes an engine's own refusal on; it owes nothing.
    pub fn refused(self, status: u16, body: Bytes) -> Response<Body> {
        self.done(Usage::default());
        answer::bytes(status, "application/json", body)
    }

    async fn stream(
        mut self,
        mut answer: IncomingResponse,
        mut reader: SseParser,
        events: Vec<SseEvent>,
        sender: mpsc::Sender<Part>,
    ) {
        let mut progress = Progress::default();
        let end = self.copy(&mut answer, &mut reader, events, &sender, &mut progress).await;
        let usage = progress.usage(self.chat.request.prompt_tokens);
        match end {
            StreamEnd::Whole(marker) => {
                self.bill(usage).await;
                // A caller that is gone now has missed the end marker only.
                let _ = sender.send(Ok(Frame::data(marker))).await;
                self.rate_after(usage, progress.text);
                self.count(End::Answered);
            }
            StreamEnd::Cut(failure) => {
                let number = self.order.attempt;
                self.ticket.step(Event::Failed(self.ticket.id(), number, failure));
                let refusal = Refusal::new(Kind::AnswerCut, &self.proof);
                let body = serde_json::to_string(&refusal.body()).unwrap_or_default();
                let event = Bytes::from(format!("data: {body}\n\n"));
                let _ = sender.send(Ok(Frame::data(event))).await;
                let _ = sender.send(Err(BodyError::from("the answer was cut"))).await;
                self.count(End::Cut);
            }
            StreamEnd::Gone => {
                // The caller left by itself: it owes what was delivered.
                self.bill(usage).await;
                self.count(End::Gone);
            }
        }
    }

    /// Copies events until the stream ends, is cut, or the caller is gone.
    async fn copy(
        &mut self,
        answer: &mut IncomingResponse,
        reader: &mut SseParser,
        mut events: Vec<SseEvent>,
        sender: &mpsc::Sender<Part>,
        progress: &mut Progress,
    ) -> StreamEnd {
        loop {
            for event in events.drain(..) {
                progress.note(&event.payload);
                match event.payload {
                    SsePayload::End if progress.finished => return StreamEnd::Whole(event.raw),
                    SsePayload::End => return StreamEnd::Cut(Failure::Cut),
                    SsePayload::Usage(_) if !self.chat.request.wants_usage => continue,
                    SsePayload::Usage(_) | SsePayload::Delta { .. } | SsePayload::Other => {}
                }
                if sender.send(Ok(Frame::data(event.raw))).await.is_err() {
                    return StreamEnd::Gone;
                }
            }
            self.report(progress);
            let next = tokio::select! {
                next = tokio::time::timeout(NEXT_LIMIT, answer.chunk()) => next,
                () = sender.closed() => return StreamEnd::Gone,
            };
            events = match next {
                Ok(Ok(Some(chunk))) => match reader.feed(&chunk) {
                    Some(events) => events,
                    None => return StreamEnd::Cut(Failure::Cut),
                },
                Ok(Ok(None)) | Err(_) => return StreamEnd::Cut(Failure::Cut),
                Ok(Err(_)) => return StreamEnd::Cut(Failure::Crashed),
            };
        }
    }

    fn report(&self, progress: &mut Progress) {
        let due = progress.reported.is_none_or(|at| at.elapsed() >= PROGRESS_EVERY);
        if due && progress.unreported > 0 {
            let tokens = std::mem::take(&mut progress.unreported);
            progress.reported = Some(Instant::now());
            self.ticket.step(Event::Progress(self.ticket.id(), self.order.attempt, tokens));
        }
    }

    /// Passes a long body on, holding its last part back until it is billed.
    async fn long_json(
        mut self,
        mut answer: IncomingResponse,
        start: Vec<u8>,
        sender: mpsc::Sender<Part>,
    ) {
        let mut copy = start.clone();
        let mut held = Bytes::from(start);
        let failure = loop {
            let next = tokio::time::timeout(NEXT_LIMIT, answer.chunk()).await;
            match next {
                Ok(Ok(Some(chunk))) => {
                    let part = std::mem::replace(&mut held, chunk.clone());
                    if copy.len() + chunk.len() > JSON_LIMIT {
                        break Failure::Cut;
                    }
                    copy.extend_from_slice(&chunk);
                    if sender.send(Ok(Frame::data(part))).await.is_err() {
                        return self.count(End::Gone);
                    }
                }
                Ok(Ok(None)) => match backend::parse_completion(&copy) {
                    Some(whole) => {
                        self.bill(whole.usage).await;
                        let _ = sender.send(Ok(Frame::data(held))).await;
                        self.rate_after(whole.usage, whole.text);
                        return self.count(End::Answered);
                    }
                    None => break Failure::Cut,
                },
                Ok(Err(_)) => break Failure::Crashed,
                Err(_) => break Failure::Cut,
            }
        };
        self.ticket.step(Event::Failed(self.ticket.id(), self.order.attempt, failure));
        let _ = sender.send(Err(BodyError::from("the answer was cut"))).await;
        self.count(End::Cut);
    }

    async fn finish(mut self, usage: Usage, text: String) {
        self.bill(usage).await;
        self.rate_after(usage, text);
        self.count(End::Answered);
    }

    /// Keeps the bill safe.
    async fn bill(&self, usage: Usage) {
        let version = self.chat.route.version(&self.order.version);
        let cost = version.map_or(0, |version| version.cost_micro);
        let bill = Bill {
            id: self.chat.bill_id,
            account: self.chat.account.clone(),
            route: self.chat.route.name.clone(),
            version: self.order.version.clone(),
            usage,
            amount_micro: amount_micro(usage, cost),
            at_ms: self.app.shared.router.clock().now().wall_ms,
        };
        if self.app.secure {
            self.app.shared.bills.secure(bill).await;
        } else {
            self.app.shared.bills.add_unsecured(bill);
        }
    }

    fn done(&self, usage: Usage) {
        self.ticket.step(Event::Done(self.ticket.id(), self.order.attempt, usage));
    }

    /// Closes the request and has the answer rated if the core asks for it.
    fn rate_after(&mut self, usage: Usage, text: String) {
        self.done(usage);
        while let Some(action) = self.ticket.try_next() {
            if let Action::Rate(_, version, bucket) = action {
                let sample = Sample {
                    route: self.chat.route.name.clone(),
                    version,
                    request: self.chat.request.prefix.clone(),
                    answer: text.chars().take(RATED_TEXT).collect(),
                };
                tokio::spawn(rate(self.app.clone(), sample, bucket));
            }
        }
    }

    fn count(&self, end: End) {
        self.app.shared.metrics.requests.get_or_create(&end.into()).inc();
    }
}

/// Has an answer rated; a rating that does not come is missed and no more.
async fn rate(app: Arc<App>, sample: Sample, bucket: u8) {
    if let Ok(score) = app.shared.platform.rate(&sample).await {
        let rating = Rating { route: sample.route, version: sample.version, bucket, score };
        app.shared.router.step(Event::Rated(rating));
    }
}

impl Progress {
    fn note(&mut self, part: &SsePayload) {
        match part {
            SsePayload::Delta { text, finished, usage } => {
                self.deltas += 1;
                self.unreported += 1;
                self.finished |= finished;
                self.usage = usage.or(self.usage);
                if self.text.len() < RATED_TEXT {
                    self.text.push_str(text);
                }
            }
            SsePayload::Usage(usage) => self.usage = Some(*usage),
            SsePayload::End | SsePayload::Other => {}
        }
    }

    /// The engine's count, or one token for each piece if it gave none.
    fn usage(&self, prompt_tokens: u32) -> Usage {
        let counted = Usage { prompt_tokens, output_tokens: self.deltas };
        self.usage.unwrap_or(counted)
    }
}
