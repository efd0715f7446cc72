//! Relays an engine's answer to the caller, and bills it before the last bytes are sent.

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
use policy::{Action, Event, Failure, Rating, SendOrder, Usage};
use router::{RequestHandle, RequestOutcome};
use store::{RatingSample, RatingService};
use tokio::sync::mpsc;

use crate::attempt::SharedProof;
use crate::chat::Chat;
use crate::listener::App;
use crate::response;

/// The timeout for the next chunk of an answer.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(20);
/// The capacity of a body's channel, in frames; the relay waits for a slow caller
/// when it is full.
const BODY_CHANNEL_CAPACITY: usize = 16;
/// The minimum interval between progress events of an answer.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// The length, in bytes, at which collecting a stream's text for rating ends. A sample
/// has at most as many characters.
const MAX_RATED_TEXT: usize = 16 << 10;
/// The maximum length of a JSON answer, in bytes; it is kept in memory to read its usage.
const MAX_JSON_BYTES: usize = 8 << 20;

/// The error that aborts a caller's connection, so that a truncated answer can't
/// be mistaken for a complete one.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// A frame of a response body, or the error that aborts it.
pub type BodyFrame = Result<Frame<Bytes>, BodyError>;

/// Relays the answer of the winning attempt, and closes the request at its end.
pub struct AnswerRelay {
    /// The listener's context.
    pub app: Arc<App>,
    /// The request's handle at the router.
    pub handle: RequestHandle,
    /// The chat request.
    pub chat: Arc<Chat>,
    /// The core's order for the winning attempt.
    pub order: SendOrder,
    /// The proof that the request has not run.
    pub proof: SharedProof,
}

/// How relaying a stream ended.
enum StreamEnd {
    /// The stream is complete; its end marker has not been sent yet.
    Complete(Bytes),
    /// The engine's stream failed or ended early.
    Truncated(Failure),
    /// The caller disconnected.
    Disconnected,
}

/// The state of a stream so far.
#[derive(Default)]
struct Progress {
    text: String,
    deltas: u32,
    unreported_deltas: u32,
    last_report: Option<Instant>,
    usage: Option<Usage>,
    finished: bool,
}

/// Starts relaying a streamed answer.
pub fn relay_stream(
    relay: AnswerRelay,
    answer: IncomingResponse,
    parser: SseParser,
    events: Vec<SseEvent>,
) -> Response<Body> {
    let (sender, body) = body_channel();
    tokio::spawn(relay.stream(answer, parser, events, sender));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("text/event-stream"));
    headers.insert(http::header::CACHE_CONTROL, http::HeaderValue::from_static("no-cache"));
    response
}

/// Relays an answer that is not streamed.
pub async fn relay_json(
    relay: AnswerRelay,
    answer: IncomingResponse,
    bytes: Vec<u8>,
    complete: bool,
) -> Result<Response<Body>, Refusal> {
    if !complete {
        let (sender, body) = body_channel();
        tokio::spawn(relay.relay_long_json(answer, bytes, sender));
        let mut response = Response::new(body);
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(http::header::CONTENT_TYPE, json);
        return Ok(response);
    }
    let Some(answer) = backend::parse_completion(&bytes) else {
        return Err(Refusal::new(Kind::AnswerCut, &relay.proof));
    };
    relay.finish(answer.usage, answer.text).await;
    Ok(response::with_body(200, "application/json", bytes.into()))
}

/// Creates a response body that is fed through a channel.
pub fn body_channel() -> (mpsc::Sender<BodyFrame>, Body) {
    let (sender, frames) = mpsc::channel::<BodyFrame>(BODY_CHANNEL_CAPACITY);
    (sender, Body::wrap(ChannelBody { frames }))
}

/// The receiving side of a body's channel.
struct ChannelBody {
    frames: mpsc::Receiver<BodyFrame>,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        self.frames.poll_recv(context)
    }
}

