//! What servers say of themselves in their answers, told to the other instances.
//!
//! An answer reaches one instance, and each of them hears from few servers. What concerns the
//! requests of all instances is told at once: by an instance to its hub, by a hub to its domain
//! and the other hubs. It is repeated, since datagrams can be lost, and hubs tell what lasts
//! again and again, for those that start or were cut off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{BrittleNotice, MonotonicTime, Server};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::cold::ColdReport;
use crate::gateway::Gateway;
use crate::peers::{Message, Peers};
use crate::rate_limits::RateReport;

/// Pause between two reports, so that the changes of one moment are reported together.
const REPORT_PAUSE: Duration = Duration::from_millis(50);
/// Delay after which news are told a second time.
const REPEAT_DELAY: Duration = Duration::from_millis(250);
/// Interval at which what lasts is told again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of servers in one datagram.
const MAX_REPORTED: usize = 500;

/// What an instance heard from a server, or of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum ServerReport {
    /// Whether it is brittle.
    Brittle {
        service: Name,
        server: Name,
        /// See [`BrittleNotice::max_rejections`].
        max_rejections: Option<u32>,
        /// How long ago it said so.
        age_ms: u64,
    },
    /// It shuts down.
    Leaving {
        server: Name,
        /// Start time of the incarnation that said so, in Unix milliseconds.
        started_at_ms: u64,
    },
}

/// Servers of which there are news, with whether other domains are to be told.
type Changes = HashMap<Name, bool>;

/// News of servers that were not told yet.
#[derive(Debug, Default)]
pub(crate) struct NewsDesk {
    changed: Changes,
    /// Services of which this instance heard itself since the last refresh that they are
    /// brittle.
    heard: Vec<Name>,
}

impl<D> Gateway<D> {
    /// Has what changed about a server told to other instances, those of other domains if
    /// `to_domains`.
    pub(crate) fn tell_server_news(&self, server: &str, to_domains: bool) {
        *self.news_desk.borrow_mut().changed.entry(server.into()).or_default() |= to_domains;
        self.server_news.notify_one();
    }

    /// Records that an answer said that a service is brittle.
    pub(crate) fn note_heard_brittle(&self, service: &Name) {
        let heard = &mut self.news_desk.borrow_mut().heard;
        if !heard.contains(service) {
            heard.push(service.clone());
        }
    }

    /// Merges what another instance knows of a server; returns the server if this is news.
    fn merge_server_report(&self, report: &ServerReport) -> Option<Name> {
        match report {
            ServerReport::Brittle { service, server, max_rejections, age_ms } => {
                let as_of = self.now().saturating_sub(Duration::from_millis(*age_ms));
                let notice = BrittleNotice { max_rejections: *max_rejections, as_of };
                self.record_brittleness(service, server, notice).then(|| server.clone())
            }
            ServerReport::Leaving { server, started_at_ms } => {
                self.record_leaving(server, *started_at_ms).then(|| server.clone())
            }
        }
    }

    /// Returns what is known of these servers.
    fn reports_on<'a>(&self, servers: impl Iterator<Item = &'a Name>) -> Reports {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let mut reports = Reports::default();
        for server in servers.filter_map(|server| fleet.get(server)) {
            let (service, id) = (&server.info.service, &server.info.id);
            if server.rate_limit.as_of.is_some() {
                reports.rates.push(RateReport::new(server, now));
            }
            if let Some(notice) = fleet.brittleness().notice(service, id) {
                reports.servers.push(ServerReport::brittle(service, id, notice, now));
            }
            if server.said_leaving() {
                reports.servers.push(ServerReport::leaving(server));
            }
            reports.cold.extend(ColdReport::new(server, now));
        }
        reports
    }

    /// Returns what is known of all servers that need care, for an instance that starts.
    pub(crate) fn lasting_reports(&self) -> Reports {
        let mut servers = self.newest_brittle_reports(|_| true);
        servers.extend(self.fleet.borrow().unlisted_leavers().map(ServerReport::leaving));
        Reports { rates: self.rate_reports(), servers, cold: self.cold_reports() }
    }

    /// Returns the newest notice of a brittle server of each of these services.
    fn newest_brittle_reports(&self, is_wanted: impl Fn(&Name) -> bool) -> Vec<ServerReport> {
        let now = self.now();
        let newest = self.fleet.borrow().brittleness().newest().into_iter();
        let wanted = newest.filter(|(service, ..)| is_wanted(service));
        wanted
            .map(|(service, server, notice)| ServerReport::brittle(&service, &server, notice, now))
            .collect()
    }
}

