//! Forwarding of event streams and their resumption at another server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use conn::{Held, IncomingResponse};
use dispatch::{
    AnswerTimes, Cascade, Escalation, EscalationContext, KeepReason, LoadReport, Outcome, RunSize,
    StreamPace,
};
use error::Refusal;
use http::{HeaderValue, Response, header};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::arrival::Exchange;
use crate::body::{Chunk, ResponseBody};
use crate::events::{Event, EventReader};
use crate::exchange::{AnswerRating, Progress};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::send::{InFlight, PendingResponse, ProbeFinding, SendResult, Target};
use crate::wire::Dialect;

/// Maximum number of events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 16;
/// Share of the tokens that may be generated which an answer is expected to have if the caller
/// gives no estimate.
const USUAL_OUTPUT_SHARE: f64 = 0.25;
/// Maximum time between two complete events, after which the stream is resumed at another
/// server if it may be and one can take it.
const MAX_EVENT_GAP: Duration = Duration::from_millis(2_500);

/// The event stream of one send.
struct EventStream<D> {
    gateway: Rc<Gateway<D>>,
    addr: SocketAddr,
    response: Option<IncomingResponse>,
    reader: EventReader,
    /// The memory of the bytes in `reader`.
    held: Held,
    in_flight: InFlight<D>,
    first_byte: Duration,
    pace: StreamPace,
    /// Load of the server when the answer began.
    load: Option<LoadReport>,
    /// The media type of the answer.
    content_type: Option<HeaderValue>,
}

/// How an event stream ended.
enum StreamEnd {
    /// The server terminated the stream after a complete event.
    Complete,
    /// The stream failed for the given reason.
    Broken(&'static str),
}

impl<D: Dialect> EventStream<D> {
    /// Whether an answer is a stream like this one, rather than an error.
    fn is_continued_by(&self, answer: &PendingResponse) -> bool {
        let content_type = answer.response.head.headers.get(header::CONTENT_TYPE);
        answer.status.is_success() && content_type == self.content_type.as_ref()
    }

    /// The times of the answer so far; `whole` if it has ended.
    fn times(&self, whole: Option<Duration>) -> AnswerTimes {
        let (first_event, pause) = (Some(self.first_byte), self.pace.mean_pause());
        let load = self.load.map(|report| report.running);
        let slowdown = self.load.map(|report| report.slowdown);
        AnswerTimes { first_event, pause, whole, load, slowdown }
    }

