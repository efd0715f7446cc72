//! The budget of repeated sends.

mod common;

use std::time::Duration;

use common::at;
use dispatch::RetryBudget;

const WINDOW: Duration = Duration::from_secs(10);

#[test]
fn take_slack_is_shared_by_instances() {
    let service = "desk".into();
    let taken = |sharers| {
        let mut budget = RetryBudget::new(0.5, 60.0, WINDOW);
        (0..1_000).filter(|_| budget.take(&service, sharers, at(0))).count()
    };
    assert!(taken(1) <= 60);
    assert!(taken(6) * 6 <= 60);
}

#[test]
fn take_never_over_ratio_and_slack_in_any_window() {
    let service = "desk".into();
    let mut budget = RetryBudget::new(0.5, 20.0, WINDOW);
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for ms in (0..60_000u64).step_by(20) {
        // A crest between 20 s and 25 s, and callers that always want to repeat.
        let arrivals = if (20_000..25_000).contains(&ms) { 5 } else { 1 };
        for _ in 0..arrivals {
            budget.arrived(&service, at(ms));
            requests.push(ms);
        }
        for _ in 0..20 {
            if budget.take(&service, 1, at(ms)) {
                repeats.push(ms);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        times.iter().filter(|ms| (from..from + 10_000).contains(*ms)).count() as f64
    };
    for from in (0..50_000u64).step_by(100) {
        // Requests of the window, or of the one before it or half of one before.
        let before = [from, from.saturating_sub(5_000), from.saturating_sub(10_000)];
        let most = before.iter().map(|from| within(&requests, *from)).fold(0.0, f64::max);
        assert!(within(&repeats, from) <= 0.5 * most + 20.0, "window from {from} ms");
    }
}

#[test]
fn take_refills_with_time() {
    let service = "desk".into();
    let mut budget = RetryBudget::new(0.0, 10.0, WINDOW);
    while budget.take(&service, 1, at(0)) {}
    assert!(!budget.take(&service, 1, at(5_000)));
    assert!(budget.take(&service, 1, at(11_500)));
}

#[test]
fn take_services_do_not_share() {
    let mut budget = RetryBudget::new(0.0, 10.0, WINDOW);
    while budget.take(&"desk".into(), 1, at(0)) {}
    assert!(budget.take(&"llm".into(), 1, at(0)));
}
