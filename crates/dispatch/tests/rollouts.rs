//! Tests of rollouts: which version a request goes to, and when an order ends.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{
    Decision, LoadTest, PaceComparison, Phase, Rollout, RolloutOrder, RolloutState, RolloutStats,
    Sessions, Side,
};

fn rollout() -> Rollout {
    Rollout::new(RolloutOrder {
        service: "llm".into(),
        to: "v2".into(),
        duration: Duration::from_secs(20),
        started_at: at(0),
        before_start: Duration::ZERO,
        revision: 1,
    })
}

fn stats(old: (u32, u32), new: (u32, u32)) -> RolloutStats {
    let mut stats = RolloutStats::default();
    for (side, (answers, bad)) in [(Side::Old, old), (Side::New, new)] {
        for number in 0..answers {
            stats.record_answer(side, number < bad);
            stats.record_pace(side, 1.0);
        }
    }
    stats
}

#[test]
fn side_canary_is_small() {
    let rollout = rollout();
    let canary =
        (0..1_000).filter(|n| rollout.side(f64::from(*n) / 1e3, None, at(5_000)) == Side::New);
    assert!(canary.count() <= 100);
}

#[test]
fn side_canary_waits_until_sessions_are_shared() {
    let rollout = rollout();
    for position in [0.0, 0.01, 0.5] {
        assert_eq!(rollout.side(position, None, at(1_000)), Side::Old);
    }
}

#[test]
fn is_settling_only_unknown_sessions_of_the_canary_as_it_starts() {
    let mut rollout = rollout();
    assert!(!rollout.is_settling(0.0, None, at(1_400)));
    assert!(rollout.is_settling(0.0, None, at(1_600)));
    assert!(!rollout.is_settling(0.0, Some(&"v1".into()), at(1_600)));
    assert!(!rollout.is_settling(0.5, None, at(1_600)));
    assert!(!rollout.is_settling(0.0, None, at(2_500)));
    rollout.state = RolloutState::RolledBack;
    assert!(!rollout.is_settling(0.0, None, at(1_600)));
}

#[test]
fn side_session_of_old_version_stays_in_first_half() {
    let rollout = rollout();
    let last_version = "v1".into();
    for ms in (0..10_000).step_by(50) {
        assert_eq!(rollout.side(0.0, Some(&last_version), at(ms)), Side::Old);
    }
}

#[test]
fn side_session_of_new_version_never_goes_back() {
    let rollout = rollout();
    let last_version = "v2".into();
    for ms in (0..25_000).step_by(50) {
        assert_eq!(rollout.side(0.9, Some(&last_version), at(ms)), Side::New);
    }
}

#[test]
fn side_session_changes_version_at_most_once() {
    let rollout = rollout();
    for position in [0.0, 0.03, 0.2, 0.7, 0.99] {
        let sides: Vec<Side> =
            (0..25_000).step_by(50).map(|ms| rollout.side(position, None, at(ms))).collect();
        let changes = sides.windows(2).filter(|pair| pair[0] != pair[1]).count();
        assert!(changes <= 1, "a session at {position} changed version {changes} times");
    }
}

#[test]
fn side_rolled_back_gets_nothing() {
    let rollout = Rollout { state: RolloutState::RolledBack, ..rollout() };
    let last_version = "v2".into();
    assert_eq!(rollout.side(0.0, Some(&last_version), at(5_000)), Side::Old);
}

#[test]
fn side_age_counts_from_before_the_start() {
    let mut rollout = rollout();
    rollout.order.before_start = Duration::from_secs(15);
    assert_eq!(rollout.side(0.9, None, at(100)), Side::New);
}

#[test]
fn decide_failures_roll_back() {
    let decision = rollout().decide(&stats((200, 2), (10, 4)), at(4_000));
    assert_eq!(decision, Decision::RollBack);
}

#[test]
fn decide_failures_like_the_old_version_wait() {
    let decision = rollout().decide(&stats((200, 40), (20, 5)), at(4_000));
    assert_eq!(decision, Decision::Wait);
}

#[test]
fn decide_slow_answers_roll_back() {
    let mut stats = RolloutStats::default();
    for _ in 0..20 {
        stats.record_pace(Side::Old, 1.0);
        stats.record_pace(Side::New, 4.0);
    }
    assert_eq!(rollout().decide(&stats, at(4_000)), Decision::RollBack);
}

#[test]
fn decide_few_slow_answers_roll_back_in_the_canary() {
    let mut stats = stats((200, 2), (0, 0));
    for _ in 0..6 {
        stats.record_pace(Side::New, 2.4);
    }
    assert_eq!(rollout().decide(&stats, at(4_000)), Decision::RollBack);
}

/// All requests are on the new version, at a load peak; the old one's last answers are of
/// before it.
#[test]
fn decide_slower_answers_after_the_shift_wait() {
    let mut stats = stats((200, 2), (100, 0));
    (0..300).for_each(|_| stats.record_pace(Side::New, 2.0));
    assert_eq!(rollout().decide(&stats, at(15_000)), Decision::Wait);
    assert_eq!(rollout().decide(&stats, at(17_000)), Decision::Complete);
    (0..900).for_each(|_| stats.record_pace(Side::New, 4.0));
    assert_eq!(rollout().decide(&stats, at(15_000)), Decision::RollBack);
    assert_eq!(rollout().decide(&stats, at(17_000)), Decision::RollBack);
}

#[test]
fn decide_single_slow_answers_wait() {
    let mut stats = stats((200, 2), (20, 0));
    for _ in 0..4 {
        stats.record_pace(Side::New, 4.0);
    }
    assert_eq!(rollout().decide(&stats, at(4_000)), Decision::Wait);
}