    /// Returns the next complete event, or how the stream ended.
    ///
    /// A server may pause a request for long. Its silence ends the stream only if the request can
    /// go on elsewhere; otherwise the connection shows whether the server is still there.
    async fn next(
        &mut self,
        exchange: &Exchange<D>,
        progress: &Progress,
    ) -> Result<Event, StreamEnd> {
        let may_resume = exchange.may_resume(progress);
        let mut until = Instant::now() + MAX_EVENT_GAP;
        loop {
            if let Some(Event { bytes, id }) = self.reader.next_event() {
                let bytes = self.held.split(bytes.len()).keep_with(bytes);
                return Ok(Event { bytes, id });
            }
            let Some(response) = &mut self.response else {
                return Err(StreamEnd::Broken("closed"));
            };
            let next_chunk = tokio::time::timeout_at(until, response.chunk());
            let server = &self.in_flight.server;
            let gives_up = async |finding| may_resume && finding == ProbeFinding::Dark;
            let chunk = tokio::select! {
                biased;
                chunk = next_chunk => chunk,
                () = self.gateway.wait_until_unreachable(server, self.addr, gives_up) => {
                    return Err(StreamEnd::Broken("dark"));
                }
            };
            match chunk {
                Ok(Ok(Some(bytes))) => {
                    let waiting_since = Instant::now();
                    self.held.grow(bytes.len()).await;
                    // The server can't send while this instance has no room.
                    until += waiting_since.elapsed();
                    if !self.reader.push(&bytes) {
                        return Err(StreamEnd::Broken("long_event"));
                    }
                }
                Ok(Ok(None)) if self.reader.has_partial_event() => {
                    return Err(StreamEnd::Broken("torn_event"));
                }
                Ok(Ok(None)) => return Err(StreamEnd::Complete),
                Ok(Err(_)) => return Err(StreamEnd::Broken("broken")),
                Err(_) if may_resume && exchange.reaches_other_server(progress, server).await => {
                    return Err(StreamEnd::Broken("silent"));
                }
                Err(_) => until = Instant::now() + MAX_EVENT_GAP,
            }
        }
    }
}

impl<D: Dialect> Exchange<D> {
    /// Waits for the first event and starts the response to the caller. Returns `None` if the
    /// request should be sent again.
    pub async fn start_stream(
        self: &Rc<Self>,
        progress: &mut Progress,
        pending: Box<PendingResponse>,
        in_flight: InFlight<D>,
    ) -> Result<Option<Response<ResponseBody>>, Refusal> {
        let PendingResponse { response, info, status, first_byte, .. } = *pending;
        // The helper has judged an answer that it passes on.
        let mut larger_model = match in_flight.helper {
            Some(_) => None,
            None => {
                let target_latency = self.route.target_latency;
                self.gateway.record_first_byte(&self.service, first_byte, target_latency);
                self.larger_model(progress, info.confidence)
            }
        };
        // Whether a server survives a prompt that is new shows in its first event.
        if let Some(model) = larger_model
            && self.gateway.blame.borrow().is_proven(&self.request.prompt_parts)
        {
            match self.choose_larger(progress, model).await {
                Some(target) => {
                    self.escalate(progress, in_flight, model, target);
                    return Ok(None);
                }
                None => {
                    self.keep_for(progress, KeepReason::Unavailable);
                    larger_model = None;
                }
            }
        }
        let headers = response.head.headers.clone();
        let mut stream = self.read_events(response, in_flight, first_byte, info.report);
        let first = match stream.next(self, progress).await {
            Ok(event) => Some(event),
            Err(StreamEnd::Complete) => None,
            Err(StreamEnd::Broken(reason)) => {
                // `record_lost` counts this send again.
                progress.possible_runs = progress.possible_runs.saturating_sub(1);
                self.check_broken_help(&stream.in_flight);
                self.record_lost(progress, stream.in_flight, reason);
                if self.may_resume(progress) {
                    return Ok(None);
                }
                return Err(Refusal::new(error::Kind::BackendFailed, &self.proof));
            }
        };
        if let Some(model) = larger_model {
            match self.choose_larger(progress, model).await {
                Some(target) => {
                    self.escalate(progress, stream.in_flight, model, target);
                    return Ok(None);
                }
                None => self.keep_for(progress, KeepReason::Unavailable),
            }
        }
        stream.in_flight.record_begun();
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
        let mut response = Response::new(ResponseBody::Stream(receiver));
        *response.status_mut() = status;
        let server = stream.in_flight.server.clone();
        *response.headers_mut() = self.response_headers(progress, server, &headers);
        response.headers_mut().remove(header::CONTENT_LENGTH);
        let progress = std::mem::take(progress);
        tokio::task::spawn_local(forward_events(self.clone(), progress, stream, first, sender));
        Ok(Some(response))
    }

    /// Chooses the server that a larger model is asked at; `None` if none can be asked now, so
    /// that the answer is better kept.
    async fn choose_larger(&self, progress: &mut Progress, model: usize) -> Option<Target> {
        let smaller = std::mem::replace(&mut progress.model_index, model);
        let tried = std::mem::replace(&mut progress.tried, progress.unreachable.clone());
        let target = self.choose_target(progress).await.ok();
        progress.model_index = smaller;
        progress.tried = tried;
        target
    }

    /// Drops an answer to ask a larger model instead.
    fn escalate(
        &self,
        progress: &mut Progress,
        in_flight: InFlight<D>,
        model: usize,
        target: Target,
    ) {
        self.record_attempt(progress, &in_flight, "unsure");
        in_flight.end_dropped();
        Metrics::count(&self.gateway.metrics.retries, "unsure");
        progress.model_index = model;
        progress.tried.clone_from(&progress.unreachable);
        progress.next_target = Some(target);
    }

