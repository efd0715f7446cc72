//! Load balancing strategies: the default one and the baselines that it is compared
//! with.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::servers::ServerIx;

/// A server that can take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server's index in the table.
    pub ix: ServerIx,
    /// The number of attempts in flight, of this instance and, by estimate, of others.
    pub in_flight: f64,
    /// The estimated work in flight, in units of one output token.
    pub work: f64,
    /// The fraction of its normal load that the server should receive.
    pub weight: f64,
    /// The observed time as a multiple of the expected one.
    pub latency_ratio: f64,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is likely to have the prompt's prefix cached.
    pub prefix_affine: bool,
}

/// A strategy to choose among candidate servers.
pub trait Balancer {
    /// The number of candidates to sample.
    const SAMPLE_SIZE: usize;

    /// Whether requests are queued while all server slots are occupied.
    const QUEUES_WHEN_FULL: bool;

    /// Chooses one of `candidates`, which is never empty.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> ServerIx;
}

/// The server with the least work relative to its speed among a few sampled ones. The
/// default strategy.
#[derive(Debug, Default)]
pub struct LeastWork;

/// The factor applied to the load of a server that is likely to have the prompt's
/// prefix cached.
const PREFIX_AFFINITY_FACTOR: f64 = 0.7;

impl Balancer for LeastWork {
    const SAMPLE_SIZE: usize = 5;
    const QUEUES_WHEN_FULL: bool = true;

    fn choose(&mut self, candidates: &[Candidate], _: &mut ChaCha8Rng) -> ServerIx {
        let score = |c: &Candidate| {
            let load = (c.work + 1.0) / f64::from(c.slots.max(1)) * c.latency_ratio / c.weight;
            if c.prefix_affine { load * PREFIX_AFFINITY_FACTOR } else { load }
        };
        min_by_score(candidates, score)
    }
}

/// Round-robin: the servers in turn. A baseline for comparison.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last: ServerIx,
}

impl Balancer for RoundRobin {
    const SAMPLE_SIZE: usize = usize::MAX;
    const QUEUES_WHEN_FULL: bool = false;

    fn choose(&mut self, candidates: &[Candidate], _: &mut ChaCha8Rng) -> ServerIx {
        let indices = candidates.iter().map(|c| c.ix);
        let next = indices.clone().filter(|ix| *ix > self.last).min();
        self.last = next.or(indices.min()).unwrap_or(0);
        self.last
    }
}

/// The server with the fewest requests in flight. A baseline for comparison.
#[derive(Debug, Default)]
pub struct LeastInFlight;

impl Balancer for LeastInFlight {
    const SAMPLE_SIZE: usize = usize::MAX;
    const QUEUES_WHEN_FULL: bool = false;

    fn choose(&mut self, candidates: &[Candidate], rng: &mut ChaCha8Rng) -> ServerIx {
        let start = rng.random_range(0..candidates.len());
        let (head, tail) = candidates.split_at(start);
        let rotated: Vec<Candidate> = tail.iter().chain(head).copied().collect();
        min_by_score(&rotated, |c| c.in_flight)
    }
}

/// The server with fewer requests in flight among two sampled at random. A baseline for
/// comparison.
#[derive(Debug, Default)]
pub struct PowerOfTwoChoices;

impl Balancer for PowerOfTwoChoices {
    const SAMPLE_SIZE: usize = 2;
    const QUEUES_WHEN_FULL: bool = false;

    fn choose(&mut self, candidates: &[Candidate], _: &mut ChaCha8Rng) -> ServerIx {
        min_by_score(candidates, |c| c.in_flight)
    }
}

fn min_by_score(candidates: &[Candidate], score: impl Fn(&Candidate) -> f64) -> ServerIx {
    let best = candidates.iter().min_by(|a, b| score(a).total_cmp(&score(b)));
    best.map_or(0, |c| c.ix)
}
