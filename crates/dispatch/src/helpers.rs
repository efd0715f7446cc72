//! Which instance is asked to send a request on behalf of this one.
//!
//! Designed for instances that lose their links to the servers while other instances reach
//! both: up to half of all at the same time, or a whole failure domain. Nothing tells in
//! advance which of the others reach the servers; their answers do.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;

/// How long an instance that reaches no server of a service is not asked for it again;
/// doubles up to the maximum while it reaches none.
const MIN_LOST_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum of this time.
const MAX_LOST_BACKOFF: Duration = Duration::from_secs(4);
/// How long an instance that did not answer is not asked again.
const FAILED_BACKOFF: Duration = Duration::from_secs(2);
/// How long after its last answer an instance is preferred.
const PROVEN_TTL: Duration = Duration::from_secs(3);
/// Number of instances in a row that reach no server of a service after which the service
/// counts as down.
const REFUSALS_TO_PAUSE: u32 = 16;
/// How long nobody is asked for a service that is down; doubles up to the maximum.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// How long a service counts as full after a helper said so, and other helpers are preferred.
const FULL_TIME: Duration = Duration::from_millis(300);
/// Cost of an instance in another failure domain, in open requests.
const CROSS_DOMAIN_COST: f64 = 4.0;
/// Cost of an instance that has not answered lately, in open requests.
const UNPROVEN_COST: f64 = 6.0;
/// Cost of an instance that said lately that the servers have no room, in open requests: each
/// instance gets its part of what they take.
const FULL_COST: f64 = 8.0;
/// Cost of an instance of the own domain that has not answered lately, in open requests, for
/// each other one there that reaches no server: the whole domain may be cut off.
const LOST_NEIGHBOUR_COST: f64 = 3.0;

/// An instance that may be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HelperCandidate {
    /// Address for messages between instances.
    pub addr: SocketAddr,
    /// Whether it is in the own failure domain.
    pub local: bool,
}

/// How an instance answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelperOutcome {
    /// It passed a server's answer on.
    Answered,
    /// It reaches no server of the service either.
    Lost,
    /// The servers that it reaches have no room.
    Full,
    /// It did not send the request, for a reason that says nothing about its servers.
    Declined,
    /// It can't be connected to, or its answer broke off or did not arrive.
    Failed,
}

/// What this instance knows about the others as helpers.
#[derive(Debug, Default)]
pub struct Helpers {
    helpers: HashMap<SocketAddr, HelperState>,
    services: HashMap<Name, ServiceState>,
}

#[derive(Debug, Default)]
struct HelperState {
    open: u32,
    avoided_until: MonotonicTime,
    proven_at: Option<MonotonicTime>,
}

#[derive(Debug, Default)]
struct ServiceState {
    /// Refusals since the last answer.
    refusals: u32,
    paused_until: MonotonicTime,
    /// Until when the service counts as full, as helpers say that reach its servers.
    full_until: MonotonicTime,
    /// The helpers that said so, and until when others are preferred.
    full: HashMap<SocketAddr, MonotonicTime>,
    /// Helpers that reach none of its servers.
    lost: HashMap<SocketAddr, LostHelper>,
}

/// A helper that reaches no server of a service.
#[derive(Debug, Clone, Copy)]
struct LostHelper {
    avoided_until: MonotonicTime,
    backoff: Duration,
}

impl LostHelper {
    /// Whether it reached no server not long ago.
    fn is_recent(&self, now: MonotonicTime) -> bool {
        now < self.avoided_until + MAX_LOST_BACKOFF
    }
}