    /// Starts reading the events of a response.
    fn read_events(
        &self,
        response: IncomingResponse,
        in_flight: InFlight<D>,
        first_byte: Duration,
        load: Option<LoadReport>,
    ) -> EventStream<D> {
        let (gateway, addr) = (self.gateway.clone(), response.addr());
        let content_type = response.head.headers.get(header::CONTENT_TYPE).cloned();
        EventStream {
            gateway,
            addr,
            response: Some(response),
            reader: EventReader::default(),
            held: self.gateway.pool.memory().hold(),
            in_flight,
            first_byte,
            pace: StreamPace::default(),
            load,
            content_type,
        }
    }

    /// The index of a larger model to ask instead, if the confidence of the current one is too
    /// low.
    fn larger_model(&self, progress: &mut Progress, confidence: Option<u8>) -> Option<usize> {
        let context = EscalationContext {
            model_index: progress.model_index,
            model_count: self.route.models.len(),
            confidence,
            time_left: (self.arrived + self.route.target_latency)
                .saturating_sub(self.gateway.now()),
            target_latency: self.route.target_latency,
            sends_left: self.route.max_attempts.saturating_sub(progress.possible_runs),
            priority: self.route.priority,
            run: self.largest_run(),
        };
        let escalation = Cascade::decide(&context, &self.gateway.pressure(&self.service));
        if self.route.models.len() > 1 {
            progress.answer_rating = Some(AnswerRating { confidence, escalation });
        }
        match escalation {
            Escalation::Ask(model) => Some(model),
            Escalation::Keep(reason) => {
                self.keep_for(progress, reason);
                None
            }
        }
    }

    /// Records why an answer is kept, if there are several models.
    fn keep_for(&self, progress: &mut Progress, reason: KeepReason) {
        if let Some(rating) = &mut progress.answer_rating {
            rating.escalation = Escalation::Keep(reason);
            Metrics::count(&self.gateway.metrics.kept_answers, reason.name());
        }
    }

    /// Returns the size of a run of the route's largest model, if its cost is configured and the
    /// request says how long it is.
    fn largest_run(&self) -> Option<RunSize> {
        let largest = self.route.models.last()?;
        let catalog = self.gateway.catalog()?;
        let engine = catalog.services.get(&self.service)?.engine.as_ref()?;
        let model = engine.models.iter().find(|model| model.name == *largest)?;
        if model.cost <= 0.0 {
            return None;
        }
        let parts = self.request.prompt_parts.iter().map(|part| f64::from(part.tokens)).sum();
        let maximum = f64::from(self.request.max_output_tokens);
        let expected = self.request.length_hint.map(f64::from);
        let expected = expected.unwrap_or(maximum * USUAL_OUTPUT_SHARE);
        RunSize::new(
            f64::max(parts, f64::from(self.request.prompt_tokens)),
            if maximum > 0.0 { expected.min(maximum) } else { expected },
        )
    }
}

/// Forwards events until the stream is complete, the caller disconnects or the deadline
/// passes, and records the result.
async fn forward_events<D: Dialect>(
    exchange: Rc<Exchange<D>>,
    mut progress: Progress,
    mut stream: EventStream<D>,
    first: Option<Event>,
    sender: mpsc::Sender<Chunk>,
) {
    let gateway = exchange.gateway.clone();
    gateway.metrics.open_requests.inc();
    let until = gateway.instant(exchange.deadline);
    let outcome = tokio::select! {
        biased;
        () = sender.closed() => Err("caller_left"),
        outcome = relay_events(&exchange, &mut progress, &mut stream, first, &sender) => outcome,
        () = tokio::time::sleep_until(until) => Err("deadline"),
        () = gateway.cutoff.cancelled() => Err("draining"),
    };
    gateway.metrics.open_requests.dec();
    let result = match outcome {
        Ok(()) => "whole",
        Err(reason) => reason,
    };
    let is_whole = result == "whole";
    if is_whole {
        let whole = gateway.now().saturating_sub(stream.in_flight.sent_at);
        let times = stream.times(Some(whole));
        stream.in_flight.record_pace(&exchange.pace_class(&progress), &times);
    } else if stream.pace.mean_pause().is_some() {
        let times = stream.times(None);
        stream.in_flight.compare_pace(&exchange.pace_class(&progress), &times);
    }
    exchange.record_attempt(&mut progress, &stream.in_flight, result);
    if is_whole {
        exchange.record_survived();
        stream.in_flight.end(Outcome::Success);
        gateway.metrics.whole_answer.observe((gateway.now() - exchange.arrived).as_secs_f64());
    }
    let outcomes = gateway.metrics.requests_by_origin(exchange.handover.is_some());
    Metrics::count(outcomes, result);
    exchange.log_request(&progress, None);
}

/// Forwards events to the caller and resumes the stream when it breaks.
///
/// Events up to the last forwarded id are skipped.
async fn relay_events<D: Dialect>(
    exchange: &Rc<Exchange<D>>,
    progress: &mut Progress,
    stream: &mut EventStream<D>,
    mut next: Option<Event>,
    sender: &mpsc::Sender<Chunk>,
) -> Result<(), &'static str> {
    loop {
        if let Some(event) = next.take() {
            if progress.resume_after.is_some() && event.id.is_none() && !event.is_comment() {
                // The pieces of this stream have ids: the server sent something else.
                resume(exchange, progress, stream, "foreign_event").await?;
                continue;
            }
            let already_sent =
                event.id.zip(progress.resume_after).is_some_and(|(id, last)| id <= last);
            if !already_sent {
                progress.resume_after = event.id.or(progress.resume_after);
                sender.send(Chunk::Data(event.bytes)).await.map_err(|_| "caller_left")?;
            }
        }
        let waiting_since = Instant::now();
        match stream.next(exchange, progress).await {
            Ok(event) => {
                stream.pace.record_pause(waiting_since.elapsed());
                if stream.pace.is_due() {
                    let times = stream.times(None);
                    stream.in_flight.compare_pace(&exchange.pace_class(progress), &times);
                }
                next = Some(event);
            }
            Err(StreamEnd::Complete) => {
                return sender.send(Chunk::End).await.map_err(|_| "caller_left");
            }
            Err(StreamEnd::Broken(reason)) => resume(exchange, progress, stream, reason).await?,
        }
    }
}

