//! Which server gets a request.
//!
//! The load it answers: servers of uneven and noisy pace whose reports are
//! stale, and prompts that share long parts. Every server gets an estimate of
//! the time that it would take to begin the answer; the least wins.

use config::Name;
use policy::{hash_parts, mix};

use crate::Mono;
use crate::fleet::{Fleet, PartKey, Server};

/// Prompt tokens that an engine reads in a millisecond before anything is learnt.
const READ_PER_MS: f64 = 100.0;
/// How much each request in a batch delays the others' first token, in ms.
const BATCH_MS: f64 = 6.0;
/// The share of the prompts ahead that delays a request: chunks of several
/// prompts are read by turns.
const AHEAD_SHARE: f64 = 0.6;
/// How much a request delays others at a plain server below its slots, in ms.
const SHARE_MS: f64 = 0.5;
/// What waiting for a slot costs for each request ahead, in ms.
const QUEUE_MS: f64 = 40.0;
/// What a certain failure weighs against waiting, in ms.
const FAILURE_MS: f64 = 2_000.0;
/// What it weighs that a server could not be reached a moment ago, or has likely
/// left, in ms: it is asked only if no other is left.
const PAUSED_MS: f64 = 60_000.0;
/// What it weighs to cross failure domains with a prompt, in ms.
const CROSS_MS: f64 = 60.0;
/// Servers of the own domain from which on homes are chosen among them: fewer
/// hold too little of what is shared.
const LOCAL_HOMES: usize = 8;
/// The share of a prompt's shared parts that its home is trusted to hold.
const HOME_TRUST: f64 = 0.6;

/// Servers that are looked at beside the home: among so many a good one is as
/// near to the best as the estimates are to the truth.
const LOOKED_AT: usize = 128;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The id of its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What is to be placed.
#[derive(Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a Name,
    /// The only version that may serve it, if it matters.
    pub version: Option<&'a Name>,
    /// Versions that may not serve it.
    pub barred: &'a [Name],
    /// The failure domain of the instance.
    pub domain: &'a Name,
    /// The model; empty for plain services.
    pub model: &'a str,
    /// How many times longer the model works than a middling one.
    pub effort: f64,
    /// The prompt's parts in order.
    pub parts: &'a [Part],
    /// Servers that had the request already.
    pub tried: &'a [Name],
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: Name,
    /// The estimated time to the begin of the answer in ms, without failures.
    pub estimate_ms: f64,
    /// What it will have to read of the prompt, in tokens of a middling model.
    pub reading: f64,
}

/// Why a request can't be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// The service has no server that may serve the request.
    NoServer,
    /// Every server that might was tried or is out of reach for a moment.
    AllTried,
}

/// Chooses the server with the least estimate; `draw` from 0 to 1 breaks near ties.
pub fn place(fleet: &Fleet, ask: &Ask, draw: f64, now: Mono) -> Result<Placement, NoPlace> {
    let allowed = |server: &&Server| {
        !server.info.leaving
            && ask.version.is_none_or(|version| *version == server.info.version)
            && !ask.barred.contains(&server.info.version)
    };
    let candidates: Vec<&Server> = fleet.of(ask.service).filter(allowed).collect();
    if candidates.is_empty() {
        return Err(NoPlace::NoServer);
    }
    let prompt = Prompt::new(ask);
    let home = home(&candidates, ask);
    let salt = draw.to_bits();
    let mut best: Option<Estimated> = None;
    for server in home.into_iter().chain(looked_at(&candidates, salt)) {
        if ask.tried.contains(&server.info.id) {
            continue;
        }
        let is_home = home.is_some_and(|home| home.salt == server.salt);
        let reading = prompt.unread(server, is_home, now) * ask.effort;
        let estimate_ms = estimate(server, ask, reading, now);
        let crosses = server.info.domain != *ask.domain;
        let cost = estimate_ms
            + FAILURE_MS * server.failure_rate(now)
            + if crosses { CROSS_MS } else { 0.0 }
            + if server.paused(now) || server.doubted(now) { PAUSED_MS } else { 0.0 }
            + (mix(server.salt ^ salt) % 64) as f64 / 32.0;
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Estimated { cost, estimate_ms, reading, server });
        }
    }
    let Estimated { estimate_ms, reading, server, .. } = best.ok_or(NoPlace::AllTried)?;
    Ok(Placement { server: server.info.id.clone(), estimate_ms, reading })
}

/// A server with what it would take there.
struct Estimated<'a> {
    cost: f64,
    estimate_ms: f64,
    reading: f64,
    server: &'a Server,
}

/// All candidates, or of many a part that differs from request to request.
fn looked_at<'a>(candidates: &[&'a Server], salt: u64) -> impl Iterator<Item = &'a Server> {
    let start = mix(salt) as usize % candidates.len();
    let (before, after) = candidates.split_at(start);
    after.iter().chain(before).take(LOOKED_AT).copied()
}

/// The server on which the instances of a domain agree for the prompt's deepest shared part.
fn home<'a>(candidates: &[&'a Server], ask: &Ask) -> Option<&'a Server> {
    let shared = ask.parts.len().checked_sub(2)?;
    let key = hash_parts(&[ask.model.as_bytes(), &ask.parts[shared].id.to_le_bytes()]);
    let near = |server: &&&Server| server.info.domain == *ask.domain;
    let local = candidates.iter().filter(near).count() >= LOCAL_HOMES;
    let homes = candidates.iter().filter(|server| !local || near(server));
    homes.copied().max_by_key(|server| mix(server.salt ^ key))
}

/// A prompt as its model reads it.
struct Prompt {
    parts: Vec<(PartKey, f64)>,
    total: f64,
    shared: f64,
}

impl Prompt {
    fn new(ask: &Ask) -> Self {
        let key = |part: &Part| (PartKey::new(ask.model, part.id), f64::from(part.tokens));
        let parts: Vec<(PartKey, f64)> = ask.parts.iter().map(key).collect();
        let total = parts.iter().map(|(_, tokens)| tokens).sum();
        let own = parts.last().map_or(0.0, |(_, tokens)| *tokens);
        Prompt { parts, total, shared: total - own }
    }

    /// The tokens that a server would have to read.
    fn unread(&self, server: &Server, is_home: bool, now: Mono) -> f64 {
        let held = self.parts.iter().take_while(|(part, _)| server.holds(*part, now));
        let known: f64 = held.map(|(_, tokens)| tokens).sum();
        let trusted = if is_home { HOME_TRUST * self.shared } else { 0.0 };
        self.total - known.max(trusted)
    }
}

fn estimate(server: &Server, ask: &Ask, reading: f64, now: Mono) -> f64 {
    let load = server.load(now);
    let slots = f64::from(server.info.slots.max(1));
    let queue = (load + 1.0 - slots).max(0.0) * QUEUE_MS;
    let work = if ask.parts.is_empty() {
        load * SHARE_MS
    } else {
        (reading + AHEAD_SHARE * server.unread()) / READ_PER_MS + load * BATCH_MS
    };
    (work + queue) * server.slowdown(now)
}
