//! What instances tell each other: datagrams with what each has seen.
//!
//! Datagrams are sent while there is something to tell; one that is lost is
//! made good by the next, since every one carries whole counts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use config::Name;
use dispatch::{RolloutState, Sample, Tally};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::gateway::Gateway;

/// How often an instance tells its peers what changed.
const TELL_EVERY: Duration = Duration::from_millis(400);
/// The longest datagram, in bytes.
const LONGEST: usize = 8 << 10;
/// Convicted requests that are told at the most in one datagram.
const MOST_POISON: usize = 32;

/// The other instances.
#[derive(Debug, Default)]
pub struct Peers {
    addrs: RefCell<Vec<SocketAddr>>,
}

#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Digest {
    instance: Name,
    rollouts: Vec<Seen>,
    poison: Vec<(u64, u32)>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Seen {
    service: Name,
    revision: u64,
    old: [f64; 4],
    new: [f64; 4],
    old_open: u32,
}

impl Peers {
    /// Replaces the addresses.
    pub fn set(&self, addrs: Vec<SocketAddr>) {
        *self.addrs.borrow_mut() = addrs;
    }

    /// Tells and listens until the process ends.
    pub async fn run<D: 'static>(
        self: Rc<Self>,
        gateway: Rc<Gateway<D>>,
        addr: SocketAddr,
    ) -> Result<()> {
        let socket = UdpSocket::bind(addr).await;
        let socket = Rc::new(socket.with_context(|| format!("peers' address {addr}"))?);
        tokio::task::spawn_local(listen(gateway.clone(), socket.clone()));
        tokio::task::spawn_local(self.tell(gateway, socket));
        Ok(())
    }

    async fn tell<D>(self: Rc<Self>, gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
        let mut told = Digest::default();
        loop {
            tokio::time::sleep(TELL_EVERY).await;
            let digest = gateway.digest();
            let nothing = digest.rollouts.is_empty() && digest.poison.is_empty();
            if nothing || digest == told {
                continue;
            }
            let Ok(bytes) = serde_json::to_vec(&digest) else { continue };
            let addrs = self.addrs.borrow().clone();
            for addr in addrs {
                if let Err(error) = socket.send_to(&bytes, addr).await {
                    log::debug!("nothing told to {addr}: {error}");
                }
            }
            told = digest;
        }
    }
}

async fn listen<D>(gateway: Rc<Gateway<D>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LONGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match serde_json::from_slice(&buffer[..length]) {
                Ok(digest) => gateway.told(digest),
                Err(error) => log::debug!("a datagram of {from} can't be read: {error}"),
            },
            Err(error) => {
                log::debug!("no datagram: {error}");
                tokio::time::sleep(TELL_EVERY).await;
            }
        }
    }
}

impl<D> Gateway<D> {
    fn digest(&self) -> Digest {
        let rollouts = self.rollouts.borrow();
        let open = rollouts.values().filter(|w| w.rollout.state == RolloutState::InProgress);
        let seen = open.map(|watched| Seen {
            service: watched.rollout.order.service.clone(),
            revision: watched.rollout.order.revision,
            old: pack(&watched.own.old),
            new: pack(&watched.own.new),
            old_open: self.old_open(&watched.rollout.order.service, &watched.rollout.order.to),
        });
        let poison = self.poison.borrow();
        Digest {
            instance: self.setup.instance.clone(),
            rollouts: seen.collect(),
            poison: poison.rows().take(MOST_POISON).collect(),
        }
    }

    fn told(&self, digest: Digest) {
        let now = self.now();
        let mut rollouts = self.rollouts.borrow_mut();
        for seen in digest.rollouts {
            let Some(watched) = rollouts.get_mut(&seen.service) else { continue };
            if watched.rollout.order.revision != seen.revision {
                continue;
            }
            let tally =
                Tally { old: unpack(&seen.old), new: unpack(&seen.new), old_open: seen.old_open };
            watched.peers.insert(digest.instance.clone(), (tally, now));
        }
        let mut poison = self.poison.borrow_mut();
        for (fingerprint, deaths) in digest.poison {
            poison.merge(fingerprint, deaths, now);
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
