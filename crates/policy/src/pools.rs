//! Pools of servers that serve the same version, with their queues and expected
//! latencies.

use std::collections::HashMap;

use config::Name;

use crate::hash::rendezvous;
use crate::queue::FairQueue;
use crate::servers::{ServerIx, Servers};
use crate::settings::Settings;
use crate::work::bucket;

/// The minimum weight of a new sample in a moving mean. The first samples weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Samples are limited to this multiple of the mean after the warm-up.
const MAX_SAMPLE_RATIO: f64 = 3.0;
/// The number of samples before samples are limited.
const WARM_UP_SAMPLES: u32 = 20;
/// The number of mean deviations above the mean at which a first byte is late.
const LATE_DEVIATIONS: f64 = 4.0;
/// The expected time to the first byte until there are samples.
const INITIAL_FIRST_BYTE_S: f64 = 0.3;
/// The expected time per token until there are samples.
const INITIAL_TOKEN_S: f64 = 0.03;
/// The time constant of the measured completion rate, in seconds.
const RATE_WINDOW_S: f64 = 1.0;
/// The number of prompt length buckets, as returned by [`bucket`].
const PROMPT_BUCKETS: usize = 7;

/// The servers of one version that this instance uses.
#[derive(Debug)]
pub struct Pool {
    /// The name of the version or service.
    pub version: Name,
    /// The instance's subset of the servers in its own failure domain.
    pub local: Vec<ServerIx>,
    /// The instance's subset of the servers in other failure domains, used when no
    /// local server has capacity.
    pub remote: Vec<ServerIx>,
    /// Queued short work.
    pub short: FairQueue,
    /// Queued long work.
    pub long: FairQueue,
    /// The number of long requests in flight.
    pub long_in_flight: u32,
    /// The total number of slots of the local servers.
    pub slots: u32,
    /// The expected latency of the pool's servers.
    pub expected_latency: ExpectedLatency,
    /// The completion rates of short and long work, in that order, while requests are
    /// queued.
    pub completion_rates: [CompletionRate; 2],
}

impl Pool {
    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns the queue for long or short work.
    pub fn queue(&mut self, long: bool) -> &mut FairQueue {
        if long { &mut self.long } else { &mut self.short }
    }
}

/// All pools, by version.
#[derive(Debug, Default)]
pub struct Pools {
    list: Vec<Pool>,
    by_version: HashMap<Name, usize>,
}

impl Pools {
    /// Returns the index of a version's pool, creating the pool if needed.
    pub fn get_or_create(&mut self, version: &Name, fair: bool) -> usize {
        if let Some(ix) = self.by_version.get(version) {
            return *ix;
        }
        let pool = Pool {
            version: version.clone(),
            local: Vec::new(),
            remote: Vec::new(),
            short: FairQueue::new(fair),
            long: FairQueue::new(fair),
            long_in_flight: 0,
            slots: 0,
            expected_latency: ExpectedLatency::default(),
            completion_rates: [CompletionRate::default(), CompletionRate::default()],
        };
        self.list.push(pool);
        self.by_version.insert(version.clone(), self.list.len() - 1);
        self.list.len() - 1
    }

    /// Returns the pool of a version, if it exists.
    pub fn find(&self, version: &str) -> Option<&Pool> {
        self.by_version.get(version).map(|ix| &self.list[*ix])
    }

    /// Returns the pool at the index.
    pub fn get(&self, ix: usize) -> &Pool {
        &self.list[ix]
    }

    /// Returns the pool at the index, mutably.
    pub fn get_mut(&mut self, ix: usize) -> &mut Pool {
        &mut self.list[ix]
    }

    /// Returns the number of pools.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Iterates over all pools.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.list.iter()
    }

    /// Assigns every server that accepts new requests to the pools of the versions it
    /// serves.
    pub fn assign_servers(&mut self, servers: &mut Servers, settings: &Settings) {
        for pool in &mut self.list {
            pool.local.clear();
            pool.remote.clear();
            pool.slots = 0;
        }
        for server in servers.iter_mut() {
            server.pools.clear();
        }
        let mut members: HashMap<Name, Vec<ServerIx>> = HashMap::new();
        for (ix, server) in servers.iter().filter(|(_, server)| server.takes_work()) {
            for version in &server.info.serves {
                members.entry(version.clone()).or_default().push(ix);
            }
        }
        for (version, members) in members {
            let ix = self.get_or_create(&version, settings.switches.fair);
            self.set_members(ix, &members, servers, settings);
        }
    }

    fn set_members(
        &mut self,
        ix: usize,
        members: &[ServerIx],
        servers: &mut Servers,
        settings: &Settings,
    ) {
        let is_local =
            |server_ix: &ServerIx| servers.get(*server_ix).info.domain == settings.domain;
        let (local, remote): (Vec<ServerIx>, Vec<ServerIx>) =
            members.iter().partition(|ix| is_local(ix));
        let pool = &mut self.list[ix];
        pool.local = subset(&local, servers, settings);
        pool.remote = subset(&remote, servers, settings);
        for server_ix in pool.local.iter().chain(&pool.remote) {
            servers.get_mut(*server_ix).pools.push(ix);
        }
        pool.slots = pool.local.iter().map(|server_ix| servers.get(*server_ix).info.slots).sum();
    }
}

