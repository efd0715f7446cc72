//! What all exchanges of one process share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use config::Name;
use conn::Pool;
use dispatch::{
    Catalog, Fleet, Mono, Order, Pressure, RetryBudget, Rollout, RolloutState, ServerInfo,
    Sessions, Side, Tally,
};
use policy::Poison;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::Instant;

use crate::metrics::Metrics;
use crate::record::{Budgeted, record};

/// How long what a peer says of a roll-out counts.
const PEER_KEPT: Duration = Duration::from_secs(3);

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
        Rc::new(Gateway {
            dialect,
            started: Instant::now(),
            catalog: RefCell::new(None),
            fleet: RefCell::default(),
            listed: Cell::new(false),
            listings: RefCell::default(),
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
            lines: Budgeted::default(),
            metrics: Metrics::default(),
            pool: Pool::new(),
            setup,
        })
    }
}

/// A roll-out with what is known of it.
#[derive(Debug)]
pub(crate) struct Watched {
    pub rollout: Rollout,
    pub own: Tally,
    pub peers: HashMap<Name, (Tally, Mono)>,
    pub written: bool,
    pub begun: bool,
    pub due: Option<Mono>,
}

impl Watched {
    /// What all instances have seen.
    pub fn seen(&self, now: Mono) -> Tally {
        let mut sum = self.own;
        for (tally, at) in self.peers.values() {
            let mut tally = *tally;
            if now.saturating_sub(*at) > PEER_KEPT {
                tally.old_open = 0;
            }
            sum.add(&tally);
        }
        sum
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
    pub(crate) rollouts: RefCell<HashMap<Name, Watched>>,
    catalog: RefCell<Option<Arc<Catalog>>>,
    listed: Cell<bool>,
    listings: RefCell<HashMap<Name, Mono>>,
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
        let deaths = self.poison.borrow_mut().died(fingerprint, self.now());
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
        self.listings.borrow_mut().insert(info.id.clone(), self.now());
        let mut fleet = self.fleet.borrow_mut();
        let known = fleet.get(&info.id).is_some_and(|server| server.info == info);
        if known {
            fleet.listed(&info.id);
        } else {
            let fields = json!({
                "server": &*info.id,
                "service": &*info.service,
                "addr": info.addr.to_string(),
                "version": &*info.version,
                "leaving": info.leaving,
            });
            self.lines.write("server_listed", self.now(), || fields);
            fleet.update(info);
            self.metrics.servers.set(fleet.ids().count() as i64);
        }
    }

    /// Whether a server's entry was read since a moment.
    pub fn listed_since(&self, id: &str, since: Mono) -> bool {
        self.listings.borrow().get(id).is_some_and(|at| *at >= since)
    }

    /// Notes that a server's entry lapsed in an outage of the store.
    pub fn server_lapsed(&self, id: &str) {
        let now = self.now();
        self.fleet.borrow_mut().lapsed(id, now);
        self.lines.write("server_lapsed", now, || json!({ "server": id }));
    }

    /// Forgets a server.
    pub fn server_gone(&self, id: &str) {
        let mut fleet = self.fleet.borrow_mut();
        self.listings.borrow_mut().remove(id);
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

    /// Takes an order for a roll-out.
    pub fn ordered(&self, order: Order) {
        let mut rollouts = self.rollouts.borrow_mut();
        let known = rollouts.get(&order.service).map(|watched| watched.rollout.order.revision);
        if known.is_some_and(|revision| revision >= order.revision) {
            return;
        }
        let fields = json!({
            "service": &*order.service,
            "to": &*order.to,
            "duration_ms": order.duration.as_millis() as u64,
            "revision": order.revision,
        });
        record("rollout_ordered", self.now(), fields);
        let service = order.service.clone();
        self.sessions.borrow_mut().watch(true, self.now());
        let watched = Watched {
            rollout: Rollout::new(order),
            own: Tally::default(),
            peers: HashMap::new(),
            written: false,
            begun: false,
            due: None,
        };
        rollouts.insert(service, watched);
    }

    /// The revision of the newest order for a service.
    pub(crate) fn rollout_revision(&self, service: &str) -> Option<u64> {
        self.rollouts.borrow().get(service).map(|watched| watched.rollout.order.revision)
    }

    /// Takes the state that an order is known to have; `written` if it lasts.
    pub fn settled(&self, service: &str, to: &str, state: RolloutState, written: bool) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(watched) = rollouts.get_mut(service) else { return };
        if state == RolloutState::InProgress {
            watched.begun |= written;
            return;
        }
        watched.written |= written && watched.rollout.state == state;
        let rollout = &mut watched.rollout;
        let open = rollout.state == RolloutState::InProgress;
        if *rollout.order.to == *to && open {
            rollout.state = state;
            watched.written = written;
            self.sessions.borrow_mut().watch(false, self.now());
            let fields = json!({ "service": service, "to": to, "state": format!("{state:?}") });
            record("rollout_settled", self.now(), fields);
        }
    }

    /// Takes the age of an order, by which all instances go; one that starts
    /// late learns it from a peer or from the store.
    pub fn rollout_age(&self, service: &str, to: &str, age: Duration) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(watched) = rollouts.get_mut(service) else { return };
        let order = &mut watched.rollout.order;
        let began = self.now().checked_sub(age).unwrap_or_default();
        let before_start = age.saturating_sub(self.now());
        if *order.to == *to && (began < order.began || before_start > order.before_start) {
            order.began = began;
            order.before_start = before_start;
        }
    }

    /// The version that a request goes to while one is brought in.
    pub(crate) fn side(&self, service: &Name, session: Option<u64>) -> Option<(Side, Name)> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let watched = rollouts.get(service)?;
        let sessions = self.sessions.borrow();
        let kept = session.and_then(|session| sessions.version(session, now));
        let place = session.map_or_else(|| self.draw(), policy::hash_unit);
        let side = watched.rollout.side(place, kept, now);
        Some((side, watched.rollout.order.to.clone()))
    }

    /// How pressed the servers of a service are.
    pub(crate) fn pressure(&self, service: &Name) -> Pressure {
        self.pressures.borrow().get(service).copied().unwrap_or_default()
    }

    /// Counts the time to an answer's first byte.
    pub(crate) fn pressed(&self, service: &Name, first_byte: Duration, aim: Duration) {
        self.pressures.borrow_mut().entry(service.clone()).or_default().answered(first_byte, aim);
    }

    /// Counts an answer for the roll-out of its service.
    pub(crate) fn seen(
        &self,
        service: &Name,
        version: &Name,
        bad: bool,
        first_byte: Option<Duration>,
    ) {
        if let Some(watched) = self.rollouts.borrow_mut().get_mut(service) {
            let side = if *version == watched.rollout.order.to { Side::New } else { Side::Old };
            watched.own.answered(side, bad, first_byte);
        }
    }
}
