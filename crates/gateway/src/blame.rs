//! Keeps requests from the servers whose prompts crash them, together with the other
//! instances.

use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{BlameChange, BlameReport, PromptPart, Verdict};
use policy::hash_parts;
use serde_json::json;

use crate::gateway::Gateway;
use crate::peers::{Message, Peers};
use crate::tables::StoreError;

/// Pause between two reports, so that the crashes of one moment are reported together.
const REPORT_PAUSE: Duration = Duration::from_millis(30);
/// Interval at which recent crashes and answers are reported again, since datagrams can be
/// lost.
const RECENT_REFRESH: Duration = Duration::from_secs(1);
/// Interval at which blocked parts are reported again.
const SETTLED_REFRESH: Duration = Duration::from_secs(10);
/// Delay between the turns of two hubs to send a request with a blocked part, or to store
/// a block.
const HUB_STAGGER: Duration = Duration::from_secs(1);
/// Interval at which a hub checks whether blocks are to be stored.
const STORE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed call to the store.
const STORE_BACKOFF: Duration = Duration::from_secs(2);

/// The blocked parts in the store, from which instances learn of them after all were
/// stopped.
pub trait BlockedParts {
    /// Returns the blocked parts, with the number of times that each was tried again.
    fn load(&self) -> impl Future<Output = Result<Vec<(u64, u32)>, StoreError>>;

    /// Stores a blocked part.
    fn save(&self, part: u64, tries: u32) -> impl Future<Output = Result<(), StoreError>>;

    /// Removes a part that is no longer blocked.
    fn remove(&self, part: u64) -> impl Future<Output = Result<(), StoreError>>;
}

/// Loads the blocked parts once this instance is a hub, and stores those that no other hub
/// has stored, until the process ends.
pub async fn keep_blocked_parts<D>(
    gateway: Rc<Gateway<D>>,
    peers: Rc<Peers>,
    store: impl BlockedParts,
) {
    let mut stored = None;
    let mut era = 0;
    loop {
        tokio::time::sleep(STORE_INTERVAL).await;
        let Some(position) = gateway.hub_position.get() else { continue };
        if peers.store_era() > era {
            // What was stored may be lost.
            era = peers.store_era();
            stored = None;
        }
        match &mut stored {
            None => stored = load_blocked_parts(&gateway, &store).await,
            Some(stored) => {
                tokio::time::sleep(HUB_STAGGER * position as u32).await;
                if peers.is_hub(gateway.now()) {
                    store_blocked_parts(&gateway, &store, stored).await;
                }
            }
        }
    }
}

/// Loads the blocked parts; `None` if the store does not answer.
async fn load_blocked_parts<D>(
    gateway: &Gateway<D>,
    store: &impl BlockedParts,
) -> Option<HashSet<u64>> {
    match store.load().await {
        Ok(parts) => {
            let changes = gateway.blame.borrow_mut().load(&parts, gateway.now());
            if !changes.is_empty() {
                gateway.log_blame(&changes);
                gateway.blame_changed.notify_one();
            }
            Some(parts.into_iter().map(|(part, _)| part).collect())
        }
        Err(error) => {
            log::debug!("cannot load the blocked parts: {error}");
            tokio::time::sleep(STORE_BACKOFF).await;
            None
        }
    }
}

/// Stores what has changed; `stored` holds the parts that this instance knows to be in the
/// store.
async fn store_blocked_parts<D>(
    gateway: &Gateway<D>,
    store: &impl BlockedParts,
    stored: &mut HashSet<u64>,
) {
    let unstored = gateway.blame.borrow().unstored();
    for (part, tries) in unstored {
        match store.save(part, tries).await {
            Ok(()) => {
                stored.insert(part);
                gateway.blame.borrow_mut().mark_stored(part, tries);
                gateway.blame_changed.notify_one();
            }
            Err(error) => {
                log::debug!("cannot store a blocked part: {error}");
                return tokio::time::sleep(STORE_BACKOFF).await;
            }
        }
    }
    stored.extend(gateway.blame.borrow().stored());
    let is_gone = |part: &&u64| !gateway.blame.borrow().is_blocked(**part);
    let gone: Vec<u64> = stored.iter().filter(is_gone).copied().collect();
    for part in gone {
        match store.remove(part).await {
            Ok(()) => _ = stored.remove(&part),
            Err(error) => {
                log::debug!("cannot remove a blocked part: {error}");
                return tokio::time::sleep(STORE_BACKOFF).await;
            }
        }
    }
}

