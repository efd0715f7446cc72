//! The directory of entry instances and backend servers.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use config::Name;
use policy::{ServerInfo, ServerState, rendezvous};
use store::{ListEntry, Role};

/// The most recent list of instances and servers from the platform.
#[derive(Debug, Default)]
pub struct Directory {
    list: RwLock<Arc<[ListEntry]>>,
    seeds: Vec<SocketAddr>,
}

impl Directory {
    /// Creates a directory that knows only the seed peers from the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Directory { list: RwLock::default(), seeds }
    }

    /// Replaces the list.
    pub fn update(&self, list: Vec<ListEntry>) {
        *self.list.write().unwrap() = list.into();
    }

    /// Returns the current list.
    pub fn list(&self) -> Arc<[ListEntry]> {
        self.list.read().unwrap().clone()
    }

    /// Returns the backend servers in the list.
    pub fn servers(&self) -> Vec<ServerInfo> {
        self.list().iter().filter_map(ListEntry::server).collect()
    }

    /// Returns the live entry instances other than `own`.
    pub fn peers(&self, own: &str) -> Vec<ListEntry> {
        let list = self.list();
        let live = |i: &&ListEntry| i.role == Role::Entry && i.state == ServerState::Live;
        list.iter().filter(live).filter(|i| *i.id != *own).cloned().collect()
    }

    /// Returns the addresses to contact for other instances' state: the live peers, or
    /// the seeds if there are none.
    pub fn contacts(&self, own: &str) -> Vec<SocketAddr> {
        let peers = self.peers(own);
        match peers.is_empty() {
            true => self.seeds.clone(),
            false => peers.iter().map(|peer| peer.addr).collect(),
        }
    }

    /// Returns the peers to hold copies of bills for `own`, in order of preference.
    /// They are in the given failure domain if `local` is true, and outside it
    /// otherwise.
    pub fn holders(&self, own: &str, domain: &Name, local: bool) -> Vec<SocketAddr> {
        let peers = self.peers(own);
        let members: Vec<&ListEntry> =
            peers.iter().filter(|peer| (peer.domain == *domain) == local).collect();
        let ranked = rendezvous(own, members.iter().map(|peer| &*peer.id));
        let addr = |id: &str| members.iter().find(|peer| *peer.id == *id).map(|peer| peer.addr);
        ranked.into_iter().filter_map(addr).collect()
    }
}
