//! How an instance finds the others, and how hubs keep the list of members in the store.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dispatch::MonotonicTime;
use members::Member;
use serde_json::json;

use crate::event_log::log_event;
use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::tables::StoreError;

/// Interval at which a starting instance checks whether others answered.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long an instance that read the list waits for the listed ones to answer.
const GREETING_PATIENCE: Duration = Duration::from_millis(400);
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of failed calls after which a starting instance goes on alone.
const MAX_JOIN_ATTEMPTS: u32 = 4;
/// Interval at which an instance checks whether it has become hub.
const HUB_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a hub reads the list again, in case others can't reach it.
const LIST_INTERVAL: Duration = Duration::from_secs(60);

/// The list of members in the store. Hubs register; so does an instance that finds no
/// other.
pub trait MemberDirectory {
    /// Returns the listed members.
    fn list(&self) -> impl Future<Output = Result<Vec<Member>, StoreError>>;

    /// Lists a member and removes others that are gone.
    fn register(
        &self,
        member: &Member,
        gone: &[Member],
    ) -> impl Future<Output = Result<(), StoreError>>;
}

/// Joins the other instances, through seeds or else through the directory, and keeps the
/// directory up to date while this instance is a hub, until the process ends.
pub async fn join<D, M: MemberDirectory>(gateway: Rc<Gateway<D>>, peers: Rc<Peers>, directory: M) {
    loop {
        let (joined, lacks_seeds) = {
            let membership = peers.membership();
            (membership.has_joined(), membership.lacks_seeds(gateway.now()))
        };
        if joined {
            break;
        }
        if lacks_seeds {
            join_through_directory(&gateway, &peers, &directory).await;
            break;
        }
        tokio::time::sleep(JOIN_POLL_INTERVAL).await;
    }
    peers.complete_join();
    let members = peers.membership().instances(gateway.now());
    log_event("joined", gateway.now(), json!({ "members": members }));
    keep_directory(&gateway, &peers, &directory).await;
}

/// Registers this instance, then greets the listed ones.
///
/// Every instance registers before it reads, so of any two instances at least one finds
/// the other.
async fn join_through_directory<D>(
    gateway: &Gateway<D>,
    peers: &Peers,
    directory: &impl MemberDirectory,
) {
    let own = peers.membership().own().clone();
    for _ in 0..MAX_JOIN_ATTEMPTS {
        if peers.membership().has_joined() {
            return;
        }
        let registered = directory.register(&own, &[]).await;
        let listed = match registered {
            Ok(()) => directory.list().await,
            Err(error) => Err(error),
        };
        match listed {
            Ok(members) => {
                peers.greet(&members, gateway.now()).await;
                if members.iter().any(|member| member.addr != own.addr) {
                    tokio::time::sleep(GREETING_PATIENCE).await;
                }
                return;
            }
            Err(error) => log::debug!("cannot use the member directory: {error}"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Registers this instance when it has become hub, removes dead instances of its domain,
/// and greets listed ones that it does not know.
async fn keep_directory<D>(gateway: &Gateway<D>, peers: &Peers, directory: &impl MemberDirectory) {
    let mut was_hub = false;
    // When the list was read last, and in which era of the store.
    let mut last_read: Option<(MonotonicTime, u64)> = None;
    loop {
        tokio::time::sleep(HUB_POLL_INTERVAL).await;
        let now = gateway.now();
        let is_hub = peers.is_hub(now);
        if !(is_hub && was_hub) {
            (was_hub, last_read) = (is_hub, None);
            continue;
        }
        let era = peers.store_era();
        let is_current = last_read.is_some_and(|(at, known_era)| {
            known_era == era && now.saturating_sub(at) < LIST_INTERVAL
        });
        if is_current {
            continue;
        }
        match update_directory(gateway, peers, directory).await {
            Ok(()) => last_read = Some((now, era)),
            Err(error) => log::debug!("cannot update the member directory: {error}"),
        }
    }
}

async fn update_directory<D>(
    gateway: &Gateway<D>,
    peers: &Peers,
    directory: &impl MemberDirectory,
) -> Result<(), StoreError> {
    let listed = directory.list().await?;
    let own = peers.membership().own().clone();
    let now = gateway.now();
    let gone: Vec<Member> = {
        let membership = peers.membership();
        let is_gone = |member: &&Member| member.addr != own.addr && membership.is_gone(member, now);
        listed.iter().filter(is_gone).cloned().collect()
    };
    if !listed.contains(&own) || !gone.is_empty() {
        directory.register(&own, &gone).await?;
        log_event("registered", now, json!({ "removed": gone.len() }));
    }
    peers.greet(&listed, now).await;
    Ok(())
}
