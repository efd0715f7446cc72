//! State shared by the parts of one entry instance: the decision core with its clock,
//! the bills, the directory of peers, and the metrics.

mod bills;
mod clock;
mod directory;
mod ids;
mod metrics;
mod router;
mod shared;

pub use bills::{Bills, Durability};
pub use clock::Clock;
pub use directory::Directory;
pub use ids::{bill_id, new_id};
pub use metrics::{AttemptKind, BillState, ClaimResult, Metrics, OrderOutcome, RequestOutcome};
pub use router::{RequestHandle, Router};
pub use shared::{Shared, SharedBuilder};
