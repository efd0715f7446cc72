//! Placement: which server gets a request.
//!
//! Designed for servers of uneven and noisy speed whose load reports are stale, and
//! for prompts that share long parts. For every server the time until it would begin
//! the answer is estimated; the server with the lowest cost is chosen.

use config::Name;
use policy::{hash_parts, mix};

use crate::MonotonicTime;
use crate::fleet::{Fleet, PromptPartKey, Server};
use crate::regions::AllowedRegions;

/// Prompt tokens that an engine is assumed to process per millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 100.0;
/// Delay that each request in a batch adds to the others' first token, in ms.
const BATCH_DELAY_MS: f64 = 6.0;
/// Fraction of the queued prompt tokens that delays a request: engines process chunks
/// of several prompts in turn.
const PREFILL_BACKLOG_FRACTION: f64 = 0.6;
/// Delay that each concurrent request adds on a server that is not a model engine and
/// has free slots, in ms.
const CONCURRENCY_DELAY_MS: f64 = 0.5;
/// Delay per request ahead in the queue for a slot, in ms.
const QUEUE_DELAY_MS: f64 = 40.0;
/// Penalty for a server whose failure rate is 1, in ms.
const FAILURE_PENALTY_MS: f64 = 2_000.0;
/// Penalty for a server that is unreachable or has probably shut down, in ms: large
/// enough that it is chosen only if no other server remains.
const UNREACHABLE_PENALTY_MS: f64 = 60_000.0;
/// Penalty for a server right after a pause that it asked for, in ms. It falls to 0.
const RETURN_PENALTY_MS: f64 = 500.0;
/// Penalty for sending a request to another failure domain, in ms.
const CROSS_DOMAIN_PENALTY_MS: f64 = 60.0;
/// Minimum number of servers in the local domain at which a home server in another domain is
/// as good as a local one. With fewer, a domain's servers hold most of what is shared, so that
/// a home elsewhere saves little.
const MIN_REMOTE_HOMES: usize = 8;
/// Fraction of a prompt's shared parts that its home server is assumed to have cached if each
/// domain's caches hold most of what is shared.
const HOME_CACHED_FRACTION: f64 = 0.6;
/// The same if the homes of all domains hold each part once. All instances send the prompts
/// with a part to one server, so that it is rarely evicted.
const SPREAD_HOME_CACHED_FRACTION: f64 = 0.85;

/// Maximum number of servers evaluated per request beside the home server. With this
/// many candidates, the best of them differs from the best overall by no more than
/// the error of the estimates.
const MAX_CANDIDATES: usize = 128;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of its content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a Name,
    /// The only version that may serve it; `None` allows every version.
    pub version: Option<&'a Name>,
    /// The only server that may serve it; `None` allows every server.
    pub server: Option<&'a Name>,
    /// Versions that may not serve it.
    pub excluded_versions: &'a [Name],
    /// Failure domain of this instance.
    pub domain: &'a Name,
    /// Model; empty for services that are not model engines.
    pub model: &'a str,
    /// Processing time of the model relative to that of a mid-sized one.
    pub work_factor: f64,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// Servers that the request was already sent to.
    pub tried: &'a [Name],
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether servers for which a permit is needed may be chosen.
    pub may_ask: bool,
    /// Whether servers count as reachable that this instance can't reach.
    pub ignore_reach: bool,
    /// The regions whose servers may serve it.
    pub regions: AllowedRegions<'a>,
}

/// Result of a placement.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Chosen server.
    pub server: Name,
    /// Estimated time until the answer begins in ms, not counting failures.
    pub estimate_ms: f64,
    /// Prompt tokens that the server must process, in mid-sized model equivalents.
    pub prefill_tokens: f64,
    /// Whether the request needs a permit, since the server limits its rate, is brittle or
    /// cold.
    pub needs_permit: bool,
    /// Whether the server is unreachable, as are all others that may serve the request.
    pub unreachable: bool,
}

/// Why a request cannot be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no server that may serve the request.
    NoServer,
    /// It has some, but operators evacuate their failure domains.
    Evacuated,
    /// It has some, but none in a region in which the request may be served.
    OutsideRegions,
    /// Every eligible server was already tried.
    AllTried,
    /// Every eligible server is paused, denies permits or was not asked for one; the first until
    /// the given time, as far as is known.
    Full(MonotonicTime),
}

