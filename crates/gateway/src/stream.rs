//! Passing a stream of events on, and going on with it at another server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use conn::IncomingResponse;
use dispatch::{Cascade, EscalationContext, Outcome};
use error::Refusal;
use http::Response;
use tokio::sync::mpsc;

use crate::arrival::Job;
use crate::events::{Event, EventReader};
use crate::exchange::Progress;
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::reply::{Cut, Reply};
use crate::send::{Flight, Head, Sent};
use crate::wire::Dialect;

/// Events that may wait for the caller to read them.
const EVENTS_AHEAD: usize = 16;
/// A stream that is silent for longer goes on at another server.
const LONGEST_GAP: Duration = Duration::from_millis(2_500);

/// The events of one run.
struct Run<D> {
    gateway: Rc<Gateway<D>>,
    addr: SocketAddr,
    answer: Option<IncomingResponse>,
    reader: EventReader,
    flight: Flight<D>,
    first_byte: Duration,
}

/// How a run came to its end.
enum RunEnd {
    Whole,
    Broken(&'static str),
}

impl<D: 'static> Run<D> {
    /// The next whole event, or how the run ended.
    async fn next(&mut self) -> Result<Event, RunEnd> {
        loop {
            if let Some(event) = self.reader.next_event() {
                return Ok(event);
            }
            let Some(answer) = &mut self.answer else { return Err(RunEnd::Broken("closed")) };
            let waiting = tokio::time::timeout(LONGEST_GAP, answer.chunk());
            let chunk = tokio::select! {
                biased;
                chunk = waiting => chunk,
                () = self.gateway.dark(self.addr) => return Err(RunEnd::Broken("dark")),
            };
            match chunk {
                Ok(Ok(Some(bytes))) => {
                    if !self.reader.push(&bytes) {
                        return Err(RunEnd::Broken("long_event"));
                    }
                }
                Ok(Ok(None)) if self.reader.has_rest() => return Err(RunEnd::Broken("torn_event")),
                Ok(Ok(None)) => return Err(RunEnd::Whole),
                Ok(Err(_)) => return Err(RunEnd::Broken("broken")),
                Err(_) => return Err(RunEnd::Broken("silent")),
            }
        }
    }
}

impl<D: Dialect> Job<D> {
    /// Begins the answer with the first event; `None` if it is to be sent again.
    pub async fn stream(
        self: &Rc<Self>,
        progress: &mut Progress,
        head: Box<Head>,
        flight: Flight<D>,
    ) -> Result<Option<Response<Reply>>, Refusal> {
        let Head { answer, facts, status, first_byte } = *head;
        self.gateway.pressed(&self.service, first_byte, self.route.target_latency);
        if let Some(model) = self.larger_model(progress, facts.confidence) {
            self.trail(progress, &flight, "unsure");
            flight.end(Outcome::Success, Some(first_byte));
            Metrics::count(&self.gateway.metrics.repeats, "unsure");
            progress.model = model;
            progress.tried.clone_from(&progress.unreached);
            return Ok(None);
        }
        let headers = answer.head.headers.clone();
        let mut run = self.begin(answer, flight, first_byte);
        let first = match run.next().await {
            Ok(event) => Some(event),
            Err(RunEnd::Whole) => None,
            Err(RunEnd::Broken(why)) => {
                progress.runs -= 1;
                self.lost(progress, run.flight, why);
                if self.may_resume(progress) {
                    return Ok(None);
                }
                return Err(Refusal::new(error::Kind::BackendFailed, &self.proof));
            }
        };
        self.gateway.poison.borrow_mut().record_answer(self.fingerprint);
        let (sender, parts) = mpsc::channel(EVENTS_AHEAD);
        let mut response = Response::new(Reply::Parts(parts));
        *response.status_mut() = status;
        *response.headers_mut() = self.gateway.dialect.back(&headers);
        response.headers_mut().remove(http::header::CONTENT_LENGTH);
        let progress = std::mem::take(progress);
        tokio::task::spawn_local(pump(self.clone(), progress, run, first, sender));
        Ok(Some(response))
    }

    /// Begins to read the events of an answer.
    fn begin(&self, answer: IncomingResponse, flight: Flight<D>, first_byte: Duration) -> Run<D> {
        let (gateway, addr) = (self.gateway.clone(), answer.addr());
        let reader = EventReader::default();
        Run { gateway, addr, answer: Some(answer), reader, flight, first_byte }
    }

