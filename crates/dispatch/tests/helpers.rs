//! Tests of the choice of instances that send requests on behalf of this one.

mod common;

use std::net::SocketAddr;

use common::at;
use dispatch::{HelperCandidate, HelperOutcome, Helpers};

fn addr(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

/// Instances from 1 to `count`, the first `local` of them in the own domain.
fn candidates(count: u16, local: u16) -> Vec<HelperCandidate> {
    let candidate = |number| HelperCandidate { addr: addr(number), local: number <= local };
    (1..=count).map(candidate).collect()
}

#[test]
fn choose_without_candidates() {
    assert_eq!(Helpers::default().choose(&[], "desk", &[], 0.5, at(0)), None);
}

#[test]
fn choose_prefers_own_domain() {
    for draw in 0..20 {
        let draw = f64::from(draw) / 20.0;
        let chosen = Helpers::default().choose(&candidates(5, 1), "desk", &[], draw, at(0));
        assert_eq!(chosen, Some(addr(1)));
    }
}

#[test]
fn choose_spreads_open_requests() {
    let mut helpers = Helpers::default();
    let candidates = candidates(6, 2);
    let mut counts = [0; 7];
    for number in 0..60 {
        let draw = f64::from(number) / 60.0;
        let chosen = helpers.choose(&candidates, "desk", &[], draw, at(0)).unwrap();
        counts[usize::from(chosen.port())] += 1;
        helpers.request_sent(chosen);
    }
    let (near, far) = (&counts[1..3], &counts[3..7]);
    assert!(near.iter().chain(far).all(|count| (6..=15).contains(count)), "{counts:?}");
    assert!(near.iter().min() > far.iter().max(), "{counts:?}");
}

#[test]
fn choose_avoids_lost_helper_for_this_service() {
    let mut helpers = Helpers::default();
    let candidates = candidates(2, 2);
    helpers.record_outcome(addr(1), &"desk".into(), HelperOutcome::Lost, at(0));
    for draw in 0..20 {
        let choose =
            |service, ms| helpers.choose(&candidates, service, &[], f64::from(draw) / 20.0, at(ms));
        assert_eq!(choose("desk", 900), Some(addr(2)));
    }
    let alone = &candidates[..1];
    assert_eq!(helpers.choose(alone, "desk", &[], 0.5, at(900)), None);
    assert_eq!(helpers.choose(alone, "desk", &[], 0.5, at(1_000)), Some(addr(1)));
    assert_eq!(helpers.choose(alone, "llm", &[], 0.5, at(900)), Some(addr(1)));
}

#[test]
fn choose_lost_helper_is_asked_ever_more_rarely() {
    let mut helpers = Helpers::default();
    let alone = candidates(1, 1);
    let mut asked = 0;
    for ms in (0..20_000).step_by(10) {
        if helpers.choose(&alone, "desk", &[], 0.5, at(ms)).is_some() {
            asked += 1;
            helpers.record_outcome(addr(1), &"desk".into(), HelperOutcome::Lost, at(ms));
        }
    }
    assert!((5..=8).contains(&asked), "{asked} times in 20 s");
}

#[test]
fn choose_avoids_failed_helper_for_all_services() {
    let mut helpers = Helpers::default();
    let candidates = candidates(2, 2);
    helpers.record_outcome(addr(1), &"desk".into(), HelperOutcome::Answered, at(0));
    helpers.record_outcome(addr(1), &"desk".into(), HelperOutcome::Failed, at(1));
    assert_eq!(helpers.choose(&candidates, "llm", &[], 0.5, at(1_900)), Some(addr(2)));
}

#[test]
fn choose_prefers_proven_helper() {
    let mut helpers = Helpers::default();
    let candidates = candidates(9, 2);
    helpers.record_outcome(addr(7), &"desk".into(), HelperOutcome::Answered, at(0));
    assert_eq!(helpers.choose(&candidates, "llm", &[], 0.5, at(100)), Some(addr(7)));
}

#[test]
fn choose_declined_helper_stays_eligible() {
    let mut helpers = Helpers::default();
    helpers.record_outcome(addr(1), &"desk".into(), HelperOutcome::Declined, at(0));
    assert_eq!(helpers.choose(&candidates(1, 1), "desk", &[], 0.5, at(1)), Some(addr(1)));
    assert_eq!(helpers.choose(&candidates(1, 1), "desk", &[addr(1)], 0.5, at(1)), None);
}

/// Hundreds of instances must not ask each other for a service that is down for all.
#[test]
fn choose_leaves_a_helper_whose_servers_are_full_to_others_for_a_moment() {
    let mut helpers = Helpers::default();
    let candidates = candidates(3, 3);
    helpers.record_outcome(addr(1), &"desk".into(), HelperOutcome::Answered, at(0));
    helpers.record_outcome(addr(1), &"desk".into(), HelperOutcome::Full, at(10));
    let chosen = |service, ms| helpers.choose(&candidates, service, &[], 0.5, at(ms));
    assert_ne!(chosen("desk", 20), Some(addr(1)));
    assert_eq!(chosen("llm", 20), Some(addr(1)));
    assert_eq!(chosen("desk", 400), Some(addr(1)));
    let only = [candidates[0]];
    assert_eq!(helpers.choose(&only, "desk", &[], 0.5, at(20)), Some(addr(1)));
}

#[test]
fn choose_service_that_is_down_is_left_to_itself() {
    let mut helpers = Helpers::default();
    let candidates = candidates(300, 70);
    let mut asked = 0;
    for ms in 0..10_000 {
        let Some(chosen) = helpers.choose(&candidates, "desk", &[], 0.5, at(ms)) else { continue };
        asked += 1;
        helpers.record_outcome(chosen, &"desk".into(), HelperOutcome::Lost, at(ms));
    }
    assert!(asked <= 25, "{asked} requests in 10 s");
    assert!(helpers.choose(&candidates, "llm", &[], 0.5, at(10_000)).is_some());
}

/// Nine of ten instances reach no server; the others are found, and stay preferred.
#[test]
fn choose_finds_the_few_that_reach_servers() {
    let mut helpers = Helpers::default();
    let candidates = candidates(30, 30);
    let mut served = 0;
    for number in 0..1_000 {
        let (draw, now) = (f64::from(number % 97) / 97.0, at(10 * number as u64));
        let mut tried = Vec::new();
        while let Some(chosen) = helpers.choose(&candidates, "desk", &tried, draw, now)
            && tried.len() < 8
        {
            tried.push(chosen);
            let reaches_servers = chosen.port() % 10 == 0;
            let outcome =
                if reaches_servers { HelperOutcome::Answered } else { HelperOutcome::Lost };
            helpers.record_outcome(chosen, &"desk".into(), outcome, now);
            if reaches_servers {
                served += 1;
                break;
            }
        }
    }
    assert!(served >= 900, "{served} of 1,000 requests were served");
}

/// A whole failure domain reaches no server; instances of other domains do.
#[test]
fn choose_leaves_a_lost_domain_after_few_tries() {
    const LOCAL: u16 = 32;
    let mut helpers = Helpers::default();
    let candidates = candidates(LOCAL + 9, LOCAL);
    let mut tries = Vec::new();
    for number in 0..100 {
        let (draw, now) = (f64::from(number % 97) / 97.0, at(100 * number as u64));
        let mut tried = Vec::new();
        while let Some(chosen) = helpers.choose(&candidates, "desk", &tried, draw, now)
            && tried.len() < 8
        {
            tried.push(chosen);
            let outcome = match chosen.port() <= LOCAL {
                true => HelperOutcome::Lost,
                false => HelperOutcome::Answered,
            };
            helpers.record_outcome(chosen, &"desk".into(), outcome, now);
            if outcome == HelperOutcome::Answered {
                break;
            }
        }
        assert!(
            tried.last().is_some_and(|last| last.port() > LOCAL),
            "request {number}: {tried:?}"
        );
        tries.push(tried.len());
    }
    assert!(tries[0] <= 4, "{tries:?}");
    assert!(tries.iter().sum::<usize>() <= 130, "{tries:?}");
}
