//! Tests of how the pace of answers is compared.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{AnswerTimes, PaceClass, PaceReference, StreamPace};

fn class(route: &str) -> PaceClass {
    PaceClass { route: route.into(), model: "small".into() }
}

/// A stream with this mean pause that began after 100 ms and ended after 2 s.
fn stream(pause: u64) -> AnswerTimes {
    let (first_event, whole) = (Some(at(100)), Some(at(2_000)));
    AnswerTimes { first_event, pause: Some(at(pause)), whole, load: None, slowdown: None }
}

/// Answers of the old version with these mean pauses, one each 100 ms.
fn reference(pauses: &[u64]) -> PaceReference {
    let mut reference = PaceReference::default();
    for (number, pause) in (0..).zip(pauses) {
        reference.record(&class("chat"), &stream(*pause), at(100 * number));
    }
    reference
}

#[test]
fn ratio_compares_the_pauses() {
    let ratio = reference(&[40; 20]).ratio(&class("chat"), &stream(120), at(2_000)).unwrap();
    assert!((2.9..3.1).contains(&ratio), "{ratio}");
}

#[test]
fn ratio_stream_that_begins_late_is_slow() {
    let late = AnswerTimes { first_event: Some(at(800)), ..stream(40) };
    let ratio = reference(&[40; 20]).ratio(&class("chat"), &late, at(2_000)).unwrap();
    assert!(ratio > 3.0, "{ratio}");
}

/// The caches of a new version's servers are empty.
#[test]
fn ratio_stream_that_begins_a_little_later_is_not_slow() {
    let later = AnswerTimes { first_event: Some(at(150)), ..stream(30) };
    let ratio = reference(&[40; 20]).ratio(&class("chat"), &later, at(2_000)).unwrap();
    assert!(ratio <= 1.01, "{ratio}");
}

/// A long stream takes longer than a short one at the same pace.
#[test]
fn ratio_length_of_a_stream_does_not_count() {
    let long = AnswerTimes { whole: Some(at(60_000)), ..stream(40) };
    let ratio = reference(&[40; 20]).ratio(&class("chat"), &long, at(2_000)).unwrap();
    assert!(ratio <= 1.01, "{ratio}");
}

#[test]
fn ratio_plain_answers_are_compared_by_their_end() {
    let plain = |ms| AnswerTimes { whole: Some(at(ms)), ..AnswerTimes::default() };
    let mut reference = PaceReference::default();
    for number in 0..10 {
        reference.record(&class("booking"), &plain(50), at(100 * number));
    }
    let ratio = reference.ratio(&class("booking"), &plain(150), at(1_000)).unwrap();
    assert!((2.9..3.1).contains(&ratio), "{ratio}");
}

/// Load slows both versions down.
#[test]
fn ratio_follows_the_load() {
    let pauses: Vec<u64> = [vec![40; 20], vec![120; 60]].concat();
    let ratio = reference(&pauses).ratio(&class("chat"), &stream(120), at(8_000)).unwrap();
    assert!(ratio < 1.1, "{ratio}");
}

/// The servers of a new version have few requests in the canary.
#[test]
fn ratio_idle_server_is_expected_to_be_fast() {
    let loaded = |pause, load| AnswerTimes { load: Some(load), ..stream(pause) };
    let mut reference = PaceReference::default();
    for number in 0..100 {
        // 15 ms, and 2 ms more for each request on the server.
        let load = 5 + number % 10;
        let times = loaded(15 + 2 * u64::from(load), load);
        reference.record(&class("chat"), &times, at(100 * u64::from(number)));
    }
    let ratio = |times| reference.ratio(&class("chat"), &times, at(10_000)).unwrap();
    let (sound, slow) = (ratio(loaded(17, 1)), ratio(loaded(8 * 17, 1)));
    assert!((0.8..1.2).contains(&sound), "{sound}");
    assert!(slow >= 4.0, "{slow}");
}

#[test]
fn ratio_only_beside_recent_answers() {
    assert_eq!(reference(&[40; 20]).ratio(&class("chat"), &stream(400), at(9_000)), None);
}

#[test]
fn ratio_not_by_answers_of_other_routes() {
    assert_eq!(reference(&[40; 20]).ratio(&class("briefing"), &stream(400), at(2_000)), None);
}

#[test]
fn ratio_needs_enough_answers() {
    assert_eq!(reference(&[40; 3]).ratio(&class("chat"), &stream(400), at(500)), None);
}

/// The first event of a slow version comes in time.
#[test]
fn ratio_stream_without_pauses_does_not_count_among_longer_ones() {
    let short = AnswerTimes { pause: None, whole: Some(at(100)), ..stream(40) };
    assert_eq!(reference(&[40; 20]).ratio(&class("chat"), &short, at(2_000)), None);
    let mut reference = PaceReference::default();
    for number in 0..10 {
        reference.record(&class("tags"), &short, at(100 * number));
    }
    assert!(reference.ratio(&class("tags"), &short, at(1_000)).is_some());
}

#[test]
fn ratio_outliers_are_bounded() {
    let mut pauses = vec![40; 20];
    pauses.push(60_000);
    let reference = reference(&pauses);
    let ratio = reference.ratio(&class("chat"), &stream(120), at(2_100)).unwrap();
    assert!(ratio > 2.4, "one old answer hides a slow one: {ratio}");
    let ratio = reference.ratio(&class("chat"), &stream(60_000), at(2_100)).unwrap();
    assert!(ratio <= 4.0, "one new answer decides: {ratio}");
}

#[test]
fn mean_pause_needs_enough_pauses() {
    let mut pace = StreamPace::default();
    pace.record_pause(Duration::from_millis(300));
    assert_eq!(pace.mean_pause(), None);
    pace.record_pause(Duration::from_millis(100));
    assert_eq!(pace.mean_pause(), Some(at(200)));
}
