//! Model cascade: which model answers first, and when a larger one is asked instead.
//!
//! Designed for requests of uneven difficulty, all of which fit the smallest model's
//! price but only some its capability; for load peaks, during which each answer of a
//! large model delays many others; and both for routes where the value of an answer
//! far exceeds the cost of a large model and for routes where it does not.

use std::time::Duration;

use crate::run_value::RunSize;

/// Minimum confidence at which a smaller model's answer is accepted while servers are
/// idle and the costs of the models are unknown, by priority from 0 on. Operators set the
/// priority by the value of an answer.
const ACCEPT_CONFIDENCE_IDLE: [f64; 3] = [75.0, 42.0, 30.0];
/// Minimum confidence at which it is accepted at peak load, by priority.
const ACCEPT_CONFIDENCE_PEAK: [f64; 3] = [20.0, 8.0, 4.0];
/// Pressure up to which servers count as idle.
const IDLE_PRESSURE: f64 = 0.08;
/// Pressure from which servers count as at peak load.
const PEAK_PRESSURE: f64 = 0.40;
/// Fraction of the target latency that must remain for a larger model to be asked.
const MIN_TIME_LEFT_FRACTION: f64 = 0.35;
/// Processing time of the smallest model relative to that of a mid-sized one.
const SMALLEST_WORK_FACTOR: f64 = 0.4;
/// Processing time of the largest model relative to that of a mid-sized one.
const LARGEST_WORK_FACTOR: f64 = 2.5;
/// Weight of the newest answer in the moving average of the pressure.
const SMOOTHING: f64 = 0.06;

/// Load of a service's servers: the time to first byte divided by the target latency,
/// as an exponential moving average over recent answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    latency_ratio: f64,
}

impl Pressure {
    /// Records the time to first byte of an answer.
    pub fn record_answer(&mut self, first_byte: Duration, target_latency: Duration) {
        let latency_ratio = first_byte.as_secs_f64() / target_latency.as_secs_f64().max(1e-3);
        self.latency_ratio += (latency_ratio.min(2.0) - self.latency_ratio) * SMOOTHING;
    }

    /// Returns the load between idle (0) and peak (1).
    pub fn level(&self) -> f64 {
        ((self.latency_ratio - IDLE_PRESSURE) / (PEAK_PRESSURE - IDLE_PRESSURE)).clamp(0.0, 1.0)
    }
}

/// Input to the escalation decision, known once an answer's confidence arrives.
#[derive(Debug, Clone, Copy)]
pub struct EscalationContext {
    /// Index of the model that answered, smallest first.
    pub model_index: usize,
    /// Number of models on the route.
    pub model_count: usize,
    /// Confidence reported by the model, from 0 to 100.
    pub confidence: Option<u8>,
    /// Time left until the target latency is exceeded.
    pub time_left: Duration,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Number of servers that the request may still be sent to.
    pub sends_left: u32,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Size of a run of the largest model; `None` if the configuration names no cost for it or
    /// the request does not say how long it is.
    pub run: Option<RunSize>,
}

/// Why an answer is kept although larger models exist or may exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// No larger model serves the route.
    Largest,
    /// The model said nothing about its answer.
    Unrated,
    /// The confidence suffices.
    Confident,
    /// A better answer is not expected to be worth the price of the run.
    Price,
    /// It would be, but not while the servers are this loaded.
    Load,
    /// The target latency leaves too little time.
    Late,
    /// The request may not be sent again.
    Attempts,
    /// No server of the larger model can be asked now.
    Unavailable,
}

impl KeepReason {
    /// Returns the reason as it appears in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            KeepReason::Largest => "largest",
            KeepReason::Unrated => "unrated",
            KeepReason::Confident => "confident",
            KeepReason::Price => "price",
            KeepReason::Load => "load",
            KeepReason::Late => "late",
            KeepReason::Attempts => "attempts",
            KeepReason::Unavailable => "unavailable",
        }
    }
}

/// What is done with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Escalation {
    /// The model with this index is asked instead.
    Ask(usize),
    /// The answer is kept.
    Keep(KeepReason),
}

/// Chooses the models for one request.
#[derive(Debug, Clone, Copy)]
pub struct Cascade;

impl Cascade {
    /// Returns the index of the model that answers first.
    pub fn first_model() -> usize {
        0
    }

    /// Returns the processing time of a model relative to that of a mid-sized one.
    pub fn work_factor(model_index: usize, model_count: usize) -> f64 {
        match (model_index, model_count) {
            (_, 0 | 1) => 1.0,
            (0, _) => SMALLEST_WORK_FACTOR,
            (model_index, model_count) if model_index + 1 == model_count => LARGEST_WORK_FACTOR,
            _ => 1.0,
        }
    }

    /// Returns the index of the model to ask instead; `None` if the answer is
    /// accepted.
    pub fn escalate_to(context: &EscalationContext, pressure: &Pressure) -> Option<usize> {
        match Self::decide(context, pressure) {
            Escalation::Ask(model) => Some(model),
            Escalation::Keep(_) => None,
        }
    }

    /// Decides whether a larger model is asked instead.
    pub fn decide(context: &EscalationContext, pressure: &Pressure) -> Escalation {
        if context.model_index + 1 >= context.model_count {
            return Escalation::Keep(KeepReason::Largest);
        }
        let Some(confidence) = context.confidence else {
            return Escalation::Keep(KeepReason::Unrated);
        };
        if let Err(reason) = Self::is_worthwhile(context, confidence, pressure) {
            return Escalation::Keep(reason);
        }
        if context.time_left < context.target_latency.mul_f64(MIN_TIME_LEFT_FRACTION) {
            return Escalation::Keep(KeepReason::Late);
        }
        if context.sends_left == 0 {
            return Escalation::Keep(KeepReason::Attempts);
        }
        Escalation::Ask(context.model_count - 1)
    }

    /// Whether a larger model's answer is worth its run, or why not.
    fn is_worthwhile(
        context: &EscalationContext,
        confidence: u8,
        pressure: &Pressure,
    ) -> Result<(), KeepReason> {
        let Some(run) = context.run else {
            let threshold = Self::acceptance_threshold(pressure, context.priority);
            let unsure = f64::from(confidence) < threshold;
            return if unsure { Ok(()) } else { Err(KeepReason::Confident) };
        };
        let surplus = run.expected_gain(confidence, context.priority) - run.price();
        if surplus <= 0.0 {
            return Err(KeepReason::Price);
        }
        if surplus <= run.time_price(LARGEST_WORK_FACTOR, pressure.level()) {
            return Err(KeepReason::Load);
        }
        Ok(())
    }

    /// Returns the minimum confidence at which an answer is accepted.
    fn acceptance_threshold(pressure: &Pressure, priority: u8) -> f64 {
        let priority = usize::from(priority).min(ACCEPT_CONFIDENCE_IDLE.len() - 1);
        ACCEPT_CONFIDENCE_IDLE[priority]
            + (ACCEPT_CONFIDENCE_PEAK[priority] - ACCEPT_CONFIDENCE_IDLE[priority])
                * pressure.level()
    }
}
