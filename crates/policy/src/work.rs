//! Estimates of a request's work, learnt by route and length.

use std::collections::HashMap;

use config::{Name, WorkClass};

use crate::event::{Arrival, Usage};

const FIRST_GUESS_SHORT: f64 = 60.0;
const FIRST_GUESS_LONG: f64 = 600.0;
const LEARNING_RATE: f64 = 0.1;
/// A prompt token takes this part of the time of an output token.
const PROMPT_WEIGHT: f64 = 0.05;

/// What is known of the length of answers.
#[derive(Debug, Default)]
pub struct WorkModel {
    output: HashMap<(Name, u8), f64>,
}

impl WorkModel {
    /// The estimated work in units of one output token.
    pub fn estimate(&self, arrival: &Arrival, class: WorkClass) -> f64 {
        let key = (arrival.route.clone(), bucket(arrival.prompt_tokens));
        let guess = match class {
            WorkClass::Short => FIRST_GUESS_SHORT,
            WorkClass::Long => FIRST_GUESS_LONG,
        };
        let learnt = self.output.get(&key).copied().unwrap_or(guess);
        let output = match arrival.max_tokens {
            Some(max) => learnt.min(f64::from(max)),
            None => learnt,
        };
        1.0 + output + PROMPT_WEIGHT * f64::from(arrival.prompt_tokens)
    }

    /// Learns from a whole answer.
    pub fn learn(&mut self, arrival: &Arrival, usage: Usage) {
        let key = (arrival.route.clone(), bucket(arrival.prompt_tokens));
        let seen = f64::from(usage.output_tokens);
        let mean = self.output.entry(key).or_insert(seen);
        *mean += LEARNING_RATE * (seen - *mean);
    }
}

/// The length class of a prompt: one for each fourfold growth from 16 tokens.
pub fn bucket(prompt_tokens: u32) -> u8 {
    let steps = (prompt_tokens / 16).checked_ilog2().map_or(0, |log| log / 2 + 1);
    steps.min(6) as u8
}
