//! What servers say of themselves in their answers: that they shut down.

use serde_json::json;

use crate::gateway::Gateway;
use crate::wire::ResponseInfo;

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
    }
}
