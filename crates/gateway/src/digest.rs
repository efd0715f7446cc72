//! State that instances exchange: server loads and digests.

use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use dispatch::{Counts, RolloutState, RolloutStats, RouteDetails, RouteStats, Sample, ServerLoad};
use serde::{Deserialize, Serialize};

use crate::era_support::is_same_revision;
use crate::gateway::Gateway;
use crate::rollouts::{StatsSource, TrackedRollout};

/// Maximum number of crash counts of requests in one datagram.
const MAX_POISON: usize = 32;

/// Load of an instance on its servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    instance: Name,
    /// Per server: id, requests in flight and prompt tokens not processed yet.
    pub servers: Vec<(Name, u32, u32)>,
}

/// Whose state a digest describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Scope {
    /// One instance's; sent to its hub.
    Instance,
    /// That of all instances of a failure domain; sent from hub to hub.
    Domain,
    /// What all instances need to know; sent by a hub to its domain.
    Installation,
}

/// State that concerns all instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Digest {
    pub scope: Scope,
    /// Failure domain of the sender.
    pub domain: Name,
    /// Distinguishes the sender's process from earlier ones at its address.
    pub incarnation: u64,
    rollouts: Vec<RolloutReport>,
    /// Fingerprints of requests, with the number of servers that crashed while running
    /// them.
    poison: Vec<(u64, u32)>,
    /// Sessions in the canary, with the version that they last ran on.
    pub sessions: Vec<(u64, Name)>,
}

/// What an instance knows of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RolloutReport {
    service: Name,
    to: Name,
    revision: u64,
    state: RolloutState,
    /// Whether the final state is stored.
    written: bool,
    /// Whether the start of the order is stored.
    begun: bool,
    /// Whether the sender knows what the store holds of the order.
    status_known: bool,
    age_ms: u64,
    /// Answers of both versions; `None` within [`Scope::Installation`].
    counts: Option<AnswerCounts>,
}

/// Answers of both versions of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct AnswerCounts {
    old: EncodedSample,
    new: EncodedSample,
    /// Requests in flight on the old version.
    old_in_flight: u32,
}

/// Answers of a rollout by route. Sent beside a digest with answer counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RouteReport<T> {
    scope: Scope,
    domain: Name,
    incarnation: u64,
    service: Name,
    revision: u64,
    routes: Vec<(Name, T)>,
}

/// A [`RouteStats`] without its details.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct EncodedRoute {
    old: (u32, u32),
    new: (u32, u32),
    failing_servers: u64,
}

/// A [`Sample`] with whole milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct EncodedSample {
    answers: u32,
    bad: u32,
    timed: u32,
    /// Sum of the ratios in thousandths.
    pace_sum: u64,
}

impl Digest {
    /// Creates a digest that tells of nothing but sessions.
    pub fn of_sessions(
        scope: Scope,
        domain: &Name,
        incarnation: u64,
        sessions: Vec<(u64, Name)>,
    ) -> Self {
        Digest {
            scope,
            domain: domain.clone(),
            incarnation,
            rollouts: Vec::new(),
            poison: Vec::new(),
            sessions,
        }
    }

    /// Whether two digests are equal except for the ages of orders, which always grow
    /// and so are no reason to send a digest.
    pub fn same_except_age(&self, other: &Digest) -> bool {
        let mut aged = other.clone();
        for (report, own) in aged.rollouts.iter_mut().zip(&self.rollouts) {
            report.age_ms = own.age_ms;
        }
        aged == *self
    }

    /// Whether it names revisions of the store.
    pub fn names_revisions(&self) -> bool {
        !self.rollouts.is_empty()
    }

    /// Changes the revisions that it names.
    pub fn change_revisions(&mut self, change: impl Fn(u64) -> u64) {
        for report in &mut self.rollouts {
            report.revision = change(report.revision);
        }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty() && self.poison.is_empty() && self.sessions.is_empty()
    }

    /// Whether it reports a rollout that is in progress.
    pub fn has_rollout_in_progress(&self) -> bool {
        self.rollouts.iter().any(|report| report.state == RolloutState::InProgress)
    }
}

impl RouteReport<RouteStats> {
    /// Returns the answers and their details, which instances of earlier builds don't know.
    pub fn split(&self) -> (RouteReport<EncodedRoute>, RouteReport<RouteDetails>) {
        (self.map(EncodedRoute::new), self.map(|stats| stats.details.reported()))
    }
}

