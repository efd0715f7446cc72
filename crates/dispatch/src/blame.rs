//! Finds parts of prompts that crash the servers which answer them.
//!
//! When a server crashes, each request that it had not begun to answer is suspect, and
//! so is each shared part of their prompts. A part is blocked once it is the best
//! explanation of several crashes under different requests: fewest parts that explain
//! all crashes, deeper parts before the ones that precede them. A part that was answered
//! is cleared, whoever asked. Requests differ in their last part, which is therefore left
//! to the memory of whole requests.
//!
//! Every instance holds the crashes and answers that any of them saw, and draws the same
//! conclusions from them.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{MonotonicTime, PromptPart};

/// Crashes of one server that are reported within this time are the same crash.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// How long after a crash no part is blocked for it: other instances may report requests
/// that were running, too.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// How long a crash is remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of remembered crashed requests.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspect parts of a request, the deepest ones.
const MAX_PARTS: usize = 8;
/// Maximum number of blocked parts.
const MAX_BLOCKED: usize = 1_024;
/// Number of answered parts that are remembered at least; at most twice as many are.
const ANSWERED_PARTS: usize = 16_384;
/// Number of crashes from which on a part is suspect: a request with it is sent once only.
const SUSPECT_CRASHES: usize = 3;
/// Number of crashes from which on a part is blocked.
const BLOCK_CRASHES: usize = 3;
/// Number of crashes from which on a part is blocked, beside those under any one request:
/// that request may be to blame as a whole.
const BLOCK_OTHER_CRASHES: usize = 1;
/// Number of crashes and crashed requests together from which on a part is blocked.
const BLOCK_SCORE: usize = 6;
/// By how much more is needed to block a part that was answered before the crashes.
const ANSWERED_FACTOR: usize = 2;
/// How long after it was blocked a part is first tried again; grows by [`TRY_FACTOR`] with
/// each try.
const TRY_DELAY: Duration = Duration::from_secs(3);
const TRY_FACTOR: u32 = 10;
/// Number of tries after which the delay no longer grows.
const MAX_TRY_STEPS: u32 = 5;
/// How long reports include a crash, an answer that cleared a part, or a try.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of entries of each kind in a report, so that it fits into a datagram.
const MAX_REPORTED: usize = 32;

/// A request that had not begun to be answered when its server crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRequest {
    /// Hash of the server's id.
    pub server: u64,
    /// Hash that identifies the request.
    pub request: u64,
    /// Shared parts of its prompt that may be to blame, with their positions.
    pub parts: Vec<(u8, u64)>,
}

impl BlameReport {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty() && self.blocked.is_empty()
    }

    /// Whether it holds only what has been known for some time.
    pub fn is_settled(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty()
    }
}

/// Whether a request may be sent, as far as its prompt is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing speaks against the prompt.
    Clear,
    /// The request may be sent once: a part of its prompt may crash servers.
    Suspect,
    /// A part of the prompt crashes servers.
    Blocked,
}

/// A change of what is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlameChange {
    /// A part was blocked after this number of crashes under this number of requests.
    Blocked {
        /// Id of the part.
        part: u64,
        /// Number of crashes.
        crashes: usize,
        /// Number of requests.
        requests: usize,
    },
    /// Another instance reported that a part is blocked.
    Reported(u64),
    /// A blocked part was answered.
    Unblocked(u64),
}

/// What instances tell each other. Ages are in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlameReport {
    /// Crashed requests and the ages of the crashes.
    pub crashes: Vec<(CrashedRequest, u64)>,
    /// Disputed parts that were answered, and the ages of the last answers.
    pub answered: Vec<(u64, u64)>,
    /// Blocked parts.
    pub blocked: Vec<BlockReport>,
}

/// A blocked part, as instances tell each other. Ages are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockReport {
    /// Id of the part.
    pub part: u64,
    /// Age of the first crash.
    pub crash_age: u64,
    /// Number of times that the part was tried again.
    pub tries: u32,
    /// Age of the last try.
    pub try_age: u64,
    /// The number of tries that the store knows of, if it knows of the block.
    pub stored: Option<u32>,
}

