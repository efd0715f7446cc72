//! Which model answers first, and when a larger one answers instead.
//!
//! The load it answers: requests of unlike difficulty, all within the smallest
//! model's price and only some within its skill, and crests at which each
//! answer of a large model delays many others; routes whose answers are worth
//! much beside what a large model costs, and routes whose answers are not.

use std::time::Duration;

/// The confidence from which a smaller model's answer is kept while servers are
/// idle, by rank from 0 on. The rank is what operators say of an answer's worth;
/// of the ways tried on the sites (docs/POLICY.md) this one serves best.
const KEEP_IDLE: [f64; 3] = [75.0, 42.0, 30.0];
/// The confidence from which it is kept at a crest, by rank.
const KEEP_CREST: [f64; 3] = [20.0, 8.0, 4.0];
/// The pressure up to which servers count as idle.
const IDLE_PRESSURE: f64 = 0.08;
/// The pressure from which they are at a crest.
const CREST_PRESSURE: f64 = 0.40;
/// The share of the aim that must be left for a larger model to be asked.
const LEFT_SHARE: f64 = 0.35;
/// How many times longer the smallest model works than a middling one.
const SMALLEST_EFFORT: f64 = 0.4;
/// How many times longer the largest model works than a middling one.
const LARGEST_EFFORT: f64 = 2.5;
/// The weight of the newest answer in the pressure.
const NEWEST: f64 = 0.06;

/// How pressed the servers of a service are: the time to the first byte as a
/// share of the aim, averaged over recent answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    share: f64,
}

impl Pressure {
    /// Counts an answer.
    pub fn answered(&mut self, first_byte: Duration, aim: Duration) {
        let share = first_byte.as_secs_f64() / aim.as_secs_f64().max(1e-3);
        self.share += (share.min(2.0) - self.share) * NEWEST;
    }

    /// Where the servers stand between idle (0) and a crest (1).
    pub fn level(&self) -> f64 {
        ((self.share - IDLE_PRESSURE) / (CREST_PRESSURE - IDLE_PRESSURE)).clamp(0.0, 1.0)
    }
}

/// What is known of a request when its answer's confidence comes in.
#[derive(Debug, Clone, Copy)]
pub struct Doubt {
    /// The place of the model that answers.
    pub place: usize,
    /// How many models there are.
    pub sizes: usize,
    /// The model's own opinion, from 0 to 100.
    pub confidence: Option<u8>,
    /// What is left of the time in which an answer is on time.
    pub left: Duration,
    /// The whole of that time.
    pub aim: Duration,
    /// Servers that may still be asked.
    pub sends_left: u32,
    /// The rank of the request, 0 first.
    pub rank: u8,
}

/// The choice of models of one request.
#[derive(Debug, Clone, Copy)]
pub struct Cascade;

impl Cascade {
    /// The place of the model that answers first.
    pub fn first() -> usize {
        0
    }

    /// How many times longer a model works than a middling one, by its place.
    pub fn effort(place: usize, sizes: usize) -> f64 {
        match (place, sizes) {
            (_, 0 | 1) => 1.0,
            (0, _) => SMALLEST_EFFORT,
            (place, sizes) if place + 1 == sizes => LARGEST_EFFORT,
            _ => 1.0,
        }
    }

    /// The place of the model to ask instead; `None` if the answer is kept.
    pub fn instead(doubt: &Doubt, pressure: &Pressure) -> Option<usize> {
        let larger = doubt.place + 1 < doubt.sizes;
        let limit = Self::keep_from(pressure, doubt.rank);
        let low = doubt.confidence.is_some_and(|confidence| f64::from(confidence) < limit);
        let time = doubt.left >= doubt.aim.mul_f64(LEFT_SHARE);
        (larger && low && time && doubt.sends_left > 0).then(|| doubt.sizes - 1)
    }

    /// The confidence from which an answer is kept.
    fn keep_from(pressure: &Pressure, rank: u8) -> f64 {
        let rank = usize::from(rank).min(KEEP_IDLE.len() - 1);
        KEEP_IDLE[rank] + (KEEP_CREST[rank] - KEEP_IDLE[rank]) * pressure.level()
    }
}