/// Chooses the server with the lowest cost; `draw`, a random number from 0 to 1,
/// breaks near ties.
pub fn place(
    fleet: &Fleet,
    request: &PlacementRequest,
    draw: f64,
    now: MonotonicTime,
) -> Result<Placement, PlacementError> {
    let allowed = |server: &&Server| {
        !server.is_leaving()
            && request.server.is_none_or(|id| *id == server.info.id)
            && request.version.is_none_or(|version| *version == server.info.version)
            && !request.excluded_versions.contains(&server.info.version)
    };
    let domains = fleet.regions().allowed_domains(request.regions);
    let in_region =
        |server: &&Server| domains.as_ref().is_none_or(|some| some.contains(&&server.info.domain));
    let in_use = |server: &&Server| !fleet.is_evacuated(&server.info.domain);
    let eligible = || fleet.servers_of(request.service).filter(allowed);
    let candidates: Vec<&Server> = eligible().filter(in_use).filter(in_region).collect();
    if candidates.is_empty() {
        return Err(match (eligible().next(), eligible().find(in_region)) {
            (None, _) => PlacementError::NoServer,
            (Some(_), None) => PlacementError::OutsideRegions,
            (Some(_), Some(_)) => PlacementError::Evacuated,
        });
    }
    let is_unreachable =
        |server: &Server| server.unreachable_since.is_some() && !request.ignore_reach;
    let prompt = Prompt::new(request);
    let home = Home::choose(&candidates, request, now);
    let seed = draw.to_bits();
    let mut best: Option<Candidate> = None;
    let mut full_until: Option<MonotonicTime> = None;
    let mut was_not_asked = false;
    for server in home.server.into_iter().chain(sample_candidates(&candidates, seed)) {
        if request.tried.contains(&server.info.id) {
            continue;
        }
        if let Some(until) = unavailable_until(server, request, now) {
            full_until = Some(full_until.map_or(until, |other| other.min(until)));
            continue;
        }
        if server.needs_permit(now) && !request.may_ask {
            was_not_asked = true;
            continue;
        }
        let is_home = home.is(server);
        let assumed = if is_home { home.cached_fraction() } else { 0.0 };
        let prefill_tokens = prompt.uncached_tokens(server, assumed, now) * request.work_factor;
        let estimate_ms = estimate(server, request, prefill_tokens, now);
        let crosses_domain = server.info.domain != *request.domain && !(is_home && home.spread);
        let cost = estimate_ms
            + FAILURE_PENALTY_MS * server.failure_rate(now)
            + RETURN_PENALTY_MS * server.return_fraction(now)
            + if crosses_domain { CROSS_DOMAIN_PENALTY_MS } else { 0.0 }
            + if is_unreachable(server) || server.presumed_gone(now) {
                UNREACHABLE_PENALTY_MS
            } else {
                0.0
            }
            + (mix(server.id_hash ^ seed) % 64) as f64 / 32.0;
        if best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Candidate { cost, estimate_ms, prefill_tokens, server });
        }
    }
    let full_until = full_until.or(was_not_asked.then_some(now));
    let Candidate { estimate_ms, prefill_tokens, server, .. } =
        best.ok_or(full_until.map_or(PlacementError::AllTried, PlacementError::Full))?;
    Ok(Placement {
        server: server.info.id.clone(),
        estimate_ms,
        prefill_tokens,
        needs_permit: server.needs_permit(now),
        unreachable: is_unreachable(server),
    })
}

/// Returns the time that a server takes to process a prompt, in ms, if it has none of its parts
/// cached.
pub fn prompt_processing_ms(parts: &[PromptPart], work_factor: f64) -> f64 {
    let tokens: f64 = parts.iter().map(|part| f64::from(part.tokens)).sum();
    tokens * work_factor / PREFILL_TOKENS_PER_MS
}

/// Returns until when a server can't get this request, because it is paused or denies permits, if
/// that is so.
fn unavailable_until(
    server: &Server,
    request: &PlacementRequest,
    now: MonotonicTime,
) -> Option<MonotonicTime> {
    server.paused_until(now).max(server.denied_until(request.priority, now))
}

