//! What a good answer is worth against what the run of a larger model costs.
//!
//! Designed for routes whose prompts and answers differ in length by a factor of a hundred,
//! so that a run of the largest model costs as much as the answer is worth for some requests
//! and next to nothing for others, and for peaks at which each run delays many others.
//!
//! The unit of value and cost is the price of one generated token of the largest model, so
//! that the decisions do not depend on the currency of the configured costs.

use crate::place::PREFILL_TOKENS_PER_MS;

/// Value of a good answer for each unit of its size, by priority from 0 on. Operators set the
/// priority by the value of an answer.
const VALUE: [f64; 3] = [4.5, 1.1, 0.5];
/// Size of a generated token in units; a prompt token is one unit.
const GENERATED_TOKEN_SIZE: f64 = 10.0;
/// Price of a prompt token.
const PROMPT_TOKEN_PRICE: f64 = 0.25;
/// Fraction of the value that is lost with an answer that is not good enough.
const POOR_ANSWER_LOSS: f64 = 0.95;
/// Confidence at which an answer is as likely good enough as not.
const EVEN_CONFIDENCE: f64 = 50.0;
/// Change of the confidence by which the odds change by a factor of e.
const CONFIDENCE_SCALE: f64 = 3.0;
/// Engine time that a generated token takes from the other requests of a batch, in ms.
const GENERATED_TOKEN_MS: f64 = 0.25;
/// Price of an engine's time while its servers are at peak load, per ms.
const PEAK_TIME_PRICE: f64 = 160.0;

/// Size of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunSize {
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Expected number of generated tokens.
    pub output_tokens: f64,
}

impl RunSize {
    /// Creates the size of a run; `None` if it is empty, which is to say unknown.
    pub fn new(prompt_tokens: f64, output_tokens: f64) -> Option<Self> {
        let size = RunSize { prompt_tokens, output_tokens };
        (prompt_tokens + output_tokens > 0.0).then_some(size)
    }

    /// Returns the value of a good answer.
    pub fn value(&self, priority: u8) -> f64 {
        let size = self.prompt_tokens + GENERATED_TOKEN_SIZE * self.output_tokens;
        VALUE[usize::from(priority).min(VALUE.len() - 1)] * size
    }

    /// Returns the price of a run of the largest model.
    pub fn price(&self) -> f64 {
        PROMPT_TOKEN_PRICE * self.prompt_tokens + self.output_tokens
    }

    /// Returns the price of the engine time of a run, at a load from 0 (idle) to 1 (peak).
    ///
    /// It is quadratic in the load: requests delay each other little until servers have queues.
    pub fn time_price(&self, work_factor: f64, load: f64) -> f64 {
        let time_ms = self.prompt_tokens * work_factor / PREFILL_TOKENS_PER_MS
            + GENERATED_TOKEN_MS * self.output_tokens;
        PEAK_TIME_PRICE * load * load * time_ms
    }

    /// Returns what a better answer is expected to gain over one with the given confidence,
    /// from 0 to 100.
    pub fn expected_gain(&self, confidence: u8, priority: u8) -> f64 {
        let distance = f64::from(confidence) - EVEN_CONFIDENCE;
        let poor_probability = 1.0 / (1.0 + (distance / CONFIDENCE_SCALE).exp());
        POOR_ANSWER_LOSS * poor_probability * self.value(priority)
    }
}
