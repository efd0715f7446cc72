//! The membership protocol of one instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use policy::hash_parts;

use crate::member::Member;
use crate::message::{DomainSummary, Message};
use crate::roster::{Entry, MEMBER_TIMEOUT, MonotonicTime, Roster, roster_hash};

/// Interval between two beats of a hub.
const BEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two reports of an instance to its hub.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of beats after which a hub tells its domain of the other domains again.
const SUMMARY_BEATS: u32 = 4;
/// Number of beats after which a hub contacts another instance that may have lost it.
const SEARCH_BEATS: u32 = 12;
/// Silence after which a hub is succeeded: three lost beats.
const HUB_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Additional silence before each further instance in the succession takes over.
const SUCCESSION_STEP: Duration = Duration::from_millis(150);
/// Position in the succession after which the additional silence no longer grows.
const MAX_SUCCESSION_STEPS: u32 = 20;
/// How long after its start an instance lets others contact it before it acts as hub.
const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Interval at which a starting instance asks its seeds.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// How long a starting instance waits for its seeds before it reads the members from
/// the store.
const SEED_PATIENCE: Duration = Duration::from_millis(700);
/// How long after its last message an instance still counts in the division of shared
/// budgets, since it may only be cut off.
const BUDGET_MEMORY: Duration = Duration::from_secs(60);
/// Silence of all others after which an instance assumes that it is cut off.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of instances of its domain that an instance reports to: the hub and its
/// successor.
const UPLINKS: usize = 2;
/// Number of instances of each other domain that a hub sends to.
const FOREIGN_HUBS: usize = 2;
/// Number of instances that fetch long tables from the same one.
const TREE_FANOUT: usize = 8;
/// Number of instances in a [`DomainSummary`].
const CONTACTS: usize = 3;
/// Maximum number of lost neighbours greeted after a [`Message::Welcome`].
const MAX_GREETINGS: usize = 8;
/// Maximum number of members in one message, so that it fits into a datagram.
const MAX_LISTED: usize = 400;

/// A message and its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// Place of an instance in the order in which instances perform a shared task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Hub of its domain, with the domain's position among all domains.
    Hub(usize),
    /// Any other instance, with its position after all hubs.
    Member(usize),
}

/// The instance that coordinates how the instances use the servers of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Coordinator {
    /// This instance. Of what the instances may use together it may hand out this part; the
    /// rest is for those of the domain that it does not reach.
    Own {
        /// The part, from 0 to 1.
        share: f64,
    },
    /// The instance at this address.
    Other(SocketAddr),
}

/// Builder for [`Membership`].
#[derive(Debug)]
pub struct MembershipBuilder {
    own: Member,
    seeds: Vec<SocketAddr>,
}

impl MembershipBuilder {
    /// Creates a builder for an instance.
    pub fn new(own: Member) -> Self {
        MembershipBuilder { own, seeds: Vec::new() }
    }

    /// Sets the addresses of instances that a starting instance asks first.
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let own = self.own.addr;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self
    }

    /// Builds the state of an instance that starts now.
    pub fn build(self) -> Membership {
        Membership {
            roster: Roster::new(self.own),
            seeds: self.seeds,
            joined: false,
            prepared: false,
            leaving: false,
            received: (0, Vec::new()),
            domains: BTreeMap::new(),
            reported_to: Vec::new(),
            next_hello: MonotonicTime::ZERO,
            next_report: MonotonicTime::ZERO,
            next_beat: MonotonicTime::ZERO,
            beats: 0,
        }
    }
}

/// State of one instance. Times are monotonic and count from the start of its process.
#[derive(Debug)]
pub struct Membership {
    roster: Roster,
    seeds: Vec<SocketAddr>,
    /// Whether another instance answered.
    joined: bool,
    /// Whether this instance holds what a hub passes on.
    prepared: bool,
    leaving: bool,
    /// Hash and members of the roster that the hub sent last.
    received: (u64, Vec<Member>),
    /// Number of instances of the other domains and when a hub reported it.
    domains: BTreeMap<Name, (u32, MonotonicTime)>,
    /// Instances that the last report went to.
    reported_to: Vec<SocketAddr>,
    next_hello: MonotonicTime,
    next_report: MonotonicTime,
    next_beat: MonotonicTime,
    beats: u32,
}

impl Membership {
    /// Returns the own entry.
    pub fn own(&self) -> &Member {
        &self.roster.own
    }

