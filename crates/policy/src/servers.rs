//! The table of backend servers.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::event::{Report, RequestId, ServerInfo, ServerState};
use crate::latency::LatencyTracker;

/// The index of a server in the table. It does not change, since servers are never
/// removed.
pub type ServerIx = usize;

/// The share of a server's slots that long work may occupy.
const LONG_WORK_SHARE: f64 = 0.5;
/// The half-life of a load report's influence, in seconds.
const REPORT_HALF_LIFE_S: f64 = 2.0;
/// The delay after the first failed connection; it doubles with every further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The upper bound of the delay after failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How long a peer's report that a server runs a suspect request stays valid.
const PEER_SUSPECT_TTL: Duration = Duration::from_secs(3);

/// A backend server and the requests in flight on it.
#[derive(Debug)]
pub struct Server {
    /// The server's entry in the platform's list.
    pub info: ServerInfo,
    /// Whether the server has disappeared from the platform's list.
    pub delisted: bool,
    /// Whether the server or a peer announced that the server is leaving.
    pub leaving: bool,
    /// The number of this instance's attempts in flight.
    pub in_flight: u32,
    /// How many of those attempts are long work.
    pub long_in_flight: u32,
    /// The total estimated work of those attempts.
    pub work: f64,
    /// The number of attempts in flight that peers reported.
    pub peer_in_flight: u32,
    /// The server's latency relative to the expected latency.
    pub latency: LatencyTracker,
    /// The request running on the server that is suspected of crashing servers.
    pub suspect: Option<RequestId>,
    /// The time until which a peer's suspect request is assumed to run on the server.
    pub peer_suspect_until: Duration,
    /// The indices of the pools that the server belongs to.
    pub pools: Vec<usize>,
    report: Option<(Report, Duration)>,
    backoff_until: Duration,
    backoff: Duration,
}

impl Server {
    fn new(info: ServerInfo) -> Self {
        Server {
            info,
            delisted: false,
            leaving: false,
            in_flight: 0,
            long_in_flight: 0,
            work: 0.0,
            peer_in_flight: 0,
            latency: LatencyTracker::default(),
            suspect: None,
            peer_suspect_until: Duration::ZERO,
            pools: Vec::new(),
            report: None,
            backoff_until: Duration::ZERO,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Returns whether the server accepts new requests, regardless of connection
    /// failures.
    pub fn takes_work(&self) -> bool {
        !self.delisted && !self.leaving && self.info.state == ServerState::Live
    }

    /// Returns whether the server accepts new requests and is not in connection
    /// backoff.
    pub fn is_available(&self, now: Duration) -> bool {
        self.takes_work() && now >= self.backoff_until
    }

    /// Returns whether the server has a free slot for long or short work.
    ///
    /// Each of the `domain_instances` instances can always use its own share of the
    /// slots, so that load from other instances cannot starve it.
    pub fn has_capacity(&self, long: bool, domain_instances: u32, now: Duration) -> bool {
        let slots = (f64::from(self.info.slots) * self.latency.weight()).ceil().max(1.0);
        let own_share = (slots / f64::from(domain_instances.max(1))).floor().max(1.0);
        let own = f64::from(self.in_flight);
        if own >= own_share && own + self.others_in_flight(now) >= slots {
            return false;
        }
        !long || f64::from(self.long_in_flight) < (slots * LONG_WORK_SHARE).floor().max(1.0)
    }

    /// Estimates how many attempts of other instances are in flight, from peers' hints
    /// and the server's delayed load report.
    pub fn others_in_flight(&self, now: Duration) -> f64 {
        let hinted = f64::from(self.peer_in_flight);
        let Some((report, at)) = self.report else { return hinted };
        let age = now.saturating_sub(at).as_secs_f64() + report.age_ms as f64 / 1e3;
        let others = f64::from(report.in_flight.saturating_sub(self.in_flight));
        hinted.max(others * 0.5f64.powf(age / REPORT_HALF_LIFE_S))
    }

    /// Stores a load report from the server.
    pub fn record_report(&mut self, report: Report, now: Duration) {
        self.report = Some((report, now));
    }

    /// Starts the backoff after a failed connection and doubles the next one.
    pub fn record_connection_failure(&mut self, now: Duration) {
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Resets the backoff after the server answered.
    pub fn reset_backoff(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }

    /// Returns whether a suspect request may run on the server. At most one may at a
    /// time, so that a crash can be attributed.
    pub fn can_run_suspect(&self, now: Duration) -> bool {
        self.suspect.is_none() && now >= self.peer_suspect_until
    }

    /// Records that a peer runs a suspect request on the server.
    pub fn record_peer_suspect(&mut self, now: Duration) {
        self.peer_suspect_until = now + PEER_SUSPECT_TTL;
    }
}

/// All known backend servers.
#[derive(Debug, Default)]
pub struct Servers {
    list: Vec<Server>,
    by_id: HashMap<Name, ServerIx>,
}

impl Servers {
    /// Applies the platform's list and marks servers missing from it as delisted.
    pub fn update(&mut self, infos: Vec<ServerInfo>) {
        for server in &mut self.list {
            server.delisted = true;
        }
        for info in infos {
            match self.by_id.get(&info.id) {
                Some(ix) => self.list[*ix].update_info(info),
                None => {
                    self.by_id.insert(info.id.clone(), self.list.len());
                    self.list.push(Server::new(info));
                }
            }
        }
    }

    /// Returns the index of the server with the given id.
    pub fn find(&self, id: &str) -> Option<ServerIx> {
        self.by_id.get(id).copied()
    }

    /// Returns the server at the index.
    pub fn get(&self, ix: ServerIx) -> &Server {
        &self.list[ix]
    }

    /// Returns the server at the index, mutably.
    pub fn get_mut(&mut self, ix: ServerIx) -> &mut Server {
        &mut self.list[ix]
    }

    /// Iterates over all servers with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (ServerIx, &Server)> {
        self.list.iter().enumerate()
    }

    /// Iterates over all servers, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.list.iter_mut()
    }
}

impl Server {
    /// Applies a new list entry. A server that changed its address or came back from
    /// leaving loses its recorded latency and backoff.
    fn update_info(&mut self, info: ServerInfo) {
        let returned = info.state == ServerState::Live && self.info.state == ServerState::Leaving;
        if returned || info.addr != self.info.addr {
            self.leaving = false;
            self.backoff_until = Duration::ZERO;
            self.latency = LatencyTracker::default();
        }
        self.info = info;
        self.delisted = false;
    }
}
