//! What instances tell each other: datagrams with what each has seen.
//!
//! Datagrams are sent while there is something to tell; one that is lost is
//! made good by the next, since every one carries whole counts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use config::Name;
use dispatch::{RolloutState, Sample, Tally, Work, may_try};
use policy::{hash_parts, hash_unit};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// How often an instance tells its peers what changed.
const TELL_EVERY: Duration = Duration::from_millis(400);
/// How often an instance tells those of its domain what it has at servers.
const TELL_LOADS_EVERY: Duration = Duration::from_millis(120);
/// Unchanged loads are told every so many times, so that they stay known.
const LOADS_ANYWAY: u32 = 5;
/// The longest datagram, in bytes.
const LONGEST: usize = 8 << 10;
/// Sessions that are told at the most in one datagram.
const MOST_SESSIONS: usize = 120;
/// How often an instance greets those it has learnt of.
const GREETINGS: u32 = 3;
/// Convicted requests that are told at the most in one datagram.
const MOST_POISON: usize = 32;

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    addrs: RefCell<BTreeMap<SocketAddr, Option<Name>>>,
    greetings: Cell<u32>,
}

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// What all instances are to know.
    Digest(Digest),
    /// What the instances of the own domain are to know of the servers' load.
    Loads(Loads),
}

/// What an instance has at its servers: id, requests and tokens to be read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Loads {
    instance: Name,
    servers: Vec<(Name, u32, u32)>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Digest {
    instance: Name,
    domain: Name,
    from: Option<SocketAddr>,
    rollouts: Vec<Seen>,
    poison: Vec<(u64, u32)>,
    sessions: Vec<(u64, Name)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Seen {
    service: Name,
    to: Name,
    revision: u64,
    state: RolloutState,
    written: bool,
    begun: bool,
    age_ms: u64,
    old: [f64; 4],
    new: [f64; 4],
    old_open: u32,
}

impl Digest {
    /// Whether it tells nothing new; the age of an order grows by itself.
    fn same(&self, told: &Digest) -> bool {
        let ageless = |digest: &Digest| {
            let mut digest = digest.clone();
            digest.rollouts.iter_mut().for_each(|seen| seen.age_ms = 0);
            digest
        };
        ageless(self) == ageless(told)
    }
}

impl Peers {
    /// No peers yet, for an instance that listens at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Peers { own, addrs: RefCell::default(), greetings: Cell::new(0) }
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
        let score =
            |addr: &SocketAddr| hash_parts(&[chore.as_bytes(), addr.to_string().as_bytes()]);
        let own = score(&self.own);
        self.addrs.borrow().keys().filter(|addr| score(addr) < own).count()
    }

    /// Tells and listens until the process ends.
    pub async fn run<D: 'static>(self: Rc<Self>, gateway: Rc<Gateway<D>>) -> Result<()> {
        let socket = UdpSocket::bind(self.own).await;
        let socket = Rc::new(socket.with_context(|| format!("peers' address {}", self.own))?);
        tokio::task::spawn_local(self.clone().listen(gateway.clone(), socket.clone()));
        tokio::task::spawn_local(self.clone().tell_loads(gateway.clone(), socket.clone()));
        tokio::task::spawn_local(self.tell(gateway, socket));
        Ok(())
    }

    async fn tell<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
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
            send(&socket, &Message::Digest(digest.clone()), &addrs).await;
            told = digest;
        }
    }

    /// Tells the instances of the own domain what this one has at its servers.
    async fn tell_loads<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
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
            send(&socket, &Message::Loads(loads.clone()), &addrs).await;
            told = loads;
        }
    }

    /// The instances of a domain.
    fn near(&self, domain: &Name) -> Vec<SocketAddr> {
        let addrs = self.addrs.borrow();
        let near = addrs.iter().filter(|(_, other)| other.as_ref() == Some(domain));
        near.map(|(addr, _)| *addr).collect()
    }

    async fn listen<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; LONGEST];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match serde_json::from_slice::<Message>(&buffer[..length]) {
                    Ok(Message::Loads(loads)) => gateway.loads(loads),
                    Ok(Message::Digest(digest)) => {
                        if let Some(addr) = digest.from {
                            let domain = Some(digest.domain.clone());
                            self.addrs.borrow_mut().insert(addr, domain);
                        }
                        gateway.set_members(self.members());
                        gateway.told(digest);
                    }
                    Err(error) => log::debug!("a datagram of {from} can't be read: {error}"),
                },
                Err(error) => {
                    log::debug!("no datagram: {error}");
                    tokio::time::sleep(TELL_EVERY).await;
                }
            }
        }
    }
}

