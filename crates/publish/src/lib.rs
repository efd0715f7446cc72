//! The publishing step: collects route files, checks them, and puts them in force.

mod collect;
mod prepare;
mod publication;
mod wait;

pub use collect::{Collected, collect};
pub use publication::{
    Conflict, Plan, Publication, PublishError, Published, plan, publish, read_head,
};
pub use wait::{InForce, wait_in_force};
