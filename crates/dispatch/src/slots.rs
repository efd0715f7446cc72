//! Permits for the slots of brittle servers, which crash if they have to reject requests.
//!
//! Designed for servers of few slots that many instances use at the same time, none of which
//! knows what the others send at this moment. One instance issues the permits for the servers
//! of a failure domain and counts the requests that hold one.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use serde::{Deserialize, Serialize};

use crate::MonotonicTime;
use crate::rate_limit::{PermitDecision, priority_class};

/// Part of a server's slots that is used at most; the rest is for requests whose end is
/// known here earlier than there.
const USABLE_FRACTION: f64 = 0.9;
/// Part of the slots that is left to more urgent requests, by class of priority.
const RESERVED_FRACTION: [f64; 3] = [0.0, 0.1, 0.2];
/// Factor by which the usable slots shrink when the server rejects a request all the same.
const REJECTION_FACTOR: f64 = 0.7;
/// Smallest part of the slots that stays usable.
const MIN_FRACTION: f64 = 0.2;
/// Part of the slots that becomes usable again per second.
const RECOVERY_PER_S: f64 = 0.05;
/// Time within which rejections count once: they are of the same moment.
const REJECTION_WINDOW: Duration = Duration::from_millis(100);
/// A permit counts for so many times the mean time for which permits are held, from when it was
/// issued or its holder last reported it: the report of its end can be lost.
const HELD_AT_MOST: f64 = 4.0;
/// Least time for which such a permit counts.
const MIN_HELD: Duration = Duration::from_millis(500);
/// Weight of the newest permit in that mean.
const HELD_SMOOTHING: f64 = 0.1;
/// The mean before any permit has ended.
const INITIAL_HELD: Duration = Duration::from_millis(500);
/// Number of instances that are told to ask when a slot becomes free, as not all have a
/// request then.
const ASKS_PER_SLOT: f64 = 2.0;
/// How long a report of requests without a permit counts: a few times the interval at which
/// instances report them.
const UNPERMITTED_TTL: Duration = Duration::from_millis(700);
/// Time over which rejections are counted against what a server survives.
const REJECTION_PERIOD: Duration = Duration::from_secs(1);
/// Longest time for which a permit is denied.
const MAX_DENIAL: Duration = Duration::from_secs(1);
/// Time after which a server that nobody asks for is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A request for a permit for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// Number of slots that the instances which ask here may use together.
    pub slots: f64,
    /// Number of rejections in a second that the server survives.
    pub max_rejections: u32,
    /// Priority of the caller's request; 0 is the highest.
    pub priority: u8,
}

/// Issues permits for the slots of brittle servers.
#[derive(Debug, Default)]
pub struct SlotIssuer {
    servers: HashMap<Name, Slots>,
    last_permit: u64,
}

/// A permit that was issued and not released.
#[derive(Debug, Clone, Copy)]
struct HeldPermit {
    issued_at: MonotonicTime,
    /// When its holder last reported that it holds it, or when it was issued.
    confirmed_at: MonotonicTime,
}

/// How an instance uses a brittle server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SlotUse {
    /// Permits that it holds.
    pub permits: Vec<u64>,
    /// Requests at the server for which it holds none of the receiver: they were sent before they
    /// needed one, or an earlier coordinator issued it.
    pub unpermitted: u32,
}

/// The slots of one server.
#[derive(Debug)]
struct Slots {
    /// The permits that are still held.
    held: BTreeMap<u64, HeldPermit>,
    /// Requests at the server without a permit of this instance, by the instance that reported
    /// them, with the time of the report.
    unpermitted: HashMap<SocketAddr, (u32, MonotonicTime)>,
    /// When the server rejected requests in the last [`REJECTION_PERIOD`].
    rejections: VecDeque<MonotonicTime>,
    /// Mean time for which a permit is held.
    mean_held: Duration,
    /// Usable part of the slots as of `adjusted_at`.
    fraction: f64,
    adjusted_at: MonotonicTime,
    /// When the next denied instance should ask again, so that they take turns.
    next_turn: MonotonicTime,
    asked_at: MonotonicTime,
}

impl Slots {
    fn new(now: MonotonicTime) -> Self {
        Slots {
            held: BTreeMap::new(),
            unpermitted: HashMap::new(),
            rejections: VecDeque::new(),
            mean_held: INITIAL_HELD,
            fraction: USABLE_FRACTION,
            adjusted_at: now,
            next_turn: now,
            asked_at: now,
        }
    }

