//! The picture of the servers: who they are, and how loaded and sound.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use policy::hash_parts;

use crate::Mono;

/// How fast what a report says of other instances' work loses its weight.
const REPORT_FADES: f64 = 1.5;
/// How fast a reported slow-down by neighbours loses its weight, in seconds.
const NOISE_FADES: f64 = 0.25;
/// How fast failures are forgotten, in seconds.
const FAILURE_FADES: f64 = 3.0;
/// The weight of the newest outcome in the failure rate.
const FAILURE_STEP: f64 = 0.25;
/// The first pause after a server could not be reached; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// How long a server whose entry lapsed counts as before: most of those that
/// live are listed again by then, and one that left must get nothing soon after.
const DOUBT_AFTER: Duration = Duration::from_secs(1);
/// How long a prompt part is taken to stay in a server's memory.
const PART_KEPT: Duration = Duration::from_secs(20);
/// How long what a peer says of its work counts.
const TOLD_KEPT: Duration = Duration::from_millis(1_500);
/// Prompt parts that are remembered of one server at the most.
const MOST_PARTS: usize = 2_000;

/// What the directory says of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// The id of this incarnation.
    pub id: Name,
    /// The service.
    pub service: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// The version of its software.
    pub version: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it leaves and takes no new work.
    pub leaving: bool,
    /// When the incarnation started, in Unix milliseconds.
    pub born: u64,
}

/// What a server says of its load with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes there now, 1 as usual.
    pub slowdown: f64,
}

/// How a send to a server ended, as far as the server's soundness goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Sound,
    /// A failure, a spoiled answer or none.
    Failed,
    /// The server said that it did not run the request.
    Rejected,
    /// No connection could be made.
    Unreachable,
    /// The caller left or the time ran out; says nothing of the server.
    Abandoned,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    /// What the directory says.
    pub info: ServerInfo,
    /// Own requests in flight.
    pub open: u32,
    /// What own requests still have to have read, in tokens of a middling model.
    pub reading: f64,
    /// A hash of the id, the same on every instance.
    pub salt: u64,
    parts: HashMap<u64, Mono>,
    peers: Work,
    report: Option<(Report, Mono, u32)>,
    failures: f64,
    judged: Mono,
    pauses: u32,
    paused_until: Mono,
    /// When its entry lapsed in an outage of the store, unless it came back.
    pub lapsed: Option<Mono>,
}

impl Server {
    fn new(info: ServerInfo) -> Self {
        Server {
            salt: hash_parts(&[info.id.as_bytes()]),
            info,
            open: 0,
            reading: 0.0,
            parts: HashMap::new(),
            peers: Work::default(),
            report: None,
            failures: 0.0,
            judged: Mono::ZERO,
            pauses: 0,
            paused_until: Mono::ZERO,
            lapsed: None,
        }
    }

    /// Requests that are likely to be there now, those of other instances included.
    pub fn load(&self, now: Mono) -> f64 {
        let own = f64::from(self.open);
        let told = f64::from(self.peers.open);
        let Some((report, at, own_then)) = self.report else { return own + told };
        let others = f64::from((report.running + report.waiting).saturating_sub(own_then));
        own + told.max(others * fade(now, at, REPORT_FADES))
    }

    /// The prompt tokens ahead of a new request, in tokens of a middling model.
    pub fn unread(&self) -> f64 {
        self.reading + self.peers.reading
    }

    /// How much longer work takes there now.
    pub fn slowdown(&self, now: Mono) -> f64 {
        let Some((report, at, _)) = self.report.filter(|(report, ..)| report.slowdown != 1.0)
        else {
            return 1.0;
        };
        1.0 + (report.slowdown - 1.0) * fade(now, at, NOISE_FADES)
    }

    /// The share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Mono) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        self.failures * fade(now, self.judged, FAILURE_FADES)
    }

    /// Whether it could not be reached a moment ago.
    pub fn paused(&self, now: Mono) -> bool {
        now < self.paused_until
    }

    /// Whether it is likely to have left: its entry lapsed in an outage of the
    /// store, and it was not listed again when others were.
    pub fn doubted(&self, now: Mono) -> bool {
        self.lapsed.is_some_and(|at| now.saturating_sub(at) >= DOUBT_AFTER)
    }

    /// Whether its memory is likely to hold a prompt part.
    pub fn holds(&self, part: PartKey, now: Mono) -> bool {
        let since = self.parts.get(&part.0);
        since.is_some_and(|since| now.saturating_sub(*since) < PART_KEPT)
    }

    fn keep(&mut self, part: PartKey, now: Mono) {
        if self.parts.len() >= MOST_PARTS {
            self.parts.retain(|_, since| now.saturating_sub(*since) < PART_KEPT);
        }
        if self.parts.len() < MOST_PARTS {
            self.parts.insert(part.0, now);
        }
    }

    fn ended(&mut self, outcome: Outcome, now: Mono) {
        self.open = self.open.saturating_sub(1);
        let failed = match outcome {
            Outcome::Sound => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Rejected => 0.5,
            Outcome::Unreachable => {
                self.paused_until = now + (FIRST_PAUSE * 2u32.pow(self.pauses)).min(LONGEST_PAUSE);
                self.pauses = (self.pauses + 1).min(4);
                1.0
            }
            Outcome::Abandoned => return,
        };
        if outcome == Outcome::Sound {
            self.pauses = 0;
        }
        let rate = self.failure_rate(now);
        self.failures = rate + (failed - rate) * FAILURE_STEP;
        self.judged = now;
    }
}

