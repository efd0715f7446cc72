//! A local deployment: the platform, engines and services of three domains.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use policy::ServerState;
use store::{Instance, Role};
use tokio_util::sync::CancellationToken;

use crate::engine::{Engine, EngineSettings};
use crate::journal::Journal;
use crate::platform_fake::PlatformFake;
use crate::relay::Relay;
use crate::service::BookingService;

/// The failure domains of the deployment.
pub const DOMAINS: [&str; 3] = ["south-1", "south-2", "south-3"];

/// A model version of the deployment and the quality of its answers.
#[derive(Debug, Clone, Copy)]
pub struct FakeVersion {
    /// The version's name.
    pub name: &'static str,
    /// The quality of its answers.
    pub quality: f64,
}

/// The versions that the deployment's engines have.
pub const VERSIONS: [FakeVersion; 3] = [
    FakeVersion { name: "small-1", quality: 0.8 },
    FakeVersion { name: "small-2", quality: 0.82 },
    FakeVersion { name: "large-1", quality: 0.95 },
];

/// The running stand-ins.
pub struct Deployment {
    /// The platform.
    pub platform: PlatformFake,
    /// The engines by name: `VERSION.DOMAIN`.
    pub engines: Vec<(String, Engine)>,
    /// The booking services by name: `booking.DOMAIN`.
    pub services: Vec<(String, BookingService)>,
    /// The relays in front of engines and services, by their names.
    pub relays: Vec<(String, Relay)>,
    /// What reached engines and services.
    pub journal: Journal,
}

impl Deployment {
    /// Starts one engine for each version and one booking service in each domain.
    pub async fn start(token: Duration, stop: CancellationToken) -> Result<Self> {
        let platform = PlatformFake::start(stop.clone()).await?;
        let journal = Journal::default();
        let mut deployment = Deployment {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            relays: Vec::new(),
            journal,
        };
        for domain in DOMAINS {
            for version in VERSIONS {
                deployment.add_engine(version, domain, token, stop.clone()).await?;
            }
            deployment.add_service(domain, stop.clone()).await?;
        }
        Ok(deployment)
    }

    async fn add_engine(
        &mut self,
        version: FakeVersion,
        domain: &str,
        token: Duration,
        stop: CancellationToken,
    ) -> Result<()> {
        let id = format!("{}.{domain}", version.name);
        let settings = EngineSettings { token, ..EngineSettings::quick(&id, version.quality) };
        let slots = settings.slots;
        let engine = Engine::start(settings, self.journal.clone(), stop.clone()).await?;
        let relay = Relay::start(engine.addr(), stop).await?;
        let mut entry = listed(&id, relay.addr(), domain, Role::Engine);
        self.relays.push((id.clone(), relay));
        entry.serves = vec![version.name.into()];
        entry.slots = slots;
        self.platform.change_list(|list| list.push(entry));
        self.engines.push((id, engine));
        Ok(())
    }

    async fn add_service(&mut self, domain: &str, stop: CancellationToken) -> Result<()> {
        let id = format!("booking.{domain}");
        let service = BookingService::start(&id, self.journal.clone(), stop.clone()).await?;
        let relay = Relay::start(service.addr(), stop).await?;
        let mut entry = listed(&id, relay.addr(), domain, Role::Service);
        self.relays.push((id.clone(), relay));
        entry.serves = vec!["booking".into()];
        entry.slots = 32;
        self.platform.change_list(|list| list.push(entry));
        self.services.push((id, service));
        Ok(())
    }

    /// Adds an entry instance to the platform's list, or moves it.
    pub fn list_entry(&self, id: &str, peers: SocketAddr, domain: &str) {
        let entry = listed(id, peers, domain, Role::Entry);
        self.platform.change_list(|list| {
            list.retain(|instance| *instance.id != *id);
            list.push(entry);
        });
    }

    /// Takes an instance or server off the list.
    pub fn unlist(&self, id: &str) {
        self.platform.change_list(|list| list.retain(|instance| *instance.id != *id));
    }

    /// Lists an instance or server as leaving.
    pub fn list_leaving(&self, id: &str) {
        self.platform.change_list(|list| {
            for instance in list.iter_mut().filter(|instance| *instance.id == *id) {
                instance.state = ServerState::Leaving;
            }
        });
    }
}

fn listed(id: &str, addr: SocketAddr, domain: &str, role: Role) -> Instance {
    Instance {
        id: id.into(),
        addr,
        domain: domain.into(),
        role,
        state: ServerState::Live,
        serves: Vec::new(),
        slots: 0,
        fenced: true,
    }
}
