//! The startup and shutdown of an entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use backend::BackendClient;
use caller::{App, Listener};
use kernel::{Kernel, RunningServices};
use policy::Event;
use router::{Shared, SharedBuilder};
use slog::Drain;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::bills::BillWriter;
use crate::configuration::Configuration;
use crate::directory::ListReader;
use crate::gossip::Gossip;
use crate::halts::HaltWriter;
use crate::operators::{self, OperatorContext};
use crate::settings::Settings;
use crate::ticker::Ticker;

/// The timeout for stopping a service.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the load balancer may take to notice that the instance is not ready.
const LOAD_BALANCER_GRACE: Duration = Duration::from_millis(500);
/// How often a drain checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout for the next chunk of a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A running entry instance.
pub struct Entry {
    settings: Settings,
    shared: Shared,
    services: Arc<RunningServices>,
    gossip: Arc<Gossip>,
    callers: Listener,
    operators: operators::Server,
    peers: SocketAddr,
    /// Aborts the callers' open requests.
    cutoff: CancellationToken,
}

impl Entry {
    /// Starts the instance. It becomes ready once it has a configuration.
    pub fn start(settings: Settings) -> Result<Entry> {
        let (halts, inbox) = mpsc::unbounded_channel();
        let (instance, domain) = (settings.instance.clone(), settings.domain.clone());
        let shared = SharedBuilder::new(instance, domain, settings.platform)
            .seeds(settings.seeds.clone())
            .switches(settings.switches)
            .build(halts);
        let kernel = register_services(&shared, inbox)?;
        let gossip: Arc<Gossip> = kernel.find(Gossip::NAME)?;
        let peers = gossip.listen(settings.peers)?;
        let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
        let context = Arc::new(OperatorContext::new(shared.clone(), settings.token.clone()));
        let operators = operators::start(settings.operators, context.clone(), &log)?;
        let cutoff = CancellationToken::new();
        let app = caller_app(&shared, &settings, cutoff.clone());
        let callers = Listener::start(settings.callers, app, &log)?;
        let services = Arc::new(kernel.start());
        context.set_services(services.clone());
        let entry = Entry { settings, shared, services, gossip, callers, operators, peers, cutoff };
        entry.log_start();
        Ok(entry)
    }

    /// The address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// The address of the listener for peers.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// The address of the listener for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// Waits until a service fails.
    pub async fn failed(&self) {
        self.services.failed().await;
    }

    /// Shuts the instance down: refuses new requests, completes open ones, and
    /// writes pending bills.
    ///
    /// Returns whether all of this completed within the timeouts.
    pub async fn drain(self) -> bool {
        let start = Instant::now();
        log::info!("draining, for at most {:?}", self.settings.drain);
        self.shared.router.step(Event::Drain);
        self.gossip.exchange_with_all().await;
        tokio::time::sleep(LOAD_BALANCER_GRACE).await;
        while self.open_requests() > 0 && start.elapsed() < self.settings.drain {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // What is still open gets an answer.
        self.cutoff.cancel();
        let remaining =
            self.settings.drain.saturating_sub(start.elapsed()).max(LOAD_BALANCER_GRACE);
        let closed = self.callers.close(remaining).await;
        let timed_out = self.services.stop(STOP_TIMEOUT).await;
        let _ = tokio::time::timeout(STOP_TIMEOUT, self.operators.close()).await;
        log::info!("shut down after {:?}", start.elapsed());
        closed && timed_out.is_empty()
    }

    fn open_requests(&self) -> usize {
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

/// Registers the services in their startup order.
fn register_services(
    shared: &Shared,
    halts: mpsc::UnboundedReceiver<(policy::HaltKey, policy::HaltReason)>,
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

/// Creates the context of the listener for callers.
fn caller_app(shared: &Shared, settings: &Settings, cutoff: CancellationToken) -> Arc<App> {
    let enabled = |name: &str| !settings.disabled.iter().any(|disabled| disabled == name);
    Arc::new(App {
        shared: shared.clone(),
        backends: BackendClient::new(),
        max_body_bytes: settings.body_limit,
        body_read_timeout: BODY_READ_TIMEOUT,
        claims_enabled: enabled("claims"),
        durable_bills: enabled("secure"),
        cutoff,
    })
}
