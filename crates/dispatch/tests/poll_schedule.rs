//! Tests of when an instance polls the store.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{FeedMode, PollSchedule, PollSituation, PollStep, READER_POLL_WAIT};

const PATIENCE: Duration = Duration::from_millis(800);

fn reader(now: u64) -> PollSituation {
    let mode = FeedMode::ReadForOthers;
    PollSituation { mode, holds_poll: true, patience: PATIENCE, now: at(now) }
}

fn listener(holds_poll: bool, now: u64) -> PollSituation {
    let mode = FeedMode::Listen(at(now + 1_000));
    PollSituation { mode, holds_poll, patience: PATIENCE, now: at(now) }
}

#[test]
fn next_step_reader_polls_for_a_short_time() {
    let mut schedule = PollSchedule::default();
    assert_eq!(schedule.next_step(reader(0)), PollStep::Poll(READER_POLL_WAIT));
    assert_eq!(schedule.next_step(reader(0)), PollStep::Wait(READER_POLL_WAIT + PATIENCE));
    schedule.record_answer();
    assert_eq!(schedule.next_step(reader(700)), PollStep::Poll(READER_POLL_WAIT));
}

/// The store is silent for 6 s and then answers new polls only.
#[test]
fn next_step_lost_poll_is_repeated_in_time() {
    let (mut schedule, mut last_poll) = (PollSchedule::default(), Duration::ZERO);
    for now in (0..6_000).step_by(10) {
        if now >= 3_200 && now % 800 < 10 {
            // Polls fail 2.5 s after they should have been answered.
            schedule.record_failure();
        }
        if !matches!(schedule.next_step(reader(now)), PollStep::Wait(_)) {
            last_poll = at(now);
        }
    }
    let PollStep::Wait(next) = schedule.next_step(reader(6_000)) else { return };
    assert!(at(6_000) - last_poll <= PATIENCE, "the last poll was at {last_poll:?}");
    assert!(next <= at(6_000) + PATIENCE, "the next poll is at {next:?}");
}

#[test]
fn next_step_open_polls_are_bounded() {
    let mut schedule = PollSchedule::default();
    let steps = (0..60_000).step_by(10).map(|now| schedule.next_step(reader(now)));
    let polls = steps.filter(|step| !matches!(step, PollStep::Wait(_))).count();
    assert_eq!(polls, 4);
}

#[test]
fn next_step_listener_holds_one_long_poll() {
    let mut schedule = PollSchedule::default();
    let PollStep::Poll(wait) = schedule.next_step(listener(true, 0)) else { panic!("no poll") };
    assert!(wait > READER_POLL_WAIT);
    for now in (10..20_000).step_by(10) {
        assert!(matches!(schedule.next_step(listener(true, now)), PollStep::Wait(_)));
    }
}

#[test]
fn next_step_listener_of_a_large_installation_does_not_poll() {
    let mut schedule = PollSchedule::default();
    assert_eq!(schedule.next_step(listener(false, 0)), PollStep::Wait(at(1_000)));
}

#[test]
fn next_step_long_poll_of_before_an_outage_is_replaced() {
    let mut schedule = PollSchedule::default();
    schedule.next_step(listener(true, 0));
    schedule.record_outage(at(5_000));
    assert!(matches!(schedule.next_step(listener(true, 5_000)), PollStep::Replace(_)));
    assert!(matches!(schedule.next_step(listener(true, 5_010)), PollStep::Wait(_)));
}

#[test]
fn next_step_long_poll_that_misses_a_change_is_replaced() {
    let mut schedule = PollSchedule::default();
    schedule.next_step(listener(true, 0));
    schedule.expect_answer(PATIENCE, at(5_000));
    assert!(matches!(schedule.next_step(listener(true, 5_700)), PollStep::Wait(_)));
    assert!(matches!(schedule.next_step(listener(true, 5_800)), PollStep::Replace(_)));
}

#[test]
fn next_step_long_poll_does_not_keep_a_new_reader_from_polling() {
    let mut schedule = PollSchedule::default();
    schedule.next_step(listener(true, 0));
    assert_eq!(schedule.next_step(reader(2_000)), PollStep::Poll(READER_POLL_WAIT));
}

/// A process that was stopped finds the answers that arrived meanwhile.
#[test]
fn next_step_after_a_late_wake_up_answers_are_awaited() {
    let mut schedule = PollSchedule::default();
    schedule.next_step(reader(0));
    assert!(matches!(schedule.next_step(reader(9_000)), PollStep::Wait(_)));
    schedule.record_answer();
    assert_eq!(schedule.next_step(reader(9_001)), PollStep::Poll(READER_POLL_WAIT));
}

#[test]
fn next_step_missing_changes_are_asked_for_at_once() {
    let mut schedule = PollSchedule::default();
    schedule.pause(at(900));
    schedule.catch_up(at(100));
    assert_eq!(schedule.next_step(listener(false, 100)), PollStep::Poll(Duration::ZERO));
}

#[test]
fn next_step_pause_ends_early_once_the_store_answers_again() {
    let mut schedule = PollSchedule::default();
    schedule.next_step(reader(0));
    assert!(schedule.record_failure());
    schedule.pause(at(1_500));
    assert_eq!(schedule.next_step(reader(100)), PollStep::Wait(at(1_500)));
    schedule.limit_pause(at(200));
    assert_eq!(schedule.next_step(reader(200)), PollStep::Poll(READER_POLL_WAIT));
}