impl AnswerRelay {
    /// Relays an engine's error response, which is not billed.
    pub fn relay_error(self, status: u16, body: Bytes) -> Response<Body> {
        self.report_done(Usage::default());
        response::with_body(status, "application/json", body)
    }

    async fn stream(
        mut self,
        mut answer: IncomingResponse,
        mut parser: SseParser,
        events: Vec<SseEvent>,
        sender: mpsc::Sender<BodyFrame>,
    ) {
        let mut progress = Progress::default();
        let end = self.relay_events(&mut answer, &mut parser, events, &sender, &mut progress).await;
        let usage = progress.usage(self.chat.request.prompt_tokens);
        match end {
            StreamEnd::Complete(marker) => {
                self.bill(usage).await;
                // A caller that has disconnected by now missed only the end marker.
                let _ = sender.send(Ok(Frame::data(marker))).await;
                self.finish_and_rate(usage, progress.text);
                self.count_outcome(RequestOutcome::Answered);
            }
            StreamEnd::Truncated(failure) => {
                let number = self.order.attempt;
                self.handle.step(Event::Failed(self.handle.id(), number, failure));
                let refusal = Refusal::new(Kind::AnswerCut, &self.proof);
                let body = serde_json::to_string(&refusal.body()).unwrap_or_default();
                let event = Bytes::from(format!("data: {body}\n\n"));
                let _ = sender.send(Ok(Frame::data(event))).await;
                let _ = sender.send(Err(BodyError::from("the answer was cut off"))).await;
                self.count_outcome(RequestOutcome::Truncated);
            }
            StreamEnd::Disconnected => {
                // The caller disconnected by itself, so it is charged for what was delivered.
                self.bill(usage).await;
                self.count_outcome(RequestOutcome::Disconnected);
            }
        }
    }

    /// Relays events until the stream ends or fails, or the caller disconnects.
    async fn relay_events(
        &mut self,
        answer: &mut IncomingResponse,
        parser: &mut SseParser,
        mut events: Vec<SseEvent>,
        sender: &mpsc::Sender<BodyFrame>,
        progress: &mut Progress,
    ) -> StreamEnd {
        loop {
            for event in events.drain(..) {
                progress.record(&event.payload);
                match event.payload {
                    SsePayload::End if progress.finished => return StreamEnd::Complete(event.raw),
                    SsePayload::End => return StreamEnd::Truncated(Failure::Truncated),
                    SsePayload::Usage(_) if !self.chat.request.wants_usage => continue,
                    SsePayload::Usage(_) | SsePayload::Delta { .. } | SsePayload::Other => {}
                }
                if sender.send(Ok(Frame::data(event.raw))).await.is_err() {
                    return StreamEnd::Disconnected;
                }
            }
            self.report_progress(progress);
            let next = tokio::select! {
                next = tokio::time::timeout(CHUNK_TIMEOUT, answer.chunk()) => next,
                () = sender.closed() => return StreamEnd::Disconnected,
            };
            events = match next {
                Ok(Ok(Some(chunk))) => match parser.feed(&chunk) {
                    Some(events) => events,
                    None => return StreamEnd::Truncated(Failure::Truncated),
                },
                Ok(Ok(None)) | Err(_) => return StreamEnd::Truncated(Failure::Truncated),
                Ok(Err(_)) => return StreamEnd::Truncated(Failure::Crashed),
            };
        }
    }

    /// Tells the core about new tokens, at most once per [`PROGRESS_INTERVAL`].
    fn report_progress(&self, progress: &mut Progress) {
        let due = progress.last_report.is_none_or(|at| at.elapsed() >= PROGRESS_INTERVAL);
        if due && progress.unreported_deltas > 0 {
            let tokens = std::mem::take(&mut progress.unreported_deltas);
            progress.last_report = Some(Instant::now());
            self.handle.step(Event::Progress(self.handle.id(), self.order.attempt, tokens));
        }
    }

