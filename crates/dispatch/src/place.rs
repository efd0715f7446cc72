//! Which server gets a request.
//!
//! The load it answers: servers of uneven and noisy pace whose reports are
//! stale, and prompts that share long parts. Every server gets an estimate of
//! the time that it would take to begin the answer; the least wins.

use config::Name;
use policy::hash_parts;

use crate::Mono;
use crate::fleet::{Fleet, Server};

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
/// What it weighs that a server could not be reached a moment ago, in ms: it is
/// asked only if no other is left.
const PAUSED_MS: f64 = 60_000.0;
/// What it weighs to cross failure domains with a prompt, in ms.
const CROSS_MS: f64 = 60.0;
/// Servers of the own domain from which on homes are chosen among them: fewer
/// hold too little of what is shared.
const LOCAL_HOMES: usize = 8;
/// The share of a prompt's shared parts that its home is trusted to hold.
const HOME_TRUST: f64 = 0.6;

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
    let home = home(&candidates, ask);
    let mut best: Option<(f64, f64, &Server)> = None;
    for server in candidates {
        if ask.tried.contains(&server.info.id) {
            continue;
        }
        let estimate = estimate(fleet, server, ask, home == Some(&server.info.id), now);
        let jitter = hash_parts(&[server.info.id.as_bytes(), &draw.to_le_bytes()]) % 64;
        let crosses = server.info.domain != *ask.domain;
        let cost = estimate
            + FAILURE_MS * server.failure_rate(now)
            + if crosses { CROSS_MS } else { 0.0 }
            + if server.paused(now) { PAUSED_MS } else { 0.0 }
            + jitter as f64 / 32.0;
        if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
            best = Some((cost, estimate, server));
        }
    }
    let (_, estimate_ms, server) = best.ok_or(NoPlace::AllTried)?;
    let is_home = home == Some(&server.info.id);
    let reading = unread(fleet, server, ask, is_home, now) * ask.effort;
    Ok(Placement { server: server.info.id.clone(), estimate_ms, reading })
}

/// The server on which the instances of a domain agree for the prompt's deepest shared part.
fn home<'a>(candidates: &[&'a Server], ask: &Ask) -> Option<&'a Name> {
    let shared = ask.parts.len().checked_sub(2)?;
    let key = ask.parts[shared].id.to_le_bytes();
    let score = |id: &str| hash_parts(&[ask.model.as_bytes(), &key, id.as_bytes()]);
    let near = |server: &&&Server| server.info.domain == *ask.domain;
    let local = candidates.iter().filter(|server| near(server)).count() >= LOCAL_HOMES;
    let homes = candidates.iter().filter(|server| !local || near(server));
    homes.map(|server| &server.info.id).max_by_key(|id| score(id))
}

fn estimate(fleet: &Fleet, server: &Server, ask: &Ask, is_home: bool, now: Mono) -> f64 {
    let load = server.load(now);
    let slots = f64::from(server.info.slots.max(1));
    let queue = (load + 1.0 - slots).max(0.0) * QUEUE_MS;
    let work = if ask.parts.is_empty() {
        load * SHARE_MS
    } else {
        let ahead = AHEAD_SHARE * server.unread();
        (unread(fleet, server, ask, is_home, now) * ask.effort + ahead) / READ_PER_MS
            + load * BATCH_MS
    };
    (work + queue) * server.slowdown(now)
}

/// The prompt tokens that the server would have to read.
fn unread(fleet: &Fleet, server: &Server, ask: &Ask, is_home: bool, now: Mono) -> f64 {
    let total: u32 = ask.parts.iter().map(|part| part.tokens).sum();
    let held = |part: &&Part| fleet.held(&server.info.id, ask.model, part.id, now);
    let known: u32 = ask.parts.iter().take_while(held).map(|part| part.tokens).sum();
    let shared = ask.parts.len().saturating_sub(1);
    let at_home: u32 = ask.parts[..shared].iter().map(|part| part.tokens).sum();
    let trusted = if is_home { HOME_TRUST * f64::from(at_home) } else { 0.0 };
    f64::from(total) - f64::from(known).max(trusted)
}
