//! What all exchanges of one process share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use config::Name;
use conn::Pool;
use dispatch::{Catalog, Fleet, Mono, Pressure, RetryBudget, ServerInfo, Sessions};
use policy::Poison;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::record::{Budgeted, record};
use crate::rollouts::TrackedRollout;

/// A request is stopped after this many servers died of it: many callers send
/// alike requests here, so that two deaths can be chance.
const DEATHS_TO_STOP: u32 = 3;
/// Crashes that are remembered, so that each counts once for a request.
const MOST_CRASHES: usize = 512;
/// How long after a broken connection a server is asked whether it lives.
const DEATH_LOOK: Duration = Duration::from_millis(30);

/// What a gateway is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The instance's name.
    pub instance: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Repeated sends allowed for each request.
    pub retry_ratio: f64,
    /// Repeated sends allowed beside, by all instances together.
    pub retry_slack: f64,
    /// The window of the two.
    pub retry_window: Duration,
    /// How long a session keeps its version after its last request.
    pub session_kept: Duration,
}

/// Builds a gateway.
#[derive(Debug)]
pub struct GatewayBuilder {
    setup: Setup,
    seed: u64,
}

impl GatewayBuilder {
    /// Starts with the instance's name and failure domain.
    pub fn new(instance: Name, domain: Name) -> Self {
        let setup = Setup {
            instance,
            domain,
            retry_ratio: 0.1,
            retry_slack: 20.0,
            retry_window: Duration::from_secs(10),
            session_kept: Duration::from_secs(5),
        };
        GatewayBuilder { setup, seed: 1 }
    }

    /// Sets the budget of repeated sends.
    pub fn retries(mut self, ratio: f64, slack: f64, window: Duration) -> Self {
        self.setup.retry_ratio = ratio;
        self.setup.retry_slack = slack;
        self.setup.retry_window = window;
        self
    }

    /// Sets how long a session keeps its version.
    pub fn sessions(mut self, kept: Duration) -> Self {
        self.setup.session_kept = kept;
        self
    }

    /// Sets the seed of the generator.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the gateway.
    pub fn build<D>(self, dialect: D) -> Rc<Gateway<D>> {
        let setup = self.setup;
        let metrics = Metrics::default();
        Rc::new(Gateway {
            dialect,
            started: Instant::now(),
            catalog: RefCell::new(None),
            fleet: RefCell::default(),
            listed: Cell::new(false),
            sessions: RefCell::new(Sessions::new(setup.session_kept)),
            budget: RefCell::new(RetryBudget::new(
                setup.retry_ratio,
                setup.retry_slack,
                setup.retry_window,
            )),
            poison: RefCell::new(Poison::new(DEATHS_TO_STOP)),
            pressures: RefCell::default(),
            crashes: RefCell::default(),
            rollouts: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(self.seed)),
            draining: Cell::new(None),
            sharers: Cell::new(1),
            lines: Budgeted::new(metrics.lines_left_out.clone()),
            metrics,
            pool: Pool::new(),
            setup,
        })
    }
}

/// When an instance leaves.
#[derive(Debug, Clone, Copy)]
pub struct Leaving {
    /// From here on a request is taken only if it ends in time.
    pub choosy_from: Mono,
    /// When what is still in flight is cut off.
    pub ends: Mono,
}

/// The state that all exchanges of one process share.
pub struct Gateway<D> {
    /// The wire format.
    pub dialect: D,
    /// What it was told at its start.
    pub setup: Setup,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its bounded log lines.
    pub lines: Budgeted,
    pub(crate) pool: Pool,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) sessions: RefCell<Sessions>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) poison: RefCell<Poison>,
    pub(crate) pressures: RefCell<HashMap<Name, Pressure>>,
    pub(crate) crashes: RefCell<VecDeque<(u64, Name)>>,
    pub(crate) rollouts: RefCell<HashMap<Name, TrackedRollout>>,
    catalog: RefCell<Option<Arc<Catalog>>>,
    listed: Cell<bool>,
    rng: RefCell<ChaCha8Rng>,
    draining: Cell<Option<Leaving>>,
    sharers: Cell<usize>,
    started: Instant,
}

