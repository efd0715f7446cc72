//! Exchange of state between instances.
//!
//! Small messages are datagrams; long tables are fetched over TCP. Who sends to whom
//! follows from the [`members`] crate: instances report to the hub of their failure
//! domain, hubs tell their domain and each other. Counts are totals rather than
//! differences, so the next datagram makes up for a lost one.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use dispatch::{BlameReport, MonotonicTime, READER_TIMEOUT, RouteDetails};
use members::{Envelope, Member, Membership, Role};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::cold::{ColdReport, ColdRequest};
use crate::digest::{Digest, EncodedRoute, Loads, RouteReport, Scope};
use crate::era_support::EraSupport;
use crate::fetch::serve_peers;
use crate::gateway::Gateway;
use crate::packed::{MAX_DATAGRAM, MAX_UNFRAGMENTED, pack_datagram, unpack};
use crate::permits::{PermitDesk, PermitRelease, PermitReply, PermitRequest, SlotUses};
use crate::rate_limits::RateReport;
use crate::revision::era;
use crate::rollouts::Coverage;
use crate::server_news::ServerReport;
use crate::session_sharing::SessionOutboxes;
use crate::table::TableCopy;
use crate::updates::{KnownRevision, ReceivedUpdate, TableUpdate};
use crate::wire::Dialect;

/// Interval at which due membership messages are sent.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which changed state is sent.
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum pause between two digests, so that the answers of one moment are reported together.
const MIN_DIGEST_PAUSE: Duration = Duration::from_millis(40);
/// Number of intervals after which unchanged state is sent again while it matters to
/// receivers that it is recent, or that may have just started.
const DIGEST_REFRESH_TICKS: u32 = 4;
/// Interval at which an instance sends its load on the servers to its domain.
const LOADS_INTERVAL: Duration = Duration::from_millis(120);
/// Number of intervals after which unchanged loads are sent again, so that they do not
/// expire at the receivers.
const LOADS_REFRESH_TICKS: u32 = 5;
/// Interval at which recent answers of the store are reported.
const ANSWERS_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction of the own link that bursts of datagrams longer than one packet may take;
/// a full link drops them.
const BURST_LINK_FRACTION: f64 = 0.4;
/// Number of instances of a domain that call an unavailable store as often as its hub does: the
/// store may turn the hub away.
const SPARE_READERS: usize = 2;
/// Number of instances of a domain from which on only the reader of a table polls the
/// store. With fewer, the others hold long polls too: these cost few calls, and a change
/// takes effect there even while the reader or a hub fails.
const MIN_SHARED_DOMAIN: usize = 4;
/// The same for the number of instances of the installation.
const MIN_SHARED_INSTALLATION: usize = 12;
/// Capacity of the queue of received updates of a table; further ones are dropped.
const UPDATE_QUEUE_LEN: usize = 64;

/// The other instances of the installation.
#[derive(Debug)]
pub struct Peers {
    membership: RefCell<Membership>,
    incarnation: u64,
    own: SocketAddr,
    /// Bytes per second at which bursts of long datagrams are sent.
    burst_rate: f64,
    /// Whether the whole installation starts for the first time.
    pub(crate) first_start: bool,
    /// Whether the join is complete, successful or not.
    joined: Cell<bool>,
    join_completed: Notify,
    socket: OnceCell<UdpSocket>,
    /// Queues of received updates, by table.
    update_queues: RefCell<BTreeMap<&'static str, Sender<ReceivedUpdate>>>,
    /// Newest answers of the store, by table.
    answers: RefCell<BTreeMap<&'static str, StoreAnswer>>,
    /// Tables that this instance follows.
    pub(crate) tables: RefCell<BTreeMap<&'static str, TableCopy>>,
    pub(crate) session_outboxes: SessionOutboxes,
    pub(crate) era_support: EraSupport,
    /// Whether an instance has appeared that needs the state sent again.
    newcomer: Cell<bool>,
    /// Since when this instance acts as hub, if it does.
    hub_since: Cell<Option<MonotonicTime>>,
    /// Permits that this instance issues and asks for.
    pub(crate) permits: PermitDesk,
}

