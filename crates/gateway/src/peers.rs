//! Exchange of state between instances by UDP datagrams.
//!
//! Datagrams are sent while there is something to report. Each carries complete
//! counts, so the next one makes up for one that is lost.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use config::Name;
use dispatch::{Mono, READER_TIMEOUT, reader_group};
use policy::hash_parts;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::digest::{Digest, Loads};
use crate::gateway::Gateway;
use crate::packed::{MAX_DATAGRAM, PACKET_SIZE, pack, unpack};
use crate::updates::{KnownRevision, ReceivedUpdate, TableUpdate};

/// Interval at which changed state is sent to all peers.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which an instance sends its load on the servers to its domain.
const LOADS_INTERVAL: Duration = Duration::from_millis(120);
/// Unchanged loads are sent again every this many intervals, so that they do not
/// expire.
const LOADS_REFRESH_TICKS: u32 = 5;
/// Interval at which the reader of a table reports to its domain that the store
/// answers.
const ANSWERS_INTERVAL: Duration = Duration::from_millis(250);
/// Send rate for datagrams larger than one packet, in bytes per second: less than
/// half of a link of 10 megabits per second, whose queue drops bursts.
const SEND_RATE: f64 = 0.5e6;
/// Length of the queue of received updates; further ones are dropped.
const UPDATE_QUEUE_LEN: usize = 64;
/// Maximum number of sessions in one datagram.
const MAX_SESSIONS: usize = 120;
/// Number of intervals after new addresses were added in which a digest is sent even
/// if nothing changed.
const HELLO_ROUNDS: u32 = 3;

/// The other instances of the installation.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    addrs: RefCell<BTreeMap<SocketAddr, Option<Name>>>,
    hellos_left: Cell<u32>,
    socket: OnceCell<UdpSocket>,
    listeners: RefCell<BTreeMap<&'static str, Sender<ReceivedUpdate>>>,
    answers: RefCell<BTreeMap<&'static str, StoreAnswer>>,
}

/// Newest answer of the store for a table that this instance reads for its domain.
#[derive(Debug, Clone, Copy)]
struct StoreAnswer {
    known: KnownRevision,
    at: Mono,
    unsettled: bool,
}

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// State for all instances.
    Digest(Digest),
    /// Server loads for the instances of the own domain.
    Loads(Loads),
    /// State of a table, from the domain's reader.
    #[serde(rename = "Word")]
    Update(TableUpdate),
}

