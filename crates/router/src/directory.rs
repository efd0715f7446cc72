//! The directory of entry instances and backend servers.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use config::Name;
use policy::{ServerInfo, ServerState, rendezvous};
use store::{Instance, Role};

/// What the platform's list said last.
#[derive(Debug, Default)]
pub struct Directory {
    list: RwLock<Arc<[Instance]>>,
    seeds: Vec<SocketAddr>,
}

impl Directory {
    /// A directory that knows only the peers named in the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Directory { list: RwLock::default(), seeds }
    }

    /// Takes over a new list.
    pub fn update(&self, list: Vec<Instance>) {
        *self.list.write().unwrap() = list.into();
    }

    /// The list.
    pub fn list(&self) -> Arc<[Instance]> {
        self.list.read().unwrap().clone()
    }

    /// The backend servers.
    pub fn servers(&self) -> Vec<ServerInfo> {
        self.list().iter().filter_map(Instance::server).collect()
    }

    /// Live entry instances other than `own`.
    pub fn peers(&self, own: &str) -> Vec<Instance> {
        let list = self.list();
        let live = |i: &&Instance| i.role == Role::Entry && i.state == ServerState::Live;
        list.iter().filter(live).filter(|i| *i.id != *own).cloned().collect()
    }

    /// Addresses to ask for what other instances know: the list's, or the seeds.
    pub fn contacts(&self, own: &str) -> Vec<SocketAddr> {
        let peers = self.peers(own);
        match peers.is_empty() {
            true => self.seeds.clone(),
            false => peers.iter().map(|peer| peer.addr).collect(),
        }
    }

    /// The peers that keep copies for `own`, best first, within a domain or outside it.
    pub fn holders(&self, own: &str, domain: &Name, inside: bool) -> Vec<SocketAddr> {
        let peers = self.peers(own);
        let side: Vec<&Instance> =
            peers.iter().filter(|peer| (peer.domain == *domain) == inside).collect();
        let ranked = rendezvous(own, side.iter().map(|peer| &*peer.id));
        let addr = |id: &str| side.iter().find(|peer| *peer.id == *id).map(|peer| peer.addr);
        ranked.into_iter().filter_map(addr).collect()
    }
}
