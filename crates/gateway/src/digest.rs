//! State that instances exchange: server loads and digests.

use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use dispatch::{RolloutState, RolloutStats, Sample, ServerLoad, in_canary};
use policy::hash_unit;
use serde::{Deserialize, Serialize};

use crate::gateway::Gateway;

/// Maximum number of crash counts of requests in one datagram.
const MAX_POISON: usize = 32;

/// Load of an instance on its servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    instance: Name,
    /// Per server: id, requests in flight and prompt tokens not processed yet.
    pub servers: Vec<(Name, u32, u32)>,
}

/// State of an instance that concerns all other instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    instance: Name,
    pub domain: Name,
    /// Address at which the sender receives datagrams.
    pub from: Option<SocketAddr>,
    rollouts: Vec<RolloutReport>,
    /// Fingerprints of requests, with the number of servers that crashed while running
    /// them.
    poison: Vec<(u64, u32)>,
    /// Sessions in the canary, with the version that they last ran on.
    pub sessions: Vec<(u64, Name)>,
}

/// What an instance knows of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RolloutReport {
    service: Name,
    to: Name,
    revision: u64,
    state: RolloutState,
    /// Whether the final state is stored.
    written: bool,
    /// Whether the start of the order is stored.
    begun: bool,
    age_ms: u64,
    /// Encoded [`Sample`] of the old version.
    old: [f64; 4],
    /// Encoded [`Sample`] of the new version.
    new: [f64; 4],
    /// Requests of the sender in flight on the old version.
    old_open: u32,
}

impl Digest {
    /// Whether two digests are equal except for the ages of orders, which always grow
    /// and so are no reason to send a digest.
    pub fn same_except_age(&self, other: &Digest) -> bool {
        let without_ages = |digest: &Digest| {
            let mut digest = digest.clone();
            digest.rollouts.iter_mut().for_each(|report| report.age_ms = 0);
            digest
        };
        without_ages(self) == without_ages(other)
    }
}

impl<D> Gateway<D> {
    /// Returns this instance's state and takes the sessions that were not sent yet.
    pub(crate) fn digest(&self, from: SocketAddr) -> Digest {
        let rollouts = self.rollouts.borrow();
        let reports = rollouts.values().map(|tracked| RolloutReport {
            service: tracked.rollout.order.service.clone(),
            to: tracked.rollout.order.to.clone(),
            revision: tracked.rollout.order.revision,
            state: tracked.rollout.state,
            written: tracked.final_state_stored,
            begun: tracked.start_stored,
            age_ms: tracked.rollout.age(self.now()).as_millis() as u64,
            old: encode_sample(&tracked.own_stats.old),
            new: encode_sample(&tracked.own_stats.new),
            old_open: self.old_in_flight(&tracked.rollout.order.service, &tracked.rollout.order.to),
        });
        let poison = self.poison.borrow();
        let sessions = self.sessions.borrow_mut().take_pending();
        Digest {
            instance: self.settings.instance.clone(),
            domain: self.settings.domain.clone(),
            from: Some(from),
            rollouts: reports.collect(),
            poison: poison.crash_counts().take(MAX_POISON).collect(),
            sessions: sessions
                .into_iter()
                .filter(|(session, _)| in_canary(hash_unit(*session)))
                .collect(),
        }
    }

    /// Returns this instance's loads, sorted by server so that they can be compared.
    pub(crate) fn own_loads(&self) -> Loads {
        let mut servers: Vec<(Name, u32, u32)> = self
            .fleet
            .borrow()
            .own_loads()
            .into_iter()
            .map(|(id, load)| (id, load.in_flight, load.prefill_tokens as u32))
            .collect();
        servers.sort();
        Loads { instance: self.settings.instance.clone(), servers }
    }

    /// Applies the loads that another instance reports.
    pub(crate) fn apply_loads(&self, loads: Loads) {
        let servers = loads.servers.into_iter().map(|(id, in_flight, tokens)| {
            (id, ServerLoad { in_flight, prefill_tokens: f64::from(tokens) })
        });
        let now = self.now();
        self.fleet.borrow_mut().set_peer_loads(&loads.instance, servers.collect(), now);
    }

    /// Applies the digest of another instance; ignores reports on rollouts whose
    /// revision differs from the one known here.
    pub(crate) fn apply_digest(&self, digest: Digest) {
        let now = self.now();
        for report in digest.rollouts {
            if self.rollout_revision(&report.service) != Some(report.revision) {
                continue;
            }
            self.set_rollout_state(&report.service, &report.to, report.state, report.written);
            self.set_rollout_age(&report.service, &report.to, Duration::from_millis(report.age_ms));
            let stats = RolloutStats {
                old: decode_sample(&report.old),
                new: decode_sample(&report.new),
                old_in_flight: report.old_open,
            };
            self.update_rollout(&report.service, report.revision, |tracked| {
                tracked.start_stored |= report.begun;
                tracked.peer_stats.insert(digest.instance.clone(), (stats, now));
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

    /// Returns the number of this instance's requests in flight on servers of versions
    /// other than `to`.
    pub(crate) fn old_in_flight(&self, service: &str, to: &str) -> u32 {
        let fleet = self.fleet.borrow();
        let old = fleet.servers_of(service).filter(|server| *server.info.version != *to);
        old.map(|server| server.in_flight).sum()
    }
}

fn encode_sample(sample: &Sample) -> [f64; 4] {
    let Sample { answers, bad, timed, time_ms } = *sample;
    [f64::from(answers), f64::from(bad), f64::from(timed), time_ms]
}

fn decode_sample(encoded: &[f64; 4]) -> Sample {
    let [answers, bad, timed, time_ms] = *encoded;
    Sample { answers: answers as u32, bad: bad as u32, timed: timed as u32, time_ms }
}