impl<D: 'static> Gateway<D> {
    /// Finds out whether a server died of a request that it broke off.
    pub(crate) fn broke_off(self: &Rc<Self>, fingerprint: u64, server: &Name) {
        let addr = self.fleet.borrow().get(server).map(|server| server.info.addr);
        let Some(addr) = addr else { return };
        let (gateway, server) = (self.clone(), server.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(DEATH_LOOK).await;
            if gateway.pool.open(addr).await.is_err() {
                gateway.died(fingerprint, server);
            }
        });
    }

    fn died(&self, fingerprint: u64, server: Name) {
        let mut crashes = self.crashes.borrow_mut();
        let crash = (fingerprint, server);
        if crashes.contains(&crash) {
            return;
        }
        let deaths = self.poison.borrow_mut().record_crash(fingerprint, self.now());
        let fields =
            || json!({ "fingerprint": fingerprint, "server": &*crash.1, "deaths": deaths });
        self.lines.write("server_died", self.now(), fields);
        crashes.push_back(crash);
        if crashes.len() > MOST_CRASHES {
            crashes.pop_front();
        }
    }
}

impl<D> Gateway<D> {
    /// Monotonic time since the start.
    pub fn now(&self) -> Mono {
        self.started.elapsed()
    }

    /// The instant of a monotonic time.
    pub fn instant(&self, at: Mono) -> Instant {
        self.started + at
    }

    /// A number from 0 to 1.
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force unless it is not newer.
    pub fn configure(&self, catalog: Catalog) -> bool {
        let mut current = self.catalog.borrow_mut();
        let known = current.as_ref().map_or(0, |catalog| catalog.version);
        if catalog.version <= known && current.is_some() {
            return false;
        }
        let fields = json!({
            "version": catalog.version,
            "before": known,
            "routes": catalog.routes.len(),
            "keys": catalog.keys.len(),
        });
        record("config_in_force", self.now(), fields);
        self.metrics.config_version.set(catalog.version as i64);
        *current = Some(Arc::new(catalog));
        true
    }

    /// Takes over what the directory says of a server.
    pub fn server_listed(&self, info: ServerInfo) {
        let mut fleet = self.fleet.borrow_mut();
        if fleet.get(&info.id).is_none_or(|server| server.info != info) {
            let fields = json!({
                "server": &*info.id,
                "service": &*info.service,
                "addr": info.addr.to_string(),
                "version": &*info.version,
                "leaving": info.leaving,
            });
            self.lines.write("server_listed", self.now(), || fields);
        }
        fleet.update(info);
        self.metrics.servers.set(fleet.ids().count() as i64);
    }

    /// Whether a server's entry lapsed at a moment or before, and did not come back.
    pub fn lapsed_since(&self, id: &str, moment: Mono) -> bool {
        let fleet = self.fleet.borrow();
        fleet.get(id).and_then(|server| server.expired_at).is_some_and(|at| at <= moment)
    }

    /// Notes that a server's entry lapsed in an outage of the store.
    pub fn server_lapsed(&self, id: &str) {
        let now = self.now();
        self.fleet.borrow_mut().mark_expired(id, now);
        self.lines.write("server_lapsed", now, || json!({ "server": id }));
    }

    /// Forgets a server.
    pub fn server_gone(&self, id: &str) {
        let mut fleet = self.fleet.borrow_mut();
        if fleet.remove(id) {
            self.lines.write("server_gone", self.now(), || json!({ "server": id }));
            self.metrics.servers.set(fleet.ids().count() as i64);
        }
    }

    /// The ids of all servers known.
    pub fn server_ids(&self) -> Vec<Name> {
        self.fleet.borrow().ids().cloned().collect()
    }

    /// Notes that the directory was read once in whole.
    pub fn set_listed(&self) {
        self.listed.set(true);
    }

    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.listed.get() && self.catalog.borrow().is_some() && self.draining.get().is_none()
    }

    /// Says not ready from now on; new work is refused if it can end too late.
    pub fn drain(&self, leaving: Leaving) {
        self.draining.set(Some(leaving));
    }

    /// Whether a request that may take `longest` can't be taken any more.
    pub(crate) fn refuses(&self, longest: Duration) -> bool {
        let now = self.now();
        let Some(leaving) = self.draining.get() else { return false };
        now >= leaving.choosy_from && now + longest > leaving.ends
    }

    /// Sets how many instances share the budgets.
    pub fn set_members(&self, members: usize) {
        self.sharers.set(members.max(1));
        self.metrics.members.set(members.saturating_sub(1) as i64);
    }

    /// How many instances share the budgets.
    pub fn sharers(&self) -> usize {
        self.sharers.get()
    }

    /// How pressed the servers of a service are.
    pub(crate) fn pressure(&self, service: &Name) -> Pressure {
        self.pressures.borrow().get(service).copied().unwrap_or_default()
    }

    /// Counts the time to an answer's first byte.
    pub(crate) fn pressed(&self, service: &Name, first_byte: Duration, aim: Duration) {
        self.pressures
            .borrow_mut()
            .entry(service.clone())
            .or_default()
            .record_answer(first_byte, aim);
    }
}
