//! Which servers and services this instance reaches.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::MonotonicTime;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::cold::ColdReason;
use crate::gateway::Gateway;

/// Time until an unreachable server is probed first; doubles up to the maximum.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time between two probes of a server.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between the failures of two servers up to which the links of this instance are suspected.
const SUSPICION_WINDOW: Duration = Duration::from_secs(1);
/// Minimum time between two surveys.
const SURVEY_INTERVAL: Duration = Duration::from_secs(2);
/// Number of servers that a survey connects to at a time.
const SURVEY_CONNECTIONS: usize = 64;

impl<D: 'static> Gateway<D> {
    /// Records that no connection to a server can be established, and probes it until one
    /// can. Until then it gets no requests.
    pub(crate) fn mark_unreachable(self: &Rc<Self>, server: &Name) {
        let now = self.now();
        self.fleet.borrow_mut().mark_unreachable(server, now);
        let service = self.fleet.borrow().get(server).map(|server| server.info.service.clone());
        if let Some(service) = service {
            if self.probed_servers.borrow_mut().insert(server.clone()) {
                tokio::task::spawn_local(probe_until_reachable(self.clone(), server.clone()));
                self.suspect_links(now);
            }
            self.note_reachability(&service);
        }
    }

    /// Surveys the servers if several of them became unreachable: requests would find out the
    /// others one by one, and wait each time.
    fn suspect_links(self: &Rc<Self>, now: MonotonicTime) {
        let last_failure = self.link_suspicion.last_failure.replace(Some(now));
        let is_single = last_failure.is_none_or(|at| now.saturating_sub(at) > SUSPICION_WINDOW);
        let last_survey = self.link_suspicion.last_survey.get();
        if is_single || last_survey.is_some_and(|at| now.saturating_sub(at) < SURVEY_INTERVAL) {
            return;
        }
        self.link_suspicion.last_survey.set(Some(now));
        tokio::task::spawn_local(survey(self.clone()));
    }
}

/// When this instance had reason to suspect its links to the servers.
#[derive(Debug, Default)]
pub(crate) struct LinkSuspicion {
    /// When a server last became unreachable.
    last_failure: Cell<Option<MonotonicTime>>,
    /// When the last survey began.
    last_survey: Cell<Option<MonotonicTime>>,
}

/// Connects to all servers without a recent answer, and marks those that can't be reached.
async fn survey<D: 'static>(gateway: Rc<Gateway<D>>) {
    let servers = gateway.fleet.borrow().unproven_servers(gateway.now());
    for servers in servers.chunks(SURVEY_CONNECTIONS) {
        let mut probes = JoinSet::new();
        for (server, addr) in servers.iter().cloned() {
            let pool = gateway.pool.clone();
            probes.spawn_local(async move { (server, pool.probe(addr).await.is_ok()) });
        }
        while let Some(probe) = probes.join_next().await {
            if let Ok((server, false)) = probe {
                gateway.mark_unreachable(&server);
            }
        }
    }
}

async fn probe_until_reachable<D: 'static>(gateway: Rc<Gateway<D>>, server: Name) {
    let mut interval = MIN_PROBE_INTERVAL;
    loop {
        let jitter = 0.75 + gateway.random() / 2.0;
        tokio::select! {
            () = tokio::time::sleep(interval.mul_f64(jitter)) => {
                interval = (interval * 2).min(MAX_PROBE_INTERVAL);
            }
            () = gateway.server_regained.notified() => {}
        }
        let unreachable = {
            let fleet = gateway.fleet.borrow();
            let server = fleet.get(&server).filter(|server| server.unreachable_since.is_some());
            server.map(|server| (server.info.addr, server.info.service.clone()))
        };
        // The server is gone, or answered a request.
        let Some((addr, service)) = unreachable else { break };
        if gateway.pool.probe(addr).await.is_ok() {
            let is_cold_news = gateway.fleet.borrow_mut().mark_reachable(&server, gateway.now());
            if is_cold_news {
                gateway.record_cold(&server, ColdReason::Reachable);
            }
            gateway.note_reachability(&service);
            gateway.server_regained.notify_waiters();
            break;
        }
    }
    gateway.probed_servers.borrow_mut().remove(&server);
}

impl<D> Gateway<D> {
    /// Logs when a service can no longer be reached at any of its servers, or at less than half
    /// of them, and when it can again.
    pub(crate) fn note_reachability(&self, service: &str) {
        let impaired = [&self.lost_services, &self.narrow_services];
        let is_impaired = impaired.iter().any(|services| services.borrow().contains_key(service));
        if self.probed_servers.borrow().is_empty() && !is_impaired {
            return;
        }
        let reach = self.fleet.borrow().reach(service);
        let fields = |ms: Option<u64>| {
            json!({
                "service": service,
                "reached": reach.reached,
                "listed": reach.listed,
                "lost_ms": ms,
            })
        };
        let names = ("servers_lost", "servers_regained");
        self.note_impairment(&self.lost_services, service, reach.is_lost(), names, fields);
        let names = ("servers_narrowed", "servers_widened");
        self.note_impairment(&self.narrow_services, service, reach.is_narrow(), names, fields);
        self.metrics.lost_services.set(self.lost_services.borrow().len() as i64);
        self.metrics.narrow_services.set(self.narrow_services.borrow().len() as i64);
    }

    /// Logs when a state of a service begins or ends; `names` are those of the two events.
    fn note_impairment(
        &self,
        services: &RefCell<HashMap<Name, MonotonicTime>>,
        service: &str,
        is_impaired: bool,
        names: (&'static str, &'static str),
        fields: impl Fn(Option<u64>) -> Value,
    ) {
        let now = self.now();
        let mut services = services.borrow_mut();
        match (is_impaired, services.get(service).copied()) {
            (true, None) => {
                services.insert(service.into(), now);
                self.event_log.write(names.0, now, || fields(None));
            }
            (false, Some(since)) => {
                services.remove(service);
                let ms = now.saturating_sub(since).as_millis() as u64;
                self.event_log.write(names.1, now, || fields(Some(ms)));
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}