impl Peers {
    /// Creates an instance's view without peers; it listens at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Peers {
            own,
            addrs: RefCell::default(),
            hellos_left: Cell::new(0),
            socket: OnceCell::new(),
            listeners: RefCell::default(),
            answers: RefCell::default(),
        }
    }

    /// Adds addresses and sends them a digest, so that they learn of this instance.
    pub fn add(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own;
        for addr in addrs.into_iter().filter(|addr| *addr != own) {
            self.addrs.borrow_mut().entry(addr).or_default();
        }
        self.hellos_left.set(HELLO_ROUNDS);
    }

    /// Returns the number of instances, including this one.
    pub fn members(&self) -> usize {
        self.addrs.borrow().len() + 1
    }

    /// Returns the position of this instance in the order for a task. The others take
    /// over one after the other.
    pub fn rank(&self, task: &str) -> usize {
        let precedes = self.precedes_own(task);
        self.addrs.borrow().keys().filter(|addr| precedes(addr)).count()
    }

    /// Returns the position of this instance in its reader group and the size of the
    /// group.
    pub(crate) fn group_position(&self, domain: &Name, task: &str) -> (usize, usize) {
        let (group, precedes) = (self.group_members(domain), self.precedes_own(task));
        (group.iter().filter(|addr| precedes(addr)).count(), group.len() + 1)
    }

    /// Returns the other instances of the domain in the same reader group.
    fn group_members(&self, domain: &Name) -> Vec<SocketAddr> {
        let mut members = self.in_domain(domain);
        let instances = members.len() + 1;
        let group =
            |addr: &SocketAddr| reader_group(hash_parts(&[addr.to_string().as_bytes()]), instances);
        let own = group(&self.own);
        members.retain(|addr| group(addr) == own);
        members
    }

    /// Returns a predicate for the instances that precede this one in the order for a
    /// task.
    fn precedes_own(&self, task: &str) -> impl Fn(&SocketAddr) -> bool {
        let score =
            move |addr: &SocketAddr| hash_parts(&[task.as_bytes(), addr.to_string().as_bytes()]);
        let own = score(&self.own);
        move |other| score(other) < own
    }

    /// Receives updates of other instances for a table from now on.
    pub(crate) fn subscribe(&self, table: &'static str) -> Receiver<ReceivedUpdate> {
        let (sender, receiver) = channel(UPDATE_QUEUE_LEN);
        self.listeners.borrow_mut().insert(table, sender);
        receiver
    }

    /// Sends updates to the instances of the reader group.
    pub(crate) async fn send_updates(&self, domain: &Name, updates: Vec<TableUpdate>) {
        if updates.is_empty() {
            return;
        }
        let group = self.group_members(domain);
        for update in updates {
            self.send(&Message::Update(update), &group).await;
        }
    }

    /// Records an answer of the store, which is reported to the domain until it is
    /// too old.
    pub(crate) fn record_answer(
        &self,
        table: &'static str,
        known: KnownRevision,
        at: Mono,
        unsettled: bool,
    ) {
        self.answers.borrow_mut().insert(table, StoreAnswer { known, at, unsettled });
    }

    /// Binds the socket and starts the tasks that send and receive until the process
    /// ends.
    pub async fn run<D: 'static>(self: Rc<Self>, gateway: Rc<Gateway<D>>) -> Result<()> {
        let socket = UdpSocket::bind(self.own).await;
        let socket = socket.with_context(|| format!("cannot bind peer address {}", self.own))?;
        self.socket.set(socket).map_err(|_| anyhow!("peer exchange is already running"))?;
        tokio::task::spawn_local(self.clone().receive(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_loads(gateway.clone()));
        tokio::task::spawn_local(self.clone().send_answers(gateway.clone()));
        tokio::task::spawn_local(self.send_digests(gateway));
        Ok(())
    }

    async fn send_digests<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let mut last_sent = Digest::default();
        let mut previous_sessions = Vec::new();
        loop {
            tokio::time::sleep(DIGEST_INTERVAL).await;
            let mut digest = gateway.digest(self.own);
            // Each session is sent twice, since datagrams can be lost.
            let sessions = digest.sessions.clone();
            digest.sessions.append(&mut previous_sessions);
            digest.sessions.truncate(MAX_SESSIONS);
            previous_sessions = sessions;
            let sends_hello = self.hellos_left.get() > 0;
            self.hellos_left.set(self.hellos_left.get().saturating_sub(1));
            if digest.same_except_age(&last_sent) && !sends_hello {
                continue;
            }
            let addrs: Vec<SocketAddr> = self.addrs.borrow().keys().copied().collect();
            self.send(&Message::Digest(digest.clone()), &addrs).await;
            last_sent = digest;
        }
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
            let addrs = self.in_domain(&gateway.setup.domain);
            self.send(&Message::Loads(loads.clone()), &addrs).await;
            last_sent = loads;
        }
    }

    /// Reports recent answers of the store to the reader group.
    async fn send_answers<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            tokio::time::sleep(ANSWERS_INTERVAL).await;
            let now = gateway.now();
            let answers = self.answers.borrow().clone();
            let updates = answers.into_iter().filter_map(|(table, answer)| {
                let age = now.saturating_sub(answer.at);
                (age < READER_TIMEOUT).then(|| TableUpdate {
                    table: table.to_owned(),
                    known: answer.known,
                    age_ms: age.as_millis() as u64,
                    unsettled: answer.unsettled,
                    changes: None,
                })
            });
            self.send_updates(&gateway.setup.domain, updates.collect()).await;
        }
    }

    /// Returns the instances of a domain.
    fn in_domain(&self, domain: &Name) -> Vec<SocketAddr> {
        let addrs = self.addrs.borrow();
        let in_domain = addrs.iter().filter(|(_, other)| other.as_ref() == Some(domain));
        in_domain.map(|(addr, _)| *addr).collect()
    }

    async fn receive<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let Some(socket) = self.socket.get() else { return };
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match unpack(&buffer[..length]) {
                    Ok(message) => self.handle(&gateway, message, &from),
                    Err(error) => log::debug!("unreadable datagram from {from}: {error}"),
                },
                Err(error) => {
                    log::debug!("cannot receive datagrams: {error}");
                    tokio::time::sleep(DIGEST_INTERVAL).await;
                }
            }
        }
    }

    fn handle<D>(&self, gateway: &Gateway<D>, message: Message, from: &SocketAddr) {
        match message {
            Message::Loads(loads) => gateway.apply_loads(loads),
            Message::Digest(digest) => {
                if let Some(addr) = digest.from {
                    let domain = Some(digest.domain.clone());
                    self.addrs.borrow_mut().insert(addr, domain);
                }
                gateway.set_members(self.members());
                gateway.apply_digest(digest);
            }
            Message::Update(update) => {
                let from_earlier = self.precedes_own(&update.table)(from);
                let listeners = self.listeners.borrow();
                let Some(listener) = listeners.get(&*update.table) else { return };
                if let Err(error) = listener.try_send(ReceivedUpdate { update, from_earlier }) {
                    // The next update reveals the gap.
                    log::debug!("update from {from} dropped: {error}");
                }
            }
        }
    }

    /// Sends a message to instances. Failed sends are not retried; the next message
    /// makes up for them.
    async fn send(&self, message: &Message, addrs: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = match pack(message) {
            Ok(bytes) => bytes,
            Err(error) => return log::warn!("cannot encode message to peers: {error}"),
        };
        for addr in addrs {
            if let Err(error) = socket.send_to(&bytes, addr).await {
                log::debug!("cannot send datagram to {addr}: {error}");
            }
            if bytes.len() > PACKET_SIZE {
                tokio::time::sleep(Duration::from_secs_f64(bytes.len() as f64 / SEND_RATE)).await;
            }
        }
    }
}
