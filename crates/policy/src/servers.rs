//! The table of backend servers.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::event::{Report, RequestId, ServerInfo, ServerState};
use crate::pace::Pace;

/// The place of a server in the table; it stays the same while the server is known.
pub type ServerIx = usize;

/// The part of a server's slots that long work may take.
const LONG_SHARE: f64 = 0.5;
/// A load report loses half of its word in this time.
const REPORT_HALF_LIFE_S: f64 = 2.0;
/// The first wait after a refused connection.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// The longest wait after refused connections.
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
/// A peer's word that a server runs a suspect holds for this long.
const PEER_SUSPECT: Duration = Duration::from_secs(3);

/// One backend server and what is in flight on it.
#[derive(Debug)]
pub struct Server {
    /// What the platform's list says.
    pub info: ServerInfo,
    /// Whether the list no longer has it.
    pub gone: bool,
    /// Whether it or a peer said that it is leaving.
    pub leaving: bool,
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    /// Those of them that are long work.
    pub long: u32,
    /// Their estimated work.
    pub work: f64,
    /// Attempts of peers in flight, by their hints.
    pub hinted: u32,
    /// How fast it is.
    pub pace: Pace,
    /// The suspect of crashing servers that runs there.
    pub suspect: Option<RequestId>,
    /// Until when a peer's suspect is taken to run there.
    pub peer_suspect: Duration,
    /// The pools that it serves.
    pub pools: Vec<usize>,
    report: Option<(Report, Duration)>,
    down_until: Duration,
    backoff: Duration,
}

impl Server {
    fn new(info: ServerInfo) -> Self {
        Server {
            info,
            gone: false,
            leaving: false,
            in_flight: 0,
            long: 0,
            work: 0.0,
            hinted: 0,
            pace: Pace::default(),
            suspect: None,
            peer_suspect: Duration::ZERO,
            pools: Vec::new(),
            report: None,
            down_until: Duration::ZERO,
            backoff: FIRST_BACKOFF,
        }
    }

    /// Whether the server takes new work at all.
    pub fn takes_work(&self) -> bool {
        !self.gone && !self.leaving && self.info.state == ServerState::Live
    }

    /// Whether it may be tried now.
    pub fn up(&self, now: Duration) -> bool {
        self.takes_work() && now >= self.down_until
    }

    /// Whether a slot is free for work of the lane.
    ///
    /// Each of `sharers` instances always keeps its part of the slots, so that
    /// none is starved by the others' load.
    pub fn has_room(&self, long: bool, sharers: u32, now: Duration) -> bool {
        let slots = (f64::from(self.info.slots) * self.pace.weight()).ceil().max(1.0);
        let part = (slots / f64::from(sharers.max(1))).floor().max(1.0);
        let own = f64::from(self.in_flight);
        if own >= part && own + self.external(now) >= slots {
            return false;
        }
        !long || f64::from(self.long) < (slots * LONG_SHARE).floor().max(1.0)
    }

    /// Attempts of others in flight, by peers' hints and the late report.
    pub fn external(&self, now: Duration) -> f64 {
        let hinted = f64::from(self.hinted);
        let Some((report, at)) = self.report else { return hinted };
        let age = now.saturating_sub(at).as_secs_f64() + report.age_ms as f64 / 1e3;
        let others = f64::from(report.in_flight.saturating_sub(self.in_flight));
        hinted.max(others * 0.5f64.powf(age / REPORT_HALF_LIFE_S))
    }

    /// Takes a load report.
    pub fn report(&mut self, report: Report, now: Duration) {
        self.report = Some((report, now));
    }

    /// Notes a refused connection.
    pub fn refused(&mut self, now: Duration) {
        self.down_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }

    /// Notes an answer.
    pub fn answered(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    /// Whether a suspect may run there: no other does.
    pub fn free_of_suspects(&self, now: Duration) -> bool {
        self.suspect.is_none() && now >= self.peer_suspect
    }

    /// Notes that a peer runs a suspect there.
    pub fn peer_runs_suspect(&mut self, now: Duration) {
        self.peer_suspect = now + PEER_SUSPECT;
    }
}

/// All known backend servers.
#[derive(Debug, Default)]
pub struct Servers {
    list: Vec<Server>,
    by_id: HashMap<Name, ServerIx>,
}

impl Servers {
    /// Takes over the platform's list; servers it lacks are gone.
    pub fn update(&mut self, infos: Vec<ServerInfo>) {
        for server in &mut self.list {
            server.gone = true;
        }
        for info in infos {
            match self.by_id.get(&info.id) {
                Some(ix) => self.list[*ix].relist(info),
                None => {
                    self.by_id.insert(info.id.clone(), self.list.len());
                    self.list.push(Server::new(info));
                }
            }
        }
    }

    /// The server's place.
    pub fn find(&self, id: &str) -> Option<ServerIx> {
        self.by_id.get(id).copied()
    }

    /// The server at a place.
    pub fn get(&self, ix: ServerIx) -> &Server {
        &self.list[ix]
    }

    /// The server at a place, to change it.
    pub fn get_mut(&mut self, ix: ServerIx) -> &mut Server {
        &mut self.list[ix]
    }

    /// All servers with their places.
    pub fn iter(&self) -> impl Iterator<Item = (ServerIx, &Server)> {
        self.list.iter().enumerate()
    }

    /// All servers, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.list.iter_mut()
    }
}

impl Server {
    /// Takes over a new listing; a server that moved or came back starts anew.
    fn relist(&mut self, info: ServerInfo) {
        let returned = info.state == ServerState::Live && self.info.state == ServerState::Leaving;
        if returned || info.addr != self.info.addr {
            self.leaving = false;
            self.down_until = Duration::ZERO;
            self.pace = Pace::default();
        }
        self.info = info;
        self.gone = false;
    }
}
