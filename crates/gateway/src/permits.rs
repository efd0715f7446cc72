//! Permits for requests to servers that limit their rate, are brittle or cold.
//!
//! What such a server takes, all instances share. The coordinator of its failure domain
//! issues a permit for each request; the other instances ask it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{
    MonotonicTime, PermitDecision, PermitIssuer, RateLimit, Refill, SlotIssuer, SlotRequest,
    SlotUse,
};
use members::Coordinator;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::cold::{ColdReport, ColdRequest};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::peers::{Message, Peers};
use crate::rate_limits::RateReport;

/// How long to wait for a permit. Longer than a round trip between failure domains.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the servers of a domain are not asked for after its coordinator did not answer or has
/// only just become it, or if there is none.
const COORDINATOR_BACKOFF: Duration = Duration::from_millis(250);
/// Interval at which an instance reports how it uses brittle servers.
const SLOT_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// How long an instance that has become coordinator issues one permit for a slot at a time:
/// requests that hold those of its predecessor may not have been reported yet.
const TAKEOVER_PERIOD: Duration = Duration::from_millis(600);
/// How long an instance that has become coordinator issues at most [`RIVAL_SHARE`] of the rate of
/// cold servers if its predecessor fell silent: in a partition, the predecessor issues the full rate
/// until it takes the instances that it lost for dead, which takes up to 3.5 s.
const RIVAL_PERIOD: Duration = Duration::from_millis(3_500);
/// See [`RIVAL_PERIOD`]. With 0.5, both coordinators of a partition could issue 24.75 permits in a
/// second, of 24.5 allowed (13 a second, overrun 1.5, slack 5).
const RIVAL_SHARE: f64 = 0.4;
/// Slots that it uses meanwhile of a server that survives more than one rejection.
const TAKEOVER_SLOTS: f64 = 1.0;
/// Number of rejections that a server is assumed to survive that does not say.
const DEFAULT_MAX_REJECTIONS: u32 = 1;
/// Slot number of requests without a permit.
const NO_SLOT: u64 = 0;

/// A request for a permit.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// Chosen by the sender; repeated in the reply.
    number: u64,
    /// Priority of the caller's request.
    priority: u8,
    /// Failure domain of the server.
    domain: Name,
    /// The rate limit as the sender knows it.
    limit: RateReport,
    /// The number of slots, if the server is brittle.
    slots: Option<u32>,
}

/// The answer to a request for a permit.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PermitReply {
    number: u64,
    permit: PermitAnswer,
}

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum PermitAnswer {
    /// One request may be sent. `slot` is to be released when it ends; 0 if there is nothing
    /// to release.
    Granted { slot: u64 },
    /// None; the coordinator may be asked again after this time.
    Denied { retry_after_ms: u64 },
    /// The server no longer limited its rate so long ago.
    Unlimited { age_ms: u64 },
}

/// Tells a coordinator that a request has ended which held a slot, or that a brittle server
/// rejected one without a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PermitRelease {
    server: Name,
    /// The slot; [`NO_SLOT`] if there is none.
    slot: u64,
    /// Whether the server had no room for the request.
    rejected: bool,
}

/// Tells a coordinator how the sender uses brittle servers of its domain.
pub(crate) type SlotUses = Vec<(Name, SlotUse)>;

/// A process that issues permits: its address and incarnation.
type Issuer = (SocketAddr, u64);

/// Permits that an instance issues, and those that it waits for and holds.
#[derive(Debug, Default)]
pub(crate) struct PermitDesk {
    rates: RefCell<PermitIssuer>,
    slots: RefCell<SlotIssuer>,
    last_number: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
    /// Slots that this instance holds, by server and issuer.
    held: RefCell<HashMap<(Name, Issuer), Vec<u64>>>,
}

impl PermitDesk {
    /// Passes a reply on to the request that waits for it.
    pub fn receive(&self, reply: PermitReply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&reply.number) {
            // The request may have ended.
            let _ = waiting.send(reply.permit);
        }
    }

    /// Records that a request has ended which held a slot.
    pub fn release(&self, release: &PermitRelease, now: MonotonicTime) {
        let PermitRelease { server, slot, rejected } = release;
        let mut slots = self.slots.borrow_mut();
        match rejected {
            true => slots.reject(server, *slot, now),
            false => slots.release(server, *slot, now),
        }
    }

    /// Records how an instance says that it uses brittle servers.
    pub fn record_use(&self, uses: &SlotUses, from: SocketAddr, now: MonotonicTime) {
        let mut slots = self.slots.borrow_mut();
        for (server, usage) in uses {
            slots.record_use(server, from, usage, now);
        }
    }

    /// Returns the slots that this instance holds of an issuer.
    fn held_from(&self, server: &Name, issuer: Issuer) -> Vec<u64> {
        self.held.borrow().get(&(server.clone(), issuer)).cloned().unwrap_or_default()
    }
}

