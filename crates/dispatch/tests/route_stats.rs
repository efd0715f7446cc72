//! Tests of how the answers of a rollout are judged route by route.

use dispatch::{RolloutAnswer, RouteStats, Side};

fn record(stats: &mut RouteStats, side: Side, bad: bool, server_hash: u64) {
    stats.record(&RolloutAnswer { side, bad, server_hash, load: 0.0 });
}

/// Answers of the new version, spread over some servers, with the first so many bad.
fn new_answers(answers: u32, bad: u32, servers: u64) -> RouteStats {
    let mut stats = RouteStats::default();
    (0..200).for_each(|number| record(&mut stats, Side::Old, number < 4, 0));
    for number in 0..answers {
        record(&mut stats, Side::New, number < bad, u64::from(number) % servers);
    }
    stats
}

#[test]
fn is_regression_few_failures_of_several_servers() {
    assert!(new_answers(10, 3, 4).is_regression(4));
    assert!(!new_answers(10, 2, 4).is_regression(4));
}

#[test]
fn is_regression_low_rate_is_not_enough() {
    assert!(!new_answers(40, 6, 4).is_regression(4));
    assert!(new_answers(40, 9, 4).is_regression(4));
}

#[test]
fn is_regression_single_failing_server_is_not_the_version() {
    let mut stats = new_answers(0, 0, 1);
    (0..8).for_each(|_| record(&mut stats, Side::New, true, 5));
    assert!(!stats.is_regression(4));
    // It is the only one, so there is nothing to compare it with.
    assert!(stats.is_regression(1));
}

#[test]
fn is_regression_old_version_fails_as_often() {
    let mut stats = new_answers(20, 8, 4);
    (0..100).for_each(|_| record(&mut stats, Side::Old, true, 0));
    assert!(!stats.is_regression(4));
}

#[test]
fn add_sums_instances() {
    let mut sum = new_answers(4, 1, 1);
    sum.add(&new_answers(4, 1, 1));
    assert!(!sum.is_regression(2));
    let mut other = RouteStats::default();
    record(&mut other, Side::New, true, 7);
    sum.add(&other);
    assert!(sum.is_regression(2));
}