impl ServerReport {
    fn leaving(server: &Server) -> Self {
        ServerReport::Leaving {
            server: server.info.id.clone(),
            started_at_ms: server.info.started_at_ms,
        }
    }

    fn brittle(service: &Name, server: &Name, notice: BrittleNotice, now: MonotonicTime) -> Self {
        ServerReport::Brittle {
            service: service.clone(),
            server: server.clone(),
            max_rejections: notice.max_rejections,
            // Rounded up: on its way, a notice must not become newer.
            age_ms: now.saturating_sub(notice.as_of).as_millis() as u64 + 1,
        }
    }
}

/// What is told of some servers.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    rates: Vec<RateReport>,
    servers: Vec<ServerReport>,
    cold: Vec<ColdReport>,
}

impl Peers {
    /// Reports news of servers until the process ends.
    pub(crate) async fn send_server_news<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let mut repeats: Vec<(Instant, Changes)> = Vec::new();
        let mut refresh_at = Instant::now() + REFRESH_INTERVAL;
        loop {
            let next = repeats.first().map_or(refresh_at, |(at, _)| refresh_at.min(*at));
            let news = gateway.server_news.notified();
            // On a timeout, something is due.
            let _ = tokio::time::timeout_at(next, news).await;
            let changed = std::mem::take(&mut gateway.news_desk.borrow_mut().changed);
            self.send_changes(&gateway, &changed).await;
            let now = Instant::now();
            let due = repeats.partition_point(|(at, _)| *at <= now);
            for (_, changes) in repeats.drain(..due).collect::<Vec<_>>() {
                self.send_changes(&gateway, &changes).await;
            }
            if !changed.is_empty() {
                repeats.push((now + REPEAT_DELAY, changed));
            }
            if now >= refresh_at {
                refresh_at = now + REFRESH_INTERVAL;
                self.refresh_server_news(&gateway).await;
            }
            tokio::time::sleep(REPORT_PAUSE).await;
        }
    }

    async fn send_changes<D>(&self, gateway: &Gateway<D>, changes: &Changes) {
        if changes.is_empty() {
            return;
        }
        let now = gateway.now();
        let servers = |to_domains: bool| {
            let told = changes.iter().filter(move |(_, to)| **to == to_domains);
            told.map(|(server, _)| server)
        };
        let receivers = self.news_receivers(now);
        self.send_reports(&gateway.reports_on(servers(true)), &receivers).await;
        let neighbours = self.membership().neighbours(now);
        self.send_reports(&gateway.reports_on(servers(false)), &neighbours).await;
    }

    /// Tells again what lasts: a hub all that is known, another instance what it heard itself.
    async fn refresh_server_news<D>(&self, gateway: &Gateway<D>) {
        let now = gateway.now();
        gateway.expire_brittleness();
        gateway.note_warm_servers();
        let heard = std::mem::take(&mut gateway.news_desk.borrow_mut().heard);
        let reports = match self.is_hub(now) {
            true => Reports { cold: gateway.uncommon_cold_reports(), ..gateway.lasting_reports() },
            false => Reports {
                rates: Vec::new(),
                cold: Vec::new(),
                servers: gateway.newest_brittle_reports(|service| heard.contains(service)),
            },
        };
        self.send_reports(&reports, &self.news_receivers(now)).await;
    }

    pub(crate) async fn send_reports(&self, reports: &Reports, receivers: &[SocketAddr]) {
        for rates in reports.rates.chunks(MAX_REPORTED) {
            self.send(&Message::RateLimits(rates.to_vec()), receivers).await;
        }
        for servers in reports.servers.chunks(MAX_REPORTED) {
            self.send(&Message::ServerReports(servers.to_vec()), receivers).await;
        }
        for cold in reports.cold.chunks(MAX_REPORTED) {
            self.send(&Message::ColdServers(cold.to_vec()), receivers).await;
        }
    }

    /// Merges what another instance reports of servers. A hub passes news on; what comes from
    /// another domain, to its own only.
    pub(crate) fn apply_server_reports<D>(
        &self,
        gateway: &Gateway<D>,
        reports: &[ServerReport],
        from_outside: bool,
    ) {
        let is_hub = self.is_hub(gateway.now());
        for server in reports.iter().filter_map(|report| gateway.merge_server_report(report)) {
            if is_hub {
                gateway.tell_server_news(&server, !from_outside);
            }
        }
    }
}