/// Selects the servers that this instance uses by rendezvous hashing, sorted by id.
fn subset(indices: &[ServerIx], servers: &Servers, settings: &Settings) -> Vec<ServerIx> {
    let ids: Vec<Name> = indices.iter().map(|ix| servers.get(*ix).info.id.clone()).collect();
    let ranked = rendezvous(&settings.instance, ids.iter().map(|id| &**id));
    let mut chosen: Vec<ServerIx> =
        ranked.into_iter().take(settings.subset_size).filter_map(|id| servers.find(id)).collect();
    chosen.sort_by_key(|server_ix| servers.get(*server_ix).info.id.clone());
    chosen
}

/// The expected latency of the first byte and of each token on the pool's servers, in
/// seconds.
#[derive(Debug)]
pub struct ExpectedLatency {
    first_byte: [MovingMean; PROMPT_BUCKETS],
    token: MovingMean,
}

impl Default for ExpectedLatency {
    fn default() -> Self {
        ExpectedLatency {
            first_byte: [MovingMean::new(INITIAL_FIRST_BYTE_S); PROMPT_BUCKETS],
            token: MovingMean::new(INITIAL_TOKEN_S),
        }
    }
}

impl ExpectedLatency {
    /// Returns the expected time to the first byte for a prompt length.
    pub fn first_byte(&self, prompt_tokens: u32) -> f64 {
        self.first_byte[usize::from(bucket(prompt_tokens))].value
    }

    /// Returns a time to the first byte that few requests on a healthy server exceed.
    pub fn late_first_byte(&self, prompt_tokens: u32) -> f64 {
        let mean = self.first_byte[usize::from(bucket(prompt_tokens))];
        mean.value + LATE_DEVIATIONS * mean.deviation
    }

    /// Returns the expected time per token.
    pub fn token(&self) -> f64 {
        self.token.value
    }

    /// Records a measured time to the first byte.
    pub fn record_first_byte(&mut self, prompt_tokens: u32, seconds: f64) {
        self.first_byte[usize::from(bucket(prompt_tokens))].add_sample(seconds);
    }

    /// Records a measured time per token.
    pub fn record_token(&mut self, seconds: f64) {
        self.token.add_sample(seconds);
    }
}

/// A moving mean with its mean absolute deviation.
#[derive(Debug, Clone, Copy)]
struct MovingMean {
    value: f64,
    deviation: f64,
    samples: u32,
}

impl MovingMean {
    fn new(value: f64) -> Self {
        MovingMean { value, deviation: value, samples: 0 }
    }

    fn add_sample(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let sample = if self.samples > WARM_UP_SAMPLES {
            sample.min(MAX_SAMPLE_RATIO * self.value)
        } else {
            sample
        };
        self.deviation += weight * ((sample - self.value).abs() - self.deviation);
        self.value += weight * (sample - self.value);
    }
}

/// The rate of completed requests per second, smoothed over [`RATE_WINDOW_S`].
#[derive(Debug, Clone, Copy, Default)]
pub struct CompletionRate {
    per_second: f64,
    completed: f64,
    known: bool,
}

impl CompletionRate {
    /// Counts one completion.
    pub fn record_completion(&mut self) {
        self.completed += 1.0;
    }

    /// Ends an interval of the given length. `busy` states whether requests were queued.
    ///
    /// Intervals without queued requests and completions are ignored, since they say
    /// nothing about capacity.
    pub fn end_interval(&mut self, seconds: f64, busy: bool) {
        let completed = std::mem::take(&mut self.completed);
        if !busy && completed == 0.0 {
            return;
        }
        let rate = completed / seconds;
        if !self.known {
            self.per_second = rate;
            self.known = rate > 0.0;
        } else if busy || rate > self.per_second {
            self.per_second += (seconds / RATE_WINDOW_S).min(1.0) * (rate - self.per_second);
        }
    }

    /// Returns the completions per second, if known.
    pub fn per_second(&self) -> Option<f64> {
        self.known.then_some(self.per_second)
    }
}
