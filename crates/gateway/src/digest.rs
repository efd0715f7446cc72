//! What instances have seen and tell each other.

use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use dispatch::{RolloutState, RolloutStats, Sample, ServerLoad, in_canary};
use policy::hash_unit;
use serde::{Deserialize, Serialize};

use crate::gateway::Gateway;

/// Convicted requests that are told at the most in one datagram.
const MOST_POISON: usize = 32;

/// What an instance has at its servers: id, requests and tokens to be read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    instance: Name,
    pub servers: Vec<(Name, u32, u32)>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    instance: Name,
    pub domain: Name,
    pub from: Option<SocketAddr>,
    rollouts: Vec<Seen>,
    poison: Vec<(u64, u32)>,
    pub sessions: Vec<(u64, Name)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Seen {
    service: Name,
    to: Name,
    revision: u64,
    state: RolloutState,
    written: bool,
    begun: bool,
    age_ms: u64,
    old: [f64; 4],
    new: [f64; 4],
    old_open: u32,
}

impl Digest {
    /// Whether it tells nothing new; the age of an order grows by itself.
    pub fn same(&self, told: &Digest) -> bool {
        let ageless = |digest: &Digest| {
            let mut digest = digest.clone();
            digest.rollouts.iter_mut().for_each(|seen| seen.age_ms = 0);
            digest
        };
        ageless(self) == ageless(told)
    }
}

impl<D> Gateway<D> {
    pub(crate) fn digest(&self, from: SocketAddr) -> Digest {
        let rollouts = self.rollouts.borrow();
        let seen = rollouts.values().map(|watched| Seen {
            service: watched.rollout.order.service.clone(),
            to: watched.rollout.order.to.clone(),
            revision: watched.rollout.order.revision,
            state: watched.rollout.state,
            written: watched.written,
            begun: watched.begun,
            age_ms: watched.rollout.age(self.now()).as_millis() as u64,
            old: pack(&watched.own.old),
            new: pack(&watched.own.new),
            old_open: self.old_open(&watched.rollout.order.service, &watched.rollout.order.to),
        });
        let poison = self.poison.borrow();
        let untold = self.sessions.borrow_mut().take_pending();
        Digest {
            instance: self.setup.instance.clone(),
            domain: self.setup.domain.clone(),
            from: Some(from),
            rollouts: seen.collect(),
            poison: poison.rows().take(MOST_POISON).collect(),
            sessions: untold
                .into_iter()
                .filter(|(session, _)| in_canary(hash_unit(*session)))
                .collect(),
        }
    }

    pub(crate) fn own_loads(&self) -> Loads {
        let mut servers: Vec<(Name, u32, u32)> = self
            .fleet
            .borrow()
            .own_loads()
            .into_iter()
            .map(|(id, work)| (id, work.in_flight, work.prefill_tokens as u32))
            .collect();
        servers.sort();
        Loads { instance: self.setup.instance.clone(), servers }
    }

    pub(crate) fn loads(&self, loads: Loads) {
        let work = loads.servers.into_iter().map(|(id, open, reading)| {
            (id, ServerLoad { in_flight: open, prefill_tokens: f64::from(reading) })
        });
        let now = self.now();
        self.fleet.borrow_mut().set_peer_loads(&loads.instance, work.collect(), now);
    }

    pub(crate) fn told(&self, digest: Digest) {
        let now = self.now();
        for seen in digest.rollouts {
            if self.rollout_revision(&seen.service) != Some(seen.revision) {
                continue;
            }
            self.settled(&seen.service, &seen.to, seen.state, seen.written);
            self.rollout_age(&seen.service, &seen.to, Duration::from_millis(seen.age_ms));
            let tally = RolloutStats {
                old: unpack(&seen.old),
                new: unpack(&seen.new),
                old_in_flight: seen.old_open,
            };
            self.change_rollout(&seen.service, seen.revision, |watched| {
                watched.begun |= seen.begun;
                watched.peers.insert(digest.instance.clone(), (tally, now));
            });
        }
        let mut poison = self.poison.borrow_mut();
        for (fingerprint, deaths) in digest.poison {
            poison.merge(fingerprint, deaths, now);
        }
        let mut sessions = self.sessions.borrow_mut();
        for (session, version) in digest.sessions {
            sessions.merge(session, &version, now);
        }
    }

    /// Own requests in flight at servers of another version than `to`.
    pub(crate) fn old_open(&self, service: &str, to: &str) -> u32 {
        let fleet = self.fleet.borrow();
        let old = fleet.servers_of(service).filter(|server| *server.info.version != *to);
        old.map(|server| server.in_flight).sum()
    }
}

fn pack(sample: &Sample) -> [f64; 4] {
    let Sample { answers, bad, timed, time_ms } = *sample;
    [f64::from(answers), f64::from(bad), f64::from(timed), time_ms]
}

fn unpack(packed: &[f64; 4]) -> Sample {
    let [answers, bad, timed, time_ms] = *packed;
    Sample { answers: answers as u32, bad: bad as u32, timed: timed as u32, time_ms }
}