impl<T> RouteReport<T> {
    fn map<U>(&self, change: impl Fn(&T) -> U) -> RouteReport<U> {
        let routes = self.routes.iter();
        RouteReport {
            scope: self.scope,
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            service: self.service.clone(),
            revision: self.revision,
            routes: routes.map(|(route, stats)| (route.clone(), change(stats))).collect(),
        }
    }

    /// Changes the revision that it names.
    pub fn change_revision(&mut self, change: impl Fn(u64) -> u64) {
        self.revision = change(self.revision);
    }
}

impl<D> Gateway<D> {
    /// Returns the state to report, without sessions.
    pub(crate) fn digest(&self, scope: Scope, incarnation: u64) -> Digest {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let mut reports: Vec<RolloutReport> = rollouts
            .values()
            .map(|tracked| {
                let order = &tracked.rollout.order;
                let mut stats = match scope {
                    Scope::Instance => Some(tracked.own_stats),
                    Scope::Domain => Some(tracked.domain_stats(now)),
                    Scope::Installation => None,
                };
                if let Some(stats) = &mut stats {
                    stats.old_in_flight += self.old_in_flight(&order.service, &order.to);
                }
                RolloutReport {
                    service: order.service.clone(),
                    to: order.to.clone(),
                    revision: order.revision,
                    state: tracked.rollout.state,
                    written: tracked.final_state_stored,
                    begun: tracked.start_stored,
                    status_known: tracked.status_known,
                    age_ms: tracked.rollout.age(now).as_millis() as u64,
                    counts: stats.as_ref().map(AnswerCounts::new),
                }
            })
            .collect();
        reports.sort_by(|a, b| a.service.cmp(&b.service));
        let mut poison: Vec<(u64, u32)> =
            self.poison.borrow().crash_counts().take(MAX_POISON).collect();
        poison.sort_unstable();
        Digest {
            scope,
            domain: self.settings.domain.clone(),
            incarnation,
            rollouts: reports,
            poison,
            sessions: Vec::new(),
        }
    }

    /// Returns the answers by route of the rollouts in progress in which a route of the new
    /// version has any.
    pub(crate) fn route_reports(
        &self,
        scope: Scope,
        incarnation: u64,
    ) -> Vec<RouteReport<RouteStats>> {
        let rollouts = self.rollouts.borrow();
        let in_progress =
            rollouts.values().filter(|tracked| tracked.rollout.state == RolloutState::InProgress);
        let reports = in_progress.map(|tracked| {
            let is_near = |source: &StatsSource| matches!(source, StatsSource::Instance(..));
            let routes = match scope {
                Scope::Instance => tracked.own_routes.clone(),
                Scope::Domain | Scope::Installation => tracked.sum_routes(is_near),
            };
            let mut routes: Vec<(Name, RouteStats)> =
                routes.into_iter().filter(|(_, stats)| stats.new.answers > 0).collect();
            routes.sort_by(|a, b| a.0.cmp(&b.0));
            RouteReport {
                scope,
                domain: self.settings.domain.clone(),
                incarnation,
                service: tracked.rollout.order.service.clone(),
                revision: tracked.rollout.order.revision,
                routes,
            }
        });
        reports.filter(|report| !report.routes.is_empty()).collect()
    }

    /// Applies the answers by route that another instance reports.
    pub(crate) fn apply_routes(&self, report: RouteReport<EncodedRoute>, from: SocketAddr) {
        self.apply_by_route(report, from, |tracked, source, routes| {
            let routes = routes.into_iter().map(|(route, stats)| (route, stats.stats())).collect();
            tracked.peer_routes.insert(source, routes);
        });
    }

    /// Applies the details of the answers by route that another instance reports. Returns whether
    /// the new version failed more of them than it last reported.
    pub(crate) fn apply_route_details(
        &self,
        report: RouteReport<RouteDetails>,
        from: SocketAddr,
    ) -> bool {
        let mut more_failures = false;
        self.apply_by_route(report, from, |tracked, source, routes| {
            let failures = |routes: &[(Name, RouteDetails)]| -> u32 {
                routes.iter().map(|(_, details)| details.servers.failures()).sum()
            };
            let reported = failures(&routes);
            let last = tracked.peer_details.insert(source, routes);
            more_failures = reported > last.map_or(0, |last| failures(&last));
        });
        more_failures
    }

    fn apply_by_route<T>(
        &self,
        report: RouteReport<T>,
        from: SocketAddr,
        apply: impl FnOnce(&mut TrackedRollout, StatsSource, Vec<(Name, T)>),
    ) {
        let source = stats_source(report.scope, report.domain, report.incarnation, from);
        if let Some(revision) = self.matching_revision(&report.service, report.revision) {
            self.update_rollout(&report.service, revision, |tracked| {
                apply(tracked, source, report.routes);
            });
        }
    }

