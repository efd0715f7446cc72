//! Which servers limit the rate of their requests, as instances tell each other.

use std::time::Duration;

use config::Name;
use dispatch::{MonotonicTime, RateLimit, RateNotice, Server};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::gateway::Gateway;
use crate::peers::Peers;

/// What an instance knows about the rate that a server takes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RateReport {
    pub server: Name,
    /// Requests per second; `None` if there is no limit.
    pub rate: Option<f64>,
    /// How long ago the server said so.
    age_ms: u64,
}

impl<D> Gateway<D> {
    /// Records what an answer says about the rate that its server takes.
    pub(crate) fn observe_rate(&self, server: &str, notice: RateNotice, sent_at: MonotonicTime) {
        if notice == RateNotice::Invalid {
            self.metrics.invalid_rate_limits.inc();
        }
        let now = self.now();
        if self.fleet.borrow_mut().set_rate_limit(server, notice, sent_at, now) {
            self.log_rate_limit(server);
            self.tell_server_news(server, true);
        }
    }

    /// Merges what another instance knows; returns whether it is news.
    fn merge_rate_limit(&self, report: &RateReport) -> bool {
        let as_of = self.now().saturating_sub(Duration::from_millis(report.age_ms));
        self.fleet.borrow_mut().merge_rate_limit(&report.server, report.rate, as_of)
    }

    fn log_rate_limit(&self, server: &str) {
        let fleet = self.fleet.borrow();
        self.count_servers_in_need(&fleet);
        let rate = fleet.get(server).and_then(|server| server.rate_limit.rate);
        let fields = || json!({ "server": server, "rate": rate });
        self.event_log.write("server_limited", self.now(), fields);
    }

    /// Returns the limits of all servers that have one.
    pub(crate) fn rate_reports(&self) -> Vec<RateReport> {
        let now = self.now();
        let fleet = self.fleet.borrow();
        fleet.limited_servers().map(|server| RateReport::new(server, now)).collect()
    }

    /// Merges the limit that another instance names when it asks for a permit.
    pub(crate) fn learn_rate_limit(&self, limit: &RateReport) {
        if self.merge_rate_limit(limit) {
            self.log_rate_limit(&limit.server);
            self.tell_server_news(&limit.server, true);
        }
    }

    /// Records that a server no longer limited its rate so long ago.
    pub(crate) fn end_rate_limit(&self, server: &Name, age_ms: u64) {
        let report = RateReport { server: server.clone(), rate: None, age_ms };
        if self.merge_rate_limit(&report) {
            self.log_rate_limit(server);
        }
    }
}

impl RateReport {
    pub fn new(server: &Server, now: MonotonicTime) -> Self {
        let RateLimit { rate, as_of } = server.rate_limit;
        let age_ms = now.saturating_sub(as_of.unwrap_or_default()).as_millis() as u64;
        RateReport { server: server.info.id.clone(), rate, age_ms }
    }
}

impl Peers {
    /// Merges rate limits that another instance reports. A hub passes news on; what comes
    /// from another domain, to its own only.
    pub(crate) fn apply_rate_limits<D>(
        &self,
        gateway: &Gateway<D>,
        reports: Vec<RateReport>,
        from_outside: bool,
    ) {
        for report in reports.iter().filter(|report| gateway.merge_rate_limit(report)) {
            gateway.log_rate_limit(&report.server);
            if self.is_hub(gateway.now()) {
                gateway.tell_server_news(&report.server, !from_outside);
            }
        }
    }
}