/// Newest answer of the store for a table.
#[derive(Debug, Clone, Copy)]
struct StoreAnswer {
    at: MonotonicTime,
    /// See [`TableUpdate::unsettled`].
    unsettled: bool,
    /// Whether the store answered this instance rather than one that reported it.
    own: bool,
}

/// A digest that is sent when it changes, and again after some time.
#[derive(Debug, Default)]
struct Sent {
    digest: Option<Digest>,
    unchanged_ticks: u32,
}

impl Sent {
    /// Whether a digest is due now; if so, it counts as sent.
    fn is_due(&mut self, digest: &Digest, refresh: bool) -> bool {
        let changed = match &self.digest {
            Some(last) => !digest.same_except_age(last),
            None => !digest.is_empty(),
        };
        self.unchanged_ticks = if changed { 0 } else { self.unchanged_ticks + 1 };
        if changed {
            self.digest = Some(digest.clone());
        }
        changed || refresh && self.unchanged_ticks.is_multiple_of(DIGEST_REFRESH_TICKS)
    }
}

/// A message between instances.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Who is there.
    Membership(members::Message),
    /// State that concerns all instances.
    Digest(Digest),
    /// Server loads for the instances of the own domain.
    Loads(Loads),
    /// State of a table.
    Update(TableUpdate),
    /// Crashes of servers and the parts of prompts that may be to blame.
    Blame(BlameReport),
    /// Rate limits of servers.
    RateLimits(Vec<RateReport>),
    /// Asks the coordinator of a server for a permit.
    PermitRequest(PermitRequest),
    /// Answer to [`Message::PermitRequest`].
    PermitReply(PermitReply),
    /// Tells the coordinator that a request for which it issued a permit has ended.
    PermitRelease(PermitRelease),
    /// Answers of a rollout by route.
    Routes(RouteReport<EncodedRoute>),
    /// What servers say of themselves.
    ServerReports(Vec<ServerReport>),
    /// How the sender uses the slots of brittle servers.
    SlotUses(SlotUses),
    /// Answers of a rollout by route, load, server and pace.
    RouteDetails(RouteReport<RouteDetails>),
    /// Servers that are cold.
    ColdServers(Vec<ColdReport>),
    /// Asks the coordinator of a server that the sender knows to be cold for a permit. Answered
    /// with [`Message::PermitReply`].
    ColdRequest(ColdRequest),
}

impl Peers {
    /// Creates the exchange of an instance.
    ///
    /// `first_start` if the whole installation starts for the first time, so that no
    /// caller waits for it yet.
    pub fn new(membership: Membership, first_start: bool) -> Self {
        let own = membership.own().clone();
        Peers {
            membership: RefCell::new(membership),
            incarnation: own.incarnation,
            own: own.addr,
            burst_rate: f64::from(own.link_mbps.max(1)) * 1e6 / 8.0 * BURST_LINK_FRACTION,
            first_start,
            joined: Cell::new(false),
            join_completed: Notify::new(),
            socket: OnceCell::new(),
            update_queues: RefCell::default(),
            answers: RefCell::default(),
            tables: RefCell::default(),
            session_outboxes: SessionOutboxes::default(),
            era_support: EraSupport::default(),
            newcomer: Cell::new(false),
            hub_since: Cell::new(None),
            permits: PermitDesk::default(),
        }
    }

    /// Returns the own address.
    pub(crate) fn own_addr(&self) -> SocketAddr {
        self.own
    }

    /// Distinguishes this process from earlier ones at its address.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The latest era of the store that a table is known from.
    pub(crate) fn store_era(&self) -> u64 {
        let tables = self.tables.borrow();
        tables.values().map(|copy| era(copy.known.revision)).max().unwrap_or_default()
    }

