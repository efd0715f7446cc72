//! The settings of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use policy::Switches;

/// The settings that an entry instance is started with.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's id, unique in the deployment.
    pub instance: Name,
    /// The failure domain that it belongs to.
    pub domain: Name,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for peers.
    pub peers: SocketAddr,
    /// The listen address for operators.
    pub operators: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Peers to contact while the platform's list is not known.
    pub seeds: Vec<SocketAddr>,
    /// The token that operators must present.
    pub token: String,
    /// How long a shutdown waits for in-flight responses.
    pub drain: Duration,
    /// The maximum length of a request body, in bytes.
    pub body_limit: usize,
    /// Which mechanisms of the core are enabled.
    pub switches: Switches,
    /// Mechanisms outside the core that are disabled for experiments.
    pub disabled: Vec<String>,
}

/// Builds [`Settings`] from required values and defaults.
#[derive(Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// The smallest body limit that can be configured, in bytes.
    pub const MIN_BODY_LIMIT: usize = 1 << 10;

    /// Creates a builder from the settings that have no default.
    pub fn new(instance: Name, domain: Name, platform: SocketAddr, token: String) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            instance,
            domain,
            callers: any_port,
            peers: any_port,
            operators: any_port,
            platform,
            seeds: Vec::new(),
            token,
            drain: Duration::from_secs(60),
            body_limit: 4 << 20,
            switches: Switches::default(),
            disabled: Vec::new(),
        };
        SettingsBuilder { settings }
    }

    /// Sets the listen addresses for callers, peers and operators.
    pub fn listen(mut self, callers: SocketAddr, peers: SocketAddr, operators: SocketAddr) -> Self {
        self.settings.callers = callers;
        self.settings.peers = peers;
        self.settings.operators = operators;
        self
    }

    /// Sets the peers to contact while the platform's list is not known.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seeds = seeds;
        self
    }

    /// Sets how long a shutdown waits for in-flight responses.
    pub fn drain(mut self, drain: Duration) -> Self {
        self.settings.drain = drain;
        self
    }

    /// Sets the maximum length of a request body, in bytes.
    pub fn body_limit(mut self, limit: usize) -> Self {
        self.settings.body_limit = limit;
        self
    }

    /// Disables mechanisms by name; returns the names that are unknown.
    pub fn disable(&mut self, names: &[String]) -> Vec<String> {
        let mut unknown = Vec::new();
        for name in names {
            match name.as_str() {
                "claims" | "secure" => self.settings.disabled.push(name.clone()),
                other if self.settings.switches.disable(other) => {}
                other => unknown.push(other.to_owned()),
            }
        }
        unknown
    }

    /// Builds the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
