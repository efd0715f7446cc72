//! Estimates the work of a request, from averages per route and prompt length.

use std::collections::HashMap;

use config::{Name, WorkClass};

use crate::event::{Arrival, Usage};

/// The expected answer length of short work until there are samples, in tokens.
const INITIAL_OUTPUT_SHORT: f64 = 60.0;
/// The expected answer length of long work until there are samples, in tokens.
const INITIAL_OUTPUT_LONG: f64 = 600.0;
/// The weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The cost of a prompt token relative to an output token.
const PROMPT_WEIGHT: f64 = 0.05;

/// Moving averages of the answer length by route and prompt length bucket.
#[derive(Debug, Default)]
pub struct WorkModel {
    output_tokens: HashMap<(Name, u8), f64>,
}

impl WorkModel {
    /// Estimates the work of a request in units of one output token.
    pub fn estimate(&self, arrival: &Arrival, class: WorkClass) -> f64 {
        let key = (arrival.route.clone(), bucket(arrival.prompt_tokens));
        let initial = match class {
            WorkClass::Short => INITIAL_OUTPUT_SHORT,
            WorkClass::Long => INITIAL_OUTPUT_LONG,
        };
        let mean = self.output_tokens.get(&key).copied().unwrap_or(initial);
        let output = match arrival.max_tokens {
            Some(max) => mean.min(f64::from(max)),
            None => mean,
        };
        1.0 + output + PROMPT_WEIGHT * f64::from(arrival.prompt_tokens)
    }

    /// Updates the average with the token count of a complete answer.
    pub fn record_answer(&mut self, arrival: &Arrival, usage: Usage) {
        let key = (arrival.route.clone(), bucket(arrival.prompt_tokens));
        let output = f64::from(usage.output_tokens);
        let mean = self.output_tokens.entry(key).or_insert(output);
        *mean += SAMPLE_WEIGHT * (output - *mean);
    }
}

/// Returns the length bucket of a prompt. Buckets start at 16 tokens, and each covers
/// four times the length of the previous one.
pub fn bucket(prompt_tokens: u32) -> u8 {
    let steps = (prompt_tokens / 16).checked_ilog2().map_or(0, |log| log / 2 + 1);
    steps.min(6) as u8
}
