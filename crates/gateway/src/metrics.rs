//! Metrics of the forwarding path.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::deferral::YieldLabels;

/// Upper bounds of the latency histogram buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

/// The label set of counters that are broken down by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Reason {
    /// The reason, one of a fixed set of strings.
    pub reason: &'static str,
}

/// The label set of metrics that are broken down by table of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TableLabel {
    /// The table.
    pub table: &'static str,
}

/// The metrics of the forwarding path and their registry.
///
/// Some fields have other names than the metrics that they are exported as; `register` sets
/// those.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<Reason, Counter>,
    /// Sends to servers by outcome.
    pub sends: Family<Reason, Counter>,
    /// Retries by cause, and refused retries as `no_budget`.
    pub retries: Family<Reason, Counter>,
    /// Answers for which no larger model was asked, by reason.
    pub kept_answers: Family<Reason, Counter>,
    /// Time from the arrival of a request to the response headers.
    pub first_byte: Histogram,
    /// Time from the arrival of a request to the end of the response.
    pub whole_answer: Histogram,
    /// Version of the active configuration.
    pub config_version: Gauge,
    /// Known servers.
    pub servers: Gauge,
    /// Open requests.
    pub open_requests: Gauge,
    /// 1 while the instance shuts down and refuses requests that could end too late.
    pub draining: Gauge,
    /// Other known instances.
    pub members: Gauge,
    /// Failure domains that operators evacuate.
    pub evacuated_domains: Gauge,
    /// Requests rejected because no server may serve them, by reason.
    pub unplaced: Family<Reason, Counter>,
    /// Reads and change feeds of the store by outcome.
    pub store_calls: Family<Reason, Counter>,
    /// Table updates received from the readers of the failure domain, by their effect.
    pub table_updates: Family<Reason, Counter>,
    /// Time since a table was last confirmed to hold what the store holds.
    pub table_age: Family<TableLabel, Gauge<f64, AtomicU64>>,
    /// Bytes of bodies and events that are held for others.
    pub buffered_bytes: Gauge,
    /// Parts of prompts that are kept from the servers because they crash them.
    pub blocked_parts: Gauge,
    /// Services of which no server can be reached.
    pub lost_services: Gauge,
    /// Services of which less than half of the servers are reached.
    pub narrow_services: Gauge,
    /// Requests handed to other instances, by how they answered.
    pub handed_over: Family<Reason, Counter>,
    /// Requests that other instances handed over, by outcome.
    pub taken_over: Family<Reason, Counter>,
    /// Servers that limit the rate of their requests.
    pub limited_servers: Gauge,
    /// Servers that say that they are brittle.
    pub brittle_servers: Gauge,
    /// Servers that accept few requests since they have only just started.
    pub cold_servers: Gauge,
    /// Permits asked for by answer.
    pub permits: Family<Reason, Counter>,
    /// Requests that brittle servers rejected, by whether a permit had been issued for them.
    pub brittle_rejections: Family<Reason, Counter>,
    /// Rate limits in answers of servers that could not be read.
    pub invalid_rate_limits: Counter,
    /// Era of the store, if it has changed.
    pub store_era: Gauge,
    /// Pauses that servers asked for.
    pub pauses: Counter,
    /// Answers in which what the server says of itself can't be read.
    pub invalid_notices: Counter,
    /// Sessions told to other instances, counted for each of them.
    pub sessions_told: Counter,
    /// Sessions that were not told because there were too many.
    pub sessions_dropped: Counter,
    /// Requests that yielded to more urgent ones, by how their wait ended and priority.
    pub yielded: Family<YieldLabels, Counter>,
    /// Requests that wait before their first send.
    pub waiting_requests: Gauge,
    /// Log lines dropped by the rate limit.
    pub dropped_lines: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("lacewingchute"),
            requests: Family::default(),
            sends: Family::default(),
            retries: Family::default(),
            kept_answers: Family::default(),
            first_byte: Histogram::new(LATENCY_BUCKETS),
            whole_answer: Histogram::new(LATENCY_BUCKETS),
            config_version: Gauge::default(),
            servers: Gauge::default(),
            open_requests: Gauge::default(),
            draining: Gauge::default(),
            members: Gauge::default(),
            evacuated_domains: Gauge::default(),
            unplaced: Family::default(),
            store_calls: Family::default(),
            table_updates: Family::default(),
            table_age: Family::default(),
            buffered_bytes: Gauge::default(),
            blocked_parts: Gauge::default(),
            lost_services: Gauge::default(),
            narrow_services: Gauge::default(),
            handed_over: Family::default(),
            taken_over: Family::default(),
            limited_servers: Gauge::default(),
            brittle_servers: Gauge::default(),
            cold_servers: Gauge::default(),
            permits: Family::default(),
            brittle_rejections: Family::default(),
            invalid_rate_limits: Counter::default(),
            store_era: Gauge::default(),
            pauses: Counter::default(),
            invalid_notices: Counter::default(),
            sessions_told: Counter::default(),
            sessions_dropped: Counter::default(),
            yielded: Family::default(),
            waiting_requests: Gauge::default(),
            dropped_lines: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("sends", "Sends to servers by how they ended", self.sends.clone());
        registry.register("repeats", "Sends after the first, by cause", self.retries.clone());
        registry.register(
            "kept_answers",
            "Answers for which no larger model was asked, by reason",
            self.kept_answers.clone(),
        );
        registry.register_with_unit(
            "first_byte",
            "Time from arrival to the head of the answer",
            Unit::Seconds,
            self.first_byte.clone(),
        );
        registry.register_with_unit(
            "whole_answer",
            "Time from arrival to the end of the answer",
            Unit::Seconds,
            self.whole_answer.clone(),
        );
        let version = self.config_version.clone();
        registry.register("config_version", "Version of the configuration", version);
        registry.register("servers", "Servers known", self.servers.clone());
        registry.register("open_requests", "Requests in flight", self.open_requests.clone());
        let draining = self.draining.clone();
        registry.register("draining", "1 while the instance leaves", draining);
        registry.register("members", "Other instances known", self.members.clone());
        let evacuated = self.evacuated_domains.clone();
        registry.register("evacuated_domains", "Failure domains evacuated", evacuated);
        let unplaced = self.unplaced.clone();
        registry.register("unplaced", "Requests that no server may serve, by reason", unplaced);
        let calls = self.store_calls.clone();
        registry.register("store_calls", "Reads and feeds of the store by how they ended", calls);
        let updates = self.table_updates.clone();
        registry.register("words", "What the domain's readers told, by its worth here", updates);
        registry.register_with_unit(
            "table_age",
            "Time since the store last confirmed a table, here or at an instance that reported it",
            Unit::Seconds,
            self.table_age.clone(),
        );
        let buffered = self.buffered_bytes.clone();
        registry.register("buffered_bytes", "Bytes held for callers and servers", buffered);
        let blocked = self.blocked_parts.clone();
        registry.register("blocked_parts", "Parts of prompts that crash servers", blocked);
        let lost = self.lost_services.clone();
        registry.register("lost_services", "Services of which no server is reached", lost);
        let narrow = self.narrow_services.clone();
        let help = "Services of which less than half of the servers are reached";
        registry.register("narrow_services", help, narrow);
        let handed = self.handed_over.clone();
        registry.register("handed_over", "Requests handed to other instances, by answer", handed);
        let taken = self.taken_over.clone();
        registry.register("taken_over", "Requests taken for other instances, by end", taken);
        let limited = self.limited_servers.clone();
        registry.register("limited_servers", "Servers that limit their rate", limited);
        let brittle = self.brittle_servers.clone();
        registry.register("brittle_servers", "Servers that say that they are brittle", brittle);
        let cold = self.cold_servers.clone();
        registry.register("cold_servers", "Servers that accept few requests after a start", cold);
        let permits = self.permits.clone();
        registry.register("permits", "Permits asked for, by answer", permits);
        let rejections = self.brittle_rejections.clone();
        let help = "Requests that brittle servers rejected, with or without a permit";
        registry.register("brittle_rejections", help, rejections);
        let invalid = self.invalid_rate_limits.clone();
        registry.register("invalid_rate_limits", "Rate limits that are no number", invalid);
        let era = self.store_era.clone();
        registry.register("store_era", "Era of the store once it has changed", era);
        let pauses = self.pauses.clone();
        registry.register("server_pauses", "Pauses that servers asked for", pauses);
        let notices = self.invalid_notices.clone();
        registry.register("invalid_notices", "Notices of servers that can't be read", notices);
        let told = self.sessions_told.clone();
        registry.register("sessions_told", "Sessions told to other instances", told);
        let dropped = self.sessions_dropped.clone();
        registry.register("sessions_dropped", "Sessions not told as there were too many", dropped);
        let yielded = self.yielded.clone();
        let help = "Requests that yielded to more urgent ones, by decision and priority";
        registry.register("yielded", help, yielded);
        let waiting = self.waiting_requests.clone();
        registry.register("waiting_requests", "Requests that wait for their first send", waiting);
        let dropped = self.dropped_lines.clone();
        registry.register("lines_left_out", "Log lines left out to bound their number", dropped);
    }

    /// Increments the counter for `reason`.
    pub fn count(family: &Family<Reason, Counter>, reason: &'static str) {
        family.get_or_create(&Reason { reason }).inc();
    }

    /// The outcomes of requests of callers, or of those that other instances handed over.
    pub fn requests_by_origin(&self, is_handover: bool) -> &Family<Reason, Counter> {
        if is_handover { &self.taken_over } else { &self.requests }
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("failed to encode metrics: {error}");
        }
        text
    }
}