/// A permit for one request. A slot that it holds is released when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    held: Option<HeldSlot>,
    /// When it was asked for, if it was issued for a cold server.
    cold_at: Option<MonotonicTime>,
}

/// A slot of a brittle server.
#[derive(Debug)]
struct HeldSlot {
    peers: Rc<Peers>,
    release: PermitRelease,
    issuer: Issuer,
    /// The start of monotonic time.
    epoch: Instant,
}

impl HeldSlot {
    fn new(peers: Rc<Peers>, release: PermitRelease, issuer: Issuer, epoch: Instant) -> Self {
        let key = (release.server.clone(), issuer);
        peers.permits.held.borrow_mut().entry(key).or_default().push(release.slot);
        HeldSlot { peers, release, issuer, epoch }
    }
}

impl Permit {
    /// When the permit was asked for, if it was issued for a cold server.
    pub fn cold_at(&self) -> Option<MonotonicTime> {
        self.cold_at
    }

    /// Records that the server had no room for the request.
    pub fn set_rejected(&mut self) {
        if let Some(held) = &mut self.held {
            held.release.rejected = true;
        }
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let mut held = self.peers.permits.held.borrow_mut();
        if let Entry::Occupied(mut slots) = held.entry((self.release.server.clone(), self.issuer)) {
            slots.get_mut().retain(|slot| *slot != self.release.slot);
            if slots.get().is_empty() {
                slots.remove();
            }
        }
        drop(held);
        self.peers.report_release(&self.release, self.issuer.0, self.epoch.elapsed());
    }
}

/// A request that waits for a permit; drops its entry at the desk.
struct WaitingRequest<'a> {
    desk: &'a PermitDesk,
    number: u64,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.desk.waiting.borrow_mut().remove(&self.number);
    }
}

impl<D> Gateway<D> {
    /// Asks for a permit to send a request to a server; `None` if it is denied.
    pub(crate) async fn take_permit(&self, server: &Name, priority: u8) -> Option<Permit> {
        let peers = self.peers()?;
        let (domain, request, cold) = {
            let fleet = self.fleet.borrow();
            let server = fleet.get(server)?;
            let domain = server.info.domain.clone();
            let request = PermitRequest {
                number: 0,
                priority,
                domain: domain.clone(),
                limit: RateReport::new(server, self.now()),
                slots: server.is_brittle().then_some(server.info.slots),
            };
            let presumed = domain != self.settings.domain && server.is_presumed_cold(self.now());
            (domain, request, ColdReport::new(server, self.now()).map(|cold| (cold, presumed)))
        };
        let is_presumed = cold.as_ref().is_some_and(|(_, presumed)| *presumed);
        let cold_at = cold.as_ref().map(|_| self.now());
        let coordinator = peers.membership().coordinator(&domain, self.now());
        let Some(answer) = peers.request_permit(self, coordinator, request, cold).await else {
            Metrics::count(&self.metrics.permits, "unanswered");
            let until = self.now() + COORDINATOR_BACKOFF;
            let mut fleet = self.fleet.borrow_mut();
            match cold_at {
                // An instance of an earlier build answers for the other servers of the domain.
                Some(_) => fleet.deny_permits(server, 0, until),
                None => fleet.deny_domain_permits(&domain, until),
            }
            return None;
        };
        let reason = match answer {
            PermitAnswer::Granted { .. } => "granted",
            PermitAnswer::Denied { .. } => "denied",
            PermitAnswer::Unlimited { .. } => "unlimited",
        };
        Metrics::count(&self.metrics.permits, reason);
        let is_cold = self.is_cold(server);
        match answer {
            PermitAnswer::Granted { slot } => {
                let held = match slot {
                    NO_SLOT => None,
                    slot => {
                        let issuer = peers.issuer(coordinator)?;
                        let release =
                            PermitRelease { server: server.clone(), slot, rejected: false };
                        let epoch = self.instant(MonotonicTime::ZERO);
                        Some(HeldSlot::new(peers.clone(), release, issuer, epoch))
                    }
                };
                // The coordinator may not know yet that the server has become cold.
                (cold_at.is_some() || !is_cold).then_some(Permit { held, cold_at })
            }
            PermitAnswer::Denied { retry_after_ms } => {
                let until = self.now() + Duration::from_millis(retry_after_ms);
                self.fleet.borrow_mut().deny_permits(server, priority, until);
                None
            }
            PermitAnswer::Unlimited { .. }
                if is_presumed && self.fleet.borrow_mut().confirm_warm(server) =>
            {
                self.note_warm_servers();
                Some(Permit { held: None, cold_at })
            }
            PermitAnswer::Unlimited { .. } if is_cold => {
                let until = self.now() + COORDINATOR_BACKOFF;
                self.fleet.borrow_mut().deny_permits(server, 0, until);
                None
            }
            PermitAnswer::Unlimited { age_ms } => {
                self.end_rate_limit(server, age_ms);
                Some(Permit { held: None, cold_at: None })
            }
        }
    }
}

