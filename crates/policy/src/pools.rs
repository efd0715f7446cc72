//! Pools: the servers of one version, what waits for them, and what to expect.

use std::collections::HashMap;

use config::Name;

use crate::hash::rendezvous;
use crate::queue::FairQueue;
use crate::servers::{ServerIx, Servers};
use crate::settings::Settings;
use crate::work::bucket;

/// The weight of a new sample in an expectation.
const LEARNING_RATE: f64 = 0.05;
/// A sample counts for at most this many times the expectation.
const CLAMP: f64 = 3.0;
/// Time constant of the measured rate of completions, in seconds.
const RATE_WINDOW_S: f64 = 1.0;
const BUCKETS: usize = 7;

/// The servers of one version as one instance uses them.
#[derive(Debug)]
pub struct Pool {
    /// The version or service.
    pub version: Name,
    /// The instance's subset of the servers in its own domain.
    pub near: Vec<ServerIx>,
    /// Servers in other domains, used when the near ones are short.
    pub far: Vec<ServerIx>,
    /// Waiting short work.
    pub short: FairQueue,
    /// Waiting long work.
    pub long: FairQueue,
    /// Long work in flight.
    pub long_in_flight: u32,
    /// Slots of the near servers.
    pub slots: u32,
    /// How long things take.
    pub expect: Expect,
    /// Completions a second while work waits, short and long.
    pub rates: [Rate; 2],
}

impl Pool {
    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// The queue of a lane.
    pub fn lane(&mut self, long: bool) -> &mut FairQueue {
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
    /// The pool of a version; made if there is none.
    pub fn ensure(&mut self, version: &Name, fair: bool) -> usize {
        if let Some(ix) = self.by_version.get(version) {
            return *ix;
        }
        let pool = Pool {
            version: version.clone(),
            near: Vec::new(),
            far: Vec::new(),
            short: FairQueue::new(fair),
            long: FairQueue::new(fair),
            long_in_flight: 0,
            slots: 0,
            expect: Expect::default(),
            rates: [Rate::default(), Rate::default()],
        };
        self.list.push(pool);
        self.by_version.insert(version.clone(), self.list.len() - 1);
        self.list.len() - 1
    }

    /// The pool of a version, if one is known.
    pub fn find(&self, version: &str) -> Option<&Pool> {
        self.by_version.get(version).map(|ix| &self.list[*ix])
    }

    /// The pool at a place.
    pub fn get(&self, ix: usize) -> &Pool {
        &self.list[ix]
    }

    /// The pool at a place, to change it.
    pub fn get_mut(&mut self, ix: usize) -> &mut Pool {
        &mut self.list[ix]
    }

    /// How many pools there are.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// All pools.
    pub fn iter(&self) -> impl Iterator<Item = &Pool> {
        self.list.iter()
    }

    /// Assigns the servers to the pools.
    pub fn assign(&mut self, servers: &mut Servers, settings: &Settings) {
        for pool in &mut self.list {
            pool.near.clear();
            pool.far.clear();
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
            let ix = self.ensure(&version, settings.switches.fair);
            self.fill(ix, &members, servers, settings);
        }
    }

    fn fill(&mut self, ix: usize, members: &[ServerIx], servers: &mut Servers, set: &Settings) {
        let near = |place: &ServerIx| servers.get(*place).info.domain == set.domain;
        let (own, other): (Vec<ServerIx>, Vec<ServerIx>) = members.iter().partition(|p| near(p));
        let pool = &mut self.list[ix];
        pool.near = subset(&own, servers, set);
        pool.far = subset(&other, servers, set);
        for place in pool.near.iter().chain(&pool.far) {
            servers.get_mut(*place).pools.push(ix);
        }
        pool.slots = pool.near.iter().map(|place| servers.get(*place).info.slots).sum();
    }
}

/// The servers that this instance uses, by rendezvous hashing, in a stable order.
fn subset(places: &[ServerIx], servers: &Servers, settings: &Settings) -> Vec<ServerIx> {
    let ids: Vec<Name> = places.iter().map(|p| servers.get(*p).info.id.clone()).collect();
    let ranked = rendezvous(&settings.instance, ids.iter().map(|id| &**id));
    let mut chosen: Vec<ServerIx> =
        ranked.into_iter().take(settings.subset).filter_map(|id| servers.find(id)).collect();
    chosen.sort_by_key(|place| servers.get(*place).info.id.clone());
    chosen
}

/// How long the first byte and each token take on the pool's servers, in seconds.
#[derive(Debug)]
pub struct Expect {
    first: [Mean; BUCKETS],
    token: Mean,
}

impl Default for Expect {
    fn default() -> Self {
        Expect { first: [Mean::new(0.3); BUCKETS], token: Mean::new(0.03) }
    }
}

impl Expect {
    /// The expected time to the first byte for a prompt.
    pub fn first_byte(&self, prompt_tokens: u32) -> f64 {
        self.first[usize::from(bucket(prompt_tokens))].value
    }

    /// A time to the first byte that few requests on a healthy server exceed.
    pub fn late_first_byte(&self, prompt_tokens: u32) -> f64 {
        let mean = self.first[usize::from(bucket(prompt_tokens))];
        mean.value + 4.0 * mean.deviation
    }

    /// The expected time for one token.
    pub fn token(&self) -> f64 {
        self.token.value
    }

    /// Learns a time to the first byte.
    pub fn learn_first(&mut self, prompt_tokens: u32, seconds: f64) {
        self.first[usize::from(bucket(prompt_tokens))].learn(seconds);
    }

    /// Learns a time for one token.
    pub fn learn_token(&mut self, seconds: f64) {
        self.token.learn(seconds);
    }
}

/// A moving mean with its mean absolute deviation.
#[derive(Debug, Clone, Copy)]
struct Mean {
    value: f64,
    deviation: f64,
    seen: u32,
}

impl Mean {
    fn new(value: f64) -> Self {
        Mean { value, deviation: value, seen: 0 }
    }

    fn learn(&mut self, sample: f64) {
        self.seen = self.seen.saturating_add(1);
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.seen));
        let sample = if self.seen > 20 { sample.min(CLAMP * self.value) } else { sample };
        self.deviation += rate * ((sample - self.value).abs() - self.deviation);
        self.value += rate * (sample - self.value);
    }
}

/// A rate of events a second, measured over about a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    per_second: f64,
    count: f64,
    known: bool,
}

impl Rate {
    /// Counts one event.
    pub fn count(&mut self) {
        self.count += 1.0;
    }

    /// Closes an interval of so many seconds; an idle interval teaches nothing.
    pub fn close(&mut self, seconds: f64, busy: bool) {
        let count = std::mem::take(&mut self.count);
        if !busy && count == 0.0 {
            return;
        }
        let now = count / seconds;
        if !self.known {
            self.per_second = now;
            self.known = now > 0.0;
        } else if busy || now > self.per_second {
            self.per_second += (seconds / RATE_WINDOW_S).min(1.0) * (now - self.per_second);
        }
    }

    /// Events a second, if known.
    pub fn per_second(&self) -> Option<f64> {
        self.known.then_some(self.per_second)
    }
}