    /// Returns this instance's loads, sorted by server so that they can be compared.
    pub(crate) fn own_loads(&self) -> Loads {
        let mut servers: Vec<(Name, u32, u32)> = self
            .fleet
            .borrow()
            .own_loads()
            .into_iter()
            .map(|(id, load)| (id, load.in_flight, load.prefill_tokens as u32))
            .collect();
        servers.sort();
        Loads { instance: self.settings.instance.clone(), servers }
    }

    /// Applies the loads that another instance reports.
    pub(crate) fn apply_loads(&self, loads: Loads) {
        let servers = loads.servers.into_iter().map(|(id, in_flight, tokens)| {
            (id, ServerLoad { in_flight, prefill_tokens: f64::from(tokens) })
        });
        let now = self.now();
        self.fleet.borrow_mut().set_peer_loads(&loads.instance, servers.collect(), now);
    }

    /// Applies a digest of another instance; ignores reports on rollouts whose revision
    /// differs from the one known here.
    pub(crate) fn apply_digest(&self, digest: Digest, from: SocketAddr) {
        let now = self.now();
        let source = stats_source(digest.scope, digest.domain, digest.incarnation, from);
        for report in digest.rollouts {
            let Some(revision) = self.matching_revision(&report.service, report.revision) else {
                continue;
            };
            self.set_rollout_state(&report.service, &report.to, report.state, report.written);
            self.set_rollout_age(&report.service, &report.to, Duration::from_millis(report.age_ms));
            self.update_rollout(&report.service, revision, |tracked| {
                tracked.start_stored |= report.begun;
                tracked.status_known |= report.status_known;
                if let Some(counts) = &report.counts {
                    tracked.peer_stats.insert(source.clone(), (counts.stats(), now));
                }
            });
        }
        let mut poison = self.poison.borrow_mut();
        for (fingerprint, deaths) in digest.poison {
            poison.merge(fingerprint, deaths, now);
        }
        let mut sessions = self.sessions.borrow_mut();
        for (session, version) in digest.sessions {
            sessions.merge(session, &version, now);
        }
    }

    /// Returns the revision of the newest order for a service if another instance means that
    /// order.
    fn matching_revision(&self, service: &str, reported: u64) -> Option<u64> {
        self.rollout_revision(service).filter(|revision| is_same_revision(*revision, reported))
    }

    /// Returns the number of this instance's requests in flight on servers of versions
    /// other than `to`.
    pub(crate) fn old_in_flight(&self, service: &str, to: &str) -> u32 {
        let fleet = self.fleet.borrow();
        let old = fleet.servers_of(service).filter(|server| *server.info.version != *to);
        old.map(|server| server.in_flight).sum()
    }
}

fn stats_source(scope: Scope, domain: Name, incarnation: u64, from: SocketAddr) -> StatsSource {
    match scope {
        Scope::Domain => StatsSource::Domain(domain),
        Scope::Instance | Scope::Installation => StatsSource::Instance(from, incarnation),
    }
}

impl AnswerCounts {
    fn new(stats: &RolloutStats) -> Self {
        AnswerCounts {
            old: EncodedSample::new(&stats.old),
            new: EncodedSample::new(&stats.new),
            old_in_flight: stats.old_in_flight,
        }
    }

    fn stats(&self) -> RolloutStats {
        RolloutStats {
            old: self.old.sample(),
            new: self.new.sample(),
            old_in_flight: self.old_in_flight,
            ..RolloutStats::default()
        }
    }
}

impl EncodedRoute {
    fn new(stats: &RouteStats) -> Self {
        let pair = |counts: Counts| (counts.answers, counts.bad);
        EncodedRoute {
            old: pair(stats.old),
            new: pair(stats.new),
            failing_servers: stats.failing_servers,
        }
    }

    fn stats(&self) -> RouteStats {
        let counts = |(answers, bad)| Counts { answers, bad };
        RouteStats {
            old: counts(self.old),
            new: counts(self.new),
            failing_servers: self.failing_servers,
            details: RouteDetails::default(),
        }
    }
}

impl EncodedSample {
    fn new(sample: &Sample) -> Self {
        let Sample { answers, bad, timed, pace_sum } = *sample;
        EncodedSample { answers, bad, timed, pace_sum: (pace_sum * 1e3) as u64 }
    }

    fn sample(&self) -> Sample {
        let EncodedSample { answers, bad, timed, pace_sum } = *self;
        Sample { answers, bad, timed, pace_sum: pace_sum as f64 / 1e3 }
    }
}
