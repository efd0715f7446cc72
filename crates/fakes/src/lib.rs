//! In-process fakes of what surrounds an entry instance in tests: the platform, model
//! engines, plain services, and a TCP relay that breaks or stalls connections.
//!
//! Types with the prefix `Site` fake the store and the servers of the users' platform.

mod deployment;
mod endless_server;
mod engine;
mod http_server;
mod loopback;
mod odd_rows;
mod platform_fake;
mod relay;
mod request_log;
mod service;
mod site_server;
mod site_store;
mod truncating_server;

pub use deployment::{DOMAINS, Deployment, FakeVersion, VERSIONS};
pub use endless_server::{EndlessPart, EndlessServer};
pub use engine::{Engine, EngineFaults, EngineSettings};
pub use loopback::unique_ip;
pub use odd_rows::{odd_values, unreadable_entries};
pub use platform_fake::{PlatformFake, PlatformFaults, PlatformView};
pub use relay::{Relay, RelayMode};
pub use request_log::{RecordedRequest, RequestLog};
pub use service::{BookingService, ServiceFaults};
pub use site_server::{
    BrittleCapacity, STREAM_EVENTS, SiteFault, SiteRequest, SiteRequestLog, SiteServer,
};
pub use site_store::{SiteStore, SiteStoreFaults};
pub use truncating_server::{Closing, TruncatedResponse, TruncatingServer};