/// Sends the request again and replaces the broken stream by one that continues after the
/// last forwarded event.
async fn resume<D: Dialect>(
    exchange: &Rc<Exchange<D>>,
    progress: &mut Progress,
    stream: &mut EventStream<D>,
    reason: &'static str,
) -> Result<(), &'static str> {
    stream.in_flight.record_loss(exchange.suspect_after(reason));
    if progress.resume_after.is_none() {
        return Err("cut");
    }
    exchange.record_attempt(progress, &stream.in_flight, reason);
    exchange.check_broken_help(&stream.in_flight);
    // Dropping the response closes the connection, which ends this run on the server before
    // the next one starts.
    stream.response = None;
    loop {
        if !exchange.may_resume(progress) {
            return Err("cut");
        }
        let Ok(mut target) = exchange.choose_target(progress).await else { return Err("cut") };
        let (result, in_flight) = exchange.send_next(progress, &mut target).await;
        match result {
            SendResult::NotRun(reason) => exchange.record_not_run(progress, in_flight, reason),
            SendResult::Lost(reason) => {
                if target.is_helper {
                    // How often the other instance sent it is not known.
                    progress.possible_runs = exchange.route.max_attempts;
                }
                exchange.record_lost(progress, in_flight, reason);
            }
            SendResult::Answered(pending) if stream.is_continued_by(&pending) => {
                exchange.count_runs(progress, &pending);
                Metrics::count(&exchange.gateway.metrics.retries, "resumed");
                let PendingResponse { response, info, first_byte, .. } = *pending;
                *stream = exchange.read_events(response, in_flight, first_byte, info.report);
                return Ok(());
            }
            SendResult::Answered(_) => exchange.record_lost(progress, in_flight, "failed"),
            SendResult::Declined(reason) => {
                exchange.record_declined(progress, in_flight, reason);
            }
            SendResult::GivenUp(kind) => exchange.record_lost(progress, in_flight, kind.name()),
        }
    }
}
