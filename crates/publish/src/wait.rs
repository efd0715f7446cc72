//! Waiting until a publication is in force everywhere.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use config::Name;
use policy::{CONFIRMATION_TTL, ServerState};
use store::{InstanceList, Role, Table};

/// The prefix of the rows by which instances say what they have in force.
const ACK_PREFIX: &str = "ack/";
/// How often the rows are read.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// What clocks may differ by in the length of a grant.
const DRIFT: Duration = Duration::from_millis(500);

/// Where a publication is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// Instances that said they have it.
    pub acknowledged: BTreeSet<Name>,
    /// Listed instances that did not, and whose grant has run out: they are
    /// cut off, send nothing to versions in roll-out, and serve stable ones
    /// only where the route says so.
    pub cut_off: BTreeSet<Name>,
    /// Listed instances that did not, and may still act on what was before.
    pub missing: BTreeSet<Name>,
}

impl InForce {
    /// Whether no instance acts on what was before as if it were confirmed.
    pub fn everywhere(&self) -> bool {
        self.missing.is_empty()
    }
}

/// Waits until `number` is in force everywhere, or the limit is over.
///
/// `progress` is called after each look.
pub async fn wait_in_force<P: Table + InstanceList + Sync>(
    platform: &P,
    number: u64,
    limit: Duration,
    mut progress: impl FnMut(&InForce),
) -> InForce {
    let start = Instant::now();
    loop {
        let state = look(platform, number, start.elapsed()).await;
        if let Some(state) = state {
            progress(&state);
            if state.everywhere() || start.elapsed() >= limit {
                return state;
            }
        } else if start.elapsed() >= limit {
            let none = BTreeSet::new;
            return InForce { acknowledged: none(), cut_off: none(), missing: none() };
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn look<P: Table + InstanceList + Sync>(
    platform: &P,
    number: u64,
    waited: Duration,
) -> Option<InForce> {
    let list = platform.list().await.ok()?;
    let rows = platform.scan_all(ACK_PREFIX).await.ok()?;
    let has = rows.iter().filter(|row| row.value["number"].as_u64() >= Some(number));
    let acknowledged: BTreeSet<Name> =
        has.filter_map(|row| row.key.strip_prefix(ACK_PREFIX)).map(Name::from).collect();
    let listed = list.into_iter().filter(|i| i.role == Role::Entry && i.state == ServerState::Live);
    let without: BTreeSet<Name> =
        listed.map(|instance| instance.id).filter(|id| !acknowledged.contains(id)).collect();
    let lapsed = waited >= CONFIRMATION_TTL + DRIFT;
    let (cut_off, missing) =
        if lapsed { (without, BTreeSet::new()) } else { (BTreeSet::new(), without) };
    Some(InForce { acknowledged, cut_off, missing })
}
