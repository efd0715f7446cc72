//! Small stand-ins for what surrounds an entry instance: the platform, model
//! engines, plain services, and a relay that cuts or silences connections.

mod deployment;
mod engine;
mod http_server;
mod journal;
mod platform_fake;
mod relay;
mod service;
mod site_server;
mod site_store;

pub use deployment::{DOMAINS, Deployment, FakeVersion, VERSIONS};
pub use engine::{Engine, EngineFaults, EngineSettings};
pub use journal::{Journal, JournalEntry};
pub use platform_fake::{PlatformFake, PlatformFaults, PlatformView};
pub use relay::{Relay, RelayMode};
pub use service::{BookingService, ServiceFaults};
pub use site_server::{STREAM_EVENTS, SiteArrival, SiteFault, SiteJournal, SiteServer};
pub use site_store::{SiteStore, SiteStoreFaults};
