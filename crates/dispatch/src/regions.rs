//! Regions in which requests may be served.

use std::collections::BTreeMap;

use config::Name;

/// The regions that a request may be served in, by its route and its client account. An empty
/// list allows every region; where both lists name regions, both apply.
#[derive(Debug, Clone, Copy, Default)]
pub struct AllowedRegions<'a> {
    /// Regions that the route allows.
    pub route: &'a [Name],
    /// Regions that the client account allows.
    pub account: &'a [Name],
}

impl AllowedRegions<'_> {
    fn is_restricted(self) -> bool {
        !self.route.is_empty() || !self.account.is_empty()
    }

    fn contains(self, region: &Name) -> bool {
        [self.route, self.account].iter().all(|list| list.is_empty() || list.contains(region))
    }
}

/// The regions of the failure domains, as far as this instance knows them. Without any, no
/// request is restricted.
#[derive(Debug, Clone, Default)]
pub struct Regions {
    own: Option<Name>,
    by_domain: BTreeMap<Name, Name>,
}

impl Regions {
    /// Creates the regions; `own` is that of this instance.
    pub fn new(own: Option<Name>, by_domain: BTreeMap<Name, Name>) -> Self {
        Regions { own, by_domain }
    }

    /// Returns the failure domains whose servers may serve a request; `None` if all may.
    pub(crate) fn allowed_domains(&self, allowed: AllowedRegions) -> Option<Vec<&Name>> {
        if !allowed.is_restricted() || self.by_domain.is_empty() {
            return None;
        }
        let in_region = self.by_domain.iter().filter(|(_, region)| allowed.contains(region));
        Some(in_region.map(|(domain, _)| domain).collect())
    }

    /// Whether a request may be handed over to an instance in a failure domain. Besides those in
    /// allowed regions, this holds for the region of this instance, which has the request already.
    pub fn allows_helper(&self, domain: &str, allowed: AllowedRegions) -> bool {
        if !allowed.is_restricted() || self.by_domain.is_empty() {
            return true;
        }
        let region = self.by_domain.get(domain);
        region.is_some_and(|region| allowed.contains(region) || self.own.as_ref() == Some(region))
    }
}
