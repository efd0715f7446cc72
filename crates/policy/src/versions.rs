//! The choice of the version that answers a request.

use std::collections::HashSet;

use config::{Name, OnHalt, Route, Stage, Version};
use error::Kind;

use crate::core::Standing;
use crate::event::Arrival;
use crate::evidence::HaltKey;
use crate::hash::{hash_parts, hash_unit};
use crate::quality::Quality;
use crate::settings::{Selection, Switches};
use crate::work::bucket;

/// What the choice depends on.
pub struct Context<'a> {
    /// The route.
    pub route: &'a Route,
    /// Versions that are halted.
    pub halts: &'a HashSet<HaltKey>,
    /// The learnt quality.
    pub quality: &'a Quality,
    /// Whether the configuration is confirmed.
    pub standing: Standing,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// How versions are chosen.
    pub selection: Selection,
    /// Which mechanisms are on.
    pub switches: Switches,
}

/// The chosen version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The version.
    pub version: Name,
    /// The version that the session kept before, if it is moved.
    pub moved: Option<Name>,
    /// Whether the session binds the request to the version.
    pub pinned: bool,
}

impl Context<'_> {
    /// Chooses the version; `served` says whether a version has servers.
    pub fn choose(
        &self,
        arrival: &Arrival,
        served: impl Fn(&Name) -> bool,
    ) -> Result<Choice, Kind> {
        let pinned = arrival.session.as_ref().filter(|_| self.switches.sessions);
        let Some(pinned) = pinned else { return self.fresh_choice(arrival, served, None) };
        match self.route.version(pinned) {
            Some(version) if self.keeps_sessions(version, &arrival.account) => {
                self.pinned_choice(version)
            }
            known => {
                let successor = known.and_then(|version| self.successor(version, arrival));
                match successor {
                    Some(version) => Ok(moved(version.name.clone(), pinned)),
                    None => self.fresh_choice(arrival, served, Some(pinned)),
                }
            }
        }
    }

    /// Whether the version may take this request now: the check before each send.
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
            Stage::Rollout if self.standing != Standing::Fresh => Err(Kind::CutOff),
            _ if self.halted(known) && !self.outlives_halt(pinned) => Err(Kind::NoServer),
            Stage::Rollout | Stage::Stable | Stage::Retiring => Ok(()),
        }
    }

    /// Whether the version is halted in its present generation.
    pub fn halted(&self, version: &Version) -> bool {
        let key = HaltKey {
            route: self.route.name.clone(),
            version: version.name.clone(),
            generation: version.generation,
        };
        self.halts.contains(&key)
    }

    fn outlives_halt(&self, pinned: bool) -> bool {
        pinned && self.route.on_halt == OnHalt::Retire
    }

    fn keeps_sessions(&self, version: &Version, account: &str) -> bool {
        version.stage != Stage::Withdrawn
            && version.allows(account)
            && (!self.halted(version) || self.route.on_halt == OnHalt::Retire)
    }

    fn pinned_choice(&self, version: &Version) -> Result<Choice, Kind> {
        if version.stage == Stage::Rollout && self.standing != Standing::Fresh {
            return Err(Kind::CutOff);
        }
        Ok(Choice { version: version.name.clone(), moved: None, pinned: true })
    }

    fn successor(&self, version: &Version, arrival: &Arrival) -> Option<&Version> {
        let next = self.route.version(version.successor.as_deref()?)?;
        self.takes_new(next, &arrival.account).then_some(next)
    }

    fn takes_new(&self, version: &Version, account: &str) -> bool {
        version.stage == Stage::Stable && version.allows(account) && !self.halted(version)
    }

    fn fresh_choice(
        &self,
        arrival: &Arrival,
        served: impl Fn(&Name) -> bool,
        moved: Option<&Name>,
    ) -> Result<Choice, Kind> {
        let version = match self.in_rollout(arrival, &served) {
            Some(version) => version,
            None => self.stable(arrival, served)?,
        };
        Ok(Choice { version: version.name.clone(), moved: moved.cloned(), pinned: false })
    }

    /// The version in roll-out whose share the request falls into, if any.
    fn in_rollout(&self, arrival: &Arrival, served: impl Fn(&Name) -> bool) -> Option<&Version> {
        if self.standing != Standing::Fresh {
            return None;
        }
        let candidates = self.route.versions.iter().filter(|version| {
            version.stage == Stage::Rollout
                && version.allows(&arrival.account)
                && !self.halted(version)
                && served(&version.name)
        });
        let id = arrival.id.0.to_be_bytes();
        candidates.into_iter().find(|version| {
            let share = version.rollout.as_ref().map_or(0.0, |r| r.share(self.wall_ms));
            hash_unit(hash_parts(&[&id, version.name.as_bytes()])) < share
        })
    }

    fn stable(&self, arrival: &Arrival, served: impl Fn(&Name) -> bool) -> Result<&Version, Kind> {
        let all = self.route.versions.iter();
        let allowed: Vec<&Version> = all.filter(|v| self.takes_new(v, &arrival.account)).collect();
        if allowed.is_empty() {
            return Err(self.why_none(arrival));
        }
        let usable: Vec<&Version> = allowed.into_iter().filter(|v| served(&v.name)).collect();
        let chosen = match self.selection {
            Selection::Cheapest => usable.first().copied(),
            Selection::Dearest => usable.last().copied(),
            Selection::Cascade => self.cascade(&usable, arrival),
        };
        chosen.ok_or(Kind::NoServer)
    }

    /// The cheapest version that meets the target, or else the best one.
    fn cascade<'v>(&self, usable: &[&'v Version], arrival: &Arrival) -> Option<&'v Version> {
        let bucket = bucket(arrival.prompt_tokens);
        let estimate = |version: &Version| self.quality.estimate(&self.route.name, version, bucket);
        let good = usable.iter().find(|version| estimate(version).1 >= self.route.quality);
        let best = || usable.iter().max_by(|a, b| estimate(a).0.total_cmp(&estimate(b).0));
        good.or_else(best).copied()
    }

    /// Why no version takes the request: the account's rights or the versions' stages.
    fn why_none(&self, arrival: &Arrival) -> Kind {
        let mut stable = self.route.versions.iter().filter(|v| v.stage == Stage::Stable);
        match stable.any(|version| version.allows(&arrival.account)) {
            true => Kind::NoServer,
            false => Kind::NotAllowed,
        }
    }
}

fn moved(version: Name, from: &Name) -> Choice {
    Choice { version, moved: Some(from.clone()), pinned: true }
}
