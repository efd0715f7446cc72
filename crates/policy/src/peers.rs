//! State that instances exchange by gossip, and the view of the peers built from it.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::evidence::{EvidenceRow, HaltKey};

/// A member without a new heartbeat for this long is considered dead.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a load hint remains valid without renewal.
const HINT_TTL: Duration = Duration::from_secs(4);

/// The state that an instance sends to a peer. Merging the same digest twice is
/// harmless.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Digest {
    /// The sender.
    pub instance: Name,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sender's failure domain.
    pub domain: Name,
    /// Incremented with every digest of the incarnation; serves as the heartbeat.
    pub sequence: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The version number of the sender's configuration.
    pub config_number: u64,
    /// The age of the sender's confirmation by the platform, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// The latest heartbeats known to the sender from its own failure domain.
    pub members: Vec<Member>,
    /// Backend servers that announced that they are leaving.
    pub leaving_servers: Vec<Name>,
    /// Halted versions.
    pub halts: Vec<HaltKey>,
    /// Server crashes by request fingerprint.
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
    /// The instance's incarnation.
    pub incarnation: u64,
    /// The latest known heartbeat of the incarnation.
    pub sequence: u64,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

/// The load that one instance puts on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadHint {
    /// The server.
    pub server: Name,
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// Whether a request suspected of crashing servers runs there.
    pub suspect: bool,
}

/// The number of server crashes attributed to one fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonRow {
    /// The request fingerprint.
    pub fingerprint: u64,
    /// The number of servers that crashed.
    pub crashes: u32,
}

/// The known state of one peer.
#[derive(Debug)]
struct Peer {
    domain: Name,
    incarnation: u64,
    sequence: u64,
    last_heartbeat: Duration,
    leaving: bool,
    hints: Vec<LoadHint>,
    hints_received: Duration,
}

impl Peer {
    fn is_alive(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_heartbeat) < HEARTBEAT_TIMEOUT && !self.leaving
    }
}

/// The known peers with their heartbeats and load hints.
#[derive(Debug, Default)]
pub struct Peers {
    known: HashMap<Name, Peer>,
}

impl Peers {
    /// Records a heartbeat of a member of a domain. Returns whether it is newer than
    /// the known one.
    pub fn heartbeat(&mut self, member: &Member, domain: &Name, now: Duration) -> bool {
        let peer = self.known.entry(member.instance.clone()).or_insert_with(|| Peer {
            domain: domain.clone(),
            incarnation: 0,
            sequence: 0,
            last_heartbeat: now,
            leaving: false,
            hints: Vec::new(),
            hints_received: Duration::ZERO,
        });
        let newer = (member.incarnation, member.sequence) > (peer.incarnation, peer.sequence);
        if newer {
            peer.incarnation = member.incarnation;
            peer.sequence = member.sequence;
            peer.last_heartbeat = now;
            peer.leaving = member.leaving;
        }
        newer
    }

    /// Replaces the load hints of a peer.
    pub fn set_hints(&mut self, instance: &Name, hints: Vec<LoadHint>, now: Duration) {
        if let Some(peer) = self.known.get_mut(instance) {
            peer.hints = hints;
            peer.hints_received = now;
        }
    }

    /// Iterates over all valid load hints.
    pub fn hints(&self, now: Duration) -> impl Iterator<Item = &LoadHint> {
        let recent = move |peer: &&Peer| now.saturating_sub(peer.hints_received) < HINT_TTL;
        self.known.values().filter(recent).flat_map(|peer| &peer.hints)
    }

    /// Returns the latest heartbeats of a domain, to be forwarded to peers.
    pub fn members(&self, domain: &Name) -> Vec<Member> {
        let member = |(instance, peer): (&Name, &Peer)| Member {
            instance: instance.clone(),
            incarnation: peer.incarnation,
            sequence: peer.sequence,
            leaving: peer.leaving,
        };
        self.known.iter().filter(|(_, peer)| peer.domain == *domain).map(member).collect()
    }

    /// Returns the live peers.
    pub fn alive(&self, now: Duration) -> Vec<Name> {
        let alive = self.known.iter().filter(|(_, peer)| peer.is_alive(now));
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of live peers in a domain.
    pub fn count_alive(&self, domain: &Name, now: Duration) -> usize {
        self.known.values().filter(|peer| peer.domain == *domain && peer.is_alive(now)).count()
    }

    /// Returns whether an incarnation has ended: the peer has a newer one, or it
    /// belongs to the given domain and its heartbeat timed out.
    ///
    /// Heartbeats are forwarded only within a failure domain, so a missing heartbeat
    /// says nothing about peers in other domains.
    pub fn has_ended(
        &self,
        instance: &str,
        incarnation: u64,
        domain: &Name,
        now: Duration,
    ) -> bool {
        let Some(peer) = self.known.get(instance) else { return false };
        let timed_out = now.saturating_sub(peer.last_heartbeat) >= HEARTBEAT_TIMEOUT;
        peer.incarnation > incarnation || (timed_out && peer.domain == *domain)
    }

    /// Removes peers without a heartbeat for thirty times the heartbeat timeout.
    pub fn expire(&mut self, now: Duration) {
        self.known
            .retain(|_, peer| now.saturating_sub(peer.last_heartbeat) < HEARTBEAT_TIMEOUT * 30);
    }
}
