//! The types of a checked configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An immutable string that is cheap to share.
pub type Name = Arc<str>;

/// The whole configuration in force under one number.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The number of the head row; a higher number replaces a lower one.
    pub number: u64,
    /// The routes by name.
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// The client accounts by name.
    pub accounts: BTreeMap<Name, Arc<Account>>,
    /// Client accounts by the SHA-256 of their API keys, in hexadecimal.
    pub keys: BTreeMap<Name, Arc<Account>>,
}

impl Snapshot {
    /// Builds the snapshot of `number` from checked pieces.
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

/// What one entry of the manifest is.
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

/// The part of the configuration that is published and replaced as one.
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
    /// SHA-256 of each API key, in lower-case hexadecimal.
    pub keys: Vec<Name>,
    /// Share of the capacity against other accounts.
    pub weight: f64,
}

/// A route: a name that callers use and what may answer it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name that callers give as `model` or in the path.
    pub name: Name,
    /// Models or a plain service.
    pub kind: RouteKind,
    /// The client accounts that may use it.
    pub accounts: Vec<Name>,
    /// The mean rating that answers must reach, from 0 to 1.
    pub quality: f64,
    /// Whether its work is short or long.
    pub work: WorkClass,
    /// The longest time from arrival to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The longest wait for the first byte from one server, in milliseconds.
    pub first_byte_ms: u64,
    /// Whether sessions keep their version.
    pub sessions: bool,
    /// Whether a call may be sent again after a failure.
    pub repeatable: bool,
    /// What a cut-off instance does.
    pub cut_off: CutOff,
    /// What a halt does to the halted version's sessions.
    pub on_halt: OnHalt,
    /// The share of answers sent to the rating service, from 0 to 1.
    pub rated: f64,
    /// The charge for a call of a plain service, in millionths.
    pub price_micro: u64,
    /// The versions, cheapest first.
    pub versions: Vec<Version>,
}

impl Route {
    /// Finds a version by name.
    pub fn version(&self, name: &str) -> Option<&Version> {
        self.versions.iter().find(|v| &*v.name == name)
    }

    /// Whether the account may use the route.
    pub fn allows(&self, account: &str) -> bool {
        self.accounts.iter().any(|a| &**a == account)
    }
}

/// What stands behind a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model engines.
    Model,
    /// Plain HTTP servers.
    Service,
}

/// The length of a route's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Tags and chats.
    Short,
    /// Briefings, many times longer.
    Long,
}

/// What an instance does with a route when it can't confirm its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutOff {
    /// Goes on with stable versions.
    ServeStable,
    /// Refuses until the configuration is confirmed again.
    Stop,
}

/// What a halt does to sessions that keep the halted version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnHalt {
    /// Moves them, as a withdrawal does.
    Withdraw,
    /// Leaves them, as a retirement does.
    Retire,
}

/// One version of a model behind a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The name that backend servers list.
    pub name: Name,
    /// The cost of 1,000 tokens, in millionths.
    pub cost_micro: u64,
    /// The expected mean rating, from 0 to 1.
    pub quality: f64,
    /// How many ratings the expected mean stands for.
    pub evidence: u32,
    /// Where in its life the version is.
    pub stage: Stage,
    /// The head number at which this version was last changed; halts hold for it.
    #[serde(default)]
    pub generation: u64,
    /// The version that takes over its sessions.
    pub successor: Option<Name>,
    /// The client accounts that may use it, if not all of the route's.
    pub accounts: Option<Vec<Name>>,
    /// The steps of the roll-out, for a version in that stage.
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

/// The stage of a version's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Takes a share that grows by steps.
    Rollout,
    /// Takes new work.
    Stable,
    /// Takes only sessions that it already has.
    Retiring,
    /// Takes nothing.
    Withdrawn,
}

/// The steps by which a version enters service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// When the roll-out was accepted, in milliseconds since 1970.
    pub start_ms: u64,
    /// The steps, in order; the last one lasts until the stage changes.
    pub steps: Vec<Step>,
}

impl Rollout {
    /// The share of new work at a time; a pure function of start, steps and clock.
    pub fn share(&self, now_ms: u64) -> f64 {
        let mut left = now_ms.saturating_sub(self.start_ms);
        let mut share = 0.0;
        for step in &self.steps {
            share = step.share;
            let held = step.hold_s.saturating_mul(1_000);
            if left < held {
                break;
            }
            left -= held;
        }
        share
    }
}

/// One step of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The share of new work, from 0 to 1.
    pub share: f64,
    /// How long the step lasts, in seconds.
    pub hold_s: u64,
}
