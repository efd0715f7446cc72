//! The platform's list of instances and backend servers, which may be out of date.

use std::future::Future;
use std::net::SocketAddr;

use config::Name;
use policy::{ServerInfo, ServerState};
use serde::{Deserialize, Serialize};

use crate::table::StoreError;

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListEntry {
    /// The unique id.
    pub id: Name,
    /// The address that it listens on; for an entry instance, the listener for peers.
    pub addr: SocketAddr,
    /// The failure domain.
    pub domain: Name,
    /// The kind of process.
    pub role: Role,
    /// Whether it is live or shutting down.
    pub state: ServerState,
    /// The versions or services that a backend server provides.
    #[serde(default)]
    pub serves: Vec<Name>,
    /// How many requests a backend server runs concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Whether a model engine rejects requests with an outdated fencing number.
    #[serde(default)]
    pub fenced: bool,
}

/// The kind of process that a list entry describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

impl ListEntry {
    /// Converts the entry for the decision core; `None` for entry instances.
    pub fn server(&self) -> Option<ServerInfo> {
        match self.role {
            Role::Entry => None,
            Role::Engine | Role::Service => Some(ServerInfo {
                id: self.id.clone(),
                addr: self.addr,
                domain: self.domain.clone(),
                serves: self.serves.clone(),
                slots: self.slots.max(1),
                state: self.state,
            }),
        }
    }
}

/// The platform's instance list.
pub trait InstanceList {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<ListEntry>, StoreError>> + Send;
}
