//! The start and the end of an entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use backend::BackendClient;
use caller::{App, Listener};
use kernel::{Kernel, Running};
use policy::Event;
use router::{Shared, SharedBuilder};
use slog::Drain;
use tokio::sync::mpsc;

use crate::bills::BillWriter;
use crate::configuration::Configuration;
use crate::directory::ListReader;
use crate::gossip::Gossip;
use crate::halts::HaltWriter;
use crate::operators::{self, Operators};
use crate::settings::Settings;
use crate::ticker::Ticker;

/// How long a service may take to stop.
const STOP_LIMIT: Duration = Duration::from_secs(5);
/// How long the balancer may take to see that the instance is not ready.
const BALANCER_GRACE: Duration = Duration::from_millis(500);
/// How often a drain looks whether requests are open.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// How long the next part of a request's body may take.
const BODY_WAIT: Duration = Duration::from_secs(15);

/// A running entry instance.
pub struct Entry {
    settings: Settings,
    shared: Shared,
    running: Arc<Running>,
    gossip: Arc<Gossip>,
    callers: Listener,
    operators: operators::Server,
    peers: SocketAddr,
}

impl Entry {
    /// Starts the instance; it is ready once it has a configuration.
    pub fn start(settings: Settings) -> Result<Entry> {
        let (halts, inbox) = mpsc::unbounded_channel();
        let identity = (settings.instance.clone(), settings.domain.clone());
        let shared = SharedBuilder::new(identity.0, identity.1, settings.platform)
            .seeds(settings.seeds.clone())
            .switches(settings.switches)
            .build(halts);
        let kernel = services(&shared, inbox)?;
        let gossip: Arc<Gossip> = kernel.find(Gossip::NAME)?;
        let peers = gossip.listen(settings.peers)?;
        let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
        let context = Arc::new(Operators::new(shared.clone(), settings.token.clone()));
        let operators = operators::start(settings.operators, context.clone(), &log)?;
        let callers = Listener::start(settings.callers, app(&shared, &settings), &log)?;
        let running = Arc::new(kernel.start());
        context.watch(running.clone());
        let entry = Entry { settings, shared, running, gossip, callers, operators, peers };
        entry.log_start();
        Ok(entry)
    }

    /// Where it listens for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Where it listens for peers.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Where it listens for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// Returns when a service has failed.
    pub async fn failed(&self) {
        self.running.failed().await;
    }

    /// Ends the instance: takes no new request, finishes those it has, writes
    /// its bills, and leaves.
    ///
    /// Returns whether everything ended within the bound of the settings.
    pub async fn drain(self) -> bool {
        let start = Instant::now();
        log::info!("draining, for at most {:?}", self.settings.drain);
        self.shared.router.step(Event::Drain);
        self.gossip.tell_all().await;
        tokio::time::sleep(BALANCER_GRACE).await;
        while self.open() > 0 && start.elapsed() < self.settings.drain {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
        let left = self.settings.drain.saturating_sub(start.elapsed()).max(BALANCER_GRACE);
        let closed = self.callers.close(left).await;
        let late = self.running.stop(STOP_LIMIT).await;
        let _ = tokio::time::timeout(STOP_LIMIT, self.operators.close()).await;
        log::info!("left after {:?}", start.elapsed());
        closed && late.is_empty()
    }

    fn open(&self) -> usize {
        self.shared.router.with_core(|core, _| core.open_requests())
    }

    fn log_start(&self) {
        log::info!(
            "instance {} in {} started: callers {}, peers {}, operators {}",
            self.shared.instance,
            self.shared.domain,
            self.callers(),
            self.peers(),
            self.operators(),
        );
    }
}

/// Registers the services in the order of their start.
fn services(
    shared: &Shared,
    halts: mpsc::UnboundedReceiver<(policy::HaltKey, policy::Verdict)>,
) -> Result<Kernel> {
    let mut kernel = Kernel::new();
    kernel.register(Arc::new(Ticker::new(shared.clone())))?;
    kernel.register(Arc::new(ListReader::new(shared.clone())))?;
    kernel.register(Arc::new(Configuration::new(shared.clone())))?;
    let configuration = kernel.find(Configuration::NAME)?;
    kernel.register(Arc::new(Gossip::new(shared.clone(), configuration)))?;
    kernel.register(Arc::new(HaltWriter::new(shared.clone(), halts)))?;
    kernel.register(Arc::new(BillWriter::new(shared.clone())))?;
    Ok(kernel)
}

fn app(shared: &Shared, settings: &Settings) -> Arc<App> {
    let on = |name: &str| !settings.without.iter().any(|off| off == name);
    Arc::new(App {
        shared: shared.clone(),
        backends: BackendClient::new(),
        body_limit: settings.body_limit,
        body_wait: BODY_WAIT,
        claims: on("claims"),
        secure: on("secure"),
    })
}
