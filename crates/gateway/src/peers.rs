//! What instances tell each other: datagrams with what each has seen.
//!
//! Datagrams are sent while there is something to tell; one that is lost is
//! made good by the next, since every one carries whole counts.

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
use crate::packed::{LONGEST, ONE_PACKET, pack, unpack};
use crate::words::{Heard, Known, Word};

/// How often an instance tells its peers what changed.
const TELL_EVERY: Duration = Duration::from_millis(400);
/// How often an instance tells those of its domain what it has at servers.
const TELL_LOADS_EVERY: Duration = Duration::from_millis(120);
/// Unchanged loads are told every so many times, so that they stay known.
const LOADS_ANYWAY: u32 = 5;
/// How often the reader of a table tells its domain that the store answers.
const TELL_ANSWERS_EVERY: Duration = Duration::from_millis(250);
/// How fast datagrams of more than one packet are sent, in bytes a second: under half of a link of 10
/// megabits a second, whose queue drops what comes in bursts.
const PACE: f64 = 0.5e6;
/// Words that wait to be taken; more are dropped.
const WAITING_WORDS: usize = 64;
/// Sessions that are told at the most in one datagram.
const MOST_SESSIONS: usize = 120;
/// How often an instance greets those it has learnt of.
const GREETINGS: u32 = 3;

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    addrs: RefCell<BTreeMap<SocketAddr, Option<Name>>>,
    greetings: Cell<u32>,
    socket: OnceCell<UdpSocket>,
    listeners: RefCell<BTreeMap<&'static str, Sender<Heard>>>,
    answers: RefCell<BTreeMap<&'static str, Answered>>,
}

/// The newest answer of the store on a table that this instance reads for its domain.
#[derive(Debug, Clone, Copy)]
struct Answered {
    known: Known,
    at: Mono,
    unsettled: bool,
}

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// What all instances are to know.
    Digest(Digest),
    /// What the instances of the own domain are to know of the servers' load.
    Loads(Loads),
    /// What the domain's reader has of the store.
    Word(Word),
}