impl<D> Gateway<D> {
    /// Tells the coordinator of a brittle server that it rejected a request without a permit.
    pub(crate) fn report_blind_rejection(&self, server: &Name) {
        let (Some(peers), now) = (self.peers(), self.now()) else { return };
        let domain = self.fleet.borrow().get(server).map(|server| server.info.domain.clone());
        let coordinator = domain.and_then(|domain| peers.membership().coordinator(&domain, now));
        if let Some((addr, _)) = peers.issuer(coordinator) {
            let release = PermitRelease { server: server.clone(), slot: NO_SLOT, rejected: true };
            peers.report_release(&release, addr, now);
        }
    }

    /// Returns how this instance uses brittle servers, by the coordinator of their domain.
    fn slot_uses(&self, peers: &Peers) -> HashMap<SocketAddr, SlotUses> {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let mut uses: HashMap<SocketAddr, SlotUses> = HashMap::new();
        for server in fleet.brittle_servers().filter(|server| server.in_flight > 0) {
            let coordinator = peers.membership().coordinator(&server.info.domain, now);
            let Some(issuer) = peers.issuer(coordinator) else { continue };
            let permits = peers.permits.held_from(&server.info.id, issuer);
            let unpermitted = server.in_flight.saturating_sub(permits.len() as u32);
            let usage = SlotUse { permits, unpermitted };
            uses.entry(issuer.0).or_default().push((server.info.id.clone(), usage));
        }
        uses
    }
}

impl Peers {
    /// Returns the process that issues permits.
    fn issuer(&self, coordinator: Option<Coordinator>) -> Option<Issuer> {
        match coordinator? {
            Coordinator::Own { .. } => Some((self.own_addr(), self.incarnation())),
            Coordinator::Other(addr) => Some((addr, self.membership().incarnation(&addr))),
        }
    }

    /// Reports the end of a request to the coordinator, which may be this instance.
    fn report_release(&self, release: &PermitRelease, coordinator: SocketAddr, now: MonotonicTime) {
        match coordinator == self.own_addr() {
            true => self.permits.release(release, now),
            false => self.try_send(&Message::PermitRelease(release.clone()), coordinator),
        }
    }

