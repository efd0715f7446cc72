//! Settings of the decision core.

use std::time::Duration;

use config::Name;

/// The identity of an instance, and the limits and features of its core.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's id.
    pub instance: Name,
    /// A number that increases with every start of the instance.
    pub incarnation: u64,
    /// The instance's failure domain.
    pub domain: Name,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The maximum number of servers per version that the instance uses in its own
    /// failure domain, and the same again in all other domains together.
    pub subset_size: usize,
    /// The maximum number of queued requests per pool.
    pub queue_limit: usize,
    /// Which optional mechanisms are enabled.
    pub switches: Switches,
    /// How versions are selected.
    pub selection: Selection,
}

impl Settings {
    /// Creates settings with defaults for everything except the instance's identity and
    /// the seed.
    pub fn new(instance: Name, domain: Name, seed: u64) -> Self {
        Settings {
            instance,
            incarnation: 1,
            domain,
            seed,
            subset_size: 24,
            queue_limit: 10_000,
            switches: Switches::default(),
            selection: Selection::Cascade,
        }
    }

    /// Sets the incarnation.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets which optional mechanisms are enabled.
    pub fn switches(mut self, switches: Switches) -> Self {
        self.switches = switches;
        self
    }

    /// Sets how versions are selected.
    pub fn selection(mut self, selection: Selection) -> Self {
        self.selection = selection;
        self
    }

    /// Sets the maximum number of servers per version that the instance uses, in its own
    /// failure domain and again in all others together.
    pub fn subset_size(mut self, subset_size: usize) -> Self {
        self.subset_size = subset_size;
        self
    }
}

/// How a version is selected among those that may answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// The cheapest version whose lower bound of the quality meets the route's target, or
    /// the best one if none does.
    Cascade,
    /// The most expensive version; a baseline for comparison.
    MostExpensive,
    /// The cheapest version; a baseline for comparison.
    Cheapest,
}

/// Mechanisms that can be disabled individually to measure the effect of each. Operators
/// disable one by the name of its field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Switches {
    /// Checks account and version again immediately before each send.
    pub confirm: bool,
    /// Limits the share of long work on each server and prioritizes short work.
    pub lanes: bool,
    /// Gradually reduces the load of servers that are slower than the median.
    pub stragglers: bool,
    /// Sends a second attempt when the first byte is late.
    pub hedge: bool,
    /// Blocks requests that crash servers.
    pub poison: bool,
    /// Halts versions that the evidence shows to be bad.
    pub halt: bool,
    /// Shares capacity fairly among client accounts.
    pub fair: bool,
    /// Refuses requests on arrival if they cannot be answered before their deadline.
    pub early: bool,
    /// Pins sessions to their version.
    pub sessions: bool,
    /// Accepts a new configuration only if its number is higher than the current one.
    pub ordered: bool,
    /// Prefers the server that is likely to have the prompt's prefix cached.
    pub affinity: bool,
    /// Limits retries by a budget.
    pub retry_budget: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
            confirm: true,
            lanes: true,
            stragglers: true,
            hedge: true,
            poison: true,
            halt: true,
            fair: true,
            early: true,
            sessions: true,
            ordered: true,
            affinity: true,
            retry_budget: true,
        }
    }
}

impl Switches {
    /// Returns the switches with every mechanism disabled that an ordinary load
    /// balancer lacks.
    pub fn plain() -> Self {
        Switches {
            lanes: false,
            stragglers: false,
            hedge: false,
            fair: false,
            early: false,
            affinity: false,
            ..Switches::default()
        }
    }

    /// Disables a mechanism by name. Returns false if the name is unknown.
    pub fn disable(&mut self, name: &str) -> bool {
        let switch = match name {
            "confirm" => &mut self.confirm,
            "lanes" => &mut self.lanes,
            "stragglers" => &mut self.stragglers,
            "hedge" => &mut self.hedge,
            "poison" => &mut self.poison,
            "halt" => &mut self.halt,
            "fair" => &mut self.fair,
            "early" => &mut self.early,
            "sessions" => &mut self.sessions,
            "ordered" => &mut self.ordered,
            "affinity" => &mut self.affinity,
            "retry_budget" => &mut self.retry_budget,
            _ => return false,
        };
        *switch = false;
        true
    }
}

/// The minimum interval between probes of an outlier server.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which server weights are updated.
pub(crate) const WEIGHT_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
