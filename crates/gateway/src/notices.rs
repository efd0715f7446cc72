//! What servers say of themselves in their answers: that they shut down, are brittle, or want a
//! pause.

use std::time::Duration;

use config::Name;
use dispatch::{BrittleNotice, MonotonicTime};
use serde_json::json;

use crate::gateway::Gateway;
use crate::wire::ResponseInfo;

/// Part of a pause by which it may be longer, so that the instances do not all return to the
/// server at once.
const MAX_PAUSE_JITTER: f64 = 0.25;

impl<D> Gateway<D> {
    /// Records what the answer to a request sent at `sent_at` says about its server, which may
    /// have reached this instance through another one.
    pub(crate) fn observe_notices(
        &self,
        server: &Name,
        info: &ResponseInfo,
        sent_at: MonotonicTime,
    ) {
        self.observe_rate(server, info.rate, sent_at);
        self.observe_brittleness(server, info.max_rejections, sent_at);
        if info.invalid_notice {
            self.metrics.invalid_notices.inc();
            self.event_log.write("notice_invalid", self.now(), || json!({ "server": server }));
        }
        if info.leaving {
            let started_at =
                self.fleet.borrow().get(server).map(|server| server.info.started_at_ms);
            if started_at.is_some_and(|started_at_ms| self.record_leaving(server, started_at_ms)) {
                self.tell_server_news(server, true);
            }
        }
        if let Some(pause) = info.pause {
            self.pause_server(server, pause);
        }
    }

    /// Records that an incarnation of a server shuts down; returns whether this is news.
    pub(crate) fn record_leaving(&self, server: &Name, started_at_ms: u64) -> bool {
        let is_news = self.fleet.borrow_mut().announce_leaving(server, started_at_ms);
        if is_news {
            let fields = || json!({ "server": server });
            self.event_log.write("server_leaving", self.now(), fields);
        }
        is_news
    }

    /// Records whether an answer says that its server is brittle.
    fn observe_brittleness(
        &self,
        server: &Name,
        max_rejections: Option<u32>,
        sent_at: MonotonicTime,
    ) {
        let service = self.fleet.borrow().get(server).map(|server| server.info.service.clone());
        let Some(service) = service else { return };
        let as_of = if max_rejections.is_some() { self.now() } else { sent_at };
        if max_rejections.is_some() {
            self.note_heard_brittle(&service);
        }
        if self.record_brittleness(&service, server, BrittleNotice { max_rejections, as_of }) {
            self.tell_server_news(server, true);
        }
    }

    /// Records whether a server is brittle; returns whether this is news.
    pub(crate) fn record_brittleness(
        &self,
        service: &Name,
        server: &Name,
        notice: BrittleNotice,
    ) -> bool {
        if !self.fleet.borrow_mut().record_brittleness(service, server, notice) {
            return false;
        }
        self.count_servers_in_need(&self.fleet.borrow());
        let fields = || {
            json!({
                "service": service,
                "server": server,
                "brittle": notice.max_rejections.is_some(),
                "max_rejections": notice.max_rejections,
            })
        };
        self.event_log.write("server_brittle", self.now(), fields);
        self.brittleness_changed.notify_one();
        true
    }

    /// Forgets what was said about brittle servers and not confirmed for long.
    pub(crate) fn expire_brittleness(&self) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.expire_brittleness(self.now());
        self.count_servers_in_need(&fleet);
    }

    fn pause_server(&self, server: &str, pause: Duration) {
        let now = self.now();
        let time = pause.saturating_add(pause.mul_f64(MAX_PAUSE_JITTER * self.random()));
        self.fleet.borrow_mut().pause(server, time, now);
        self.metrics.pauses.inc();
        let fields = || json!({ "server": server, "pause_ms": time.as_millis() as u64 });
        self.event_log.write("server_paused", now, fields);
    }
}
