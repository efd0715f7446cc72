//! Compares the pace of a new version's answers with that of the version beside it.
//!
//! A slow version may begin its answers in time. So the time between the events of a
//! stream counts as well as the time to the first one, and for short answers the time to
//! their end. Each answer is compared with like ones of the old version, of the same route
//! and model, at the same time. Load slows both down, and the servers of a new version have
//! less of it: how the pauses grow with the requests on a server is learned from the old
//! version's answers.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;

/// Number of pauses between events from which on their mean is the pace of a stream that
/// has ended.
const MIN_PAUSES: u32 = 2;
/// Number of pauses between events after which a stream that goes on is judged.
const EARLY_PAUSES: u32 = 8;
/// Number of answers from which on their mean is compared with.
const MIN_ANSWERS: u32 = 5;
/// Weight of a new answer in the mean, once there are enough.
const WEIGHT: f64 = 1.0 / 16.0;
/// Upper limit of a ratio, so that single answers don't decide.
const MAX_RATIO: f64 = 4.0;
/// Divisor of the ratio of first events: the caches of a new version's servers are empty.
const FIRST_EVENT_ALLOWANCE: f64 = 1.5;
/// Least variance of the load from which on the growth of the pauses with it is learned.
const MIN_LOAD_VARIANCE: f64 = 0.5;
/// What an idle server's pauses are taken for at least, as a fraction of the mean.
const MIN_IDLE_FRACTION: f64 = 0.3;
/// How long after its last answer a mean is compared with.
const MAX_AGE: Duration = Duration::from_secs(4);

/// What of an answer was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Pace {
    /// The time to the first event of a stream.
    FirstEvent,
    /// The mean pause between the events of a stream.
    Pause,
    /// The time from the send to the end.
    Whole,
}

/// Answers that are alike: those of one route by one model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PaceClass {
    /// Route.
    pub route: Name,
    /// Model, empty for a plain service.
    pub model: Name,
}

/// The times of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerTimes {
    /// Time to the first event of a stream.
    pub first_event: Option<Duration>,
    /// Mean pause between the events of a stream with enough of them.
    pub pause: Option<Duration>,
    /// Time to the end, if it has ended.
    pub whole: Option<Duration>,
    /// Number of requests on the server, if it reports that.
    pub load: Option<u32>,
    /// How many times as slow as usual the server says that it is.
    pub slowdown: Option<f64>,
}

impl AnswerTimes {
    /// Returns what is compared, each with its divisor. Of a stream with several events the
    /// time to the end says how long the answer is, so that it does not count.
    fn measures(&self) -> impl Iterator<Item = (Pace, Duration, f64)> {
        let whole = self.whole.filter(|_| self.pause.is_none());
        // The report is as old as the answer, so it says little of the pauses that follow.
        let slowdown = self.slowdown.unwrap_or(1.0).max(1.0);
        let measures = [
            (Pace::FirstEvent, self.first_event, FIRST_EVENT_ALLOWANCE * slowdown),
            (Pace::Pause, self.pause, 1.0),
            (Pace::Whole, whole, slowdown),
        ];
        measures.into_iter().filter_map(|(pace, time, divisor)| Some((pace, time?, divisor)))
    }
}

/// The pauses between the events of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamPace {
    pauses: u32,
    waited: Duration,
}

impl StreamPace {
    /// Records how long it took until the next event came.
    pub fn record_pause(&mut self, waited: Duration) {
        self.pauses += 1;
        self.waited += waited;
    }

    /// Whether a stream that goes on is to be judged now.
    pub fn is_due(&self) -> bool {
        self.pauses == EARLY_PAUSES
    }

    /// Returns the mean pause, unless there were too few.
    pub fn mean_pause(&self) -> Option<Duration> {
        (self.pauses >= MIN_PAUSES).then(|| self.waited / self.pauses)
    }
}

/// The pace of the answers of the current versions.
#[derive(Debug, Default)]
pub struct PaceReference {
    means: HashMap<(PaceClass, Pace), Mean>,
}

#[derive(Debug, Clone, Copy)]
struct Mean {
    answers: u32,
    time_ms: f64,
    /// Mean load, its variance, and its covariance with the time.
    load: f64,
    load_variance: f64,
    covariance: f64,
    last_at: MonotonicTime,
}

impl Mean {
    fn new(time_ms: f64, load: f64, now: MonotonicTime) -> Self {
        let (load_variance, covariance) = (0.0, 0.0);
        Mean { answers: 0, time_ms, load, load_variance, covariance, last_at: now }
    }

    fn add(&mut self, time_ms: f64, load: Option<f64>, now: MonotonicTime) {
        self.answers += 1;
        self.last_at = now;
        let weight = (1.0 / f64::from(self.answers)).max(WEIGHT);
        let time = time_ms.min(self.time_ms * MAX_RATIO) - self.time_ms;
        self.time_ms += weight * time;
        let load = load.unwrap_or(self.load) - self.load;
        self.load += weight * load;
        self.load_variance = (1.0 - weight) * (self.load_variance + weight * load * load);
        self.covariance = (1.0 - weight) * (self.covariance + weight * load * time);
    }

    /// Returns the time that is expected at a load.
    fn expected_ms(&self, load: Option<f64>) -> f64 {
        let slope = match self.load_variance >= MIN_LOAD_VARIANCE {
            true => (self.covariance / self.load_variance).max(0.0),
            false => 0.0,
        };
        let at_load = self.time_ms + slope * (load.unwrap_or(self.load) - self.load);
        at_load.max(self.time_ms * MIN_IDLE_FRACTION).max(1.0)
    }
}

impl PaceReference {
    /// Records an answer of the current version.
    pub fn record(&mut self, class: &PaceClass, times: &AnswerTimes, now: MonotonicTime) {
        for (pace, time, _) in times.measures() {
            let (time_ms, load) = (time.as_secs_f64() * 1e3, times.load.map(f64::from));
            let mean = self.means.entry((class.clone(), pace));
            let mean = mean.or_insert_with(|| Mean::new(time_ms, load.unwrap_or_default(), now));
            mean.add(time_ms, load, now);
        }
    }

    /// Returns how many times as long as like answers of the current version an answer
    /// takes, at most 4; `None` if there are no recent ones to compare it with.
    pub fn ratio(&self, class: &PaceClass, times: &AnswerTimes, now: MonotonicTime) -> Option<f64> {
        // Among streams with several events, one without says little.
        let is_short = times.first_event.is_some() && times.pause.is_none();
        if is_short && self.mean(class, Pace::Pause, now).is_some() {
            return None;
        }
        let ratios = times.measures().filter_map(|(pace, time, divisor)| {
            let mean = self.mean(class, pace, now)?;
            let load = times.load.map(f64::from).filter(|_| pace == Pace::Pause);
            Some(time.as_secs_f64() * 1e3 / mean.expected_ms(load) / divisor)
        });
        ratios.map(|ratio| ratio.min(MAX_RATIO)).max_by(f64::total_cmp)
    }

    /// Returns the mean of a class if it is recent and of enough answers.
    fn mean(&self, class: &PaceClass, pace: Pace, now: MonotonicTime) -> Option<&Mean> {
        let mean = self.means.get(&(class.clone(), pace))?;
        let is_recent = now.saturating_sub(mean.last_at) <= MAX_AGE;
        (mean.answers >= MIN_ANSWERS && is_recent).then_some(mean)
    }
}