    fn larger_model(&self, progress: &Progress, confidence: Option<u8>) -> Option<usize> {
        let doubt = EscalationContext {
            model_index: progress.model,
            model_count: self.route.models.len(),
            confidence,
            time_left: (self.arrived + self.route.target_latency)
                .saturating_sub(self.gateway.now()),
            target_latency: self.route.target_latency,
            sends_left: self.route.max_attempts.saturating_sub(progress.runs),
            priority: self.route.priority,
        };
        Cascade::escalate_to(&doubt, &self.gateway.pressure(&self.service))
    }
}

/// Passes events on until the stream is whole, the caller leaves or time is up.
async fn pump<D: Dialect>(
    job: Rc<Job<D>>,
    mut progress: Progress,
    mut run: Run<D>,
    first: Option<Event>,
    sender: mpsc::Sender<Result<Bytes, Cut>>,
) {
    let gateway = job.gateway.clone();
    gateway.metrics.open.inc();
    let until = gateway.instant(job.deadline);
    let passed = tokio::select! {
        biased;
        () = sender.closed() => Err("caller_left"),
        passed = pass_on(&job, &mut progress, &mut run, first, &sender) => passed,
        () = tokio::time::sleep_until(until) => Err("deadline"),
    };
    gateway.metrics.open.dec();
    let how = match passed {
        Ok(()) => "whole",
        Err(why) => why,
    };
    job.trail(&mut progress, &run.flight, how);
    if how == "whole" {
        run.flight.end(Outcome::Success, Some(run.first_byte));
        gateway.metrics.whole.observe((gateway.now() - job.arrived).as_secs_f64());
        if let Some(session) = job.intake.session {
            let now = gateway.now();
            let mut sessions = gateway.sessions.borrow_mut();
            let version = sessions.version(session, now).cloned();
            if let Some(version) = version {
                sessions.record(session, &version, now);
            }
        }
    } else {
        // The caller sees a connection that closes before the stream's end.
        if sender.try_send(Err(Cut)).is_err() {
            log::debug!("{}: the caller does not read", job.intake.id);
        }
    }
    Metrics::count(&gateway.metrics.requests, how);
    job.log_sends(&progress, None);
}

async fn pass_on<D: Dialect>(
    job: &Rc<Job<D>>,
    progress: &mut Progress,
    run: &mut Run<D>,
    mut next: Option<Event>,
    sender: &mpsc::Sender<Result<Bytes, Cut>>,
) -> Result<(), &'static str> {
    loop {
        if let Some(event) = next.take() {
            let known = event.id.zip(progress.resume_after).is_some_and(|(id, last)| id <= last);
            if !known {
                progress.resume_after = event.id.or(progress.resume_after);
                sender.send(Ok(event.bytes)).await.map_err(|_| "caller_left")?;
            }
        }
        match run.next().await {
            Ok(event) => next = Some(event),
            Err(RunEnd::Whole) => return Ok(()),
            Err(RunEnd::Broken(why)) => resume(job, progress, run, why).await?,
        }
    }
}

/// Replaces a broken run by one that goes on behind the last event.
async fn resume<D: Dialect>(
    job: &Rc<Job<D>>,
    progress: &mut Progress,
    run: &mut Run<D>,
    why: &'static str,
) -> Result<(), &'static str> {
    if progress.resume_after.is_none() {
        return Err("cut");
    }
    job.trail(progress, &run.flight, why);
    // Closing the connection ends the run before another one begins.
    run.answer = None;
    loop {
        if !job.may_resume(progress) {
            return Err("cut");
        }
        let Ok(target) = job.choose(progress) else { return Err("cut") };
        let (sent, flight) = job.send_next(progress, &target).await;
        match sent {
            Sent::NotRun(why) => job.not_run(progress, flight, why),
            Sent::Lost(why) => job.lost(progress, flight, why),
            Sent::Head(head) if head.status.is_success() => {
                progress.runs += 1;
                Metrics::count(&job.gateway.metrics.repeats, "resumed");
                let Head { answer, first_byte, .. } = *head;
                let next = job.begin(answer, flight, first_byte);
                let broken = std::mem::replace(run, next);
                broken.flight.end(Outcome::Failed, None);
                return Ok(());
            }
            Sent::Head(_) => job.lost(progress, flight, "failed"),
        }
    }
}
