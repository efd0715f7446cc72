//! Tests of permits for the slots of brittle servers, with many instances that ask at the
//! same time, over datagrams that get lost.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{MonotonicTime, PermitDecision, SlotIssuer, SlotRequest, SlotUse};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn wanted(slots: usize, priority: u8) -> SlotRequest {
    SlotRequest { slots: slots as f64, max_rejections: 8, priority }
}

/// Instances that send requests to one server.
struct Load {
    rng: ChaCha8Rng,
    issuer: SlotIssuer,
    slots: usize,
    /// Requests that the server runs, with their ends and permits.
    running: Vec<(MonotonicTime, u64)>,
    /// When each instance has its next request, and may ask again.
    next: Vec<(MonotonicTime, MonotonicTime)>,
    /// Mean time between two requests of an instance.
    pause: Duration,
    /// How long a request takes at least and at most, in milliseconds.
    work_ms: std::ops::Range<u64>,
    /// Share of releases that are lost.
    loss: f64,
    served: u64,
    rejected: u64,
}

impl Load {
    fn new(seed: u64, slots: usize, instances: usize, pause: Duration) -> Self {
        Load {
            rng: ChaCha8Rng::seed_from_u64(seed),
            issuer: SlotIssuer::default(),
            slots,
            running: Vec::new(),
            next: vec![(Duration::ZERO, Duration::ZERO); instances],
            pause,
            work_ms: 40..80,
            loss: 0.0,
            served: 0,
            rejected: 0,
        }
    }

    fn run(&mut self, until: Duration) {
        let server = "s".into();
        for now in (0..until.as_millis() as u64).map(Duration::from_millis) {
            let (ended, running) = self.running.drain(..).partition(|(end, _)| *end <= now);
            self.running = running;
            let ended: Vec<(MonotonicTime, u64)> = ended;
            for (_, permit) in ended {
                if self.rng.random::<f64>() >= self.loss {
                    self.issuer.release("s", permit, now);
                }
            }
            for instance in 0..self.next.len() {
                let (request_at, ask_at) = self.next[instance];
                if now < request_at {
                    continue;
                }
                self.next[instance].0 = now + self.pause.mul_f64(2.0 * self.rng.random::<f64>());
                if now < ask_at {
                    continue;
                }
                match self.issuer.decide(&server, wanted(self.slots, 0), now) {
                    (PermitDecision::Granted, permit) if self.running.len() < self.slots => {
                        let work = self.rng.random_range(self.work_ms.clone());
                        self.running.push((now + Duration::from_millis(work), permit));
                        self.served += 1;
                    }
                    (PermitDecision::Granted, permit) => {
                        self.rejected += 1;
                        self.issuer.reject(&server, permit, now);
                    }
                    (PermitDecision::Denied(wait), _) => self.next[instance].1 = now + wait,
                }
            }
        }
    }
}

#[test]
fn decide_many_instances_keep_within_the_slots() {
    for (slots, instances) in [(3, 4), (6, 9), (6, 195), (64, 195)] {
        let pause = Duration::from_millis(30 * instances as u64 / slots as u64);
        let mut load = Load::new(1, slots, instances, pause);
        load.run(Duration::from_secs(30));
        let possible = slots as u64 * 30_000 / 60;
        assert_eq!(load.rejected, 0, "{slots} slots, {instances} instances");
        assert!(
            load.served * 10 >= possible * 7,
            "{slots} slots, {instances} instances: {} of {possible}",
            load.served
        );
    }
}

#[test]
fn decide_lost_releases_cost_little() {
    let mut load = Load::new(2, 6, 9, Duration::from_millis(45));
    load.loss = 0.03;
    load.run(Duration::from_secs(30));
    assert!(load.rejected <= 3, "{} rejected", load.rejected);
    assert!(load.served >= 1_500, "{} of 3,000", load.served);
}