/// The crashes and answers known to one instance.
#[derive(Debug, Default)]
pub struct Blame {
    crashes: VecDeque<(CrashedRequest, MonotonicTime)>,
    blocked: BTreeMap<u64, Block>,
    answered: AnsweredParts,
    /// Answers that cleared a part, and when.
    cleared: VecDeque<(u64, MonotonicTime)>,
    /// Parts in enough unexplained crashes to be suspect.
    suspects: HashSet<u64>,
    /// When the last crash has settled, if parts may be blocked for it then.
    settled_at: Option<MonotonicTime>,
}

/// Result of merging a report.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether anything in the report was new.
    pub news: bool,
    /// Whether this instance knows answers that speak against the report.
    pub rebuttal: bool,
    /// What followed from the report.
    pub changes: Vec<BlameChange>,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    first_crash: MonotonicTime,
    tries: u32,
    last_try: MonotonicTime,
    /// The number of tries that the store knows of, if it knows of the block.
    stored: Option<u32>,
}

/// The parts that were answered lately and when, in two generations.
#[derive(Debug, Default)]
struct AnsweredParts {
    young: HashMap<u64, MonotonicTime>,
    old: HashMap<u64, MonotonicTime>,
}

impl AnsweredParts {
    fn record(&mut self, part: u64, at: MonotonicTime) {
        if self.young.len() >= ANSWERED_PARTS {
            self.old = std::mem::take(&mut self.young);
        }
        let last = self.young.entry(part).or_insert(at);
        *last = at.max(*last);
    }

    fn last(&self, part: u64) -> Option<MonotonicTime> {
        self.young.get(&part).or_else(|| self.old.get(&part)).copied()
    }
}

/// The shared parts of a prompt: all but the last, with their positions.
fn shared_parts(prompt: &[PromptPart]) -> impl DoubleEndedIterator<Item = (u8, u64)> {
    let shared = prompt.len().saturating_sub(1);
    prompt[..shared].iter().enumerate().map(|(depth, part)| (depth.min(255) as u8, part.id))
}

impl Blame {
    /// Records that a server crashed before it began to answer a request.
    pub fn record_crash(
        &mut self,
        server: u64,
        request: u64,
        prompt: &[PromptPart],
        now: MonotonicTime,
    ) -> Vec<BlameChange> {
        let parts = shared_parts(prompt).rev().take(MAX_PARTS).collect();
        self.add_crash(CrashedRequest { server, request, parts }, now);
        self.conclude(now)
    }

    /// Returns when [`Self::settle`] is next due, if a crash has not settled yet.
    pub fn settled_at(&self) -> Option<MonotonicTime> {
        self.settled_at
    }

    /// Blocks parts for crashes that have settled by now.
    pub fn settle(&mut self, now: MonotonicTime) -> Vec<BlameChange> {
        match self.settled_at {
            Some(at) if at <= now => {
                self.settled_at = None;
                self.conclude(now)
            }
            _ => Vec::new(),
        }
    }

