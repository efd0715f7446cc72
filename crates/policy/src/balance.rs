//! The choice among candidate servers, and the baselines it is measured against.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::servers::ServerIx;

/// A server that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server's place in the table.
    pub ix: ServerIx,
    /// Attempts in flight, of this instance and by hints of others.
    pub in_flight: f64,
    /// Estimated work in flight.
    pub work: f64,
    /// The share of its load that the server should get.
    pub weight: f64,
    /// The observed time as a multiple of the expected one.
    pub ratio: f64,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// Whether it is likely to hold the prompt's prefix.
    pub affine: bool,
}

/// A way to choose among candidates.
pub trait Balance {
    /// How many candidates are drawn for a choice.
    const DRAW: usize;

    /// Whether the router holds work back when the servers' slots are taken.
    const QUEUES: bool;

    /// Chooses one of the candidates, of which there is at least one.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> ServerIx;
}

/// The product: least work per speed among a few.
#[derive(Debug, Default)]
pub struct LeastWork;

/// What a cached prefix is worth: the work counts for this part.
const AFFINITY: f64 = 0.7;

impl Balance for LeastWork {
    const DRAW: usize = 5;
    const QUEUES: bool = true;

    fn choose(&mut self, candidates: &[Candidate], _: &mut ChaCha8Rng) -> ServerIx {
        let score = |c: &Candidate| {
            let load = (c.work + 1.0) / f64::from(c.slots.max(1)) * c.ratio / c.weight;
            if c.affine { load * AFFINITY } else { load }
        };
        least(candidates, score)
    }
}

/// Baseline: one after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last: ServerIx,
}

impl Balance for RoundRobin {
    const DRAW: usize = usize::MAX;
    const QUEUES: bool = false;

    fn choose(&mut self, candidates: &[Candidate], _: &mut ChaCha8Rng) -> ServerIx {
        let places = candidates.iter().map(|c| c.ix);
        let next = places.clone().filter(|ix| *ix > self.last).min();
        self.last = next.or(places.min()).unwrap_or(0);
        self.last
    }
}

/// Baseline: the fewest requests in flight.
#[derive(Debug, Default)]
pub struct LeastInFlight;

impl Balance for LeastInFlight {
    const DRAW: usize = usize::MAX;
    const QUEUES: bool = false;

    fn choose(&mut self, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> ServerIx {
        let start = rng.random_range(0..candidates.len());
        let (head, tail) = candidates.split_at(start);
        let turned: Vec<Candidate> = tail.iter().chain(head).copied().collect();
        least(&turned, |c| c.in_flight)
    }
}

/// Baseline: the one with fewer in flight of two drawn at random.
#[derive(Debug, Default)]
pub struct RandomOfTwo;

impl Balance for RandomOfTwo {
    const DRAW: usize = 2;
    const QUEUES: bool = false;

    fn choose(&mut self, candidates: &[Candidate], _: &mut ChaCha8Rng) -> ServerIx {
        least(candidates, |c| c.in_flight)
    }
}

fn least(candidates: &[Candidate], score: impl Fn(&Candidate) -> f64) -> ServerIx {
    let best = candidates.iter().min_by(|a, b| score(a).total_cmp(&score(b)));
    best.map_or(0, |c| c.ix)
}
