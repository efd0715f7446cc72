//! Model choice and admission.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{Admission, Cascade, Doubt, Pressure, Verdict};

fn doubt(confidence: u8) -> Doubt {
    Doubt {
        place: 0,
        sizes: 3,
        confidence: Some(confidence),
        left: at(900),
        aim: at(1_000),
        sends_left: 2,
        rank: 1,
    }
}

fn pressed(first_byte_ms: u64) -> Pressure {
    let mut pressure = Pressure::default();
    for _ in 0..200 {
        pressure.answered(at(first_byte_ms), at(1_000));
    }
    pressure
}

#[test]
fn instead_sure_answer_is_kept() {
    assert_eq!(Cascade::instead(&doubt(90), &pressed(50)), None);
}

#[test]
fn instead_unsure_answer_goes_to_the_largest() {
    assert_eq!(Cascade::instead(&doubt(10), &pressed(50)), Some(2));
}

#[test]
fn instead_crest_keeps_what_idle_servers_ask_again() {
    assert_eq!(Cascade::instead(&doubt(40), &pressed(50)), Some(2));
    assert_eq!(Cascade::instead(&doubt(40), &pressed(800)), None);
}

#[test]
fn instead_calm_returns_after_a_crest() {
    let mut pressure = pressed(1_500);
    for _ in 0..100 {
        pressure.answered(at(50), at(1_000));
    }
    assert_eq!(Cascade::instead(&doubt(40), &pressure), Some(2));
}

#[test]
fn instead_no_time_keeps_the_answer() {
    let late = Doubt { left: at(100), ..doubt(10) };
    assert_eq!(Cascade::instead(&late, &pressed(50)), None);
}

#[test]
fn instead_no_attempt_left_keeps_the_answer() {
    let last = Doubt { sends_left: 0, ..doubt(10) };
    assert_eq!(Cascade::instead(&last, &pressed(50)), None);
}

#[test]
fn instead_largest_model_is_kept() {
    let largest = Doubt { place: 2, ..doubt(10) };
    assert_eq!(Cascade::instead(&largest, &pressed(50)), None);
}

#[test]
fn instead_answer_without_opinion_is_kept() {
    let silent = Doubt { confidence: None, ..doubt(10) };
    assert_eq!(Cascade::instead(&silent, &pressed(50)), None);
}

#[test]
fn instead_idle_servers_ask_again_more_for_higher_ranks() {
    let asks = |rank: u8| {
        let pressure = pressed(20);
        let again = |c: &u8| Cascade::instead(&Doubt { rank, ..doubt(*c) }, &pressure).is_some();
        (0..=100).filter(again).count()
    };
    assert!(asks(0) > asks(1) && asks(1) > asks(2));
    assert_eq!(asks(2), asks(9));
}

#[test]
fn instead_crest_keeps_lesser_ranks_first() {
    let keeps = |rank: u8| {
        let pressure = pressed(400);
        (0..100)
            .filter(|c| Cascade::instead(&Doubt { rank, ..doubt(*c) }, &pressure).is_none())
            .count()
    };
    assert!(keeps(2) > keeps(1) && keeps(1) > keeps(0));
}

#[test]
fn judge_in_time_is_admitted() {
    assert_eq!(Admission::judge(at(500), at(0), at(1_000), 0.5), Verdict::Admit);
}

#[test]
fn judge_unservable_is_refused_at_once() {
    let verdict = Admission::judge(at(5_000), at(0), at(1_000), 0.5);
    assert!(matches!(verdict, Verdict::Refuse(after) if after >= at(150) && after <= at(6_000)));
}

#[test]
fn return_after_is_spread() {
    let after = |draw| Admission::return_after(Duration::from_secs(2), draw);
    assert!(after(1.0) > after(0.0) + at(500));
}