    /// Returns the number of requests that take a slot.
    fn occupied(&mut self, now: MonotonicTime) -> f64 {
        let longest = self.mean_held.mul_f64(HELD_AT_MOST).max(MIN_HELD);
        self.held.retain(|_, permit| now.saturating_sub(permit.confirmed_at) < longest);
        self.unpermitted.retain(|_, (_, at)| now.saturating_sub(*at) < UNPERMITTED_TTL);
        let unpermitted: u32 = self.unpermitted.values().map(|(requests, _)| requests).sum();
        self.held.len() as f64 + f64::from(unpermitted)
    }

    fn forget_rejections(&mut self, now: MonotonicTime) {
        self.rejections.retain(|at| now.saturating_sub(*at) < REJECTION_PERIOD);
    }

    /// Until when the server survives no further rejection, if that is so. The last one that it
    /// survives is left to requests that are not known here.
    fn endangered_until(
        &mut self,
        max_rejections: u32,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        self.forget_rejections(now);
        let bearable = max_rejections.saturating_sub(1).max(1) as usize;
        let first = self.rejections.len().checked_sub(bearable)?;
        self.rejections.get(first).map(|at| *at + REJECTION_PERIOD)
    }

    /// Returns the usable part of the slots.
    fn fraction(&self, now: MonotonicTime) -> f64 {
        let recovered = now.saturating_sub(self.adjusted_at).as_secs_f64() * RECOVERY_PER_S;
        (self.fraction + recovered).min(USABLE_FRACTION)
    }
}

impl SlotIssuer {
    /// Decides on a permit for a request. Returns the number of the permit if it is granted.
    pub fn decide(
        &mut self,
        server: &Name,
        request: SlotRequest,
        now: MonotonicTime,
    ) -> (PermitDecision, u64) {
        let SlotRequest { slots, max_rejections, priority } = request;
        let permit = self.last_permit + 1;
        let state = self.servers.entry(server.clone()).or_insert_with(|| Slots::new(now));
        state.asked_at = now;
        if let Some(until) = state.endangered_until(max_rejections, now) {
            return (PermitDecision::Denied((until - now).min(MAX_DENIAL)), 0);
        }
        let reserved = (slots * RESERVED_FRACTION[priority_class(priority)]).round();
        let usable = ((slots * state.fraction(now)).round() - reserved).max(1.0);
        if state.occupied(now) < usable {
            state.held.insert(permit, HeldPermit { issued_at: now, confirmed_at: now });
            self.last_permit = permit;
            return (PermitDecision::Granted, permit);
        }
        // While all slots are held, one becomes free in this time.
        let interval = state.mean_held.div_f64(usable);
        let turn = state.next_turn.max(now + interval).min(now + MAX_DENIAL);
        state.next_turn = turn + interval.div_f64(ASKS_PER_SLOT);
        (PermitDecision::Denied(turn - now), 0)
    }

    /// Records how an instance says that it uses a server.
    pub fn record_use(
        &mut self,
        server: &Name,
        instance: SocketAddr,
        usage: &SlotUse,
        now: MonotonicTime,
    ) {
        let state = self.servers.entry(server.clone()).or_insert_with(|| Slots::new(now));
        state.asked_at = now;
        state.unpermitted.insert(instance, (usage.unpermitted, now));
        for permit in &usage.permits {
            if let Some(held) = state.held.get_mut(permit) {
                held.confirmed_at = now;
            }
        }
    }

    /// Records that a request which held a permit has ended.
    pub fn release(&mut self, server: &str, permit: u64, now: MonotonicTime) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let Some(permit) = state.held.remove(&permit) else { return };
        let held = now.saturating_sub(permit.issued_at);
        state.mean_held =
            state.mean_held.mul_f64(1.0 - HELD_SMOOTHING) + held.mul_f64(HELD_SMOOTHING);
    }

    /// Records that a server had no room for a request; `permit` is 0 if it had none.
    pub fn reject(&mut self, server: &Name, permit: u64, now: MonotonicTime) {
        let state = self.servers.entry(server.clone()).or_insert_with(|| Slots::new(now));
        state.forget_rejections(now);
        state.rejections.push_back(now);
        let is_known = state.held.remove(&permit).is_some();
        if is_known && now.saturating_sub(state.adjusted_at) >= REJECTION_WINDOW {
            state.fraction = (state.fraction(now) * REJECTION_FACTOR).max(MIN_FRACTION);
            state.adjusted_at = now;
        }
    }

    /// Takes a permit back that was not used.
    pub fn withdraw(&mut self, server: &str, permit: u64) {
        if let Some(state) = self.servers.get_mut(server) {
            state.held.remove(&permit);
        }
    }

    /// Forgets servers that have not been asked for lately.
    pub fn forget_idle(&mut self, now: MonotonicTime) {
        self.servers.retain(|_, state| now.saturating_sub(state.asked_at) < FORGET_AFTER);
    }
}
