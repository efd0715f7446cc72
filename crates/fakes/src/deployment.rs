//! A local deployment: a fake platform, with engines and services in three failure domains.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use policy::ServerState;
use store::{ListEntry, Role};
use tokio_util::sync::CancellationToken;

use crate::engine::{Engine, EngineSettings};
use crate::platform_fake::PlatformFake;
use crate::relay::Relay;
use crate::request_log::RequestLog;
use crate::service::BookingService;

/// The failure domains of the deployment.
pub const DOMAINS: [&str; 3] = ["south-1", "south-2", "south-3"];

/// A model version that the fake engines serve.
#[derive(Debug, Clone, Copy)]
pub struct FakeVersion {
    /// The name that requests select it by.
    pub name: &'static str,
    /// The quality that the platform rates its answers with.
    pub quality: f64,
}

/// The model versions of a deployment; each domain has one engine for each.
pub const VERSIONS: [FakeVersion; 3] = [
    FakeVersion { name: "small-1", quality: 0.8 },
    FakeVersion { name: "small-2", quality: 0.82 },
    FakeVersion { name: "large-1", quality: 0.95 },
];

/// The running fakes of a deployment.
pub struct Deployment {
    /// The fake platform.
    pub platform: PlatformFake,
    /// The engines with their ids, `VERSION.DOMAIN`.
    pub engines: Vec<(String, Engine)>,
    /// The booking services with their ids, `booking.DOMAIN`.
    pub services: Vec<(String, BookingService)>,
    /// The relays in front of engines and services, with the ids of their targets.
    pub relays: Vec<(String, Relay)>,
    /// The requests that reached engines and services.
    pub request_log: RequestLog,
}

impl Deployment {
    /// Starts one engine for each version and one booking service in each failure domain.
    ///
    /// `token_time` is the time that an engine takes for one token in a batch of one.
    pub async fn start(token_time: Duration, stop: CancellationToken) -> Result<Self> {
        let platform = PlatformFake::start(stop.clone()).await?;
        let request_log = RequestLog::default();
        let mut deployment = Deployment {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            relays: Vec::new(),
            request_log,
        };
        for domain in DOMAINS {
            for version in VERSIONS {
                deployment.add_engine(version, domain, token_time, stop.clone()).await?;
            }
            deployment.add_service(domain, stop.clone()).await?;
        }
        Ok(deployment)
    }

    async fn add_engine(
        &mut self,
        version: FakeVersion,
        domain: &str,
        token_time: Duration,
        stop: CancellationToken,
    ) -> Result<()> {
        let id = format!("{}.{domain}", version.name);
        let settings = EngineSettings { token_time, ..EngineSettings::fast(&id, version.quality) };
        let slots = settings.slots;
        let engine = Engine::start(settings, self.request_log.clone(), stop.clone()).await?;
        let relay = Relay::start(engine.addr(), stop).await?;
        let mut entry = instance_record(&id, relay.addr(), domain, Role::Engine);
        self.relays.push((id.clone(), relay));
        entry.serves = vec![version.name.into()];
        entry.slots = slots;
        self.platform.change_list(|list| list.push(entry));
        self.engines.push((id, engine));
        Ok(())
    }

    async fn add_service(&mut self, domain: &str, stop: CancellationToken) -> Result<()> {
        let id = format!("booking.{domain}");
        let service = BookingService::start(&id, self.request_log.clone(), stop.clone()).await?;
        let relay = Relay::start(service.addr(), stop).await?;
        let mut entry = instance_record(&id, relay.addr(), domain, Role::Service);
        self.relays.push((id.clone(), relay));
        entry.serves = vec!["booking".into()];
        entry.slots = 32;
        self.platform.change_list(|list| list.push(entry));
        self.services.push((id, service));
        Ok(())
    }

    /// Adds an entry instance to the platform's list, or replaces its record there.
    pub fn list_entry(&self, id: &str, peers: SocketAddr, domain: &str) {
        let entry = instance_record(id, peers, domain, Role::Entry);
        self.platform.change_list(|list| {
            list.retain(|instance| *instance.id != *id);
            list.push(entry);
        });
    }

    /// Removes an instance or a server from the platform's list.
    pub fn unlist(&self, id: &str) {
        self.platform.change_list(|list| list.retain(|instance| *instance.id != *id));
    }

    /// Marks an instance or a server as leaving in the platform's list.
    pub fn mark_leaving(&self, id: &str) {
        self.platform.change_list(|list| {
            for instance in list.iter_mut().filter(|instance| *instance.id == *id) {
                instance.state = ServerState::Leaving;
            }
        });
    }
}

/// A list entry of a live instance or server.
fn instance_record(id: &str, addr: SocketAddr, domain: &str, role: Role) -> ListEntry {
    ListEntry {
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
