//! Tests of the load test of a rollout: which requests a server of the new version gets.

mod common;

use std::time::Duration;

use common::{at, info};
use dispatch::{
    Exposure, ExposureLimit, Fleet, Outcome, RouteTime, TestRequest, TestServer, test_server,
};

const LIMIT: ExposureLimit = ExposureLimit { share: 0.15, slack: 30.0 };

fn exposure(all: u32, new: u32) -> Exposure {
    let mut exposure = Exposure::default();
    (0..all).for_each(|number| exposure.record(number < new));
    exposure
}

fn route_time(answers: u32, ms: u64) -> RouteTime {
    let mut time = RouteTime::default();
    (0..answers).for_each(|_| time.record(Duration::from_millis(ms)));
    time
}

fn request(route_time: RouteTime, service_time: RouteTime, prompt_ms: f64) -> TestRequest {
    TestRequest { route_time, service_time, prompt_ms }
}

const SERVER: TestServer = TestServer { slots: 8.0, load: 0.0, in_flight: 0.0, instances: 3.0 };

#[test]
fn allows_test_until_the_limit() {
    assert!(exposure(100, 10).allows_test(&LIMIT, 0.6, 3));
    assert!(!exposure(100, 30).allows_test(&LIMIT, 0.6, 3));
}

/// Whatever the new version gets, it is less than what a bad one may get in the end.
#[test]
fn allows_test_never_exceeds_the_limit() {
    for instances in [1, 3, 60] {
        let mut exposure = Exposure::default();
        let mut new = 0;
        for number in 1..=400_u32 {
            let progress = f64::from(number) / 400.0;
            let is_new = exposure.allows_test(&LIMIT, progress, instances);
            exposure.record(is_new);
            new += u32::from(is_new);
        }
        let allowed = LIMIT.share * 400.0 + LIMIT.slack / instances as f64;
        assert!(f64::from(new) <= allowed, "{new} of {allowed} at {instances} instances");
    }
}

#[test]
fn allows_test_leaves_a_part_for_the_second_half() {
    assert!(!exposure(100, 25).allows_test(&LIMIT, 0.4, 3));
    assert!(exposure(100, 18).allows_test(&LIMIT, 0.6, 3));
}

#[test]
fn share_fills_the_slots() {
    let time = route_time(400, 200);
    // Three quarters of eight slots need 30 requests a second of 200 ms, and 120 come.
    let share = SERVER.share(&request(time, time, 0.0), 10.0);
    assert!((0.24..0.26).contains(&share), "{share}");
}

#[test]
fn share_is_all_if_few_come() {
    let time = route_time(10, 200);
    assert!(SERVER.share(&request(time, time, 0.0), 10.0) > 0.99);
}

#[test]
fn share_short_requests_do_not_load_a_server() {
    let (short, service) = (route_time(400, 20), route_time(400, 200));
    assert_eq!(SERVER.share(&request(short, service, 0.0), 10.0), 0.0);
}

/// The prompts of so many requests at once would keep the server from answering.
#[test]
fn share_long_prompts_are_few() {
    let time = route_time(100, 400);
    let long = SERVER.share(&request(time, time, 100.0), 10.0);
    let short = SERVER.share(&request(time, time, 10.0), 10.0);
    assert!(long < 0.1 && short > 0.4, "{long}, {short}");
}

#[test]
fn has_room_within_the_slots() {
    let time = route_time(100, 800);
    assert!(SERVER.has_room(&time));
    assert!(TestServer { load: 7.0, ..SERVER }.has_room(&time));
    assert!(!TestServer { load: 7.5, ..SERVER }.has_room(&time));
}

/// Other instances send to the same server, and their requests are seen late.
#[test]
fn has_room_only_for_the_share_of_the_instance() {
    let time = route_time(100, 800);
    assert!(TestServer { in_flight: 3.0, ..SERVER }.has_room(&time));
    assert!(!TestServer { in_flight: 4.0, ..SERVER }.has_room(&time));
    assert!(TestServer { in_flight: 0.0, instances: 60.0, ..SERVER }.has_room(&time));
}

#[test]
fn test_server_is_one_of_the_new_version() {
    let mut fleet = Fleet::default();
    for number in 0..6 {
        let version = if number < 3 { "v1" } else { "v2" };
        fleet.update(info(&format!("s{number}"), "z1", version));
    }
    let version = "v2".into();
    let chosen = |fleet: &Fleet| {
        test_server(fleet, "desk", &version, at(1_000)).map(|server| server.info.id.clone())
    };
    let first = chosen(&fleet).unwrap();
    assert!(["s3", "s4", "s5"].contains(&&*first));
    assert_eq!(chosen(&fleet), Some(first.clone()));
    fleet.request_sent(&first, 0.0);
    fleet.request_ended(&first, Outcome::Unreachable, at(900));
    assert_ne!(chosen(&fleet), Some(first));
}

#[test]
fn test_server_none_of_another_version() {
    let mut fleet = Fleet::default();
    fleet.update(info("s0", "z1", "v1"));
    assert!(test_server(&fleet, "desk", &"v2".into(), at(0)).is_none());
}