fn fade(now: Mono, since: Mono, seconds: f64) -> f64 {
    (-now.saturating_sub(since).as_secs_f64() / seconds).exp()
}

/// A prompt part as one model reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartKey(u64);

impl PartKey {
    /// The key of a part for a model.
    pub fn new(model: &str, part: u64) -> Self {
        PartKey(hash_parts(&[model.as_bytes(), &part.to_le_bytes()]))
    }
}

/// What one instance has at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Requests in flight.
    pub open: u32,
    /// What they still have to have read, in tokens of a middling model.
    pub reading: f64,
}

/// What a peer has at its servers, and when it said so.
type Told = (Mono, Vec<(Name, Work)>);

/// All servers that the instance knows.
#[derive(Debug, Default)]
pub struct Fleet {
    told: HashMap<Name, Told>,
    servers: Vec<Server>,
    /// Places among the servers, by id.
    places: HashMap<Name, usize>,
    /// Places among the servers, by service.
    services: HashMap<Name, Vec<usize>>,
}

impl Fleet {
    /// Adds a server or takes over what the directory says anew.
    ///
    /// A new incarnation under an old id starts with a blank record.
    pub fn update(&mut self, info: ServerInfo) {
        if self.get(&info.id).is_some_and(|known| known.info.service != info.service) {
            self.remove(&info.id);
        }
        match self.find(&info.id) {
            Some(server) if server.info.born == info.born => {
                server.info = info;
                server.lapsed = None;
            }
            Some(server) => *server = Server::new(info),
            None => {
                let place = self.servers.len();
                self.services.entry(info.service.clone()).or_default().push(place);
                self.places.insert(info.id.clone(), place);
                self.servers.push(Server::new(info));
            }
        }
    }

    /// Forgets a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(place) = self.places.remove(id) else { return false };
        let gone = self.servers.swap_remove(place);
        if let Some(places) = self.services.get_mut(&gone.info.service) {
            places.retain(|other| *other != place);
        }
        // The last server has taken the free place.
        if let Some(moved) = self.servers.get(place) {
            self.places.insert(moved.info.id.clone(), place);
            let places = self.services.get_mut(&moved.info.service).into_iter().flatten();
            places.filter(|other| **other == self.servers.len()).for_each(|other| *other = place);
        }
        true
    }

    /// The ids of all servers.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.servers.iter().map(|server| &server.info.id)
    }

    /// The server of an id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.places.get(id).and_then(|place| self.servers.get(*place))
    }

    fn find(&mut self, id: &str) -> Option<&mut Server> {
        self.places.get(id).and_then(|place| self.servers.get_mut(*place))
    }

    /// The servers of a service.
    pub fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Server> {
        let places = self.services.get(service).into_iter().flatten();
        places.filter_map(|place| self.servers.get(*place))
    }

    /// Notes that a server's entry lapsed in an outage of the store.
    pub fn lapsed(&mut self, id: &str, now: Mono) {
        if let Some(server) = self.find(id) {
            server.lapsed.get_or_insert(now);
        }
    }

    /// Notes that a server says that it leaves, or was found to be another one.
    pub fn leaving(&mut self, id: &str) {
        if let Some(server) = self.find(id) {
            server.info.leaving = true;
        }
    }

    /// Counts a request that goes to a server and has so much to be read.
    pub fn sent(&mut self, id: &str, reading: f64) {
        if let Some(server) = self.find(id) {
            server.open += 1;
            server.reading += reading;
        }
    }

    /// Notes that a request's prompt is read, or will not be.
    pub fn read(&mut self, id: &str, reading: f64) {
        if let Some(server) = self.find(id) {
            server.reading = (server.reading - reading).max(0.0);
        }
    }

    /// The own work at all servers that have any.
    pub fn own_work(&self) -> Vec<(Name, Work)> {
        let busy = self.servers.iter().filter(|server| server.open > 0);
        let work = |server: &Server| Work { open: server.open, reading: server.reading };
        busy.map(|server| (server.info.id.clone(), work(server))).collect()
    }

    /// Takes what a peer says that it has at its servers.
    pub fn told(&mut self, peer: &Name, work: Vec<(Name, Work)>, now: Mono) {
        self.told.insert(peer.clone(), (now, work));
        self.told.retain(|_, (at, _)| now.saturating_sub(*at) < TOLD_KEPT);
        for server in &mut self.servers {
            server.peers = Work::default();
        }
        for (id, work) in self.told.values().flat_map(|(_, work)| work) {
            let place = self.places.get(id).copied();
            if let Some(server) = place.and_then(|place| self.servers.get_mut(place)) {
                server.peers.open += work.open;
                server.peers.reading += work.reading;
            }
        }
    }

    /// Takes a server's report of its load.
    pub fn reported(&mut self, id: &str, report: Report, now: Mono) {
        if let Some(server) = self.find(id) {
            server.report = Some((report, now, server.open));
        }
    }

    /// Notes how a request at a server ended.
    pub fn ended(&mut self, id: &str, outcome: Outcome, now: Mono) {
        if let Some(server) = self.find(id) {
            server.ended(outcome, now);
        }
    }

    /// Notes that a server's memory holds a prompt part now.
    pub fn holds(&mut self, server: &str, part: PartKey, now: Mono) {
        if let Some(server) = self.find(server) {
            server.keep(part, now);
        }
    }
}
