//! Which model answers first, and when a larger one answers instead.
//!
//! The load it answers: requests of unlike difficulty that all fit the
//! smallest model's price and only some its skill.

use std::time::Duration;

/// The confidence, from 0 to 100, at which an answer of a smaller model is kept.
const KEEP_FROM: u8 = 55;
/// The share of the aim that must be left for a larger model to be asked.
const LEFT_SHARE: f64 = 0.35;

/// The choice of models of one request.
#[derive(Debug, Clone, Copy)]
pub struct Cascade;

impl Cascade {
    /// The place of the model that answers first, among `sizes` models.
    pub fn first(_sizes: usize) -> usize {
        0
    }

    /// The place of the model to ask instead; `None` if the answer is kept.
    ///
    /// `left` is what is left of the time in which an answer is on time, and
    /// `sends_left` the number of servers that may still be asked.
    pub fn instead(
        place: usize,
        sizes: usize,
        confidence: Option<u8>,
        left: Duration,
        aim: Duration,
        sends_left: u32,
    ) -> Option<usize> {
        let larger = place + 1 < sizes;
        let low = confidence.is_some_and(|confidence| confidence < KEEP_FROM);
        let time = left >= aim.mul_f64(LEFT_SHARE);
        (larger && low && time && sends_left > 0).then_some(sizes - 1)
    }
}