    /// Whether another instance answered.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Whether a starting instance should read the members from the store, because no
    /// seed answers.
    pub fn lacks_seeds(&self, now: MonotonicTime) -> bool {
        !self.joined && (self.seeds.is_empty() || now >= SEED_PATIENCE)
    }

    /// Adds members listed in the store and returns a greeting to each.
    pub fn add_listed(&mut self, members: &[Member], now: MonotonicTime) -> Vec<Envelope> {
        let own = self.own().clone();
        let others = members.iter().filter(|member| member.addr != own.addr);
        others
            .map(|member| {
                self.roster.listed(member, now);
                Envelope { to: member.addr, message: Message::Hello(own.clone()) }
            })
            .collect()
    }

    /// Declares that this instance holds what a hub passes on.
    pub fn set_prepared(&mut self) {
        self.prepared = true;
    }

    /// Declares that this instance shuts down, and returns the messages that say so.
    pub fn leave(&mut self, now: MonotonicTime) -> Vec<Envelope> {
        let mut to = self.neighbours(now);
        to.extend(self.foreign_hubs(now));
        self.leaving = true;
        let own = self.own().clone();
        to.into_iter().map(|to| Envelope { to, message: Message::Leave(own.clone()) }).collect()
    }

    /// Records that any message arrived from an address.
    pub fn heard_from(&mut self, addr: &SocketAddr, now: MonotonicTime) {
        self.roster.heard_addr(addr, now);
    }

