//! Roll-outs: which version a request goes to, and when an order ends.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{Decision, Order, Rollout, RolloutState, Sessions, Side, Tally};

fn rollout() -> Rollout {
    Rollout::new(Order {
        service: "llm".into(),
        to: "v2".into(),
        duration: Duration::from_secs(20),
        began: at(0),
        before_start: Duration::ZERO,
        revision: 1,
    })
}

fn tally(old: (u32, u32), new: (u32, u32)) -> Tally {
    let mut tally = Tally::default();
    for (side, (answers, bad)) in [(Side::Old, old), (Side::New, new)] {
        for number in 0..answers {
            tally.answered(side, number < bad, Some(at(100)));
        }
    }
    tally
}

#[test]
fn side_trial_is_small() {
    let rollout = rollout();
    let tries =
        (0..1_000).filter(|n| rollout.side(f64::from(*n) / 1e3, None, at(5_000)) == Side::New);
    assert!(tries.count() <= 100);
}

#[test]
fn side_nobody_tries_before_sessions_are_told() {
    let rollout = rollout();
    for place in [0.0, 0.01, 0.5] {
        assert_eq!(rollout.side(place, None, at(1_000)), Side::Old);
    }
}

#[test]
fn side_session_of_old_version_stays_in_first_half() {
    let rollout = rollout();
    let kept = "v1".into();
    for ms in (0..10_000).step_by(50) {
        assert_eq!(rollout.side(0.0, Some(&kept), at(ms)), Side::Old);
    }
}

#[test]
fn side_session_of_new_version_never_goes_back() {
    let rollout = rollout();
    let kept = "v2".into();
    for ms in (0..25_000).step_by(50) {
        assert_eq!(rollout.side(0.9, Some(&kept), at(ms)), Side::New);
    }
}

#[test]
fn side_session_moves_once_by_the_clock() {
    let rollout = rollout();
    for place in [0.0, 0.03, 0.2, 0.7, 0.99] {
        let sides: Vec<Side> =
            (0..25_000).step_by(50).map(|ms| rollout.side(place, None, at(ms))).collect();
        let moves = sides.windows(2).filter(|pair| pair[0] != pair[1]).count();
        assert!(moves <= 1, "a session at {place} moved {moves} times");
    }
}

#[test]
fn side_rolled_back_gets_nothing() {
    let rollout = Rollout { state: RolloutState::RolledBack, ..rollout() };
    let kept = "v2".into();
    assert_eq!(rollout.side(0.0, Some(&kept), at(5_000)), Side::Old);
}

#[test]
fn side_age_counts_from_before_the_start() {
    let mut rollout = rollout();
    rollout.order.before_start = Duration::from_secs(15);
    assert_eq!(rollout.side(0.9, None, at(100)), Side::New);
}

#[test]
fn decide_failures_roll_back() {
    let decision = rollout().decide(&tally((200, 2), (10, 4)), at(4_000));
    assert_eq!(decision, Decision::RollBack);
}

#[test]
fn decide_failures_like_the_old_version_wait() {
    let decision = rollout().decide(&tally((200, 40), (20, 5)), at(4_000));
    assert_eq!(decision, Decision::Wait);
}

#[test]
fn decide_slow_answers_roll_back() {
    let mut seen = Tally::default();
    for _ in 0..20 {
        seen.answered(Side::Old, false, Some(at(100)));
        seen.answered(Side::New, false, Some(at(400)));
    }
    assert_eq!(rollout().decide(&seen, at(4_000)), Decision::RollBack);
}

#[test]
fn decide_completes_when_old_is_empty() {
    let mut seen = tally((200, 2), (50, 0));
    seen.old_open = 3;
    assert_eq!(rollout().decide(&seen, at(15_000)), Decision::Wait);
    seen.old_open = 0;
    assert_eq!(rollout().decide(&seen, at(15_000)), Decision::Complete);
}

#[test]
fn decide_completes_before_its_time_is_over() {
    let mut seen = tally((200, 2), (50, 0));
    seen.old_open = 9;
    assert_eq!(rollout().decide(&seen, at(18_000)), Decision::Complete);
}

#[test]
fn decide_late_badness_rolls_back_after_the_move() {
    let decision = rollout().decide(&tally((400, 2), (60, 20)), at(14_000));
    assert_eq!(decision, Decision::RollBack);
}

#[test]
fn tally_of_instances_adds_up() {
    let mut sum = tally((100, 1), (2, 1));
    sum.add(&tally((100, 1), (2, 1)));
    assert!(!sum.is_worse());
    sum.add(&tally((100, 1), (2, 1)));
    assert!(sum.is_worse());
}

#[test]
fn merge_own_knowledge_goes_first() {
    let mut sessions = Sessions::new(Duration::from_secs(5));
    sessions.note(1, &"v1".into(), at(0));
    sessions.merge(1, &"v2".into(), at(10));
    assert_eq!(sessions.version(1, at(20)).map(|name| &**name), Some("v1"));
}

#[test]
fn version_is_forgotten_after_its_time() {
    let mut sessions = Sessions::new(Duration::from_secs(5));
    sessions.note(1, &"v1".into(), at(0));
    assert!(sessions.version(1, at(5_001)).is_none());
}

#[test]
fn watch_tells_recent_sessions_once() {
    let mut sessions = Sessions::new(Duration::from_secs(5));
    sessions.note(1, &"v1".into(), at(0));
    sessions.note(2, &"v1".into(), at(7_000));
    sessions.watch(true, at(8_000));
    assert_eq!(sessions.take_untold().len(), 1);
    sessions.note(3, &"v1".into(), at(8_100));
    assert_eq!(sessions.take_untold().len(), 1);
    assert!(sessions.take_untold().is_empty());
}
