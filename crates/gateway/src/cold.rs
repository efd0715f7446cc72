//! Which servers are cold, as instances find out and tell each other.

use std::time::Duration;

use config::Name;
use dispatch::{Catalog, ColdNotice, MonotonicTime, Server};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::permits::PermitRequest;

/// A cold server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ColdReport {
    pub server: Name,
    /// Start time of the incarnation, in Unix milliseconds.
    started_at_ms: u64,
    /// How long it remains cold.
    remaining_ms: u64,
}

impl ColdReport {
    /// Returns what is known of a server if it is cold.
    pub fn new(server: &Server, now: MonotonicTime) -> Option<Self> {
        let ColdNotice { started_at_ms, remaining } = server.cold_notice(now)?;
        // Rounded up: the receiver must not take the server for warm earlier.
        let remaining_ms = remaining.as_millis() as u64 + 1;
        Some(ColdReport { server: server.info.id.clone(), started_at_ms, remaining_ms })
    }

    fn notice(&self) -> ColdNotice {
        let remaining = Duration::from_millis(self.remaining_ms);
        ColdNotice { started_at_ms: self.started_at_ms, remaining }
    }
}

/// A request for a permit for a server that the sender knows to be cold.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ColdRequest {
    pub request: PermitRequest,
    pub cold: ColdReport,
    /// Whether the sender, in another failure domain, only knows that it could not reach the
    /// server for a time.
    pub presumed: bool,
}

/// How an instance learned that a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ColdReason {
    /// Its entry says so or shows a new incarnation.
    Entry,
    /// It was unreachable for this instance and is reachable again.
    Reachable,
    /// An evacuation of its failure domain ended.
    Evacuation,
    /// Another instance reported it.
    Report,
}

impl ColdReason {
    fn name(self) -> &'static str {
        match self {
            ColdReason::Entry => "entry",
            ColdReason::Reachable => "reachable",
            ColdReason::Evacuation => "evacuation",
            ColdReason::Report => "report",
        }
    }
}

impl<D> Gateway<D> {
    /// Sets which services have cold servers.
    pub(crate) fn set_cold_starts(&self, catalog: &Catalog) {
        let services = catalog.services.iter();
        let starts = services
            .filter_map(|(name, service)| Some((name.clone(), service.cold_start?)))
            .collect();
        self.fleet.borrow_mut().set_cold_starts(starts, self.now());
    }

    /// Whether a server is cold.
    pub(crate) fn is_cold(&self, server: &str) -> bool {
        self.fleet.borrow().get(server).is_some_and(|server| server.is_cold(self.now()))
    }

    /// Whether a server is in the failure domain of this instance.
    pub(crate) fn is_local(&self, server: &str) -> bool {
        let fleet = self.fleet.borrow();
        fleet.get(server).is_some_and(|server| server.info.domain == self.settings.domain)
    }

    /// Whether this instance, in the failure domain of a server, knows the incarnation of a report
    /// and has no reason to take it for cold or unreachable.
    pub(crate) fn knows_warm(&self, report: &ColdReport) -> bool {
        let now = self.now();
        let fleet = self.fleet.borrow();
        fleet.get(&report.server).is_some_and(|server| {
            server.info.started_at_ms == report.started_at_ms
                && server.info.domain == self.settings.domain
                && server.unreachable_since.is_none()
                && !server.needs_permit(now)
        })
    }

    /// Makes the servers of a failure domain cold, as it receives requests again. Every instance
    /// learns itself that an evacuation ended.
    pub fn domain_became_cold(&self, domain: &Name) {
        let servers = self.fleet.borrow_mut().make_domain_cold(domain, self.now());
        servers.iter().for_each(|server| self.record_cold(server, ColdReason::Evacuation));
    }

    /// Logs that a server has become cold or remains so for longer, and has it told to other
    /// instances. What all of them learn from the store, only hubs tell. That a server could not be
    /// reached, only instances of its failure domain tell: for the others, the link between the
    /// domains may have been lost, so that all servers of a domain would count as cold everywhere
    /// after a partition.
    pub(crate) fn record_cold(&self, server: &Name, reason: ColdReason) {
        self.log_cold(server, reason);
        let now = self.now();
        let is_hub = self.peers().is_some_and(|peers| peers.is_hub(now));
        let is_told = match reason {
            ColdReason::Reachable => self.is_local(server),
            _ => is_hub,
        };
        if is_told {
            self.tell_server_news(server, true);
        }
    }

    fn log_cold(&self, server: &Name, reason: ColdReason) {
        let now = self.now();
        let is_common = matches!(reason, ColdReason::Entry | ColdReason::Evacuation);
        let is_notable = self.fleet.borrow_mut().note_cold_cause(server, is_common, now);
        let fleet = self.fleet.borrow();
        self.metrics.cold_servers.set(fleet.cold_count() as i64);
        if !is_notable {
            return;
        }
        let notice = fleet.get(server).and_then(|server| server.cold_notice(now));
        let remaining_ms = notice.map(|notice| notice.remaining.as_millis() as u64);
        let fields =
            || json!({ "server": &**server, "remaining_ms": remaining_ms, "why": reason.name() });
        self.event_log.write("server_cold", now, fields);
    }

    /// Logs which servers have become warm.
    pub(crate) fn note_warm_servers(&self) {
        let now = self.now();
        let warm = self.fleet.borrow_mut().take_warm(now);
        if warm.is_empty() {
            return;
        }
        let fleet = self.fleet.borrow();
        self.metrics.cold_servers.set(fleet.cold_count() as i64);
        for server in warm.iter().filter_map(|server| fleet.get(server)) {
            let cold_ms = now.saturating_sub(server.cold_since()).as_millis() as u64;
            let fields = || json!({ "server": &*server.info.id, "cold_ms": cold_ms });
            self.event_log.write("server_warm", now, fields);
        }
    }

    /// Returns the servers that are cold.
    pub(crate) fn cold_reports(&self) -> Vec<ColdReport> {
        let now = self.now();
        let fleet = self.fleet.borrow();
        fleet.cold_servers(now).filter_map(|server| ColdReport::new(server, now)).collect()
    }

    /// Returns the cold servers of which other instances may not know.
    pub(crate) fn uncommon_cold_reports(&self) -> Vec<ColdReport> {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let servers = fleet.uncommon_cold_servers(now);
        servers.filter_map(|server| ColdReport::new(server, now)).collect()
    }

    /// Merges what an instance knows that asks for a permit.
    pub(crate) fn learn_cold_server(&self, report: &ColdReport) {
        let (notice, now) = (report.notice(), self.now());
        if self.fleet.borrow_mut().merge_cold_request(&report.server, notice, now) {
            self.record_cold(&report.server, ColdReason::Report);
        }
    }
}

impl Peers {
    /// Merges which servers are cold as another instance reports. A hub passes news on; what comes
    /// from another domain, to its own only.
    pub(crate) fn apply_cold_servers<D>(
        &self,
        gateway: &Gateway<D>,
        reports: &[ColdReport],
        from_outside: bool,
    ) {
        let now = gateway.now();
        for ColdReport { server, .. } in reports.iter().filter(|report| {
            gateway.fleet.borrow_mut().merge_cold(&report.server, report.notice(), now)
        }) {
            gateway.log_cold(server, ColdReason::Report);
            if self.is_hub(now) {
                gateway.tell_server_news(server, !from_outside);
            }
        }
    }
}
