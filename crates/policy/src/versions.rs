//! Selects the version that answers a request.

use std::collections::HashSet;

use config::{Name, OnHalt, Route, Stage, Version};
use error::Kind;

use crate::core::Freshness;
use crate::event::Arrival;
use crate::evidence::HaltKey;
use crate::hash::{hash_parts, hash_unit};
use crate::quality::Quality;
use crate::settings::{Selection, Switches};
use crate::work::bucket;

/// Selects a version of one route, given the state that the choice depends on.
pub struct VersionSelector<'a> {
    /// The route.
    pub route: &'a Route,
    /// The halted versions.
    pub halts: &'a HashSet<HaltKey>,
    /// The quality estimates.
    pub quality: &'a Quality,
    /// Whether the configuration is confirmed.
    pub freshness: Freshness,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// How versions are selected.
    pub selection: Selection,
    /// Which optional mechanisms are enabled.
    pub switches: Switches,
}

/// The chosen version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The version.
    pub version: Name,
    /// The version that the session was pinned to before, if the session is moved.
    pub moved_from: Option<Name>,
    /// Whether the session pins the request to the version.
    pub pinned: bool,
}

impl VersionSelector<'_> {
    /// Chooses a version for a request. `has_servers` returns whether a version has any
    /// servers.
    pub fn choose(
        &self,
        arrival: &Arrival,
        has_servers: impl Fn(&Name) -> bool,
    ) -> Result<Choice, Kind> {
        let pinned = arrival.session.as_ref().filter(|_| self.switches.sessions);
        let Some(pinned) = pinned else { return self.choose_unpinned(arrival, has_servers, None) };
        match self.route.version(pinned) {
            Some(version) if self.accepts_pinned(version, &arrival.account) => {
                self.choose_pinned(version)
            }
            known => {
                let successor = known.and_then(|version| self.successor(version, arrival));
                match successor {
                    Some(version) => Ok(moved(version.name.clone(), pinned)),
                    None => self.choose_unpinned(arrival, has_servers, Some(pinned)),
                }
            }
        }
    }

    /// Checks whether the version may answer the request now. Called before each send.
    pub fn may_send(&self, version: &str, arrival: &Arrival) -> Result<(), Kind> {
        if !self.route.allows(&arrival.account) {
            return Err(Kind::NotAllowed);
        }
        let known = self.route.version(version).ok_or(Kind::NoServer)?;
        if !known.allows(&arrival.account) {
            return Err(Kind::NotAllowed);
        }
        let pinned = arrival.session.as_deref() == Some(version) && self.switches.sessions;
        match known.stage {
            Stage::Withdrawn => Err(Kind::NoServer),
            Stage::Retiring if !pinned => Err(Kind::NoServer),
            Stage::Rollout if self.freshness != Freshness::Fresh => Err(Kind::CutOff),
            _ if self.is_halted(known) && !self.kept_after_halt(pinned) => Err(Kind::NoServer),
            Stage::Rollout | Stage::Stable | Stage::Retiring => Ok(()),
        }
    }

    /// Returns whether the current generation of the version is halted.
    pub fn is_halted(&self, version: &Version) -> bool {
        let key = HaltKey {
            route: self.route.name.clone(),
            version: version.name.clone(),
            generation: version.generation,
        };
        self.halts.contains(&key)
    }

    fn kept_after_halt(&self, pinned: bool) -> bool {
        pinned && self.route.on_halt == OnHalt::Retire
    }

    fn accepts_pinned(&self, version: &Version, account: &str) -> bool {
        version.stage != Stage::Withdrawn
            && version.allows(account)
            && (!self.is_halted(version) || self.route.on_halt == OnHalt::Retire)
    }

    fn choose_pinned(&self, version: &Version) -> Result<Choice, Kind> {
        if version.stage == Stage::Rollout && self.freshness != Freshness::Fresh {
            return Err(Kind::CutOff);
        }
        Ok(Choice { version: version.name.clone(), moved_from: None, pinned: true })
    }

    fn successor(&self, version: &Version, arrival: &Arrival) -> Option<&Version> {
        let next = self.route.version(version.successor.as_deref()?)?;
        self.accepts_new_requests(next, &arrival.account).then_some(next)
    }

    fn accepts_new_requests(&self, version: &Version, account: &str) -> bool {
        version.stage == Stage::Stable && version.allows(account) && !self.is_halted(version)
    }

    fn choose_unpinned(
        &self,
        arrival: &Arrival,
        has_servers: impl Fn(&Name) -> bool,
        moved_from: Option<&Name>,
    ) -> Result<Choice, Kind> {
        let version = match self.choose_rollout(arrival, &has_servers) {
            Some(version) => version,
            None => self.choose_stable(arrival, has_servers)?,
        };
        Ok(Choice { version: version.name.clone(), moved_from: moved_from.cloned(), pinned: false })
    }

    /// Returns the version in rollout whose traffic share includes the request, if any.
    fn choose_rollout(
        &self,
        arrival: &Arrival,
        has_servers: impl Fn(&Name) -> bool,
    ) -> Option<&Version> {
        if self.freshness != Freshness::Fresh {
            return None;
        }
        let candidates = self.route.versions.iter().filter(|version| {
            version.stage == Stage::Rollout
                && version.allows(&arrival.account)
                && !self.is_halted(version)
                && has_servers(&version.name)
        });
        let id = arrival.id.0.to_be_bytes();
        candidates.into_iter().find(|version| {
            let share = version.rollout.as_ref().map_or(0.0, |r| r.share(self.wall_ms));
            hash_unit(hash_parts(&[&id, version.name.as_bytes()])) < share
        })
    }

    fn choose_stable(
        &self,
        arrival: &Arrival,
        has_servers: impl Fn(&Name) -> bool,
    ) -> Result<&Version, Kind> {
        let all = self.route.versions.iter();
        let allowed: Vec<&Version> =
            all.filter(|v| self.accepts_new_requests(v, &arrival.account)).collect();
        if allowed.is_empty() {
            return Err(self.no_version_kind(arrival));
        }
        let available: Vec<&Version> =
            allowed.into_iter().filter(|v| has_servers(&v.name)).collect();
        let chosen = match self.selection {
            Selection::Cheapest => available.first().copied(),
            Selection::MostExpensive => available.last().copied(),
            Selection::Cascade => self.cascade(&available, arrival),
        };
        chosen.ok_or(Kind::NoServer)
    }

    /// Returns the cheapest version whose lower bound of the quality meets the target, or
    /// the one with the highest mean if none does. Versions are ordered by cost.
    fn cascade<'v>(&self, available: &[&'v Version], arrival: &Arrival) -> Option<&'v Version> {
        let bucket = bucket(arrival.prompt_tokens);
        let estimate = |version: &Version| self.quality.estimate(&self.route.name, version, bucket);
        let mean = |version: &Version| estimate(version).0;
        let lower_bound = |version: &Version| estimate(version).1;
        let meeting_target =
            available.iter().find(|version| lower_bound(version) >= self.route.quality);
        let best = || available.iter().max_by(|a, b| mean(a).total_cmp(&mean(b)));
        meeting_target.or_else(best).copied()
    }

    /// Returns why no version accepts the request: either the account lacks access, or
    /// no version that it may use is available.
    fn no_version_kind(&self, arrival: &Arrival) -> Kind {
        let mut stable = self.route.versions.iter().filter(|v| v.stage == Stage::Stable);
        match stable.any(|version| version.allows(&arrival.account)) {
            true => Kind::NoServer,
            false => Kind::NotAllowed,
        }
    }
}

/// Returns the choice of a version that a session is moved to.
fn moved(version: Name, from: &Name) -> Choice {
    Choice { version, moved_from: Some(from.clone()), pinned: true }
}
