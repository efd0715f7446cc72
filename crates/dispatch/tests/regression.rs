//! Tests of how the failures of a new version are judged by load and server.

use std::collections::HashMap;

use config::Name;
use dispatch::{RolloutAnswer, RouteStats, Side, find_regression};

/// Answers of one version: number, failures, load, and the first of the servers that gave them
/// with their number.
struct Answers {
    side: Side,
    answers: u32,
    bad: u32,
    load: f64,
    servers: (u64, u64),
}

fn routes(answers: &[Answers]) -> HashMap<Name, RouteStats> {
    let mut stats = RouteStats::default();
    for Answers { side, answers, bad, load, servers: (first, servers) } in answers {
        for number in 0..*answers {
            let server_hash = first + u64::from(number) % servers;
            let bad = number < *bad;
            stats.record(&RolloutAnswer { side: *side, bad, server_hash, load: *load });
        }
    }
    HashMap::from([("book".into(), stats)])
}

fn old(answers: u32, bad: u32, load: f64) -> Answers {
    Answers { side: Side::Old, answers, bad, load, servers: (0, 4) }
}

fn new(answers: u32, bad: u32, load: f64, servers: (u64, u64)) -> Answers {
    Answers { side: Side::New, answers, bad, load, servers }
}

/// Most answers are those of idle servers, and sound.
#[test]
fn find_regression_under_load_only() {
    let answers = [old(300, 2, 0.6), new(60, 0, 0.1, (10, 4)), new(12, 6, 0.6, (10, 1))];
    let regression = find_regression(&routes(&answers), 4).unwrap();
    assert!(regression.load >= 0.25);
    assert_eq!(regression.new.bad, 6);
}

#[test]
fn find_regression_old_version_fails_under_load_as_well() {
    let answers =
        [old(200, 0, 0.1), old(60, 30, 0.6), new(60, 0, 0.1, (10, 4)), new(12, 6, 0.6, (10, 1))];
    assert_eq!(find_regression(&routes(&answers), 4), None);
}

#[test]
fn find_regression_single_failure_is_not_enough() {
    let answers = [old(300, 2, 0.6), new(20, 1, 0.6, (10, 1))];
    assert_eq!(find_regression(&routes(&answers), 4), None);
}

/// A server that fails whatever its load says nothing of the others.
#[test]
fn find_regression_single_failing_server_is_not_the_version() {
    let answers = [
        old(300, 2, 0.6),
        new(60, 0, 0.1, (11, 3)),
        new(6, 6, 0.1, (10, 1)),
        new(6, 6, 0.6, (10, 1)),
    ];
    assert_eq!(find_regression(&routes(&answers), 4), None);
}

#[test]
fn find_regression_single_server_of_a_version_with_one() {
    let answers = [old(300, 2, 0.1), new(8, 6, 0.1, (10, 1))];
    assert!(find_regression(&routes(&answers), 1).is_some());
}

#[test]
fn find_regression_several_servers_fail_at_any_load() {
    let answers = [old(300, 2, 0.1), new(20, 8, 0.1, (10, 4))];
    let regression = find_regression(&routes(&answers), 4).unwrap();
    assert_eq!(regression.load, 0.0);
}

/// The server in the load test gets more of a route that fails often with either version.
#[test]
fn find_regression_other_share_of_a_failing_route() {
    let mut routes = routes(&[old(600, 4, 0.6), new(60, 0, 0.6, (10, 4))]);
    let mut failing = RouteStats::default();
    for (side, answers) in [(Side::Old, 100), (Side::New, 60)] {
        for number in 0..answers {
            let (bad, server_hash) = (number % 4 == 0, 10 + number % 4);
            failing.record(&RolloutAnswer { side, bad, server_hash, load: 0.6 });
        }
    }
    routes.insert("pay".into(), failing);
    assert_eq!(find_regression(&routes, 4), None);
}

#[test]
fn find_regression_reports_of_instances_add_up() {
    let part = routes(&[new(8, 2, 0.6, (10, 1)), new(10, 0, 0.1, (10, 1))]);
    let mut sum = routes(&[old(300, 2, 0.6)]);
    assert_eq!(find_regression(&sum, 4), None);
    for _ in 0..3 {
        sum.get_mut("book").unwrap().add(&part["book"]);
    }
    assert!(find_regression(&sum, 4).is_some());
}
