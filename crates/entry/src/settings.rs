//! The settings of an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use policy::Switches;

/// What an entry instance is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's id, unique among all.
    pub instance: Name,
    /// The failure domain that it stands in.
    pub domain: Name,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Peers to ask before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// What operators must show.
    pub token: String,
    /// How long a shutdown waits for answers in flight.
    pub drain: Duration,
    /// The longest body of a request, in bytes.
    pub body_limit: usize,
    /// Which mechanisms of the core are on.
    pub switches: Switches,
    /// Mechanisms outside the core that are off, for experiments.
    pub without: Vec<String>,
}

/// Builds the settings; what is not set has its default.
#[derive(Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// The shortest body limit that can be set, in bytes.
    pub const LEAST_BODY: usize = 1 << 10;

    /// Starts with what has no default.
    pub fn new(instance: Name, domain: Name, platform: SocketAddr, token: String) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            instance,
            domain,
            callers: any,
            peers: any,
            operators: any,
            platform,
            seeds: Vec::new(),
            token,
            drain: Duration::from_secs(60),
            body_limit: 4 << 20,
            switches: Switches::default(),
            without: Vec::new(),
        };
        SettingsBuilder { settings }
    }

    /// Sets where it listens for callers, peers and operators.
    pub fn listen(mut self, callers: SocketAddr, peers: SocketAddr, operators: SocketAddr) -> Self {
        self.settings.callers = callers;
        self.settings.peers = peers;
        self.settings.operators = operators;
        self
    }

    /// Sets the peers to ask before the platform's list is known.
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seeds = seeds;
        self
    }

    /// Sets how long a shutdown waits.
    pub fn drain(mut self, drain: Duration) -> Self {
        self.settings.drain = drain;
        self
    }

    /// Sets the longest body of a request, in bytes.
    pub fn body_limit(mut self, limit: usize) -> Self {
        self.settings.body_limit = limit;
        self
    }

    /// Switches mechanisms off; returns the names that there are none of.
    pub fn without(&mut self, names: &[String]) -> Vec<String> {
        let mut unknown = Vec::new();
        for name in names {
            match name.as_str() {
                "claims" | "secure" => self.settings.without.push(name.clone()),
                other if self.settings.switches.turn_off(other) => {}
                other => unknown.push(other.to_owned()),
            }
        }
        unknown
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
