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
/// How long a prompt part is taken to stay in a server's memory.
const PART_KEPT: Duration = Duration::from_secs(20);
/// How long what a peer says of its work counts.
const TOLD_KEPT: Duration = Duration::from_millis(1_500);
/// Prompt parts that are remembered at the most.
const MOST_PARTS: usize = 60_000;

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
    peers: Work,
    report: Option<(Report, Mono, u32)>,
    failures: f64,
    judged: Mono,
    pauses: u32,
    paused_until: Mono,
}

impl Server {
    fn new(info: ServerInfo) -> Self {
        Server {
            info,
            open: 0,
            reading: 0.0,
            peers: Work::default(),
            report: None,
            failures: 0.0,
            judged: Mono::ZERO,
            pauses: 0,
            paused_until: Mono::ZERO,
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
        let Some((report, at, _)) = self.report else { return 1.0 };
        1.0 + (report.slowdown - 1.0) * fade(now, at, NOISE_FADES)
    }

    /// The share of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: Mono) -> f64 {
        self.failures * fade(now, self.judged, FAILURE_FADES)
    }

    /// Whether it could not be reached a moment ago.
    pub fn paused(&self, now: Mono) -> bool {
        now < self.paused_until
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
    servers: HashMap<Name, Server>,
    services: HashMap<Name, Vec<Name>>,
    parts: HashMap<u64, Mono>,
}

impl Fleet {
    /// Adds a server or takes over what the directory says anew.
    ///
    /// A new incarnation under an old id starts with a blank record.
    pub fn update(&mut self, info: ServerInfo) {
        match self.servers.get_mut(&info.id) {
            Some(server) if server.info.born == info.born => server.info = info,
            Some(server) => *server = Server::new(info),
            None => {
                self.services.entry(info.service.clone()).or_default().push(info.id.clone());
                self.servers.insert(info.id.clone(), Server::new(info));
            }
        }
    }

    /// Forgets a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(server) = self.servers.remove(id) else { return false };
        if let Some(ids) = self.services.get_mut(&server.info.service) {
            ids.retain(|other| **other != *id);
        }
        true
    }

    /// The ids of all servers.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.servers.keys()
    }

    /// The server of an id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// The servers of a service.
    pub fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Server> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.servers.get(id))
    }

    /// Notes that a server says that it leaves, or was found to be another one.
    pub fn leaving(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.info.leaving = true;
        }
    }

    /// Counts a request that goes to a server and has so much to be read.
    pub fn sent(&mut self, id: &str, reading: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.open += 1;
            server.reading += reading;
        }
    }

    /// Notes that a request's prompt is read, or will not be.
    pub fn read(&mut self, id: &str, reading: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reading = (server.reading - reading).max(0.0);
        }
    }

    /// The own work at all servers that have any.
    pub fn own_work(&self) -> Vec<(Name, Work)> {
        let busy = self.servers.values().filter(|server| server.open > 0);
        let work = |server: &Server| Work { open: server.open, reading: server.reading };
        busy.map(|server| (server.info.id.clone(), work(server))).collect()
    }

    /// Takes what a peer says that it has at its servers.
    pub fn told(&mut self, peer: &Name, work: Vec<(Name, Work)>, now: Mono) {
        self.told.insert(peer.clone(), (now, work));
        self.told.retain(|_, (at, _)| now.saturating_sub(*at) < TOLD_KEPT);
        for server in self.servers.values_mut() {
            server.peers = Work::default();
        }
        for (id, work) in self.told.values().flat_map(|(_, work)| work) {
            if let Some(server) = self.servers.get_mut(id) {
                server.peers.open += work.open;
                server.peers.reading += work.reading;
            }
        }
    }

    /// Takes a server's report of its load.
    pub fn reported(&mut self, id: &str, report: Report, now: Mono) {
        if let Some(server) = self.servers.get_mut(id) {
            server.report = Some((report, now, server.open));
        }
    }

    /// Notes how a request at a server ended.
    pub fn ended(&mut self, id: &str, outcome: Outcome, now: Mono) {
        if let Some(server) = self.servers.get_mut(id) {
            server.ended(outcome, now);
        }
    }

    /// Notes that a server's memory holds a prompt part now.
    pub fn holds(&mut self, server: &str, model: &str, part: u64, now: Mono) {
        if self.parts.len() >= MOST_PARTS {
            self.parts.retain(|_, since| now.saturating_sub(*since) < PART_KEPT);
        }
        if self.parts.len() < MOST_PARTS {
            self.parts.insert(part_key(server, model, part), now);
        }
    }

    /// Whether a server's memory is likely to hold a prompt part.
    pub fn held(&self, server: &str, model: &str, part: u64, now: Mono) -> bool {
        let since = self.parts.get(&part_key(server, model, part));
        since.is_some_and(|since| now.saturating_sub(*since) < PART_KEPT)
    }
}

fn part_key(server: &str, model: &str, part: u64) -> u64 {
    hash_parts(&[server.as_bytes(), model.as_bytes(), &part.to_le_bytes()])
}
