//! Settings of the decision core.

use std::time::Duration;

use config::Name;

/// What an instance knows of itself, and the bounds it keeps to.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The instance's id.
    pub instance: Name,
    /// A number that grows with every start of the instance.
    pub incarnation: u64,
    /// The failure domain that the instance stands in.
    pub domain: Name,
    /// The seed of the generator.
    pub seed: u64,
    /// How many servers of a version the instance uses in its own domain.
    pub subset: usize,
    /// How many requests may wait in one queue.
    pub queue_limit: usize,
    /// Which mechanisms are on.
    pub switches: Switches,
    /// How versions are chosen.
    pub selection: Selection,
}

impl Settings {
    /// Settings with defaults for everything but the instance's identity.
    pub fn new(instance: Name, domain: Name, seed: u64) -> Self {
        Settings {
            instance,
            incarnation: 1,
            domain,
            seed,
            subset: 24,
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

    /// Sets which mechanisms are on.
    pub fn switches(mut self, switches: Switches) -> Self {
        self.switches = switches;
        self
    }

    /// Sets how versions are chosen.
    pub fn selection(mut self, selection: Selection) -> Self {
        self.selection = selection;
        self
    }

    /// Sets how many servers of a version the instance uses.
    pub fn subset(mut self, subset: usize) -> Self {
        self.subset = subset;
        self
    }
}

/// How a version is chosen among those that may answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// The cheapest whose learnt quality meets the route's target.
    Cascade,
    /// The dearest; a baseline.
    Dearest,
    /// The cheapest; a baseline.
    Cheapest,
}

/// Mechanisms that can be switched off, to show what each one holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Switches {
    /// Checks account and version again right before each send.
    pub confirm: bool,
    /// Bounds the share of long work on each server and orders short first.
    pub lanes: bool,
    /// Takes stragglers out by degrees.
    pub stragglers: bool,
    /// Sends a second attempt when the first byte is late.
    pub hedge: bool,
    /// Stops requests that crash their servers.
    pub poison: bool,
    /// Halts versions on evidence.
    pub halt: bool,
    /// Shares capacity fairly among accounts.
    pub fair: bool,
    /// Refuses early what can't be answered in time.
    pub early: bool,
    /// Keeps a session's version.
    pub sessions: bool,
    /// Lets only a higher configuration number replace a lower one.
    pub ordered: bool,
    /// Prefers the server that is likely to hold the prompt's prefix.
    pub affinity: bool,
    /// Limits retries to a budget.
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
    /// Switches everything off that a plain balancer does not have.
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

    /// Switches one mechanism off by name; false if there is none of this name.
    pub fn turn_off(&mut self, name: &str) -> bool {
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

/// How long a server's pace must be known to be old before a probe is due.
pub(crate) const PROBE_EVERY: Duration = Duration::from_millis(500);
/// How often medians and weights are computed.
pub(crate) const REVIEW_EVERY: Duration = Duration::from_millis(100);
