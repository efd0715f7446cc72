//! An entry instance: its services and listeners, its startup and shutdown.

mod bills;
mod configuration;
mod directory;
mod gossip;
mod halts;
mod instance;
mod operators;
mod pacing;
mod settings;
mod ticker;

pub use instance::Entry;
pub use settings::{Settings, SettingsBuilder};