    /// Gives access to the membership.
    pub(crate) fn membership(&self) -> std::cell::RefMut<'_, Membership> {
        self.membership.borrow_mut()
    }

    /// Whether this instance acts as hub of its domain.
    pub fn is_hub(&self, now: MonotonicTime) -> bool {
        self.membership.borrow().is_hub(now)
    }

    /// Since when this instance acts as hub, if it does.
    pub(crate) fn hub_since(&self) -> Option<MonotonicTime> {
        self.hub_since.get()
    }

    /// Returns the place of this instance in the order for a task.
    pub(crate) fn role(&self, task: &str, now: MonotonicTime) -> Role {
        self.membership.borrow().role(task, now)
    }

    /// Returns the position of this instance among the hubs if it is one.
    fn hub_position(&self, now: MonotonicTime) -> Option<usize> {
        match self.role("blame", now) {
            Role::Hub(position) => Some(position),
            Role::Member(_) => None,
        }
    }

    /// Returns the instances that news on servers go to: the uplinks, or those that a hub
    /// tells.
    pub(crate) fn news_receivers(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        if !membership.is_hub(now) {
            return membership.uplinks(now);
        }
        let mut receivers = membership.neighbours(now);
        receivers.extend(membership.foreign_hubs(now));
        receivers
    }

    /// Returns how many instances and domains the counts of a rollout must include.
    pub(crate) fn coverage(&self, now: MonotonicTime) -> Coverage {
        let membership = self.membership.borrow();
        Coverage {
            instances: membership.neighbours(now).len(),
            domains: membership.other_domains(),
        }
    }

    /// Returns the position of this instance in the order of a table's readers.
    pub(crate) fn reader_position(&self, table: &str, now: MonotonicTime) -> usize {
        let membership = self.membership.borrow();
        match membership.role(table, now) {
            _ if membership.is_isolated(now) => 0,
            Role::Hub(position) | Role::Member(position) => position,
        }
    }

    /// Whether this instance holds a long poll while another one reads a table.
    pub(crate) fn holds_poll(&self, now: MonotonicTime) -> bool {
        let membership = self.membership.borrow();
        membership.domain_size(now) < MIN_SHARED_DOMAIN
            && membership.instances(now) < MIN_SHARED_INSTALLATION
    }

    /// Whether this instance leaves it to the hub of its domain and to spare readers to find an
    /// unavailable store available again.
    pub(crate) fn relies_on_others(&self, now: MonotonicTime) -> bool {
        let membership = self.membership.borrow();
        let spares = membership.other_domains() + SPARE_READERS;
        let is_spare = match membership.role("", now) {
            Role::Hub(_) => true,
            Role::Member(position) => position <= spares,
        };
        !is_spare && membership.has_live_hub(now) && !self.holds_poll(now)
    }

    /// Returns a queue that receives the updates of other instances for a table from now
    /// on.
    pub(crate) fn subscribe(&self, table: &'static str) -> Receiver<ReceivedUpdate> {
        let (sender, receiver) = channel(UPDATE_QUEUE_LEN);
        self.update_queues.borrow_mut().insert(table, sender);
        receiver
    }

    /// Completes once the instance has joined the others or has found none.
    pub(crate) async fn joined(&self) {
        while !self.joined.get() {
            self.join_completed.notified().await;
        }
    }

    /// Declares the join complete.
    pub(crate) fn complete_join(&self) {
        self.joined.set(true);
        self.join_completed.notify_waiters();
    }

    /// Sends updates to the instances of the domain and, if `to_hubs`, to the other
    /// hubs.
    pub(crate) async fn send_updates(
        &self,
        updates: Vec<TableUpdate>,
        to_hubs: bool,
        now: MonotonicTime,
    ) {
        if updates.is_empty() {
            return;
        }
        let mut receivers = Vec::new();
        if to_hubs {
            receivers = self.membership.borrow().foreign_hubs(now);
        }
        receivers.extend(self.membership.borrow().neighbours(now));
        for update in updates {
            self.send(&Message::Update(update), &receivers).await;
        }
    }

    /// Sends updates to the hub of the domain and its successor.
    pub(crate) async fn send_updates_to_hub(&self, updates: Vec<TableUpdate>, now: MonotonicTime) {
        let uplinks = self.membership.borrow().uplinks(now);
        for update in updates {
            self.send(&Message::Update(update), &uplinks).await;
        }
    }

    /// Records an answer of the store, which is reported to other instances until it is
    /// too old.
    pub(crate) fn record_answer(
        &self,
        table: &'static str,
        at: MonotonicTime,
        unsettled: bool,
        own: bool,
    ) {
        let mut answers = self.answers.borrow_mut();
        if answers.get(table).is_none_or(|answer| answer.at <= at) {
            answers.insert(table, StoreAnswer { at, unsettled, own });
        }
    }

    /// Whether entries of a table that expired in an outage of the store may still be
    /// listed again.
    pub(crate) fn is_unsettled(&self, table: &str) -> bool {
        self.answers.borrow().get(table).is_some_and(|answer| answer.unsettled)
    }

    /// Binds the socket and starts the tasks that send and receive until the process
    /// ends.
    pub async fn run<D: Dialect>(self: Rc<Self>, gateway: Rc<Gateway<D>>) -> Result<()> {
        let socket = UdpSocket::bind(self.own).await;
        let socket = socket.with_context(|| format!("cannot bind peer address {}", self.own))?;
        self.socket.set(socket).map_err(|_| anyhow!("peer exchange is already running"))?;
        gateway.set_peers(self.clone());
        serve_peers(self.clone(), gateway.clone()).await?;
        tokio::task::spawn_local(self.clone().receive(gateway.clone()));
        tokio::task::spawn_local(self.clone().run_membership(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_loads(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_answers(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_blame(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_server_news(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_slot_uses(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_sessions(gateway.clone()));
        tokio::task::spawn_local(self.clone().learn_era_support(gateway.clone()));
        tokio::task::spawn_local(self.send_digests(gateway));
        Ok(())
    }

    /// Tells the others that this instance shuts down.
    pub async fn leave<D>(&self, gateway: &Gateway<D>) {
        let farewell = self.membership.borrow_mut().leave(gateway.now());
        self.send_envelopes(farewell).await;
    }

    /// Greets members listed in the store.
    pub(crate) async fn greet(&self, members: &[Member], now: MonotonicTime) {
        let greetings = self.membership.borrow_mut().add_listed(members, now);
        self.send_envelopes(greetings).await;
    }

    async fn run_membership<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            let now = gateway.now();
            if gateway.ready() {
                self.membership.borrow_mut().set_prepared();
            }
            let due = self.membership.borrow_mut().tick(now);
            {
                let membership = self.membership.borrow();
                gateway.set_members(membership.instances(now), membership.live_count(now));
            }
            gateway.hub_position.set(self.hub_position(now));
            self.hub_since.set(self.hub_since.get().or(Some(now)).filter(|_| self.is_hub(now)));
            self.send_envelopes(due).await;
            tokio::time::sleep(MEMBERSHIP_INTERVAL).await;
        }
    }

    async fn send_digests<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let (mut to_hub, mut to_hubs, mut to_domain) =
            (Sent::default(), Sent::default(), Sent::default());
        loop {
            tokio::time::sleep(MIN_DIGEST_PAUSE).await;
            let rest = DIGEST_INTERVAL.saturating_sub(MIN_DIGEST_PAUSE);
            // On a timeout, a digest is due as well.
            let _ = tokio::time::timeout(rest, gateway.digest_due.notified()).await;
            let now = gateway.now();
            if !self.is_hub(now) {
                let digest = gateway.digest(Scope::Instance, self.incarnation);
                let refresh = digest.has_rollout_in_progress();
                if to_hub.is_due(&digest, refresh) {
                    let uplinks = self.membership.borrow().uplinks(now);
                    self.send(&Message::Digest(digest), &uplinks).await;
                    self.send_routes(&gateway, Scope::Instance, &uplinks).await;
                }
                continue;
            }
            let digest = gateway.digest(Scope::Domain, self.incarnation);
            let refresh = digest.has_rollout_in_progress();
            if to_hubs.is_due(&digest, refresh) {
                let hubs = self.membership.borrow().foreign_hubs(now);
                self.send(&Message::Digest(digest), &hubs).await;
                self.send_routes(&gateway, Scope::Domain, &hubs).await;
            }
            let digest = self.installation_digest(&gateway);
            let refresh = !digest.is_empty();
            if to_domain.is_due(&digest, refresh) || self.newcomer.take() {
                let neighbours = self.membership.borrow().neighbours(now);
                self.send(&Message::Digest(digest), &neighbours).await;
            }
        }
    }

    async fn send_routes<D>(&self, gateway: &Gateway<D>, scope: Scope, addrs: &[SocketAddr]) {
        for report in gateway.route_reports(scope, self.incarnation) {
            let (routes, details) = report.split();
            self.send(&Message::Routes(routes), addrs).await;
            self.send(&Message::RouteDetails(details), addrs).await;
        }
    }

    /// Returns what all instances need to know, without sessions.
    pub(crate) fn installation_digest<D>(&self, gateway: &Gateway<D>) -> Digest {
        gateway.digest(Scope::Installation, self.incarnation)
    }

    /// Sends this instance's load on the servers to the instances of its domain.
    async fn send_loads<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let mut last_sent = Loads::default();
        let mut unchanged_ticks = 0;
        loop {
            tokio::time::sleep(LOADS_INTERVAL).await;
            let loads = gateway.own_loads();
            unchanged_ticks = if loads == last_sent { unchanged_ticks + 1 } else { 0 };
            let skip = unchanged_ticks % LOADS_REFRESH_TICKS != 0 || loads.servers.is_empty();
            if unchanged_ticks > 0 && skip {
                continue;
            }
            let addrs = self.membership.borrow().neighbours(gateway.now());
            self.send(&Message::Loads(loads.clone()), &addrs).await;
            last_sent = loads;
        }
    }

    /// Reports recent answers of the store: a reader to its domain and the other hubs, a
    /// hub to its domain.
    async fn send_answers<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            tokio::time::sleep(ANSWERS_INTERVAL).await;
            let now = gateway.now();
            gateway.freshness.borrow_mut().check(now);
            let answers = self.answers.borrow().clone();
            for (table, answer) in answers {
                let age = now.saturating_sub(answer.at);
                if age >= READER_TIMEOUT || !(answer.own || self.is_hub(now)) {
                    continue;
                }
                let mut update = TableUpdate::announce(table, self.known(table), answer.unsettled);
                update.age_ms = age.as_millis() as u64;
                self.send_updates(vec![update], answer.own, now).await;
            }
        }
    }

    /// Returns the revision up to which this instance knows a table.
    pub(crate) fn known(&self, table: &str) -> KnownRevision {
        self.tables.borrow().get(table).map(|copy| copy.known).unwrap_or_default()
    }

    async fn receive<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let Some(socket) = self.socket.get() else { return };
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match unpack(&buffer[..length]) {
                    Ok(message) => self.handle(&gateway, message, from).await,
                    Err(error) => log::debug!("unreadable datagram from {from}: {error}"),
                },
                Err(error) => {
                    log::debug!("cannot receive datagrams: {error}");
                    tokio::time::sleep(DIGEST_INTERVAL).await;
                }
            }
        }
    }

    async fn handle<D>(&self, gateway: &Gateway<D>, message: Message, from: SocketAddr) {
        let now = gateway.now();
        self.membership.borrow_mut().heard_from(&from, now);
        match message {
            Message::Membership(message) => {
                if matches!(message, members::Message::Hello(_)) {
                    self.newcomer.set(true);
                    let report = gateway.blame.borrow().report(now);
                    if !report.is_empty() {
                        self.send(&Message::Blame(report), &[from]).await;
                    }
                    self.send_reports(&gateway.lasting_reports(), &[from]).await;
                }
                let answers = self.membership.borrow_mut().handle(message, now);
                self.send_envelopes(answers).await;
            }
            Message::Loads(loads) => gateway.apply_loads(loads),
            Message::Blame(report) => self.apply_blame(gateway, report),
            Message::RateLimits(reports) => {
                let from_outside = !self.membership.borrow().is_neighbour(&from);
                self.apply_rate_limits(gateway, reports, from_outside);
            }
            Message::ServerReports(reports) => {
                let from_outside = !self.membership.borrow().is_neighbour(&from);
                self.apply_server_reports(gateway, &reports, from_outside);
            }
            Message::SlotUses(uses) => self.permits.record_use(&uses, from, now),
            Message::PermitRequest(request) => {
                let reply = self.decide_permit(gateway, request, false);
                self.send(&Message::PermitReply(reply), &[from]).await;
            }
            Message::ColdServers(reports) => {
                let from_outside = !self.membership.borrow().is_neighbour(&from);
                self.apply_cold_servers(gateway, &reports, from_outside);
            }
            Message::ColdRequest(request) => {
                let reply = self.decide_cold_permit(gateway, request);
                self.send(&Message::PermitReply(reply), &[from]).await;
            }
            Message::PermitReply(reply) => self.permits.receive(reply),
            Message::Routes(report) => gateway.apply_routes(report, from),
            Message::RouteDetails(report) => {
                if gateway.apply_route_details(report, from) && self.is_hub(now) {
                    gateway.rollout_changed.notify_one();
                    gateway.digest_due.notify_one();
                }
            }
            Message::PermitRelease(release) => self.permits.release(&release, now),
            Message::Digest(digest) => {
                self.pass_on_sessions(gateway, &digest, now);
                gateway.apply_digest(digest, from);
            }
            Message::Update(update) => {
                if era(update.known.revision) > 0 {
                    let process = (from, self.membership().incarnation(&from));
                    self.era_support.record(process, true);
                }
                let membership = self.membership.borrow();
                let from_earlier = membership.precedes(&from, &update.table, now);
                let from_outside = !membership.is_neighbour(&from);
                let update_queues = self.update_queues.borrow();
                let Some(queue) = update_queues.get(&*update.table) else { return };
                let received = ReceivedUpdate { update, from, from_earlier, from_outside };
                if let Err(error) = queue.try_send(received) {
                    // The next update reveals the gap.
                    log::debug!("update from {from} dropped: {error}");
                }
            }
        }
    }

    async fn send_envelopes(&self, envelopes: Vec<Envelope>) {
        for Envelope { to, message } in envelopes {
            self.send(&Message::Membership(message), &[to]).await;
        }
    }

    /// Sends a message to an instance unless the socket is not ready.
    pub(crate) fn try_send(&self, message: &Message, addr: SocketAddr) {
        let Some(socket) = self.socket.get() else { return };
        let sent = pack_datagram(message).map(|bytes| socket.try_send_to(&bytes, addr));
        if !matches!(sent, Ok(Ok(_))) {
            log::debug!("cannot send datagram to {addr}: {sent:?}");
        }
    }

    /// Sends a message to instances. Failed sends are not retried; the next message
    /// makes up for them.
    pub(crate) async fn send(&self, message: &Message, addrs: &[SocketAddr]) {
        if self.store_era() == 0 {
            return self.send_as_is(message, addrs).await;
        }
        let Some(numbers) = message.without_eras() else {
            return self.send_as_is(message, addrs).await;
        };
        let receivers = self.era_support.divide(&self.processes(addrs));
        self.send_as_is(message, &receivers.supporting).await;
        if !receivers.others.is_empty() {
            self.send_as_is(&numbers, &receivers.others).await;
        }
    }

    async fn send_as_is(&self, message: &Message, addrs: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = match pack_datagram(message) {
            Ok(bytes) => bytes,
            Err(error) => return log::warn!("cannot encode message to peers: {error}"),
        };
        for addr in addrs {
            if let Err(error) = socket.send_to(&bytes, addr).await {
                log::debug!("cannot send datagram to {addr}: {error}");
            }
            if bytes.len() > MAX_UNFRAGMENTED {
                let pause = Duration::from_secs_f64(bytes.len() as f64 / self.burst_rate);
                tokio::time::sleep(pause).await;
            }
        }
    }
}