impl Helpers {
    /// Chooses a helper for a request to a service; `tried` were asked before. `draw` is a
    /// random number from 0 to 1.
    pub fn choose(
        &self,
        candidates: &[HelperCandidate],
        service: &str,
        tried: &[SocketAddr],
        draw: f64,
        now: MonotonicTime,
    ) -> Option<SocketAddr> {
        let service = self.services.get(service);
        if service.is_some_and(|service| now < service.paused_until) {
            return None;
        }
        let is_avoided = |addr: &SocketAddr| {
            let lost = service.and_then(|service| service.lost.get(addr));
            let lost_until = lost.map(|lost| &lost.avoided_until);
            let failed_until = self.helpers.get(addr).map(|helper| &helper.avoided_until);
            lost_until.into_iter().chain(failed_until).any(|until| now < *until)
        };
        let is_lost = |candidate: &&HelperCandidate| {
            let lost = service.and_then(|service| service.lost.get(&candidate.addr));
            candidate.local && lost.is_some_and(|lost| lost.is_recent(now))
        };
        let lost_neighbours = candidates.iter().filter(is_lost).count();
        let eligible = candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.addr) && !is_avoided(&candidate.addr));
        let costs = eligible.map(|candidate| {
            let full = service.and_then(|service| service.full.get(&candidate.addr));
            let full_cost = if full.is_some_and(|until| now < *until) { FULL_COST } else { 0.0 };
            let cost = self.cost(candidate, lost_neighbours, draw, now);
            (cost + full_cost, candidate.addr)
        });
        costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, addr)| addr)
    }

    fn cost(
        &self,
        candidate: &HelperCandidate,
        lost_neighbours: usize,
        draw: f64,
        now: MonotonicTime,
    ) -> f64 {
        let helper = self.helpers.get(&candidate.addr);
        let open = helper.map_or(0, |helper| helper.open);
        let proven_at = helper.and_then(|helper| helper.proven_at);
        let proven = proven_at.is_some_and(|at| now.saturating_sub(at) < PROVEN_TTL);
        let hash = policy::hash_parts(&[
            candidate.addr.to_string().as_bytes(),
            &draw.to_bits().to_le_bytes(),
        ]);
        let neighbourhood_cost = LOST_NEIGHBOUR_COST * lost_neighbours as f64;
        f64::from(open)
            + if candidate.local { 0.0 } else { CROSS_DOMAIN_COST }
            + if proven { 0.0 } else { UNPROVEN_COST }
            + if candidate.local && !proven { neighbourhood_cost } else { 0.0 }
            + policy::hash_unit(hash)
    }

    /// Whether helpers said lately that the servers of a service that they reach have no room.
    pub fn is_full(&self, service: &str, now: MonotonicTime) -> bool {
        self.services.get(service).is_some_and(|service| now < service.full_until)
    }

    /// Records that a request was handed to a helper.
    pub fn request_sent(&mut self, addr: SocketAddr) {
        self.helpers.entry(addr).or_default().open += 1;
    }

    /// Records that a request is no longer open at a helper.
    pub fn request_ended(&mut self, addr: SocketAddr) {
        let helper = self.helpers.entry(addr).or_default();
        helper.open = helper.open.saturating_sub(1);
    }

    /// Records how a helper answered.
    pub fn record_outcome(
        &mut self,
        addr: SocketAddr,
        service: &Name,
        outcome: HelperOutcome,
        now: MonotonicTime,
    ) {
        let helper = self.helpers.entry(addr).or_default();
        let service = self.services.entry(service.clone()).or_default();
        match outcome {
            HelperOutcome::Answered => {
                helper.proven_at = Some(now);
                service.refusals = 0;
                service.lost.remove(&addr);
            }
            HelperOutcome::Lost => {
                service.lost.retain(|_, lost| lost.is_recent(now));
                let backoff = match service.lost.get(&addr) {
                    Some(lost) => (lost.backoff * 2).min(MAX_LOST_BACKOFF),
                    None => MIN_LOST_BACKOFF,
                };
                let avoided_until = now + backoff;
                service.lost.insert(addr, LostHelper { avoided_until, backoff });
                service.refusals += 1;
                if service.refusals >= REFUSALS_TO_PAUSE {
                    let doublings = (service.refusals - REFUSALS_TO_PAUSE).min(8);
                    let pause = (MIN_PAUSE * 2u32.pow(doublings)).min(MAX_PAUSE);
                    service.paused_until = now + pause;
                }
            }
            HelperOutcome::Full => {
                service.full_until = now + FULL_TIME;
                service.full.retain(|_, until| now < *until);
                service.full.insert(addr, now + FULL_TIME);
            }
            HelperOutcome::Declined => {}
            HelperOutcome::Failed => {
                helper.avoided_until = now + FAILED_BACKOFF;
                helper.proven_at = None;
            }
        }
    }

    /// Forgets helpers that have no open requests and no reason to be avoided or preferred.
    pub fn forget_idle(&mut self, now: MonotonicTime) {
        self.helpers.retain(|_, helper| {
            let proven = helper.proven_at.is_some_and(|at| now.saturating_sub(at) < PROVEN_TTL);
            helper.open > 0 || now < helper.avoided_until || proven
        });
    }
}