impl<D> Gateway<D> {
    /// Records that a server crashed before it began to answer a request.
    pub(crate) fn blame_prompt(&self, server: &str, request: u64, prompt: &[PromptPart]) {
        let server = hash_parts(&[server.as_bytes()]);
        let changes = self.blame.borrow_mut().record_crash(server, request, prompt, self.now());
        self.log_blame(&changes);
        self.blame_changed.notify_one();
    }

    /// Records that a request began to be answered.
    pub(crate) fn clear_prompt(&self, prompt: &[PromptPart]) {
        let changes = self.blame.borrow_mut().record_answer(prompt, self.now());
        if !changes.is_empty() {
            self.log_blame(&changes);
            self.blame_changed.notify_one();
        }
    }

    /// Whether a request may be sent, as far as its prompt is concerned. One with a blocked
    /// part may be sent occasionally by a hub, to find out whether it still crashes
    /// servers.
    pub(crate) fn judge_prompt(&self, prompt: &[PromptPart]) -> Verdict {
        self.settle_blame();
        let mut blame = self.blame.borrow_mut();
        let verdict = blame.verdict(prompt);
        let Some(position) = self.hub_position.get().filter(|_| verdict == Verdict::Blocked) else {
            return verdict;
        };
        let stagger = HUB_STAGGER * position as u32;
        if !blame.try_blocked(prompt, stagger, self.now()) {
            return Verdict::Blocked;
        }
        self.event_log.write("part_tried", self.now(), || json!({ "parts": part_ids(prompt) }));
        self.blame_changed.notify_one();
        Verdict::Suspect
    }

    /// Blocks parts for crashes that have settled by now.
    fn settle_blame(&self) {
        let changes = self.blame.borrow_mut().settle(self.now());
        if !changes.is_empty() {
            self.log_blame(&changes);
            self.blame_changed.notify_one();
        }
    }

    fn log_blame(&self, changes: &[BlameChange]) {
        let now = self.now();
        for change in changes {
            match *change {
                BlameChange::Blocked { part, crashes, requests } => {
                    let fields = json!({
                        "part": part_id(part),
                        "crashes": crashes,
                        "requests": requests,
                    });
                    self.event_log.write("part_blocked", now, || fields);
                }
                BlameChange::Reported(part) => {
                    let fields = json!({ "part": part_id(part), "reported": true });
                    self.event_log.write("part_blocked", now, || fields);
                }
                BlameChange::Unblocked(part) => {
                    let fields = json!({ "part": part_id(part) });
                    self.event_log.write("part_unblocked", now, || fields);
                }
            }
        }
        self.metrics.blocked_parts.set(self.blame.borrow().blocked_parts() as i64);
    }
}

/// Formats the ids of the parts of a prompt for the log.
pub(crate) fn part_ids(prompt: &[PromptPart]) -> Vec<String> {
    prompt.iter().map(|part| part_id(part.id)).collect()
}

fn part_id(id: u64) -> String {
    format!("{id:x}")
}

impl Peers {
    /// Reports crashes and answers as they become known: an instance to its hub, a hub to
    /// its domain and the other hubs.
    pub(crate) async fn send_blame<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            gateway.settle_blame();
            let now = gateway.now();
            let (report, settled_at) = {
                let blame = gateway.blame.borrow();
                (blame.report(now), blame.settled_at())
            };
            let refresh = if report.is_settled() { SETTLED_REFRESH } else { RECENT_REFRESH };
            if !report.is_empty() {
                let receivers = self.news_receivers(now);
                self.send(&Message::Blame(report), &receivers).await;
            }
            tokio::time::sleep(REPORT_PAUSE).await;
            let wake_at = settled_at.unwrap_or(now + refresh).min(now + refresh);
            tokio::select! {
                () = gateway.blame_changed.notified() => {}
                () = tokio::time::sleep_until(gateway.instant(wake_at)) => {}
            }
        }
    }

    /// Merges what another instance reports. A hub passes news on.
    pub(crate) fn apply_blame<D>(&self, gateway: &Gateway<D>, report: BlameReport) {
        let now = gateway.now();
        let outcome = gateway.blame.borrow_mut().merge(report, now);
        gateway.log_blame(&outcome.changes);
        if outcome.rebuttal || outcome.news && self.is_hub(now) {
            gateway.blame_changed.notify_one();
        }
    }
}