impl Peers {
    /// No peers yet, for an instance that listens at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Peers {
            own,
            addrs: RefCell::default(),
            greetings: Cell::new(0),
            socket: OnceCell::new(),
            listeners: RefCell::default(),
            answers: RefCell::default(),
        }
    }

    /// Adds addresses and greets them, so that they know this instance too.
    pub fn add(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own;
        for addr in addrs.into_iter().filter(|addr| *addr != own) {
            self.addrs.borrow_mut().entry(addr).or_default();
        }
        self.greetings.set(GREETINGS);
    }

    /// How many instances there are, this one included.
    pub fn members(&self) -> usize {
        self.addrs.borrow().len() + 1
    }

    /// The place of this instance in the order for a chore; others take it over
    /// one after the other.
    pub fn rank(&self, chore: &str) -> usize {
        let is_before = self.before_own(chore);
        self.addrs.borrow().keys().filter(|addr| is_before(addr)).count()
    }

    /// The place of this instance among those for which one reads, and their number.
    pub(crate) fn place_near(&self, domain: &Name, chore: &str) -> (usize, usize) {
        let (group, is_before) = (self.read_group(domain), self.before_own(chore));
        (group.iter().filter(|addr| is_before(addr)).count(), group.len() + 1)
    }

    /// The other instances of the domain for which the same one reads.
    fn read_group(&self, domain: &Name) -> Vec<SocketAddr> {
        let mut near = self.near(domain);
        let instances = near.len() + 1;
        let group =
            |addr: &SocketAddr| reader_group(hash_parts(&[addr.to_string().as_bytes()]), instances);
        let own = group(&self.own);
        near.retain(|addr| group(addr) == own);
        near
    }

    /// Tells which instances come before this one in the order for a chore.
    fn before_own(&self, chore: &str) -> impl Fn(&SocketAddr) -> bool {
        let score =
            move |addr: &SocketAddr| hash_parts(&[chore.as_bytes(), addr.to_string().as_bytes()]);
        let own = score(&self.own);
        move |other| score(other) < own
    }

    /// Words of others on a table from now on.
    pub(crate) fn subscribe(&self, table: &'static str) -> Receiver<Heard> {
        let (sender, receiver) = channel(WAITING_WORDS);
        self.listeners.borrow_mut().insert(table, sender);
        receiver
    }

    /// Tells the instances for which this one reads what it has read.
    pub(crate) async fn tell_words(&self, domain: &Name, words: Vec<Word>) {
        if words.is_empty() {
            return;
        }
        let group = self.read_group(domain);
        for word in words {
            self.send(&Message::Word(word), &group).await;
        }
    }

    /// Notes an answer of the store, of which the domain is told for a while.
    pub(crate) fn answered(&self, table: &'static str, known: Known, at: Mono, unsettled: bool) {
        self.answers.borrow_mut().insert(table, Answered { known, at, unsettled });
    }

    /// Tells and listens until the process ends.
    pub async fn run<D: 'static>(self: Rc<Self>, gateway: Rc<Gateway<D>>) -> Result<()> {
        let socket = UdpSocket::bind(self.own).await;
        let socket = socket.with_context(|| format!("peers' address {}", self.own))?;
        self.socket.set(socket).map_err(|_| anyhow!("peers run already"))?;
        tokio::task::spawn_local(self.clone().listen(gateway.clone()));
        tokio::task::spawn_local(self.clone().tell_loads(gateway.clone()));
        tokio::task::spawn_local(self.clone().tell_answers(gateway.clone()));
        tokio::task::spawn_local(self.tell(gateway));
        Ok(())
    }

    async fn tell<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let mut told = Digest::default();
        let mut before = Vec::new();
        loop {
            tokio::time::sleep(TELL_EVERY).await;
            let mut digest = gateway.digest(self.own);
            // Each session is told twice, since datagrams can be lost.
            let sessions = digest.sessions.clone();
            digest.sessions.append(&mut before);
            digest.sessions.truncate(MOST_SESSIONS);
            before = sessions;
            let greets = self.greetings.get() > 0;
            self.greetings.set(self.greetings.get().saturating_sub(1));
            if digest.same(&told) && !greets {
                continue;
            }
            let addrs: Vec<SocketAddr> = self.addrs.borrow().keys().copied().collect();
            self.send(&Message::Digest(digest.clone()), &addrs).await;
            told = digest;
        }
    }

    /// Tells the instances of the own domain what this one has at its servers.
    async fn tell_loads<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let mut told = Loads::default();
        let mut quiet = 0;
        loop {
            tokio::time::sleep(TELL_LOADS_EVERY).await;
            let loads = gateway.own_loads();
            quiet = if loads == told { quiet + 1 } else { 0 };
            let unchanged = quiet % LOADS_ANYWAY != 0 || loads.servers.is_empty();
            if quiet > 0 && unchanged {
                continue;
            }
            let addrs = self.near(&gateway.setup.domain);
            self.send(&Message::Loads(loads.clone()), &addrs).await;
            told = loads;
        }
    }

    /// Tells the domain which answers of the store are fresh.
    async fn tell_answers<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        loop {
            tokio::time::sleep(TELL_ANSWERS_EVERY).await;
            let now = gateway.now();
            let answers = self.answers.borrow().clone();
            let words = answers.into_iter().filter_map(|(table, answered)| {
                let age = now.saturating_sub(answered.at);
                (age < READER_TIMEOUT).then(|| Word {
                    table: table.to_owned(),
                    known: answered.known,
                    age_ms: age.as_millis() as u64,
                    unsettled: answered.unsettled,
                    changes: None,
                })
            });
            self.tell_words(&gateway.setup.domain, words.collect()).await;
        }
    }

    /// The instances of a domain.
    fn near(&self, domain: &Name) -> Vec<SocketAddr> {
        let addrs = self.addrs.borrow();
        let near = addrs.iter().filter(|(_, other)| other.as_ref() == Some(domain));
        near.map(|(addr, _)| *addr).collect()
    }

    async fn listen<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>) {
        let Some(socket) = self.socket.get() else { return };
        let mut buffer = vec![0; LONGEST];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match unpack(&buffer[..length]) {
                    Ok(message) => self.hear(&gateway, message, &from),
                    Err(error) => log::debug!("a datagram of {from} can't be read: {error}"),
                },
                Err(error) => {
                    log::debug!("no datagram: {error}");
                    tokio::time::sleep(TELL_EVERY).await;
                }
            }
        }
    }

    fn hear<D>(&self, gateway: &Gateway<D>, message: Message, from: &SocketAddr) {
        match message {
            Message::Loads(loads) => gateway.loads(loads),
            Message::Digest(digest) => {
                if let Some(addr) = digest.from {
                    let domain = Some(digest.domain.clone());
                    self.addrs.borrow_mut().insert(addr, domain);
                }
                gateway.set_members(self.members());
                gateway.told(digest);
            }
            Message::Word(word) => {
                let before = self.before_own(&word.table)(from);
                let listeners = self.listeners.borrow();
                let Some(listener) = listeners.get(&*word.table) else { return };
                if let Err(error) = listener.try_send(Heard { word, before }) {
                    // The next word shows what this one would have told.
                    log::debug!("a word of {from} is dropped: {error}");
                }
            }
        }
    }

    /// Sends a message to instances; one that can't be sent is made good by the next.
    async fn send(&self, message: &Message, addrs: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = match pack(message) {
            Ok(bytes) => bytes,
            Err(error) => return log::warn!("a message to peers can't be written: {error}"),
        };
        for addr in addrs {
            if let Err(error) = socket.send_to(&bytes, addr).await {
                log::debug!("nothing told to {addr}: {error}");
            }
            if bytes.len() > ONE_PACKET {
                tokio::time::sleep(Duration::from_secs_f64(bytes.len() as f64 / PACE)).await;
            }
        }
    }
}
