//! The instances that one instance knows, and when they last gave a sign of life.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use policy::hash_parts;

use crate::member::{Member, SuccessionKey};

/// Time without a sign of life after which an instance counts as gone: three lost
/// reports.
pub(crate) const MEMBER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time after which an instance that is gone is forgotten. Until then it is contacted
/// occasionally, in case it was cut off.
const FORGET_AFTER: Duration = Duration::from_secs(300);
/// Maximum number of known instances; bounds the memory that messages can take.
const MAX_ENTRIES: usize = 4_096;

/// Monotonic time since the start of the process.
pub(crate) type MonotonicTime = Duration;

/// An instance and its last signs of life.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub member: Member,
    pub key: SuccessionKey,
    /// When it became known.
    added_at: MonotonicTime,
    /// When it was last known to be alive, from its own messages or those of a hub;
    /// `None` if it was only listed in the store.
    pub alive_at: Option<MonotonicTime>,
    /// When it last sent a message.
    pub heard_at: Option<MonotonicTime>,
    /// Whether the hub no longer lists it.
    unlisted: bool,
    /// When it last sent a beat as hub.
    pub beat_at: Option<MonotonicTime>,
    /// Whether it announced its shutdown.
    pub left: bool,
}

impl Entry {
    pub fn is_live(&self, now: MonotonicTime) -> bool {
        let is_recent = |at| now.saturating_sub(at) < MEMBER_TIMEOUT;
        !self.left && !self.unlisted && self.alive_at.is_some_and(is_recent)
    }

    /// Records a sign of life.
    fn seen(&mut self, now: MonotonicTime) {
        self.alive_at = Some(now);
        self.unlisted = false;
    }
}

/// The instances that one instance knows.
#[derive(Debug)]
pub(crate) struct Roster {
    pub own: Member,
    pub own_key: SuccessionKey,
    entries: BTreeMap<SocketAddr, Entry>,
}

impl Roster {
    pub fn new(own: Member) -> Self {
        Roster { own_key: own.succession_key(), own, entries: BTreeMap::new() }
    }

    /// Records a message from an instance and returns its entry.
    pub fn heard(&mut self, member: &Member, now: MonotonicTime) -> Option<&mut Entry> {
        let known = self.entries.get(&member.addr).map(|entry| entry.member.incarnation);
        if known.is_some_and(|incarnation| incarnation != member.incarnation) {
            self.entries.remove(&member.addr);
        }
        let entry = self.insert(member, now)?;
        if entry.member != *member {
            entry.member = member.clone();
            entry.key = member.succession_key();
        }
        entry.seen(now);
        entry.heard_at = Some(now);
        Some(entry)
    }

    /// Records a message from an address, whoever is there now.
    pub fn heard_addr(&mut self, addr: &SocketAddr, now: MonotonicTime) {
        if let Some(entry) = self.entries.get_mut(addr) {
            entry.seen(now);
            entry.heard_at = Some(now);
        }
    }

    /// Records that another instance vouches for this one.
    ///
    /// What an instance says of itself outweighs what others say of an earlier process
    /// at its address.
    pub fn vouched(&mut self, member: &Member, now: MonotonicTime) {
        if let Some(entry) = self.entries.get_mut(&member.addr) {
            if entry.member.incarnation == member.incarnation {
                entry.seen(now);
                return;
            }
            if entry.is_live(now) {
                return;
            }
            self.entries.remove(&member.addr);
        }
        if let Some(entry) = self.insert(member, now) {
            entry.seen(now);
        }
    }

    /// Takes the neighbours that a hub no longer lists for gone, unless they were heard
    /// lately.
    pub fn drop_unlisted(&mut self, listed: &[Member], now: MonotonicTime) {
        let domain = &self.own.domain;
        for entry in self.entries.values_mut().filter(|entry| entry.member.domain == *domain) {
            let is_listed = listed.iter().any(|member| member.addr == entry.member.addr);
            let is_heard = |at| now.saturating_sub(at) < MEMBER_TIMEOUT;
            entry.unlisted |= !is_listed && !entry.heard_at.is_some_and(is_heard);
        }
    }

    /// Adds an instance that may be alive, as listed in the store.
    pub fn listed(&mut self, member: &Member, now: MonotonicTime) {
        self.insert(member, now);
    }

    /// Records that an instance shuts down.
    pub fn left(&mut self, member: &Member) {
        if let Some(entry) = self.entries.get_mut(&member.addr)
            && entry.member.incarnation == member.incarnation
        {
            entry.left = true;
        }
    }

    /// Returns the entry at a member's address, a new one if there is none.
    fn insert(&mut self, member: &Member, now: MonotonicTime) -> Option<&mut Entry> {
        if member.addr == self.own.addr || self.entries.len() >= MAX_ENTRIES {
            return None;
        }
        Some(self.entries.entry(member.addr).or_insert_with(|| Entry {
            member: member.clone(),
            key: member.succession_key(),
            added_at: now,
            alive_at: None,
            heard_at: None,
            unlisted: false,
            beat_at: None,
            left: false,
        }))
    }

    /// Removes instances that have been gone for long.
    pub fn forget(&mut self, now: MonotonicTime) {
        self.entries.retain(|_, entry| {
            let last = entry.alive_at.unwrap_or(entry.added_at);
            now.saturating_sub(last) < FORGET_AFTER
        });
    }

    pub fn get(&self, addr: &SocketAddr) -> Option<&Entry> {
        self.entries.get(addr)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the other instances of this instance's domain.
    pub fn neighbours(&self) -> impl Iterator<Item = &Entry> {
        self.entries().filter(|entry| entry.member.domain == self.own.domain)
    }

    /// Returns the other live instances of this instance's domain in the order of
    /// succession.
    pub fn succession(&self, now: MonotonicTime) -> Vec<&Entry> {
        let mut live: Vec<&Entry> = self.neighbours().filter(|entry| entry.is_live(now)).collect();
        live.sort_by_key(|entry| entry.key);
        live
    }

    /// Returns the live instances of this instance's domain, including this one.
    pub fn domain_members(&self, now: MonotonicTime) -> Vec<Member> {
        let live = self.neighbours().filter(|entry| entry.is_live(now));
        let mut members: Vec<Member> = live.map(|entry| entry.member.clone()).collect();
        members.push(self.own.clone());
        members.sort_by_key(|member| member.addr);
        members
    }

    /// Returns the names of the other domains.
    pub fn other_domains(&self) -> Vec<Name> {
        let mut domains: Vec<Name> =
            self.entries().map(|entry| entry.member.domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| *domain != self.own.domain);
        domains
    }
}

/// Returns a hash that identifies a list of members, sorted by address; never 0.
pub(crate) fn roster_hash(members: &[Member]) -> u64 {
    let mut bytes = Vec::with_capacity(members.len() * 32);
    for member in members {
        bytes.extend_from_slice(member.addr.to_string().as_bytes());
        bytes.extend_from_slice(&member.incarnation.to_le_bytes());
    }
    hash_parts(&[&bytes]).max(1)
}