    /// Relays a long JSON answer, withholding its last chunk until it is billed.
    async fn relay_long_json(
        mut self,
        mut answer: IncomingResponse,
        start: Vec<u8>,
        sender: mpsc::Sender<BodyFrame>,
    ) {
        let mut buffered = start.clone();
        let mut withheld = Bytes::from(start);
        let failure = loop {
            let next = tokio::time::timeout(CHUNK_TIMEOUT, answer.chunk()).await;
            match next {
                Ok(Ok(Some(chunk))) => {
                    let previous = std::mem::replace(&mut withheld, chunk.clone());
                    if buffered.len() + chunk.len() > MAX_JSON_BYTES {
                        break Failure::Truncated;
                    }
                    buffered.extend_from_slice(&chunk);
                    if sender.send(Ok(Frame::data(previous))).await.is_err() {
                        return self.count_outcome(RequestOutcome::Disconnected);
                    }
                }
                Ok(Ok(None)) => match backend::parse_completion(&buffered) {
                    Some(complete) => {
                        self.bill(complete.usage).await;
                        let _ = sender.send(Ok(Frame::data(withheld))).await;
                        self.finish_and_rate(complete.usage, complete.text);
                        return self.count_outcome(RequestOutcome::Answered);
                    }
                    None => break Failure::Truncated,
                },
                Ok(Err(_)) => break Failure::Crashed,
                Err(_) => break Failure::Truncated,
            }
        };
        self.handle.step(Event::Failed(self.handle.id(), self.order.attempt, failure));
        let _ = sender.send(Err(BodyError::from("the answer was cut off"))).await;
        self.count_outcome(RequestOutcome::Truncated);
    }

    /// Bills and closes a request whose answer is complete.
    async fn finish(mut self, usage: Usage, text: String) {
        self.bill(usage).await;
        self.finish_and_rate(usage, text);
        self.count_outcome(RequestOutcome::Answered);
    }

    /// Bills the usage; returns once the bill is stored, or can't be stored for now.
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
        if self.app.durable_bills {
            self.app.shared.bills.make_durable(bill).await;
        } else {
            self.app.shared.bills.add_unreplicated(bill);
        }
    }

    fn report_done(&self, usage: Usage) {
        self.handle.step(Event::Completed(self.handle.id(), self.order.attempt, usage));
    }

    /// Reports the end of the request, and has the answer rated if the core asks for it.
    fn finish_and_rate(&mut self, usage: Usage, text: String) {
        self.report_done(usage);
        while let Some(action) = self.handle.try_next() {
            if let Action::Rate(_, version, bucket) = action {
                let sample = RatingSample {
                    route: self.chat.route.name.clone(),
                    version,
                    request: self.chat.request.prefix.clone(),
                    answer: text.chars().take(MAX_RATED_TEXT).collect(),
                };
                tokio::spawn(rate(self.app.clone(), sample, bucket));
            }
        }
    }

    fn count_outcome(&self, outcome: RequestOutcome) {
        self.app.shared.metrics.requests.get_or_create(&outcome.into()).inc();
    }
}

/// Requests a rating and reports it to the core. A failed rating is ignored.
async fn rate(app: Arc<App>, sample: RatingSample, bucket: u8) {
    if let Ok(score) = app.shared.platform.rate(&sample).await {
        let rating = Rating { route: sample.route, version: sample.version, bucket, score };
        app.shared.router.step(Event::AnswerRated(rating));
    }
}

impl Progress {
    fn record(&mut self, payload: &SsePayload) {
        match payload {
            SsePayload::Delta { text, finished, usage } => {
                self.deltas += 1;
                self.unreported_deltas += 1;
                self.finished |= finished;
                self.usage = usage.or(self.usage);
                if self.text.len() < MAX_RATED_TEXT {
                    self.text.push_str(text);
                }
            }
            SsePayload::Usage(usage) => self.usage = Some(*usage),
            SsePayload::End | SsePayload::Other => {}
        }
    }

    /// The usage that the engine reported, or else one token for each delta.
    fn usage(&self, prompt_tokens: u32) -> Usage {
        let counted = Usage { prompt_tokens, output_tokens: self.deltas };
        self.usage.unwrap_or(counted)
    }
}
