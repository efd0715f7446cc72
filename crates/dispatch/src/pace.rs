//! Compares the pace of a new version's answers with that of the version beside it.
//!
//! A slow version may begin its answers in time. So the time between the events of a
//! stream counts as well as the time to the first one, and for short answers the time to
//! their end. Each answer is compared with like ones of the old version, of the same route
//! and model, at the same time: load slows both down.

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Time to the first event of a stream.
    pub first_event: Option<Duration>,
    /// Mean pause between the events of a stream with enough of them.
    pub pause: Option<Duration>,
    /// Time to the end, if it has ended.
    pub whole: Option<Duration>,
}

impl AnswerTimes {
    /// Returns what is compared, each with its divisor. Of a stream with several events the
    /// time to the end says how long the answer is, so that it does not count.
    fn measures(&self) -> impl Iterator<Item = (Pace, Duration, f64)> {
        let whole = self.whole.filter(|_| self.pause.is_none());
        let measures = [
            (Pace::FirstEvent, self.first_event, FIRST_EVENT_ALLOWANCE),
            (Pace::Pause, self.pause, 1.0),
            (Pace::Whole, whole, 1.0),
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
    last_at: MonotonicTime,
}

impl PaceReference {
    /// Records an answer of the current version.
    pub fn record(&mut self, class: &PaceClass, times: &AnswerTimes, now: MonotonicTime) {
        for (pace, time, _) in times.measures() {
            let time_ms = time.as_secs_f64() * 1e3;
            let mean = self.means.entry((class.clone(), pace));
            let mean = mean.or_insert(Mean { answers: 0, time_ms, last_at: now });
            mean.answers += 1;
            mean.last_at = now;
            let weight = (1.0 / f64::from(mean.answers)).max(WEIGHT);
            mean.time_ms += weight * (time_ms.min(mean.time_ms * MAX_RATIO) - mean.time_ms);
        }
    }

    /// Returns how many times as long as like answers of the current version an answer
    /// takes, at most 4; `None` if there are no recent ones to compare it with.
    pub fn ratio(&self, class: &PaceClass, times: &AnswerTimes, now: MonotonicTime) -> Option<f64> {
        let ratios = times.measures().filter_map(|(pace, time, divisor)| {
            let mean = self.means.get(&(class.clone(), pace))?;
            let is_usable =
                mean.answers >= MIN_ANSWERS && now.saturating_sub(mean.last_at) <= MAX_AGE;
            is_usable.then(|| time.as_secs_f64() * 1e3 / mean.time_ms.max(1.0) / divisor)
        });
        ratios.map(|ratio| ratio.min(MAX_RATIO)).max_by(f64::total_cmp)
    }
}
