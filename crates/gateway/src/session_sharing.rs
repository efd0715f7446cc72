//! Sessions that instances tell each other during a rollout, so that each keeps its version
//! wherever its next request arrives.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{MonotonicTime, SessionOutbox, in_canary};
use policy::hash_unit;

use crate::digest::{Digest, Scope};
use crate::gateway::Gateway;
use crate::peers::{Message, Peers};

/// Pause between two messages, so that the sessions of one moment are told together. A session
/// reaches all instances within three of them.
const SHARING_PAUSE: Duration = Duration::from_millis(25);
/// Time in which a session reaches all instances, unless datagrams are lost.
const SHARING_TIME: Duration = Duration::from_millis(300);
/// Interval at which a request looks whether its session has become known.
const SETTLING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which repeated and open sessions are looked for.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of sessions in one datagram, which then fits into one network packet.
const MAX_SESSIONS: usize = 80;

/// Sessions that this instance tells others.
#[derive(Debug, Default)]
pub(crate) struct SessionOutboxes {
    /// For the instances of the own failure domain, if this instance is their hub.
    domain: RefCell<SessionOutbox>,
    /// For the hub, or from a hub for the other hubs.
    hubs: RefCell<SessionOutbox>,
}

impl<D> Gateway<D> {
    /// Records that a request of a session begins on a version.
    pub(crate) fn begin_session(&self, session: u64, version: &Name) {
        let mut sessions = self.sessions.borrow_mut();
        sessions.begin(session, version, self.now());
        if sessions.has_pending() {
            self.sessions_changed.notify_one();
        }
    }

    /// Records that a request of a session has ended.
    pub(crate) fn end_session(&self, session: u64) {
        let mut sessions = self.sessions.borrow_mut();
        sessions.end(session, self.now());
        if sessions.has_pending() {
            self.sessions_changed.notify_one();
        }
    }

    /// Waits until it is known on which version a session ran, if the canary has just started and
    /// reports of it may be on their way.
    pub(crate) async fn settle_session(&self, service: &Name, session: u64) {
        let until = self.now() + SHARING_TIME;
        while self.now() < until && self.is_session_settling(service, session) {
            tokio::time::sleep(SETTLING_POLL_INTERVAL).await;
        }
    }

    fn is_session_settling(&self, service: &Name, session: u64) -> bool {
        let rollouts = self.rollouts.borrow();
        let Some(tracked) = rollouts.get(service) else { return false };
        let now = self.now();
        let sessions = self.sessions.borrow();
        tracked.rollout.is_settling(hash_unit(session), sessions.version(session, now), now)
    }

    /// Takes the sessions of the canary and the load test that were not told yet.
    fn take_sessions(&self) -> Vec<(u64, Name)> {
        let sessions = self.sessions.borrow_mut().take_pending(self.now());
        self.retain_shared(sessions)
    }

    /// Returns the recent sessions of the canary and the load test, for an instance that starts.
    pub(crate) fn shared_sessions(&self) -> Vec<(u64, Name)> {
        let sessions = self.sessions.borrow().recent(self.now());
        self.retain_shared(sessions)
    }

    /// Keeps the sessions whose version does not follow from the age of the order.
    fn retain_shared(&self, mut sessions: Vec<(u64, Name)>) -> Vec<(u64, Name)> {
        let in_load_test = self.versions_in_load_test();
        sessions.retain(|(session, version)| {
            in_canary(hash_unit(*session)) || in_load_test.contains(version)
        });
        sessions
    }
}

impl Peers {
    /// Tells other instances of sessions until the process ends.
    pub(crate) async fn send_sessions<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            let changed = gateway.sessions_changed.notified();
            // On a timeout, sessions may be due to be told again.
            let _ = tokio::time::timeout(REPEAT_INTERVAL, changed).await;
            tokio::time::sleep(SHARING_PAUSE).await;
            let now = gateway.now();
            let own = gateway.take_sessions();
            let outboxes = &self.session_outboxes;
            let is_hub = self.is_hub(now);
            let mut dropped = outboxes.hubs.borrow_mut().add(&own);
            if is_hub {
                dropped += outboxes.domain.borrow_mut().add(&own);
            } else {
                outboxes.domain.borrow_mut().clear();
            }
            gateway.metrics.sessions_dropped.inc_by(dropped as u64);
            let to_hubs = outboxes.hubs.borrow_mut().take(now);
            let to_domain = outboxes.domain.borrow_mut().take(now);
            let (hubs, scope) = match is_hub {
                true => (self.membership().foreign_hubs(now), Scope::Domain),
                false => (self.membership().uplinks(now), Scope::Instance),
            };
            self.send_session_digests(&gateway, to_hubs, scope, &hubs).await;
            let neighbours = self.membership().neighbours(now);
            self.send_session_digests(&gateway, to_domain, Scope::Installation, &neighbours).await;
        }
    }

    async fn send_session_digests<D>(
        &self,
        gateway: &Gateway<D>,
        sessions: Vec<(u64, Name)>,
        scope: Scope,
        receivers: &[SocketAddr],
    ) {
        let told = sessions.len() * receivers.len();
        gateway.metrics.sessions_told.inc_by(told as u64);
        for sessions in sessions.chunks(MAX_SESSIONS) {
            let domain = &gateway.settings.domain;
            let digest = Digest::of_sessions(scope, domain, self.incarnation(), sessions.to_vec());
            self.send(&Message::Digest(digest), receivers).await;
        }
    }

    /// Has a hub pass on the sessions of another instance: those of its own domain to all,
    /// those of another domain to its own.
    pub(crate) fn pass_on_sessions<D>(
        &self,
        gateway: &Gateway<D>,
        digest: &Digest,
        now: MonotonicTime,
    ) {
        if digest.sessions.is_empty() || !self.is_hub(now) {
            return;
        }
        let SessionOutboxes { domain, hubs } = &self.session_outboxes;
        let dropped = match digest.scope {
            Scope::Instance => {
                hubs.borrow_mut().add(&digest.sessions) + domain.borrow_mut().add(&digest.sessions)
            }
            Scope::Domain => domain.borrow_mut().add(&digest.sessions),
            // Another instance acts as hub of this domain and has told all.
            Scope::Installation => return,
        };
        gateway.metrics.sessions_dropped.inc_by(dropped as u64);
        gateway.sessions_changed.notify_one();
    }
}