/// A server with its estimated time and cost.
struct Candidate<'a> {
    cost: f64,
    estimate_ms: f64,
    prefill_tokens: f64,
    server: &'a Server,
}

/// Returns all candidates or, if there are many, a subset that differs from request
/// to request.
fn sample_candidates<'a>(candidates: &[&'a Server], seed: u64) -> impl Iterator<Item = &'a Server> {
    let start = mix(seed) as usize % candidates.len();
    let (before, after) = candidates.split_at(start);
    after.iter().chain(before).take(MAX_CANDIDATES).copied()
}

/// The home server of a prompt's deepest shared part, which all instances choose by rendezvous
/// hashing. Servers that limit their rate or are cold are homes only if all do or are.
struct Home<'a> {
    server: Option<&'a Server>,
    /// Whether the service has so many servers that its homes are spread over all domains
    /// without regard to the local one.
    spread: bool,
}

impl<'a> Home<'a> {
    fn choose(candidates: &[&'a Server], request: &PlacementRequest, now: MonotonicTime) -> Self {
        let Some(shared) = request.parts.len().checked_sub(2) else {
            return Home { server: None, spread: false };
        };
        let key = hash_parts(&[request.model.as_bytes(), &request.parts[shared].id.to_le_bytes()]);
        let is_local = |server: &&&Server| server.info.domain == *request.domain;
        let spread = candidates.iter().filter(is_local).count() >= MIN_REMOTE_HOMES;
        let is_free = |server: &Server| server.rate_limit.rate.is_none() && !server.is_cold(now);
        let server = candidates
            .iter()
            .copied()
            .max_by_key(|server| (is_free(server), mix(server.id_hash ^ key)));
        Home { server, spread }
    }

    fn is(&self, server: &Server) -> bool {
        self.server.is_some_and(|home| home.id_hash == server.id_hash)
    }

    /// Returns the fraction of a prompt's shared parts that the home is assumed to have cached.
    fn cached_fraction(&self) -> f64 {
        if self.spread { SPREAD_HOME_CACHED_FRACTION } else { HOME_CACHED_FRACTION }
    }
}

/// A prompt as processed by one model, with lengths in tokens.
struct Prompt {
    parts: Vec<(PromptPartKey, f64)>,
    total: f64,
    /// Length of all parts but the last, which is specific to the request.
    shared: f64,
}

impl Prompt {
    fn new(request: &PlacementRequest) -> Self {
        let key = |part: &PromptPart| {
            (PromptPartKey::new(request.model, part.id), f64::from(part.tokens))
        };
        let parts: Vec<(PromptPartKey, f64)> = request.parts.iter().map(key).collect();
        let total = parts.iter().map(|(_, tokens)| tokens).sum();
        let own = parts.last().map_or(0.0, |(_, tokens)| *tokens);
        Prompt { parts, total, shared: total - own }
    }

    /// Returns the tokens that are probably not in the server's cache; `assumed` is the fraction
    /// of the shared parts that is taken to be there in any case.
    fn uncached_tokens(&self, server: &Server, assumed: f64, now: MonotonicTime) -> f64 {
        let cached = self.parts.iter().take_while(|(part, _)| server.caches(*part, now));
        let cached_tokens: f64 = cached.map(|(_, tokens)| tokens).sum();
        self.total - cached_tokens.max(assumed * self.shared)
    }
}

/// Estimates the time until the server begins the answer, in ms.
fn estimate(
    server: &Server,
    request: &PlacementRequest,
    prefill_tokens: f64,
    now: MonotonicTime,
) -> f64 {
    let load = server.load(now);
    let slots = f64::from(server.info.slots.max(1));
    let queue = (load + 1.0 - slots).max(0.0) * QUEUE_DELAY_MS;
    let processing = if request.parts.is_empty() {
        load * CONCURRENCY_DELAY_MS
    } else {
        (prefill_tokens + PREFILL_BACKLOG_FRACTION * server.prefill_backlog())
            / PREFILL_TOKENS_PER_MS
            + load * BATCH_DELAY_MS
    };
    (processing + queue) * server.slowdown(now)
}
