//! Which servers are brittle: having to reject requests makes them crash.
//!
//! Designed for services whose servers become brittle together and say so in their answers,
//! and for many instances, each of which hears from few of the servers: once one of them is
//! brittle, the others are taken for brittle too until they answer otherwise.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;

/// How long a notice counts that no later answer confirms.
const NOTICE_TTL: Duration = Duration::from_secs(30);

/// What a server says about rejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrittleNotice {
    /// Number of rejections in a second that it survives; `None` if it is not brittle.
    pub max_rejections: Option<u32>,
    /// When it said so, or at the latest.
    pub as_of: MonotonicTime,
}

/// What is known of the services that have brittle servers.
#[derive(Debug, Default)]
pub struct Brittleness {
    services: HashMap<Name, BrittleService>,
}

/// A service of which a server said lately that it is brittle.
#[derive(Debug, Default)]
struct BrittleService {
    /// When the first of them said so, or the first since all were sound.
    since: MonotonicTime,
    /// The last notices, by server.
    notices: HashMap<Name, BrittleNotice>,
    /// The lowest number of rejections in a notice, which holds for servers without one.
    lowest: Option<u32>,
}

impl BrittleService {
    fn notices_changed(&mut self) {
        self.lowest = self.notices.values().filter_map(|notice| notice.max_rejections).min();
    }
}

impl Brittleness {
    /// Records the notice of a server; returns whether it is news: whether it changes what is
    /// known of the server or of the other servers of the service, here or at another instance,
    /// which may have notices that this one never had.
    ///
    /// The notice of an answer names when the answer arrived if the server is brittle, and when
    /// the request was sent if not: an answer that was on its way when the service became
    /// brittle proves nothing.
    pub fn record(&mut self, service: &Name, server: &Name, notice: BrittleNotice) -> bool {
        let before = self.max_rejections(service, server);
        let is_brittle = notice.max_rejections.is_some();
        if !is_brittle && !self.services.contains_key(service) {
            return false;
        }
        let known = self.services.entry(service.clone()).or_default();
        if is_brittle && known.lowest.is_none() {
            known.since = notice.as_of;
            known.notices.retain(|_, other| other.as_of >= notice.as_of);
        }
        let is_outdated = |other: &BrittleNotice| notice.as_of < other.as_of;
        if notice.as_of < known.since || known.notices.get(server).is_some_and(is_outdated) {
            return false;
        }
        let previous = known.notices.insert(server.clone(), notice);
        if previous.is_none_or(|previous| previous.max_rejections != notice.max_rejections) {
            known.notices_changed();
        }
        let is_first_sound = !is_brittle && previous.is_none();
        is_first_sound || self.max_rejections(service, server) != before
    }

    /// The number of rejections in a second that a server survives; `None` if it is not
    /// brittle, as far as is known.
    pub fn max_rejections(&self, service: &str, server: &str) -> Option<u32> {
        let known = self.services.get(service)?;
        known.notices.get(server).map_or(known.lowest, |notice| notice.max_rejections)
    }

    /// Returns the newest notice of a brittle server of each service that has one.
    pub fn newest(&self) -> Vec<(Name, Name, BrittleNotice)> {
        let newest = self.services.iter().filter_map(|(service, known)| {
            let brittle =
                known.notices.iter().filter(|(_, notice)| notice.max_rejections.is_some());
            let (server, notice) = brittle.max_by_key(|(_, notice)| notice.as_of)?;
            Some((service.clone(), server.clone(), *notice))
        });
        newest.collect()
    }

    /// Returns the last notice of a server.
    pub fn notice(&self, service: &str, server: &str) -> Option<BrittleNotice> {
        self.services.get(service)?.notices.get(server).copied()
    }

    /// Forgets notices that were not confirmed for long; returns the services of which that
    /// changes what is known.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<Name> {
        let mut changed = Vec::new();
        self.services.retain(|service, known| {
            let before = known.notices.len();
            known.notices.retain(|_, notice| now.saturating_sub(notice.as_of) < NOTICE_TTL);
            if known.notices.len() < before {
                known.notices_changed();
                changed.push(service.clone());
            }
            !known.notices.is_empty()
        });
        changed
    }
}
