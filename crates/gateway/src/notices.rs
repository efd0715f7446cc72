//! What servers say of themselves in their answers: that they shut down, or want a pause.

use std::time::Duration;

use serde_json::json;

use crate::gateway::Gateway;
use crate::wire::ResponseInfo;

/// Part of a pause by which it may be longer, so that the instances do not all return to the
/// server at once.
const MAX_PAUSE_JITTER: f64 = 0.25;

impl<D> Gateway<D> {
    /// Records what an answer says about its server.
    pub(crate) fn observe_notices(&self, server: &str, info: &ResponseInfo) {
        if info.invalid_notice {
            self.metrics.invalid_notices.inc();
            self.event_log.write("notice_invalid", self.now(), || json!({ "server": server }));
        }
        if info.leaving && self.fleet.borrow_mut().announce_leaving(server) {
            let fields = || json!({ "server": server });
            self.event_log.write("server_leaving", self.now(), fields);
        }
        if let Some(pause) = info.pause {
            self.pause_server(server, pause);
        }
    }

    /// Records whether an answer says that its server is brittle.
    pub(crate) fn observe_brittleness(&self, server: &str, brittle: bool) {
        if !self.fleet.borrow_mut().set_brittle(server, brittle) {
            return;
        }
        let count = self.fleet.borrow().brittle_servers().count();
        self.metrics.brittle_servers.set(count as i64);
        let fields = || json!({ "server": server, "brittle": brittle });
        self.event_log.write("server_brittle", self.now(), fields);
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
