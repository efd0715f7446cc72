//! Tests of what is known of brittle servers.

mod common;

use std::time::Duration;

use common::at;
use config::Name;
use dispatch::{BrittleNotice, Brittleness};

fn brittle(ms: u64) -> BrittleNotice {
    BrittleNotice { max_rejections: Some(3), as_of: at(ms) }
}

fn sound(ms: u64) -> BrittleNotice {
    BrittleNotice { max_rejections: None, as_of: at(ms) }
}

/// Services with what was recorded, of servers `a` to `c` of service `s`.
#[derive(Default)]
struct Known(Brittleness);

impl Known {
    fn record(&mut self, server: &str, notice: BrittleNotice) -> bool {
        self.0.record(&Name::from("s"), &Name::from(server), notice)
    }

    fn brittle(&self) -> Vec<&'static str> {
        let is_brittle = |server: &&str| self.0.max_rejections("s", server).is_some();
        ["a", "b", "c"].into_iter().filter(is_brittle).collect()
    }
}

#[test]
fn record_one_brittle_server_makes_those_brittle_that_have_not_said() {
    let mut known = Known::default();
    assert!(!known.record("b", sound(5)));
    assert!(known.record("a", brittle(10)));
    assert_eq!(known.brittle(), ["a", "b", "c"]);
    assert!(!known.record("b", brittle(20)), "was taken for brittle already");
    assert_eq!(known.0.max_rejections("other", "a"), None);
}

#[test]
fn record_changed_number_of_rejections_is_news() {
    let survives = |number, ms| BrittleNotice { max_rejections: Some(number), as_of: at(ms) };
    let mut known = Known::default();
    known.record("a", survives(8, 10));
    assert!(known.record("a", survives(2, 20)));
    assert!(!known.record("a", survives(2, 21)));
    assert!(known.record("b", survives(5, 30)), "it survives more than was supposed");
    assert_eq!(
        ["a", "b", "c"].map(|server| known.0.max_rejections("s", server)),
        [2, 5, 2].map(Some)
    );
}

#[test]
fn record_answer_on_its_way_when_a_service_becomes_brittle_proves_nothing() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    assert!(!known.record("b", sound(9)));
    assert!(!known.record("a", sound(9)));
    assert_eq!(known.brittle(), ["a", "b", "c"]);
}

#[test]
fn record_sound_servers_beside_a_brittle_one() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    assert!(known.record("b", sound(11)));
    known.record("a", brittle(12));
    assert_eq!(known.brittle(), ["a", "c"]);
    assert!(known.record("b", brittle(13)));
    assert_eq!(known.brittle(), ["a", "b", "c"]);
}

#[test]
fn record_last_sound_answer_ends_it_for_all() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    known.record("b", brittle(10));
    assert!(known.record("a", sound(20)));
    assert_eq!(known.brittle(), ["b", "c"]);
    assert!(known.record("b", sound(21)));
    assert!(known.brittle().is_empty());
    assert!(known.0.newest().is_empty());
    // It can be told to others, too.
    assert_eq!(known.0.notice("s", "b"), Some(sound(21)));
}

/// Another instance may have heard from the server itself that it is brittle.
#[test]
fn record_sound_server_that_had_not_said_is_news_after_the_last_brittle_one() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    known.record("a", sound(20));
    assert!(known.record("b", sound(21)));
    assert!(!known.record("b", sound(22)));
}

#[test]
fn record_second_time_begins_anew() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    known.record("a", sound(20));
    known.record("b", sound(21));
    known.record("c", brittle(30));
    assert_eq!(known.brittle(), ["a", "b", "c"]);
}

#[test]
fn record_outdated_report_changes_nothing() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    known.record("a", sound(20));
    assert!(!known.record("a", brittle(15)));
    assert!(known.brittle().is_empty());
}

#[test]
fn newest_is_one_notice_for_each_service() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    known.record("b", brittle(30));
    known.record("c", sound(40));
    assert_eq!(known.0.newest(), [("s".into(), "b".into(), brittle(30))]);
}

#[test]
fn expire_unconfirmed_notices() {
    let mut known = Known::default();
    known.record("a", brittle(10));
    assert!(known.0.expire(at(10) + Duration::from_secs(29)).is_empty());
    assert_eq!(known.brittle(), ["a", "b", "c"]);
    assert_eq!(known.0.expire(at(10) + Duration::from_secs(31)), ["s".into()]);
    assert!(known.brittle().is_empty());
}