#[test]
fn decide_completes_when_old_version_is_idle() {
    let mut stats = stats((200, 2), (50, 0));
    stats.old_in_flight = 3;
    assert_eq!(rollout().decide(&stats, at(17_000)), Decision::Wait);
    stats.old_in_flight = 0;
    assert_eq!(rollout().decide(&stats, at(17_000)), Decision::Complete);
}

/// A version that is bad under load shows it only when it has the load of both.
#[test]
fn decide_idle_old_version_does_not_complete_right_after_the_shift() {
    let stats = stats((200, 2), (50, 0));
    for ms in (14_400..16_800).step_by(100) {
        assert_eq!(rollout().decide(&stats, at(ms)), Decision::Wait);
    }
}

/// Routes that fail more often with either version.
#[test]
fn decide_failures_without_evidence_by_route_wait() {
    let mut stats = stats((200, 2), (10, 4));
    stats.failure_evidence = Some(1.0);
    assert_eq!(rollout().decide(&stats, at(4_000)), Decision::Wait);
    stats.failure_evidence = Some(3.5);
    assert_eq!(rollout().decide(&stats, at(4_000)), Decision::RollBack);
}

/// The one server that carries load is slower than the idle ones and the mean of the old ones.
#[test]
fn decide_pace_at_like_load_goes_first() {
    let mut stats = stats((200, 2), (0, 0));
    (0..20).for_each(|_| stats.record_pace(Side::New, 2.0));
    let like = PaceComparison { answers: 20, mean: 2.0, error: 0.1, expected: 1.9 };
    stats.like_pace = Some(like);
    assert_eq!(rollout().decide(&stats, at(12_000)), Decision::Wait);
    stats.like_pace = Some(PaceComparison { expected: 1.0, ..like });
    assert_eq!(rollout().decide(&stats, at(12_000)), Decision::RollBack);
    stats.like_pace = Some(PaceComparison { expected: 1.0, error: 0.4, ..like });
    assert_eq!(rollout().decide(&stats, at(12_000)), Decision::Wait);
}

#[test]
fn load_test_takes_requests_of_sessions_late() {
    let mut rollout = rollout();
    assert_eq!(rollout.load_test(at(3_900)), LoadTest::Off);
    assert_eq!(rollout.load_test(at(4_100)), LoadTest::WithoutSession);
    assert_eq!(rollout.load_test(at(10_500)), LoadTest::All);
    assert_eq!(rollout.load_test(at(13_300)), LoadTest::NewVersion);
    rollout.state = RolloutState::RolledBack;
    assert_eq!(rollout.load_test(at(4_100)), LoadTest::Off);
}

#[test]
fn side_without_session_leaves_the_choice_to_the_load_test() {
    let rollout = rollout();
    assert_eq!(rollout.side_without_session(0.05, at(3_000)), Side::New);
    for ms in (4_100..13_000).step_by(100) {
        assert_eq!(rollout.side_without_session(0.05, at(ms)), Side::Old);
    }
    assert_eq!(rollout.side_without_session(0.05, at(13_300)), Side::New);
    assert_eq!(rollout.side_without_session(0.95, at(14_500)), Side::New);
}

#[test]
fn side_session_moved_by_the_load_test_stays() {
    let rollout = rollout();
    assert_eq!(rollout.side(0.9, None, at(11_000)), Side::Old);
    assert_eq!(rollout.side(0.9, Some(&"v2".into()), at(11_000)), Side::New);
}

#[test]
fn decide_completes_before_the_duration_ends() {
    let mut stats = stats((200, 2), (50, 0));
    stats.old_in_flight = 9;
    assert_eq!(rollout().decide(&stats, at(18_000)), Decision::Complete);
}

#[test]
fn decide_late_failures_roll_back_after_the_shift() {
    let decision = rollout().decide(&stats((400, 2), (60, 20)), at(14_000));
    assert_eq!(decision, Decision::RollBack);
}

#[test]
fn stats_of_instances_add_up() {
    let mut sum = stats((100, 1), (2, 1));
    sum.add(&stats((100, 1), (2, 1)));
    assert!(!sum.is_regression(Phase::Canary));
    sum.add(&stats((100, 1), (2, 1)));
    assert!(sum.is_regression(Phase::Canary));
}

#[test]
fn merge_keeps_the_local_entry() {
    let mut sessions = Sessions::new(Duration::from_secs(5));
    sessions.begin(1, &"v1".into(), at(0));
    sessions.end(1, at(0));
    sessions.merge(1, &"v2".into(), at(10));
    assert_eq!(sessions.version(1, at(20)).map(|name| &**name), Some("v1"));
}

#[test]
fn version_expires_after_its_ttl() {
    let mut sessions = Sessions::new(Duration::from_secs(5));
    sessions.begin(1, &"v1".into(), at(0));
    sessions.end(1, at(0));
    assert!(sessions.version(1, at(5_001)).is_none());
}

#[test]
fn set_sharing_returns_recent_sessions_once() {
    let mut sessions = Sessions::new(Duration::from_secs(5));
    for (session, ms) in [(1, 0), (2, 7_000)] {
        sessions.begin(session, &"v1".into(), at(ms));
        sessions.end(session, at(ms));
    }
    sessions.set_sharing(true, at(8_000));
    assert_eq!(sessions.take_pending(at(8_000)).len(), 1);
    sessions.begin(3, &"v1".into(), at(8_100));
    assert_eq!(sessions.take_pending(at(8_100)).len(), 1);
    assert!(sessions.take_pending(at(8_200)).is_empty());
}
