//! The lagging list of instances and backend servers.

use std::future::Future;
use std::net::SocketAddr;

use config::Name;
use policy::{ServerInfo, ServerState};
use serde::{Deserialize, Serialize};

use crate::table::StoreError;

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// The name.
    pub id: Name,
    /// Where it listens; for an entry instance, its peers' listener.
    pub addr: SocketAddr,
    /// The failure domain.
    pub domain: Name,
    /// What it is.
    pub role: Role,
    /// Whether it is live or leaving.
    pub state: ServerState,
    /// Versions or services that a backend server has.
    #[serde(default)]
    pub serves: Vec<Name>,
    /// How many requests a backend server runs at a time.
    #[serde(default)]
    pub slots: u32,
    /// Whether a model engine refuses orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
}

/// What an entry of the list is.
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

impl Instance {
    /// The entry as the decision core takes it; `None` for entry instances.
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

/// The list.
pub trait Listing {
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<Instance>, StoreError>> + Send;
}
