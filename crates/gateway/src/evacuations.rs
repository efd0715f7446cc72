//! Failure domains that operators evacuate: their servers get no new requests.

use std::collections::BTreeSet;

use config::Name;
use serde_json::json;

use crate::gateway::Gateway;

impl<D> Gateway<D> {
    /// Replaces the set of evacuated failure domains. Requests that run there finish there.
    pub fn set_evacuations(&self, domains: BTreeSet<Name>) {
        let now = self.now();
        let before = self.fleet.borrow_mut().set_evacuated(domains.clone());
        self.metrics.evacuated_domains.set(domains.len() as i64);
        for domain in domains.difference(&before) {
            self.evacuated_since.borrow_mut().insert(domain.clone(), now);
            self.event_log.write("evacuation_began", now, || json!({ "domain": &**domain }));
        }
        before.difference(&domains).for_each(|domain| self.evacuation_ended(domain));
    }

    /// The evacuated failure domains.
    pub fn evacuations(&self) -> BTreeSet<Name> {
        self.fleet.borrow().evacuated().clone()
    }

    /// Called when the servers of a failure domain may get requests again. They count as cold:
    /// they may have been restarted meanwhile.
    fn evacuation_ended(&self, domain: &Name) {
        self.domain_became_cold(domain);
        let now = self.now();
        let since = self.evacuated_since.borrow_mut().remove(domain).unwrap_or(now);
        let ms = now.saturating_sub(since).as_millis() as u64;
        let fields = || json!({ "domain": &**domain, "evacuated_ms": ms });
        self.event_log.write("evacuation_ended", now, fields);
    }
}
