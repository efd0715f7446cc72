//! Publishing: collects route files, validates them and makes them the active configuration.

mod collect;
mod prepare;
mod publication;
mod wait;

pub use collect::{Collected, collect};
pub use publication::{
    Conflict, Plan, Publication, PublishError, Published, plan, publish, read_head,
};
pub use wait::{Propagation, wait_until_active};