    /// Records that a request began to be answered.
    pub fn record_answer(&mut self, prompt: &[PromptPart], now: MonotonicTime) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        for (_, part) in shared_parts(prompt) {
            if self.clear(part, now) {
                changes.extend(self.unblock(part, now));
            }
        }
        changes
    }

    /// Whether each part of a prompt was answered lately.
    pub fn is_proven(&self, prompt: &[PromptPart]) -> bool {
        shared_parts(prompt).all(|(_, part)| self.answered.last(part).is_some())
    }

    /// Whether a request may be sent.
    pub fn verdict(&self, prompt: &[PromptPart]) -> Verdict {
        let verdicts = shared_parts(prompt).map(|(_, part)| {
            if self.blocked.contains_key(&part) {
                Verdict::Blocked
            } else if self.suspects.contains(&part) {
                Verdict::Suspect
            } else {
                Verdict::Clear
            }
        });
        verdicts.max().unwrap_or(Verdict::Clear)
    }

    /// Whether a request with blocked parts may be sent to find out whether they still crash
    /// servers; if so, this counts as a try. `stagger` delays this instance's turn.
    pub fn try_blocked(
        &mut self,
        prompt: &[PromptPart],
        stagger: Duration,
        now: MonotonicTime,
    ) -> bool {
        let parts: Vec<u64> = shared_parts(prompt)
            .map(|(_, part)| part)
            .filter(|p| self.blocked.contains_key(p))
            .collect();
        let is_due = parts.iter().all(|part| now >= self.blocked[part].next_try() + stagger);
        if is_due {
            for part in &parts {
                if let Some(block) = self.blocked.get_mut(part) {
                    block.tries += 1;
                    block.last_try = now;
                }
            }
        }
        is_due
    }

    /// Returns the number of blocked parts.
    pub fn blocked_parts(&self) -> usize {
        self.blocked.len()
    }

    /// Returns the blocked parts that the store does not know, and how often each was tried.
    pub fn unstored(&self) -> Vec<(u64, u32)> {
        let unstored = self.blocked.iter().filter(|(_, block)| block.stored != Some(block.tries));
        unstored.map(|(part, block)| (*part, block.tries)).collect()
    }

    /// Returns the blocked parts that the store knows.
    pub fn stored(&self) -> impl Iterator<Item = u64> {
        self.blocked.iter().filter(|(_, block)| block.stored.is_some()).map(|(part, _)| *part)
    }

    /// Records that the store knows of a block.
    pub fn mark_stored(&mut self, part: u64, tries: u32) {
        if let Some(block) = self.blocked.get_mut(&part) {
            block.stored = block.stored.max(Some(tries));
        }
    }

    /// Adds the blocked parts that the store knows, with the number of tries of each.
    pub fn load(&mut self, stored: &[(u64, u32)], now: MonotonicTime) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        for (part, tries) in stored.iter().copied() {
            if self.answered.last(part).is_some() {
                continue;
            }
            if !self.blocked.contains_key(&part) {
                self.block(part, Block { first_crash: now, tries, last_try: now, stored: None });
                changes.push(BlameChange::Reported(part));
            }
            self.mark_stored(part, tries);
        }
        changes
    }

    /// Whether a part is blocked.
    pub fn is_blocked(&self, part: u64) -> bool {
        self.blocked.contains_key(&part)
    }

    /// Returns what other instances need to know.
    pub fn report(&self, now: MonotonicTime) -> BlameReport {
        let age = |at: MonotonicTime| now.saturating_sub(at).as_millis() as u64;
        let recent = |at: &MonotonicTime| now.saturating_sub(*at) < REPORT_TIME;
        let crashes = self.crashes.iter().rev().filter(|(_, at)| recent(at)).take(MAX_REPORTED);
        let disputed: HashSet<u64> = crashes
            .clone()
            .flat_map(|(crash, _)| crash.parts.iter().map(|(_, part)| *part))
            .collect();
        let answered = disputed.iter().filter_map(|part| Some((*part, self.answered.last(*part)?)));
        let cleared = self.cleared.iter().rev().filter(|(_, at)| recent(at)).copied();
        BlameReport {
            crashes: crashes.map(|(crash, at)| (crash.clone(), age(*at))).collect(),
            answered: cleared
                .chain(answered)
                .take(MAX_REPORTED)
                .map(|(p, at)| (p, age(at)))
                .collect(),
            blocked: self
                .blocked
                .iter()
                .take(MAX_REPORTED)
                .map(|(part, block)| BlockReport {
                    part: *part,
                    crash_age: age(block.first_crash),
                    tries: block.tries,
                    try_age: age(block.last_try),
                    stored: block.stored,
                })
                .collect(),
        }
    }

    /// Merges what another instance reports.
    pub fn merge(&mut self, report: BlameReport, now: MonotonicTime) -> MergeOutcome {
        let at = |age: u64| now.saturating_sub(Duration::from_millis(age));
        let mut outcome = MergeOutcome::default();
        for (crash, age) in report.crashes {
            let answered = crash.parts.iter().filter_map(|(_, part)| {
                let answer = self.answered.last(*part)?;
                Some((*part, answer))
            });
            let answered: Vec<(u64, MonotonicTime)> = answered.collect();
            for (part, answer) in answered.iter().filter(|(_, answer)| *answer >= at(age)) {
                self.note_cleared(*part, *answer);
                outcome.rebuttal = true;
            }
            if self.add_crash(crash, at(age)) {
                outcome.news = true;
                outcome.rebuttal |= !answered.is_empty();
            }
        }
        for BlockReport { part, crash_age, tries, try_age, stored } in report.blocked {
            let (first_crash, last_try) = (at(crash_age), at(try_age));
            if let Some(answer) = self.answered.last(part).filter(|answer| *answer > first_crash) {
                self.note_cleared(part, answer);
                outcome.rebuttal = true;
                continue;
            }
            match self.blocked.get_mut(&part) {
                Some(block) => {
                    if tries > block.tries {
                        (block.tries, block.last_try) = (tries, last_try);
                        outcome.news = true;
                    }
                    if stored > block.stored {
                        block.stored = stored;
                        outcome.news = true;
                    }
                }
                None => {
                    self.block(part, Block { first_crash, tries, last_try, stored });
                    outcome.changes.push(BlameChange::Reported(part));
                    outcome.news = true;
                }
            }
        }
        for (part, age) in report.answered {
            if self.clear(part, at(age)) {
                outcome.news = true;
                outcome.changes.extend(self.unblock(part, at(age)));
            }
        }
        if outcome.news {
            outcome.changes.extend(self.conclude(now));
        }
        outcome
    }

    /// Adds a crash unless it is known; returns whether it was new.
    fn add_crash(&mut self, mut crash: CrashedRequest, at: MonotonicTime) -> bool {
        let is_same = |(known, known_at): &(CrashedRequest, MonotonicTime)| {
            known.server == crash.server
                && known.request == crash.request
                && known_at.abs_diff(at) < SAME_CRASH
        };
        if self.crashes.iter().any(is_same) {
            return false;
        }
        crash.parts.retain(|(_, part)| self.answered.last(*part).is_none_or(|answer| answer < at));
        if crash.parts.is_empty() {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((crash, at));
        self.settled_at = self.settled_at.max(Some(at + SETTLING_TIME));
        true
    }

    /// Records that a part was answered, and clears it of earlier crashes; returns whether
    /// it was suspect.
    fn clear(&mut self, part: u64, at: MonotonicTime) -> bool {
        self.answered.record(part, at);
        let mut disputed = self.blocked.get(&part).is_some_and(|block| at > block.first_crash);
        for (crash, _) in self.crashes.iter_mut().filter(|(_, crash_at)| *crash_at <= at) {
            let parts = crash.parts.len();
            crash.parts.retain(|(_, suspect)| *suspect != part);
            disputed |= crash.parts.len() < parts;
        }
        if disputed {
            self.crashes.retain(|(crash, _)| !crash.parts.is_empty());
            self.suspects.remove(&part);
            self.note_cleared(part, at);
        }
        disputed
    }

    /// Records an answer that others need to know of.
    fn note_cleared(&mut self, part: u64, at: MonotonicTime) {
        self.cleared.retain(|(known, _)| *known != part);
        if self.cleared.len() >= MAX_REPORTED {
            self.cleared.pop_front();
        }
        self.cleared.push_back((part, at));
    }

    /// Unblocks a part that was answered after it was first suspected.
    fn unblock(&mut self, part: u64, answered_at: MonotonicTime) -> Option<BlameChange> {
        self.blocked.get(&part).filter(|block| answered_at > block.first_crash)?;
        self.blocked.remove(&part);
        Some(BlameChange::Unblocked(part))
    }

    /// Blocks the parts that explain enough crashes, and determines the suspects among the
    /// others.
    fn conclude(&mut self, now: MonotonicTime) -> Vec<BlameChange> {
        self.crashes.retain(|(_, at)| now.saturating_sub(*at) < CRASH_RETENTION);
        let mut changes = Vec::new();
        for _ in 0..MAX_REPORTED {
            let Some((part, first_crash, change)) = self.best_explanation(now) else { break };
            self.block(part, Block { first_crash, tries: 0, last_try: now, stored: None });
            changes.push(change);
        }
        let candidates = candidates(&self.unexplained_crashes());
        let is_suspect = |(part, candidate): &(u64, Candidate)| {
            candidate.crashes >= SUSPECT_CRASHES * self.factor(*part)
        };
        let suspects = candidates.into_iter().filter(is_suspect).map(|(part, _)| part).collect();
        self.suspects = suspects;
        changes
    }

    /// Blocks a part, in place of the one that was blocked or tried longest ago if there
    /// are too many.
    fn block(&mut self, part: u64, block: Block) {
        if self.blocked.len() >= MAX_BLOCKED
            && let Some(oldest) = self.blocked.iter().min_by_key(|(_, b)| b.last_try).map(|b| *b.0)
        {
            self.blocked.remove(&oldest);
        }
        self.blocked.insert(part, block);
    }

    /// Returns the part that explains most of the crashes that no blocked part explains, if
    /// these are enough to block it.
    fn best_explanation(&self, now: MonotonicTime) -> Option<(u64, MonotonicTime, BlameChange)> {
        let mut crashes = self.unexplained_crashes();
        crashes.retain(|crash| now.saturating_sub(crash.at) >= SETTLING_TIME);
        let mut candidates = candidates(&crashes);
        candidates.retain(|part, candidate| {
            let (factor, requests) = (self.factor(*part), candidate.requests.len());
            let under_one = candidate.requests.values().max().copied().unwrap_or_default();
            candidate.crashes >= BLOCK_CRASHES * factor
                && candidate.crashes - under_one >= BLOCK_OTHER_CRASHES * factor
                && candidate.crashes + requests >= BLOCK_SCORE * factor
        });
        let (part, best) =
            candidates.into_iter().max_by_key(|(_, best)| (best.crashes, best.depth))?;
        let with_part = crashes.iter().filter(|crash| crash.has(part));
        let first_crash = with_part.map(|crash| crash.at).min()?;
        let requests = best.requests.len();
        Some((part, first_crash, BlameChange::Blocked { part, crashes: best.crashes, requests }))
    }

    /// By how much more is needed to suspect or block a part.
    fn factor(&self, part: u64) -> usize {
        if self.answered.last(part).is_some() { ANSWERED_FACTOR } else { 1 }
    }

    /// Returns the crashes under which no request with a blocked part was running.
    fn unexplained_crashes(&self) -> Vec<Crash> {
        let mut by_server: BTreeMap<u64, Vec<Crash>> = BTreeMap::new();
        for (request, at) in &self.crashes {
            let crashes = by_server.entry(request.server).or_default();
            let known = crashes.iter().position(|crash| crash.at.abs_diff(*at) < SAME_CRASH);
            let index = known.unwrap_or(crashes.len());
            if known.is_none() {
                crashes.push(Crash { at: *at, parts: BTreeMap::new() });
            }
            for (depth, part) in &request.parts {
                let found = crashes[index].parts.entry(*part).or_default();
                found.depth = found.depth.max(*depth);
                found.requests.insert(request.request);
            }
        }
        let mut crashes: Vec<Crash> = by_server.into_values().flatten().collect();
        crashes.retain(|crash| !crash.parts.keys().any(|part| self.blocked.contains_key(part)));
        crashes
    }
}

