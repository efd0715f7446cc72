//! Waits until all instances have activated a configuration.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use config::Name;
use policy::{CONFIRMATION_TTL, ServerState};
use store::{InstanceList, Role, Table};

/// The key prefix of the rows in which instances acknowledge their active configuration.
const ACK_PREFIX: &str = "ack/";
/// The interval at which the rows are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The clock drift to allow for while a confirmation is valid.
const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(500);

/// The instances that have and have not activated a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Propagation {
    /// Instances that acknowledged the configuration.
    pub acknowledged: BTreeSet<Name>,
    /// Listed instances that did not acknowledge it, but whose confirmation of the
    /// previous configuration has expired. They send nothing to versions in rollout,
    /// and serve stable versions only on routes that allow it.
    pub disconnected: BTreeSet<Name>,
    /// Listed instances that did not acknowledge it, and whose confirmation of the
    /// previous configuration may still be valid.
    pub missing: BTreeSet<Name>,
}

impl Propagation {
    /// Whether no instance can still treat the previous configuration as confirmed.
    ///
    /// Also true if no instance is known; see [`wait_until_active`].
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}

/// Waits until the propagation of configuration `number` is complete, or the timeout
/// expires.
///
/// `progress` is called after each successful poll. If the platform is unavailable when
/// the timeout expires, the result contains no instances.
pub async fn wait_until_active<P: Table + InstanceList + Sync>(
    platform: &P,
    number: u64,
    timeout: Duration,
    mut progress: impl FnMut(&Propagation),
) -> Propagation {
    let start = Instant::now();
    loop {
        let state = poll(platform, number, start.elapsed()).await;
        if let Some(state) = state {
            progress(&state);
            if state.is_complete() || start.elapsed() >= timeout {
                return state;
            }
        } else if start.elapsed() >= timeout {
            let none = BTreeSet::new;
            return Propagation { acknowledged: none(), disconnected: none(), missing: none() };
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the instance list and the acknowledgements; `None` if the platform is unavailable.
async fn poll<P: Table + InstanceList + Sync>(
    platform: &P,
    number: u64,
    elapsed: Duration,
) -> Option<Propagation> {
    let list = platform.list().await.ok()?;
    let rows = platform.scan_all(ACK_PREFIX).await.ok()?;
    let current = rows.iter().filter(|row| row.value["number"].as_u64() >= Some(number));
    let acknowledged: BTreeSet<Name> =
        current.filter_map(|row| row.key.strip_prefix(ACK_PREFIX)).map(Name::from).collect();
    let listed = list.into_iter().filter(|i| i.role == Role::Entry && i.state == ServerState::Live);
    let unacknowledged: BTreeSet<Name> =
        listed.map(|instance| instance.id).filter(|id| !acknowledged.contains(id)).collect();
    // The new head row was written before the wait began, and an instance can't renew its
    // confirmation without reading it.
    let expired = elapsed >= CONFIRMATION_TTL + MAX_CLOCK_DRIFT;
    let (disconnected, missing) =
        if expired { (unacknowledged, BTreeSet::new()) } else { (BTreeSet::new(), unacknowledged) };
    Some(Propagation { acknowledged, disconnected, missing })
}