    /// Returns the messages that are due.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Envelope> {
        let mut due = Vec::new();
        if self.leaving {
            return due;
        }
        if !self.joined && now >= self.next_hello {
            self.next_hello = now + HELLO_INTERVAL;
            let hello = Message::Hello(self.own().clone());
            due.extend(self.seeds.iter().map(|to| Envelope { to: *to, message: hello.clone() }));
        }
        let uplinks = self.uplinks(now);
        if now >= self.next_report || uplinks != self.reported_to {
            self.next_report = now + REPORT_INTERVAL;
            let report = Message::Report { from: self.own().clone(), roster: self.received.0 };
            due.extend(uplinks.iter().map(|to| Envelope { to: *to, message: report.clone() }));
            self.reported_to = uplinks;
            self.roster.forget(now);
        }
        if now >= self.next_beat && self.is_hub(now) {
            self.next_beat = now + BEAT_INTERVAL;
            self.beats += 1;
            self.beat(now, &mut due);
        }
        due
    }

    /// Adds the beats to the instances of the domain and to the other hubs.
    fn beat(&self, now: MonotonicTime, due: &mut Vec<Envelope>) {
        let members = self.roster.domain_members(now);
        let own = self.own();
        let summary = self.own_summary(&members, now);
        let roster = roster_hash(&members);
        let mut domains = vec![summary.clone()];
        if self.beats % SUMMARY_BEATS == 1 {
            domains.extend(self.other_summaries(now));
        }
        let beat = Message::Beat { from: own.clone(), roster, domains };
        let neighbours = members.iter().filter(|member| member.addr != own.addr);
        due.extend(neighbours.map(|member| Envelope { to: member.addr, message: beat.clone() }));
        let beat = Message::Beat { from: own.clone(), roster, domains: vec![summary] };
        let hubs = self.foreign_hubs(now).into_iter();
        due.extend(hubs.map(|to| Envelope { to, message: beat.clone() }));
        due.extend(self.search(now));
    }

    /// Returns a greeting to an instance that may not know this hub: a seed or a lost
    /// neighbour, in turn.
    ///
    /// Joins instances that found each other while a part of the domain was cut off.
    fn search(&self, now: MonotonicTime) -> Option<Envelope> {
        if !self.beats.is_multiple_of(SEARCH_BEATS) {
            return None;
        }
        let lost = self.roster.neighbours().filter(|entry| !entry.left && !entry.is_live(now));
        let lost = lost.map(|entry| entry.member.addr);
        let places: Vec<SocketAddr> = self.seeds.iter().copied().chain(lost).collect();
        let turn = (self.beats / SEARCH_BEATS) as usize;
        let to = *places.get(turn.checked_rem(places.len())?)?;
        Some(Envelope { to, message: Message::Hello(self.own().clone()) })
    }

    fn own_summary(&self, members: &[Member], now: MonotonicTime) -> DomainSummary {
        let successors = self.roster.succession(now).into_iter().map(|entry| &entry.member);
        let contacts = std::iter::once(self.own()).chain(successors).take(CONTACTS).cloned();
        DomainSummary {
            domain: self.own().domain.clone(),
            instances: members.len() as u32,
            contacts: contacts.collect(),
        }
    }

    fn other_summaries(&self, now: MonotonicTime) -> Vec<DomainSummary> {
        let recent =
            self.domains.iter().filter(|(_, (_, at))| now.saturating_sub(*at) < MEMBER_TIMEOUT);
        recent
            .map(|(domain, (instances, _))| DomainSummary {
                domain: domain.clone(),
                instances: *instances,
                contacts: self
                    .contacts(domain, now)
                    .into_iter()
                    .filter(|entry| entry.is_live(now))
                    .take(CONTACTS)
                    .map(|entry| entry.member.clone())
                    .collect(),
            })
            .collect()
    }

    /// Handles a message and returns the answers to it.
    pub fn handle(&mut self, message: Message, now: MonotonicTime) -> Vec<Envelope> {
        match message {
            Message::Hello(member) => {
                self.roster.heard(&member, now);
                let message = self.welcome(&member.domain, now);
                return vec![Envelope { to: member.addr, message }];
            }
            Message::Welcome { from, members } => {
                self.joined = true;
                self.roster.heard(&from, now);
                return self.check_welcomed(&members, now);
            }
            Message::Report { from, roster } => {
                self.joined = true;
                self.roster.heard(&from, now);
                if roster == 0 || self.is_hub(now) {
                    let members = self.roster.domain_members(now);
                    if roster != roster_hash(&members) {
                        let message = Message::Roster { from: self.own().clone(), members };
                        return vec![Envelope { to: from.addr, message }];
                    }
                }
            }
            Message::Beat { from, roster, domains } => {
                self.joined = true;
                if let Some(entry) = self.roster.heard(&from, now) {
                    entry.beat_at = Some(now);
                }
                let answer = self.introduce_hubs(&from, now);
                if from.domain == self.own().domain && roster == self.received.0 {
                    let members = std::mem::take(&mut self.received.1);
                    members.iter().for_each(|member| self.roster.vouched(member, now));
                    self.received.1 = members;
                }
                domains.into_iter().for_each(|summary| self.learn_summary(summary, now));
                return answer.into_iter().collect();
            }
            Message::Roster { from, members } => {
                self.joined = true;
                self.roster.heard(&from, now);
                if from.domain == self.own().domain {
                    members.iter().for_each(|member| self.roster.vouched(member, now));
                    self.roster.drop_unlisted(&members, now);
                    self.received = (roster_hash(&members), members);
                }
            }
            Message::Leave(member) => self.roster.left(&member),
        }
        Vec::new()
    }

    /// Adds unknown members, and greets those of the domain that this instance had lost.
    ///
    /// Members that are known are not taken for alive on another's word: that word may
    /// go back to this instance.
    fn check_welcomed(&mut self, members: &[Member], now: MonotonicTime) -> Vec<Envelope> {
        let own = self.own().clone();
        let mut greetings = Vec::new();
        for member in members {
            match self.roster.get(&member.addr) {
                None => self.roster.vouched(member, now),
                Some(entry) if entry.is_live(now) || entry.left => {}
                Some(_) if member.domain == own.domain && greetings.len() < MAX_GREETINGS => {
                    let message = Message::Hello(own.clone());
                    greetings.push(Envelope { to: member.addr, message });
                }
                Some(_) => {}
            }
        }
        greetings
    }

    /// Tells a hub of another domain of its domain's instances if a second hub is active
    /// there.
    fn introduce_hubs(&self, hub: &Member, now: MonotonicTime) -> Option<Envelope> {
        if hub.domain == self.own().domain {
            return None;
        }
        let is_rival = |entry: &&Entry| {
            entry.member.domain == hub.domain
                && entry.member.addr != hub.addr
                && entry.beat_at.is_some_and(|at| now.saturating_sub(at) <= BEAT_INTERVAL)
        };
        self.roster.entries().find(is_rival)?;
        Some(Envelope { to: hub.addr, message: self.welcome(&hub.domain, now) })
    }

    fn welcome(&self, domain: &Name, now: MonotonicTime) -> Message {
        let live = self.roster.entries().filter(|entry| entry.is_live(now));
        let (mut members, mut others): (Vec<Member>, Vec<Member>) = live
            .map(|entry| entry.member.clone())
            .chain([self.own().clone()])
            .partition(|member| member.domain == *domain);
        others.sort_by_cached_key(|member| member.succession_key());
        members.append(&mut others);
        members.truncate(MAX_LISTED);
        Message::Welcome { from: self.own().clone(), members }
    }

    fn learn_summary(&mut self, summary: DomainSummary, now: MonotonicTime) {
        if summary.domain == self.own().domain {
            return;
        }
        summary.contacts.iter().for_each(|member| self.roster.vouched(member, now));
        self.domains.insert(summary.domain, (summary.instances, now));
    }

    /// Whether this instance acts as hub of its domain.
    pub fn is_hub(&self, now: MonotonicTime) -> bool {
        if self.leaving || now < SETTLING_TIME {
            return false;
        }
        let precedes = |entry: &&Entry| entry.key < self.roster.own_key;
        // An earlier hub that fell silent is not waited for.
        let is_candidate = |entry: &&Entry| entry.is_live(now) && !fell_silent(entry, now);
        let rank = self.roster.neighbours().filter(is_candidate).filter(precedes).count();
        if rank == 0 && self.prepared {
            return true;
        }
        // An instance that holds nothing yet leaves the role to a successor that does.
        let beats = self.roster.neighbours().filter(|entry| rank == 0 || precedes(entry));
        let last_beat = beats.filter_map(|entry| entry.beat_at).max();
        let patience = match rank {
            0 => HUB_TIMEOUT,
            _ => HUB_TIMEOUT + SUCCESSION_STEP * (rank as u32).min(MAX_SUCCESSION_STEPS),
        };
        match last_beat {
            Some(at) => now.saturating_sub(at) > patience,
            None => rank == 0 || now.saturating_sub(SETTLING_TIME) > patience,
        }
    }

    /// Returns the hub of the domain, unless it is this instance or unknown.
    pub fn hub(&self, now: MonotonicTime) -> Option<SocketAddr> {
        if self.is_hub(now) {
            return None;
        }
        let beats =
            |entry: &&&Entry| entry.beat_at.is_some_and(|at| now.saturating_sub(at) <= HUB_TIMEOUT);
        let succession = self.roster.succession(now);
        let expected = succession.iter().find(|entry| !fell_silent(entry, now));
        succession.iter().find(beats).or(expected).map(|entry| entry.member.addr)
    }

    /// Whether a hub of the domain was heard lately.
    pub fn has_live_hub(&self, now: MonotonicTime) -> bool {
        self.is_hub(now)
            || self
                .roster
                .neighbours()
                .any(|entry| entry.beat_at.is_some_and(|at| now.saturating_sub(at) <= HUB_TIMEOUT))
    }

    /// Returns the instances that this one reports to: the hub and the first others in
    /// the succession.
    pub fn uplinks(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let succession = self.roster.succession(now);
        let mut uplinks: Vec<SocketAddr> = self.hub(now).into_iter().collect();
        let others = succession.iter().map(|entry| entry.member.addr);
        uplinks.extend(
            others.filter(|addr| Some(*addr) != uplinks.first().copied()).collect::<Vec<_>>(),
        );
        uplinks.truncate(UPLINKS);
        uplinks
    }

    /// Returns the instance of the domain from which this one fetches long tables, so
    /// that the hub need not send them to every instance: a tree with the hub at its
    /// root. `None` for the hub.
    pub fn parent(&self, now: MonotonicTime) -> Option<SocketAddr> {
        let hub = self.hub(now)?;
        let succession = self.roster.succession(now);
        let others: Vec<&&Entry> =
            succession.iter().filter(|entry| entry.member.addr != hub).collect();
        let position = 1 + others.partition_point(|entry| entry.key < self.roster.own_key);
        match (position - 1) / TREE_FANOUT {
            0 => Some(hub),
            parent => others.get(parent - 1).map(|entry| entry.member.addr),
        }
    }

    /// Whether a listed member of this domain does not run any more: it fell silent, or
    /// another process has its address.
    pub fn is_gone(&self, member: &Member, now: MonotonicTime) -> bool {
        member.domain == self.own().domain
            && self.roster.get(&member.addr).is_some_and(|entry| {
                !entry.is_live(now) || entry.member.incarnation != member.incarnation
            })
    }

    /// Returns the incarnation of the process at an address; 0 if none is known there.
    pub fn incarnation(&self, addr: &SocketAddr) -> u64 {
        self.roster.get(addr).map_or(0, |entry| entry.member.incarnation)
    }

    /// Whether an address is that of an instance of the domain.
    pub fn is_neighbour(&self, addr: &SocketAddr) -> bool {
        self.roster.get(addr).is_some_and(|entry| entry.member.domain == self.own().domain)
    }

    /// Returns the other live instances of the domain.
    pub fn neighbours(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let live = self.roster.neighbours().filter(|entry| entry.is_live(now));
        live.map(|entry| entry.member.addr).collect()
    }

    /// Returns all other instances that are alive as far as this one knows: all of its domain
    /// and a few of each other domain.
    pub fn live_instances(&self, now: MonotonicTime) -> impl Iterator<Item = &Member> {
        let live = self.roster.entries().filter(move |entry| entry.is_live(now));
        live.map(|entry| &entry.member)
    }

    /// Returns the hubs of the other domains with their probable successors. Where no
    /// instance of a domain is alive, other known ones are tried in turn.
    pub fn foreign_hubs(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let mut hubs = Vec::new();
        for domain in self.roster.other_domains() {
            let contacts = self.contacts(&domain, now);
            let live = contacts.iter().take_while(|entry| entry.is_live(now)).count();
            let skip = if live == 0 { self.beats as usize % contacts.len().max(1) } else { 0 };
            hubs.extend(
                contacts.iter().skip(skip).take(FOREIGN_HUBS).map(|entry| entry.member.addr),
            );
        }
        hubs
    }

    /// Returns the known instances of another domain: its hub, live ones, others.
    fn contacts(&self, domain: &Name, now: MonotonicTime) -> Vec<&Entry> {
        let in_domain = |entry: &&Entry| entry.member.domain == *domain && !entry.left;
        let mut contacts: Vec<&Entry> = self.roster.entries().filter(in_domain).collect();
        contacts.sort_by_cached_key(|entry| {
            let beats = entry.beat_at.is_some_and(|at| now.saturating_sub(at) <= 2 * HUB_TIMEOUT);
            (!entry.is_live(now), !beats, entry.key)
        });
        contacts
    }

    /// Returns the number of live instances of the domain, including this one.
    pub fn domain_size(&self, now: MonotonicTime) -> usize {
        self.neighbours(now).len() + 1
    }

    /// Returns the number of other domains of which instances are known.
    pub fn other_domains(&self) -> usize {
        self.roster.other_domains().len()
    }

    /// Returns the number of instances that share the budgets of the installation,
    /// including ones that may be cut off.
    pub fn instances(&self, now: MonotonicTime) -> usize {
        let near = self.roster.neighbours().filter(|entry| is_counted(entry, now)).count() + 1;
        near + self.count_elsewhere(|entry| is_counted(entry, now), BUDGET_MEMORY, now)
    }

    /// Returns the number of instances that are alive as far as this one knows, including it.
    pub fn live_count(&self, now: MonotonicTime) -> usize {
        let far = self.count_elsewhere(|entry| entry.is_live(now), MEMBER_TIMEOUT, now);
        self.domain_size(now) + far
    }

    /// Returns the number of instances of other domains: those of the roster that count, or as
    /// many as a domain reported within `memory` if these are more.
    fn count_elsewhere(
        &self,
        counts: impl Fn(&Entry) -> bool,
        memory: Duration,
        now: MonotonicTime,
    ) -> usize {
        let domains = self.roster.other_domains().into_iter().map(|domain| {
            let in_domain = |entry: &&Entry| entry.member.domain == domain && counts(entry);
            let known = self.roster.entries().filter(in_domain).count();
            let reported = self.domains.get(&domain);
            let reported = reported.filter(|(_, at)| now.saturating_sub(*at) < memory);
            reported.map_or(known, |(instances, _)| known.max(*instances as usize))
        });
        domains.sum()
    }

    /// Returns the coordinator of a domain's servers: the hub of that domain or, where it has
    /// no instances, that of another domain. `None` if it is not known or not reached.
    pub fn coordinator(&self, domain: &Name, now: MonotonicTime) -> Option<Coordinator> {
        let own = &self.own().domain;
        if domain != own && self.is_inhabited(domain, now) {
            return self.live_contact(domain, now);
        }
        let mut inhabited: Vec<Name> = self.roster.other_domains();
        inhabited.retain(|other| domain != own && self.is_inhabited(other, now));
        let substitute =
            inhabited.iter().chain([own]).min_by_key(|other| domain_order(domain, other));
        match substitute {
            Some(other) if other != own => self.live_contact(other, now),
            _ if self.is_hub(now) => Some(Coordinator::Own { share: self.reached_share(now) }),
            _ => self.hub(now).map(Coordinator::Other),
        }
    }

    /// Whether a domain had live instances lately, as far as this instance knows.
    fn is_inhabited(&self, domain: &Name, now: MonotonicTime) -> bool {
        let mut instances = self.roster.entries().filter(|entry| entry.member.domain == *domain);
        instances.any(|entry| is_counted(entry, now))
    }

    fn live_contact(&self, domain: &Name, now: MonotonicTime) -> Option<Coordinator> {
        let first = self.contacts(domain, now).into_iter().next()?;
        first.is_live(now).then_some(Coordinator::Other(first.member.addr))
    }

    /// Returns the part of the domain's instances that this one reaches, of those that may
    /// be alive.
    fn reached_share(&self, now: MonotonicTime) -> f64 {
        let counted = self.roster.neighbours().filter(|entry| is_counted(entry, now));
        let (live, all) = counted.fold((1.0, 1.0), |(live, all), entry| {
            (live + f64::from(u8::from(entry.is_live(now))), all + 1.0)
        });
        live / all
    }

    /// Whether the last other hub of the domain is silent without having announced that it leaves:
    /// it may still be active where this instance doesn't reach it.
    pub fn may_have_rival(&self, now: MonotonicTime) -> bool {
        let last = self.roster.neighbours().max_by_key(|entry| entry.beat_at);
        let is_heard = |at| now.saturating_sub(at) <= ISOLATION_TIMEOUT;
        last.is_some_and(|entry| {
            entry.beat_at.is_some() && !entry.left && !entry.heard_at.is_some_and(is_heard)
        })
    }

    /// Whether no other instance was heard lately, although others are known.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        let heard = self.roster.entries().filter_map(|entry| entry.heard_at).max();
        heard.is_none_or(|at| now.saturating_sub(at) > ISOLATION_TIMEOUT)
    }

    /// Returns the place of this instance in the order in which instances perform a
    /// task: first the hubs, then the others.
    pub fn role(&self, task: &str, now: MonotonicTime) -> Role {
        let domains = self.roster.other_domains();
        if self.is_hub(now) {
            let own = domain_order(task, &self.own().domain);
            return Role::Hub(domains.iter().filter(|d| domain_order(task, d) < own).count());
        }
        let succession = self.roster.succession(now);
        let rank = succession.iter().filter(|entry| entry.key < self.roster.own_key).count();
        Role::Member(domains.len() + rank.max(1))
    }

    /// Whether an instance precedes this one in the order for a task.
    pub fn precedes(&self, addr: &SocketAddr, task: &str, now: MonotonicTime) -> bool {
        let Some(entry) = self.roster.get(addr) else { return false };
        if entry.member.domain == self.own().domain {
            return match self.is_hub(now) {
                true => entry.key < self.roster.own_key,
                false => Some(*addr) == self.hub(now) || entry.key < self.roster.own_key,
            };
        }
        let own = domain_order(task, &self.own().domain);
        !self.is_hub(now) || domain_order(task, &entry.member.domain) < own
    }
}

/// Whether an instance counts in the division of shared budgets.
fn is_counted(entry: &Entry, now: MonotonicTime) -> bool {
    !entry.left && entry.alive_at.is_some_and(|at| now.saturating_sub(at) < BUDGET_MEMORY)
}

/// Whether an instance acted as hub and then fell silent, because it stopped or because
/// it yielded to an earlier one.
fn fell_silent(entry: &Entry, now: MonotonicTime) -> bool {
    entry.beat_at.is_some_and(|at| now.saturating_sub(at) > HUB_TIMEOUT)
}

/// Returns the sort key of a domain in the order for a task.
fn domain_order(task: &str, domain: &Name) -> (u64, Name) {
    (hash_parts(&[task.as_bytes(), domain.as_bytes()]), domain.clone())
}