#[test]
fn decide_fewer_slots_than_named() {
    let mut load = Load::new(3, 6, 9, Duration::from_millis(45));
    let mut named = Load::new(3, 6, 9, Duration::from_millis(45));
    named.run(Duration::from_secs(1));
    load.issuer = named.issuer;
    // The server now runs half as many as it says.
    let server = "s".into();
    let mut rejected = 0;
    for now in (10_000..20_000).step_by(10).map(at) {
        load.running.retain(|(end, _)| *end > now);
        let (PermitDecision::Granted, permit) = load.issuer.decide(&server, wanted(6, 0), now)
        else {
            continue;
        };
        if load.running.len() >= 3 {
            rejected += 1;
            load.issuer.reject(&server, permit, now);
        } else {
            load.running.push((now + Duration::from_millis(60), permit));
        }
    }
    assert!(rejected <= 30, "{rejected} rejected in 10 s");
}

#[test]
fn decide_last_slots_are_for_urgent_requests() {
    let mut issuer = SlotIssuer::default();
    let server = "s".into();
    let mut granted = |priority| {
        let decisions = (0..20).map(|_| issuer.decide(&server, wanted(10, priority), at(0)).0);
        decisions.filter(|decision| *decision == PermitDecision::Granted).count()
    };
    assert_eq!([granted(2), granted(1), granted(0)], [7, 1, 1]);
}

#[test]
fn decide_single_slot_is_used() {
    let mut issuer = SlotIssuer::default();
    let server = "s".into();
    assert_eq!(issuer.decide(&server, wanted(1, 2), at(0)).0, PermitDecision::Granted);
    assert!(matches!(issuer.decide(&server, wanted(1, 0), at(1)).0, PermitDecision::Denied(_)));
    issuer.release("s", 1, at(50));
    assert_eq!(issuer.decide(&server, wanted(1, 2), at(51)).0, PermitDecision::Granted);
}

/// Returns the permits that are granted at once.
fn grants(issuer: &mut SlotIssuer, slots: usize, ms: u64) -> Vec<u64> {
    let decisions = (0..20).map(|_| issuer.decide(&"s".into(), wanted(slots, 0), at(ms)));
    let granted = decisions.filter(|(decision, _)| *decision == PermitDecision::Granted);
    granted.map(|(_, permit)| permit).collect()
}

#[test]
fn decide_counts_requests_without_a_permit() {
    let mut issuer = SlotIssuer::default();
    let uses = |unpermitted| SlotUse { permits: Vec::new(), unpermitted };
    issuer.record_use(&"s".into(), "10.0.0.1:1".parse().unwrap(), &uses(3), at(0));
    issuer.record_use(&"s".into(), "10.0.0.2:1".parse().unwrap(), &uses(4), at(0));
    assert_eq!(grants(&mut issuer, 10, 100).len(), 2);
    issuer.record_use(&"s".into(), "10.0.0.1:1".parse().unwrap(), &uses(1), at(200));
    assert_eq!(grants(&mut issuer, 10, 300).len(), 2);
    // Reports that are not repeated no longer count.
    assert_eq!(grants(&mut issuer, 10, 1_000).len(), 5);
}

#[test]
fn decide_counts_permits_for_as_long_as_their_holders_report_them() {
    let mut issuer = SlotIssuer::default();
    let mut permits = grants(&mut issuer, 10, 0);
    assert_eq!(permits.len(), 9);
    let lost = permits.split_off(4);
    let uses = SlotUse { permits, unpermitted: 0 };
    for ms in (200..10_000).step_by(200) {
        issuer.record_use(&"s".into(), "10.0.0.1:1".parse().unwrap(), &uses, at(ms));
    }
    assert_eq!(grants(&mut issuer, 10, 10_000).len(), lost.len());
}

#[test]
fn decide_stops_before_a_server_crashes() {
    let mut issuer = SlotIssuer::default();
    let server = "s".into();
    let request = SlotRequest { slots: 10.0, max_rejections: 3, priority: 0 };
    // A request without a permit, and one with.
    issuer.reject(&server, 0, at(0));
    let (_, permit) = issuer.decide(&server, request, at(100));
    issuer.reject(&server, permit, at(200));
    let (decision, _) = issuer.decide(&server, request, at(500));
    assert_eq!(decision, PermitDecision::Denied(Duration::from_millis(500)));
    assert_eq!(issuer.decide(&server, request, at(1_000)).0, PermitDecision::Granted);
}