/// Sends a message to instances; one that can't be sent is made good by the next.
async fn send(socket: &UdpSocket, message: &Message, addrs: &[SocketAddr]) {
    let bytes = match serde_json::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => return log::warn!("a message to peers can't be written: {error}"),
    };
    for addr in addrs {
        if let Err(error) = socket.send_to(&bytes, addr).await {
            log::debug!("nothing told to {addr}: {error}");
        }
    }
}

impl<D> Gateway<D> {
    fn digest(&self, from: SocketAddr) -> Digest {
        let rollouts = self.rollouts.borrow();
        let seen = rollouts.values().map(|watched| Seen {
            service: watched.rollout.order.service.clone(),
            to: watched.rollout.order.to.clone(),
            revision: watched.rollout.order.revision,
            state: watched.rollout.state,
            written: watched.written,
            begun: watched.begun,
            age_ms: watched.rollout.age(self.now()).as_millis() as u64,
            old: pack(&watched.own.old),
            new: pack(&watched.own.new),
            old_open: self.old_open(&watched.rollout.order.service, &watched.rollout.order.to),
        });
        let poison = self.poison.borrow();
        let untold = self.sessions.borrow_mut().take_untold();
        Digest {
            instance: self.setup.instance.clone(),
            domain: self.setup.domain.clone(),
            from: Some(from),
            rollouts: seen.collect(),
            poison: poison.rows().take(MOST_POISON).collect(),
            sessions: untold
                .into_iter()
                .filter(|(session, _)| may_try(hash_unit(*session)))
                .collect(),
        }
    }

    fn own_loads(&self) -> Loads {
        let mut servers: Vec<(Name, u32, u32)> = self
            .fleet
            .borrow()
            .own_work()
            .into_iter()
            .map(|(id, work)| (id, work.open, work.reading as u32))
            .collect();
        servers.sort();
        Loads { instance: self.setup.instance.clone(), servers }
    }

    fn loads(&self, loads: Loads) {
        let work = loads
            .servers
            .into_iter()
            .map(|(id, open, reading)| (id, Work { open, reading: f64::from(reading) }));
        let now = self.now();
        self.fleet.borrow_mut().told(&loads.instance, work.collect(), now);
    }

    fn told(&self, digest: Digest) {
        let now = self.now();
        for seen in &digest.rollouts {
            if self.rollout_revision(&seen.service) == Some(seen.revision) {
                self.settled(&seen.service, &seen.to, seen.state, seen.written);
                self.rollout_age(&seen.service, &seen.to, Duration::from_millis(seen.age_ms));
            }
        }
        let mut rollouts = self.rollouts.borrow_mut();
        for seen in digest.rollouts {
            let Some(watched) = rollouts.get_mut(&seen.service) else { continue };
            if watched.rollout.order.revision != seen.revision {
                continue;
            }
            let tally =
                Tally { old: unpack(&seen.old), new: unpack(&seen.new), old_open: seen.old_open };
            watched.begun |= seen.begun;
            watched.peers.insert(digest.instance.clone(), (tally, now));
        }
        let mut poison = self.poison.borrow_mut();
        for (fingerprint, deaths) in digest.poison {
            poison.merge(fingerprint, deaths, now);
        }
        let mut sessions = self.sessions.borrow_mut();
        for (session, version) in digest.sessions {
            sessions.merge(session, &version, now);
        }
    }

    /// Own requests in flight at servers of another version than `to`.
    pub(crate) fn old_open(&self, service: &str, to: &str) -> u32 {
        let fleet = self.fleet.borrow();
        let old = fleet.of(service).filter(|server| *server.info.version != *to);
        old.map(|server| server.open).sum()
    }
}

fn pack(sample: &Sample) -> [f64; 4] {
    let Sample { answers, bad, timed, time_ms } = *sample;
    [f64::from(answers), f64::from(bad), f64::from(timed), time_ms]
}

fn unpack(packed: &[f64; 4]) -> Sample {
    let [answers, bad, timed, time_ms] = *packed;
    Sample { answers: answers as u32, bad: bad as u32, timed: timed as u32, time_ms }
}
