//! Small stand-ins for what surrounds an entry instance: the platform, model
//! engines, plain services, and a relay that cuts or silences connections.

mod deployment;
mod engine;
mod http_server;
mod journal;
mod platform_fake;
mod relay;
mod service;

pub use deployment::{DOMAINS, Deployment, FakeVersion, VERSIONS};
pub use engine::{Engine, EngineFaults, EngineSettings};
pub use journal::{Journal, JournalEntry};
pub use platform_fake::{PlatformFake, PlatformFaults, PlatformView};
pub use relay::{Relay, RelayMode};
pub use service::{BookingService, ServiceFaults};