impl Block {
    /// When the part may be tried again.
    fn next_try(&self) -> MonotonicTime {
        self.last_try + TRY_DELAY * TRY_FACTOR.pow(self.tries.min(MAX_TRY_STEPS))
    }
}

/// A crash of a server with the suspect parts of all requests that it had not begun to
/// answer.
#[derive(Debug)]
struct Crash {
    at: MonotonicTime,
    parts: BTreeMap<u64, FoundPart>,
}

impl Crash {
    fn has(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }
}

#[derive(Debug, Default)]
struct FoundPart {
    depth: u8,
    requests: HashSet<u64>,
}

/// A part that may explain crashes.
#[derive(Debug, Default)]
struct Candidate {
    crashes: usize,
    depth: u8,
    /// The crashed requests and under how many of the crashes each was running.
    requests: HashMap<u64, usize>,
}

/// Returns the parts in these crashes.
fn candidates(crashes: &[Crash]) -> BTreeMap<u64, Candidate> {
    let mut candidates: BTreeMap<u64, Candidate> = BTreeMap::new();
    for crash in crashes {
        for (part, found) in &crash.parts {
            let candidate = candidates.entry(*part).or_default();
            candidate.crashes += 1;
            candidate.depth = candidate.depth.max(found.depth);
            for request in &found.requests {
                *candidate.requests.entry(*request).or_default() += 1;
            }
        }
    }
    candidates
}