    /// Reports how this instance uses brittle servers until the process ends, so that their
    /// coordinators count requests that were sent without a permit, and those that an earlier
    /// coordinator issued one for.
    pub(crate) async fn send_slot_uses<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            let changed = gateway.brittleness_changed.notified();
            if gateway.metrics.brittle_servers.get() == 0 {
                changed.await;
            } else {
                // On a timeout, the reports are due again.
                let _ = tokio::time::timeout(SLOT_REPORT_INTERVAL, changed).await;
            }
            let now = gateway.now();
            for (addr, uses) in gateway.slot_uses(&self) {
                match addr == self.own_addr() {
                    true => self.permits.record_use(&uses, addr, now),
                    false => self.send(&Message::SlotUses(uses), &[addr]).await,
                }
            }
        }
    }

    /// Asks the coordinator of the server's domain for a permit; `None` if it does not answer or
    /// there is none.
    async fn request_permit<D>(
        &self,
        gateway: &Gateway<D>,
        coordinator: Option<Coordinator>,
        mut request: PermitRequest,
        cold: Option<(ColdReport, bool)>,
    ) -> Option<PermitAnswer> {
        let addr = match coordinator? {
            Coordinator::Own { .. } => {
                let is_cold = cold.is_some();
                return Some(self.decide_permit(gateway, request, is_cold).permit);
            }
            Coordinator::Other(addr) => addr,
        };
        let (sender, receiver) = oneshot::channel();
        request.number = self.permits.last_number.get() + 1;
        self.permits.last_number.set(request.number);
        let _waiting = WaitingRequest { desk: &self.permits, number: request.number };
        self.permits.waiting.borrow_mut().insert(request.number, sender);
        let message = match cold {
            Some((cold, presumed)) => Message::ColdRequest(ColdRequest { request, cold, presumed }),
            None => Message::PermitRequest(request),
        };
        self.send(&message, &[addr]).await;
        tokio::time::timeout(PERMIT_TIMEOUT, receiver).await.ok()?.ok()
    }

    /// Decides on a permit for a server that the asking instance knows to be cold, as coordinator
    /// of its domain.
    pub(crate) fn decide_cold_permit<D>(
        &self,
        gateway: &Gateway<D>,
        request: ColdRequest,
    ) -> PermitReply {
        if request.presumed && gateway.knows_warm(&request.cold) {
            // The instances of the server's failure domain would have noticed a restart.
            let number = request.request.number;
            return PermitReply { number, permit: PermitAnswer::Unlimited { age_ms: 0 } };
        }
        gateway.learn_cold_server(&request.cold);
        self.decide_permit(gateway, request.request, true)
    }

    /// Decides on a permit as coordinator of the server's domain; `asked_as_cold` if the asking
    /// instance knows that the server is cold.
    pub(crate) fn decide_permit<D>(
        &self,
        gateway: &Gateway<D>,
        request: PermitRequest,
        asked_as_cold: bool,
    ) -> PermitReply {
        let PermitRequest { number, priority, domain, limit, slots } = request;
        let now = gateway.now();
        gateway.learn_rate_limit(&limit);
        let server = &limit.server;
        let (known, max_rejections, cold) = {
            let fleet = gateway.fleet.borrow();
            let known = fleet.get(server);
            let cold = known.and_then(|known| known.cold_rate(now));
            let max_rejections = known.and_then(|known| known.max_rejections);
            (known.map(|known| known.rate_limit), max_rejections, cold)
        };
        let Some(Coordinator::Own { share }) = self.membership().coordinator(&domain, now) else {
            return PermitReply { number, permit: denied(COORDINATOR_BACKOFF) };
        };
        if asked_as_cold && cold.is_none() {
            // Another incarnation or configuration is known here.
            return PermitReply { number, permit: denied(COORDINATOR_BACKOFF) };
        }
        let since = self.hub_since().unwrap_or(now);
        let may_be_unlimited = slots.is_none() && cold.is_none();
        let rate = match known {
            Some(RateLimit { rate: None, as_of: Some(as_of) }) if may_be_unlimited => {
                let age_ms = now.saturating_sub(as_of).as_millis() as u64;
                return PermitReply { number, permit: PermitAnswer::Unlimited { age_ms } };
            }
            Some(known) => known.rate,
            None => limit.rate,
        };
        let mut slot = 0;
        if let Some(slots) = slots {
            let max_rejections = max_rejections.unwrap_or(DEFAULT_MAX_REJECTIONS);
            let is_new = now.saturating_sub(since) < TAKEOVER_PERIOD;
            if is_new && max_rejections <= 1 {
                return PermitReply { number, permit: denied(COORDINATOR_BACKOFF) };
            }
            let mut issuer = self.permits.slots.borrow_mut();
            issuer.forget_idle(now);
            let usable = f64::from(slots) * share;
            let slots = if is_new { usable.min(TAKEOVER_SLOTS) } else { usable };
            match issuer.decide(server, SlotRequest { slots, max_rejections, priority }, now) {
                (PermitDecision::Granted, permit) => slot = permit,
                (PermitDecision::Denied(wait), _) => {
                    let wait = if is_new { wait.min(COORDINATOR_BACKOFF) } else { wait };
                    return PermitReply { number, permit: denied(wait) };
                }
            }
        }
        let limited = rate.map(|rate| Refill::limited(rate * share));
        let refill = match (limited, cold) {
            (limited, Some((rate, _))) => {
                let is_new = now.saturating_sub(since) < RIVAL_PERIOD;
                let has_rival = is_new && self.membership().may_have_rival(now);
                let share = if has_rival { share.min(RIVAL_SHARE) } else { share };
                let mut cold = gateway.settings.cold_limit.refill(rate, share);
                if has_rival {
                    // The accumulated permits are those of the rival.
                    cold.capacity = 1.0;
                }
                limited.map_or(cold, |limited| limited.min(cold))
            }
            (Some(limited), None) => limited,
            (None, None) => return PermitReply { number, permit: PermitAnswer::Granted { slot } },
        };
        let since = cold.map_or(since, |(_, cold_since)| since.max(cold_since));
        let mut issuer = self.permits.rates.borrow_mut();
        issuer.forget_idle(now);
        let permit = match issuer.decide_within(server, refill, priority, since, now) {
            PermitDecision::Granted => PermitAnswer::Granted { slot },
            PermitDecision::Denied(wait) => {
                self.permits.slots.borrow_mut().withdraw(server, slot);
                denied(wait)
            }
        };
        PermitReply { number, permit }
    }
}

fn denied(wait: Duration) -> PermitAnswer {
    PermitAnswer::Denied { retry_after_ms: wait.as_millis() as u64 + 1 }
}
