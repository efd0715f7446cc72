//! What instances tell each other, and what one keeps of it.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::evidence::{EvidenceRow, HaltKey};

/// A member without a new heartbeat for this long is taken to be gone.
const SILENCE: Duration = Duration::from_secs(10);
/// A hint without renewal for this long no longer counts.
const HINT_AGE: Duration = Duration::from_secs(4);

/// The state that an instance sends to a peer; all of it may come twice.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// The sender.
    pub instance: Name,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sender's failure domain.
    pub domain: Name,
    /// Grows with every digest of the incarnation; it is the heartbeat.
    pub sequence: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The number of the sender's configuration.
    pub config_number: u64,
    /// The age of the sender's confirmation by the platform, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Heartbeats of the sender's domain that it knows.
    pub members: Vec<Member>,
    /// Backend servers that said they are leaving.
    pub leaving_servers: Vec<Name>,
    /// Halts.
    pub halts: Vec<HaltKey>,
    /// Deaths of servers by fingerprint.
    pub poison: Vec<PoisonRow>,
    /// The sender's own load on servers.
    pub loads: Vec<LoadHint>,
    /// The sender's own evidence of the last two epochs.
    pub evidence: Vec<EvidenceRow>,
}

/// The heartbeat of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub instance: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its last known heartbeat.
    pub sequence: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// The load that one instance has on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadHint {
    /// The server.
    pub server: Name,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Whether a suspect of crashing servers runs there.
    pub suspect: bool,
}

/// Deaths of servers that ran one fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonRow {
    /// The fingerprint.
    pub fingerprint: u64,
    /// The deaths.
    pub deaths: u32,
}

/// What is kept of one peer.
#[derive(Debug)]
struct Peer {
    domain: Name,
    incarnation: u64,
    sequence: u64,
    heard: Duration,
    leaving: bool,
    hints: Vec<LoadHint>,
    hinted: Duration,
}

impl Peer {
    fn alive(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) < SILENCE && !self.leaving
    }
}

/// The members of the instance's domain, and its peers' hints.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<Name, Peer>,
}

impl Peers {
    /// Takes a heartbeat of a member of a domain; true if it is newer than what was known.
    pub fn heartbeat(&mut self, member: &Member, domain: &Name, now: Duration) -> bool {
        let peer = self.known.entry(member.instance.clone()).or_insert_with(|| Peer {
            domain: domain.clone(),
            incarnation: 0,
            sequence: 0,
            heard: now,
            leaving: false,
            hints: Vec::new(),
            hinted: Duration::ZERO,
        });
        let newer = (member.incarnation, member.sequence) > (peer.incarnation, peer.sequence);
        if newer {
            peer.incarnation = member.incarnation;
            peer.sequence = member.sequence;
            peer.heard = now;
            peer.leaving = member.leaving;
        }
        newer
    }

    /// Replaces a peer's load hints.
    pub fn hint(&mut self, instance: &Name, hints: Vec<LoadHint>, now: Duration) {
        if let Some(peer) = self.known.get_mut(instance) {
            peer.hints = hints;
            peer.hinted = now;
        }
    }

    /// All load hints that are not too old.
    pub fn hints(&self, now: Duration) -> impl Iterator<Item = &LoadHint> {
        let recent = move |peer: &&Peer| now.saturating_sub(peer.hinted) < HINT_AGE;
        self.known.values().filter(recent).flat_map(|peer| &peer.hints)
    }

    /// The heartbeats of a domain, to pass on.
    pub fn members(&self, domain: &Name) -> Vec<Member> {
        let member = |(instance, peer): (&Name, &Peer)| Member {
            instance: instance.clone(),
            incarnation: peer.incarnation,
            sequence: peer.sequence,
            leaving: peer.leaving,
        };
        self.known.iter().filter(|(_, peer)| peer.domain == *domain).map(member).collect()
    }

    /// The peers that are alive.
    pub fn alive(&self, now: Duration) -> Vec<Name> {
        let alive = self.known.iter().filter(|(_, peer)| peer.alive(now));
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// How many peers of a domain are alive.
    pub fn count_alive(&self, domain: &Name, now: Duration) -> usize {
        self.known.values().filter(|peer| peer.domain == *domain && peer.alive(now)).count()
    }

    /// Whether the incarnation ended: the peer has a newer one, or a member of
    /// the own domain has been silent for long.
    ///
    /// Heartbeats are passed on within a domain only, so nothing is said of
    /// silent peers elsewhere.
    pub fn gone(&self, instance: &str, incarnation: u64, domain: &Name, now: Duration) -> bool {
        let Some(peer) = self.known.get(instance) else { return false };
        let silent = now.saturating_sub(peer.heard) >= SILENCE;
        peer.incarnation > incarnation || (silent && peer.domain == *domain)
    }

    /// Forgets peers that were silent for long.
    pub fn expire(&mut self, now: Duration) {
        self.known.retain(|_, peer| now.saturating_sub(peer.heard) < SILENCE * 30);
    }
}
