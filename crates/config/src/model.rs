//! The types of a validated configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An immutable string that is cheap to clone.
pub type Name = Arc<str>;

/// The complete configuration that is active under one number.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The number of the head row; a snapshot replaces those with lower numbers.
    pub number: u64,
    /// The routes by name.
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// The client accounts by name.
    pub accounts: BTreeMap<Name, Arc<Account>>,
    /// Client accounts by the SHA-256 of their API keys, in hexadecimal.
    pub keys: BTreeMap<Name, Arc<Account>>,
}

impl Snapshot {
    /// Builds a snapshot from validated pieces.
    pub fn new(number: u64, pieces: impl IntoIterator<Item = Piece>) -> Self {
        let mut snapshot = Snapshot { number, ..Snapshot::default() };
        for piece in pieces {
            snapshot.insert(piece);
        }
        snapshot
    }

    fn insert(&mut self, piece: Piece) {
        match piece {
            Piece::Route(route) => {
                self.routes.insert(route.name.clone(), Arc::new(route));
            }
            Piece::Account(account) => {
                let account = Arc::new(account);
                for key in &account.keys {
                    self.keys.insert(key.clone(), account.clone());
                }
                self.accounts.insert(account.name.clone(), account);
            }
        }
    }
}

/// Identifies a piece in the manifest.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum PieceKey {
    /// A route.
    Route(Name),
    /// A client account.
    Account(Name),
}

impl fmt::Display for PieceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PieceKey::Route(name) => write!(f, "route.{name}"),
            PieceKey::Account(name) => write!(f, "account.{name}"),
        }
    }
}

impl From<PieceKey> for String {
    fn from(key: PieceKey) -> String {
        key.to_string()
    }
}

impl TryFrom<String> for PieceKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        match text.split_once('.') {
            Some(("route", name)) => Ok(PieceKey::Route(name.into())),
            Some(("account", name)) => Ok(PieceKey::Account(name.into())),
            _ => Err(format!("{text:?} is neither route.NAME nor account.NAME")),
        }
    }
}

/// The unit of configuration: a piece is published and replaced as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Piece {
    /// A route.
    Route(Route),
    /// A client account.
    Account(Account),
}

impl Piece {
    /// The key under which the manifest lists the piece.
    pub fn key(&self) -> PieceKey {
        match self {
            Piece::Route(route) => PieceKey::Route(route.name.clone()),
            Piece::Account(account) => PieceKey::Account(account.name.clone()),
        }
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The account's name.
    pub name: Name,
    /// The SHA-256 of each API key, in lowercase hexadecimal.
    pub keys: Vec<Name>,
    /// The account's share of capacity relative to other accounts.
    pub weight: f64,
}

/// A route maps a name that callers use to the versions that may serve it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name that callers give as `model` or in the path.
    pub name: Name,
    /// Whether the route is served by model engines or by a plain service.
    pub kind: RouteKind,
    /// The client accounts that may use the route.
    pub accounts: Vec<Name>,
    /// The mean rating that answers must reach, between 0 and 1.
    pub quality: f64,
    /// The expected length of its requests.
    pub work: WorkClass,
    /// The time limit from arrival to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The time limit for the first byte from one server, in milliseconds.
    pub first_byte_ms: u64,
    /// Whether a session stays on the version that it started with.
    pub sessions: bool,
    /// Whether a failed request may be retried.
    pub repeatable: bool,
    /// What an instance does while it can't confirm its configuration.
    pub cut_off: CutOff,
    /// What happens to the sessions of a halted version.
    pub on_halt: OnHalt,
    /// The fraction of answers sent to the rating service, between 0 and 1.
    pub rated: f64,
    /// The price of a request to a plain service, in millionths of a currency unit.
    pub price_micro: u64,
    /// The versions, cheapest first.
    pub versions: Vec<Version>,
}

impl Route {
    /// Looks up a version by name.
    pub fn version(&self, name: &str) -> Option<&Version> {
        self.versions.iter().find(|v| &*v.name == name)
    }

    /// Whether the account may use the route.
    pub fn allows(&self, account: &str) -> bool {
        self.accounts.iter().any(|a| &**a == account)
    }
}

/// The kind of backend servers that serve a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model engines.
    Model,
    /// Plain HTTP servers.
    Service,
}

/// The expected length of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Short requests, such as tagging and chats.
    Short,
    /// Requests that take many times longer, such as briefings.
    Long,
}

/// What an instance does with a route while it can't confirm its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOff {
    /// Keeps serving, with stable versions only.
    ServeStable,
    /// Refuses requests until the configuration is confirmed again.
    Stop,
}

/// What happens to the sessions of a halted version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnHalt {
    /// They move to another version, as after a withdrawal.
    Withdraw,
    /// They stay on the version, as after a retirement.
    Retire,
}

/// One version of a model behind a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The name that backend servers list.
    pub name: Name,
    /// The cost of 1,000 tokens, in millionths of a currency unit.
    pub cost_micro: u64,
    /// The prior mean rating, between 0 and 1.
    pub quality: f64,
    /// The weight of the prior mean, as a number of ratings.
    pub evidence: u32,
    /// The lifecycle stage.
    pub stage: Stage,
    /// The configuration number at which the version last changed.
    ///
    /// A halt applies to one generation of a version.
    #[serde(default)]
    pub generation: u64,
    /// The version that its sessions move to when it is withdrawn.
    pub successor: Option<Name>,
    /// The client accounts that may use the version; all of the route's if `None`.
    pub accounts: Option<Vec<Name>>,
    /// The rollout schedule, for a version in [`Stage::Rollout`].
    pub rollout: Option<Rollout>,
}

impl Version {
    /// Whether the account may use the version.
    pub fn allows(&self, account: &str) -> bool {
        match &self.accounts {
            Some(accounts) => accounts.iter().any(|a| &**a == account),
            None => true,
        }
    }
}

/// The lifecycle stage of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Gets a share of new requests that changes in steps.
    Rollout,
    /// Serves new requests.
    Stable,
    /// Serves existing sessions only.
    Retiring,
    /// Serves nothing.
    Withdrawn,
}

/// The schedule by which a version enters service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// When the rollout was accepted, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// The steps in order; the last one applies until the stage changes.
    pub steps: Vec<Step>,
}

impl Rollout {
    /// The share of new requests at a given time.
    ///
    /// It depends on the start, the steps and the clock only, so that all
    /// instances compute the same share without coordination.
    pub fn share(&self, now_ms: u64) -> f64 {
        let mut remaining = now_ms.saturating_sub(self.start_ms);
        let mut share = 0.0;
        for step in &self.steps {
            share = step.share;
            let hold_ms = step.hold_s.saturating_mul(1_000);
            if remaining < hold_ms {
                break;
            }
            remaining -= hold_ms;
        }
        share
    }
}

/// A step of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The share of new requests, between 0 and 1.
    pub share: f64,
    /// The duration of the step, in seconds.
    pub hold_s: u64,
}
